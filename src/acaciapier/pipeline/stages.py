"""Runs one stage with retries, hedged attempts and stream reconnects."""

import math
from collections.abc import Callable, Sequence

import trio
from result import Result

from ..accounts import AttemptClass, OutcomeClass
from ..core.clock import to_s
from ..core.outcomes import Cause
from ..objects.models import StageKind
from ..policy import CallOutcome, Refused, TargetView
from ..targets.models import CallAnswer
from .attempts import Attempt, OpenedStream, StageCall
from .context import ExecutorServices, RunContext
from .models import RunFailed

MAX_STREAM_RECONNECTS = 3
MIN_RETRY_AFTER_MS = 200

TokenSink = Callable[[Sequence[str]], None]

CAUSE_BY_OUTCOME = {
    CallOutcome.REFUSED: Cause.TARGET_REFUSED,
    CallOutcome.FAILED: Cause.TARGET_FAILED,
    CallOutcome.CRASHED: Cause.TARGET_CRASHED,
    CallOutcome.TIMED_OUT: Cause.DEADLINE,
    CallOutcome.CANCELLED: Cause.CANCELLED,
}


class StageRunner:
    """Runs attempts at one stage until one succeeds or retries are exhausted.

    Parameters
    ----------
    services : ExecutorServices
        Dependencies shared by all runs.
    context : RunContext
        State of the run.
    call : StageCall
        The stage and its input.
    """

    def __init__(
        self, services: ExecutorServices, context: RunContext, call: StageCall
    ):
        self._services = services
        self._context = context
        self._call = call
        self._tried_targets: set[str] = set()
        self._is_first_attempt = True

    async def run_unary(self) -> object:
        """Return the stage's output.

        Raises
        ------
        RunFailed
            If the last attempt failed and no retry is allowed.
        """
        while True:
            _attempt, answer = await self._race()
            if answer.outcome is CallOutcome.DONE:
                return answer.output
            self._check_retry(answer)

    async def run_stream(
        self, sink: TokenSink, on_open: Callable[[OpenedStream], None] | None = None
    ) -> None:
        """Run the stage and pass its tokens to `sink`.

        A stream whose connection is lost is resumed at the same engine. If that
        fails, the caller of this method may run it again after it has discarded
        the tokens so far.

        Raises
        ------
        RunFailed
            If the stream failed and no retry is allowed.
        StreamInterrupted
            If the stream failed and a retry is allowed.
        """
        while True:
            attempt, answer = await self._race()
            if answer.outcome is CallOutcome.DONE:
                break
            self._check_retry(answer)
        if on_open is not None:
            on_open(attempt.opened)
        answer = await self._consume(attempt, sink)
        if answer.outcome is not CallOutcome.DONE:
            self._check_retry(answer)
            raise StreamInterrupted(answer.message)

    async def _race(self) -> tuple[Attempt, CallAnswer]:
        """Run an attempt, and a hedge if it is slow; return the first success."""
        race = _Race()
        attempt = await self._start_attempt(self._attempt_class())
        self._is_first_attempt = False
        async with trio.open_nursery() as nursery:
            race.nursery = nursery
            nursery.start_soon(race.run_attempt, attempt)
            if not self._call.at_most_once:
                nursery.start_soon(self._hedge, race)
        return race.result()

    async def _hedge(self, race: "_Race") -> None:
        policy = self._services.policy
        pool = self._call.stage.pool
        remaining_ms = self._context.remaining_ms(self._services.clock)
        delay_ms = policy.hedge_after_ms(pool, remaining_ms)
        if delay_ms is None:
            return
        await trio.sleep(to_s(delay_ms))
        if race.ended or not policy.may_hedge(pool):
            return
        try:
            attempt = await self._start_attempt(AttemptClass.HEDGE)
        except RunFailed:
            return
        race.nursery.start_soon(race.run_attempt, attempt)

    async def _start_attempt(self, attempt_class: AttemptClass) -> Attempt:
        context = self._context
        policy = self._services.policy
        stage = self._call.stage
        target = await self._choose_target()
        remaining_ms = context.remaining_ms(self._services.clock)
        if not policy.can_finish(
            context.estimates, context.remaining_stages, remaining_ms
        ):
            raise RunFailed(Cause.DEADLINE, f"stage {stage.name} cannot finish in time")
        budget_ms = policy.stage_budget_ms(context.estimates, stage.name, remaining_ms)
        self._tried_targets.add(target.target)
        return Attempt(
            self._services, context, self._call, target, attempt_class, budget_ms
        )

    def _attempt_class(self) -> AttemptClass:
        return AttemptClass.FIRST if self._is_first_attempt else AttemptClass.RETRY

    async def _choose_target(self) -> TargetView:
        """Choose a target for the next attempt.

        A request that is suspected of crashing targets runs in isolation, so it may
        have to wait for its target.
        """
        policy = self._services.policy
        fingerprint = self._context.fingerprint
        while True:
            blocked = policy.blocked(fingerprint)
            if blocked is not None:
                raise _failure_from_refusal(blocked)
            suspect = policy.suspected(fingerprint)
            picked = self._choose_among(frozenset(self._tried_targets), suspect)
            if picked.is_err() and self._tried_targets:
                picked = self._choose_among(frozenset(), suspect)
            if picked.is_ok():
                return picked.unwrap()
            refused = picked.unwrap_err()
            remaining_ms = self._context.remaining_ms(self._services.clock)
            if not suspect or refused.retry_after_ms >= remaining_ms:
                raise _failure_from_refusal(refused)
            await trio.sleep(to_s(refused.retry_after_ms))

    def _choose_among(
        self, exclude: frozenset[str], suspect: bool
    ) -> Result[TargetView, Refused]:
        return self._services.policy.pick(
            self._call.stage.pool,
            exclude=exclude,
            affinity_key=self._affinity_key(),
            suspect=suspect,
            fingerprint=self._context.fingerprint,
        )

    def _affinity_key(self) -> str | None:
        if self._call.stage.kind is not StageKind.GENERATE:
            return None
        request = self._context.request
        prefix = ""
        if isinstance(request.input, dict):
            prefix = str(request.input.get("prefix", ""))
        return f"{request.workspace}/{self._context.pipeline.name}/{prefix}"

    def _check_retry(self, answer: CallAnswer) -> None:
        """Raise `RunFailed` unless a retry is allowed."""
        context = self._context
        policy = self._services.policy
        blocked = policy.blocked(context.fingerprint)
        if blocked is not None:
            raise _failure_from_refusal(blocked)
        if answer.may_have_run and self._call.at_most_once:
            raise self._failure(answer)
        stage = self._call.stage
        remaining_ms = context.remaining_ms(self._services.clock)
        if not policy.may_retry(stage.pool, stage.typical_ms, remaining_ms):
            raise self._failure(answer)

    def _failure(self, answer: CallAnswer) -> RunFailed:
        cause = CAUSE_BY_OUTCOME.get(answer.outcome, Cause.TARGET_FAILED)
        message = f"stage {self._call.stage.name}: {answer.message or cause.value}"
        retry_after_ms = max(MIN_RETRY_AFTER_MS, math.ceil(answer.retry_after_ms))
        return RunFailed(cause, message, retry_after_ms)

    async def _consume(self, attempt: Attempt, sink: TokenSink) -> CallAnswer:
        """Read an open stream to its end and report the outcome."""
        try:
            with self._services.read_coalescer.track_open_stream():
                answer = await self._read_to_end(attempt.opened, sink)
        except trio.Cancelled:
            attempt.abandon()
            raise
        finally:
            await attempt.opened.stream.aclose()
        done = answer.outcome is CallOutcome.DONE
        attempt.report(answer, OutcomeClass.USED if done else OutcomeClass.FAILED)
        return answer

    async def _read_to_end(self, opened: OpenedStream, sink: TokenSink) -> CallAnswer:
        clock = self._services.clock
        batch = opened.first
        position = 0
        reconnects = 0
        while True:
            while batch is not None:
                position = batch.offset + len(batch.tokens)
                sink(batch.tokens)
                read_started_s = clock.monotonic_s()
                batch = await opened.stream.next_batch()
                if batch is not None:
                    await self._services.read_coalescer.pause_after_read(read_started_s)
            if opened.stream.answer.outcome is not CallOutcome.CRASHED:
                return opened.stream.answer
            reconnects += 1
            failed = await self._reconnect(opened, position, reconnects)
            if failed is not None:
                return failed
            batch = await opened.stream.next_batch()

    async def _reconnect(
        self, opened: OpenedStream, position: int, reconnects: int
    ) -> CallAnswer | None:
        """Resume an interrupted stream at the same engine; return any failure."""
        transport = self._services.transport
        interruption = opened.stream.answer
        await opened.stream.aclose()
        if await transport.has_crashed(opened.target):
            return interruption
        if reconnects > MAX_STREAM_RECONNECTS:
            return CallAnswer(CallOutcome.FAILED, message=interruption.message)
        stream = await transport.resume_stream(
            opened.target, opened.envelope.stream_id, position
        )
        if isinstance(stream, CallAnswer):
            return CallAnswer(CallOutcome.FAILED, message=stream.message)
        opened.stream = stream
        return None


