"""Lag of the event loop: how late timers fire while the process is held up."""

from collections import deque
from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s

MIN_LAG_MS = 50.0
"""Lag from which timers of the process count as late."""

WINDOW_MS = 1_000.0
"""Time for which a lag is remembered."""


class LoopLag:
    """Measures the lag of the event loop by the sleeps of one task.

    Parameters
    ----------
    clock : Clock
        Source of time.
    record : callable
        Called with each lag in milliseconds, from `MIN_LAG_MS` on.
    """

    def __init__(self, clock: Clock, record: Callable[[float], None]):
        self._clock = clock
        self._record = record
        self._due_s: float | None = None
        self._lags: deque[tuple[float, float]] = deque()

    async def sleep(self, period_ms: float) -> None:
        """Sleep for a period, and measure by how much it takes longer."""
        self._due_s = self._clock.monotonic_s() + to_s(period_ms)
        await trio.sleep(to_s(period_ms))
        now_s = self._clock.monotonic_s()
        lag_ms, self._due_s = (now_s - self._due_s) * 1_000.0, None
        if lag_ms >= MIN_LAG_MS:
            self._lags.append((now_s, lag_ms))
            self._record(lag_ms)

    def recent_ms(self) -> float:
        """Return the longest lag of the last second; 0 if all were short.

        A lag that has not ended counts, too.
        """
        now_s = self._clock.monotonic_s()
        while self._lags and self._lags[0][0] < now_s - to_s(WINDOW_MS):
            self._lags.popleft()
        lags = [lag_ms for _, lag_ms in self._lags]
        if self._due_s is not None:
            lags.append((now_s - self._due_s) * 1_000.0)
        longest_ms = max(lags, default=0.0)
        return longest_ms if longest_ms >= MIN_LAG_MS else 0.0
