"""Reads the requests of one caller's connection within limits.

What is read is counted towards the memory of the process, and small chunks are parsed
in turns with other connections.
"""

import fcntl
import struct
import termios
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import h11
import trio

from .client import RECEIVE_BYTES, Headers

HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value."""

HEADER_LINE_MEMORY_BYTES = 180
"""Memory that a parsed header line takes besides its bytes: 172 were measured."""

PARTS_PER_TURN = 32
"""Parts of a body that are parsed without a step of the event loop: 0.4 to 1.2 ms with
chunks of one byte. Ordinary bodies have fewer in what is received at once."""

LINES_PER_TURN = 256
"""Lines received at once of which a head is parsed in turn: 2,900 lines take 8 ms."""


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on a caller's input."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass
class IncomingRequest:
    """A complete request of a caller."""

    method: bytes
    target: bytes
    headers: Headers
    values: dict[bytes, bytes]
    """Values by lower-case name."""
    body: bytes
    received_s: float
    """Time of its last byte on the connection's clock."""


class CloseReason(Enum):
    """Why this side closes a connection from which it has read input."""

    IDLE_TIMEOUT = "idle_timeout"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    REJECTED = "rejected"
    """The input is malformed or over a limit."""
    AFTER_RESPONSE = "after_response"
    """The last response was the connection's last one, or is incomplete."""
    STOP = "stop"
    MEMORY = "memory"
    """The process has no memory left for input; this was the largest and slowest."""
    DESCRIPTORS = "descriptors"
    """The process has no descriptors left for callers; this one was idle longest."""


@dataclass(frozen=True)
class UnansweredInput:
    """Input of a request that has no complete answer of a handler.

    Parameters
    ----------
    reason : CloseReason
        Why the connection closes.
    status : int or None
        Status that the caller gets in its place, if any.
    head : h11.Request or None
        Head of the request if it was read.
    body_bytes : int
        Bytes of its body that were read.
    unparsed_bytes : int
        Bytes that were read and belong to an incomplete head, or to further requests.
    unread_bytes : int
        Bytes that had arrived and were not read.
    """

    reason: CloseReason
    status: int | None
    head: h11.Request | None
    body_bytes: int
    unparsed_bytes: int
    unread_bytes: int


class CallerDisconnected(Exception):
    """The caller has disconnected."""


class RejectedInput(Exception):
    """The input is rejected with a status, and the connection closed.

    Parameters
    ----------
    status : int
        Status for the caller; it says that the request has not run.
    reason : CloseReason
        Reason for the log.
    """

    def __init__(self, status: int, reason: CloseReason = CloseReason.REJECTED):
        self.status = status
        self.reason = reason


class IdleTimeout(Exception):
    """No request has begun in time."""


class InputAccount(Protocol):
    """Counts what one connection holds of its caller's input."""

    def hold(self, size_bytes: int) -> bool:
        """Count so many bytes; return whether there is memory for them."""

    def complete(self, size_bytes: int) -> None:
        """Count a complete request, which does not give way any more."""

    def hold_ahead(self, size_bytes: int) -> bool:
        """Count bytes beside a complete request; return whether there is memory."""

    def release(self) -> None:
        """Count nothing any more."""


class InputBudget(Protocol):
    """What all connections share."""

    turn: trio.Lock
    """Held while small parts of input are parsed, or rejected input is drained."""

    def account(self, give_way: Callable[[], None]) -> InputAccount:
        """Return the account of a connection, which `give_way` makes drop its input."""


class UncountedInput:
    """Budget of listeners whose input is small or trusted."""

    def __init__(self):
        self.turn = trio.Lock()

    def account(self, give_way: Callable[[], None]) -> InputAccount:
        """Return an account that has memory for everything."""
        return _UncountedAccount()


class _UncountedAccount:
    def hold(self, size_bytes: int) -> bool:
        return True

    def complete(self, size_bytes: int) -> None:
        pass

    def hold_ahead(self, size_bytes: int) -> bool:
        return True

    def release(self) -> None:
        pass


