"""Resumes a stream that another instance started."""

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
    ResumeTokenPayload,
    ResumeTokenSigner,
    RunRecord,
    refusal,
)
from ..policy import CallOutcome, TargetView
from ..targets import CallAnswer, Transport

RESUMED_DEADLINE_MS = 600_000
STREAM_GONE_RETRY_AFTER_MS = 100


class StreamResumer:
    """Reads the engine's stream that a resume token names, from its start.

    The complete stream is read, even if the caller already has a part of it, so
    that the count and digest of the answer are verified before its final event.

    Parameters
    ----------
    transport : Transport
        Reads the stream from the engine.
    tokens : ResumeTokenSigner
        Verifies resume tokens.
    clock : Clock
        Source of time.
    """

    def __init__(self, transport: Transport, tokens: ResumeTokenSigner, clock: Clock):
        self._transport = transport
        self._tokens = tokens
        self._clock = clock

    def check(
        self, workspace: WorkspaceId, request_id: RequestId, token: str
    ) -> Result[ResumeTokenPayload, str]:
        """Return the payload of the token if it belongs to this request."""
        verified = self._tokens.verify(token, epoch_ms(self._clock.now()))
        if verified.is_err():
            return verified
        payload = verified.unwrap()
        if (payload.workspace, payload.request_id) != (workspace, request_id):
            return Err("the resume token belongs to another request")
        return Ok(payload)

    def build_request(self, payload: ResumeTokenPayload) -> CallerRequest:
        """Return the request for the record, without input as the token has none."""
        return CallerRequest(
            workspace=WorkspaceId(payload.workspace),
            request_id=RequestId(payload.request_id),
            pipeline=PipelineName(payload.pipeline),
            input=None,
            deadline_ms=RESUMED_DEADLINE_MS,
        )

    async def run(self, record: RunRecord, payload: ResumeTokenPayload) -> None:
        """Copy the engine's stream to `record` and finish it."""
        stream = await self._transport.resume_stream(
            _target_view(payload), payload.stream_id, 0
        )
        if isinstance(stream, CallAnswer):
            record.finish(_stream_gone_event(stream))
            return
        record.accept()
        try:
            with record.cancel_scope:
                while (batch := await stream.next_batch()) is not None:
                    record.add_tokens(batch.tokens)
        finally:
            await stream.aclose()
        if stream.answer.outcome is CallOutcome.DONE:
            record.finish(_done_event(record))
        else:
            record.finish(_stream_gone_event(stream.answer))


def _done_event(record: RunRecord) -> FinalEvent:
    return FinalEvent(
        outcome=Outcome.DONE.value, count=record.count, digest=record.digest()
    )


def _stream_gone_event(answer: CallAnswer) -> FinalEvent:
    message = f"the stream cannot be resumed: {answer.message}"
    return refusal(
        Cause.ANSWER_GONE, message, STREAM_GONE_RETRY_AFTER_MS, Outcome.UNKNOWN
    )


def _target_view(payload: ResumeTokenPayload) -> TargetView:
    return TargetView(
        target=TargetId(payload.target),
        incarnation=Incarnation(payload.target_incarnation),
        pool=PoolName(payload.pool),
        data_centre=DataCentreId(""),
        region=RegionId(""),
        url=payload.target_url,
    )
