"""Runs requests that may not be repeated, each after claiming it."""

from functools import singledispatchmethod

from ..claims import (
    ClaimRequest,
    ClaimResult,
    ClaimService,
    Done,
    Early,
    Expired,
    Granted,
    Invalid,
    MayHaveRun,
    Reused,
    Running,
    Unavailable,
)
from ..core.clock import Clock, to_ms
from ..core.outcomes import Cause, Outcome
from ..objects.models import Pipeline
from ..pipeline import Executor, FinalEvent, RunRecord, refusal
from .joining import RunJoiner, claimant_unreachable

CLAIM_TIMEOUT_MS = 1_500.0
NEW_ID_HINT = "send it again under a new id"


class ClaimedRuns:
    """Claims a request and runs it, or follows the run of the instance that claimed it.

    Parameters
    ----------
    claims : ClaimService
        Grants each request at most once in the fleet.
    executor : Executor
        Runs claimed requests.
    joiner : RunJoiner
        Follows runs of other instances.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        claims: ClaimService,
        executor: Executor,
        joiner: RunJoiner,
        clock: Clock,
    ):
        self._claims = claims
        self._executor = executor
        self._joiner = joiner
        self._clock = clock

    async def run(self, record: RunRecord, pipeline: Pipeline) -> None:
        """Finish `record`, with a run on this or another instance."""
        if record.request.recover:
            await self._finish_without_run(await self._claim(record), record)
            return
        result: ClaimResult | None = None

        async def may_run() -> bool:
            nonlocal result
            result = await self._claim(record)
            return isinstance(result, Granted)

        try:
            await self._executor.run(record.request, pipeline, record, may_run)
        finally:
            if isinstance(result, Granted):
                self._record_outcome(result, record)
        if record.final is None:
            await self._finish_without_run(result, record)

    async def _claim(self, record: RunRecord) -> ClaimResult:
        request = record.request
        elapsed_ms = to_ms(self._clock.monotonic_s() - record.started_s)
        remaining_ms = max(0.0, request.deadline_ms - elapsed_ms)
        return await self._claims.claim(
            ClaimRequest(
                request.workspace,
                request.request_id,
                request.fingerprint,
                min(CLAIM_TIMEOUT_MS, remaining_ms),
            )
        )

    def _record_outcome(self, granted: Granted, record: RunRecord) -> None:
        final = record.final
        outcome = Outcome(final.outcome) if final else Outcome.UNKNOWN
        count = final.count if final else 0
        digest = final.digest if final else ""
        self._claims.record_outcome(granted, outcome, count, digest)

    @singledispatchmethod
    async def _finish_without_run(self, result: ClaimResult, record: RunRecord) -> None:
        """Finish the record of a request that does not run on this instance."""
        raise TypeError(f"unexpected claim result {type(result).__name__}")

    @_finish_without_run.register
    async def _(self, result: Granted, record: RunRecord) -> None:
        # Settles the claim, so that no instance can run this id after the answer.
        self._claims.record_outcome(result, Outcome.UNKNOWN)
        message = f"the request was never started; {NEW_ID_HINT}"
        record.finish(refusal(Cause.RECOVERED, message))

    @_finish_without_run.register
    async def _(self, result: Running, record: RunRecord) -> None:
        if not await self._joiner.follow(record, result.instance):
            record.finish(claimant_unreachable(record, result.instance))

    @_finish_without_run.register
    async def _(self, result: Done, record: RunRecord) -> None:
        if await self._joiner.follow(record, result.instance):
            return
        record.finish(
            FinalEvent(
                outcome=Outcome.DONE.value,
                cause=Cause.ANSWER_GONE.value,
                message="the request was done, but its answer is not held any more",
                count=result.count,
                digest=result.digest,
            )
        )

    @_finish_without_run.register
    async def _(self, result: MayHaveRun, record: RunRecord) -> None:
        record.finish(claimant_unreachable(record, result.instance))

    @_finish_without_run.register
    async def _(self, result: Reused, record: RunRecord) -> None:
        message = f"request {record.request.request_id} was sent with other content"
        record.finish(refusal(Cause.ID_REUSED, message))

    @_finish_without_run.register
    async def _(self, result: Expired, record: RunRecord) -> None:
        message = "the id is too old; the request may have run and is not run again"
        record.finish(refusal(Cause.ID_EXPIRED, message, outcome=Outcome.UNKNOWN))

    @_finish_without_run.register
    async def _(self, result: Early, record: RunRecord) -> None:
        not_run = result.not_run and not record.request.recover
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        message = "the time in the id lies too far ahead"
        record.finish(refusal(Cause.BAD_REQUEST, message, outcome=outcome))

    @_finish_without_run.register
    async def _(self, result: Invalid, record: RunRecord) -> None:
        message = "the id of a request that may not be repeated is a UUID version 7"
        record.finish(refusal(Cause.BAD_REQUEST, message))

    @_finish_without_run.register
    async def _(self, result: Unavailable, record: RunRecord) -> None:
        message = "the request cannot be claimed now"
        retry_after_ms = int(result.retry_after_ms)
        # A request sent with `recover` may have run after an earlier send.
        outcome = Outcome.UNKNOWN if record.request.recover else Outcome.NOT_RUN
        cause = Cause.STORE_UNAVAILABLE
        record.finish(refusal(cause, message, retry_after_ms, outcome))