class RequestReader:
    """Reads request after request from a connection.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted stream.
    limits : callable
        Returns the limits in force.
    clock : callable
        Returns the current time in seconds.
    budget : InputBudget
        What the connection shares with others.
    send_continue : callable
        Coroutine that tells the caller to send its body.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: Callable[[], ConnectionLimits],
        clock: Callable[[], float],
        budget: InputBudget,
        send_continue: Callable[[], Awaitable[None]],
    ):
        self.head: h11.Request | None = None
        """Head of the request that is being read, if it was."""
        self.body_bytes = 0
        """Bytes of its body that were read."""
        self.waiting = False
        """Whether the first bytes of a request are waited for."""
        self.progressed_s = trio.current_time()
        """When input arrived last, or began to be waited for."""
        self._stream = stream
        self._limits = limits
        self._clock = clock
        self._turn = budget.turn
        self._account = budget.account(self._give_way)
        self._send_continue = send_continue
        self._body = bytearray()
        self._head_memory_bytes = 0
        self._received_lines = 0
        """Lines of the head in what was received last."""
        self._gave_way = False
        self._dropped_bytes = 0
        """Bytes that gave way unparsed."""
        self._scope = trio.CancelScope()
        self._max_head_bytes = limits().max_header_bytes
        self.parser = self._new_parser()

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that belong to an incomplete head, or to further requests.

        Those that gave way are counted until the request is dropped.
        """
        return self._dropped_bytes + len(self.parser.trailing_data[0])

    @property
    def unread_bytes(self) -> int:
        """Bytes that wait in the socket's buffer."""
        if self._stream.socket.fileno() < 0:
            return 0
        count = fcntl.ioctl(self._stream.socket, termios.FIONREAD, b"\0" * 4)
        return struct.unpack("i", count)[0]

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has arrived since the last response."""
        return self.waiting and not self.unread_bytes

    async def read(self) -> IncomingRequest | None:
        """Return the next request, or None if the connection ends before it.

        Raises
        ------
        RejectedInput
            If the input is malformed, over a limit, or too slow, or gives way.
        CallerDisconnected
            If the connection fails.
        """
        self.progressed_s = trio.current_time()
        with trio.CancelScope() as self._scope:
            return await self._read()
        raise RejectedInput(503, CloseReason.MEMORY)

    def begin_handling(self) -> None:
        """Forget the request, whose handler has it now."""
        self.head, self.body_bytes = None, 0

    def end_handling(self) -> None:
        """Expect the next request."""
        self._account.release()
        self.parser.start_next_cycle()

    def drop(self) -> None:
        """Keep nothing of the request, which was rejected or has ended.

        A new parser can still send a response. The former one would keep what it has
        not parsed while the caller takes its time.
        """
        self._body = bytearray()
        self.head, self._head_memory_bytes = None, 0
        self._dropped_bytes = 0
        self.parser = self._new_parser()
        self._account.release()

    async def read_ahead(self, max_bytes: int) -> bool:
        """Read what follows a request; return whether the caller has disconnected.

        Nothing further is read after `max_bytes` are there, or without memory.
        """
        # Each request would add as much again to what is left of earlier reads.
        ahead_bytes = self.unparsed_bytes
        while ahead_bytes <= max_bytes and self._account.hold_ahead(ahead_bytes):
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return True
            ahead_bytes += len(data)
            self.parser.receive_data(data)
        return False

    async def _read(self) -> IncomingRequest | None:
        if not self.unparsed_bytes and not await self._wait_for_input():
            return None
        limits = self._limits()
        self._limit_head(limits.max_header_bytes)
        with trio.move_on_after(limits.header_timeout_s) as scope:
            while (event := await self._head_event()) is h11.NEED_DATA:
                self._hold(self.unparsed_bytes)
                if not await self._receive():
                    return None
        if scope.cancelled_caught:
            raise RejectedInput(408, CloseReason.HEADER_TIMEOUT)
        if not isinstance(event, h11.Request):
            return None
        self.head, self.body_bytes = event, 0
        return await self._read_body(event, limits)

    async def _head_event(self):
        if self._received_lines <= LINES_PER_TURN:
            return self._parser_event()
        async with self._turn:
            return self._parser_event()

    async def _wait_for_input(self) -> bool:
        """Wait for the first bytes of a request; return False if there are none."""
        since_s = now_s = trio.current_time()
        self.waiting = True
        try:
            # The limit may be raised meanwhile.
            while now_s < (until_s := since_s + self._limits().idle_timeout_s):
                with trio.move_on_at(until_s):
                    return await self._receive()
                now_s = trio.current_time()
            if self.unread_bytes:
                return await self._receive()
            raise IdleTimeout
        finally:
            self.waiting = False

    def _limit_head(self, max_bytes: int) -> None:
        """Apply a changed limit before a request; the parser cannot change its own."""
        if max_bytes == self._max_head_bytes:
            return
        self._max_head_bytes = max_bytes
        data, _ = self.parser.trailing_data
        self.parser = self._new_parser()
        self.parser.receive_data(data)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )

    async def _read_body(
        self, head: h11.Request, limits: ConnectionLimits
    ) -> IncomingRequest | None:
        headers = list(head.headers.raw_items())
        values = {name.lower(): value for name, value in headers}
        # The parser limits the size of a head only while it is incomplete.
        size_bytes = sum(
            len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
            for name, value in headers
        )
        if size_bytes > limits.max_header_bytes:
            raise RejectedInput(431)
        if b"transfer-encoding" in values and b"content-length" in values:
            raise RejectedInput(400)
        if int(values.get(b"content-length", b"0")) > limits.max_body_bytes:
            raise RejectedInput(413)
        self._head_memory_bytes = size_bytes + HEADER_LINE_MEMORY_BYTES * len(headers)
        self._body = bytearray()
        if self.parser.they_are_waiting_for_100_continue:
            await self._send_continue()
        while not await self._parse_parts(limits.max_body_bytes):
            self._hold(self._request_memory_bytes)
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                if not await self._receive():
                    return None
            if scope.cancelled_caught:
                raise RejectedInput(408, CloseReason.BODY_TIMEOUT)
        self._hold(self._request_memory_bytes)
        self._account.complete(self._head_memory_bytes + len(self._body))
        # The growing body has spare memory, which the copy has not.
        body, self._body = bytes(self._body), bytearray()
        return IncomingRequest(
            bytes(head.method), bytes(head.target), headers, values, body, self._clock()
        )

    async def _parse_parts(self, max_bytes: int) -> bool:
        """Parse what was received of a body; return whether the body is complete.

        A few parts are parsed at once, and further ones in turn with others.
        """
        ended = self._parse_some_parts(max_bytes)
        while ended is None:
            self._hold(self._request_memory_bytes + self.unparsed_bytes)
            async with self._turn:
                self._check_gave_way()
                ended = self._parse_some_parts(max_bytes)
        return ended

    def _parse_some_parts(self, max_bytes: int) -> bool | None:
        """Parse a bounded number of parts.

        Returns
        -------
        bool or None
            Whether the body is complete; None if there may be parts left.
        """
        for _ in range(PARTS_PER_TURN):
            event = self._parser_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            if len(self._body) + len(event.data) > max_bytes:
                self.body_bytes = len(self._body) + len(event.data)
                raise RejectedInput(413)
            self._body += event.data
            self.body_bytes = len(self._body)
        return None

    @property
    def _request_memory_bytes(self) -> int:
        """Memory of the request; a growing body has an eighth to spare."""
        return self._head_memory_bytes + len(self._body) * 9 // 8

    def _hold(self, size_bytes: int) -> None:
        """Count the memory of the request, or reject it if there is none."""
        self._check_gave_way()
        if not self._account.hold(size_bytes):
            raise RejectedInput(503, CloseReason.MEMORY)

    def _give_way(self) -> None:
        """Drop the input at once, for the memory of others; `read` then ends."""
        self._gave_way = True
        self._body = bytearray()
        self._dropped_bytes = self.unparsed_bytes
        self.parser = self._new_parser()
        self._scope.cancel()

    def _check_gave_way(self) -> None:
        """Reject input that was dropped while this task was about to run."""
        if self._gave_way:
            raise RejectedInput(503, CloseReason.MEMORY)

    def _parser_event(self):
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise RejectedInput(error.error_status_hint or 400) from error

    async def _receive(self) -> bool:
        """Read some bytes; return False at the end of the input."""
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected from error
        self._check_gave_way()
        self.progressed_s = trio.current_time()
        if self.head is None:
            end = data.find(b"\r\n\r\n")
            self._received_lines = data.count(b"\n", 0, end if end >= 0 else len(data))
        self.parser.receive_data(data)
        return bool(data)
