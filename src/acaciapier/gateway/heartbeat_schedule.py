"""When heartbeats to peers are due."""

from collections.abc import Iterable, Mapping, Sized
from typing import Protocol

from ..core.clock import to_s
from ..core.ids import InstanceId

HEARTBEAT_PERIOD_MS = 200.0
"""Period of heartbeats to a peer that is up. Two missed heartbeats are detected within
half of the shortest latency objective."""

SLOW_HEARTBEAT_PERIOD_MS = 1_000.0
"""Period of heartbeats to a peer that is down, and in a large fleet to peers that are
not needed at present."""

FULL_RATE_FLEET = 96
"""Instances up to which dispatchers get heartbeats at the full rate. In a larger fleet
the period grows in proportion, so that a dispatcher receives no more than about 480 a
second, until the period reaches that of slow heartbeats."""

PACING_HEARTBEAT_PERIOD_MS = 500.0
"""Period of heartbeats of a large fleet's dispatcher to all peers while it paces the
requests to limited workers; it grows as that to dispatchers does."""


class ScheduledPeer(Protocol):
    """State of a peer on which its heartbeats depend."""

    up: bool
    next_heartbeat_s: float


class PacingPeers(Protocol):
    """Peers to which a dispatcher reports its sends to limited workers."""

    large_fleet: bool
    records: Sized


def pacing_period_ms(peers: PacingPeers) -> float:
    """Return the period at which dispatchers report their sends; 0 without peers."""
    count = len(peers.records)
    if not peers.large_fleet:
        return HEARTBEAT_PERIOD_MS if count else 0.0
    growth = max(1.0, count / FULL_RATE_FLEET)
    return min(PACING_HEARTBEAT_PERIOD_MS * growth, SLOW_HEARTBEAT_PERIOD_MS)


def take_due(
    peers: Mapping[InstanceId, ScheduledPeer],
    groups: Iterable[tuple[Iterable[InstanceId], float]],
    now_s: float,
) -> list[InstanceId]:
    """Return the peers that get a heartbeat now, and schedule their next ones.

    Parameters
    ----------
    peers : mapping of InstanceId to ScheduledPeer
        The known peers.
    groups : iterable of tuple
        Names of peers and their usual period in ms, the shortest period first.
    now_s : float
        Current time.
    """
    growth = max(1.0, len(peers) / FULL_RATE_FLEET)
    due = []
    for names, usual_ms in groups:
        usual_ms = min(usual_ms * growth, SLOW_HEARTBEAT_PERIOD_MS)
        for name in names:
            peer = peers.get(name)
            if peer is None or peer.next_heartbeat_s > now_s:
                continue
            period_ms = usual_ms if peer.up else SLOW_HEARTBEAT_PERIOD_MS
            peer.next_heartbeat_s = now_s + to_s(period_ms)
            due.append(name)
    return due
