"""What dispatchers and instances tell one another about the limits of workers."""

from collections.abc import Sequence

from ...wire.messages.gateway import (
    PermitEnded,
    PermitStarted,
    WorkerGranted,
    WorkRefused,
)
from ..models import Worker, WorkerKey
from ..worker_limits import WorkerLimits
from .outcomes import OUTCOME_CANCELLED, OUTCOME_DONE, OUTCOME_FULL
from .reachability import Reachability
from .slot_requests import SlotReservation
from .slots import SlotAllocator

MAX_NAMED_WORKERS = 8
"""Limited workers that a refusal names, for the log."""


def make_grant(
    limits: WorkerLimits, worker: Worker, asked_s: float, granted_s: float
) -> WorkerGranted:
    """Return the grant of a slot at a worker, with its limit."""
    limited = limits.describe([worker], granted_s)
    brittle_rejections = limits.brittle.rejections(worker)
    waited_ms = (granted_s - asked_s) * 1_000.0
    return WorkerGranted(
        worker.id,
        worker.started_ms,
        True,
        limited[0] if limited else None,
        waited_ms,
        True,
        brittle_rejections,
    )


def make_refusal(
    cause: str,
    retry_ms: float,
    allocator: SlotAllocator,
    limits: WorkerLimits,
    workers: Sequence[Worker],
    now_s: float,
) -> WorkRefused:
    """Return a refusal, which names the limits if all workers have one.

    Its cause tells whether cold workers are among them.
    """
    if not allocator.all_limited(workers):
        return WorkRefused(cause, retry_ms)
    limited = limits.describe(workers, now_s)[:MAX_NAMED_WORKERS]
    cold = any(limits.is_cold(worker.key) for worker in workers)
    return WorkRefused("cold_workers" if cold else "worker_limits", retry_ms, limited)


def record_report(
    limits: WorkerLimits,
    allocator: SlotAllocator,
    peer: str,
    reservation: SlotReservation | None,
    message: PermitStarted | PermitEnded,
    now_s: float,
) -> None:
    """Record what the answer to a granted request said of its worker."""
    if reservation is None:
        return
    origin = f"peer {peer}"
    key, granted_s = WorkerKey(reservation.worker), reservation.granted_s
    if message.brittle_rejections is not None:
        limits.brittle.record(
            message.service, key, message.brittle_rejections, now_s, granted_s, origin
        )
    elif isinstance(message, PermitStarted) and message.not_brittle:
        limits.brittle.record_none(message.service, key, granted_s, origin)
    _record_room(limits, allocator.reachability, reservation, message, now_s)
    if message.limit_per_s is not None:
        limits.record(key, message.limit_per_s, now_s, granted_s, origin)
    elif isinstance(message, PermitStarted) and message.without_limit:
        limits.record_none(key, granted_s, origin)


def _record_room(
    limits: WorkerLimits,
    reachability: Reachability,
    reservation: SlotReservation,
    message: PermitStarted | PermitEnded,
    now_s: float,
) -> None:
    """Record whether a worker took a granted request."""
    service, key, sent = message.service, reservation.worker, reservation.sent
    if isinstance(message, PermitStarted) or message.outcome == OUTCOME_DONE:
        if sent is not None and not reservation.started:
            granted_s = reservation.granted_s
            limits.brittle.record_taken(
                service, key, reservation.slots, sent, granted_s
            )
    elif message.outcome == OUTCOME_FULL:
        limits.brittle.record_rejected(
            service, key, reservation.slots, sent, reservation.granted_s, now_s
        )
    elif message.outcome != OUTCOME_CANCELLED and not reservation.started:
        if not reachability.may_be_partitioned(reservation.owner):
            limits.brittle.record_broken(
                service, key, reservation.slots, sent, reservation.granted_s, now_s
            )
    elif message.elapsed_ms > 0:
        limits.brittle.record_abandoned(key, now_s)
