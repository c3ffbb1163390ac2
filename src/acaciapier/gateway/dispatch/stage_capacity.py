"""Rate at which the workers of a stage service complete pieces."""

from collections.abc import Sequence

from ..models import BatchSpec, Worker
from ..worker_limits import WorkerLimits
from .health import WorkerHealth

SLOW_WORKER_SLOWDOWN = 2.0
"""Slowdown from which a worker counts as slow (twice the expected time): it is used
last, and only for groups that it can still complete in time."""


def capacity_per_ms(
    spec: BatchSpec,
    health: WorkerHealth,
    limits: WorkerLimits,
    workers: Sequence[Worker],
    now_s: float,
) -> float:
    """Return the pieces a millisecond by declared call times, slowdowns and limits."""
    fast = slow = 0.0
    for worker in workers:
        if not health.usable(worker.key, now_s):
            continue
        slowdown = max(1.0, health.slowdown(worker.key))
        call_ms = slowdown * spec.duration_ms(spec.max_pieces)
        calls_per_ms = min(1.0 / call_ms, limits.rate_per_ms(worker.key))
        if slowdown < SLOW_WORKER_SLOWDOWN:
            fast += spec.max_pieces * calls_per_ms
        else:
            slow += spec.max_pieces * calls_per_ms
    return fast or slow


def next_call_ms(
    limits: WorkerLimits, workers: Sequence[Worker], now_s: float
) -> float:
    """Return after what time the limits of the workers allow a call."""
    return min((limits.wait_ms(worker.key, now_s) for worker in workers), default=0.0)
