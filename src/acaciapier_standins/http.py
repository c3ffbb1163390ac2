"""Minimal ASGI application with routing, JSON and server-sent events."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio
from hypercorn.protocol.events import StreamClosed

JSON_TYPE = (b"content-type", b"application/json")
EVENT_STREAM_TYPE = (b"content-type", b"text/event-stream")
WILDCARD = "*"

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass
class Request:
    """An HTTP request whose body has been read completely."""

    method: str
    segments: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    receive: Receive

    def json(self, kind: Any = Any) -> Any:
        """Decode the body as `kind`; raises `msgspec.DecodeError` if it is invalid."""
        return msgspec.json.decode(self.body or b"{}", type=kind)

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    def integer(self, name: str, default: int | None) -> int | None:
        """Return the query parameter `name` as an integer."""
        raw = self.query.get(name, "")
        return int(raw) if raw not in ("", "null") else default


@dataclass
class Response:
    """A response with a JSON body, or with raw bytes if `raw` is set."""

    value: Any
    status: int = 200
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    raw: bytes | None = None

    def body(self) -> bytes:
        """Return the bytes of the body."""
        return self.raw if self.raw is not None else msgspec.json.encode(self.value)


@dataclass
class EventStream:
    """A response of server-sent events; calls `on_close` when it ends or is aborted."""

    chunks: AsyncIterator[bytes]
    on_close: Callable[[], None] = lambda: None


class ConnectionAborted(Exception):
    """Raised by a handler to close the connection without sending further bytes."""


Handler = Callable[[Request], Awaitable[Response | EventStream]]


def error(status: int, name: str, **fields: Any) -> Response:
    """Return a response with the JSON body ``{"error": name, ...}``."""
    return Response({"error": name, **fields}, status)


def retry_after(status: int, name: str, seconds: float) -> Response:
    """Return an error with a `Retry-After` header in whole seconds, at least 1."""
    header = (b"retry-after", str(max(1, round(seconds))).encode())
    return Response({"error": name}, status, [header])


class Application:
    """An ASGI application that routes by method and path pattern.

    Each star in a pattern such as ``/v1/objects/*/*`` matches one path segment.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, int], list[tuple[list[str], Handler]]] = {}

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Route `method` and `pattern` to `handler`."""
        pattern_segments = pattern.strip("/").split("/")
        self._routes.setdefault((method, len(pattern_segments)), []).append(
            (pattern_segments, handler)
        )

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send):
        """Handle an ASGI lifespan or HTTP scope."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle_http(scope, receive, send)

    async def _handle_http(self, scope, receive: Receive, send: Send) -> None:
        request = Request(
            scope["method"],
            tuple(unquote(part) for part in _raw_segments(scope)),
            _query_of(scope),
            await _read_body(receive),
            receive,
        )
        try:
            answer = await self._answer(request)
            if isinstance(answer, Response):
                await _send_response(answer, send)
            else:
                await _send_stream(answer, request, send)
        except ConnectionAborted:
            await _abort(send)

    async def _answer(self, request: Request) -> Response | EventStream:
        key = (request.method, len(request.segments))
        for pattern_segments, handler in self._routes.get(key, ()):
            if _matches(pattern_segments, request.segments):
                try:
                    return await handler(request)
                except (msgspec.DecodeError, ValueError) as problem:
                    return error(400, "bad_request", message=str(problem))
        return error(404, "not_found")


def _matches(pattern_segments: list[str], segments: tuple[str, ...]) -> bool:
    pairs = zip(pattern_segments, segments, strict=True)
    return all(expected in (WILDCARD, segment) for expected, segment in pairs)


def _raw_segments(scope) -> list[str]:
    return scope["raw_path"].decode("ascii").strip("/").split("/")


def _query_of(scope) -> dict[str, str]:
    raw = scope["query_string"]
    if not raw:
        return {}
    parsed = parse_qs(raw.decode("ascii"), keep_blank_values=True)
    return {name: values[-1] for name, values in parsed.items()}


async def _read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return body
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def _send_response(answer: Response, send: Send) -> None:
    body = answer.body()
    length = (b"content-length", str(len(body)).encode())
    headers = [JSON_TYPE, length, *answer.headers]
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


async def _send_stream(answer: EventStream, request: Request, send: Send) -> None:
    headers = [EVENT_STREAM_TYPE, (b"cache-control", b"no-store")]
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, request, nursery.cancel_scope)
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            async for chunk in answer.chunks:
                part = {"type": "http.response.body", "body": chunk, "more_body": True}
                await send(part)
            await send({"type": "http.response.body", "body": b""})
            nursery.cancel_scope.cancel()
    except* ConnectionAborted:
        await _abort(send)
    finally:
        answer.on_close()


async def _cancel_on_disconnect(request: Request, scope: trio.CancelScope) -> None:
    await request.wait_for_disconnect()
    scope.cancel()


async def _abort(send: Send) -> None:
    """Close the connection through hypercorn; ASGI has no message for that."""
    stream = send.__self__
    await stream.send(StreamClosed(stream_id=stream.stream_id))


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
