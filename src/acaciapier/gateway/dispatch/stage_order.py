"""Selection of the groups that can be on time, and filling of a call with pieces."""

from collections.abc import Iterable

from ..models import BatchSpec
from .piece_groups import PieceGroup

PRIORITY_STEP_S = 0.3
"""Offset added to the due time for each step of lower priority when groups are sorted;
the order matters while more work waits than fits in one call."""

MAX_CALL_INPUTS = 50_000
"""Largest number of handles in one call, where each piece names all its inputs. It is
above `MAX_REQUEST_PIECES`, so that each piece fits into a call."""

EXPIRES_SOON_CALLS = 4.0
"""A deprioritized group is added to a call when it expires within the time of this many
calls: its remaining stages need about three."""


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
    inputs_left = MAX_CALL_INPUTS
    for group in groups:
        if max_pieces <= 0:
            break
        fits = (
            int(free_bytes // group.result_bytes) if group.result_bytes else max_pieces
        )
        inputs = max(1, len(group.pieces[0].inputs))
        count = min(len(group.waiting), max_pieces, fits, inputs_left // inputs)
        if count <= 0:
            continue
        parts.append((group, group.waiting[:count]))
        max_pieces -= count
        inputs_left -= count * inputs
        free_bytes -= count * group.result_bytes
    return parts


def deprioritized_pieces(
    spec: BatchSpec,
    parts: list[tuple[PieceGroup, list[int]]],
    on_time: list[PieceGroup],
    deprioritized: list[PieceGroup],
    max_pieces: int,
    free_bytes: float,
    now_s: float,
) -> list[tuple[PieceGroup, list[int]]]:
    """Return pieces of deprioritized groups to add to a call.

    They make the call longer, so they are added only if the other groups stay on
    time, or if they expire soon.
    """
    size = sum(len(numbers) for _, numbers in parts)
    free_bytes -= sum(len(numbers) * group.result_bytes for group, numbers in parts)
    max_pieces -= size
    if max_pieces <= 0 or not deprioritized:
        return []
    if parts:
        in_call = {group for group, _ in parts}
        due_s = min(group.due_s for group, _ in parts)
        slack_ms = (due_s - now_s) * 1_000.0 - spec.duration_ms(size)
        acceptable = int(max(0.0, slack_ms) / spec.piece_ms)
        if any(group not in in_call for group in on_time):
            acceptable = 0
        soon_s = now_s + EXPIRES_SOON_CALLS * spec.duration_ms(max_pieces) / 1_000.0
        expiring = [group for group in deprioritized if group.expires_s <= soon_s]
        if acceptable < max_pieces and expiring:
            deprioritized = expiring[:1]
        else:
            max_pieces = min(max_pieces, acceptable)
    return fill_call(deprioritized, max_pieces, free_bytes)
