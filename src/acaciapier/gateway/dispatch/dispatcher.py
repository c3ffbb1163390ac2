"""Dispatcher: schedules work for the services that are assigned to this instance."""

from collections.abc import Callable, Sequence
from functools import partial

import msgspec
import trio

from ...core.clock import Clock, epoch_ms, to_s
from ...core.ids import InstanceId
from ...wire.messages.base import Message
from ...wire.messages.explain import (
    DispatcherQuestion,
    ExplainSlot,
    ServiceExplanation,
)
from ...wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    RunPieces,
    ServiceCosts,
    ServiceEngineTimes,
    ServiceWait,
    WorkRefused,
)
from ..catalogue import Catalogue
from ..engine_times import EngineEstimate
from ..models import ServiceName, Worker
from ..settings import GatewayBounds
from ..supervision import TaskSupervisor
from ..worker_limits import WorkerLimits
from .cost_sharing import CostSharing
from .explanations import DispatchExplainer
from .future import Future
from .limit_reports import make_grant, make_refusal, record_report
from .outcomes import record_outcome
from .partition import partition_wait_ms, pop_partitioned
from .reachability import Reachability
from .refusal import CANCELLED, MIN_RETRY_MS, NO_WORKER_RETRY_MS
from .request_costs import CostKind
from .retry_budget import RetryBudgets
from .slot_requests import (
    ReleasedSlots,
    SlotRequest,
    SlotReservation,
    make_slot_request,
)
from .slots import PERMIT_TTL_MS, UNLISTED_PERMIT_MS, SlotAllocator
from .stage_dispatcher import StageDispatcher
from .version_preference import KeptVersions
from .withdrawals import EndedWork
from .worker_load import WorkerLoads

CHECK_PERIOD_MS = 25.0
"""Interval at which waiting slot requests are checked: a sixth of the tightest latency
objective."""

WAITS_PERIOD_MS = 100.0
"""Minimum age at which the expected waits sent with heartbeats are computed again: half
a heartbeat period."""

HANDED_OVER = "handed_over"
"""Cause of a refusal by a stopping dispatcher; the sender calls the next dispatcher
without a retry delay."""


