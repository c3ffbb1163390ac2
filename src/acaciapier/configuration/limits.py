"""Limits on the size of changes, on the head, and on retention."""

from dataclasses import dataclass
from typing import Any

import msgspec

MAX_OBJECT_BYTES = 64 * 1024
MAX_CHANGE_BYTES = 128 * 1024
MAX_EDITS = 256
MAX_PATCH_OPERATIONS = 100
MAX_NESTING = 32
MAX_PATCH_ID_CHARACTERS = 128


@dataclass(frozen=True)
class LogLimits:
    """When the head is trimmed, and how much history is retained.

    Parameters
    ----------
    block_changes : int
        Number of changes that are only in the head at which a trim moves them to a
        history block.
    block_bytes : int
        Total size of these changes above which a trim moves them earlier.
    snapshot_changes : int
        Number of changes since the last snapshot at which a trim also writes a
        new one.
    part_bytes : int
        Maximum size of one part of a snapshot.
    kept_changes : int
        Number of changes up to which archived changes stay in the head after a
        trim, so that instances that lag slightly can catch up from the head alone.
    kept_bytes : int
        Maximum total size of the archived changes that stay.
    kept_patches : int
        Number of accepted patches whose resends are recognised.
    kept_blocks : int
        Maximum number of history blocks that a new snapshot lists; older blocks
        are deleted.
    """

    block_changes: int = 16
    block_bytes: int = 64 * 1024
    snapshot_changes: int = 128
    part_bytes: int = 384 * 1024
    kept_changes: int = 4
    kept_bytes: int = 32 * 1024
    kept_patches: int = 1024
    kept_blocks: int = 6_000


def nesting_depth(value: Any) -> int:
    """Return the nesting depth of lists and objects in a JSON value."""
    depth = 0
    level = [value]
    while level:
        depth += 1
        children: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list | tuple):
                children.extend(item)
        level = children
    return depth


def encoded_size_bytes(value: Any) -> int:
    """Return the encoded size of a JSON value in bytes."""
    return len(msgspec.json.encode(value))
