"""Quantiles and mean of measured call times over a sliding window."""

from collections import deque

from ..core.clock import Clock

WINDOW_S = 60.0
MAX_SAMPLES = 512
MIN_SAMPLES = 8
PRIOR_SAMPLES = 30
REFRESH_SAMPLES = 16
REFRESH_INTERVAL_S = 1.0


class SlidingQuantiles:
    """Quantiles and mean of the samples of the last `WINDOW_S` seconds.

    At most `MAX_SAMPLES` samples are kept, and results are cached briefly.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._sorted: list[float] = []
        self._mean_ms = 0.0
        self._refreshed_at_s = float("-inf")
        self._added_since_refresh = 0

    def add(self, value_ms: float) -> None:
        """Record one measured time."""
        self._samples.append((self._clock.monotonic_s(), value_ms))
        self._added_since_refresh += 1

    def quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile, or None if there are too few samples."""
        self._refresh()
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[
            min(int(quantile * len(self._sorted)), len(self._sorted) - 1)
        ]

    def mean_ms(self, expected_ms: float) -> float:
        """Return the mean, with `expected_ms` weighing as `PRIOR_SAMPLES` samples.

        The first calls to end are the shortest, so the mean of only a few samples
        would be too low.
        """
        self._refresh()
        count = len(self._sorted)
        total_ms = count * self._mean_ms + PRIOR_SAMPLES * expected_ms
        return total_ms / (count + PRIOR_SAMPLES)

    def _refresh(self) -> None:
        now_s = self._clock.monotonic_s()
        stale = now_s - self._refreshed_at_s >= REFRESH_INTERVAL_S
        if self._added_since_refresh < REFRESH_SAMPLES and not stale:
            return
        while self._samples and self._samples[0][0] < now_s - WINDOW_S:
            self._samples.popleft()
        self._sorted = sorted(value for _, value in self._samples)
        self._mean_ms = sum(self._sorted) / max(len(self._sorted), 1)
        self._refreshed_at_s = now_s
        self._added_since_refresh = 0
