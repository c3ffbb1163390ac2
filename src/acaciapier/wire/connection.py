"""An authenticated connection that multiplexes many calls.

Both sides may call, and each numbers its own calls. One task writes the outgoing
frames from a bounded queue, so a slow or frozen peer delays no other peer.
"""

from collections.abc import AsyncGenerator, Callable, Mapping

import trio
from logbook import Logger

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from .codec import MessageRegistry, encode_message
from .counters import TrafficCounters
from .dispatch import CallFailed, Dispatcher
from .frames import HEADER_BYTES, Frame, FrameKind, FrameReader, encode_frame
from .handshake import RECEIVE_BYTES, Session
from .messages.base import Message, message_tag
from .messages.control import Acknowledgement, CallFailure, Credit
from .serving import CallServer
from .streams import IncomingStream

MAX_QUEUED_FRAMES = 256
MAX_BATCH_BYTES = 262_144
WRITE_TIMEOUT_S = 10.0
CALL_NUMBER_COUNT = 1 << 32
MAX_ABANDONED_CALLS = 1_024
"""Calls without an answer that are remembered: several times the calls that a peer
serves at once."""
LateHandler = Callable[[InstanceId, Message, Message], None]
"""Called with a peer, an abandoned call and its late answer."""

log = Logger(__name__)


