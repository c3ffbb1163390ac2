"""Memory for results at stage workers, and the measured throughput of a service."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..models import Worker

MAX_MEMORY_SHARE = 1.0
"""Initial and highest usable share of a worker's result memory; the share is lowered
when results need more memory than declared, as their sizes are approximate."""

MIN_MEMORY_SHARE = 0.85
"""Lowest usable share after out-of-memory refusals."""

MEMORY_SHARE_DECREASE, MEMORY_SHARE_INCREASE = 0.02, 0.004
"""Decrease of the usable share after an out-of-memory refusal, and increase after each
completed call."""

OUT_OF_MEMORY_PAUSE_MS = 150.0
"""Pause of a worker that ran out of memory: about the time of one call."""

MEASURE_PERIOD_S = 1.0
"""Minimum time over which the throughput of a saturated service is measured."""


@dataclass(frozen=True, slots=True)
class StoredResult:
    """One result in a worker's memory; the worker deletes it at `until_s`."""

    size_bytes: float
    until_s: float
    owner: str


@dataclass
class ResultMemory:
    """Results stored at one worker."""

    reserved_bytes: float = 0.0
    results: dict[str, StoredResult] = field(default_factory=dict)
    blocked_until_s: float = 0.0
    usable_share: float = MAX_MEMORY_SHARE

    def used_bytes(self, now_s: float) -> float:
        """Return the memory in use; removes results whose time to live has ended."""
        expired = [
            handle for handle, result in self.results.items() if result.until_s <= now_s
        ]
        for handle in expired:
            del self.results[handle]
        return self.reserved_bytes + sum(
            result.size_bytes for result in self.results.values()
        )

    def remove_owner(self, owner: str) -> None:
        """Remove the results of an instance."""
        self.results = {
            handle: result
            for handle, result in self.results.items()
            if result.owner != owner
        }

    def record_out_of_memory(self, now_s: float) -> None:
        """Lower the usable share and pause calls after an out-of-memory refusal."""
        self.blocked_until_s = now_s + OUT_OF_MEMORY_PAUSE_MS / 1_000.0
        self.usable_share = max(
            MIN_MEMORY_SHARE, self.usable_share - MEMORY_SHARE_DECREASE
        )

    def record_completed_call(self) -> None:
        """Raise the usable share after a call that the worker answered."""
        self.usable_share = min(
            MAX_MEMORY_SHARE, self.usable_share + MEMORY_SHARE_INCREASE
        )


class Throughput:
    """Rate of completed pieces, measured while a service is saturated; else None."""

    def __init__(self):
        self.rate_per_ms: float | None = None
        self._since_s: float | None = None
        self._pieces = 0

    def record(
        self, pieces: int, waiting: int, saturation_pieces: int, now_s: float
    ) -> None:
        """Record completed pieces; measure the rate while the service is saturated.

        It is saturated if at least `saturation_pieces` wait, enough to keep all workers
        busy.
        """
        if waiting < saturation_pieces:
            self._since_s = None
            self.rate_per_ms = None
            return
        if self._since_s is None:
            self._since_s, self._pieces = now_s, 0
            return
        self._pieces += pieces
        elapsed_s = now_s - self._since_s
        if elapsed_s >= MEASURE_PERIOD_S:
            self.rate_per_ms = self._pieces / elapsed_s / 1_000.0
            self._since_s, self._pieces = now_s, 0


def address_of(handle: str) -> str:
    """Return the address of the worker that stores a result."""
    return handle.partition("/")[0]


def keys_by_address(workers: Sequence[Worker]) -> dict[str, str]:
    """Return the keys of workers by their addresses."""
    return {worker.address: worker.key for worker in workers}
