"""Selection of the groups that can be on time, and filling of a call with pieces."""

from collections.abc import Iterable

from .piece_groups import PieceGroup

PRIORITY_STEP_S = 0.3
"""Offset added to the due time for each step of lower priority when groups are sorted;
the order matters while more work waits than fits in one call."""


def select_on_time(
    groups: Iterable[PieceGroup], rate_per_ms: float, now_s: float
) -> tuple[list[PieceGroup], list[PieceGroup]]:
    """Split groups into those that can all be on time, and the deprioritized rest.

    Groups are added by due time. While the newest one would miss its due time, groups
    of lower priority are removed, the least valuable first. If it would even be done
    after its `latest_s`, groups of its own priority are removed as well, possibly
    itself.
    """
    on_time: list[PieceGroup] = []
    deprioritized: list[PieceGroup] = []
    pieces = 0
    for group in sorted(
        groups, key=lambda group: group.due_s + PRIORITY_STEP_S * group.priority
    ):
        on_time.append(group)
        pieces += len(group.waiting)
        while on_time:
            done_s = now_s + pieces / rate_per_ms / 1_000.0
            if done_s <= group.due_s:
                break
            least_valuable = min(
                on_time, key=lambda other: (-other.priority, other.value_per_piece)
            )
            if least_valuable.priority <= group.priority and done_s <= group.latest_s:
                break
            on_time.remove(least_valuable)
            deprioritized.append(least_valuable)
            pieces -= len(least_valuable.waiting)
            if least_valuable is group:
                break
    return on_time, deprioritized


def fill_call(
    groups: Iterable[PieceGroup], max_pieces: int, free_bytes: float
) -> list[tuple[PieceGroup, list[int]]]:
    """Fill a call with pieces, in order; the last group may be split."""
    parts = []
    for group in groups:
        if max_pieces <= 0:
            break
        fits = (
            int(free_bytes // group.result_bytes) if group.result_bytes else max_pieces
        )
        count = min(len(group.waiting), max_pieces, fits)
        if count <= 0:
            continue
        parts.append((group, group.waiting[:count]))
        max_pieces -= count
        free_bytes -= count * group.result_bytes
    return parts
