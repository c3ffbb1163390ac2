"""Keeps the head small by moving changes to history blocks and snapshots.

Blocks and snapshots are written before a head refers to them.
"""

import msgspec

from ..objects import Change
from .archive import Archive
from .limits import LogLimits
from .log_state import LogState
from .records import Block, Head


class HeadTrimmer:
    """Builds the next head, and trims it when it has grown too large.

    Parameters
    ----------
    archive : Archive
        Storage of blocks and snapshots.
    log_state : LogState
        State at the last change of the head.
    limits : LogLimits
        When to trim, and how much history is retained.

    Attributes
    ----------
    expired_block_starts : tuple of int
        First numbers of the blocks that the last written snapshot no longer lists.
        They may be deleted once a head refers to that snapshot.
    """

    def __init__(self, archive: Archive, log_state: LogState, limits: LogLimits):
        self._archive = archive
        self._log_state = log_state
        self._limits = limits
        self.expired_block_starts: tuple[int, ...] = ()
        self._cached_snapshot_starts: tuple[str, tuple[int, ...]] | None = None

    async def next_head(self, head: Head, change: Change) -> Head:
        """Return the head with `change` added.

        Changes that are trimmed from the head were written to a block before.
        """
        if self._is_full(head):
            head = await self._trim(head)
        return msgspec.structs.replace(
            head, number=change.number, recent=(*head.recent, change)
        )

    async def block_starts(self, head: Head) -> tuple[int, ...]:
        """Return the first change number of each retained history block, in order."""
        starts = await self._snapshot_block_starts(head)
        return starts + tuple(ref.first for ref in head.blocks)

    def _is_full(self, head: Head) -> bool:
        unarchived = head.unarchived
        size_bytes = sum(change.encoded_bytes for change in unarchived)
        return (
            len(unarchived) >= self._limits.block_changes
            or size_bytes > self._limits.block_bytes
        )

    async def _trim(self, head: Head) -> Head:
        """Write unarchived changes to a block; return the head trimmed accordingly."""
        ref = await self._archive.write_block(Block(head.unarchived))
        is_due = ref.last - head.snapshot.number >= self._limits.snapshot_changes
        covers_head = ref.last == head.number
        head = msgspec.structs.replace(head, blocks=(*head.blocks, ref))
        if is_due and covers_head:
            head = await self._add_snapshot(head)
        kept = self._select_recent(head)
        return msgspec.structs.replace(head, recent=kept)

    async def _add_snapshot(self, head: Head) -> Head:
        starts = await self._snapshot_block_starts(head)
        starts += tuple(ref.first for ref in head.blocks)
        self.expired_block_starts = starts[: -self._limits.kept_blocks]
        starts = starts[-self._limits.kept_blocks :]
        ref = await self._archive.write_snapshot(self._log_state.to_parts(starts))
        self._cached_snapshot_starts = (ref.names[0], starts)
        return msgspec.structs.replace(head, snapshot=ref, blocks=())

    def _select_recent(self, head: Head) -> tuple[Change, ...]:
        """Return the unarchived changes and a bounded number of archived ones."""
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

    async def _snapshot_block_starts(self, head: Head) -> tuple[int, ...]:
        names = head.snapshot.names
        if not names:
            return ()
        cached = self._cached_snapshot_starts
        if cached is None or cached[0] != names[0]:
            parts = await self._archive.read_snapshot(head.snapshot)
            cached = self._cached_snapshot_starts = (names[0], parts[0].block_starts)
        return cached[1]
