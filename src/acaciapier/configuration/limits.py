"""Bounds on changes, on the head and on what is kept."""

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
    """When the head is trimmed, and how much is kept.

    Parameters
    ----------
    block_changes : int
        Changes after which a history block is written and the head trimmed.
    block_bytes : int
        Size of the changes in the head after which this happens earlier.
    snapshot_changes : int
        Changes after which a snapshot is written too.
    part_bytes : int
        Largest size of one part of a snapshot.
    kept_changes : int
        Most changes that stay in the head after a trim, for daemons that lag.
    kept_bytes : int
        Most bytes of those changes.
    kept_patches : int
        Accepted patches that are recognised when they are sent again.
    kept_blocks : int
        History blocks that are kept.
    """

    block_changes: int = 16
    block_bytes: int = 64 * 1024
    snapshot_changes: int = 128
    part_bytes: int = 384 * 1024
    kept_changes: int = 4
    kept_bytes: int = 32 * 1024
    kept_patches: int = 1024
    kept_blocks: int = 6_000


def nesting_of(value: Any) -> int:
    """Return how deeply lists and objects are nested in a JSON value."""
    depth = 0
    level = [value]
    while level:
        depth += 1
        children: list[Any] = []
        for one in level:
            if isinstance(one, dict):
                children.extend(one.values())
            elif isinstance(one, list | tuple):
                children.extend(one)
        level = children
    return depth


def encoded_bytes(value: Any) -> int:
    """Return the size of a JSON value."""
    return len(msgspec.json.encode(value))