class StreamInterrupted(Exception):
    """A stream ended before its last token, and the stage may be retried.

    Parameters
    ----------
    message : str
        Why the stream ended.
    """

    def __init__(self, message: str):
        self.message = message
        super().__init__(message)


class _Race:
    """Concurrent attempts at a stage; the first success cancels the others."""

    def __init__(self):
        self.nursery: trio.Nursery | None = None
        self.ended = False
        self._winner: tuple[Attempt, CallAnswer] | None = None
        self._failures: list[tuple[Attempt, CallAnswer]] = []
        self._running = 0

    async def run_attempt(self, attempt: Attempt) -> None:
        """Run `attempt`; the first to succeed gives the result."""
        self._running += 1
        answer = await attempt.run()
        self._running -= 1
        if answer.outcome is not CallOutcome.DONE:
            self._failures.append((attempt, answer))
        elif self._winner is None:
            self._set_winner(attempt, answer)
        else:
            self._discard_result(attempt, answer)
        if self._winner is not None or self._running == 0:
            self.ended = True
            self.nursery.cancel_scope.cancel()

    def result(self) -> tuple[Attempt, CallAnswer]:
        """Return the first success, or the last failure if none succeeded."""
        return self._winner or self._failures[-1]

    def _set_winner(self, attempt: Attempt, answer: CallAnswer) -> None:
        self._winner = (attempt, answer)
        if attempt.opened is None:
            attempt.report(answer, OutcomeClass.USED)

    def _discard_result(self, attempt: Attempt, answer: CallAnswer) -> None:
        if attempt.opened is None:
            attempt.report(answer, OutcomeClass.WASTED)
        else:
            attempt.abandon()


def _failure_from_refusal(refused: Refused) -> RunFailed:
    return RunFailed(refused.cause, refused.message, refused.retry_after_ms)
