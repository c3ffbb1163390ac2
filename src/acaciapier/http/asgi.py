"""Requests and responses of ASGI applications."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import msgspec

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

JSON_TYPE = (b"content-type", b"application/json")
BEARER_PREFIX = "Bearer "


class BodyError(Exception):
    """The body of a request cannot be read.

    Parameters
    ----------
    message : str
        Reason.
    too_large : bool
        Whether the body exceeds the size limit.
    """

    def __init__(self, message: str, too_large: bool = False):
        self.too_large = too_large
        super().__init__(message)


@dataclass(frozen=True)
class HttpRequest:
    """The head of an HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[bytes, bytes]

    @classmethod
    def from_scope(cls, scope: Mapping[str, Any]) -> "HttpRequest":
        """Read the head from an ASGI scope."""
        return cls(
            scope["method"],
            scope["path"],
            dict(parse_qsl(scope["query_string"].decode("latin-1"))),
            dict(scope["headers"]),
        )

    def header(self, name: bytes) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")

    @property
    def bearer_token(self) -> str:
        """The bearer token of the request, or an empty string."""
        value = self.header(b"authorization")
        if not value.startswith(BEARER_PREFIX):
            return ""
        return value.removeprefix(BEARER_PREFIX).strip()


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Read a complete body of at most `max_bytes`.

    Raises
    ------
    BodyError
        If it is larger, or the caller disconnected before its end.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BodyError("the caller left before the end of the body")
        body += message.get("body", b"")
        if len(body) > max_bytes:
            raise BodyError(f"the body has more than {max_bytes} bytes", True)
        if not message.get("more_body", False):
            return bytes(body)


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the caller has disconnected."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def send_json(
    send: Send,
    status: int,
    body: Any,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a complete JSON response."""
    extra = [(k.encode(), v.encode()) for k, v in (headers or {}).items()]
    await send_bytes(send, status, msgspec.json.encode(body), [JSON_TYPE, *extra])


async def send_bytes(
    send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Send a complete response."""
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
