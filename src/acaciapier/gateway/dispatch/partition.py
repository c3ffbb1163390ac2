"""Refusals of requests whose instance reaches none of the workers it may use."""

from collections.abc import Sequence

from ..models import Worker
from .slot_requests import SlotRequest
from .slots import SlotAllocator


def partition_wait_ms(
    allocator: SlotAllocator,
    request: SlotRequest,
    workers: Sequence[Worker],
    now_s: float,
) -> float | None:
    """Return when to retry a request whose instance reaches none of its workers.

    None if it may get a slot: a worker is open to it, or will be before it expires and
    no other instance is known to reach any.
    """
    reachability = allocator.reachability
    if not reachability.may_be_partitioned(request.owner):
        return None
    wait_ms = min(
        (
            allocator.blocked_ms(request.owner, worker, now_s)
            for worker in request.usable(workers)
        ),
        default=0.0,
    )
    if not wait_ms:
        return None
    in_time = now_s + wait_ms / 1_000.0 < request.expires_s
    if in_time and not reachability.is_partitioned(request.owner):
        return None
    return wait_ms


def pop_partitioned(
    allocator: SlotAllocator, workers: Sequence[Worker], now_s: float
) -> list[SlotRequest]:
    """Remove and return the waiting requests whose instance reaches no worker."""
    return allocator.pop(
        lambda request: (
            partition_wait_ms(allocator, request, workers, now_s) is not None
        )
    )
