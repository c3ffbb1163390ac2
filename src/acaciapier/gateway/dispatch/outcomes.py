"""How the calls to granted workers ended, and what this tells of the workers."""

from collections.abc import Callable

from ...core.clock import to_s
from ...wire.messages.gateway import PermitEnded
from .reachability import ALL_INSTANCES
from .slot_requests import SlotReservation
from .slots import SlotAllocator

OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_UNREACHABLE = "unreachable"
OUTCOME_FULL = "full"
OUTCOME_CANCELLED = "cancelled"


def record_outcome(
    allocator: SlotAllocator,
    reservation: SlotReservation,
    message: PermitEnded,
    now_s: float,
    log: Callable[..., None],
) -> None:
    """Record how the call for a released slot ended."""
    key, owner, granted_s = (
        reservation.worker,
        reservation.owner,
        reservation.granted_s,
    )
    reachability = allocator.reachability
    if message.retry_after_ms > 0:
        allocator.turn_away(owner, key, now_s + to_s(message.retry_after_ms))
    if message.outcome == OUTCOME_DONE:
        if reachability.record_reached(owner, key, granted_s, now_s):
            allocator.record_duration(key, message.elapsed_ms, now_s, reservation)
        else:
            allocator.health.record_success(key)
    elif message.outcome == OUTCOME_FAILED:
        if reservation.started or not reachability.may_be_partitioned(owner):
            allocator.health.record_failure(key)
    elif message.outcome == OUTCOME_UNREACHABLE:
        reachability.record_unreachable(owner, key, granted_s, now_s)
    elif message.outcome == OUTCOME_FULL:
        reachability.record_reached(owner, key, granted_s, now_s)
        excluded_ms = allocator.health.exclude(key, now_s)
        log(
            "worker_excluded",
            service=message.service,
            worker=key,
            instance=ALL_INSTANCES,
            reason=message.outcome,
            excluded_ms=excluded_ms,
        )
