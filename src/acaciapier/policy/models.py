"""Types of the arguments and results of the policy."""

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
from ..core.stages import StageKind


@dataclass(frozen=True)
class Load:
    """Load of a target, as reported by the target.

    Parameters
    ----------
    running, queued : int
        Calls from all instances that run, and that are queued, at the target.
    slots : int
        Calls that the target can run concurrently.
    age_ms : float
        Age of the report when it was received.
    """

    running: int
    queued: int
    slots: int
    age_ms: float


@dataclass(frozen=True)
class ReportedLoad:
    """A load that a target reported to this instance, to be shared with peers."""

    target: TargetId
    incarnation: Incarnation
    load: Load


@dataclass(frozen=True)
class TargetView:
    """A live target of a pool, from the configuration and the instance list."""

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
    """How a call to a target ended."""

    DONE = "done"
    REFUSED = "refused"
    """The target answered that it did not run the call."""

    FAILED = "failed"
    CRASHED = "crashed"
    """The target's process ended while the call was in flight."""

    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CallReport:
    """The result of a call, for routing and the quarantine.

    Parameters
    ----------
    target, incarnation, pool, stage_kind
        Which target was called, and for what kind of stage.
    outcome : CallOutcome
        How the call ended.
    elapsed_ms : float
        Time from sending the call to its end.
    load : Load or None
        Load reported in the target's answer, if any.
    service_ms : float or None
        Processing time reported by the target, without queueing.
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
    """A refusal: nothing ran, and the caller may retry after `retry_after_ms`."""

    cause: Cause
    retry_after_ms: int
    message: str


@dataclass(frozen=True)
class StageEstimate:
    """A stage of a pipeline, its declared time and the stages it depends on."""

    stage: StageName
    pool: PoolName
    typical_ms: float
    needs: tuple[StageName, ...]


@dataclass(eq=False)
class Permit:
    """Right to run one admitted request; ends with `PathPolicy.release`.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the request.
    fingerprint : Fingerprint
        Hash of the request's workspace and content.
    pending : dict of PoolName to int
        Number of calls per pool that the request has not sent yet.
    released : bool
        Whether the permit was released.
    """

    workspace: WorkspaceId
    fingerprint: Fingerprint
    pending: dict[PoolName, int] = field(default_factory=dict)
    released: bool = False


class CrashRecordKind(Enum):
    """What a crash record states about a fingerprint."""

    CRASH = "crash"
    """A target crashed while it ran a request with the fingerprint."""

    SUCCESS = "acquittal"
    """A target ran a request with the fingerprint to its end; this clears earlier
    crashes in the same pool."""

    RELEASE = "release"
    """An operator cleared the fingerprint."""


@dataclass(frozen=True)
class CrashRecord:
    """One record of the quarantine, shared between instances.

    Records are immutable and identified by `record_id`, so merging them is
    idempotent and independent of order.

    Parameters
    ----------
    record_id : str
        Unique id of the record.
    kind : CrashRecordKind
        What the record states.
    fingerprint : Fingerprint
        Hash of the request that the record is about.
    pool : PoolName or None
        Pool of the target; None for a release.
    target : TargetId or None
        The target that crashed or succeeded; None for a release.
    incarnation : Incarnation or None
        Incarnation of that target.
    at_ms : int
        Wall-clock time in milliseconds since the Unix epoch.
    """

    record_id: str
    kind: CrashRecordKind
    fingerprint: Fingerprint
    pool: PoolName | None
    target: TargetId | None
    incarnation: Incarnation | None
    at_ms: int
