"""Messages between gateway instances."""

import msgspec

from .base import Message
from .evacuations import Evacuated


class ServiceWait(msgspec.Struct, frozen=True, array_like=True):
    """Expected wait of new work at a service.

    `waits_ms` holds pairs of a priority rank and the wait in milliseconds.
    """

    service: str
    waits_ms: tuple[tuple[int, float], ...]


class ServiceEngineTimes(msgspec.Struct, frozen=True, array_like=True):
    """Times of a service's engines, as its dispatcher learned them."""

    service: str
    first_part_ms: float
    ms_per_token: float


class WorkerLimitEntry(msgspec.Struct, frozen=True, array_like=True):
    """Requests a second that one incarnation of a worker takes from all instances.

    `age_ms` is the time since an answer last named a limit.
    """

    worker: str
    per_s: float
    age_ms: float


class LimitedWorker(msgspec.Struct, frozen=True, array_like=True):
    """A limited worker as its dispatcher sees it, for logs.

    `sends` is the number of requests that were granted to it in the last 4 s.
    """

    worker: str
    per_s: float
    sends: int


class LimitedSends(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a dispatcher has sent to one incarnation of a limited worker.

    `dispatcher` names its incarnation, `total` counts since its start, and `age_ms` is
    the time since the last one.
    """

    worker: str
    dispatcher: str
    total: int
    age_ms: float


class BrittleWorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Rejections in a second that one incarnation of a brittle worker survives.

    `age_ms` is the time since an answer last named them.
    """

    worker: str
    rejections: int
    age_ms: float


class BrittleUse(msgspec.Struct, frozen=True, array_like=True):
    """What a dispatcher holds at one incarnation of a brittle worker.

    `dispatcher` names its incarnation, `held` counts its requests or calls there,
    `room` is what it has proved to take, `waits` tells whether more work waits there,
    and `age_ms` is the time since this was so. `named_age_ms` is the time since an
    answer last named the rejections in a second that it survives.
    """

    worker: str
    dispatcher: str
    held: int
    room: int
    waits: bool
    age_ms: float
    service: str
    rejections: int
    named_age_ms: float


class ColdWorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker that an answer told to be cold for `left_ms`."""

    worker: str
    left_ms: float


class CostEntry(msgspec.Struct, frozen=True, array_like=True):
    """Costs of one kind of requests, as the dispatcher of their service learned them.

    `key` holds route, class of the body's size and workspace, or the first of these.
    """

    key: tuple[str, ...]
    part_means_ms: tuple[float, ...]


class ServiceCosts(msgspec.Struct, frozen=True, array_like=True):
    """Costs of the requests of a service whose costs are uneven."""

    service: str
    entries: tuple[CostEntry, ...]


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that a worker reported in an answer; a slowdown of 1.0 is usual."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class RetryCount(msgspec.Struct, frozen=True, array_like=True):
    """First sends and retries of a service that were granted `age_ms` ago or longer."""

    age_ms: float
    first_sends: int
    retries: int


class RetryUse(msgspec.Struct, frozen=True, array_like=True):
    """Sends that a dispatcher has granted in the window of a service's retry budget.

    `dispatcher` names its incarnation, and `changes` grows with each of its reports.
    """

    service: str
    dispatcher: str
    changes: int
    counts: tuple[RetryCount, ...]


class Heartbeat(Message, frozen=True, tag="Beat"):
    """Heartbeat, and the answer to one: what the sender knows and whether it stops."""

    configuration_revision: int
    workers_revision: int
    workers_digest: int
    stopping: bool
    waits: tuple[ServiceWait, ...] = ()
    follows_store: bool = False
    uptime_ms: float = 0.0
    configuration_term: int = 0
    workers_term: int = 0
    configuration_version: int = 0
    leaving: tuple[str, ...] = ()
    """Incarnations of workers that have announced their shutdown lately."""
    engine_times: tuple[ServiceEngineTimes, ...] = ()
    part_crashes_digest: int = 0
    """Hash of the crash records of prompt parts; 0 if there are none."""
    serves_tunnels: bool = False
    """Whether the sender reaches workers and opens connections to them for peers."""
    build: str = ""
    """Build that the sender runs; earlier releases do not name it."""
    keeps_stream_records: bool = False
    """Whether the sender records the software versions of streams."""
    partitioned_lately: bool = False
    """Whether the sender was partitioned from workers within the last seconds."""
    limited_sends: tuple[LimitedSends, ...] = ()
    """Recent sends to limited workers, the sender's own and those reported to it."""
    started_ms: int = 0
    """Unix time of the sender's start, as its entry names it; 0 if unknown."""
    evacuated: Evacuated | None = None
    """Evacuated data centres; None if the sender does not know them."""
    cold_workers: tuple[ColdWorkerEntry, ...] = ()
    """Workers that answers to the sender lately told to be cold."""
    service_costs: tuple[ServiceCosts, ...] = ()
    """Costs that the sender learned lately as a dispatcher."""
    brittle_use: tuple[BrittleUse, ...] = ()
    """What dispatchers hold at brittle workers, the sender and those known to it."""
    retry_use: tuple[RetryUse, ...] = ()
    """What dispatchers lately granted of retry budgets, the sender and those before."""
    splits: tuple[int, int] | None = None
    """Generation of the splits that the sender knows, by which it begins streams; None
    from earlier builds, which begin them at any version."""


class FetchUpdates(Message, frozen=True, tag="FetchNews"):
    """Requests a configuration or workers that are newer than the given ones."""

    configuration_revision: int
    workers_revision: int
    wants_peers: bool = False
    configuration_term: int = 0
    workers_term: int = 0
    configuration_version: int = 0


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One instance in the table of a peer."""

    instance: str
    host: str
    port: int
    data_centre: str
    started_ms: int
    capacity: float = 1.0


class WorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One worker in the table of a peer."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: str
    started_ms: int
    cold_ms: float
    software_version: str = ""
    entry_revision: int = 0


class PeerUpdates(Message, frozen=True, tag="News"):
    """Answer to `FetchUpdates`; a part that is not newer is None."""

    configuration_revision: int
    configuration: bytes | None
    workers_revision: int
    workers: tuple[WorkerEntry, ...] | None
    peers: tuple[PeerEntry, ...] = ()
    configuration_term: int = 0
    workers_term: int = 0
    evacuated: Evacuated | None = None


class EnterStages(Message, frozen=True):
    """Requests admission of a request by the dispatcher of a chain's last stage.

    `count` is the number of the request's pieces in that stage. Times are milliseconds
    from now: `due_ms` until that stage is due, `expires_ms` until its results are
    useless. `average_ms` is the average duration of the chain. `fingerprint` is a hash
    of content and caller that identifies a retry of a refused request.
    """

    service: str
    attempt: str
    stage: int
    count: int
    due_ms: float
    expires_ms: float
    average_ms: float
    priority: int
    route_priority: int
    fingerprint: str
    workspace: str = ""
    """Workspace of the caller; empty if it has none."""
    allowed_regions: tuple[str, ...] = ()
    """Regions whose workers may be used; empty for any."""


class StagesEntered(Message, frozen=True):
    """The request is admitted and may start its stages."""


class RunPieces(Message, frozen=True):
    """Requests that a dispatcher runs all pieces of one stage of a request.

    Times are milliseconds from now: `due_ms` until the results are due if later stages
    take their average time, `latest_ms` until the answer is late even if later stages
    are as fast as possible, `expires_ms` until the results are useless.
    """

    service: str
    attempt: str
    stage: int
    count: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    due_ms: float
    latest_ms: float
    expires_ms: float
    priority: int
    value: float
    data_centre: str
    transfer_bytes: int = 0
    workspace: str = ""
    """Workspace of the caller; empty if it has none."""
    allowed_regions: tuple[str, ...] = ()
    """Regions whose workers may be used; empty for any."""


class PiecesMade(Message, frozen=True):
    """Handles of the results of all pieces, in order."""

    handles: tuple[str, ...]


class WorkRefused(Message, frozen=True):
    """The work was refused and not started; retry after the given time."""

    cause: str
    retry_after_ms: float
    limited: tuple[LimitedWorker, ...] = ()
    """Limits because of which it was refused."""


class FreeResults(Message, frozen=True):
    """Releases results that are stored at workers of a stage service."""

    service: str
    handles: tuple[str, ...]


class CancelWork(Message, frozen=True):
    """Cancels the queued pieces of an attempt, since its caller has disconnected."""

    service: str
    attempt: str


class AcquireWorker(Message, frozen=True):
    """Requests a slot at one worker of a service from its dispatcher."""

    service: str
    permit: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    input_bytes: tuple[tuple[str, int], ...]
    priority: int
    value: float
    due_ms: float
    expires_ms: float
    avoid: tuple[str, ...]
    repeat: bool
    software_version: str | None = None
    """Only workers of this version may be granted; None for any."""
    limits: tuple[WorkerLimitEntry, ...] = ()
    """Limits of the service's workers that the requesting instance knows."""
    only_untried: bool = False
    """Whether the workers in `avoid` must not be granted."""
    brittle: tuple[BrittleWorkerEntry, ...] = ()
    """Brittle workers of the service that the requesting instance knows."""
    any_version: bool = False
    """Whether no later request depends on the software version of the worker."""
    workspace: str = ""
    """Workspace of the caller; empty if it has none."""
    allowed_regions: tuple[str, ...] = ()
    """Regions whose workers may be used; empty for any."""
    route: str = ""
    """Route of the request."""
    body_bytes: int = 0
    """Size of the request's body."""
    accepted: tuple[str, ...] | None = None
    """Permits of the sender that it accepted lately; None if the sender confirms none,
    as earlier releases."""
    whole: bool = False
    """Whether the whole run must end within `expires_ms`, not only begin."""
    begins: bool = False
    """Whether the caller has no event yet, so that the version was only assigned."""


class WorkerGranted(Message, frozen=True):
    """Grants a slot at one incarnation of a worker."""

    worker: str
    started_ms: int
    limits_considered: bool = False
    """Whether the sender knows of limits; processes of earlier releases do not."""
    limited: LimitedWorker | None = None
    """The worker's limit, to which the grant keeps; None if it has none."""
    waited_ms: float = 0.0
    """How long the request waited at the dispatcher."""
    brittle_considered: bool = False
    """Whether the sender knows of brittle workers; earlier releases do not."""
    brittle_rejections: int | None = None
    """Rejections a second that the worker survives; None if not brittle."""


class PermitEnded(Message, frozen=True):
    """Releases a slot and reports the outcome of the call."""

    service: str
    permit: str
    outcome: str
    elapsed_ms: float
    retry_after_ms: float = 0.0
    """For how long the worker wants no further requests from this instance."""
    limit_per_s: float | None = None
    """Limit that the worker named in its refusal."""
    brittle_rejections: int | None = None
    """Rejections a second that the worker said in its refusal to survive."""
    load: ReportedLoad | None = None
    """Load that the worker reported, unless `PermitStarted` told it."""


class PermitStarted(Message, frozen=True):
    """Reports that the first part of the worker's answer has arrived."""

    service: str
    permit: str
    elapsed_ms: float
    limit_per_s: float | None = None
    """Limit that the worker named."""
    without_limit: bool = False
    """Whether the worker named none."""
    brittle_rejections: int | None = None
    """Rejections a second that the worker said to survive."""
    not_brittle: bool = False
    """Whether the worker's own answer said nothing of this."""
    load: ReportedLoad | None = None
    """Load that the worker reported."""


class HeldResults(Message, frozen=True):
    """Reports all stage results that an instance holds to a new dispatcher."""

    service: str
    results: tuple[tuple[str, int], ...]
    """Handle and size in bytes of each result."""


class HeldPermits(Message, frozen=True):
    """Reports all permits that an instance holds to a new dispatcher."""

    service: str
    permits: tuple[tuple[str, str, int, int], ...]
    """Name, worker, prompt tokens and output tokens of each permit."""
