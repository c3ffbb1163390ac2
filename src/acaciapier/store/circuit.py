"""Circuit breaker with jittered exponential back-off."""

from random import Random

from ..core.clock import Clock, to_ms, to_s

FAILURES_TO_OPEN = 3
FIRST_PAUSE_MS = 100.0
LONGEST_PAUSE_MS = 5_000.0


class Circuit:
    """Tells whether a dependency is worth calling.

    After `FAILURES_TO_OPEN` failures in a row, calls are refused for a pause that
    doubles up to `LONGEST_PAUSE_MS`, with jitter; then one call probes.

    Parameters
    ----------
    clock : Clock
        Source of the monotonic time.
    random : Random
        Source of the jitter.
    """

    def __init__(self, clock: Clock, random: Random):
        self._clock = clock
        self._random = random
        self._failures = 0
        self._closed_again_s = 0.0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Whether calls are refused but for probes."""
        return self._failures >= FAILURES_TO_OPEN

    @property
    def reachable(self) -> bool:
        """Whether a call would be let through now."""
        if not self.is_open:
            return True
        return not self._probing and self.pause_ms() <= 0.0

    def pause_ms(self) -> float:
        """Return the milliseconds until the next probe."""
        return max(0.0, to_ms(self._closed_again_s - self._clock.monotonic_s()))

    def try_enter(self) -> bool:
        """Let a call through, as the probe if the circuit is open."""
        if not self.reachable:
            return False
        self._probing = self.is_open
        return True

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._probing = False

    def record_failure(self) -> None:
        """Count a failure; open the circuit, or lengthen its pause."""
        self._failures += 1
        self._probing = False
        if self.is_open:
            pause_s = to_s(self._next_pause_ms())
            self._closed_again_s = self._clock.monotonic_s() + pause_s

    def record_abandoned(self) -> None:
        """Free the place of a probe that was cancelled by its caller."""
        self._probing = False

    def _next_pause_ms(self) -> float:
        doublings = min(self._failures - FAILURES_TO_OPEN, 16)
        longest_ms = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2**doublings)
        return longest_ms * self._random.uniform(0.5, 1.0)
