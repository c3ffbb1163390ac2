"""Expected times of stages, and whether a request would come too late."""

from collections.abc import Mapping, Sequence

from ..core.ids import PoolName
from .admission import Admission, service_mean_ms, service_quantile_ms
from .deadlines import critical_path_ms
from .models import StageEstimate
from .routing import PoolRouter

QUICK_QUANTILE = 0.25
CAREFUL_QUANTILE = 0.9
AMPLE_QUANTILE = 0.95
AMPLE_FACTOR = 3.0


class Forecast:
    """Times of stages in milliseconds, from measurements and queues.

    Parameters
    ----------
    routers : mapping of PoolName to PoolRouter
        Measured times and loads; declared times stand for pools not in it.
    admission : Admission
        Expected waits, and the margin kept to deadlines.
    """

    def __init__(self, routers: Mapping[PoolName, PoolRouter], admission: Admission):
        self._routers = routers
        self._admission = admission

    def wait_ms(self, estimate: StageEstimate) -> float:
        """Return the expected wait for a slot."""
        return self._admission.wait_ms(estimate, self._routers.get(estimate.pool))

    def service_ms(self, estimate: StageEstimate) -> float:
        """Return the mean time without waiting."""
        return service_mean_ms(estimate, self._routers.get(estimate.pool))

    def expected_ms(self, estimate: StageEstimate) -> float:
        """Return the mean time with the expected wait."""
        return self.wait_ms(estimate) + self.service_ms(estimate)

    def spread_ms(self, estimate: StageEstimate) -> float:
        """Return by how much a stage often takes longer than on the average."""
        long_ms = self._quantile_ms(estimate, CAREFUL_QUANTILE)
        return max(0.0, long_ms - self.service_ms(estimate))

    def ample_ms(self, estimate: StageEstimate) -> float:
        """Return a time that only a faulty target exceeds."""
        usual_ms = self._quantile_ms(estimate, AMPLE_QUANTILE)
        return self.wait_ms(estimate) + AMPLE_FACTOR * usual_ms

    def quick_ms(self, estimate: StageEstimate) -> float:
        """Return the time of a stage if all goes well."""
        return self._quantile_ms(estimate, QUICK_QUANTILE)

    def excess_ms(
        self,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
        queue_share: float,
    ) -> float:
        """Return by how much a request would come too late, 0 or less if in time.

        Without a queue, a request is too late only if it cannot end in time
        when all goes well. Of the time left to queue, it may use `queue_share`.
        """
        stages = [one.stage for one in estimates]
        waiting_ms = critical_path_ms(estimates, stages, self.wait_ms)
        if not waiting_ms:
            return critical_path_ms(estimates, stages, self.quick_ms) - remaining_ms
        service_ms = critical_path_ms(estimates, stages, self.service_ms)
        service_ms += max(self.spread_ms(one) for one in estimates)
        allowed_ms = remaining_ms * self._admission.margin - service_ms
        return waiting_ms - max(allowed_ms, 0.0) * queue_share

    def _quantile_ms(self, estimate: StageEstimate, share: float) -> float:
        router = self._routers.get(estimate.pool)
        return service_quantile_ms(estimate, router, share)
