"""An immutable state of the configuration, with indexes for lookups."""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from ..core.ids import PipelineName, PoolName, RequestId, WorkspaceId
from ..objects import (
    DeclaredObject,
    DeletedRecord,
    Pipeline,
    RouteRule,
    TargetPool,
    Workspace,
)

SHARE_STEPS = 10_000
"""Number of buckets for request hashes; gives shares a resolution of 0.01%."""


class ObjectKey(NamedTuple):
    """Kind and name of a declared object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True)
class VersionedObject:
    """A declared object with its version.

    Parameters
    ----------
    version : int
        Version of the object; each accepted change of it adds one.
    declared : DeclaredObject
        The object.
    number : int
        Number of the change that made this version.
    """

    version: int
    declared: DeclaredObject
    number: int = 0

    @property
    def key(self) -> ObjectKey:
        """Kind and name of the object."""
        return ObjectKey(self.declared.kind, self.declared.name)


class ConfigurationState:
    """All declared objects at one change number.

    A request uses the state that it started with to its end: a change of the
    configuration creates a new state and does not modify this one.

    Parameters
    ----------
    number : int
        Number of the last change that the state includes; 0 for the empty state.
    objects : iterable of VersionedObject
        Every declared object.
    deleted : iterable of DeletedRecord
        Last versions of deleted objects.
    version_floor : int
        The first version of a name without any record is above this. It stands in
        for the records of deletions that were evicted.

    Examples
    --------
    >>> state = ConfigurationState.from_objects([Workspace(name="sales")])
    >>> state.workspace("sales").weight
    1.0
    """

    def __init__(
        self,
        number: int,
        objects: Iterable[VersionedObject],
        deleted: Iterable[DeletedRecord] = (),
        *,
        version_floor: int = 0,
    ):
        self.number = number
        self.version_floor = version_floor
        self.objects: Mapping[ObjectKey, VersionedObject]
        self.objects = MappingProxyType(
            {versioned.key: versioned for versioned in objects}
        )
        self.deleted: Mapping[ObjectKey, DeletedRecord]
        self.deleted = MappingProxyType(
            {ObjectKey(record.kind, record.name): record for record in deleted}
        )

    @classmethod
    def from_objects(
        cls, objects: Iterable[DeclaredObject], number: int = 1
    ) -> "ConfigurationState":
        """Return a state with `objects`, each at version 1."""
        return cls(number, [VersionedObject(1, declared) for declared in objects])

    def __len__(self) -> int:
        return len(self.objects)

    def __iter__(self) -> Iterator[VersionedObject]:
        return iter(self.objects.values())

    def get(self, kind: str, name: str) -> VersionedObject | None:
        """Return the object with this kind and name, and its version."""
        return self.objects.get(ObjectKey(kind, name))

    def pipeline(self, name: PipelineName | str) -> Pipeline | None:
        """Return the pipeline with this name."""
        return self._declared("pipeline", name)

    def pool(self, name: PoolName | str) -> TargetPool | None:
        """Return the target pool with this name."""
        return self._declared("pool", name)

    def workspace(self, name: WorkspaceId | str) -> Workspace | None:
        """Return the workspace with this name."""
        return self._declared("workspace", name)

    @property
    def pipelines(self) -> list[Pipeline]:
        """All pipelines."""
        return self._of_kind(Pipeline)

    @property
    def pools(self) -> list[TargetPool]:
        """All target pools."""
        return self._of_kind(TargetPool)

    @property
    def workspaces(self) -> list[Workspace]:
        """All workspaces."""
        return self._of_kind(Workspace)

    def last_version(self, key: ObjectKey) -> int:
        """Return the last version used for a name, also if the object was deleted."""
        if key in self.objects:
            return self.objects[key].version
        if key in self.deleted:
            return self.deleted[key].version
        return self.version_floor

    def last_number(self, key: ObjectKey) -> int:
        """Return the number of the last change of a name; 0 if there is no record."""
        if key in self.objects:
            return self.objects[key].number
        return self.deleted[key].number if key in self.deleted else 0

    def workspace_of_token(self, token: str) -> Workspace | None:
        """Return the workspace that a caller's token gives access to.

        Only digests are compared, so the response time reveals nothing about
        existing tokens.
        """
        return self._workspace_by_token.get(token_digest(token))

    def route(
        self,
        workspace: WorkspaceId | str,
        pipeline: PipelineName | str,
        request_id: RequestId | str,
    ) -> Pipeline | None:
        """Return the pipeline that runs a request, after applying the route rules.

        Only the first matching rule applies, and rules are not applied again to
        its result. The choice depends only on the workspace, the requested
        pipeline and the request id, so every instance with the same configuration
        routes a resend to the same pipeline.

        Returns
        -------
        Pipeline or None
            None if the named pipeline does not exist.
        """
        for rule in self._rules_by_pipeline.get(pipeline, ()):
            if rule.workspaces and workspace not in rule.workspaces:
                continue
            if _is_in_share(rule, workspace, request_id):
                return self.pipeline(rule.to_pipeline)
        return self.pipeline(pipeline)

    def _declared(self, kind: str, name: str) -> DeclaredObject | None:
        versioned = self.objects.get(ObjectKey(kind, name))
        return versioned.declared if versioned else None

    def _of_kind(self, model: type) -> list:
        return [
            versioned.declared
            for versioned in self
            if isinstance(versioned.declared, model)
        ]

    @cached_property
    def _workspace_by_token(self) -> Mapping[str, Workspace]:
        return {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.token_sha256
        }

    @cached_property
    def _rules_by_pipeline(self) -> Mapping[str, tuple[RouteRule, ...]]:
        rules = sorted(
            self._of_kind(RouteRule), key=lambda rule: (rule.order, rule.name)
        )
        names = {rule.pipeline for rule in rules}
        return {
            name: tuple(rule for rule in rules if rule.pipeline == name)
            for name in names
        }


EMPTY_STATE = ConfigurationState(0, ())
"""State before the first change."""


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token, as declared in a workspace."""
    return hashlib.sha256(token.encode()).hexdigest()


def _is_in_share(rule: RouteRule, workspace: str, request_id: str) -> bool:
    """Return whether the hash of a request falls into a rule's share."""
    identity = f"{rule.name}/{workspace}/{request_id}".encode()
    hashed = xxhash.xxh64_intdigest(identity)
    return hashed % SHARE_STEPS < rule.share_percent * SHARE_STEPS / 100
