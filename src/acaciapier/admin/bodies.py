"""Bodies of the administration API, encoded as JSON."""

from typing import Any, Literal

import msgspec

from ..objects import Change


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One edit of a requested change.

    Parameters
    ----------
    kind, name : str
        Identity of the object.
    base_version : int
        Version that the edit is based on; 0 for a new object.
    operation : {"replace", "patch", "delete"}
        Kind of the edit.
    value : dict, optional
        Complete new value, for ``replace``.
    operations : list, optional
        Operations of a JSON Patch, for ``patch``.
    """

    kind: str
    name: str
    base_version: int
    operation: Literal["replace", "patch", "delete"]
    value: Any = None
    operations: Any = None


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A requested change, accepted or rejected atomically."""

    patch_id: str
    edits: tuple[EditBody, ...]
    at_least_number: int = 0


class UndoBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to undo a change by making a new one."""

    patch_id: str


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to take an instance or a target out of service."""

    kind: Literal["instance", "target"]
    id: str


class ReleaseBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to release a blocked fingerprint."""

    fingerprint: str


class VersionBody(msgspec.Struct, frozen=True):
    """Version of an object after a change."""

    kind: str
    name: str
    version: int


class AcceptedBody(msgspec.Struct, frozen=True):
    """Response to an accepted change."""

    number: int
    versions: tuple[VersionBody, ...]
    resent: bool


class ObjectBody(msgspec.Struct, frozen=True):
    """A declared object with its version and the change that created the version."""

    kind: str
    name: str
    version: int
    number: int
    value: dict[str, Any]


class ObjectsBody(msgspec.Struct, frozen=True):
    """Declared objects of one state of the configuration.

    Parameters
    ----------
    number : int
        Number of the last change that the state includes.
    objects : tuple of ObjectBody
        The objects.
    from_store : bool
        False if the object API was unavailable, so that the state that was last read
        is returned.
    """

    number: int
    objects: tuple[ObjectBody, ...]
    from_store: bool = True


class ChangesBody(msgspec.Struct, frozen=True):
    """Accepted changes, newest first; `number` is that of the newest known change."""

    number: int
    changes: tuple[Change, ...]


class DiffBody(msgspec.Struct, frozen=True):
    """JSON Patch from one version of an object to another."""

    kind: str
    name: str
    from_version: int
    to_version: int
    operations: list[Any]


class ConflictBody(msgspec.Struct, frozen=True):
    """An object whose current version differs from the base version of an edit."""

    kind: str
    name: str
    base_version: int
    present_version: int


class FindingBody(msgspec.Struct, frozen=True):
    """One problem in the input, with its place."""

    place: str
    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every error response."""

    error: str
    message: str
    findings: tuple[FindingBody, ...] = ()
    conflicts: tuple[ConflictBody, ...] = ()
    retry_after_ms: float = 0.0
    may_have_landed: bool = False
    at_least_number: int = 0


class InstanceStatus(msgspec.Struct, frozen=True):
    """Which configuration one instance runs.

    Parameters
    ----------
    instance, data_centre : str
        Id of the instance, and its data centre.
    configuration_number : int
        Number of the last change that the instance has applied.
    freshness : str
        ``current``, ``stale`` or ``unknown``.
    """

    instance: str
    data_centre: str
    configuration_number: int
    freshness: str


class StatusBody(msgspec.Struct, frozen=True):
    """The newest configuration number, and the status of each instance."""

    number: int
    instances: tuple[InstanceStatus, ...]


class CostLine(msgspec.Struct, frozen=True):
    """Cost of one stage of one workspace's requests to a pipeline."""

    workspace: str
    pipeline: str
    stage: str
    calls: int
    service_ms: float
    units: dict[str, float]
    share: str = "first"


class CostsBody(msgspec.Struct, frozen=True):
    """Costs by workspace, pipeline and stage."""

    lines: tuple[CostLine, ...]


class DoneBody(msgspec.Struct, frozen=True):
    """Response that has no content except a message."""

    message: str
