"""The asking side: finds the dispatcher of a service and goes on when it fails."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatch

import msgspec
import trio

from ...core.clock import Clock, epoch_ms
from ...core.ids import InstanceId
from ...exceptions import PeerUnavailable
from ...wire.messages.base import Message
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
    RunPieces,
    StagesEntered,
    WorkerGranted,
    WorkRefused,
)
from ..catalogue import Catalogue
from ..models import Worker, WorkerId
from ..peers import Peers
from .dispatcher import HANDED_OVER, OUTCOME_CANCELLED, Dispatcher
from .refusal import OTHER_WORKER_RETRY_MS, UNKNOWN_RETRY_MS, Refused

MAX_HAND_OVERS = 5
"""Dispatchers asked for one piece of work before it is refused."""

MAX_UNKNOWN_WORKERS = 4
"""Places at workers that this instance knows to have left, before it gives up."""

ANSWER_SLACK_MS = 400.0
"""How much longer than its work may wait a dispatcher is listened to."""


@dataclass(eq=False)
class Permit:
    """A place at a worker that this instance holds."""

    name: str
    service: str
    worker: Worker
    prompt_tokens: int
    output_tokens: int
    dispatcher: InstanceId
    taken_s: float
    outcome: str = OUTCOME_CANCELLED


class Desk:
    """Asks the dispatchers of the fleet on behalf of this instance's requests.

    Parameters
    ----------
    peers : Peers
        The other instances.
    dispatcher : Dispatcher
        This instance's own, asked where it is in charge.
    catalogue : Catalogue
        Workers.
    clock : Clock
        Source of time.
    log : callable
        Told decisions, as a kind and fields.
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
        self._own = dispatcher
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._permits: dict[str, Permit] = {}
        self._results: dict[str, dict[str, int]] = {}
        self._in_charge: dict[str, InstanceId] = {}
        self._serial = 0
        self._incarnation = epoch_ms(clock.now())

    @property
    def held_permits(self) -> int:
        """Number of places that this instance holds."""
        return len(self._permits)

    def in_charge(self, service: str) -> InstanceId:
        """Return the instance that decides for a service now."""
        ranked = self._peers.rank(service, not self._own.stopping)
        return ranked[0] if ranked else self._peers.own

    def wait_ms(self, service: str, priority: int) -> float:
        """Return how long new work would wait at a service, as last heard."""
        instance = self.in_charge(service)
        if instance == self._peers.own:
            told = self._own.service_waits()
        else:
            told = self._peers.reported_waits(instance)
        for one in told:
            if one.service == service:
                ahead = [ms for rank, ms in one.waits_ms if rank <= priority]
                return max(ahead, default=0.0)
        return 0.0

    async def enter_stages(self, message: EnterStages) -> None:
        """Wait until a request may begin its stages, or raise `Refused`."""
        answer = await self._ask(message.service, message, message.expires_ms)
        if not isinstance(answer, StagesEntered):
            raise _refusal(answer)

    async def run_pieces(self, message: RunPieces) -> tuple[str, ...]:
        """Return the handles of all pieces of a stage, or raise `Refused`."""
        answer = await self._ask(message.service, message, message.expires_ms)
        if isinstance(answer, PiecesMade):
            held = self._results.setdefault(message.service, {})
            held.update(dict.fromkeys(answer.handles, message.result_bytes))
            return answer.handles
        raise _refusal(answer)

    async def acquire(self, message: AcquireWorker) -> Permit:
        """Return a place at a worker, or raise `Refused`."""
        for _ in range(MAX_UNKNOWN_WORKERS):
            message = msgspec.structs.replace(message, permit=self._new_permit_name())
            answer = await self._ask(message.service, message, message.expires_ms)
            if not isinstance(answer, WorkerGranted):
                raise _refusal(answer)
            permit = self._hold(message, answer)
            if permit is not None:
                return permit
            avoid = (*message.avoid, answer.worker)
            message = msgspec.structs.replace(message, avoid=avoid)
        raise Refused("worker_left", OTHER_WORKER_RETRY_MS)

    def started(self, permit: Permit) -> None:
        """Tell that the first part of an answer has come."""
        self._tell(
            permit.dispatcher,
            PermitStarted(permit.service, permit.name, self._held_ms(permit)),
        )

    def end(self, permit: Permit, outcome: str | None = None) -> None:
        """Give a place back."""
        if self._permits.pop(permit.name, None) is None:
            return
        message = PermitEnded(
            permit.service,
            permit.name,
            outcome or permit.outcome,
            self._held_ms(permit),
        )
        self._tell(permit.dispatcher, message)

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Give up results of a stage service."""
        held = self._results.get(service, {})
        for handle in handles:
            held.pop(handle, None)
        if handles:
            self._tell(self.in_charge(service), FreeResults(service, tuple(handles)))

    def cancel(self, service: str, attempt: str) -> None:
        """Tell that an attempt's pieces are not wanted any more."""
        self._tell(self.in_charge(service), CancelWork(service, attempt))

    def _new_permit_name(self) -> str:
        """Return a name that no other permit bears."""
        self._serial += 1
        return f"{self._peers.own}/{self._incarnation}/{self._serial}"

    async def _ask(self, service: str, message: Message, wait_ms: float) -> Message:
        """Ask the instance in charge; go on to the next when it is lost."""
        start_s = self._clock.monotonic_s()
        for _ in range(MAX_HAND_OVERS):
            instance = self.in_charge(service)
            self._note_in_charge(service, instance)
            left_ms = wait_ms - (self._clock.monotonic_s() - start_s) * 1_000.0
            if left_ms <= 0:
                return WorkRefused("expired", 0.0)
            try:
                answer = await self._ask_one(instance, message, left_ms)
            except PeerUnavailable as error:
                self._log(
                    "dispatcher_lost",
                    service=service,
                    dispatcher=instance,
                    reason=str(error),
                )
                # It may live on and would count the work as wanted.
                self._peers.send(instance, _withdrawal(message))
                await trio.sleep(0.01)
                continue
            if isinstance(answer, WorkRefused) and answer.cause == HANDED_OVER:
                if instance != self._peers.own:
                    self._peers.record_stopping(instance)
                continue
            return answer
        return WorkRefused("no_dispatcher", UNKNOWN_RETRY_MS)

    async def _ask_one(
        self, instance: InstanceId, message: Message, left_ms: float
    ) -> Message:
        if instance != self._peers.own:
            return await self._peers.call(instance, message, left_ms + ANSWER_SLACK_MS)
        return await _OWN_QUESTIONS[type(message)](self._own, self._peers.own, message)

    def _hold(self, message: AcquireWorker, answer: WorkerGranted) -> Permit | None:
        """Take a granted place; None if the worker is known to have left."""
        worker = self._catalogue.workers.get(WorkerId(answer.worker))
        dispatcher = self._in_charge[message.service]
        if (
            worker is None
            or worker.started_ms != answer.started_ms
            or not self._catalogue.usable(worker)
        ):
            ended = PermitEnded(message.service, message.permit, OUTCOME_CANCELLED, 0.0)
            self._tell(dispatcher, ended)
            return None
        permit = Permit(
            message.permit,
            message.service,
            worker,
            message.prompt_tokens,
            message.output_tokens,
            dispatcher,
            self._clock.monotonic_s(),
        )
        self._permits[permit.name] = permit
        return permit

    def _note_in_charge(self, service: str, instance: InstanceId) -> None:
        """Tell a new dispatcher which places and results are held here."""
        if self._in_charge.get(service) == instance:
            return
        first = service not in self._in_charge
        self._in_charge[service] = instance
        if service in self._results:
            results = tuple(self._results[service].items())
            self._tell(instance, HeldResults(service, results))
        held = [one for one in self._permits.values() if one.service == service]
        for permit in held:
            permit.dispatcher = instance
        entries = tuple(
            (one.name, one.worker.key, one.prompt_tokens, one.output_tokens)
            for one in held
        )
        if entries:
            self._tell(instance, HeldPermits(service, entries))
        if not first:
            self._log("dispatcher_changed", service=service, dispatcher=instance)

    def _held_ms(self, permit: Permit) -> float:
        return (self._clock.monotonic_s() - permit.taken_s) * 1_000.0

    def _tell(self, instance: InstanceId, message: Message) -> None:
        if instance != self._peers.own:
            self._peers.send(instance, message)
            return
        handler = _OWN_HANDLERS[type(message)]
        self._own.tell(handler, self._peers.own, message)


