"""Records stored in the object API: the head, history blocks and snapshot parts."""

from typing import Any

import msgspec

from ..objects import Change, DeletedRecord, ObjectRecord
from .decisions import PatchRecord

HEAD_KIND = "configuration"
HEAD_NAME = "head"
ARCHIVE_KIND = "configuration-archive"
"""Separate kind, so that watches of the head do not receive archive objects."""


class SnapshotRef(msgspec.Struct, frozen=True):
    """Reference to a snapshot.

    Parameters
    ----------
    number : int
        Number of the last change that it includes; 0 for the empty state.
    names : tuple of str
        Object names of its parts.
    """

    number: int = 0
    names: tuple[str, ...] = ()


class BlockRef(msgspec.Struct, frozen=True):
    """Reference to a history block by the numbers of its first and last change."""

    first: int
    last: int

    @property
    def name(self) -> str:
        """Object name of the block."""
        return block_name(self.first)


class Head(msgspec.Struct, frozen=True):
    """The object whose conditional updates put all changes into one order.

    Parameters
    ----------
    number : int
        Number of the last accepted change.
    snapshot : SnapshotRef
        Snapshot from which a new reader starts.
    blocks : tuple of BlockRef
        History blocks that follow the snapshot, without gaps.
    recent : tuple of Change
        The last changes; includes every change that is in no block yet.
    """

    number: int = 0
    snapshot: SnapshotRef = SnapshotRef()
    blocks: tuple[BlockRef, ...] = ()
    recent: tuple[Change, ...] = ()

    @property
    def archived_number(self) -> int:
        """Number of the last change that is in a block or the snapshot."""
        return self.blocks[-1].last if self.blocks else self.snapshot.number

    @property
    def unarchived(self) -> tuple[Change, ...]:
        """The changes that are in the head only."""
        return self.after(self.archived_number)

    def after(self, number: int) -> tuple[Change, ...]:
        """Return the recent changes after `number`."""
        return tuple(change for change in self.recent if change.number > number)

    def reaches(self, number: int) -> bool:
        """Return whether a reader at `number` can catch up from the head alone."""
        return number >= self.number or (
            bool(self.recent) and self.recent[0].number <= number + 1
        )


class Block(msgspec.Struct, frozen=True):
    """Consecutive changes that were moved out of the head; immutable."""

    changes: tuple[Change, ...]


class SnapshotPart(msgspec.Struct, frozen=True):
    """One part of a snapshot; concatenating the parts' lists gives the state.

    Parameters
    ----------
    number : int
        Number of the last change in the snapshot.
    version_floor : int
        The first version of a name without any record is above this.
    objects, deleted, patches : tuple
        Records of objects, deletions and accepted patches.
    block_starts : tuple of int
        Number of the first change of each history block up to the snapshot.
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
        If the value does not match the type.
    """
    return msgspec.convert(value, type_)
