"""One attempt at a stage: calls the target, reports the outcome and the cost."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from ..accounts import AttemptClass, CostEntry, OutcomeClass
from ..core.clock import to_ms, to_s
from ..objects.models import Stage, StageKind
from ..policy import CallOutcome, CallReport, TargetView
from ..targets.models import CallAnswer, CallEnvelope, TokenBatch
from ..targets.transport import TokenStream
from .context import ExecutorServices, RunContext
from .models import StageCost


@dataclass(frozen=True)
class StageCall:
    """A stage of a run and the input to call it with."""

    stage: Stage
    input: Any
    at_most_once: bool
    """Whether the stage must not be retried once a target may have run it."""


@dataclass
class OpenedStream:
    """A stream of which the first batch of tokens has been received."""

    target: TargetView
    envelope: CallEnvelope
    stream: TokenStream
    first: TokenBatch | None


class Attempt:
    """One numbered attempt at a stage on one target."""

    def __init__(
        self,
        services: ExecutorServices,
        context: RunContext,
        call: StageCall,
        target: TargetView,
        attempt_class: AttemptClass,
        budget_ms: float,
    ):
        self.target = target
        self.opened: OpenedStream | None = None
        self._services = services
        self._context = context
        self._call = call
        self._attempt_class = attempt_class
        self._budget_ms = budget_ms
        self._started_s = services.clock.monotonic_s()
        self._reported = False
        self.envelope = self._make_envelope(context.next_attempt())

    async def run(self) -> CallAnswer:
        """Call the target; cancelling this task also cancels the call at the target."""
        services = self._services
        services.policy.sent(self.target.target, self._context.fingerprint)
        try:
            with trio.move_on_after(to_s(self._budget_ms)) as scope:
                answer = await self._call_target()
            if scope.cancelled_caught:
                answer = CallAnswer(CallOutcome.TIMED_OUT, message="no answer in time")
            answer = await self._confirm_crash(answer)
        except trio.Cancelled:
            self.abandon()
            raise
        if answer.outcome is CallOutcome.TIMED_OUT:
            self._start_in_background(self._cancel)
        if answer.outcome is not CallOutcome.DONE:
            self.report(answer, OutcomeClass.FAILED)
        return answer

    def report(self, answer: CallAnswer, cost_class: OutcomeClass) -> None:
        """Report the outcome to the policy and the accounts; later calls do nothing."""
        if self._reported:
            return
        self._reported = True
        self._context.may_have_run |= answer.may_have_run
        self._report_to_policy(answer)
        self.record_cost(answer, cost_class)
        if answer.target is not None:
            self._services.record_target_status(self.target, answer.target)

    def abandon(self) -> None:
        """Cancel an attempt whose result is no longer needed."""
        if self._reported:
            return
        self._reported = True
        self._context.may_have_run = True
        self._report_to_policy(CallAnswer(CallOutcome.CANCELLED))
        if self.opened is not None:
            self._start_in_background(self.opened.stream.aclose)
        self._start_in_background(self._cancel)

    def record_cost(self, answer: CallAnswer, cost_class: OutcomeClass) -> None:
        """Record the service time and the units that the attempt consumed."""
        if not answer.may_have_run:
            return
        stage = self._call.stage
        context = self._context
        self._services.record_cost(
            CostEntry(
                workspace=context.request.workspace,
                pipeline=context.pipeline.name,
                stage=stage.name,
                stage_kind=stage.kind,
                attempt_class=self._attempt_class,
                outcome_class=cost_class,
                service_ms=answer.service_ms,
                units=answer.units,
            )
        )
        cost = context.costs.setdefault(stage.name, StageCost())
        cost.calls += 1
        cost.wasted_calls += cost_class is not OutcomeClass.USED
        cost.service_ms += answer.service_ms
        for unit, amount in answer.units.items():
            cost.units[unit] = cost.units.get(unit, 0) + amount

    async def _call_target(self) -> CallAnswer:
        transport = self._services.transport
        if self._call.stage.kind is not StageKind.GENERATE:
            return await transport.call(self.target, self.envelope)
        stream = await transport.open_stream(self.target, self.envelope)
        if isinstance(stream, CallAnswer):
            return stream
        try:
            first = await stream.next_batch()
        except trio.Cancelled:
            await stream.aclose()
            raise
        self._report_first_part()
        if first is None and stream.answer.outcome is not CallOutcome.DONE:
            await stream.aclose()
            return stream.answer
        self.opened = OpenedStream(self.target, self.envelope, stream, first)
        return CallAnswer(CallOutcome.DONE)

    def _report_first_part(self) -> None:
        elapsed_s = self._services.clock.monotonic_s() - self._started_s
        self._services.policy.first_part_received(
            self.target.target, self._context.fingerprint, to_ms(elapsed_s)
        )

    async def _confirm_crash(self, answer: CallAnswer) -> CallAnswer:
        if answer.outcome is not CallOutcome.CRASHED:
            return answer
        if await self._services.transport.has_crashed(self.target):
            return answer
        return CallAnswer(CallOutcome.FAILED, message=answer.message)

    def _report_to_policy(self, answer: CallAnswer) -> None:
        elapsed_s = self._services.clock.monotonic_s() - self._started_s
        load = answer.target.load.to_load() if answer.target else None
        report = CallReport(
            target=self.target.target,
            incarnation=self.target.incarnation,
            pool=self.target.pool,
            stage_kind=self._call.stage.kind,
            outcome=answer.outcome,
            elapsed_ms=to_ms(elapsed_s),
            load=load,
            service_ms=answer.service_ms or None,
        )
        self._services.policy.ended(report, self._context.fingerprint)
        if answer.outcome is CallOutcome.CRASHED:
            self._services.after_crash()

    def _start_in_background(self, action: Callable[[], Awaitable[None]]) -> None:
        try:
            self._services.background.start_soon(action)
        except RuntimeError:
            # The nursery is closed at shutdown; the target sees the connection close.
            return

    async def _cancel(self) -> None:
        answer = await self._services.transport.cancel(self.target, self.envelope)
        if answer.outcome is CallOutcome.CANCELLED:
            self.record_cost(answer, OutcomeClass.CANCELLED)

    def _make_envelope(self, number: int) -> CallEnvelope:
        request = self._context.request
        stage = self._call.stage
        run_id = self._context.record.identity.run_id
        generates = stage.kind is StageKind.GENERATE
        return CallEnvelope(
            request_id=request.request_id,
            run_id=run_id,
            workspace=request.workspace,
            pipeline=self._context.pipeline.name,
            stage=stage.name,
            attempt=number,
            deadline_ms=max(1, int(self._budget_ms)),
            input=self._call.input,
            parameters=stage.parameters,
            stream_id=f"{run_id}.{stage.name}.{number}" if generates else None,
            max_tokens=stage.max_tokens if generates else None,
        )
