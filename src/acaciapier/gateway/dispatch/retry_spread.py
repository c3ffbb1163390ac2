"""Spread of the times after which refused callers return."""

GOLDEN_SHARE = 0.618034
"""Fractional part of the golden ratio. Its multiples, without their whole parts, are
spread evenly however many there are."""

SPREAD = 1.0
"""Difference of the longest and the shortest delay, as a share of the middle one."""


class RetrySpread:
    """Spreads the retries of requests that are refused at the same time.

    After a jump of the load a queue refuses many requests at once. With the same delay
    they return as another jump.
    """

    def __init__(self):
        self._position = 0.0

    def delay_ms(self, middle_ms: float) -> float:
        """Return the next delay, of which `middle_ms` is the average."""
        self._position = (self._position + GOLDEN_SHARE) % 1.0
        return middle_ms * (1.0 + SPREAD * (self._position - 0.5))
