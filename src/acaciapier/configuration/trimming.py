"""Keeping the head small: blocks and snapshots are written before it names them."""

import msgspec

from ..objects import Change
from .archive import Archive
from .ledger import Ledger
from .limits import LogLimits
from .records import Block, Head


class HeadTrimmer:
    """Makes the head that follows another, trimmed if it has grown.

    Parameters
    ----------
    archive : Archive
        Where blocks and snapshots are written.
    ledger : Ledger
        What follows from the changes up to the head.
    limits : LogLimits
        When to trim, and how much is kept.

    Attributes
    ----------
    dropped_starts : tuple of int
        First numbers of the blocks that the last snapshot no longer lists; they
        may be deleted once a head names that snapshot.
    """

    def __init__(self, archive: Archive, ledger: Ledger, limits: LogLimits):
        self._archive = archive
        self._ledger = ledger
        self._limits = limits
        self.dropped_starts: tuple[int, ...] = ()
        self._starts_of_snapshot: tuple[str, tuple[int, ...]] | None = None

    async def next_head(self, head: Head, change: Change) -> Head:
        """Return the head with `change`; what leaves it has been written."""
        if self._is_full(head):
            head = await self._trimmed(head)
        return msgspec.structs.replace(
            head, number=change.number, recent=(*head.recent, change)
        )

    async def block_starts(self, head: Head) -> tuple[int, ...]:
        """Return the first numbers of all kept history blocks, oldest first."""
        starts = await self._snapshot_starts(head)
        return starts + tuple(ref.first for ref in head.blocks)

    def _is_full(self, head: Head) -> bool:
        waiting = head.unarchived
        size_bytes = sum(one.encoded_bytes for one in waiting)
        return (
            len(waiting) >= self._limits.block_changes
            or size_bytes > self._limits.block_bytes
        )

    async def _trimmed(self, head: Head) -> Head:
        """Write what leaves the head, then return the head without it."""
        ref = await self._archive.write_block(Block(head.unarchived))
        is_due = ref.last - head.snapshot.number >= self._limits.snapshot_changes
        is_whole = ref.last == head.number
        head = msgspec.structs.replace(head, blocks=(*head.blocks, ref))
        if is_due and is_whole:
            head = await self._with_snapshot(head)
        kept = self._kept_changes(head)
        return msgspec.structs.replace(head, recent=kept)

    async def _with_snapshot(self, head: Head) -> Head:
        starts = await self._snapshot_starts(head)
        starts += tuple(ref.first for ref in head.blocks)
        self.dropped_starts = starts[: -self._limits.kept_blocks]
        starts = starts[-self._limits.kept_blocks :]
        ref = await self._archive.write_snapshot(self._ledger.to_parts(starts))
        self._starts_of_snapshot = (ref.names[0], starts)
        return msgspec.structs.replace(head, snapshot=ref, blocks=())

    def _kept_changes(self, head: Head) -> tuple[Change, ...]:
        """Return the unarchived changes and a bounded number before them."""
        kept = list(head.unarchived)
        size_bytes = 0
        for change in reversed(head.recent):
            if change.number > head.archived_number:
                continue
            size_bytes += change.encoded_bytes
            enough = len(kept) >= self._limits.kept_changes
            if enough or size_bytes > self._limits.kept_bytes:
                break
            kept.insert(0, change)
        return tuple(kept)

    async def _snapshot_starts(self, head: Head) -> tuple[int, ...]:
        names = head.snapshot.names
        if not names:
            return ()
        known = self._starts_of_snapshot
        if known is None or known[0] != names[0]:
            parts = await self._archive.read_snapshot(head.snapshot)
            known = self._starts_of_snapshot = (names[0], parts[0].block_starts)
        return known[1]
