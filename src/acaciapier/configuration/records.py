"""What the object API holds: the head, history blocks and snapshot parts."""

from typing import Any

import msgspec

from ..objects import Change, DeletedRecord, ObjectRecord
from .decisions import PatchRecord

HEAD_KIND = "configuration"
HEAD_NAME = "head"
ARCHIVE_KIND = "configuration-archive"
"""A kind of its own, so that watchers of the head do not receive snapshots."""


class SnapshotRef(msgspec.Struct, frozen=True):
    """Where a snapshot is.

    Parameters
    ----------
    number : int
        Number of the last change in it; 0 for the empty state.
    names : tuple of str
        Names of its parts.
    """

    number: int = 0
    names: tuple[str, ...] = ()


class BlockRef(msgspec.Struct, frozen=True):
    """The numbers of the first and last change of a history block."""

    first: int
    last: int

    @property
    def name(self) -> str:
        """Name of the block's object."""
        return block_name(self.first)


class Head(msgspec.Struct, frozen=True):
    """The one object that orders all changes; only updated conditionally.

    Parameters
    ----------
    number : int
        Number of the last accepted change.
    snapshot : SnapshotRef
        Where to start reading.
    blocks : tuple of BlockRef
        History blocks after the snapshot, without gaps.
    recent : tuple of Change
        The last changes, at least all that are in no block.
    """

    number: int = 0
    snapshot: SnapshotRef = SnapshotRef()
    blocks: tuple[BlockRef, ...] = ()
    recent: tuple[Change, ...] = ()

    @property
    def archived_number(self) -> int:
        """Number up to which changes are in blocks or the snapshot."""
        return self.blocks[-1].last if self.blocks else self.snapshot.number

    @property
    def unarchived(self) -> tuple[Change, ...]:
        """The changes that only the head holds."""
        return self.after(self.archived_number)

    def after(self, number: int) -> tuple[Change, ...]:
        """Return the recent changes after `number`."""
        return tuple(one for one in self.recent if one.number > number)

    def reaches(self, number: int) -> bool:
        """Return whether the recent changes follow `number` without a gap."""
        return number >= self.number or (
            bool(self.recent) and self.recent[0].number <= number + 1
        )


class Block(msgspec.Struct, frozen=True):
    """Consecutive changes, moved out of the head; never changed."""

    changes: tuple[Change, ...]


class SnapshotPart(msgspec.Struct, frozen=True):
    """One part of the state at a number; the parts' lists are joined.

    Parameters
    ----------
    number : int
        Number of the last change in the snapshot.
    version_floor : int
        Versions of names without any record start above it.
    objects, deleted, patches : tuple
        Records of objects, deletions and accepted patches.
    block_starts : tuple of int
        First numbers of the history blocks up to the snapshot.
    """

    number: int
    version_floor: int = 0
    objects: tuple[ObjectRecord, ...] = ()
    deleted: tuple[DeletedRecord, ...] = ()
    patches: tuple[PatchRecord, ...] = ()
    block_starts: tuple[int, ...] = ()


def block_name(first: int) -> str:
    """Return the name of the history block that starts at change `first`."""
    return f"block.{first:012d}"


def to_value(record: msgspec.Struct) -> Any:
    """Return the JSON value of a record."""
    return msgspec.to_builtins(record)


def from_value(value: Any, type_: type) -> Any:
    """Read a record from its JSON value.

    Raises
    ------
    msgspec.ValidationError
        If the value has another shape.
    """
    return msgspec.convert(value, type_)
