"""Expected times of stages, and by how much a request would miss its deadline."""

from collections.abc import Mapping, Sequence

from ..core.ids import PoolName
from .admission import Admission, service_mean_ms, service_quantile_ms
from .deadlines import critical_path_ms
from .models import StageEstimate
from .routing import PoolRouter

OPTIMISTIC_QUANTILE = 0.25
PESSIMISTIC_QUANTILE = 0.9
UPPER_BOUND_QUANTILE = 0.95
UPPER_BOUND_FACTOR = 3.0


class Forecast:
    """Estimates times of stages, in milliseconds, from measurements and queues.

    Parameters
    ----------
    routers : mapping of PoolName to PoolRouter
        Measured times and loads by pool; other pools use the declared times.
    admission : Admission
        Expected queueing times, and the safety margin before deadlines.
    """

    def __init__(self, routers: Mapping[PoolName, PoolRouter], admission: Admission):
        self._routers = routers
        self._admission = admission

    def wait_ms(self, estimate: StageEstimate) -> float:
        """Return the expected queueing time for a slot."""
        return self._admission.wait_ms(estimate, self._routers.get(estimate.pool))

    def service_ms(self, estimate: StageEstimate) -> float:
        """Return the mean time without queueing."""
        return service_mean_ms(estimate, self._routers.get(estimate.pool))

    def expected_ms(self, estimate: StageEstimate) -> float:
        """Return the mean time including the expected queueing time."""
        return self.wait_ms(estimate) + self.service_ms(estimate)

    def variation_ms(self, estimate: StageEstimate) -> float:
        """Return by how much the `PESSIMISTIC_QUANTILE` exceeds the mean time."""
        high_ms = self._quantile_ms(estimate, PESSIMISTIC_QUANTILE)
        return max(0.0, high_ms - self.service_ms(estimate))

    def upper_bound_ms(self, estimate: StageEstimate) -> float:
        """Return a time, including queueing, that only a faulty target exceeds."""
        high_ms = self._quantile_ms(estimate, UPPER_BOUND_QUANTILE)
        return self.wait_ms(estimate) + UPPER_BOUND_FACTOR * high_ms

    def optimistic_ms(self, estimate: StageEstimate) -> float:
        """Return the time of a stage that runs quickly and does not queue."""
        return self._quantile_ms(estimate, OPTIMISTIC_QUANTILE)

    def excess_ms(
        self,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
        queue_share: float,
    ) -> float:
        """Return by how much a request would be late; 0 or less if on time.

        Without a queue, a request is late only if even its optimistic time exceeds
        the remaining time. With a queue, the time left after the expected service
        times may be spent on queueing, but only the part `queue_share` of it.
        """
        stages = [estimate.stage for estimate in estimates]
        waiting_ms = critical_path_ms(estimates, stages, self.wait_ms)
        if not waiting_ms:
            return (
                critical_path_ms(estimates, stages, self.optimistic_ms) - remaining_ms
            )
        service_ms = critical_path_ms(estimates, stages, self.service_ms)
        service_ms += max(self.variation_ms(estimate) for estimate in estimates)
        allowed_ms = remaining_ms * self._admission.margin - service_ms
        return waiting_ms - max(allowed_ms, 0.0) * queue_share

    def _quantile_ms(self, estimate: StageEstimate, quantile: float) -> float:
        router = self._routers.get(estimate.pool)
        return service_quantile_ms(estimate, router, quantile)
