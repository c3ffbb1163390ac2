"""Admission estimates: expected queueing and service times from the load of pools."""

from collections import defaultdict

from ..core.clock import Clock
from ..core.ids import PoolName
from .levels import SmoothedLevel
from .models import StageEstimate
from .routing import PoolRouter

PENDING_AVERAGE_WINDOW_S = 0.25
INITIAL_MARGIN = 0.85
MIN_MARGIN = 0.4
MAX_MARGIN = 0.88
MARGIN_INCREASE = 0.001
MARGIN_DECREASE_FACTOR = 0.97
OVERLOAD_CALLS_PER_SLOT = 1.5


class Admission:
    """Estimates queueing times and keeps a safety margin before deadlines.

    The estimate assumes that each peer admits as many requests as this instance.
    The margin is the share of its remaining time that an admitted request may
    need. It shrinks when an admitted request cannot finish on time, and grows
    slowly while requests finish on time.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self._pending = defaultdict(
            lambda: SmoothedLevel(clock, PENDING_AVERAGE_WINDOW_S)
        )
        self._margin = INITIAL_MARGIN

    @property
    def margin(self) -> float:
        """Share of the remaining time that an admitted request may need."""
        return self._margin

    def add_pending(self, pool: PoolName, calls: int) -> None:
        """Add `calls` to the unsent calls for a pool; negative when they are sent."""
        self._pending[pool].change(calls)

    def record_late(self) -> None:
        """Shrink the margin after an admitted request could not finish on time."""
        self._margin = max(MIN_MARGIN, self._margin * MARGIN_DECREASE_FACTOR)

    def record_on_time(self) -> None:
        """Grow the margin slightly after a request that finished on time."""
        self._margin = min(MAX_MARGIN, self._margin + MARGIN_INCREASE)

    def wait_ms(self, estimate: StageEstimate, router: PoolRouter | None) -> float:
        """Return the expected queueing time for a slot in the stage's pool."""
        if router is None:
            return 0.0
        calls, slots = router.calls_and_slots()
        if not slots:
            return 0.0
        pending = self._pending[estimate.pool].average() * router.sharing_instances
        waiting = max(0.0, calls + pending - slots)
        return waiting / slots * service_mean_ms(estimate, router)


def service_mean_ms(estimate: StageEstimate, router: PoolRouter | None) -> float:
    """Return the mean time of a stage, without queueing."""
    if router is None:
        return estimate.typical_ms
    return router.observations.service_times.mean_ms(estimate.typical_ms)


def service_quantile_ms(
    estimate: StageEstimate, router: PoolRouter | None, quantile: float
) -> float:
    """Return a quantile of the time of a stage, without queueing."""
    measured = (
        router.observations.service_times.quantile_ms(quantile) if router else None
    )
    return estimate.typical_ms if measured is None else measured


def is_overloaded(router: PoolRouter | None) -> bool:
    """Return whether calls to a pool queue for more than half a call's duration."""
    return router is not None and router.calls_per_slot() > OVERLOAD_CALLS_PER_SLOT
