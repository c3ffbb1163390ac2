"""Division of the remaining time among the remaining stages of a pipeline."""

from collections.abc import Callable, Collection, Sequence

from ..core.ids import StageName
from .models import StageEstimate

StageTime = Callable[[StageEstimate], float]
"""Returns the expected time of a stage in milliseconds."""


def critical_path_ms(
    estimates: Sequence[StageEstimate],
    remaining: Collection[StageName],
    time_ms: StageTime,
) -> float:
    """Return the expected time until all stages in `remaining` have ended."""
    ends: dict[StageName, float] = {}
    by_name = {estimate.stage: estimate for estimate in estimates}
    return max(
        (
            _end_of_stage_ms(by_name, name, remaining, time_ms, ends)
            for name in remaining
        ),
        default=0,
    )


def path_after_ms(
    estimates: Sequence[StageEstimate], stage: StageName, time_ms: StageTime
) -> float:
    """Return the expected time of the longest path that starts after `stage`."""
    after: dict[StageName, float] = {}
    return _path_after_ms(estimates, stage, time_ms, after)


def stage_share_ms(
    estimates: Sequence[StageEstimate],
    stage: StageName,
    remaining_ms: float,
    time_ms: StageTime,
    min_share_ms: StageTime,
) -> float:
    """Return the part of `remaining_ms` that `stage` may use.

    The time is divided in proportion to the expected time of the stage and of
    the longest path after it; the last stage may use all of it. A stage gets at
    least `min_share_ms`: otherwise normal variation would time out a short stage
    that precedes a long one.
    """
    own_estimate = next(estimate for estimate in estimates if estimate.stage == stage)
    own_ms = time_ms(own_estimate)
    after_ms = path_after_ms(estimates, stage, time_ms)
    share_ms = remaining_ms * own_ms / (own_ms + after_ms)
    return max(0.0, min(remaining_ms, max(share_ms, min_share_ms(own_estimate))))


def _end_of_stage_ms(by_name, stage, remaining, time_ms: StageTime, ends) -> float:
    if stage in ends:
        return ends[stage]
    predecessors = [
        predecessor for predecessor in by_name[stage].needs if predecessor in remaining
    ]
    start_ms = max(
        (
            _end_of_stage_ms(by_name, predecessor, remaining, time_ms, ends)
            for predecessor in predecessors
        ),
        default=0.0,
    )
    ends[stage] = start_ms + time_ms(by_name[stage])
    return ends[stage]


def _path_after_ms(estimates, stage, time_ms: StageTime, after) -> float:
    if stage not in after:
        after[stage] = max(
            (
                time_ms(estimate)
                + _path_after_ms(estimates, estimate.stage, time_ms, after)
                for estimate in estimates
                if stage in estimate.needs
            ),
            default=0.0,
        )
    return after[stage]
