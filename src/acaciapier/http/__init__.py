"""Helpers shared by the HTTP listeners."""

from .asgi import (
    BodyError,
    HttpRequest,
    read_body,
    send_bytes,
    send_json,
    wait_for_disconnect,
)
from .server import HttpListener

__all__ = [
    "BodyError",
    "HttpListener",
    "HttpRequest",
    "read_body",
    "send_bytes",
    "send_json",
    "wait_for_disconnect",
]
