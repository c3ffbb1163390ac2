"""Server side of one HTTP/1.1 connection, which serves request after request.

A caller that disconnects during its request is detected immediately, and an
incomplete response closes the connection, so that it cannot look complete.
"""

import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import h11
import trio

from .caller_input import (
    CallerDisconnected,
    CloseReason,
    ConnectionLimits,
    IdleTimeout,
    IncomingRequest,
    InputBudget,
    RejectedInput,
    RequestReader,
    UnansweredInput,
    UncountedInput,
)
from .client import RECEIVE_BYTES, Headers, set_keepalive_options

__all__ = [
    "CallerConnection",
    "CallerDisconnected",
    "CloseReason",
    "ConnectionLimits",
    "Exchange",
    "Handler",
    "IncomingRequest",
    "UnansweredInput",
]

MAX_PIPELINED_BYTES = 65_536
"""Maximum of bytes of further requests that are read while one is served."""

MEMORY_RETRY_AFTER = b"0.5"
"""Value of ``Retry-After`` of input that gives way: by then its memory is free."""

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
    budget : InputBudget, optional
        What the connection shares with others; by default its input is not counted.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: Callable[[], ConnectionLimits],
        handler: Handler,
        clock: Callable[[], float],
        stopping: Callable[[], bool],
        record_unanswered: Callable[[UnansweredInput], None] = lambda unanswered: None,
        budget: InputBudget | None = None,
    ):
        self._stream = stream
        self._handler = handler
        self._stopping = stopping
        self._record_unanswered = record_unanswered
        budget = budget or UncountedInput()
        self._turn = budget.turn
        self._reader = RequestReader(stream, limits, clock, budget, self._send_continue)
        self._handling = False
        self._close_would_complete = False
        self._close_announced = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has arrived since the last response."""
        return self._reader.idle

    @property
    def waiting_since_s(self) -> float | None:
        """Since when no input has arrived, unless a request is handled."""
        return None if self._handling else self._reader.progressed_s

    async def serve(self) -> None:
        """Serve until either side closes."""
        set_keepalive_options(self._stream)
        rejected = None
        try:
            try:
                while await self._serve_request():
                    pass
            except CallerDisconnected:
                pass
            except IdleTimeout:
                self._record_close(CloseReason.IDLE_TIMEOUT)
            except RejectedInput as error:
                self._record_close(error.reason, error.status)
                rejected = error.status, error.reason
            except trio.Cancelled:
                self._record_close(CloseReason.STOP)
                raise
            # The exception would keep what was read while the caller takes its time.
            self._reader.drop()
            if rejected is not None:
                await self._reject(*rejected)
        finally:
            self._reader.drop()
            self.close()

    def close_idle(self, reason: CloseReason = CloseReason.STOP) -> None:
        """Close a connection that has no request, by default as the process stops."""
        self._record_close(reason)
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
            self._reader.parser.their_http_version != b"1.1"
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
            data = self._reader.parser.send(event)
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

    async def _send_continue(self) -> None:
        await self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        request = await self._reader.read()
        if request is None:
            return False
        self._reader.begin_handling()
        self._handling = True
        exchange = Exchange(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._handler(request, exchange)
            except CallerDisconnected:
                self.close()
            nursery.cancel_scope.cancel()
        # Without the announcement, the caller's next request may be on its way.
        parser = self._reader.parser
        done = (parser.our_state, parser.their_state)
        if not exchange.ended or self._close_announced or done != (h11.DONE, h11.DONE):
            self._record_close(CloseReason.AFTER_RESPONSE)
            return False
        self._reader.end_handling()
        self._handling = False
        return True

    def _record_close(self, reason: CloseReason, status: int | None = None) -> None:
        reader = self._reader
        unparsed, unread = reader.unparsed_bytes, reader.unread_bytes
        silent = reader.head is None and not unparsed and not unread
        if silent and status is None and reason is not CloseReason.DESCRIPTORS:
            return
        self._record_unanswered(
            UnansweredInput(
                reason, status, reader.head, reader.body_bytes, unparsed, unread
            )
        )

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes its connection."""
        try:
            if not await self._reader.read_ahead(MAX_PIPELINED_BYTES):
                return
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _reject(self, status: int, reason: CloseReason) -> None:
        """Send an error response; the caller may already have disconnected."""
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if reason is CloseReason.MEMORY:
            headers.append((b"Retry-After", MEMORY_RETRY_AFTER))
        try:
            await self.send_head(status, headers)
            await self.send_event(h11.EndOfMessage())
            await self._linger()
        except CallerDisconnected:
            return

    async def _linger(self) -> None:
        """Drain the input, as closing with unread input would reset the response.

        Connections drain in turns, so that those that send on leave the event loop to
        others.
        """
        with trio.move_on_after(LINGER_TIMEOUT_S):
            try:
                await self._stream.send_eof()
                while await self._drain():
                    pass
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _drain(self) -> bool:
        """Read and drop some input; return False at its end."""
        await trio.lowlevel.wait_readable(self._stream.socket)
        async with self._turn:
            return bool(await self._stream.receive_some(RECEIVE_BYTES))
