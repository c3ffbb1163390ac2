"""Which waiting groups can be in time, and how a call is filled."""

from collections.abc import Iterable

from .piece_groups import PieceGroup

RANK_S = 0.3
"""What a rank of urgency is worth in time when more work waits than one call."""


def keep_valuable(
    groups: Iterable[PieceGroup], rate_per_ms: float, now_s: float
) -> tuple[list[PieceGroup], list[PieceGroup]]:
    """Split groups into those that can all be in time, and the rest.

    A group that would miss the time at which it is wanted puts less urgent ones
    behind; one that would be late in any case, the least valuable of all.
    """
    kept: list[PieceGroup] = []
    behind: list[PieceGroup] = []
    pieces = 0
    for group in sorted(groups, key=lambda one: one.due_s + RANK_S * one.priority):
        kept.append(group)
        pieces += len(group.waiting)
        while kept:
            done_s = now_s + pieces / rate_per_ms / 1_000.0
            if done_s <= group.due_s:
                break
            least = min(kept, key=lambda one: (-one.priority, one.density))
            if least.priority <= group.priority and done_s <= group.latest_s:
                break
            kept.remove(least)
            behind.append(least)
            pieces -= len(least.waiting)
            if least is group:
                break
    return kept, behind


def fill(
    groups: Iterable[PieceGroup], most: int, free_bytes: float
) -> list[tuple[PieceGroup, list[int]]]:
    """Fill a call with pieces, in order; the last group may be split."""
    parts = []
    for group in groups:
        if most <= 0:
            break
        fits = int(free_bytes // group.result_bytes) if group.result_bytes else most
        count = min(len(group.waiting), most, fits)
        if count <= 0:
            continue
        parts.append((group, group.waiting[:count]))
        most -= count
        free_bytes -= count * group.result_bytes
    return parts
