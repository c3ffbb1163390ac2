"""A value that changes in steps, with an exponential moving average."""

import math

from ..core.clock import Clock


class SmoothedLevel:
    """A value and its exponential moving average over about `window_s`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    window_s : float
        Time constant of the average.
    """

    def __init__(self, clock: Clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._level = 0.0
        self._average = 0.0
        self._updated_at_s = clock.monotonic_s()

    @property
    def level(self) -> float:
        """The current value, without averaging."""
        return self._level

    def change(self, by: float) -> None:
        """Add `by`, which may be negative, to the level."""
        self.set(self._level + by)

    def set(self, level: float) -> None:
        """Set the level."""
        self._average = self.average()
        self._updated_at_s = self._clock.monotonic_s()
        self._level = level

    def average(self) -> float:
        """Return the average as of now."""
        elapsed_s = self._clock.monotonic_s() - self._updated_at_s
        old_weight = math.exp(-elapsed_s / self._window_s)
        return old_weight * self._average + (1.0 - old_weight) * self._level
