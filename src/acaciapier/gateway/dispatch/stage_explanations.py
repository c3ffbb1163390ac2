"""What a dispatcher would do with a stage of a request, and why."""

from ...wire.messages.explain import ServiceExplanation, WorkerExplanation
from ...wire.messages.gateway import RunPieces
from ..catalogue import Catalogue
from ..models import ServiceName, Worker
from ..worker_eligibility import Unavailability
from ..worker_limits import LimitsView
from .explained_workers import listed_workers
from .piece_groups import PieceGroup
from .refusal import MIN_RETRY_MS, NO_WORKER_RETRY_MS
from .stage_queue import StageQueue


class StageQueueView(StageQueue):
    """Answers as the queue of a stage service does, and changes nothing in it.

    Only `forecast_ms` and `assess` of it may be used.

    Parameters
    ----------
    queue : StageQueue
        The queue in use.
    limits : LimitsView
        The limits that it uses.
    """

    def __init__(self, queue: StageQueue, limits: LimitsView):
        self.__dict__.update(queue.__dict__)
        self._limits = limits

    def assess(self, worker: Worker, now_s: float) -> WorkerExplanation:
        """Return what is considered of a worker."""
        key, call = worker.key, self._busy.get(worker.key)
        left_ms = 0.0
        if call is not None:
            left_ms = max(0.0, (call.expected_end_s - now_s) * 1_000.0)
        reason = self._unavailability(worker, now_s)
        return WorkerExplanation(
            worker=worker.id,
            data_centre=worker.data_centre,
            used_slots=int(call is not None),
            slots=1,
            backlog_ms=left_ms,
            reported_slowdown=None,
            report_age_ms=None,
            measured_slowdown=self.health.slowdown(key),
            expected_ms=None,
            reason="" if reason is None else reason.value,
            wait_ms=self._unavailable_ms(key, reason, left_ms, now_s),
        )

    def _unavailable_ms(
        self, key: str, reason: Unavailability | None, left_ms: float, now_s: float
    ) -> float | None:
        if reason is Unavailability.NO_FREE_SLOT:
            return left_ms
        if reason is Unavailability.UNHEALTHY:
            return self.health.excluded_ms(key, now_s)
        if reason in (Unavailability.COLD, Unavailability.LIMITED):
            return self._limits.wait_ms(key, now_s)
        if reason is Unavailability.NO_MEMORY:
            return (self._memories[key].blocked_until_s - now_s) * 1_000.0
        return None


def explain_stage(
    queue: StageQueueView,
    group: PieceGroup,
    message: RunPieces,
    catalogue: Catalogue,
    barred: str | None,
    max_workers: int,
    now_s: float,
) -> ServiceExplanation:
    """Return what would happen to the pieces of a stage."""
    service = ServiceName(message.service)
    workers = catalogue.workers_of(service)
    forecast_ms = queue.forecast_ms(group, workers, now_s)
    outcome, worker, cause, retry_ms = "waits", "", "", 0.0
    rows = [queue.assess(one, now_s) for one in workers if group.is_allowed_at(one)]
    if barred is not None:
        outcome, cause, retry_ms = "refused", barred, NO_WORKER_RETRY_MS
    elif forecast_ms is None:
        excluded_ms = min((row.wait_ms or 0.0 for row in rows), default=0.0)
        if not rows or excluded_ms > message.expires_ms:
            outcome, cause = "refused", "no_worker"
            retry_ms = max(MIN_RETRY_MS, excluded_ms)
        forecast_ms = excluded_ms
    elif forecast_ms > message.expires_ms:
        outcome, cause = "refused", "overload"
        retry_ms = MIN_RETRY_MS + forecast_ms / 2
    elif not queue.waiting_pieces:
        idle = [row for row in rows if not row.reason]
        if idle:
            worker = min(idle, key=lambda row: row.measured_slowdown).worker
            outcome = "worker"
    shown, others = listed_workers(
        rows, worker, catalogue, service, message.allowed_regions, None, max_workers
    )
    return ServiceExplanation(
        service=service,
        dispatcher="",
        outcome=outcome,
        worker=worker,
        wait_ms=forecast_ms or 0.0,
        cause=cause,
        retry_after_ms=retry_ms,
        cost_ms=queue.spec.duration_ms(len(group.pieces)),
        waiting=queue.waiting_pieces,
        used_slots=sum(row.used_slots for row in rows),
        workers=shown,
        others=others,
    )
