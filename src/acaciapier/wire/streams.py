"""Both ends of a streamed answer, with credit-based flow control."""

import math
from collections.abc import AsyncGenerator

import trio

from ..exceptions import ProtocolError
from .messages.base import Message
from .messages.control import CallFailure

STREAM_WINDOW = 32
_CREDIT_BATCH = STREAM_WINDOW // 2


class IncomingStream:
    """Receiving end: a buffer of at most `STREAM_WINDOW` messages."""

    def __init__(self):
        self.ended = False
        self._consumed = 0
        self._buffer, self._receive = trio.open_memory_channel(math.inf)

    def put(self, message: Message, is_end: bool) -> None:
        """Buffer a received message, or record the end of the stream.

        Raises
        ------
        ProtocolError
            If the peer sends more than the window allows.
        """
        if self.ended:
            raise ProtocolError("message received after the end of its stream")
        if is_end:
            self.ended = True
            if isinstance(message, CallFailure):
                self._buffer.send_nowait(message)
            self._buffer.close()
            return
        if self._buffer.statistics().current_buffer_used >= STREAM_WINDOW:
            raise ProtocolError("the peer exceeded the window of a stream")
        self._buffer.send_nowait(message)

    def abort(self) -> None:
        """End the stream early because its connection closed."""
        self._buffer.close()

    def pop_credit(self) -> int:
        """Count a consumed message; return the credit to grant, 0 between batches."""
        self._consumed += 1
        if self._consumed < _CREDIT_BATCH:
            return 0
        count, self._consumed = self._consumed, 0
        return count

    async def items(self) -> AsyncGenerator[Message, None]:
        """Yield the received messages in order."""
        async for message in self._receive:
            yield message


class OutgoingStream:
    """Sending end: sends only as many messages as the receiver granted."""

    def __init__(self):
        self.scope = trio.CancelScope()
        self._credit = trio.Semaphore(STREAM_WINDOW)

    def grant(self, count: int) -> None:
        """Add credit for `count` more messages."""
        if not 0 < count <= STREAM_WINDOW or self._credit.value > STREAM_WINDOW:
            raise ProtocolError(f"a credit of {count} messages is out of bounds")
        for _ in range(count):
            self._credit.release()

    async def spend_credit(self) -> None:
        """Use the credit for one message; wait while there is none."""
        await self._credit.acquire()
