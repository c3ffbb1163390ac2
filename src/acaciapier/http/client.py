"""Client side of one HTTP/1.1 connection, for one request at a time.

Built on h11, the parser of hypercorn and httpcore: a truncated response, a second
response and bytes after a response must be distinguished here, which clients built
on top of h11 do not expose.
"""

import math
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import h11
import trio

from ..exceptions import AcaciapierError

RECEIVE_BYTES = 65_536
MAX_INLINE_REQUEST_BYTES = 16_384
"""A request up to this size fits the socket's buffer; it is sent before reading."""

MAX_RESPONSE_HEAD_BYTES = 65_536
UNRESERVED_BYTES = 65_536
"""Size up to which a body is buffered without reserving memory for it."""

MAX_STATUS = 599
"""Largest status that HTTP defines a class for."""

MAX_SKIPPED_HEADS = 16
"""Maximum number of interim responses, and of responses to other requests, before the
response: a server sends few of either."""

MAX_OVERHEAD_BYTES = 262_144
"""Bytes beyond the content of a response that are read besides `OVERHEAD_FACTOR` bytes
for each byte of content: heads, chunk sizes, trailers, and skipped responses."""

OVERHEAD_FACTOR = 8
"""Chunks of one byte have an overhead of five bytes."""

MAX_SMALL_PARTS, MIN_PART_BYTES = 2_000, 256
"""Parts of a body that is skipped, or buffered as a whole, may be small until there are
so many; further ones have so many bytes on average. Each part costs processor time."""

PARTS_PER_CHECKPOINT = 16
"""Parsed parts after which other tasks run, though more input is buffered."""

UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Time without acknowledgement after which the kernel closes a connection."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
TIMEOUT_PATTERN = re.compile(rb"[0-9]{1,9}")
BODILESS_STATUSES = frozenset({204, 304})
Headers = list[tuple[bytes, bytes]]


class ConnectFailed(AcaciapierError):
    """No connection could be opened; nothing was sent."""


class ConnectionBroken(AcaciapierError):
    """The connection closed, or sent invalid HTTP, before the end of the response."""


@dataclass
class OutgoingRequest:
    """A request with its complete body; the connection adds framing headers."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Framing(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


@dataclass
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    values: dict[bytes, bytes] = field(default_factory=dict)
    """Values by lower-case name."""

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        return self.values.get(name)

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of a header that may be repeated, by lower-case name."""
        if name not in self.values:
            return []
        repeated = [value for key, value in self.headers if key.lower() == name]
        return repeated or [self.values[name]]

    @property
    def length(self) -> int | None:
        """Length of the body in bytes if the head names it."""
        if self.framing is not Framing.LENGTH or self.status in BODILESS_STATUSES:
            return None
        # The parser accepts valid lengths only.
        return int(self.values[b"content-length"])

    @property
    def framing(self) -> Framing:
        """What marks the end of the body; a response without a body has length 0."""
        if b"transfer-encoding" in self.values:
            return Framing.CHUNKED
        if b"content-length" in self.values or self.status in BODILESS_STATUSES:
            return Framing.LENGTH
        return Framing.CONNECTION_END


