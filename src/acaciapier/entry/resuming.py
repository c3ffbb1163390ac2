"""Resumes, on this instance, a stream that another instance has started."""

from result import Err, Ok, Result

from ..core.clock import Clock, epoch_ms
from ..core.ids import (
    DataCentreId,
    Incarnation,
    PipelineName,
    PoolName,
    RegionId,
    RequestId,
    TargetId,
    WorkspaceId,
)
from ..core.outcomes import Cause, Outcome
from ..pipeline import (
    CallerRequest,
    FinalEvent,
    ResumeClaim,
    ResumeTokens,
    RunRecord,
    refusal,
)
from ..policy import CallOutcome, TargetView
from ..targets import CallAnswer, Transport

RESUMED_DEADLINE_MS = 600_000
STREAM_GONE_RETRY_AFTER_MS = 100


class StreamResumer:
    """Reads an engine's stream again from its start, as a resume token allows.

    The whole stream is read, whatever the caller has of it, so that the count
    and the digest of the whole answer are checked before its final event.

    Parameters
    ----------
    transport : Transport
        Calls of targets.
    tokens : ResumeTokens
        Checks resume tokens.
    clock : Clock
        Source of time.
    """

    def __init__(self, transport: Transport, tokens: ResumeTokens, clock: Clock):
        self._transport = transport
        self._tokens = tokens
        self._clock = clock

    def check(
        self, workspace: WorkspaceId, request_id: RequestId, token: str
    ) -> Result[ResumeClaim, str]:
        """Return what the token says if it is this workspace's and request's."""
        opened = self._tokens.open(token, epoch_ms(self._clock.now()))
        if opened.is_err():
            return opened
        claim = opened.unwrap()
        if (claim.workspace, claim.request_id) != (workspace, request_id):
            return Err("the resume token belongs to another request")
        return Ok(claim)

    def request_of(self, claim: ResumeClaim) -> CallerRequest:
        """Return the request to keep in the record; its input is not known here."""
        return CallerRequest(
            workspace=WorkspaceId(claim.workspace),
            request_id=RequestId(claim.request_id),
            pipeline=PipelineName(claim.pipeline),
            input=None,
            deadline_ms=RESUMED_DEADLINE_MS,
        )

    async def run(self, record: RunRecord, claim: ResumeClaim) -> None:
        """Fill `record` from the engine's stream."""
        stream = await self._transport.resume_stream(
            _target_of(claim), claim.stream_id, 0
        )
        if isinstance(stream, CallAnswer):
            record.finish(_stream_gone(stream))
            return
        record.accept()
        try:
            with record.cancel_scope:
                while (batch := await stream.next_batch()) is not None:
                    record.add_tokens(batch.tokens)
        finally:
            await stream.aclose()
        if stream.answer.outcome is CallOutcome.DONE:
            record.finish(_whole(record))
        else:
            record.finish(_stream_gone(stream.answer))


def _whole(record: RunRecord) -> FinalEvent:
    return FinalEvent(
        outcome=Outcome.DONE.value, count=record.count, digest=record.digest()
    )


def _stream_gone(answer: CallAnswer) -> FinalEvent:
    message = f"the stream cannot be resumed: {answer.message}"
    return refusal(
        Cause.ANSWER_GONE, message, STREAM_GONE_RETRY_AFTER_MS, Outcome.UNKNOWN
    )


def _target_of(claim: ResumeClaim) -> TargetView:
    return TargetView(
        target=TargetId(claim.target),
        incarnation=Incarnation(claim.target_incarnation),
        pool=PoolName(claim.pool),
        data_centre=DataCentreId(""),
        region=RegionId(""),
        url=claim.target_url,
    )
