"""Limits on the connections of one instance."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..core.clock import to_s
from .connection import Connection


@dataclass(frozen=True)
class NetworkLimits:
    """Limits on the connections of one instance."""

    idle_close_ms: float = 60_000.0
    max_connections: int = 256


def choose_closable(
    connections: Iterable[Connection], limits: NetworkLimits, now_s: float
) -> list[Connection]:
    """Return the connections to close; those with calls in progress stay open.

    These are the idle ones, and the least recently used above the limit.
    """
    all_connections = list(connections)
    unused = [connection for connection in all_connections if not connection.busy]
    unused.sort(key=lambda connection: connection.last_used_s)
    excess = max(0, len(all_connections) - limits.max_connections)
    idle_before_s = now_s - to_s(limits.idle_close_ms)
    idle = [c for c in unused[excess:] if c.last_used_s < idle_before_s]
    return unused[:excess] + idle
