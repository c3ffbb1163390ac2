"""Messages with which operators ask where a request would go, without sending it."""

import msgspec

from .base import Message
from .gateway import AcquireWorker, EnterStages, RunPieces


class ExplainRequest(Message, frozen=True):
    """Asks an instance where a request of this form would go now, and why."""

    host: str
    path: str
    method: str
    key: str | None = None
    workspace: str | None = None
    """Name of a workspace, in place of one of its keys."""
    deadline_ms: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    piece_counts: tuple[int, ...] = ()
    body_bytes: int = 0
    max_workers: int = 20


class ExplainSlot(Message, frozen=True):
    """Asks the dispatcher of a service what it would answer to a slot request."""

    acquire: AcquireWorker
    max_workers: int = 20


class ExplainStage(Message, frozen=True):
    """Asks the dispatcher of a stage service what it would do with a stage."""

    run: RunPieces
    max_workers: int = 20


class ExplainAdmission(Message, frozen=True):
    """Asks the dispatcher of a chain's last stage whether it would admit a request."""

    enter: EnterStages


DispatcherQuestion = ExplainSlot | ExplainStage | ExplainAdmission
"""What a dispatcher answers with a `ServiceExplanation`."""


class WorkerExplanation(msgspec.Struct, frozen=True, array_like=True):
    """One worker, and why it may not be used now; times that are unknown are None."""

    worker: str
    data_centre: str
    used_slots: int
    slots: int
    backlog_ms: float
    reported_slowdown: float | None
    report_age_ms: float | None
    measured_slowdown: float
    expected_ms: float | None
    """Time by which it is compared with other workers; None if it is not used now."""
    reason: str = ""
    wait_ms: float | None = None
    """For how long the reason holds."""


class ServiceExplanation(Message, frozen=True):
    """What the dispatcher of a service would do with a request, or with a stage."""

    service: str
    dispatcher: str
    outcome: str
    """`worker`, `admitted` to a chain of stages, `waits`, `refused`; `unknown` if the
    dispatcher did not tell."""
    worker: str = ""
    wait_ms: float = 0.0
    cause: str = ""
    retry_after_ms: float = 0.0
    cost_ms: float | None = None
    """Expected cost of the request at a worker of usual speed."""
    uneven_costs: bool = False
    """Whether requests of the service differ greatly in cost."""
    cost_age_ms: float | None = None
    """Time since a cost was last learned."""
    waiting: int = 0
    """Requests, or pieces of a stage, that wait for a worker."""
    workspace_slots: int = 0
    """Slots in use by the workspace of the request."""
    used_slots: int = 0
    """Slots in use by all."""
    workers: tuple[WorkerExplanation, ...] = ()
    others: tuple[tuple[str, int], ...] = ()
    """Number of further workers by reason; empty reason for available ones."""
    workers_age_ms: float | None = None
    """Time since the dispatcher last received workers."""
    above_share: bool = False
    """Whether the workspace uses more than its fair share, so that others go first."""


class Explanation(Message, frozen=True):
    """Where a request would go now, and why."""

    instance: str
    outcome: str
    """`placed` if dispatchers were asked, or else the outcome that logs name."""
    status: int = 0
    """Status of the response if no dispatcher was asked."""
    cause: str = ""
    retry_after_ms: float = 0.0
    route: str = ""
    kind: str = ""
    workspace: str = ""
    priority: int = 0
    deadline_ms: float = 0.0
    weights: tuple[tuple[str, float], ...] = ()
    """Candidate services, one of which is chosen at random by weight."""
    services: tuple[ServiceExplanation, ...] = ()
    stages: tuple[ServiceExplanation, ...] = ()
    """The first stages, which run before the service is asked for a worker."""
    configuration_version: int = 0
    configuration_age_ms: float | None = None
    """Time since the instance last received a configuration."""
    workers_age_ms: float | None = None
    """Time since the instance last received workers."""
    store_reachable: bool = False
    admission: ServiceExplanation | None = None
    """Admission to the longest chain of stages; None without dependent stages."""
