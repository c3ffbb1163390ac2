"""Messages about claims, and the records they contain."""

from enum import Enum

import msgspec

from ...core.ids import Incarnation, InstanceId
from .base import Message


class ClaimState(Enum):
    """State of a claim, as known to the instance that reports it."""

    PENDING = "pending"
    """The commit is not confirmed yet; the request has not started."""

    RUNNING = "running"
    DONE = "done"

    UNKNOWN = "unknown"
    """The request ran in part, or may have run."""

    ABANDONED = "abandoned"
    """The claimant will never run the request; another claim may replace this one."""

    FORGOTTEN = "forgotten"
    """The claimant has no record of the claim, or its record cannot be obtained."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claim on a non-repeatable request.

    Parameters
    ----------
    key : str
        Hash of the workspace and the request's id.
    fingerprint : str
        Hash of the request's content.
    instance, incarnation : InstanceId, Incarnation
        The instance that made the claim, and its incarnation.
    nonce : str
        Unique id of this attempt.
    state : ClaimState
        RUNNING until an outcome is recorded.
    count, digest : int, str
        Size and digest of the answer once the state is DONE.
    """

    key: str
    fingerprint: str
    instance: InstanceId
    incarnation: Incarnation
    nonce: str
    state: ClaimState = ClaimState.RUNNING
    count: int = 0
    digest: str = ""


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Final state of a claim: DONE, UNKNOWN or ABANDONED."""

    key: str
    nonce: str
    state: ClaimState
    count: int = 0
    digest: str = ""


class CommitVerdict(Enum):
    """Result of an attempt to commit a claim."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class CommitClaim(Message, frozen=True):
    """Request to commit a claim, sent to a committer.

    Parameters
    ----------
    bucket : int
        Number of the bucket for the request's id.
    replaces : str
        Nonce of an abandoned claim that this claim may replace, or empty.
    timeout_ms : float
        Time for which the sender waits for the commit.
    """

    partition: int
    bucket: int
    claim: Claim
    replaces: str
    timeout_ms: float


class CommitAnswer(Message, frozen=True):
    """Answer to `CommitClaim`, with the existing claim if the key is claimed."""

    verdict: CommitVerdict
    existing_claim: Claim | None = None
    retry_after_ms: float = 0.0


class AskClaim(Message, frozen=True):
    """Request for the state of a claim, sent to its claimant."""

    nonce: str


class ClaimStatus(Message, frozen=True):
    """Answer to `AskClaim`, with the incarnation of the answering instance."""

    incarnation: Incarnation
    state: ClaimState
    count: int = 0
    digest: str = ""


class SettleClaims(Message, frozen=True):
    """Request to store settlements of one partition, sent to its owner."""

    partition: int
    settlements: tuple[tuple[int, Settlement], ...]
    """Pairs of bucket number and settlement."""


class SettleAnswer(Message, frozen=True):
    """Answer to `SettleClaims`; the settlements are queued to be written."""
