"""Runs one stage: attempts, retries, hedges and streams."""

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

CAUSE_OF_OUTCOME = {
    CallOutcome.REFUSED: Cause.TARGET_REFUSED,
    CallOutcome.FAILED: Cause.TARGET_FAILED,
    CallOutcome.CRASHED: Cause.TARGET_CRASHED,
    CallOutcome.TIMED_OUT: Cause.DEADLINE,
    CallOutcome.CANCELLED: Cause.CANCELLED,
}


class StageRunner:
    """Runs the attempts of one stage until one succeeds or none may follow.

    Parameters
    ----------
    services : ExecutorServices
        What all runs share.
    context : RunContext
        The run.
    call : StageCall
        The stage and its input.
    """

    def __init__(
        self, services: ExecutorServices, context: RunContext, call: StageCall
    ):
        self._services = services
        self._context = context
        self._call = call
        self._tried: set[str] = set()
        self._first = True

    async def run_unary(self) -> object:
        """Return the stage's output.

        Raises
        ------
        RunFailed
            If no attempt succeeded and none may follow.
        """
        while True:
            _attempt, answer = await self._race()
            if answer.outcome is CallOutcome.DONE:
                return answer.output
            self._check_retry(answer)

    async def run_stream(
        self, sink: TokenSink, on_open: Callable[[OpenedStream], None] | None = None
    ) -> None:
        """Pass the stage's tokens to `sink`.

        A stream that breaks is resumed at the same engine; another attempt is
        made only by the caller, which must discard the tokens so far.

        Raises
        ------
        RunFailed
            If the stream cannot be completed.
        StreamBroken
            If it broke and another attempt may be made.
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
            raise StreamBroken(answer.message)

    async def _race(self) -> tuple[Attempt, CallAnswer]:
        """Run an attempt, and a hedge if it is late; return the first success."""
        race = _Race()
        attempt = await self._start_attempt(self._attempt_class())
        self._first = False
        async with trio.open_nursery() as nursery:
            race.nursery = nursery
            nursery.start_soon(race.follow, attempt)
            if not self._call.strict:
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
        race.nursery.start_soon(race.follow, attempt)

    async def _start_attempt(self, attempt_class: AttemptClass) -> Attempt:
        context = self._context
        policy = self._services.policy
        stage = self._call.stage
        target = await self._pick()
        remaining_ms = context.remaining_ms(self._services.clock)
        if not policy.can_finish(context.estimates, context.stages_left, remaining_ms):
            raise RunFailed(Cause.DEADLINE, f"stage {stage.name} cannot finish in time")
        budget_ms = policy.stage_budget_ms(context.estimates, stage.name, remaining_ms)
        self._tried.add(target.target)
        return Attempt(
            self._services, context, self._call, target, attempt_class, budget_ms
        )

    def _attempt_class(self) -> AttemptClass:
        return AttemptClass.FIRST if self._first else AttemptClass.RETRY

    async def _pick(self) -> TargetView:
        """Choose a target; a suspect waits for its turn to run alone."""
        policy = self._services.policy
        fingerprint = self._context.fingerprint
        while True:
            blocked = policy.blocked(fingerprint)
            if blocked is not None:
                raise _failure_of(blocked)
            suspect = policy.suspected(fingerprint)
            picked = self._pick_among(frozenset(self._tried), suspect)
            if picked.is_err() and self._tried:
                picked = self._pick_among(frozenset(), suspect)
            if picked.is_ok():
                return picked.unwrap()
            refused = picked.unwrap_err()
            remaining_ms = self._context.remaining_ms(self._services.clock)
            if not suspect or refused.retry_after_ms >= remaining_ms:
                raise _failure_of(refused)
            await trio.sleep(to_s(refused.retry_after_ms))

    def _pick_among(
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
        """Raise unless another attempt may be made."""
        context = self._context
        policy = self._services.policy
        blocked = policy.blocked(context.fingerprint)
        if blocked is not None:
            raise _failure_of(blocked)
        if answer.may_have_run and self._call.strict:
            raise self._failure(answer)
        stage = self._call.stage
        remaining_ms = context.remaining_ms(self._services.clock)
        if not policy.may_retry(stage.pool, stage.typical_ms, remaining_ms):
            raise self._failure(answer)

    def _failure(self, answer: CallAnswer) -> RunFailed:
        cause = CAUSE_OF_OUTCOME.get(answer.outcome, Cause.TARGET_FAILED)
        message = f"stage {self._call.stage.name}: {answer.message or cause.value}"
        retry_after_ms = max(MIN_RETRY_AFTER_MS, math.ceil(answer.retry_after_ms))
        return RunFailed(cause, message, retry_after_ms)

    async def _consume(self, attempt: Attempt, sink: TokenSink) -> CallAnswer:
        """Read an opened stream to its end and report how it ended."""
        try:
            with self._services.pace.opened():
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
                asked_s = clock.monotonic_s()
                batch = await opened.stream.next_batch()
                if batch is not None:
                    await self._services.pace.after_read(asked_s)
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
        """Resume a cut stream at the same engine, or return how it failed."""
        transport = self._services.transport
        cut = opened.stream.answer
        await opened.stream.aclose()
        if await transport.has_crashed(opened.target):
            return cut
        if reconnects > MAX_STREAM_RECONNECTS:
            return CallAnswer(CallOutcome.FAILED, message=cut.message)
        stream = await transport.resume_stream(
            opened.target, opened.envelope.stream_id, position
        )
        if isinstance(stream, CallAnswer):
            return CallAnswer(CallOutcome.FAILED, message=stream.message)
        opened.stream = stream
        return None


class StreamBroken(Exception):
    """A stream ended before its last token, and another attempt may be made.

    Parameters
    ----------
    message : str
        How it ended.
    """

    def __init__(self, message: str):
        self.message = message
        super().__init__(message)


class _Race:
    """Attempts that run at the same time; the first success cancels the others."""

    def __init__(self):
        self.nursery: trio.Nursery | None = None
        self.ended = False
        self._winner: tuple[Attempt, CallAnswer] | None = None
        self._failures: list[tuple[Attempt, CallAnswer]] = []
        self._running = 0

    async def follow(self, attempt: Attempt) -> None:
        """Run `attempt` and take its result if it is the first success."""
        self._running += 1
        answer = await attempt.run()
        self._running -= 1
        if answer.outcome is not CallOutcome.DONE:
            self._failures.append((attempt, answer))
        elif self._winner is None:
            self._win(attempt, answer)
        else:
            self._lose(attempt, answer)
        if self._winner is not None or self._running == 0:
            self.ended = True
            self.nursery.cancel_scope.cancel()

    def result(self) -> tuple[Attempt, CallAnswer]:
        """Return the winner, or the last failure."""
        return self._winner or self._failures[-1]

    def _win(self, attempt: Attempt, answer: CallAnswer) -> None:
        self._winner = (attempt, answer)
        if attempt.opened is None:
            attempt.report(answer, OutcomeClass.USED)

    def _lose(self, attempt: Attempt, answer: CallAnswer) -> None:
        if attempt.opened is None:
            attempt.report(answer, OutcomeClass.WASTED)
        else:
            attempt.abandon()


def _failure_of(refused: Refused) -> RunFailed:
    return RunFailed(refused.cause, refused.message, refused.retry_after_ms)