_OWN_QUESTIONS = {
    AcquireWorker: Dispatcher.acquire,
    EnterStages: Dispatcher.enter_stages,
    RunPieces: Dispatcher.run_pieces,
}

_OWN_HANDLERS = {
    PermitStarted: Dispatcher.permit_started,
    PermitEnded: Dispatcher.permit_ended,
    FreeResults: Dispatcher.free_results,
    CancelWork: Dispatcher.cancel_work,
    HeldPermits: Dispatcher.held_permits,
    HeldResults: Dispatcher.held_results,
}


@singledispatch
def _withdrawal(message: Message) -> Message:
    """Return the message that takes a question to a dispatcher back."""
    raise TypeError(f"{type(message).__name__} is no question to a dispatcher")


@_withdrawal.register
def _(message: AcquireWorker) -> Message:
    return PermitEnded(message.service, message.permit, OUTCOME_CANCELLED, 0.0)


@_withdrawal.register(EnterStages)
@_withdrawal.register(RunPieces)
def _(message: EnterStages | RunPieces) -> Message:
    return CancelWork(message.service, message.attempt)


def _refusal(answer: Message) -> Refused:
    if isinstance(answer, WorkRefused):
        return Refused(answer.cause, answer.retry_after_ms)
    return Refused("unknown_answer", UNKNOWN_RETRY_MS)
