"""Rate at which the workers of a stage service complete pieces."""

import math
from collections.abc import Mapping, Sequence

from ...core.clock import to_s
from ...wire.frames import MAX_FRAME_BYTES
from ..models import MAX_HANDLE_BYTES, BatchSpec, Worker
from ..worker_eligibility import Unavailability
from ..worker_limits import WorkerLimits
from .health import WorkerHealth
from .result_memory import ResultMemory

SLOW_WORKER_SLOWDOWN = 2.0
"""Slowdown from which a worker counts as slow (twice the expected time): it is used
last, and only for groups that it can still complete in time."""

SOUND_SILENCE_MS = 2_000.0
"""For how long a silent worker may be sound: a sound one goes on after a second or
so."""

FASTEST_CALL_SHARE = 0.5
"""Least time of a call, as a share of its declared time: pieces vary by half of it."""

MAX_REQUEST_PIECES = MAX_FRAME_BYTES // (2 * MAX_HANDLE_BYTES)
"""Pieces of a request whose handles fit into one message between instances, with room
for its other fields."""


def most_pieces(spec: BatchSpec, workers: int, within_ms: float) -> int:
    """Return the most pieces that idle workers could complete within a time.

    No more are ever planned: a caller may name any number, and what is planned takes
    memory for each piece.
    """
    fastest_call_ms = max(1.0, FASTEST_CALL_SHARE * spec.duration_ms(spec.max_pieces))
    calls = max(1, math.ceil(within_ms / fastest_call_ms))
    return min(MAX_REQUEST_PIECES, max(1, workers) * spec.max_pieces * calls)


def capacity_per_ms(
    spec: BatchSpec,
    health: WorkerHealth,
    limits: WorkerLimits,
    workers: Sequence[Worker],
    silent_since_s: Mapping[str, float],
    now_s: float,
) -> float:
    """Return the pieces a millisecond by declared call times, slowdowns and limits.

    Workers that are silent, since the given times, count if there are no others.
    """
    fast = slow = silent = 0.0
    for worker in workers:
        slowdown = max(1.0, health.slowdown(worker.key))
        call_ms = slowdown * spec.duration_ms(spec.max_pieces)
        calls_per_ms = min(1.0 / call_ms, limits.rate_per_ms(worker.key))
        if not health.usable(worker.key, now_s):
            since_s = silent_since_s.get(worker.key)
            if since_s is not None and now_s < since_s + to_s(SOUND_SILENCE_MS):
                silent += spec.max_pieces * calls_per_ms
        elif slowdown < SLOW_WORKER_SLOWDOWN:
            fast += spec.max_pieces * calls_per_ms
        else:
            slow += spec.max_pieces * calls_per_ms
    return fast or slow or silent


def unavailability(
    worker: Worker,
    is_busy: bool,
    health: WorkerHealth,
    limits: WorkerLimits,
    memory: ResultMemory | None,
    now_s: float,
) -> Unavailability | None:
    """Return why a worker may not get a call now."""
    key = worker.key
    if is_busy:
        return Unavailability.NO_FREE_SLOT
    if not health.usable(key, now_s):
        return Unavailability.UNHEALTHY
    if limits.wait_ms(key, now_s):
        return Unavailability.COLD if limits.is_cold(key) else Unavailability.LIMITED
    if memory is not None and memory.blocked_until_s > now_s:
        return Unavailability.NO_MEMORY
    if not limits.brittle.allows_call(worker, now_s):
        return Unavailability.BRITTLE
    return None


def next_call_ms(
    limits: WorkerLimits, workers: Sequence[Worker], now_s: float
) -> float:
    """Return after what time the limits of the workers allow a call."""
    return min((limits.wait_ms(worker.key, now_s) for worker in workers), default=0.0)
