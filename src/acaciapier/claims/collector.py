"""Deletion of buckets whose claims can no longer matter."""

from collections.abc import Iterator

from ..core.clock import Clock, epoch_ms
from ..exceptions import StoreError, VersionConflict
from ..store import Purpose, StoredObject
from .partition import CLAIM_KIND, bucket_name, bucket_number
from .peers import ClaimStore
from .window import ClaimWindow

SLICE_BUCKETS = 100
"""Buckets whose names share a prefix, and are listed by one call."""
LOOK_BACK_SLICES = 36


class ClaimCollector:
    """Deletes the old buckets of the partitions that this instance owns.

    Only slices that are wholly past the window are listed, so no live bucket is
    transferred.

    Parameters
    ----------
    store : ClaimStore
        The object API.
    window : ClaimWindow
        Rule that tells which buckets are kept.
    clock : Clock
        Source of the wall-clock time.
    """

    def __init__(self, store: ClaimStore, window: ClaimWindow, clock: Clock):
        self._store = store
        self._window = window
        self._clock = clock
        self._next_slices: dict[int, int] = {}

    async def collect(self, partition: int) -> int:
        """Delete old buckets of a partition; return how many were deleted."""
        deleted = 0
        for slice_number in self._due_slices(partition):
            try:
                deleted += await self._collect_slice(partition, slice_number)
            except StoreError:
                break
            self._next_slices[partition] = slice_number + 1
        return deleted

    def look_back(self, partition: int) -> None:
        """Let the next pass list the last hour again, for late writes."""
        self._next_slices.pop(partition, None)

    def _due_slices(self, partition: int) -> Iterator[int]:
        now_ms = epoch_ms(self._clock.now())
        end = self._window.first_kept_bucket(now_ms) // SLICE_BUCKETS
        start = self._next_slices.get(partition, end - LOOK_BACK_SLICES)
        yield from range(max(0, start), end)

    async def _collect_slice(self, partition: int, slice_number: int) -> int:
        first_name = bucket_name(partition, slice_number * SLICE_BUCKETS)
        prefix = first_name[: -len(str(SLICE_BUCKETS - 1))]
        listing = await self._store.list(CLAIM_KIND, prefix, purpose=Purpose.CLAIMS)
        deleted = 0
        for stored in listing.items:
            deleted += await self._delete(stored)
        return deleted

    async def _delete(self, stored: StoredObject) -> int:
        first_kept = self._window.first_kept_bucket(epoch_ms(self._clock.now()))
        if bucket_number(stored.name) >= first_kept:
            return 0
        try:
            await self._store.delete(
                CLAIM_KIND, stored.name, stored.version, purpose=Purpose.CLAIMS
            )
        except VersionConflict:
            return 0
        return 1
