"""Client of the dispatchers: finds the dispatcher of a service and handles failover."""

from collections.abc import Callable, Sequence

import msgspec
import trio

from ...core.clock import Clock, epoch_ms, to_s
from ...core.ids import InstanceId
from ...exceptions import PeerUnavailable
from ...wire.messages.base import Message
from ...wire.messages.control import CallFailure
from ...wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    PiecesMade,
    ReportedLoad,
    RunPieces,
    StagesEntered,
    WorkerGranted,
    WorkerLimitEntry,
    WorkRefused,
)
from ..catalogue import Catalogue
from ..engine_times import DEFAULT_ESTIMATE, EngineEstimate
from ..models import ServiceName, Worker, WorkerId
from ..peers import Peers
from .dispatcher import HANDED_OVER, Dispatcher
from .local_calls import LOCAL_CALLS, LOCAL_NOTIFICATIONS
from .outcomes import OUTCOME_CANCELLED
from .permit_confirmations import PermitConfirmations
from .permits import Permit
from .refusal import (
    CANCELLED,
    DISPATCHER_CHANGE_RETRY_MS,
    OTHER_WORKER_RETRY_MS,
    Refused,
)
from .withdrawals import make_cancellation, make_return
from .worker_load import reported_load

MAX_DISPATCHERS = 20
"""Dispatchers that are tried: most listed ones start late after a loss of power."""

MAX_UNUSABLE_GRANTS = 4
"""Maximum number of slots granted at workers that have left, or whose limit leaves no
room, before a request is refused."""

EVACUATED_GRANT_DELAY_MS = 100.0
"""Delay after a grant at an evacuated worker: half a heartbeat period, so that the
dispatcher knows of the evacuation before too many grants are unusable."""

UNUSED_PERMIT_TTL_MS = 1_000.0
"""Time after its grant in which a permit may be used. A request that is sent later,
as this process or the grant was delayed, would come on top of those granted since."""

COLD_PERMIT_TTL_MS = 300.0
"""The same at a cold worker, whose bound counts in windows of 1 s. Several messages
between instances fit into it."""

ANSWER_MARGIN_MS = 400.0
"""Time added to the remaining wait of a request to get the timeout of the call to a
remote dispatcher."""


