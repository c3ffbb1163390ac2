"""Reading the changes that a holder of an older number lacks."""

from typing import Protocol

from ..objects import Change
from .archive import Archive
from .records import Head, SnapshotPart


class ChangeHolder(Protocol):
    """Something that takes in changes in their order."""

    @property
    def number(self) -> int:
        """Number of the last change that is held."""

    def apply(self, change: Change) -> None:
        """Take in the next change; skip one that is held already."""

    def load(self, parts: list[SnapshotPart]) -> None:
        """Start again from a snapshot, if it is newer than what is held."""


async def catch_up(holder: ChangeHolder, head: Head, archive: Archive) -> None:
    """Bring `holder` to the number of `head`; never lower it.

    Raises
    ------
    ArchiveGap
        If `head` is so old that what it names was deleted.
    StoreUnavailable
        If the store did not answer; what was taken in so far is kept.
    """
    if not head.reaches(holder.number):
        await _read_archive(holder, head, archive)
    for change in head.recent:
        holder.apply(change)


async def _read_archive(holder: ChangeHolder, head: Head, archive: Archive) -> None:
    if holder.number < head.snapshot.number:
        holder.load(await archive.read_snapshot(head.snapshot))
    for ref in head.blocks:
        if ref.last > holder.number:
            block = await archive.read_block(ref.first)
            for change in block.changes:
                holder.apply(change)
