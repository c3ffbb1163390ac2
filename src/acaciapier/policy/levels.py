"""A level that changes in steps, and its average over the recent past."""

import math

from ..core.clock import Clock


class SmoothedLevel:
    """A level with its exponential average over about `window_s`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    window_s : float
        Time over which the level is averaged.
    """

    def __init__(self, clock: Clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._level = 0.0
        self._average = 0.0
        self._at_s = clock.monotonic_s()

    @property
    def level(self) -> float:
        """The present level."""
        return self._level

    def change(self, by: float) -> None:
        """Raise the level by `by`."""
        self.set(self._level + by)

    def set(self, level: float) -> None:
        """Set the level."""
        self._average = self.average()
        self._at_s = self._clock.monotonic_s()
        self._level = level

    def average(self) -> float:
        """Return the average at this moment."""
        passed_s = self._clock.monotonic_s() - self._at_s
        old = math.exp(-passed_s / self._window_s)
        return old * self._average + (1.0 - old) * self._level