class Dispatcher:
    """Queues and slots of all services that this instance dispatches.

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
    bounds : GatewayBounds
        Bounds set by the operators, among them those of the retry budget.
    own : InstanceId
        This instance. While it stops, it refuses the requests of other instances but
        accepts its own, which it sends here only if no other instance is left.
    limits : WorkerLimits, optional
        Paces the requests to workers that have named a limit.
    versions : KeptVersions, optional
        Keeps services to one software version while earlier builds are running.
    loads : WorkerLoads, optional
        Slowdowns that workers report, also in answers to this instance itself.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        client,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        bounds: GatewayBounds,
        own: InstanceId,
        limits: WorkerLimits | None = None,
        versions: KeptVersions | None = None,
        loads: WorkerLoads | None = None,
    ):
        self.limits = limits or WorkerLimits(log)
        self.loads = loads if loads is not None else WorkerLoads()
        self._versions = versions or KeptVersions(catalogue)
        self._own = own
        self._waits: tuple[ServiceWait, ...] = ()
        self._waits_updated_s = -1.0
        self._bounds = bounds
        self.budgets = RetryBudgets(bounds, f"{own}/{epoch_ms(clock.now())}")
        self.stopping = False
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self.stages = StageDispatcher(catalogue, client, clock, log, tasks, self.limits)
        self.allocators: dict[str, SlotAllocator] = {}
        self._grants: dict[str, Future[Worker | None]] = {}
        self._checking: set[str] = set()
        self._ended = EndedWork(clock)
        self._costs = CostSharing(self.allocators, clock, log)
        self._explainer = DispatchExplainer(
            catalogue,
            clock,
            self.allocators,
            self.limits,
            self.loads,
            self._versions,
            self._costs,
        )
        self._released: dict[InstanceId, ReleasedSlots] = {}
        """Slots of instances that are down, or only silent."""

    def set_bounds(self, bounds: GatewayBounds) -> None:
        """Apply changed bounds of the operators."""
        if bounds != self._bounds:
            self._bounds = bounds
            self.budgets.set_bounds(bounds)

    async def enter_stages(self, peer: InstanceId, message: EnterStages) -> Message:
        """Wait until a request may start a chain of stages that ends with a service."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        return await self.stages.enter_stages(peer, message)

    async def run_pieces(self, peer: InstanceId, message: RunPieces) -> Message:
        """Run the pieces of one stage of a request."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        return await self.stages.run_pieces(peer, message)

    async def acquire(self, peer: InstanceId, message: AcquireWorker) -> Message:
        """Grant a slot at a worker as soon as one is free."""
        if self.stopping and peer != self._own:
            return WorkRefused(HANDED_OVER, 0.0)
        # Instances of earlier builds use the name of a permit again for a repeat.
        names_are_unique = message.accepted is not None
        if names_are_unique and self._ended.pop(message.service, message.permit):
            return WorkRefused(CANCELLED, 0.0)
        allocator = self._allocator(message.service)
        now_s = self._clock.monotonic_s()
        kept, latest_ms = None, message.expires_ms
        kind = CostKind(message.route, message.body_bytes, message.workspace)
        if allocator is not None:
            for permit in message.accepted or ():
                allocator.confirm(permit, now_s)
            latest_ms = allocator.latest_start_ms(latest_ms, message.whole, kind)
            kept = self._versions.choose(peer, message, allocator, now_s)
        request = make_slot_request(
            peer, message, kept, latest_ms, now_s, self._catalogue.eligibility
        )
        workers = request.usable(self._workers(message.service))
        if allocator is None or not workers:
            return self._refuse_for_lack(message.service, request)
        self.limits.merge(peer, message.limits, now_s)
        self.limits.brittle.merge(peer, message.service, message.brittle, now_s)
        budget = self.budgets.of(message.service)
        if not message.repeat:
            budget.record_first_send(now_s)
        elif not budget.spend(now_s, is_hedge=message.only_untried):
            return WorkRefused("repeat_budget", NO_WORKER_RETRY_MS)
        forecast_ms = allocator.forecast_ms(request, workers, now_s)
        cause, retry_ms, worker = "overload", MIN_RETRY_MS + forecast_ms / 2, None
        if forecast_ms <= latest_ms:
            cause, retry_ms = "expired", max(MIN_RETRY_MS, forecast_ms)
            try:
                worker = await self._wait_for_slot(allocator, message.service, request)
            except trio.Cancelled:
                if message.repeat:
                    budget.refund()
                raise
        if worker is not None:
            return make_grant(self.limits, worker, now_s, self._clock.monotonic_s())
        if message.repeat:
            budget.refund()
        if self.stopping and cause == "expired":
            return WorkRefused(HANDED_OVER, retry_ms)
        if self._lacks_worker(message.service)(request):
            return self._refuse_for_lack(message.service, request)
        ended_s = self._clock.monotonic_s()
        partition_ms = partition_wait_ms(allocator, request, workers, ended_s)
        if partition_ms is not None:
            return WorkRefused("unreachable", max(MIN_RETRY_MS, partition_ms))
        return make_refusal(cause, retry_ms, allocator, self.limits, workers, now_s)

    async def explain(
        self, peer: InstanceId, message: DispatcherQuestion
    ) -> ServiceExplanation:
        """Return what a request or a stage of a peer would get now, and why."""
        if isinstance(message, ExplainSlot):
            found = self._explainer.explain(peer, message)
        else:
            found = self.stages.explain(peer, message)
        return msgspec.structs.replace(
            found, dispatcher=self._own, workers_age_ms=self._catalogue.workers_age_ms
        )

    async def _wait_for_slot(
        self, allocator: SlotAllocator, service: str, request: SlotRequest
    ) -> Worker | None:
        grant = self._grants[request.permit] = Future()
        allocator.add(request)
        self._assign(service)
        try:
            if allocator.waiting:
                self._start_checks(service)
            return await grant.wait()
        except trio.Cancelled:
            allocator.cancel(request.permit)
            allocator.release(request.permit)
            raise
        finally:
            self._grants.pop(request.permit, None)

    async def permit_started(self, peer: InstanceId, message: PermitStarted) -> None:
        """Record that an answer has started."""
        allocator = self.allocators.get(message.service)
        if allocator is not None:
            now_s = self._clock.monotonic_s()
            allocator.confirm(message.permit, now_s)
            held = allocator.reservation(message.permit)
            record_report(self.limits, allocator, peer, held, message, now_s)
            self._record_load(held, message, now_s)
            if allocator.record_start(message.permit, message.elapsed_ms, now_s):
                estimate = allocator.engine_times.estimate
                self._log(
                    "engine_times",
                    service=message.service,
                    first_part_ms=round(estimate.first_part_ms, 1),
                    ms_per_token=round(estimate.ms_per_token, 5),
                )

    async def permit_ended(self, peer: InstanceId, message: PermitEnded) -> None:
        """Release a slot and record how the call ended."""
        self._ended.record(message.service, message.permit)
        allocator = self.allocators.get(message.service)
        if allocator is None:
            return
        now_s = self._clock.monotonic_s()
        reservation = allocator.release(message.permit)
        record_report(self.limits, allocator, peer, reservation, message, now_s)
        self._record_load(reservation, message, now_s)
        if reservation is None:
            self._cancel_request(allocator, message.permit)
            if peer in self._released:
                self._released[peer].end(message.service, message.permit)
            return
        if reservation.started:
            self._versions.record_end(message.service, [reservation], now_s)
        record_outcome(allocator, reservation, message, now_s, self._log)
        self._assign(message.service)

    def _record_load(
        self,
        reservation: SlotReservation | None,
        message: PermitStarted | PermitEnded,
        now_s: float,
    ) -> None:
        """Record the load that a worker reported in its answer to a request."""
        if reservation is not None:
            self.loads.record(reservation.worker, message.load, now_s)

    def _cancel_request(self, allocator: SlotAllocator, permit: str) -> None:
        """Cancel a waiting slot request."""
        grant = self._grants.get(permit)
        if grant is not None:
            allocator.cancel(permit)
            grant.set_result(None)

    async def free_results(self, peer: InstanceId, message: FreeResults) -> None:
        """Release results at the workers of a service, which may have been dropped."""
        await self.stages.free_results(peer, message)

    async def cancel_work(self, peer: InstanceId, message: CancelWork) -> None:
        """Cancel the pieces of an attempt whose caller is gone."""
        await self.stages.cancel_work(peer, message)

    async def held_permits(self, peer: InstanceId, message: HeldPermits) -> None:
        """Reserve the slots that an earlier dispatcher granted to an instance."""
        allocator = self._allocator(message.service)
        if allocator is None:
            return
        now_s = self._clock.monotonic_s()
        until_s = now_s + to_s(PERMIT_TTL_MS)
        listed = {permit for permit, *_ in message.permits}
        allocator.release_owner(peer, listed, now_s - to_s(UNLISTED_PERMIT_MS))
        for permit, worker, prompt_tokens, output_tokens in message.permits:
            if (message.service, permit) in self._ended:
                continue
            allocator.confirm(permit, now_s)
            reservation = SlotReservation(
                worker, peer, prompt_tokens, output_tokens, 0.0, until_s, True
            )
            allocator.restore(permit, reservation)

    async def held_results(self, peer: InstanceId, message: HeldResults) -> None:
        """Record the results that an instance obtained from an earlier dispatcher."""
        await self.stages.held_results(peer, message)

    def service_waits(self) -> tuple[ServiceWait, ...]:
        """Return the expected waits of the stage services that have waiting pieces."""
        now_s = self._clock.monotonic_s()
        if now_s - self._waits_updated_s >= to_s(WAITS_PERIOD_MS):
            self._waits_updated_s = now_s
            waits = self.stages.waits_ms()
            for service, allocator in self.allocators.items():
                workers = self._catalogue.workers_of(ServiceName(service))
                if limited_ms := allocator.waits_ms(workers, now_s):
                    waits[service] = limited_ms
            self._waits = tuple(ServiceWait(*wait) for wait in waits.items())
        return self._waits

    def engine_estimate(self, service: str) -> EngineEstimate | None:
        """Return the learned times of a service's engines, if there are any."""
        allocator = self.allocators.get(service)
        if allocator is None or not allocator.engine_times.learned:
            return None
        return allocator.engine_times.estimate

    def engine_times(self) -> tuple[ServiceEngineTimes, ...]:
        """Return the learned times of all engines, for heartbeats."""
        return tuple(
            ServiceEngineTimes(service, estimate.first_part_ms, estimate.ms_per_token)
            for service in self.allocators
            if (estimate := self.engine_estimate(service)) is not None
        )

    def reserved_counts(self, permits: int) -> dict[str, int]:
        """Return what is reserved or waits here, by kind, for metrics."""
        slots = sum(one.reserved for one in self.allocators.values())
        waiting = sum(one.waiting for one in self.allocators.values())
        own = {"permits": permits, "slots": slots, "waiting_requests": waiting}
        return own | self.stages.reserved_counts()

    def start_soon(self, task, *args) -> None:
        """Start a background task of this instance's client."""
        self._tasks.start_soon(task, *args)

    def shared_costs(self) -> tuple[ServiceCosts, ...]:
        """Return the costs that were learned here lately, for heartbeats."""
        return self._costs.shared()

    def merge_costs(self, costs: Sequence[ServiceCosts]) -> None:
        """Keep what another dispatcher learned, to start with it as its successor."""
        known = (ServiceName(learned.service) for learned in costs)
        rules = [self._catalogue.rule(service) for service in known]
        self._costs.merge([one for one, rule in zip(costs, rules, strict=True) if rule])

    def handle_soon(self, handler, peer: InstanceId, message: Message) -> None:
        """Start a task that handles a message which this instance sent to itself."""
        self._tasks.start_soon(handler, self, peer, message)

    def remove_owner(self, instance: InstanceId) -> None:
        """Remove the work of an instance that went down."""
        self.stages.remove_owner(instance)
        released = ReleasedSlots(self._clock.monotonic_s())
        self._released[instance] = released
        for service, allocator in self.allocators.items():
            held = released.by_service[service] = allocator.release_owner(instance)
            self._versions.record_end(service, held.values(), released.at_s)
            allocator.reachability.remove_instance(instance)
            self._assign(service)

    def restore_owner(self, instance: InstanceId, uptime_ms: float) -> None:
        """Reserve the slots of an instance again that was only silent."""
        released = self._released.pop(instance, None)
        started_s = self._clock.monotonic_s() - to_s(uptime_ms)
        if released is not None and started_s <= released.at_s:
            for service, permit, reservation in released.left(self._clock):
                self.allocators[service].restore(permit, reservation)

    def workers_changed(self) -> None:
        """Update all queues after a change of the workers."""
        self.stages.workers_changed()
        workers = self._catalogue.workers.values()
        self.loads.keep_only({worker.key for worker in workers})
        for service, allocator in self.allocators.items():
            allocator.retain_workers(self._catalogue.workers_of(ServiceName(service)))
            self._assign(service)

    def hand_over(self) -> None:
        """Return all waiting work to its senders, at a stop or after a freeze."""
        self.stages.hand_over(HANDED_OVER, for_good=self.stopping)
        for allocator in self.allocators.values():
            for request in allocator.pop_all():
                self._grants[request.permit].set_result(None)

    def _allocator(self, service: str) -> SlotAllocator | None:
        rule = self._catalogue.rule(ServiceName(service))
        if rule is None:
            return None
        allocator = self.allocators.get(service)
        if allocator is None:
            allocator = self.allocators[service] = SlotAllocator(
                rule,
                limits=self.limits,
                reachability=Reachability(partial(self._log, service=service)),
                loads=self.loads,
            )
            allocator.placement.costs.start_with(self._costs.pop(service))
        allocator.set_rule(rule, self._bounds.prefix_reuse_ms)
        return allocator

    def _workers(self, service: str) -> Sequence[Worker]:
        return self._catalogue.workers_of(ServiceName(service))

    def _assign(self, service: str) -> None:
        allocator = self.allocators[service]
        now_s = self._clock.monotonic_s()
        workers = self._catalogue.workers_of(ServiceName(service))
        self._release_overdue(service, allocator, now_s)
        popped = allocator.pop_expired(now_s)
        popped += pop_partitioned(allocator, workers, now_s)
        popped += allocator.pop_hopeless(workers, now_s)
        popped += allocator.pop(self._lacks_worker(service))
        for request in popped:
            self._grants[request.permit].set_result(None)
        for request, worker in allocator.assign(workers, now_s):
            grant = self._grants.get(request.permit)
            if grant is None:
                allocator.release(request.permit)
            else:
                grant.set_result(worker)

    def _lacks_worker(self, service: str) -> Callable[[SlotRequest], bool]:
        """Return a condition: that a request is not to wait for a worker to appear.

        One that could run anywhere waits, unless all its workers are evacuated.
        """
        workers = self._workers(service)
        barred = self._catalogue.barred_cause(ServiceName(service)) is not None
        return lambda request: (
            (barred or request.is_bound) and not request.usable(workers)
        )

    def _refuse_for_lack(self, service: str, request: SlotRequest) -> WorkRefused:
        cause = self._catalogue.refusal_cause(
            service, request.software_version, request.allowed_regions
        )
        return WorkRefused(cause, NO_WORKER_RETRY_MS)

    def _release_overdue(
        self, service: str, allocator: SlotAllocator, now_s: float
    ) -> None:
        if not allocator.waiting:
            return
        for permit, reservation in allocator.release_overdue(now_s).items():
            self._log(
                "slot_expired",
                service=service,
                permit=permit,
                worker=reservation.worker,
                instance=reservation.owner,
                accepted=reservation.accepted,
            )

    def _start_checks(self, service: str) -> None:
        if service not in self._checking:
            self._checking.add(service)
            self._tasks.start_soon(self._check_periodically, service)

    async def _check_periodically(self, service: str) -> None:
        allocator = self.allocators[service]
        try:
            while allocator.waiting:
                await trio.sleep(to_s(CHECK_PERIOD_MS))
                self._assign(service)
        finally:
            self._checking.discard(service)
