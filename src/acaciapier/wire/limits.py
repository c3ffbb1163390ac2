"""Bounds on the connections of one instance."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.clock import to_s
from .connection import Connection


@dataclass(frozen=True)
class NetworkLimits:
    """Bounds on the connections of one instance."""

    idle_close_ms: float = 60_000.0
    max_connections: int = 256


def choose_closable(
    connections: Iterable[Connection], limits: NetworkLimits, now_s: float
) -> list[Connection]:
    """Return connections that are idle, or over the cap and least used."""
    every = list(connections)
    free = [connection for connection in every if not connection.busy]
    free.sort(key=lambda connection: connection.last_used_s)
    excess = max(0, len(every) - limits.max_connections)
    idle_since_s = now_s - to_s(limits.idle_close_ms)
    idle = [c for c in free[excess:] if c.last_used_s < idle_since_s]
    return free[:excess] + idle
