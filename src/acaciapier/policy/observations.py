"""Recording of call times of a pool, and health checks derived from them."""

from collections.abc import Iterable

from ..core.clock import Clock
from ..core.ids import TargetId
from .health import Measure, PoolHealth
from .models import CallOutcome, CallReport
from .stage_times import SlidingQuantiles
from .target_state import CallInFlight, TargetState

OUTLIER_FACTOR = 4.5
OUTLIER_QUANTILE = 0.75
MAX_COMPARABLE_QUEUE_PER_SLOT = 0.5
FAILURE_OUTCOMES = (CallOutcome.FAILED, CallOutcome.CRASHED)


class Observations:
    """Records call times and updates the health of targets accordingly.

    Times of ejected targets are excluded from the pool's quantiles.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    health : PoolHealth
        Health of the pool's targets.

    Attributes
    ----------
    times, first_part_times, service_times : SlidingQuantiles
        Times of calls until their end, until the first part of the answer, and
        without queueing.
    """

    def __init__(self, clock: Clock, health: PoolHealth):
        self.times = SlidingQuantiles(clock)
        self.first_part_times = SlidingQuantiles(clock)
        self.service_times = SlidingQuantiles(clock)
        self._health = health

    def first_part_received(
        self, target: TargetId, elapsed_ms: float, call: CallInFlight | None
    ) -> None:
        """Record the time until the first part of an answer."""
        if self._health.is_healthy(target):
            self.first_part_times.add(elapsed_ms)
        if not _is_comparable(call):
            return
        if _is_outlier(elapsed_ms, self.first_part_times):
            self._health.eject_outlier(target)
        self._health.record_success(target, elapsed_ms, Measure.FIRST_PART)

    def ended(self, report: CallReport, call: CallInFlight | None) -> None:
        """Record the end of a call."""
        unreachable = report.outcome is CallOutcome.REFUSED and report.load is None
        if report.outcome is CallOutcome.DONE:
            self._record_done(report, call)
        elif report.outcome in FAILURE_OUTCOMES or unreachable:
            crashed = unreachable or report.outcome is CallOutcome.CRASHED
            self._health.record_failure(report.target, crashed=crashed)
        elif _is_comparable(call):
            self._health.record_overdue(report.target, report.elapsed_ms)

    def eject_overdue(self, states: Iterable[TargetState]) -> None:
        """Eject targets whose oldest call in flight is already an outlier."""
        by_first_part = self.first_part_times.quantile_ms(OUTLIER_QUANTILE) is not None
        times = self.first_part_times if by_first_part else self.times
        for state in states:
            if state.outstanding and state.claim_overdue_check():
                age_ms = state.oldest_age_ms(unanswered=by_first_part)
                if _is_outlier(age_ms, times):
                    self._health.eject_outlier(state.view.target)

    def _record_done(self, report: CallReport, call: CallInFlight | None) -> None:
        service_ms = _service_ms(report, call)
        if self._health.is_healthy(report.target):
            self.times.add(report.elapsed_ms)
            self.service_times.add(service_ms)
            if report.service_ms and _is_outlier(service_ms, self.service_times):
                self._health.eject_outlier(report.target)
        self._health.record_success(report.target, service_ms)


def _is_comparable(call: CallInFlight | None) -> bool:
    """Return whether a call's queue was short enough to judge its target by it."""
    return call is not None and call.queued_per_slot <= MAX_COMPARABLE_QUEUE_PER_SLOT


def _is_outlier(elapsed_ms: float, times: SlidingQuantiles) -> bool:
    reference_ms = times.quantile_ms(OUTLIER_QUANTILE)
    return reference_ms is not None and elapsed_ms > OUTLIER_FACTOR * reference_ms


def _service_ms(report: CallReport, call: CallInFlight | None) -> float:
    """Return the time of a call without queueing at the target.

    If the target did not report it, it is estimated from the expected queue.
    """
    if report.service_ms:
        return report.service_ms
    queued_per_slot = call.queued_per_slot if call else 0.0
    return report.elapsed_ms / (1.0 + queued_per_slot)
