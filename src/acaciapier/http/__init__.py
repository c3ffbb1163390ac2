"""HTTP/1.1 connections, as server and as client."""

from ..core.lazy_imports import lazy_names

_MODULES = {
    "BodyError": ".asgi",
    "HttpListener": ".server",
    "HttpRequest": ".asgi",
    "read_body": ".asgi",
    "send_bytes": ".asgi",
    "send_json": ".asgi",
    "wait_for_disconnect": ".asgi",
}

__all__ = [*_MODULES]

__getattr__ = lazy_names(__name__, _MODULES)
