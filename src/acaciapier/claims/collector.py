"""Garbage collection of expired claim buckets."""

from collections.abc import Iterator

from ..core.clock import Clock, epoch_ms
from ..exceptions import StoreError, VersionConflict
from ..store import Purpose, StoredObject
from .interfaces import ClaimStore
from .partition import CLAIM_KIND, bucket_name, bucket_number
from .window import ClaimWindow

BUCKETS_PER_SLICE = 100
"""Buckets that share a name prefix and are listed with one call."""
RESCAN_SLICES = 36


class ClaimCollector:
    """Deletes the expired buckets of the partitions that this instance owns.

    Only slices that lie entirely before the window are listed, so buckets that
    are still in use are never transferred.

    Parameters
    ----------
    store : ClaimStore
        The object API.
    window : ClaimWindow
        Determines which buckets must be kept.
    clock : Clock
        Source of the wall-clock time.
    """

    def __init__(self, store: ClaimStore, window: ClaimWindow, clock: Clock):
        self._store = store
        self._window = window
        self._clock = clock
        self._next_slices: dict[int, int] = {}

    async def collect(self, partition: int) -> int:
        """Delete the expired buckets of a partition and return their number."""
        deleted = 0
        for slice_number in self._due_slices(partition):
            try:
                deleted += await self._collect_slice(partition, slice_number)
            except StoreError:
                break
            self._next_slices[partition] = slice_number + 1
        return deleted

    def rescan(self, partition: int) -> None:
        """Make the next pass list the last hour again, to find buckets written late."""
        self._next_slices.pop(partition, None)

    def _due_slices(self, partition: int) -> Iterator[int]:
        now_ms = epoch_ms(self._clock.now())
        end = self._window.first_kept_bucket(now_ms) // BUCKETS_PER_SLICE
        start = self._next_slices.get(partition, end - RESCAN_SLICES)
        yield from range(max(0, start), end)

    async def _collect_slice(self, partition: int, slice_number: int) -> int:
        first_name = bucket_name(partition, slice_number * BUCKETS_PER_SLICE)
        prefix = first_name[: -len(str(BUCKETS_PER_SLICE - 1))]
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