class HttpConnection:
    """An open connection to a server.

    Parameters
    ----------
    stream : trio.SocketStream
        The connected stream.
    address : str
        Address of the server, for error messages.
    """

    def __init__(self, stream: trio.SocketStream, address: str):
        self.address = address
        self.exchanges = 0
        """Requests that were sent since it was opened or last checked."""
        self.opened_s = math.inf
        """Time at which it was open, set by the pool."""
        self.idle_since_s = 0.0
        self.keep_alive_ms: float | None = None
        self._stream = stream
        self._parser = self._new_parser()
        self._request: h11.Request | None = None
        self._skipping = False
        self._reuse_forbidden = False
        self._write_pending = False
        self._write_ended = trio.Event()
        """Set when nothing is written in the background, or that has failed."""
        self._write_ended.set()
        self._received_bytes = 0
        self._content_bytes = 0
        self._parsed_parts = 0
        self._body_length: int | None = None
        """Length of the response's body if its head names it."""
        self._framing: Framing | None = None
        """What marks the end of the response's body, once its head is there."""

    @classmethod
    async def open(cls, host: str, port: int, timeout_ms: float) -> "HttpConnection":
        """Connect, or raise `ConnectFailed`."""
        address = f"{host}:{port}"
        try:
            with trio.fail_after(timeout_ms / 1_000.0):
                raw = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                try:
                    await raw.connect((host, port))
                except BaseException:
                    raw.close()
                    raise
        except (OSError, OverflowError, ValueError, trio.TooSlowError) as error:
            # An odd host or port raises others than OSError.
            raise ConnectFailed(f"{address}: {error!r}") from error
        stream = trio.SocketStream(raw)
        try:
            set_keepalive_options(stream)
        except OSError as error:
            raw.close()
            raise ConnectFailed(f"{address}: {error!r}") from error
        return cls(stream, address)

    @property
    def stream(self) -> trio.SocketStream:
        """The transport, for forwarding bytes without parsing them."""
        return self._stream

    @property
    def progress(self) -> tuple[int, int]:
        """Number of exchanges, and of bytes received in the current one."""
        return self.exchanges, self._received_bytes

    @property
    def reusable(self) -> bool:
        """Whether another request may follow: the last exchange is complete."""
        parser = self._parser
        return (
            not self._write_pending
            and not self._reuse_forbidden
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )

    def forbid_reuse(self) -> None:
        """Let no request follow the present one."""
        self._reuse_forbidden = True

    def has_unread_input(self) -> bool:
        """Return whether the server sent data, or closed, while idle."""
        try:
            data = self._stream.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return data is not None

    async def send(
        self, request: OutgoingRequest, background: trio.Nursery | None = None
    ) -> None:
        """Send a request.

        With a `background` nursery, a long body is written while the response is
        read, since a server may respond before it has read the whole body.

        Raises
        ------
        ConnectionBroken
            If the connection fails; the server may have read the request.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self.exchanges += 1
        self._framing = None
        self._received_bytes = self._content_bytes = 0
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        try:
            self._request = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f"the request cannot be sent: {error}") from error
        parts = self._encode_request(request.body)
        if background is None or sum(map(len, parts)) <= MAX_INLINE_REQUEST_BYTES:
            await self._write(parts)
        else:
            self._write_pending = True
            self._write_ended = trio.Event()
            background.start_soon(self._write_in_background, parts)

    async def receive_head(
        self, accepts: Callable[[ResponseHead], bool] = lambda head: True
    ) -> ResponseHead:
        """Return the head of the response; skip responses that `accepts` rejects.

        A call that was cancelled may be made again.

        Raises
        ------
        ConnectionBroken
            If the connection closes first or sends no valid response.
        """
        if self._skipping:
            await self._skip_response()
        for _ in range(MAX_SKIPPED_HEADS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBroken(f"{self.address}: no answer")
            if event.status_code > MAX_STATUS:
                raise ConnectionBroken(f"{self.address}: status {event.status_code}")
            head = _read_head(event)
            self._body_length, self._framing = head.length, head.framing
            if accepts(head):
                self._record_keep_alive(head)
                return head
            await self._skip_response()
        raise ConnectionBroken(f"{self.address}: too many responses before the answer")

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the response body as it arrives; may raise `ConnectionBroken`.

        After a cancelled call another one yields the rest.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self._content_bytes += len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionBroken(f"{self.address}: the answer was cut")

    async def receive_full_body(
        self,
        max_bytes: int,
        reserve: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int
            Maximum size.
        reserve : callable, optional
            Coroutine that waits until there is memory for a body of over
            `UNRESERVED_BYTES`, given its size, or `max_bytes` if that is unknown.

        Raises
        ------
        ConnectionBroken
            If the body is too long, or the connection ends first.
        """
        body = bytearray()
        length = self._body_length
        if length is not None and length > max_bytes:
            raise ConnectionBroken(f"{self.address}: a length of {length} bytes")
        size_bytes = max_bytes if length is None else length
        reserved = reserve is None
        try:
            async for data in self._receive_bounded(max_bytes):
                body += data
                if not reserved and len(body) > UNRESERVED_BYTES:
                    await reserve(size_bytes)
                    reserved = True
            return bytes(body)
        finally:
            # The traceback of an error would keep it in memory.
            body.clear()

    async def _receive_bounded(self, max_bytes: int) -> AsyncIterator[bytes]:
        """Yield a body that is bounded in bytes and in small parts."""
        size_bytes = parts = 0
        async for data in self.receive_body():
            size_bytes += len(data)
            parts += 1
            if size_bytes > max_bytes:
                raise ConnectionBroken(f"{self.address}: over {max_bytes} bytes")
            if parts > MAX_SMALL_PARTS + size_bytes / MIN_PART_BYTES:
                raise ConnectionBroken(f"{self.address}: over {parts - 1} small parts")
            yield data

    def close(self) -> None:
        """Close immediately."""
        self._stream.socket.close()
        self._parser = self._new_parser()

    def _encode_request(self, body: bytes) -> list[bytes]:
        """Return the encoded request; the parser then expects its response.

        A long body is a part of its own, as it would be copied for each worker.
        """
        parts = [self._parser.send(self._request) or b""]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b"")
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        if len(body) <= MAX_INLINE_REQUEST_BYTES:
            return [b"".join(parts)]
        return [part for part in parts if part]

    async def _write(self, parts: list[bytes]) -> None:
        try:
            for part in parts:
                await self._stream.send_all(part)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionBroken(f"{self.address}: {error!r}") from error

    async def _write_in_background(self, parts: list[bytes]) -> None:
        try:
            for part in parts:
                await self._stream.send_all(part)
            self._write_pending = False
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return  # the reading side reports the failure
        finally:
            self._write_ended.set()

    async def _next_event(self):
        self._parsed_parts += 1
        if self._parsed_parts % PARTS_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (OSError, trio.BrokenResourceError) as error:
                raise ConnectionBroken(f"{self.address}: {error!r}") from error
            except trio.ClosedResourceError as error:
                raise ConnectionBroken(f"{self.address}: closed here") from error
            if not data and self._framing is Framing.CONNECTION_END:
                await self._confirm_end()
            self._received_bytes += len(data)
            overhead = self._received_bytes - OVERHEAD_FACTOR * self._content_bytes
            if overhead > MAX_OVERHEAD_BYTES + RECEIVE_BYTES:
                raise ConnectionBroken(f"{self.address}: too many bytes of no content")
            self._parser.receive_data(data)

    async def _confirm_end(self) -> None:
        """Raise `ConnectionBroken` if the end that was read may be that of a reset.

        The kernel reports a reset once: if the writing task gets it, the reading one
        sees the same as after a clean end.
        """
        await self._write_ended.wait()
        if self._write_pending:
            raise ConnectionBroken(f"{self.address}: reset during the request")

    async def _skip_response(self) -> None:
        """Discard the response to an earlier request; the parser expects the next."""
        self._skipping = True
        content_bytes = self._content_bytes
        async for _ in self._receive_bounded(MAX_OVERHEAD_BYTES):
            self._content_bytes = content_bytes
        self.expect_another_response()
        self._skipping = False

    def expect_another_response(self) -> None:
        """Take the response that was read for one to an earlier request.

        Raises
        ------
        ConnectionBroken
            If the server closed the connection after it.
        """
        rest, closed = self._parser.trailing_data
        if closed:
            raise ConnectionBroken(f"{self.address}: closed after a stray answer")
        self._parser = self._new_parser()
        self._parser.send(self._request)
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            self._parser.send(h11.Data(data=bytes(int(length))))
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parser.receive_data(rest)

    def _record_keep_alive(self, head: ResponseHead) -> None:
        """Store how long the server keeps an idle connection open."""
        for part in (head.get(b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and TIMEOUT_PATTERN.fullmatch(value):
                self.keep_alive_ms = int(value) * 1_000.0

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )


def set_keepalive_options(stream: trio.SocketStream) -> None:
    """Let the kernel detect a peer that disappeared without closing."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def _read_head(event: h11.Response) -> ResponseHead:
    raw = list(event.headers.raw_items())
    values = {name.lower(): value for name, value in raw}
    return ResponseHead(event.status_code, raw, values)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return `headers` without those that apply to one connection only."""
    excluded = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            excluded.update(option.strip().lower() for option in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in excluded]
