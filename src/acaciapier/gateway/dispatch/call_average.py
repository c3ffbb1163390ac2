"""Average time of the calls of a service."""

DEFAULT_AVERAGE_MS = 50.0
"""Average time of a call of a plain service, until measured."""

TIME_EWMA_WEIGHT = 0.05
"""Weight of the newest call in the service's average time."""

MAX_FIRST_RATIO = 10.0
"""Largest ratio of one of the first calls to the average so far that counts: a single
slow one would have most requests refused."""

MIN_COST_MS = 1.0


class CallAverage:
    """Average that the first calls move as much as a mean while it is over its default.

    With the weight of later calls it would stay near the default for seconds of an
    overload, in which requests begin that cannot end in time. Services that are faster
    approach their average slowly: measured against it, one call that was held up would
    make a worker seem slow.
    """

    def __init__(self):
        self.ms = DEFAULT_AVERAGE_MS
        self._calls = 0

    def record(self, cost_ms: float) -> None:
        """Record the time of a successful call."""
        self._calls += 1
        weight = TIME_EWMA_WEIGHT
        if self._calls < 1 / TIME_EWMA_WEIGHT:
            cost_ms = min(cost_ms, MAX_FIRST_RATIO * self.ms)
            if max(cost_ms, self.ms) > DEFAULT_AVERAGE_MS:
                weight = 1.0 / self._calls
        self.ms += weight * (max(MIN_COST_MS, cost_ms) - self.ms)
