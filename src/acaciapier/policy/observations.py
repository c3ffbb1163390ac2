"""Measured times of a pool's calls, and what they say about its targets."""

from collections.abc import Iterable

from ..core.clock import Clock
from ..core.ids import TargetId
from .health import Measure, PoolHealth
from .models import CallOutcome, CallReport
from .stage_times import SlidingQuantiles
from .target_state import CallInFlight, TargetState

FLAGRANT_FACTOR = 4.5
FLAGRANT_QUANTILE = 0.75
MAX_COMPARABLE_WAIT = 0.5
BAD_OUTCOMES = (CallOutcome.FAILED, CallOutcome.CRASHED)


class Observations:
    """Takes measured times over and judges the targets by them.

    Times of targets that are set aside are left out of the pool's quantiles.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    health : PoolHealth
        Health of the pool's targets.

    Attributes
    ----------
    times, first_part_times, service_times : SlidingQuantiles
        Times of calls to their ends, to the first parts of their answers, and
        without waiting in a queue.
    """

    def __init__(self, clock: Clock, health: PoolHealth):
        self.times = SlidingQuantiles(clock)
        self.first_part_times = SlidingQuantiles(clock)
        self.service_times = SlidingQuantiles(clock)
        self._health = health

    def first_part(
        self, target: TargetId, elapsed_ms: float, call: CallInFlight | None
    ) -> None:
        """Take over when the first part of an answer arrived."""
        if self._health.is_healthy(target):
            self.first_part_times.add(elapsed_ms)
        if not _is_comparable(call):
            return
        if _is_flagrant(elapsed_ms, self.first_part_times):
            self._health.flagrant(target)
        self._health.succeeded(target, elapsed_ms, Measure.FIRST_PART)

    def ended(self, report: CallReport, call: CallInFlight | None) -> None:
        """Take over how a call ended."""
        unreachable = report.outcome is CallOutcome.REFUSED and report.load is None
        if report.outcome is CallOutcome.DONE:
            self._done(report, call)
        elif report.outcome in BAD_OUTCOMES or unreachable:
            crashed = unreachable or report.outcome is CallOutcome.CRASHED
            self._health.failed(report.target, crashed=crashed)
        elif _is_comparable(call):
            self._health.overdue(report.target, report.elapsed_ms)

    def note_overdue(self, states: Iterable[TargetState]) -> None:
        """Set targets aside whose calls should have been answered long ago."""
        by_parts = self.first_part_times.quantile_ms(FLAGRANT_QUANTILE) is not None
        times = self.first_part_times if by_parts else self.times
        for one in states:
            if one.outstanding and one.may_note_overdue():
                age_ms = one.oldest_age_ms(unanswered=by_parts)
                if _is_flagrant(age_ms, times):
                    self._health.flagrant(one.view.target)

    def _done(self, report: CallReport, call: CallInFlight | None) -> None:
        service_ms = _service_ms(report, call)
        if self._health.is_healthy(report.target):
            self.times.add(report.elapsed_ms)
            self.service_times.add(service_ms)
            if report.service_ms and _is_flagrant(service_ms, self.service_times):
                self._health.flagrant(report.target)
        self._health.succeeded(report.target, service_ms)


def _is_comparable(call: CallInFlight | None) -> bool:
    """Return whether a call's time can be held against its target."""
    return call is not None and call.waiting_share <= MAX_COMPARABLE_WAIT


def _is_flagrant(elapsed_ms: float, times: SlidingQuantiles) -> bool:
    usual_ms = times.quantile_ms(FLAGRANT_QUANTILE)
    return usual_ms is not None and elapsed_ms > FLAGRANT_FACTOR * usual_ms


def _service_ms(report: CallReport, call: CallInFlight | None) -> float:
    """Return the time of a call without its wait in the target's queue."""
    if report.service_ms:
        return report.service_ms
    waiting = call.waiting_share if call else 0.0
    return report.elapsed_ms / (1.0 + waiting)
