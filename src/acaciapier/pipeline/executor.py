"""Runs the stages of a request's pipeline under one deadline."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from ..core.clock import epoch_ms, to_ms, to_s
from ..core.ids import StageName
from ..core.outcomes import Cause, Outcome
from ..objects.models import Pipeline, Stage, StageKind
from ..policy import Refused
from .attempts import OpenedStream, StageCall
from .context import ExecutorServices, RunContext, stage_estimates
from .models import (
    CallerRequest,
    FinalEvent,
    ResumeEvent,
    RunFailed,
    RunIdentity,
    StageEvent,
    StageResult,
)
from .record import RunRecord
from .resume import ResumeTokenPayload
from .stages import StageRunner, StreamInterrupted

RESUME_VALIDITY_MS = 120_000


class Executor:
    """Runs requests; each run ends with exactly one final event in its record.

    Parameters
    ----------
    services : ExecutorServices
        Dependencies shared by all runs of the instance.
    """

    def __init__(self, services: ExecutorServices):
        self._services = services

    async def run(
        self,
        request: CallerRequest,
        pipeline: Pipeline,
        record: RunRecord,
        may_run: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        """Run `request` and finish `record`; a failed run does not raise.

        Parameters
        ----------
        request : CallerRequest
            Request of the caller.
        pipeline : Pipeline
            Pipeline selected by the route rules.
        record : RunRecord
            Receives the parts of the answer and the final event.
        may_run : callable, optional
            Called once the request is admitted; if it returns False, nothing
            runs and the record is left unfinished.
        """
        context = self._make_context(request, pipeline, record)
        refused = self._services.policy.blocked(context.fingerprint)
        if refused is not None:
            self._finish_refused(context, refused)
            return
        admitted = self._admit(context)
        if admitted.is_err():
            self._finish_refused(context, admitted.unwrap_err())
            return
        outcome = Outcome.NOT_RUN
        try:
            if may_run is None or await may_run():
                record.accept()
                outcome = Outcome.UNKNOWN
                outcome = await self._run_admitted(context)
        finally:
            self._services.policy.release(admitted.unwrap(), outcome)

    async def _run_admitted(self, context: RunContext) -> Outcome:
        record = context.record
        run = _GraphRun(self._services, context)
        remaining_s = to_s(context.remaining_ms(self._services.clock))
        with record.cancel_scope:
            with trio.move_on_after(remaining_s) as deadline:
                await run.run()
            if deadline.cancelled_caught:
                run.failure = RunFailed(Cause.DEADLINE, "the deadline has passed")
        if record.cancel_scope.cancelled_caught:
            run.failure = RunFailed(Cause.CANCELLED, "the caller left")
        final = self._final_event(context, run.failure)
        record.finish(final)
        return Outcome(final.outcome)

    def _make_context(
        self, request: CallerRequest, pipeline: Pipeline, record: RunRecord
    ) -> RunContext:
        return RunContext(
            request=request,
            pipeline=pipeline,
            record=record,
            deadline_s=record.started_s + to_s(request.deadline_ms),
            estimates=stage_estimates(pipeline),
            fingerprint=request.fingerprint,
            remaining_stages={stage.name for stage in pipeline.stages},
        )

    def _admit(self, context: RunContext):
        return self._services.policy.admit(
            context.request.workspace,
            context.estimates,
            context.remaining_ms(self._services.clock),
            context.fingerprint,
        )

    def _finish_refused(self, context: RunContext, refused: Refused) -> None:
        context.record.finish(
            FinalEvent(
                outcome=Outcome.NOT_RUN.value,
                cause=refused.cause.value,
                message=refused.message,
                retry_after_ms=refused.retry_after_ms,
            )
        )

    def _final_event(
        self, context: RunContext, failure: RunFailed | None
    ) -> FinalEvent:
        record = context.record
        cost = {name: _cost_fields(cost) for name, cost in context.costs.items()}
        if failure is None:
            return FinalEvent(
                outcome=Outcome.DONE.value,
                count=record.count,
                digest=record.digest(),
                cost=cost,
            )
        outcome = Outcome.UNKNOWN if context.may_have_run else Outcome.NOT_RUN
        return FinalEvent(
            outcome=outcome.value,
            cause=failure.cause.value,
            message=failure.message,
            retry_after_ms=failure.retry_after_ms,
            count=record.count,
            cost=cost,
        )


class _GraphRun:
    """Runs the stages of one run; each starts once its dependencies are done."""

    def __init__(self, services: ExecutorServices, context: RunContext):
        self.failure: RunFailed | None = None
        self._services = services
        self._context = context
        self._answer_stage = context.pipeline.stages[-1].name
        self._results: dict[StageName, StageResult] = {}
        self._stage_done = {
            stage.name: trio.Event() for stage in context.pipeline.stages
        }
        self._at_most_once = not context.request.repeatable

    async def run(self) -> None:
        """Run all stages; `failure` is set afterwards if one of them failed."""
        async with trio.open_nursery() as nursery:
            for stage in self._context.pipeline.stages:
                nursery.start_soon(self._run_stage, stage, nursery)

    async def _run_stage(self, stage: Stage, nursery: trio.Nursery) -> None:
        for dependency in stage.needs:
            await self._stage_done[dependency].wait()
        started_s = self._services.clock.monotonic_s()
        try:
            output = await self._run_to_output(stage)
        except RunFailed as failure:
            if self.failure is None:
                self.failure = failure
            nursery.cancel_scope.cancel()
            return
        elapsed_ms = to_ms(self._services.clock.monotonic_s() - started_s)
        self._results[stage.name] = StageResult(stage.name, output, elapsed_ms)
        self._context.remaining_stages.discard(stage.name)
        self._context.record.add_progress_event(
            StageEvent(stage.name, round(elapsed_ms, 3))
        )
        self._stage_done[stage.name].set()

    async def _run_to_output(self, stage: Stage) -> Any:
        call = StageCall(
            stage, self._stage_input(stage), self._at_most_once or not stage.repeatable
        )
        runner = StageRunner(self._services, self._context, call)
        produces_answer = stage.name == self._answer_stage
        if stage.kind is not StageKind.GENERATE:
            output = await runner.run_unary()
            if produces_answer:
                self._context.record.set_value(output)
            return output
        if produces_answer:
            return await self._stream_answer(runner)
        return await self._collect_text(runner)

    async def _stream_answer(self, runner: StageRunner) -> None:
        record = self._context.record
        while True:
            try:
                await runner.run_stream(record.add_tokens, self._publish_resume_token)
                return
            except StreamInterrupted as interruption:
                if record.count:
                    record.restart(self._next_identity(), interruption.message)

    async def _collect_text(self, runner: StageRunner) -> str:
        while True:
            tokens: list[str] = []
            try:
                await runner.run_stream(tokens.extend)
                return "".join(tokens)
            except StreamInterrupted:
                continue

    def _publish_resume_token(self, opened: OpenedStream) -> None:
        request = self._context.request
        identity = self._context.record.identity
        now_ms = epoch_ms(self._services.clock.now())
        payload = ResumeTokenPayload(
            workspace=request.workspace,
            request_id=request.request_id,
            run_id=identity.run_id,
            pipeline=self._context.pipeline.name,
            configuration_number=identity.configuration_number,
            instance=self._services.instance,
            target=opened.target.target,
            target_incarnation=opened.target.incarnation,
            target_url=opened.target.url,
            pool=opened.target.pool,
            stream_id=opened.envelope.stream_id,
            expires_ms=now_ms + RESUME_VALIDITY_MS,
            fingerprint=self._context.fingerprint,
        )
        token = self._services.tokens.sign(payload)
        self._context.record.add_progress_event(ResumeEvent(token))

    def _next_identity(self) -> RunIdentity:
        identity = self._context.record.identity
        base, _, number = identity.run_id.partition("~")
        run_id = f"{base}~{int(number or 1) + 1}"
        return RunIdentity(identity.request_id, run_id, identity.configuration_number)

    def _stage_input(self, stage: Stage) -> dict[str, Any]:
        caller_input = self._context.request.input
        fields = (
            caller_input if isinstance(caller_input, dict) else {"input": caller_input}
        )
        if not stage.needs:
            return fields
        results = {
            dependency: self._results[dependency].output for dependency in stage.needs
        }
        return {**fields, "results": results}


def _cost_fields(cost) -> dict[str, float]:
    fields = {
        "calls": cost.calls,
        "wasted_calls": cost.wasted_calls,
        "service_ms": round(cost.service_ms, 3),
    }
    return {**cost.units, **fields}
