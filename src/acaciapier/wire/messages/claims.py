"""Messages about claims, and the records that they carry."""

from enum import Enum

import msgspec

from ...core.ids import Incarnation, InstanceId
from .base import Message


class ClaimState(Enum):
    """What is known of a claim."""

    PENDING = "pending"
    """Its commit is not known yet; its request does not run."""

    RUNNING = "running"
    DONE = "done"

    UNKNOWN = "unknown"
    """It ran in part, or may have run."""

    ABANDONED = "abandoned"
    """Its claimant never runs it; another claim may replace it."""

    FORGOTTEN = "forgotten"
    """The asked instance has no record of it."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One claim of a request that may not be repeated.

    Parameters
    ----------
    key : str
        Hash of the workspace and the request's id.
    fingerprint : str
        Hash of the request's content.
    instance, incarnation : InstanceId, Incarnation
        The claimant.
    nonce : str
        Unique to this attempt to claim.
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
    """What became of a claim: DONE, UNKNOWN or ABANDONED."""

    key: str
    nonce: str
    state: ClaimState
    count: int = 0
    digest: str = ""


class CommitVerdict(Enum):
    """What an attempt to commit a claim came to."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class CommitClaim(Message, frozen=True):
    """Asks a peer to commit a claim.

    Parameters
    ----------
    bucket : int
        Number of the bucket that the request's id belongs to.
    replaces : str
        Nonce of an abandoned claim that this one may replace, or empty.
    timeout_ms : float
        How long the answer is of use.
    """

    partition: int
    bucket: int
    claim: Claim
    replaces: str
    timeout_ms: float


class CommitAnswer(Message, frozen=True):
    """Answer to `CommitClaim`, with the holder if another claim stands."""

    verdict: CommitVerdict
    holder: Claim | None = None
    retry_after_ms: float = 0.0


class AskClaim(Message, frozen=True):
    """Asks a claimant what became of its claim."""

    nonce: str


class ClaimStatus(Message, frozen=True):
    """Answer to `AskClaim`, with the incarnation that gives it."""

    incarnation: Incarnation
    state: ClaimState
    count: int = 0
    digest: str = ""


class SettleClaims(Message, frozen=True):
    """Hands outcomes of claims of one partition to its owner."""

    partition: int
    settlements: tuple[tuple[int, Settlement], ...]
    """Each with the number of its bucket."""


class SettleAnswer(Message, frozen=True):
    """Answer to `SettleClaims`: they will be written."""
