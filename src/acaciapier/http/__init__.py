"""Small pieces shared by the HTTP listeners."""

from .asgi import (
    BodyError,
    HttpRequest,
    read_body,
    send_bytes,
    send_json,
    watch_disconnect,
)
from .server import serve_app

__all__ = [
    "BodyError",
    "HttpRequest",
    "read_body",
    "send_bytes",
    "send_json",
    "serve_app",
    "watch_disconnect",
]
