"""Requests for claims and their results."""

from dataclasses import dataclass

from ..core.ids import Fingerprint, Incarnation, InstanceId, RequestId, WorkspaceId
from ..wire.messages.claims import Claim


@dataclass(frozen=True)
class ClaimRequest:
    """A non-repeatable request to be claimed.

    Parameters
    ----------
    workspace, request_id : WorkspaceId, RequestId
        Identity of the request; the id must be a UUID version 7.
    fingerprint : Fingerprint
        Hash of the content. The same id with a different hash is rejected.
    timeout_ms : float
        Maximum time to spend on the claim.
    """

    workspace: WorkspaceId
    request_id: RequestId
    fingerprint: Fingerprint
    timeout_ms: float


@dataclass(frozen=True)
class Granted:
    """The request may run once, on this instance.

    Pass this object to `ClaimService.record_outcome` when the run has ended.
    """

    claim: Claim
    partition: int
    bucket: int
    id_ms: int


@dataclass(frozen=True)
class Running:
    """The request is pending or already running at `instance`; join that run."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class Done:
    """The request has completed; `instance` may still hold its answer.

    `count` and `digest` are the size and the digest of the answer.
    """

    instance: InstanceId
    incarnation: Incarnation
    count: int
    digest: str


@dataclass(frozen=True)
class MayHaveRun:
    """The request ran in part, or the state of its claim cannot be determined."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class Reused:
    """The id was already used with different content; this content did not run."""


@dataclass(frozen=True)
class Expired:
    """The id is too old; its request may have run before and will not run again."""


@dataclass(frozen=True)
class Early:
    """The timestamp in the id lies too far in the future.

    Parameters
    ----------
    not_run : bool
        Whether the request cannot have run on any instance whose clock is within
        the error bound.
    """

    not_run: bool


@dataclass(frozen=True)
class Invalid:
    """The id is not a UUID version 7; no request with this id has run."""


@dataclass(frozen=True)
class Unavailable:
    """The claim could not be confirmed; this attempt did not run and never will."""

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
