"""Example configuration with each kind of route, for tests and soak runs."""

from typing import Any

from .platform import route

STAGES = [
    {"service": "encode", "after": [], "bytes": 1_000},
    {"service": "search", "after": [0], "bytes": 1_000},
]
ROUTES = [
    route("lookup", "idempotent", "book"),
    route("confirm", "non_idempotent", "book", max_attempts=1),
    route("chat", "streaming", "model", max_attempts=1),
    route("mail", "streaming", "model", resumable=True),
    route("staged", "streaming", "model", stages=STAGES),
]
KINDS = {"book": "plain", "model": "stream", "encode": "stage", "search": "stage"}
"""Kind of the workers of each service."""


def services(call_ms: float, item_ms: float) -> list[dict[str, Any]]:
    """Return the services; stage workers declare the given times per call and item."""
    segments = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_ms": call_ms,
        "item_ms": item_ms,
        "headroom_mb": 10.0,
        "handle_s": 4.0,
        "link_mbps": 10_000,
    }
    engine = {"slots": 16, "kv_capacity": 100_000}
    return [
        {"name": "book", "max_conns": 100},
        {"name": "model", "max_conns": 100, "engine": engine},
        {"name": "encode", "max_conns": 100, "segments": segments},
        {"name": "search", "max_conns": 100, "segments": segments},
    ]
