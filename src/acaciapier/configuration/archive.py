"""Snapshots and history blocks in the object API."""

from collections import OrderedDict
from random import Random

from ..exceptions import AcaciapierError, VersionConflict
from .interfaces import PURPOSE, Store
from .records import (
    ARCHIVE_KIND,
    Block,
    BlockRef,
    Head,
    SnapshotPart,
    SnapshotRef,
    block_name,
    from_value,
    to_value,
)

CACHED_BLOCKS = 64
SNAPSHOT_PREFIX = "snapshot."


class ArchiveObjectMissing(AcaciapierError):
    """A block or snapshot that a head refers to was deleted.

    The deletion follows an update of the head, so reading the head again gives
    references that exist.
    """


class Archive:
    """Reads and writes the immutable objects that a head refers to.

    Parameters
    ----------
    store : Store
        Client of the object API.
    random : Random
        Makes the names of snapshots unique.
    """

    def __init__(self, store: Store, random: Random):
        self._store = store
        self._random = random
        self._blocks: OrderedDict[int, Block] = OrderedDict()

    async def read_block(self, first: int) -> Block:
        """Return the history block that starts at change `first`."""
        if first in self._blocks:
            self._blocks.move_to_end(first)
            return self._blocks[first]
        block = await self._read(block_name(first), Block)
        self._blocks[first] = block
        while len(self._blocks) > CACHED_BLOCKS:
            self._blocks.popitem(last=False)
        return block

    async def read_snapshot(self, ref: SnapshotRef) -> list[SnapshotPart]:
        """Return all parts of a snapshot."""
        parts = [await self._read(name, SnapshotPart) for name in ref.names]
        if not parts:
            return [SnapshotPart(0)]
        return parts

    async def write_block(self, block: Block) -> BlockRef:
        """Write a history block, or read the one that another instance wrote.

        A block holds only accepted changes, which never change. A block that
        already exists under this name therefore holds the same changes, though
        possibly fewer of them.
        """
        first = block.changes[0].number
        try:
            await self._store.put(
                ARCHIVE_KIND,
                block_name(first),
                to_value(block),
                0,
                purpose=PURPOSE,
            )
        except VersionConflict:
            block = await self._read(block_name(first), Block)
        self._blocks[first] = block
        return BlockRef(first, block.changes[-1].number)

    async def write_snapshot(self, parts: list[SnapshotPart]) -> SnapshotRef:
        """Write a snapshot under unique names."""
        number = parts[0].number
        nonce = f"{self._random.getrandbits(64):016x}"
        names = tuple(
            f"{SNAPSHOT_PREFIX}{number:012d}.{nonce}.{index}"
            for index in range(len(parts))
        )
        for name, part in zip(names, parts, strict=True):
            await self._store.put(
                ARCHIVE_KIND, name, to_value(part), 0, purpose=PURPOSE
            )
        return SnapshotRef(number, names)

    async def delete_old_snapshots(self, head: Head) -> int:
        """Delete the snapshots that the head has superseded; return how many parts.

        No later head refers to another snapshot with the same or a lower number,
        so the deletion is safe at any time.
        """
        listing = await self._store.list(ARCHIVE_KIND, SNAPSHOT_PREFIX, purpose=PURPOSE)
        deleted = 0
        for item in listing.items:
            number = int(item.name.split(".")[1])
            if item.name in head.snapshot.names or number > head.snapshot.number:
                continue
            deleted += await self._delete(item.name, item.version)
        return deleted

    async def delete_block(self, first: int) -> None:
        """Delete a history block that is past its retention."""
        self._blocks.pop(first, None)
        found = await self._store.get(ARCHIVE_KIND, block_name(first), purpose=PURPOSE)
        if found is not None:
            await self._delete(found.name, found.version)

    async def _delete(self, name: str, version: int) -> int:
        try:
            await self._store.delete(ARCHIVE_KIND, name, version, purpose=PURPOSE)
        except VersionConflict:
            return 0
        return 1

    async def _read(self, name: str, type_: type):
        found = await self._store.get(ARCHIVE_KIND, name, purpose=PURPOSE)
        if found is None:
            raise ArchiveObjectMissing(f"{ARCHIVE_KIND}/{name} does not exist")
        return from_value(found.value, type_)
