"""Requests for claims and their results."""

from dataclasses import dataclass

from ..core.ids import Fingerprint, Incarnation, InstanceId, RequestId, WorkspaceId
from ..wire.messages.claims import Claim


@dataclass(frozen=True)
class ClaimRequest:
    """A request that may not be repeated and asks to run.

    Parameters
    ----------
    workspace, request_id : WorkspaceId, RequestId
        Identity; the id is a UUID version 7.
    fingerprint : Fingerprint
        Hash of the content; the same id with another one is refused.
    timeout_ms : float
        Longest time to spend on the claim.
    """

    workspace: WorkspaceId
    request_id: RequestId
    fingerprint: Fingerprint
    timeout_ms: float


@dataclass(frozen=True)
class Granted:
    """The request may run here, once; hand this to `record_outcome` at its end."""

    claim: Claim
    partition: int
    bucket: int
    id_ms: int


@dataclass(frozen=True)
class Running:
    """Another run of this request is under way at `instance`; join it there."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class Done:
    """The request ran to its end; its answer may still be held at `instance`."""

    instance: InstanceId
    incarnation: Incarnation
    count: int
    digest: str


@dataclass(frozen=True)
class MayHaveRun:
    """The request ran in part, or its claimant can no longer be asked."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class Reused:
    """The id was used before with other content; this content did not run."""


@dataclass(frozen=True)
class Expired:
    """The id is too old; it may have run before and is never run again."""


@dataclass(frozen=True)
class Early:
    """The id's time lies too far ahead.

    Parameters
    ----------
    not_run : bool
        Whether no clock within the error bound can have let it run.
    """

    not_run: bool


@dataclass(frozen=True)
class Invalid:
    """The id is not a UUID version 7; nothing ran under it."""


@dataclass(frozen=True)
class Unavailable:
    """No claim could be confirmed; this attempt did not run and never will."""

    retry_after_ms: float


ClaimResult = (
    Granted
    | Running
    | Done
    | MayHaveRun
    | Reused
    | Expired
    | Early
    | Invalid
    | Unavailable
)
