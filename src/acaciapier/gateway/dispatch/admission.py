"""Lets requests wait before the chains of stages that this instance decides for."""

from collections.abc import Callable

import trio

from ...core.clock import Clock, to_s
from ...core.ids import InstanceId
from ...wire.messages.base import Message
from ...wire.messages.gateway import EnterStages, StagesEntered, WorkRefused
from ..supervision import TaskSupervisor
from .pending import Pending
from .refusal import MIN_RETRY_MS
from .stage_gate import GateEntry, StageGate

TICK_MS = 25.0
"""Period in which waiting requests are looked at, also for hopeless ones: a sixth of
the tightest aim."""

REPORT_PERIOD_MS = 1_000.0
"""Period of the line that tells the load of a chain, while requests wait."""

Capacity = Callable[[], float]
"""Returns the pieces that a service's workers make in a millisecond."""


class StageAdmission:
    """Admission to the chains that end with one service.

    Parameters
    ----------
    service : str
        Last stage of the chains.
    capacity_per_ms : callable
        Returns the pieces that its workers make in a millisecond.
    clock : Clock
        Source of time.
    log : callable
        Told decisions, as a kind and fields.
    tasks : TaskSupervisor
        Where waiting requests are looked at.
    """

    def __init__(
        self,
        service: str,
        capacity_per_ms: Capacity,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
    ):
        self._service = service
        self._capacity_per_ms = capacity_per_ms
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._gate = StageGate()
        self._answers: dict[GateEntry, Pending[Message]] = {}
        self._ticking = False
        self._report_s = 0.0

    async def enter(self, owner: InstanceId, message: EnterStages) -> Message:
        """Answer as soon as a request may begin, or that it may not."""
        now_s = self._clock.monotonic_s()
        entry = GateEntry(
            message.attempt,
            owner,
            message.stage,
            message.count,
            now_s + to_s(message.due_ms),
            now_s + to_s(message.expires_ms),
            message.average_ms,
            message.priority,
            message.route_priority,
            message.fingerprint,
        )
        answer = self._answers[entry] = Pending()
        self._gate.add(entry, now_s)
        self.update()
        try:
            return await answer.wait()
        except trio.Cancelled:
            self._gate.remove(entry.attempt)
            raise
        finally:
            self._answers.pop(entry, None)

    def finish(self, attempt: str, stage: int) -> None:
        """Note that a stage of a request is done."""
        now_s = self._clock.monotonic_s()
        self._gate.finish(attempt, stage, self._capacity_per_ms(), now_s)
        self.update()

    def remove(self, attempt: str) -> None:
        """Forget a request that is given up."""
        self._cancel(self._gate.remove(attempt))

    def remove_owner(self, owner: InstanceId) -> None:
        """Forget the requests of an instance that went down."""
        self._cancel(self._gate.remove_owner(owner))

    def _cancel(self, entries: list[GateEntry]) -> None:
        for entry in entries:
            self._answer(entry, WorkRefused("cancelled", 0.0))
        self.update()

    def hand_over(self, cause: str) -> None:
        """Send all waiting requests to the next dispatcher."""
        for entry in self._gate.take_all():
            self._answer(entry, WorkRefused(cause, 0.0))

    def update(self) -> None:
        """Let requests begin."""
        if not self._gate.waiting:
            return
        now_s = self._clock.monotonic_s()
        for entry in self._gate.take_admitted(self._capacity_per_ms(), now_s):
            self._answer(entry, StagesEntered())
        if self._gate.waiting and not self._ticking:
            self._ticking = True
            self._tasks.start_soon(self._tick)

    def _refuse_hopeless(self) -> None:
        now_s = self._clock.monotonic_s()
        capacity = self._capacity_per_ms()
        retry_after_ms = MIN_RETRY_MS + self._gate.clear_ms(capacity) / 2
        for entry in self._gate.take_hopeless(capacity, now_s):
            self._answer(entry, WorkRefused("overload", retry_after_ms))

    def _answer(self, entry: GateEntry, answer: Message) -> None:
        pending = self._answers.get(entry)
        if pending is not None:
            pending.give(answer)

    async def _tick(self) -> None:
        while self._gate.waiting:
            await trio.sleep(to_s(TICK_MS))
            self.update()
            self._refuse_hopeless()
            self._report()
        self._ticking = False

    def _report(self) -> None:
        """Tell the load of the chain from time to time."""
        now_s = self._clock.monotonic_s()
        if now_s < self._report_s:
            return
        self._report_s = now_s + to_s(REPORT_PERIOD_MS)
        capacity = self._capacity_per_ms()
        self._log(
            "chain_load",
            service=self._service,
            waiting=self._gate.waiting,
            pieces_inside=self._gate.pieces_inside,
            capacity_per_ms=round(capacity, 3),
            clear_ms=round(self._gate.clear_ms(capacity)),
        )
