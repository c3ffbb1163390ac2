"""Server side of one HTTP/1.1 connection, which serves request after request.

A caller that disconnects during its request is detected immediately, and an
incomplete response closes the connection, so that it cannot look complete.
"""

import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import h11
import trio

from .client import RECEIVE_BYTES, Headers, set_keepalive_options

MAX_PIPELINED_BYTES = 65_536
"""Maximum of bytes of further requests that are read while one is served."""

HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value."""

LINGER_TIMEOUT_S = 1.0
"""Time that a caller whose input is rejected has to read the response."""

RESPONSE_TIMEOUT_S = 1.0
"""Minimum time that a caller has to take a response that is there as a whole."""

LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its connection."""

STATUS_TEXTS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


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


class _Rejected(Exception):
    """The input is rejected with a status, and the connection closed."""

    def __init__(self, status: int, reason: CloseReason = CloseReason.REJECTED):
        self.status = status
        self.reason = reason


class Exchange:
    """The response to one request: either `respond`, or `start`, `send` and `end`.

    Parameters
    ----------
    connection : CallerConnection
        The caller's connection.
    """

    def __init__(self, connection: "CallerConnection"):
        self.started = False
        self.ended = False
        self.unread = False
        """Whether the caller did not take a part of the response in time."""
        self._connection = connection

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response, to its end even if the caller's deadline passes.

        Raises
        ------
        CallerDisconnected
            If the caller disconnects, or does not take the response in time.
        """
        length = (b"Content-Length", str(len(body)).encode())
        with self._sending():
            await self._start(status, [*headers, length])
            if body:
                await self.send(body)
            await self.end()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response; without a length its body is chunked."""
        await trio.lowlevel.checkpoint_if_cancelled()
        with self._sending():
            await self._start(status, headers)

    async def _start(self, status: int, headers: Headers) -> None:
        self.started = True
        await self._connection.send_head(status, headers)

    @contextmanager
    def _sending(self) -> Iterator[None]:
        """Bound a part of a response that is sent to its end, once it has begun.

        A surrounding scope that ends meanwhile would cut it.
        """
        latest_s = max(
            trio.current_effective_deadline(), trio.current_time() + RESPONSE_TIMEOUT_S
        )
        with trio.CancelScope(shield=True, deadline=latest_s) as scope:
            yield
        if scope.cancelled_caught:
            self.unread = True
            raise CallerDisconnected("it does not take its response")

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.send_event(h11.Data(data=data))

    async def end(self) -> None:
        """End the body."""
        with self._sending():
            await self._connection.send_event(h11.EndOfMessage())
        self.ended = True

    async def send_raw(self, data: bytes) -> None:
        """Send bytes outside the protocol, as stand-ins for faulty servers do."""
        await self._connection.send_raw(data)

    def abort(self) -> None:
        """Close the connection, so that the response cannot look complete."""
        self._connection.close()


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


