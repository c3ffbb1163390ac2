"""The two ends of a streamed answer, with a window of messages in flight."""

import math
from collections.abc import AsyncGenerator

import trio

from ..exceptions import ProtocolError
from .messages.base import Message
from .messages.control import CallFailure

STREAM_WINDOW = 32
_CREDIT_BATCH = STREAM_WINDOW // 2


class IncomingStream:
    """Receiving end: a buffer of at most one window."""

    def __init__(self):
        self.ended = False
        self._consumed = 0
        self._put, self._receive = trio.open_memory_channel(math.inf)

    def put(self, message: Message, is_end: bool) -> None:
        """Store a received message, or the end of the stream.

        Raises
        ------
        ProtocolError
            If the peer sends more than the window allows.
        """
        if self.ended:
            raise ProtocolError("a message after the end of its stream")
        if is_end:
            self.ended = True
            if isinstance(message, CallFailure):
                self._put.send_nowait(message)
            self._put.close()
            return
        if self._put.statistics().current_buffer_used >= STREAM_WINDOW:
            raise ProtocolError("a stream overran its window")
        self._put.send_nowait(message)

    def break_off(self) -> None:
        """End the stream early because its connection ended."""
        self._put.close()

    def take_credit(self) -> int:
        """Return how many messages the peer may be allowed, in batches."""
        self._consumed += 1
        if self._consumed < _CREDIT_BATCH:
            return 0
        count, self._consumed = self._consumed, 0
        return count

    async def items(self) -> AsyncGenerator[Message, None]:
        """Yield the messages in their order."""
        async for message in self._receive:
            yield message


class OutgoingStream:
    """Sending end: counts the messages that may still be sent."""

    def __init__(self):
        self.scope = trio.CancelScope()
        self._credit = trio.Semaphore(STREAM_WINDOW)

    def grant(self, count: int) -> None:
        """Allow `count` more messages."""
        if not 0 < count <= STREAM_WINDOW or self._credit.value > STREAM_WINDOW:
            raise ProtocolError(f"a credit of {count} messages is out of bounds")
        for _ in range(count):
            self._credit.release()

    async def spend_credit(self) -> None:
        """Wait until one more message may be sent."""
        await self._credit.acquire()
