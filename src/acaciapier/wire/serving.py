"""Runs the handlers of a peer's calls on one connection."""

from collections.abc import Callable
from contextlib import aclosing

import trio
from logbook import Logger

from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from .counters import TrafficCounters
from .dispatch import Dispatcher
from .frames import Frame, FrameKind
from .messages.base import Message, message_tag
from .messages.control import Acknowledgement, CallFailure, Credit
from .streams import OutgoingStream

MAX_INCOMING_CALLS = 256

log = Logger(__name__)


class CallServer:
    """Runs the handlers of a peer's calls, up to `MAX_INCOMING_CALLS` at once.

    Parameters
    ----------
    peer : InstanceId
        The calling peer.
    dispatcher : Dispatcher
        Handlers by message type.
    counters : TrafficCounters
        Traffic counters.
    decode : callable
        Decodes the body of a frame.
    write : callable
        Coroutine that queues one message: kind, call number, message.
    """

    def __init__(
        self,
        peer: InstanceId,
        dispatcher: Dispatcher,
        counters: TrafficCounters,
        decode: Callable[[Frame], Message],
        write,
    ):
        self.running = 0
        self._peer = peer
        self._dispatcher = dispatcher
        self._counters = counters
        self._decode = decode
        self._write = write
        self._streams: dict[int, OutgoingStream] = {}

    def start(self, nursery: trio.Nursery, frame: Frame) -> None:
        """Start the handler; a message without one fails only its own call."""
        if self.running >= MAX_INCOMING_CALLS:
            self._counters.refused_calls += 1
            self._refuse(nursery, frame, "too many calls at once")
            return
        try:
            message = self._decode(frame)
            if frame.kind is FrameKind.STREAM_CALL:
                serve = self._serve_stream
                handler = self._dispatcher.find_stream_handler(message)
            else:
                serve = self._serve
                handler = self._dispatcher.find_handler(message)
        except ProtocolError as error:
            self._counters.protocol_errors += 1
            self._refuse(nursery, frame, str(error))
            return
        self.running += 1
        nursery.start_soon(serve, frame, handler, message)

    def control_stream(self, kind: FrameKind, number: int, message: Message) -> None:
        """Apply a credit or a cancellation to a running stream."""
        stream = self._streams.get(number)
        if stream is None:
            return
        if kind is FrameKind.CANCEL:
            stream.scope.cancel()
        elif isinstance(message, Credit):
            stream.grant(message.count)

    def _refuse(self, nursery: trio.Nursery, frame: Frame, reason: str) -> None:
        if frame.kind is FrameKind.SEND:
            log.info("message from {} dropped: {}", self._peer, reason)
            return
        is_stream = frame.kind is FrameKind.STREAM_CALL
        kind = FrameKind.STREAM_END if is_stream else FrameKind.ANSWER
        nursery.start_soon(self._write, kind, frame.number, CallFailure(reason))

    async def _serve(self, frame: Frame, handler, message: Message) -> None:
        try:
            answer = await handler(self._peer, message)
        except Exception as error:
            answer = self._log_failure(message, error)
        finally:
            self.running -= 1
        if frame.kind is FrameKind.CALL:
            await self._answer(FrameKind.ANSWER, frame, answer)

    async def _serve_stream(self, frame: Frame, handler, message: Message) -> None:
        stream = self._streams[frame.number] = OutgoingStream()
        end = None
        try:
            with stream.scope:
                async with aclosing(handler(self._peer, message)) as items:
                    async for item in items:
                        await stream.spend_credit()
                        await self._write(FrameKind.STREAM_ITEM, frame.number, item)
        except Exception as error:
            end = self._log_failure(message, error)
        finally:
            self.running -= 1
            del self._streams[frame.number]
        if not stream.scope.cancelled_caught:
            await self._answer(FrameKind.STREAM_END, frame, end)

    async def _answer(
        self, kind: FrameKind, frame: Frame, answer: Message | None
    ) -> None:
        answer = Acknowledgement() if answer is None else answer
        try:
            await self._write(kind, frame.number, answer)
        except ProtocolError as error:
            await self._write(kind, frame.number, CallFailure(str(error)))
        except PeerUnavailable:
            log.debug("{} disconnected before its answer was sent", self._peer)

    def _log_failure(self, message: Message, error: Exception) -> CallFailure:
        tag = message_tag(type(message))
        log.exception("handler of {} from {} failed", tag, self._peer)
        return CallFailure(f"the handler of {tag} failed: {type(error).__name__}")
