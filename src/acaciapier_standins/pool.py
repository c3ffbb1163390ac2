"""Simulated encoders, retrievers, rerankers and plain services."""

import heapq
import math
from dataclasses import dataclass, field
from itertools import count

import trio

from acaciapier.core.clock import to_ms, to_s

from .http import Request, Response, error
from .outputs import expected_output, is_poison, units_of
from .settings import PoolSettings, ServiceSettings
from .standin import Standin, build_standin
from .target import Envelope, Target


@dataclass(order=True)
class Call:
    """A queued or running call; calls with a lower `priority` value run first."""

    priority: int
    number: int
    envelope: Envelope = field(compare=False)
    admitted: trio.Event = field(compare=False, default_factory=trio.Event)
    scope: trio.CancelScope = field(compare=False, default_factory=trio.CancelScope)
    started_s: float | None = field(compare=False, default=None)
    duration_s: float = field(compare=False, default=0.0)
    cancelled: bool = field(compare=False, default=False)


class SlotQueue:
    """Slots with a bounded queue, ordered by priority and then by arrival."""

    def __init__(self, slots: int, max_queued: int):
        self.running = 0
        self._slots = slots
        self._max_queued = max_queued
        self._queue: list[Call] = []

    @property
    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    def admit_or_enqueue(self, call: Call) -> bool:
        """Admit or queue `call`; return False if the queue is full."""
        if self.running < self._slots:
            self.running += 1
            call.admitted.set()
            return True
        if len(self._queue) >= self._max_queued:
            return False
        heapq.heappush(self._queue, call)
        return True

    def remove(self, call: Call) -> None:
        """Remove a call that was not admitted from the queue."""
        self._queue.remove(call)
        heapq.heapify(self._queue)

    def release(self) -> None:
        """Release the slot of an ended call and admit the next queued call."""
        if self._queue:
            heapq.heappop(self._queue).admitted.set()
        else:
            self.running -= 1


class PoolTarget(Target):
    """A target that answers each call with one response after its service time."""

    def __init__(self, settings: PoolSettings | ServiceSettings, serves: str):
        super().__init__(settings)
        self.role_kind = serves
        self.serves = serves
        self._queue = SlotQueue(settings.slots, settings.max_queued)
        self._calls: dict[tuple[str, str, int], Call] = {}
        self._numbers = count()
        self.app.add("POST", "/v1/call", self._call)
        self.app.add("DELETE", "/v1/calls/*/*/*", self._cancel)

    def counts(self) -> tuple[int, int]:
        """Return the numbers of running and queued calls."""
        return self._queue.running, self._queue.queued

    async def _call(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        envelope = request.json(Envelope)
        await self.faults.hang_if_drawn(request)
        refusal = self.admission_refusal(envelope)
        if refusal is not None:
            return refusal
        call = Call(envelope.priority, next(self._numbers), envelope)
        if not self._queue.admit_or_enqueue(call):
            return self.refuse("overload")
        self._calls[envelope.key] = call
        try:
            return await self._wait_and_run(call)
        finally:
            if self._calls.get(envelope.key) is call:
                del self._calls[envelope.key]

    async def _wait_and_run(self, call: Call) -> Response:
        refusal = await self._wait_for_slot(call)
        if refusal is not None:
            return refusal
        try:
            answer = await self._run(call)
        finally:
            self._queue.release()
        return await self.apply_answer_faults(answer, call.envelope)

    async def _wait_for_slot(self, call: Call) -> Response | None:
        """Wait for a slot; return a refusal if the call ends without one."""
        deadline_ms = call.envelope.deadline_ms
        if deadline_ms is not None:
            call.scope.deadline = trio.current_time() + to_s(deadline_ms)
        try:
            with call.scope:
                await call.admitted.wait()
        finally:
            if not call.admitted.is_set():
                self._queue.remove(call)
        if call.admitted.is_set() and not call.cancelled:
            return None
        if call.admitted.is_set():
            self._queue.release()
        return self.refuse("cancelled" if call.cancelled else "deadline")

    async def _run(self, call: Call) -> Response:
        envelope = call.envelope
        entry = self.work_log.start(self.settings.id, self.incarnation, envelope)
        if self.faults.current.crash_on_poison and is_poison(envelope.input):
            await self.crash_and_wait()
        call.started_s = trio.current_time()
        call.duration_s = self._sample_duration_s()
        call.scope = trio.CancelScope()
        with call.scope:
            await trio.sleep(call.duration_s)
        entry.cancelled = call.cancelled
        entry.failed = not call.cancelled and self.faults.draw("fail")
        units = self._units_spent(call)
        self.work_log.end(entry, units)
        self.record_ended(envelope.key, units)
        if entry.cancelled or entry.failed:
            return self.failure("cancelled" if entry.cancelled else "failed", units)
        return self._done(call, units)

    def _done(self, call: Call, units: dict[str, float]) -> Response:
        envelope = call.envelope
        output = expected_output(
            self.serves, envelope.workspace, envelope.input, envelope.parameters
        )
        answer = {
            "run_id": envelope.run_id,
            "stage": envelope.stage,
            "attempt": envelope.attempt,
            "output": output,
            "units": units,
            "service_ms": to_ms(trio.current_time() - call.started_s),
            "target": self.target_report(),
        }
        return Response(answer)

    def _sample_duration_s(self) -> float:
        median_ms = self.settings.median_ms
        if median_ms == 0:
            return 0.0
        sampled_ms = self.random.lognormvariate(
            math.log(median_ms), self.settings.sigma
        )
        return to_s(sampled_ms * self.faults.current.slow_factor)

    def _units_spent(self, call: Call) -> dict[str, float]:
        """Return the units of a call, in proportion to its run time if cancelled."""
        full_units = units_of(
            self.serves, call.envelope.input, call.envelope.parameters
        )
        if not call.cancelled or call.duration_s == 0:
            return full_units
        elapsed_s = trio.current_time() - call.started_s
        share = min(1.0, elapsed_s / call.duration_s)
        return {name: round(amount * share, 6) for name, amount in full_units.items()}

    async def _cancel(self, request: Request) -> Response:
        run_id, stage, attempt = request.segments[2:]
        key = (run_id, stage, int(attempt))
        call = self._calls.get(key)
        if call is None:
            return _cancel_answer(self.ended_units(key))
        call.cancelled = True
        call.scope.cancel()
        if call.started_s is None:
            return _cancel_answer({})
        return _cancel_answer(self.ended_units(key) or self._units_spent(call))


def _cancel_answer(units: dict[str, float] | None) -> Response:
    if units is None:
        return error(404, "not_found")
    return Response({"units": units})


@build_standin.register
def _(settings: PoolSettings) -> Standin:
    return PoolTarget(settings, settings.serves)


@build_standin.register
def _(settings: ServiceSettings) -> Standin:
    return PoolTarget(settings, "service")