class Connection:
    """An open connection to one peer.

    Parameters
    ----------
    stream : trio.abc.Stream
        The transport, after the handshake.
    reader : FrameReader
        Reader that may already hold bytes received along with the handshake.
    session : Session
        Result of the handshake.
    registry : MessageRegistry
        Message types.
    dispatcher : Dispatcher
        Handlers of incoming messages.
    counters : TrafficCounters
        Traffic counters.
    clock : Clock
        Source of the time of last use, by which idle connections are closed.
    late_handlers : mapping, optional
        Handlers of answers to calls that nobody waits for any more, by the type of the
        call. Other late answers are dropped.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        session: Session,
        registry: MessageRegistry,
        dispatcher: Dispatcher,
        counters: TrafficCounters,
        clock: Clock,
        late_handlers: Mapping[type[Message], LateHandler] | None = None,
    ):
        self.peer = session.peer
        self.closed = False
        self.last_used_s = clock.monotonic_s()
        self._version = session.version
        self._stream = stream
        self._reader = reader
        self._registry = registry
        self._counters = counters
        self._clock = clock
        self._queue, self._outgoing = trio.open_memory_channel(MAX_QUEUED_FRAMES)
        self._last_call_number = 0
        self._pending_calls: dict[int, trio.MemorySendChannel] = {}
        self._late_handlers = late_handlers or {}
        self._abandoned_calls: dict[int, Message] = {}
        self._incoming_streams: dict[int, IncomingStream] = {}
        self._server = CallServer(
            session.peer.instance_id,
            dispatcher,
            counters,
            self._decode,
            self._queue_when_free,
        )
        self._nursery: trio.Nursery | None = None

    @property
    def busy(self) -> bool:
        """Whether calls are running in either direction."""
        return bool(
            self._pending_calls or self._incoming_streams or self._server.running
        )

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._write)
                await self._read()
                nursery.cancel_scope.cancel()
        finally:
            await self.aclose()

    async def aclose(self) -> None:
        """Close immediately; pending calls fail."""
        if self.closed:
            return
        self.closed = True
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        for pending_call in list(self._pending_calls.values()):
            pending_call.close()
        for stream in list(self._incoming_streams.values()):
            stream.abort()
        await trio.aclose_forcefully(self._stream)

    async def call(self, message: Message) -> Message:
        """Send `message` and return its answer; the caller sets the timeout.

        Raises
        ------
        PeerUnavailable
            If the queue is full or the connection closes before the answer.
        """
        number = self._next_call_number()
        send_answer, receive_answer = trio.open_memory_channel(1)
        self._pending_calls[number] = send_answer
        try:
            self._queue_message(FrameKind.CALL, number, message)
            answer = await receive_answer.receive()
        except trio.EndOfChannel:
            raise PeerUnavailable(f"{self.peer.instance_id} cut the call") from None
        except trio.Cancelled:
            self._abandon_call(number, message)
            raise
        finally:
            del self._pending_calls[number]
        if isinstance(answer, CallFailure):
            raise CallFailed(f"{self.peer.instance_id}: {answer.reason}")
        return answer

    def send(self, message: Message) -> None:
        """Queue `message` without waiting, or raise `PeerUnavailable`."""
        self._queue_message(FrameKind.SEND, 0, message)

    async def call_stream(self, message: Message) -> AsyncGenerator[Message, None]:
        """Send `message` and yield the messages of its answer.

        Raises
        ------
        PeerUnavailable
            If the connection closes before the stream ends.
        """
        number = self._next_call_number()
        stream = IncomingStream()
        self._incoming_streams[number] = stream
        try:
            self._queue_message(FrameKind.STREAM_CALL, number, message)
            async for item in stream.items():
                if isinstance(item, CallFailure):
                    raise CallFailed(f"{self.peer.instance_id}: {item.reason}")
                yield item
                if count := stream.pop_credit():
                    self._queue_message(FrameKind.CREDIT, number, Credit(count))
            if not stream.ended:
                raise PeerUnavailable(f"{self.peer.instance_id} cut the stream")
        finally:
            del self._incoming_streams[number]
            if not stream.ended and not self.closed:
                self._try_cancel(number)

    def _try_cancel(self, number: int) -> None:
        try:
            self._queue_message(FrameKind.CANCEL, number, Acknowledgement())
        except PeerUnavailable:
            if self._nursery is not None:
                self._nursery.cancel_scope.cancel()

    def _abandon_call(self, number: int, message: Message) -> None:
        """Remember a call that has ended, if its late answer must be handled."""
        if type(message) not in self._late_handlers:
            return
        if len(self._abandoned_calls) >= MAX_ABANDONED_CALLS:
            del self._abandoned_calls[next(iter(self._abandoned_calls))]
        self._abandoned_calls[number] = message

    def _next_call_number(self) -> int:
        self._last_call_number = (self._last_call_number + 1) % CALL_NUMBER_COUNT
        return self._last_call_number

    def _encode(self, kind: FrameKind, number: int, message: Message) -> bytes:
        frame = encode_frame(kind, number, encode_message(message), self._version)
        self._counters.count_sent(message_tag(type(message)), len(frame))
        return frame

    def _queue_message(self, kind: FrameKind, number: int, message: Message) -> None:
        if self.closed:
            raise PeerUnavailable(f"the connection to {self.peer.instance_id} closed")
        try:
            self._queue.send_nowait(self._encode(kind, number, message))
        except trio.WouldBlock:
            raise PeerUnavailable(
                f"the queue to {self.peer.instance_id} is full"
            ) from None

    async def _queue_when_free(
        self, kind: FrameKind, number: int, message: Message
    ) -> None:
        """Queue a message; wait while the queue is full."""
        await self._queue.send(self._encode(kind, number, message))

    async def _write(self) -> None:
        """Write queued frames, several in one system call if more are queued."""
        while True:
            batch = [await self._outgoing.receive()]
            size_bytes = len(batch[0])
            while size_bytes < MAX_BATCH_BYTES:
                try:
                    batch.append(self._outgoing.receive_nowait())
                except trio.WouldBlock:
                    break
                size_bytes += len(batch[-1])
            try:
                with trio.fail_after(WRITE_TIMEOUT_S):
                    await self._stream.send_all(b"".join(batch))
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
            ) as error:
                # `aclose` may have closed the stream from another task.
                log.info("connection to {} failed: {!r}", self.peer.instance_id, error)
                self._nursery.cancel_scope.cancel()
                return

    async def _read(self) -> None:
        """Handle received frames until the peer closes or violates the protocol."""
        try:
            while True:
                while (frame := self._reader.next_frame()) is not None:
                    self._handle(frame)
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                self.last_used_s = self._clock.monotonic_s()
                self._reader.feed_bytes(data)
            if self._reader.pending_bytes:
                raise ProtocolError("the connection closed in the middle of a frame")
        except ProtocolError as error:
            self._counters.protocol_errors += 1
            log.warning("connection to {} closed: {}", self.peer.instance_id, error)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log.info("connection to {} failed: {!r}", self.peer.instance_id, error)

    def _handle(self, frame: Frame) -> None:
        if frame.kind in (FrameKind.CALL, FrameKind.SEND, FrameKind.STREAM_CALL):
            self._server.start(self._nursery, frame)
            return
        message = self._decode(frame)
        if frame.kind is FrameKind.ANSWER:
            self._handle_answer(frame.number, message)
        elif frame.kind in (FrameKind.STREAM_ITEM, FrameKind.STREAM_END):
            stream = self._incoming_streams.get(frame.number)
            if stream is not None:
                stream.put(message, is_end=frame.kind is FrameKind.STREAM_END)
        else:
            self._server.control_stream(frame.kind, frame.number, message)

    def _decode(self, frame: Frame) -> Message:
        message = self._registry.decode(frame.body)
        self._counters.count_received(
            message_tag(type(message)), len(frame.body) + HEADER_BYTES
        )
        return message

    def _handle_answer(self, number: int, message: Message) -> None:
        pending_call = self._pending_calls.get(number)
        if pending_call is None:
            self._counters.late_answers += 1
            call = self._abandoned_calls.pop(number, None)
            if call is not None:
                handle = self._late_handlers[type(call)]
                handle(self.peer.instance_id, call, message)
            return
        try:
            pending_call.send_nowait(message)
        except trio.WouldBlock:
            raise ProtocolError(f"second answer to call {number}") from None
