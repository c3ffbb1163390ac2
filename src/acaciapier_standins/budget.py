"""A token bucket whose caller supplies the time."""


class TokenBucket:
    """Rate limiter that refills at a constant rate up to a burst size.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket.
    """

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_s: float | None = None

    def take(self, tokens: float, now_s: float) -> float:
        """Take `tokens` and return 0, or return the seconds until they are refilled."""
        elapsed_s = 0.0 if self._filled_s is None else now_s - self._filled_s
        self._filled_s = now_s
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.rate_per_s)
        if self._tokens >= tokens:
            self._tokens -= tokens
            return 0.0
        return (tokens - self._tokens) / self.rate_per_s