class DispatchClient:
    """Sends this instance's requests to the dispatchers of the fleet.

    Parameters
    ----------
    peers : Peers
        The other instances.
    dispatcher : Dispatcher
        Dispatcher of this instance, called directly for its services.
    catalogue : Catalogue
        Workers.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(
        self,
        peers: Peers,
        dispatcher: Dispatcher,
        catalogue: Catalogue,
        clock: Clock,
        log: Callable[..., None],
    ):
        self._peers = peers
        self._own_dispatcher = dispatcher
        self._limits = dispatcher.limits
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._permits: dict[str, Permit] = {}
        self._results: dict[str, dict[str, int]] = {}
        self._dispatchers: dict[str, InstanceId] = {}
        self._engine_estimates: dict[ServiceName, EngineEstimate] = {}
        self._confirmations = PermitConfirmations(clock)
        self._confirming = False
        self._last_permit_number = 0
        self._incarnation = epoch_ms(clock.now())

    @property
    def held_permits(self) -> int:
        """Number of permits that this instance holds."""
        return len(self._permits)

    def dispatcher_of(self, service: str) -> InstanceId:
        """Return the instance that currently dispatches a service."""
        ranked = self._peers.rank(service, not self._own_dispatcher.stopping)
        return ranked[0] if ranked else self._peers.own

    def dispatchers(self) -> dict[str, InstanceId]:
        """Return the current dispatcher of each service, as this instance sees it."""
        configuration = self._catalogue.configuration
        services = configuration.services if configuration is not None else ()
        return {service: self.dispatcher_of(service) for service in services}

    def wait_ms(self, service: str, priority: int) -> float:
        """Return the expected wait of new work, as the dispatcher last reported it."""
        instance = self.dispatcher_of(service)
        if instance == self._peers.own:
            waits = self._own_dispatcher.service_waits()
        else:
            waits = self._peers.reported_waits(instance)
        for wait in waits:
            if wait.service == service:
                ahead_ms = [
                    wait_ms
                    for wait_priority, wait_ms in wait.waits_ms
                    if wait_priority <= priority
                ]
                return max(ahead_ms, default=0.0)
        return 0.0

    def engine_estimate(
        self, service: ServiceName, remember: bool = True
    ) -> EngineEstimate:
        """Return the times of a service's engines, as its dispatcher learned them."""
        instance = self.dispatcher_of(service)
        if instance == self._peers.own:
            estimate = self._own_dispatcher.engine_estimate(service)
        else:
            estimate = self._peers.engine_estimate(instance, service)
        if estimate is not None and not remember:
            return estimate
        if estimate is not None:
            self._engine_estimates[service] = estimate
        return self._engine_estimates.get(service, DEFAULT_ESTIMATE)

    async def enter_stages(self, message: EnterStages) -> None:
        """Wait until a request may start its stages, or raise `Refused`."""
        answer, *_ = await self._call_dispatcher(
            message.service, message, message.expires_ms
        )
        if not isinstance(answer, StagesEntered):
            raise _refusal_of(answer)

    async def run_pieces(self, message: RunPieces) -> tuple[str, ...]:
        """Return the handles of all pieces of a stage, or raise `Refused`."""
        answer, *_ = await self._call_dispatcher(
            message.service, message, message.expires_ms
        )
        if isinstance(answer, PiecesMade):
            result_sizes = self._results.setdefault(message.service, {})
            result_sizes.update(dict.fromkeys(answer.handles, message.result_bytes))
            return answer.handles
        raise _refusal_of(answer)

    async def acquire(self, message: AcquireWorker) -> Permit:
        """Return a permit for a worker, or raise `Refused`."""
        brittle_workers = self._limits.brittle
        for _ in range(MAX_UNUSABLE_GRANTS):
            workers = self._catalogue.workers_of(ServiceName(message.service))
            message = msgspec.structs.replace(
                message,
                limits=self._known_limits(message.service),
                brittle=brittle_workers.entries(workers, self._clock.monotonic_s()),
            )
            answer, asked_s, dispatcher, message = await self._call_dispatcher(
                message.service, message, message.expires_ms
            )
            if not isinstance(answer, WorkerGranted):
                raise _refusal_of(answer)
            permit = self._accept_grant(message, answer, asked_s, dispatcher)
            if permit is not None:
                return permit
            avoid = (*message.avoid, answer.worker)
            granted = self._catalogue.workers.get(WorkerId(answer.worker))
            if granted and self._catalogue.eligibility.is_evacuated(granted):
                # A heartbeat is about to tell the dispatcher of the evacuation.
                await trio.sleep(to_s(EVACUATED_GRANT_DELAY_MS))
            message = msgspec.structs.replace(message, avoid=avoid)
        raise Refused("worker_left", OTHER_WORKER_RETRY_MS)

    def _known_limits(self, service: str) -> tuple[WorkerLimitEntry, ...]:
        """Return the limits of a service's workers that this instance knows."""
        workers = self._catalogue.workers_of(ServiceName(service))
        return self._limits.entries(workers, self._clock.monotonic_s())

    def report_started(self, permit: Permit) -> None:
        """Report to the dispatcher that the first part of an answer has arrived."""
        self._confirmations.remove(permit.name)
        self._notify(
            permit.dispatchers[-1],
            PermitStarted(
                permit.service,
                permit.name,
                self._held_ms(permit),
                permit.limit_per_s,
                permit.without_limit,
                permit.brittle_rejections,
                permit.not_brittle,
                self._load_of(permit),
            ),
        )
        permit.limit_per_s = permit.brittle_rejections = permit.load = None

    def release_permit(self, permit: Permit, outcome: str | None = None) -> None:
        """Release a permit."""
        if self._permits.pop(permit.name, None) is None:
            return
        remote = [one for one in permit.dispatchers if one != self._peers.own]
        self._confirmations.end(permit.name, permit.service, remote)
        if remote:
            self._start_confirming()
        message = PermitEnded(
            permit.service,
            permit.name,
            outcome or permit.outcome,
            self._held_ms(permit),
            permit.retry_after_ms,
            permit.limit_per_s,
            permit.brittle_rejections,
            self._load_of(permit) if permit.load is not None else None,
        )
        for instance in permit.dispatchers:
            self._notify(instance, message)

    def release_results(self, service: str, handles: Sequence[str]) -> None:
        """Release results of a stage service."""
        result_sizes = self._results.get(service, {})
        for handle in handles:
            result_sizes.pop(handle, None)
        if handles:
            self._notify(
                self.dispatcher_of(service), FreeResults(service, tuple(handles))
            )

    def cancel_work(self, service: str, attempt: str) -> None:
        """Cancel the waiting admission and the pieces of an attempt."""
        self._notify(self.dispatcher_of(service), CancelWork(service, attempt))

    def _new_permit_name(self) -> str:
        """Return a name that no other permit has."""
        self._last_permit_number += 1
        return f"{self._peers.own}/{self._incarnation}/{self._last_permit_number}"

    async def _call_dispatcher(
        self, service: str, message: Message, wait_ms: float
    ) -> tuple[Message, float, InstanceId, Message]:
        """Call the dispatcher of a service; on failure call the next one.

        Return its answer, when and which one was called, and the message that it got.
        """
        start_s = self._clock.monotonic_s()
        for _ in range(MAX_DISPATCHERS):
            instance = self.dispatcher_of(service)
            self._update_dispatcher(service, instance)
            remaining_ms = wait_ms - (self._clock.monotonic_s() - start_s) * 1_000.0
            if remaining_ms <= 0:
                return WorkRefused("expired", 0.0), start_s, instance, message
            asked_s = self._clock.monotonic_s()
            if isinstance(message, AcquireWorker):
                # An earlier call, and its late answer, then concern another permit.
                name = self._new_permit_name()
                message = msgspec.structs.replace(message, permit=name)
            try:
                answer = await self._call_instance(instance, message, remaining_ms)
            except trio.Cancelled:
                self._withdraw(service, instance, message)
                raise
            except PeerUnavailable as error:
                self._log(
                    "dispatcher_lost",
                    service=service,
                    dispatcher=instance,
                    reason=str(error),
                )
                # The dispatcher may still be alive and would then run the work, too.
                self._withdraw(service, instance, message)
                await trio.sleep(0.01)
                continue
            if isinstance(answer, WorkRefused) and answer.cause == CANCELLED:
                # The dispatcher took this instance for down, since it was silent.
                self._log("work_cancelled", service=service, dispatcher=instance)
                await trio.sleep(0.01)
                continue
            if isinstance(answer, WorkRefused) and answer.cause == HANDED_OVER:
                if instance != self._peers.own:
                    self._peers.record_stopping(instance)
                continue
            return answer, asked_s, instance, message
        refused = WorkRefused("no_dispatcher", DISPATCHER_CHANGE_RETRY_MS)
        return refused, start_s, self._peers.own, message

    def _withdraw(self, service: str, instance: InstanceId, message: Message) -> None:
        """Withdraw a request from its dispatcher; a local one has ended itself."""
        if instance != self._peers.own:
            self._peers.send(instance, make_cancellation(message))
            # The permits that the request confirmed may not have got there.
            self._confirmations.lost(service, instance)
            self._start_confirming()

    def handle_late(self, peer: InstanceId, message: Message, answer: Message) -> None:
        """Give back what a dispatcher granted to a request that has ended."""
        if not isinstance(answer, WorkRefused | CallFailure):
            self._log("late_grant_returned", service=message.service, dispatcher=peer)
            self._peers.send(peer, make_return(message, answer))

    def _start_confirming(self) -> None:
        if not self._confirming:
            self._confirming = True
            self._own_dispatcher.start_soon(self._confirm_periodically)

    async def _confirm_periodically(self) -> None:
        """Confirm the permits that no other message has confirmed in time."""
        try:
            await self._confirmations.run(self._list_permits)
        finally:
            self._confirming = False

    async def _call_instance(
        self, instance: InstanceId, message: Message, remaining_ms: float
    ) -> Message:
        if instance != self._peers.own:
            if isinstance(message, AcquireWorker):
                accepted = self._confirmations.take(message.service, instance)
                message = msgspec.structs.replace(message, accepted=accepted)
            return await self._peers.call(
                instance, message, remaining_ms + ANSWER_MARGIN_MS
            )
        return await LOCAL_CALLS[type(message)](
            self._own_dispatcher, self._peers.own, message
        )

    def _accept_grant(
        self,
        message: AcquireWorker,
        answer: WorkerGranted,
        asked_s: float,
        dispatcher: InstanceId,
    ) -> Permit | None:
        """Return the permit for a granted slot; None if it must not be used.

        The worker may have left, or have named a limit or that it is brittle, which the
        grant ignores.
        """
        worker = self._catalogue.workers.get(WorkerId(answer.worker))
        if (
            worker is None
            or worker.started_ms != answer.started_ms
            or not self._catalogue.usable(worker, message.allowed_regions)
            or not self._keeps_to_limit(worker, answer, asked_s)
            or not self._keeps_to_room(worker, answer, asked_s)
        ):
            ended = PermitEnded(message.service, message.permit, OUTCOME_CANCELLED, 0.0)
            self._notify(dispatcher, ended)
            return None
        is_cold = self._limits.is_cold(worker.key)
        unused_ttl_ms = COLD_PERMIT_TTL_MS if is_cold else UNUSED_PERMIT_TTL_MS
        permit = Permit(
            message.permit,
            message.service,
            worker,
            message.prompt_tokens,
            message.output_tokens,
            (dispatcher,),
            self._clock.monotonic_s(),
            asked_s + to_s(answer.waited_ms + unused_ttl_ms),
            answer.limited,
            answer.waited_ms,
        )
        self._permits[permit.name] = permit
        if dispatcher != self._peers.own:
            self._confirmations.add(permit.name, permit.service, dispatcher)
            self._start_confirming()
        if dispatcher != self._dispatchers[message.service]:
            # It was replaced while the request waited there.
            self._report_permits(message.service)
        return permit

    def _keeps_to_limit(
        self, worker: Worker, answer: WorkerGranted, asked_s: float
    ) -> bool:
        """Return whether a grant keeps to the limit of its worker."""
        limit, cold = self._limits.find(worker.key), self._limits.is_cold(worker.key)
        if limit is None and not cold:
            return True
        if answer.limited is not None and not (
            cold and answer.limited.per_s > self._limits.limit_per_s(worker.key)
        ):
            return True
        if answer.limits_considered and not cold:
            if limit.named_s > asked_s:
                return False
            dispatcher = self._dispatchers[worker.service]
            self._limits.forget(worker.key, f"dispatcher {dispatcher}")
            return True
        # The dispatcher does not know that the worker is cold, or it is of an earlier
        # release, which does not pace: each instance takes a share.
        now_s, share = self._clock.monotonic_s(), 1.0 / self._peers.live_count
        if self._limits.wait_ms(worker.key, now_s, share):
            return False
        self._limits.record_send(worker.key, now_s, share)
        return True

    def _keeps_to_room(
        self, worker: Worker, answer: WorkerGranted, asked_s: float
    ) -> bool:
        """Return whether a grant keeps to the room of its worker, if it is brittle."""
        notice = self._limits.brittle.find(worker.key)
        if notice is None or answer.brittle_rejections is not None:
            return True
        if answer.brittle_considered:
            if notice.named_s > asked_s:
                return False
            dispatcher = self._dispatchers[worker.service]
            self._limits.brittle.forget(worker.key, f"dispatcher {dispatcher}")
            return True
        # A dispatcher of an earlier release grants all slots.
        return all(held.worker.key != worker.key for held in self._permits.values())

    def _update_dispatcher(self, service: str, instance: InstanceId) -> None:
        """Record a service's dispatcher; report permits and results to a new one."""
        if self._dispatchers.get(service) == instance:
            return
        first = service not in self._dispatchers
        self._dispatchers[service] = instance
        if service in self._results:
            results = tuple(self._results[service].items())
            self._notify(instance, HeldResults(service, results))
        if not first:
            self._report_permits(service)
            self._log("dispatcher_changed", service=service, dispatcher=instance)

    def _report_permits(self, service: str) -> None:
        """Report the held permits of a service to its current dispatcher."""
        instance = self._dispatchers[service]
        permits = [
            permit for permit in self._permits.values() if permit.service == service
        ]
        for permit in permits:
            others = (known for known in permit.dispatchers if known != instance)
            permit.dispatchers = (*others, instance)
        if instance != self._peers.own:
            self._confirmations.lost(service, instance)
            self._start_confirming()
        self._list_permits(service, instance)

    def _list_permits(self, service: str, instance: InstanceId) -> None:
        """Send a dispatcher, or a former one, the held permits that it should know."""
        entries = tuple(
            (permit.name, permit.worker.key, permit.prompt_tokens, permit.output_tokens)
            for permit in self._permits.values()
            if permit.service == service and instance in permit.dispatchers
        )
        self._notify(instance, HeldPermits(service, entries))

    def _load_of(self, permit: Permit) -> ReportedLoad | None:
        """Return the load in a worker's answer, or else a fresh one of its report."""
        if permit.load is not None:
            return reported_load(permit.load)
        loads = self._own_dispatcher.loads
        return loads.recent(permit.worker.key, self._clock.monotonic_s())

    def _held_ms(self, permit: Permit) -> float:
        return (self._clock.monotonic_s() - permit.granted_s) * 1_000.0

    def _notify(self, instance: InstanceId, message: Message) -> None:
        if instance != self._peers.own:
            self._peers.send(instance, message)
            return
        handler = LOCAL_NOTIFICATIONS[type(message)]
        self._own_dispatcher.handle_soon(handler, self._peers.own, message)


def _refusal_of(answer: Message) -> Refused:
    if isinstance(answer, WorkRefused):
        return Refused(answer.cause, answer.retry_after_ms, answer.limited)
    return Refused("unknown_answer", DISPATCHER_CHANGE_RETRY_MS)
