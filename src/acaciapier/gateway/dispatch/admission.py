"""Admission of requests to the chains of stages that this instance dispatches."""

from collections.abc import Callable

import trio
from msgspec.structs import replace

from ...core.clock import Clock, to_s
from ...core.ids import InstanceId
from ...wire.messages.base import Message
from ...wire.messages.explain import ServiceExplanation
from ...wire.messages.gateway import EnterStages, StagesEntered, WorkRefused
from ..supervision import TaskSupervisor
from .admission_explanations import explain_admission
from .admission_queue import AdmissionEntry, AdmissionQueue
from .future import Future
from .refusal import CANCELLED, MIN_RETRY_MS
from .retry_spread import RetrySpread

CHECK_PERIOD_MS = 25.0
"""Interval at which waiting requests are started or, if infeasible, refused: a sixth of
the tightest latency objective."""

REPORT_PERIOD_MS = 1_000.0
"""Interval at which the load of a chain is logged while requests wait."""

CapacityFunction = Callable[[], float]
"""Returns how many pieces the workers of a service complete in a millisecond."""


class StageAdmission:
    """Admission to the chains that end with one service.

    Parameters
    ----------
    service : str
        Last stage of the chains.
    capacity_per_ms : callable
        Returns how many pieces its workers complete in a millisecond.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    tasks : TaskSupervisor
        Runs the periodic check of waiting requests.
    """

    def __init__(
        self,
        service: str,
        capacity_per_ms: CapacityFunction,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
    ):
        self._service = service
        self._capacity_per_ms = capacity_per_ms
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._queue = AdmissionQueue()
        self._retries = RetrySpread()
        self._answers: dict[AdmissionEntry, Future[Message]] = {}
        self._checking = False
        self._next_report_s = 0.0

    async def enter(self, owner: InstanceId, message: EnterStages) -> Message:
        """Wait until a request may start or is refused, and return the answer."""
        now_s = self._clock.monotonic_s()
        entry = _make_entry(owner, message, now_s)
        answer = self._answers[entry] = Future()
        self._queue.add(entry, now_s)
        self.update()
        try:
            return await answer.wait()
        except trio.Cancelled:
            self._queue.remove(entry.attempt)
            raise
        finally:
            self._answers.pop(entry, None)

    def explain(self, owner: InstanceId, message: EnterStages) -> ServiceExplanation:
        """Return what `enter` would answer now, without a change."""
        now_s = self._clock.monotonic_s()
        entry = _make_entry(owner, message, now_s)
        capacity = self._capacity_per_ms()
        found = explain_admission(self._queue, entry, capacity, now_s)
        return replace(found, service=self._service)

    @property
    def waiting(self) -> int:
        """Number of requests that wait before the chains."""
        return self._queue.waiting

    @property
    def started_pieces(self) -> int:
        """Pieces that started requests still need."""
        self._queue.remove_overdue(self._clock.monotonic_s())
        return self._queue.started_pieces

    def finish_stage(self, attempt: str, stage: int) -> None:
        """Record that a stage of a request is done, and start requests that now fit."""
        now_s = self._clock.monotonic_s()
        self._queue.finish(attempt, stage, self._capacity_per_ms(), now_s)
        self.update()

    def remove(self, attempt: str) -> None:
        """Remove a request that is given up."""
        self._cancel(self._queue.remove(attempt))

    def remove_owner(self, owner: InstanceId) -> None:
        """Remove the requests of an instance that went down."""
        self._cancel(self._queue.remove_owner(owner))

    def _cancel(self, entries: list[AdmissionEntry]) -> None:
        for entry in entries:
            self._answer(entry, WorkRefused(CANCELLED, 0.0))
        self.update()

    def hand_over(self, cause: str) -> None:
        """Refuse all waiting requests, so that they go to the next dispatcher."""
        for entry in self._queue.pop_all():
            self._answer(entry, WorkRefused(cause, 0.0))

    def update(self) -> None:
        """Start the requests that may start now."""
        if not self._queue.waiting:
            return
        now_s = self._clock.monotonic_s()
        for entry in self._queue.pop_admitted(self._capacity_per_ms(), now_s):
            self._answer(entry, StagesEntered())
        if self._queue.waiting and not self._checking:
            self._checking = True
            self._tasks.start_soon(self._check_periodically)

    def _refuse_infeasible(self) -> None:
        now_s = self._clock.monotonic_s()
        capacity = self._capacity_per_ms()
        middle_ms = self._queue.backlog_ms(capacity) / 2
        for entry in self._queue.pop_infeasible(capacity, now_s):
            retry_after_ms = MIN_RETRY_MS + self._retries.delay_ms(middle_ms)
            self._answer(entry, WorkRefused("overload", retry_after_ms))

    def _answer(self, entry: AdmissionEntry, answer: Message) -> None:
        future = self._answers.get(entry)
        if future is not None:
            future.set_result(answer)

    async def _check_periodically(self) -> None:
        try:
            while self._queue.waiting:
                await trio.sleep(to_s(CHECK_PERIOD_MS))
                self.update()
                self._refuse_infeasible()
                self._report()
        finally:
            self._checking = False

    def _report(self) -> None:
        """Log the load of the chain once per period."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + to_s(REPORT_PERIOD_MS)
        capacity = self._capacity_per_ms()
        self._log(
            "chain_load",
            service=self._service,
            waiting=self._queue.waiting,
            pieces_inside=self._queue.started_pieces,
            capacity_per_ms=round(capacity, 3),
            clear_ms=round(self._queue.backlog_ms(capacity)),
        )


def _make_entry(
    owner: InstanceId, message: EnterStages, now_s: float
) -> AdmissionEntry:
    return AdmissionEntry(
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
        workspace=message.workspace,
    )
