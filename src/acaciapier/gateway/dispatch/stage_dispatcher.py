"""Stages of all services that this instance dispatches: admission and pieces."""

from collections.abc import Callable

import trio

from ...core.clock import Clock, to_s
from ...core.ids import InstanceId
from ...wire.messages.base import Message
from ...wire.messages.explain import (
    ExplainAdmission,
    ExplainStage,
    ServiceExplanation,
)
from ...wire.messages.gateway import (
    CancelWork,
    EnterStages,
    FreeResults,
    HeldResults,
    PiecesMade,
    RunPieces,
    WorkRefused,
)
from ..catalogue import Catalogue
from ..models import AttemptId, Piece, ServiceName, ServiceRule
from ..supervision import TaskSupervisor
from ..worker_eligibility import Ineligibility
from ..worker_limits import LimitsView, WorkerLimits
from .admission import StageAdmission
from .future import Future
from .piece_groups import PieceGroup
from .refusal import (
    CANCELLED,
    MIN_RETRY_MS,
    NO_WORKER_RETRY_MS,
    TOO_MANY_PIECES,
)
from .stage_capacity import most_pieces
from .stage_explanations import StageQueueView, explain_stage
from .stage_queue import StageQueue
from .stage_scheduler import StageScheduler
from .withdrawals import EndedWork


