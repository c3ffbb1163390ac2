"""Splitting a deadline over the stages that are still to come."""

from collections.abc import Callable, Collection, Sequence

from ..core.ids import StageName
from .models import StageEstimate

StageTime = Callable[[StageEstimate], float]
"""Returns the expected time of a stage in milliseconds."""


def critical_path_ms(
    estimates: Sequence[StageEstimate],
    left: Collection[StageName],
    time_ms: StageTime,
) -> float:
    """Return the expected time until the stages in `left` have all ended."""
    ends: dict[StageName, float] = {}
    by_name = {estimate.stage: estimate for estimate in estimates}
    return max(
        (_end_ms(by_name, name, left, time_ms, ends) for name in left), default=0
    )


def path_after_ms(
    estimates: Sequence[StageEstimate], stage: StageName, time_ms: StageTime
) -> float:
    """Return the expected time of the longest path that starts after `stage`."""
    after: dict[StageName, float] = {}
    return _after_ms(estimates, stage, time_ms, after)


def stage_share_ms(
    estimates: Sequence[StageEstimate],
    stage: StageName,
    remaining_ms: float,
    time_ms: StageTime,
    ample_ms: StageTime,
) -> float:
    """Return the part of `remaining_ms` that `stage` may use.

    The time is divided in proportion to the expected times of the stage and
    of what has to follow it; the last stage may use all that remains. A stage
    gets no less than its `ample_ms`, though: a short one beside a long one
    would else be cut off for its usual variation.
    """
    own = next(one for one in estimates if one.stage == stage)
    own_ms = time_ms(own)
    after_ms = path_after_ms(estimates, stage, time_ms)
    share_ms = remaining_ms * own_ms / (own_ms + after_ms)
    return max(0.0, min(remaining_ms, max(share_ms, ample_ms(own))))


def _end_ms(by_name, name, left, time_ms: StageTime, ends) -> float:
    if name in ends:
        return ends[name]
    needed = [one for one in by_name[name].needs if one in left]
    start = max(
        (_end_ms(by_name, one, left, time_ms, ends) for one in needed), default=0.0
    )
    ends[name] = start + time_ms(by_name[name])
    return ends[name]


def _after_ms(estimates, stage, time_ms: StageTime, after) -> float:
    if stage not in after:
        after[stage] = max(
            (
                time_ms(one) + _after_ms(estimates, one.stage, time_ms, after)
                for one in estimates
                if stage in one.needs
            ),
            default=0.0,
        )
    return after[stage]