class CallerConnection:
    """Reads a caller's requests and lets a handler answer them one by one.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted stream.
    limits : callable
        Returns the limits in force.
    handler : callable
        Coroutine that answers a request.
    clock : callable
        Returns the current time in seconds.
    stopping : callable
        Returns whether connections are to be closed after their response.
    record_unanswered : callable, optional
        Called when this side closes the connection while input of a request is there.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: Callable[[], ConnectionLimits],
        handler: Handler,
        clock: Callable[[], float],
        stopping: Callable[[], bool],
        record_unanswered: Callable[[UnansweredInput], None] = lambda unanswered: None,
    ):
        self._waiting = False
        """Whether the first bytes of a request are waited for."""
        self._stream = stream
        self._limits = limits
        self._handler = handler
        self._clock = clock
        self._stopping = stopping
        self._record_unanswered = record_unanswered
        self._head: h11.Request | None = None
        self._body_bytes = 0
        self._max_head_bytes = limits().max_header_bytes
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head_bytes
        )
        self._eof = False
        self._close_would_complete = False
        self._close_announced = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has arrived since the last response."""
        return self._waiting and not self._unread_bytes()

    async def serve(self) -> None:
        """Serve until either side closes."""
        set_keepalive_options(self._stream)
        try:
            while await self._serve_request():
                pass
        except CallerDisconnected:
            pass
        except _Rejected as rejected:
            self._record_close(rejected.reason, rejected.status)
            await self._reject(rejected.status)
        except trio.Cancelled:
            self._record_close(CloseReason.STOP)
            raise
        finally:
            self.close()

    def close_idle(self) -> None:
        """Close a connection that has no request, when the process stops."""
        self._record_close(CloseReason.STOP)
        self.close()

    def close(self) -> None:
        """Close immediately; reset if a regular end would complete a response."""
        if self._close_would_complete and self._stream.socket.fileno() >= 0:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._stream.socket.close()

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        headers = list(headers)
        # Callers that speak an older version than HTTP/1.1 know no chunks.
        self._close_would_complete = (
            self._parser.their_http_version != b"1.1"
            and not any(name.lower() == b"content-length" for name, _ in headers)
        )
        if self._stopping():
            self._close_announced = True
            headers.append((b"Connection", b"close"))
        reason = STATUS_TEXTS.get(status, b"OK" if status == 200 else b"")
        await self.send_event(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def send_event(self, event) -> None:
        """Send a part of a response, or raise `CallerDisconnected`."""
        try:
            data = self._parser.send(event)
        except h11.LocalProtocolError as error:
            raise CallerDisconnected from error
        if data:
            await self.send_raw(data)
        if isinstance(event, h11.EndOfMessage):
            self._close_would_complete = False

    async def send_raw(self, data: bytes) -> None:
        """Send bytes as they are, or raise `CallerDisconnected`."""
        try:
            await self._stream.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected from error

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        request = await self._read_request()
        if request is None:
            return False
        self._head, self._body_bytes = None, 0
        exchange = Exchange(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._handler(request, exchange)
            except CallerDisconnected:
                self.close()
            nursery.cancel_scope.cancel()
        # Without the announcement, the caller's next request may be on its way.
        done = (self._parser.our_state, self._parser.their_state)
        if not exchange.ended or self._close_announced or done != (h11.DONE, h11.DONE):
            self._record_close(CloseReason.AFTER_RESPONSE)
            return False
        self._parser.start_next_cycle()
        return True

    async def _read_request(self) -> IncomingRequest | None:
        if not self._unparsed_bytes and not await self._wait_for_input():
            return None
        limits = self._limits()
        self._limit_head(limits.max_header_bytes)
        with trio.move_on_after(limits.header_timeout_s) as scope:
            while (event := self._parser_event()) is h11.NEED_DATA:
                if not await self._receive():
                    return None
        if scope.cancelled_caught:
            raise _Rejected(408, CloseReason.HEADER_TIMEOUT)
        if not isinstance(event, h11.Request):
            return None
        self._head, self._body_bytes = event, 0
        return await self._read_body(event, limits)

    async def _wait_for_input(self) -> bool:
        """Wait for the first bytes of a request; return False if there are none."""
        since_s = now_s = trio.current_time()
        self._waiting = True
        try:
            # The limit may be raised meanwhile.
            while now_s < (until_s := since_s + self._limits().idle_timeout_s):
                with trio.move_on_at(until_s):
                    return await self._receive()
                now_s = trio.current_time()
            if self._unread_bytes():
                return await self._receive()
            self._record_close(CloseReason.IDLE_TIMEOUT)
            return False
        finally:
            self._waiting = False

    def _limit_head(self, max_bytes: int) -> None:
        """Apply a changed limit before a request; the parser cannot change its own."""
        if max_bytes == self._max_head_bytes:
            return
        self._max_head_bytes = max_bytes
        data, _ = self._parser.trailing_data
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        self._parser.receive_data(data)

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
            raise _Rejected(431)
        if b"transfer-encoding" in values and b"content-length" in values:
            raise _Rejected(400)
        if int(values.get(b"content-length", b"0")) > limits.max_body_bytes:
            raise _Rejected(413)
        if self._parser.they_are_waiting_for_100_continue:
            await self.send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        while True:
            event = self._parser_event()
            if isinstance(event, h11.Data):
                body += event.data
                self._body_bytes = len(body)
                if len(body) > limits.max_body_bytes:
                    raise _Rejected(413)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.NEED_DATA:
                with trio.move_on_after(limits.idle_timeout_s) as scope:
                    if not await self._receive():
                        return None
                if scope.cancelled_caught:
                    raise _Rejected(408, CloseReason.BODY_TIMEOUT)
            else:
                return None
        return IncomingRequest(
            bytes(head.method),
            bytes(head.target),
            headers,
            values,
            bytes(body),
            self._clock(),
        )

    @property
    def _unparsed_bytes(self) -> int:
        return len(self._parser.trailing_data[0])

    def _unread_bytes(self) -> int:
        """Return how many bytes wait in the socket's buffer."""
        if self._stream.socket.fileno() < 0:
            return 0
        count = fcntl.ioctl(self._stream.socket, termios.FIONREAD, b"\0" * 4)
        return struct.unpack("i", count)[0]

    def _record_close(self, reason: CloseReason, status: int | None = None) -> None:
        unparsed, unread = self._unparsed_bytes, self._unread_bytes()
        if self._head is None and not unparsed and not unread and status is None:
            return
        self._record_unanswered(
            UnansweredInput(
                reason, status, self._head, self._body_bytes, unparsed, unread
            )
        )

    def _parser_event(self):
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _Rejected(error.error_status_hint or 400) from error

    async def _receive(self) -> bool:
        """Read some bytes; return False at the end of the input."""
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected from error
        self._parser.receive_data(data)
        return bool(data)

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes its connection."""
        pipelined_bytes = 0
        try:
            while pipelined_bytes <= MAX_PIPELINED_BYTES:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                pipelined_bytes += len(data)
                self._parser.receive_data(data)
            else:
                return
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _reject(self, status: int) -> None:
        """Send an error response; the caller may already have disconnected."""
        try:
            await self.send_head(
                status, [(b"Content-Length", b"0"), (b"Connection", b"close")]
            )
            await self.send_event(h11.EndOfMessage())
            await self._linger()
        except CallerDisconnected:
            return

    async def _linger(self) -> None:
        """Drain the input, as closing with unread input would reset the response."""
        with trio.move_on_after(LINGER_TIMEOUT_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                return
