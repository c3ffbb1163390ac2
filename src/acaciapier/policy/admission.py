"""Admission of requests that can finish, from the load of each pool."""

from collections import defaultdict

from ..core.clock import Clock
from ..core.ids import PoolName
from .levels import SmoothedLevel
from .models import StageEstimate
from .routing import PoolRouter

PENDING_WINDOW_S = 0.25
FIRST_MARGIN = 0.85
MIN_MARGIN = 0.4
MAX_MARGIN = 0.88
MARGIN_STEP_UP = 0.001
MARGIN_STEP_DOWN = 0.97
OVERLOADED_CALLS_PER_SLOT = 1.5


class Admission:
    """Expected times of stages from queues, and the margin kept to deadlines.

    The other instances are taken to admit as much as this one. The margin
    shrinks when admitted work turns out to be too late, and grows slowly while
    all is in time.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self._pending = defaultdict(lambda: SmoothedLevel(clock, PENDING_WINDOW_S))
        self._margin = FIRST_MARGIN

    @property
    def margin(self) -> float:
        """Share of the remaining time that an admitted request may need."""
        return self._margin

    def add_pending(self, pool: PoolName, calls: int) -> None:
        """Count calls that are still to be sent, or with a minus were sent."""
        self._pending[pool].change(calls)

    def was_late(self) -> None:
        """Shrink the margin: admitted work could not finish in time."""
        self._margin = max(MIN_MARGIN, self._margin * MARGIN_STEP_DOWN)

    def was_in_time(self) -> None:
        """Grow the margin by a little."""
        self._margin = min(MAX_MARGIN, self._margin + MARGIN_STEP_UP)

    def wait_ms(self, estimate: StageEstimate, router: PoolRouter | None) -> float:
        """Return the expected wait for a slot of the stage's pool."""
        if router is None:
            return 0.0
        calls, slots = router.calls_and_slots()
        if not slots:
            return 0.0
        pending = self._pending[estimate.pool].average() * router.sharers
        waiting = max(0.0, calls + pending - slots)
        return waiting / slots * service_mean_ms(estimate, router)


def service_mean_ms(estimate: StageEstimate, router: PoolRouter | None) -> float:
    """Return the mean time of a stage without waiting."""
    if router is None:
        return estimate.typical_ms
    return router.observed.service_times.mean_ms(estimate.typical_ms)


def service_quantile_ms(
    estimate: StageEstimate, router: PoolRouter | None, share: float
) -> float:
    """Return a quantile of the time of a stage without waiting."""
    measured = router.observed.service_times.quantile_ms(share) if router else None
    return estimate.typical_ms if measured is None else measured


def is_overloaded(router: PoolRouter | None) -> bool:
    """Return whether calls of a pool wait for longer than half a call."""
    return router is not None and router.calls_per_slot() > OVERLOADED_CALLS_PER_SLOT
