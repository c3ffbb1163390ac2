"""The executor's transport over fake targets."""

import hashlib

import trio

from acaciapier.core.clock import to_ms, to_s
from acaciapier.policy import CallOutcome, TargetView
from acaciapier.targets import CallAnswer, CallEnvelope
from acaciapier.targets.models import TokenBatch

from .targets import FakeTarget

SAME_DATA_CENTRE_MS = 0.2
OTHER_DATA_CENTRE_MS = 1.5
BATCHES = 5
POISON = "poison"
POISON_AFTER_MS = 100.0


class FakeStream:
    """An engine's stream in `BATCHES` batches spread over its service time."""

    def __init__(
        self,
        target: FakeTarget,
        envelope: CallEnvelope,
        guard: trio.CancelScope,
    ):
        self.answer = CallAnswer(CallOutcome.FAILED)
        self._target = target
        self._envelope = envelope
        self._guard = guard
        self._started_s = trio.current_time()
        self._service_ms = target.service_ms()
        self._sent = 0
        self._open = True
        self._poisonous = is_poison(envelope)

    async def next_batch(self) -> TokenBatch | None:
        """Return the next batch at its time, or None at the end."""
        if self._poisonous:
            await trio.sleep(to_s(POISON_AFTER_MS))
            self._target.crash()
        if self._guard.cancel_called:
            self._close(CallAnswer(CallOutcome.CRASHED))
            return None
        if self._sent == BATCHES:
            self._end()
            return None
        due_s = to_s(self._service_ms * (self._sent + 1) / BATCHES) + self._started_s
        with self._guard:
            await trio.sleep_until(due_s)
        return self._batch()

    async def aclose(self) -> None:
        """Stop the stream."""
        self._close(None)

    def _batch(self) -> TokenBatch | None:
        if self._guard.cancelled_caught:
            self._close(CallAnswer(CallOutcome.CRASHED))
            return None
        self._renew_guard()
        self._sent += 1
        return TokenBatch(self._sent - 1, ["x"])

    def _renew_guard(self) -> None:
        self._target.unguard(self._guard)
        self._guard = self._target.guard()

    def _end(self) -> None:
        answer = CallAnswer(
            CallOutcome.DONE,
            output=hashlib.sha256(b"x" * BATCHES).hexdigest(),
            service_ms=self._service_ms,
            target=self._target.body(),
        )
        self._close(answer)

    def _close(self, answer: CallAnswer | None) -> None:
        if answer is not None:
            self.answer = answer
        if self._open:
            self._open = False
            self._target.unguard(self._guard)
            envelope = self._envelope
            self._target.release(envelope.request_id, envelope.stage, self._started_s)


class FakeTransport:
    """Calls fake targets from one data centre; the interface is `Transport`."""

    def __init__(self, targets: dict[str, FakeTarget], data_centre: str):
        self._targets = targets
        self._data_centre = data_centre

    async def call(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Run one unary attempt."""
        fake = self._targets[target.target]
        await self._travel(fake)
        started = await self._start(fake, target, envelope)
        if isinstance(started, CallAnswer):
            return started
        started_s = trio.current_time()
        service_ms = fake.service_ms()
        try:
            with started:
                await trio.sleep(to_s(service_ms))
        finally:
            fake.unguard(started)
            fake.release(envelope.request_id, envelope.stage, started_s)
        if started.cancelled_caught:
            return CallAnswer(CallOutcome.CRASHED)
        await self._travel(fake)
        return CallAnswer(
            CallOutcome.DONE, output=1, service_ms=service_ms, target=fake.body()
        )

    async def open_stream(
        self, target: TargetView, envelope: CallEnvelope
    ) -> FakeStream | CallAnswer:
        """Start a stream."""
        fake = self._targets[target.target]
        await self._travel(fake)
        started = await self._start(fake, target, envelope)
        if isinstance(started, CallAnswer):
            return started
        return FakeStream(fake, envelope, started)

    async def resume_stream(self, target: TargetView, stream_id: str, position: int):
        """Refuse: the fakes' streams are never cut without a crash."""
        return CallAnswer(CallOutcome.FAILED)

    async def cancel(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Answer that a call was cancelled; its task has ended already."""
        return CallAnswer(CallOutcome.CANCELLED)

    async def has_crashed(self, target: TargetView) -> bool:
        """Tell whether the target is down or was restarted."""
        fake = self._targets[target.target]
        return not fake.up or fake.incarnation != target.incarnation

    async def _start(
        self, fake: FakeTarget, target: TargetView, envelope: CallEnvelope
    ) -> trio.CancelScope | CallAnswer:
        """Wait for a slot and return the call's guard, or how the call failed."""
        if not fake.up:
            return CallAnswer(CallOutcome.REFUSED, may_have_run=False)
        guard = fake.guard()
        arrived_s = trio.current_time()
        try:
            with guard:
                await fake.acquire()
        finally:
            fake.unguard(guard)
        if guard.cancelled_caught:
            return CallAnswer(CallOutcome.CRASHED)
        waited_ms = to_ms(trio.current_time() - arrived_s)
        if waited_ms >= envelope.deadline_ms or not fake.up:
            fake.release(envelope.request_id, envelope.stage, trio.current_time())
            return CallAnswer(
                CallOutcome.REFUSED, may_have_run=False, target=fake.body()
            )
        return fake.guard()

    async def _travel(self, fake: FakeTarget) -> None:
        same = fake.data_centre == self._data_centre
        await trio.sleep(to_s(SAME_DATA_CENTRE_MS if same else OTHER_DATA_CENTRE_MS))


def is_poison(envelope: CallEnvelope) -> bool:
    """Return whether a call crashes its target."""
    content = envelope.input
    return isinstance(content, dict) and POISON in content