class StageDispatcher:
    """Admits requests to chains of stages and runs their pieces.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    client : object
        Calls to stage workers.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    tasks : TaskSupervisor
        Runs calls and periodic checks.
    limits : WorkerLimits
        Paces the calls to workers that have named a limit.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        client,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        limits: WorkerLimits,
    ):
        self.client = client
        self._limits = limits
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._schedulers: dict[str, StageScheduler] = {}
        self._admissions: dict[str, StageAdmission] = {}
        self._ended = EndedWork(clock)

    async def enter_stages(self, peer: InstanceId, message: EnterStages) -> Message:
        """Wait until a request may start a chain of stages that ends with a service."""
        if self._ended.pop(message.service, message.attempt):
            return WorkRefused(CANCELLED, 0.0)
        scheduler = self._scheduler(message.service)
        if scheduler is None:
            return WorkRefused("unknown_service", NO_WORKER_RETRY_MS)
        refused_cause = self._barred_cause(message) or self._excess_cause(message)
        if refused_cause is not None:
            return WorkRefused(refused_cause, NO_WORKER_RETRY_MS)
        admission = self._admissions.get(message.service)
        if admission is None:
            admission = self._admissions[message.service] = StageAdmission(
                message.service,
                scheduler.capacity_per_ms,
                self._clock,
                self._log,
                self._tasks,
            )
        return await admission.enter(peer, message)

    async def run_pieces(self, peer: InstanceId, message: RunPieces) -> Message:
        """Run the pieces of one stage of a request."""
        if self._ended.pop(message.service, message.attempt):
            return WorkRefused(CANCELLED, 0.0)
        scheduler = self._scheduler(message.service)
        if scheduler is None:
            return WorkRefused("unknown_service", NO_WORKER_RETRY_MS)
        refused_cause = self._barred_cause(message) or self._excess_cause(message)
        if refused_cause is not None:
            return WorkRefused(refused_cause, NO_WORKER_RETRY_MS)
        group = self._make_group(peer, message, self._clock.monotonic_s())
        forecast_ms = scheduler.forecast_ms(group)
        if forecast_ms is None:
            if not scheduler.may_wait(group):
                retry_ms = max(MIN_RETRY_MS, scheduler.excluded_ms())
                return WorkRefused("no_worker", retry_ms)
        elif forecast_ms > message.expires_ms:
            return WorkRefused("overload", MIN_RETRY_MS + forecast_ms / 2)
        reason = await self._wait_for_pieces(scheduler, group)
        admission = self._admissions.get(message.service)
        if admission is not None and reason is None:
            admission.finish_stage(message.attempt, message.stage)
        elif admission is not None:
            admission.remove(message.attempt)
        if reason is None:
            handles = (group.results[n].handle for n in range(message.count))
            return PiecesMade(tuple(handles))
        scheduler.release_results(
            [result.handle for result in group.results.values() if result.handle]
        )
        evacuated = reason == Ineligibility.EVACUATED.value
        return WorkRefused(reason, NO_WORKER_RETRY_MS if evacuated else MIN_RETRY_MS)

    def _make_group(
        self, peer: InstanceId, message: RunPieces, now_s: float
    ) -> PieceGroup:
        """Return the pieces of one stage of a request."""
        group = PieceGroup(
            owner=peer,
            pieces=[
                Piece(
                    AttemptId(message.attempt),
                    message.stage,
                    number,
                    message.key,
                    message.inputs,
                )
                for number in range(message.count)
            ],
            result_bytes=message.result_bytes,
            due_s=now_s + to_s(message.due_ms),
            latest_s=now_s + to_s(message.latest_ms),
            expires_s=now_s + to_s(message.expires_ms),
            priority=message.priority,
            value=message.value,
            data_centre=message.data_centre,
            transfer_bytes=message.transfer_bytes,
        )
        regions = message.allowed_regions
        if regions:
            is_allowed = self._catalogue.eligibility.is_allowed
            group.may_run_at = lambda worker: is_allowed(worker.data_centre, regions)
            if not is_allowed(group.data_centre, regions):
                group.data_centre = ""
        return group

    def explain(
        self, peer: InstanceId, message: ExplainStage | ExplainAdmission
    ) -> ServiceExplanation:
        """Return what would happen to a stage, or whether a request is admitted."""
        asked = message.run if isinstance(message, ExplainStage) else message.enter
        rule = self._catalogue.rule(ServiceName(asked.service))
        if rule is None or rule.batching is None:
            cause = "unknown_service"
            return ServiceExplanation(asked.service, "", "refused", cause=cause)
        refused_cause = self._excess_cause(asked)
        if isinstance(message, ExplainAdmission):
            refused_cause = self._barred_cause(asked) or refused_cause
        if refused_cause is not None:
            return ServiceExplanation(
                asked.service,
                "",
                "refused",
                cause=refused_cause,
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        if isinstance(message, ExplainStage):
            return self._explain_stage(peer, asked, rule, message.max_workers)
        admission = self._admissions.get(asked.service)
        if admission is None:
            # Nothing was admitted here yet.
            return ServiceExplanation(asked.service, "", "admitted")
        return admission.explain(peer, asked)

    def _explain_stage(
        self, peer: InstanceId, message: RunPieces, rule: ServiceRule, max_workers: int
    ) -> ServiceExplanation:
        scheduler = self._schedulers.get(message.service)
        if scheduler is None:
            queue = StageQueue(rule.batching, self._limits)
        else:
            queue = scheduler.queue
        return explain_stage(
            StageQueueView(queue, LimitsView(self._limits)),
            self._make_group(peer, message, self._clock.monotonic_s()),
            message,
            self._catalogue,
            self._barred_cause(message),
            max_workers,
            self._clock.monotonic_s(),
        )

    async def _wait_for_pieces(
        self, scheduler: StageScheduler, group: PieceGroup
    ) -> str | None:
        done: Future[str | None] = Future()
        scheduler.submit(group, lambda _, reason: done.set_result(reason))
        try:
            return await done.wait()
        except trio.Cancelled:
            scheduler.cancel(group.attempt)
            raise

    async def free_results(self, peer: InstanceId, message: FreeResults) -> None:
        """Release results at the workers of a service, which may have been dropped."""
        service = message.service
        scheduler = self._schedulers.get(service) or self._scheduler(service)
        if scheduler is not None:
            scheduler.release_results(message.handles)

    async def cancel_work(self, peer: InstanceId, message: CancelWork) -> None:
        """Cancel the pieces of an attempt whose caller is gone."""
        self._ended.record(message.service, message.attempt)
        scheduler = self._schedulers.get(message.service)
        if scheduler is not None:
            scheduler.cancel(message.attempt)
        admission = self._admissions.get(message.service)
        if admission is not None:
            admission.remove(message.attempt)

    async def held_results(self, peer: InstanceId, message: HeldResults) -> None:
        """Record the results that an instance obtained from an earlier dispatcher."""
        scheduler = self._scheduler(message.service)
        if scheduler is not None:
            scheduler.replace_results(peer, message.results)

    def waits_ms(self) -> dict[str, tuple[tuple[int, float], ...]]:
        """Return the expected waits of the services that have waiting pieces."""
        return {
            service: scheduler.waits_ms()
            for service, scheduler in self._schedulers.items()
            if scheduler.queue.waiting_pieces
        }

    def reserved_counts(self) -> dict[str, int]:
        """Return what is reserved or waits here, by kind, for metrics."""
        schedulers, admissions = self._schedulers.values(), self._admissions.values()
        return {
            "stage_calls": self._limits.brittle.calls,
            "waiting_pieces": sum(one.queue.waiting_pieces for one in schedulers),
            "waiting_chains": sum(one.waiting for one in admissions),
            "admitted_pieces": sum(one.started_pieces for one in admissions),
        }

    def remove_owner(self, instance: InstanceId) -> None:
        """Remove the waiting admissions of an instance that went down."""
        for admission in self._admissions.values():
            admission.remove_owner(instance)

    def _barred_cause(self, message: EnterStages | RunPieces) -> str | None:
        return self._catalogue.barred_cause(
            ServiceName(message.service), message.allowed_regions
        )

    def _excess_cause(self, message: EnterStages | RunPieces) -> str | None:
        """Return why a request is refused whose pieces can never be made in time."""
        service = ServiceName(message.service)
        rule = self._catalogue.rule(service)
        workers = len(self._catalogue.workers_of(service))
        most = most_pieces(rule.batching, workers, message.expires_ms)
        return TOO_MANY_PIECES if message.count > most else None

    def workers_changed(self) -> None:
        """Update all queues after a change of the workers."""
        evacuated = Ineligibility.EVACUATED.value
        for service, scheduler in self._schedulers.items():
            scheduler.start_calls()
            if self._catalogue.barred_cause(ServiceName(service)) is not None:
                scheduler.hand_over(evacuated)
                if service in self._admissions:
                    self._admissions[service].hand_over(evacuated)

    def hand_over(self, cause: str, for_good: bool = False) -> None:
        """Return all waiting work to its senders; `for_good` if this instance stops."""
        for scheduler in self._schedulers.values():
            scheduler.hand_over(cause, for_good)
        for admission in self._admissions.values():
            admission.hand_over(cause)

    def _scheduler(self, service: str) -> StageScheduler | None:
        rule = self._catalogue.rule(ServiceName(service))
        if rule is None or rule.batching is None:
            return None
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = StageScheduler(
                service,
                rule.batching,
                lambda: self._catalogue.workers_of(ServiceName(service)),
                self.client,
                self._clock,
                self._log,
                self._tasks,
                self._limits,
            )
        scheduler.queue.spec = rule.batching
        return scheduler
