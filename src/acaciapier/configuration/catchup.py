"""Reading the changes that a log view or a replica has not applied yet."""

from typing import Protocol

from ..objects import Change
from .archive import Archive
from .records import Head, SnapshotPart


class ChangeConsumer(Protocol):
    """Applies changes in the order of their numbers."""

    @property
    def number(self) -> int:
        """Number of the last applied change."""

    def apply(self, change: Change) -> None:
        """Apply the next change; ignore one that was applied before."""

    def load(self, parts: list[SnapshotPart]) -> None:
        """Replace the state by a snapshot, if the snapshot is newer."""


async def catch_up(consumer: ChangeConsumer, head: Head, archive: Archive) -> None:
    """Bring `consumer` up to the number of `head`; never lower its number.

    Raises
    ------
    ArchiveObjectMissing
        If `head` is so old that objects it refers to were deleted.
    StoreUnavailable
        If the store did not answer; changes applied so far stay applied.
    """
    if not head.reaches(consumer.number):
        await _read_archive(consumer, head, archive)
    for change in head.recent:
        consumer.apply(change)


async def _read_archive(consumer: ChangeConsumer, head: Head, archive: Archive) -> None:
    if consumer.number < head.snapshot.number:
        consumer.load(await archive.read_snapshot(head.snapshot))
    for ref in head.blocks:
        if ref.last > consumer.number:
            block = await archive.read_block(ref.first)
            for change in block.changes:
                consumer.apply(change)
