"""Follows a run that another instance executes."""

from collections.abc import AsyncGenerator, Callable
from contextlib import AbstractContextManager, aclosing
from functools import singledispatch

import msgspec

from ..core.ids import InstanceId, PipelineName, RequestId, RunId, WorkspaceId
from ..core.outcomes import Cause, Outcome
from ..exceptions import PeerUnavailable
from ..observability import get_logger
from ..pipeline import (
    CallerRequest,
    FinalEvent,
    RecordReader,
    RunIdentity,
    RunRecord,
    refusal,
)
from ..pipeline.models import (
    AcceptedEvent,
    Event,
    PartEvent,
    ResetEvent,
    ResumeEvent,
    StageEvent,
    ValueEvent,
)
from ..wire import Message, PeerNetwork
from ..wire.messages import message_tag
from ..wire.messages.requests import (
    JoinRun,
    RunAccepted,
    RunFinal,
    RunReset,
    RunResume,
    RunStage,
    RunTokens,
    RunValue,
)

log = get_logger("acaciapier.entry")

CONNECT_TIMEOUT_MS = 1_000.0


class RunJoiner:
    """Copies the events of a run at a peer into a record of this instance.

    Parameters
    ----------
    network : PeerNetwork
        Connections to peers.
    """

    def __init__(self, network: PeerNetwork):
        self._network = network

    async def follow(self, record: RunRecord, holder: InstanceId) -> bool:
        """Copy events to `record`; return whether it got its final event.

        Without one, the peer is unreachable or no longer has the answer.
        """
        if holder == self._network.identity.instance_id:
            return False
        message = _join_message(record.request)
        stream = self._network.call_stream(holder, message, CONNECT_TIMEOUT_MS)
        try:
            async with aclosing(stream) as events:
                async for event in events:
                    apply_event(event, record)
        except PeerUnavailable as error:
            log.info(
                "stopped following the run of request {} at {}: {}",
                record.request.request_id,
                holder,
                error,
            )
        return record.final is not None


class JoinServer:
    """Serves peers that follow runs of this instance.

    Parameters
    ----------
    find : callable
        Returns the record of a request, or a final event if there is no record.
    track_exchange : callable
        Returns a context manager; a drain waits until it exits.
    """

    def __init__(
        self,
        find: Callable[[CallerRequest], RunRecord | FinalEvent],
        track_exchange: Callable[[], AbstractContextManager[None]],
    ):
        self._find = find
        self._track_exchange = track_exchange

    async def serve(
        self, peer: InstanceId, message: JoinRun
    ) -> AsyncGenerator[Message, None]:
        """Yield the events of the run up to the final one."""
        with self._track_exchange():
            async with aclosing(self._events(message)) as events:
                async for event in events:
                    yield event

    async def _events(self, message: JoinRun) -> AsyncGenerator[Message, None]:
        found = self._find(_request_of(message))
        if isinstance(found, FinalEvent):
            yield RunFinal(msgspec.json.encode(found))
            return
        position = 0
        async with RecordReader(found) as reader:
            while events := await reader.next_events():
                for event in events:
                    if isinstance(event, PartEvent):
                        position = event.offset + event.count
                        yield RunTokens(list(found.tokens[event.offset : position]))
                    else:
                        yield to_message(event)


def claimant_unreachable(record: RunRecord, holder: str) -> FinalEvent:
    """Return the final event of a run whose instance cannot be reached."""
    message = f"request {record.request.request_id} was claimed by {holder}, which is "
    message += "not reachable; it may have run and is not run again"
    return refusal(Cause.DUPLICATE, message, outcome=Outcome.UNKNOWN)


@singledispatch
def to_message(event: Event) -> Message:
    """Return the wire message for an event of a record."""
    raise TypeError(f"no wire message for event {type(event).__name__}")


@to_message.register
def _(event: AcceptedEvent) -> Message:
    return RunAccepted(event.run_id, event.configuration_number)


@to_message.register
def _(event: StageEvent) -> Message:
    return RunStage(event.stage, event.elapsed_ms)


@to_message.register
def _(event: ResumeEvent) -> Message:
    return RunResume(event.token)


@to_message.register
def _(event: ValueEvent) -> Message:
    return RunValue(msgspec.json.encode(event.value))


@to_message.register
def _(event: ResetEvent) -> Message:
    return RunReset(event.run_id, event.cause)


@to_message.register
def _(event: FinalEvent) -> Message:
    return RunFinal(msgspec.json.encode(event))


@singledispatch
def apply_event(message: Message, record: RunRecord) -> None:
    """Apply a message from the peer to the record of this instance."""
    raise TypeError(f"{message_tag(type(message))} is not an event of a run")


@apply_event.register
def _(message: RunAccepted, record: RunRecord) -> None:
    record.identity = RunIdentity(
        record.request.request_id,
        RunId(message.run_id),
        message.configuration_number,
    )
    record.accept()


@apply_event.register
def _(message: RunStage, record: RunRecord) -> None:
    record.add_progress_event(StageEvent(message.stage, message.elapsed_ms))


@apply_event.register
def _(message: RunResume, record: RunRecord) -> None:
    record.add_progress_event(ResumeEvent(message.token))


@apply_event.register
def _(message: RunTokens, record: RunRecord) -> None:
    record.add_tokens(message.tokens)


@apply_event.register
def _(message: RunValue, record: RunRecord) -> None:
    record.set_value(msgspec.json.decode(message.content))


@apply_event.register
def _(message: RunReset, record: RunRecord) -> None:
    identity = record.identity
    run_id = RunId(message.run_id)
    record.restart(
        RunIdentity(identity.request_id, run_id, identity.configuration_number),
        message.cause,
    )


@apply_event.register
def _(message: RunFinal, record: RunRecord) -> None:
    final = msgspec.json.decode(message.content, type=FinalEvent)
    if final.cause != Cause.ANSWER_GONE.value:
        record.finish(final)


def _join_message(request: CallerRequest) -> JoinRun:
    return JoinRun(
        workspace=request.workspace,
        request_id=request.request_id,
        pipeline=request.pipeline,
        content=msgspec.json.encode(request.input),
        deadline_ms=request.deadline_ms,
        repeatable=request.repeatable,
        recover=request.recover,
    )


def _request_of(message: JoinRun) -> CallerRequest:
    return CallerRequest(
        workspace=WorkspaceId(message.workspace),
        request_id=RequestId(message.request_id),
        pipeline=PipelineName(message.pipeline),
        input=msgspec.json.decode(message.content),
        deadline_ms=message.deadline_ms,
        repeatable=message.repeatable,
        recover=message.recover,
    )
