"""Circuit breaker with jittered exponential backoff."""

from random import Random

from ..core.clock import Clock, to_ms, to_s

FAILURES_TO_OPEN = 3
INITIAL_PAUSE_MS = 100.0
MAX_PAUSE_MS = 5_000.0


class CircuitBreaker:
    """Circuit breaker of the calls to one dependency.

    After `FAILURES_TO_OPEN` failures in a row, calls are refused for a jittered pause,
    after which one call is let through as a probe. With each further failure the pause
    doubles up to `MAX_PAUSE_MS`.

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
        self._pause_end_s = 0.0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Whether all calls except probes are refused."""
        return self._failures >= FAILURES_TO_OPEN

    @property
    def reachable(self) -> bool:
        """Whether a call would be let through now."""
        if not self.is_open:
            return True
        return not self._probing and self.pause_ms() <= 0.0

    def pause_ms(self) -> float:
        """Return the milliseconds until the next probe."""
        return max(0.0, to_ms(self._pause_end_s - self._clock.monotonic_s()))

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
            self._pause_end_s = self._clock.monotonic_s() + pause_s

    def record_cancelled(self) -> None:
        """Let another call be the probe, as the caller cancelled this one."""
        self._probing = False

    def _next_pause_ms(self) -> float:
        doublings = min(self._failures - FAILURES_TO_OPEN, 16)
        max_jittered_ms = min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2**doublings)
        return max_jittered_ms * self._random.uniform(0.5, 1.0)
