"""Typed values that the policy takes and returns."""

from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import (
    DataCentreId,
    Fingerprint,
    Incarnation,
    PoolName,
    RegionId,
    StageName,
    TargetId,
    WorkspaceId,
)
from ..core.outcomes import Cause
from ..objects.models import StageKind


@dataclass(frozen=True)
class Load:
    """Load that a target reported about itself.

    Parameters
    ----------
    running, queued : int
        Calls that run and that wait at the target, from all instances.
    slots : int
        Calls that the target can run at once.
    age_ms : float
        Age of the figures when they were received.
    """

    running: int
    queued: int
    slots: int
    age_ms: float


@dataclass(frozen=True)
class HeardLoad:
    """A load that a target reported to this instance, for the other instances."""

    target: TargetId
    incarnation: Incarnation
    load: Load


@dataclass(frozen=True)
class TargetView:
    """One live target of a pool as the configuration and the list show it."""

    target: TargetId
    incarnation: Incarnation
    pool: PoolName
    data_centre: DataCentreId
    region: RegionId
    url: str


@dataclass(frozen=True)
class PoolLimits:
    """Limits of one pool; shares are percentages of first attempts."""

    max_outstanding: int
    retry_share_percent: float
    hedge_share_percent: float


@dataclass(frozen=True)
class WorkspaceLimits:
    """A workspace's weight, and its rate and burst over the whole fleet."""

    weight: float
    rate_per_s: float
    burst: int


class CallOutcome(Enum):
    """How one call of a target ended."""

    DONE = "done"
    REFUSED = "refused"
    """The target said that no work ran."""

    FAILED = "failed"
    CRASHED = "crashed"
    """The target's process ended while the call was in flight."""

    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CallReport:
    """What is known about a call after its end.

    Parameters
    ----------
    target, incarnation, pool, stage_kind
        What was called.
    outcome : CallOutcome
        How the call ended.
    elapsed_ms : float
        Time from sending to the end.
    load : Load or None
        Load in the target's answer, if it answered.
    service_ms : float or None
        Time for which the target says to have worked, without waiting.
    """

    target: TargetId
    incarnation: Incarnation
    pool: PoolName
    stage_kind: StageKind
    outcome: CallOutcome
    elapsed_ms: float
    load: Load | None
    service_ms: float | None = None


@dataclass(frozen=True)
class Refused:
    """A refusal: nothing ran, and the caller may come back after `retry_after_ms`."""

    cause: Cause
    retry_after_ms: int
    message: str


@dataclass(frozen=True)
class StageEstimate:
    """A stage of a pipeline with its declared time and the stages it waits for."""

    stage: StageName
    pool: PoolName
    typical_ms: float
    needs: tuple[StageName, ...]


@dataclass(eq=False)
class Permit:
    """Right to run one admitted request; given back with `PathPolicy.release`.

    Parameters
    ----------
    workspace : WorkspaceId
        Whose request it is.
    fingerprint : Fingerprint
        Hash of the request's workspace and content.
    pending : dict of PoolName to int
        Calls that the request has still to send to each pool.
    released : bool
        Whether the permit was given back.
    """

    workspace: WorkspaceId
    fingerprint: Fingerprint
    pending: dict[PoolName, int] = field(default_factory=dict)
    released: bool = False


class StrikeKind(Enum):
    """What a record about a fingerprint says."""

    CRASH = "crash"
    """A target crashed while it ran the fingerprint."""

    ACQUITTAL = "acquittal"
    """A target of the same pool ran the fingerprint to its end."""

    RELEASE = "release"
    """An operator cleared the fingerprint."""


@dataclass(frozen=True)
class Strike:
    """One record of the quarantine, shared between instances.

    Records are never changed; the same `record_id` is the same record, so
    merging is idempotent and independent of order.

    Parameters
    ----------
    record_id : str
        Unique name of the record.
    kind : StrikeKind
        What the record says.
    fingerprint : Fingerprint
        The request content that it is about.
    pool : PoolName or None
        Pool of the target; None for a release.
    target : TargetId or None
        The crashed, or the successful, target; None for a release.
    incarnation : Incarnation or None
        Incarnation of that target.
    at_ms : int
        Wall-clock time in milliseconds since the Unix epoch.
    """

    record_id: str
    kind: StrikeKind
    fingerprint: Fingerprint
    pool: PoolName | None
    target: TargetId | None
    incarnation: Incarnation | None
    at_ms: int
