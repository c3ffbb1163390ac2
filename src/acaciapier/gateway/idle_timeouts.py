"""Idle timeouts that callers' connections may still rely on after a change."""

from collections import deque

from ..core.clock import Clock, to_s

KNOWN_WITHIN_S = 3.0
"""Time within which callers know a change that is in force here: the time within which
operators require that, and a second for differences between instances."""


class IdleTimeouts:
    """Keeps idle timeouts of earlier configurations while callers rely on them.

    A caller that does not know of a change keeps a connection for the former timeout
    after its last request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._former: deque[tuple[float, float]] = deque()
        """Timeouts in milliseconds and until when they apply, the longest and first to
        end at the head."""

    def replaced(self, timeout_ms: float) -> None:
        """Record that a timeout is no longer in force."""
        until_s = self._clock.monotonic_s() + KNOWN_WITHIN_S + to_s(timeout_ms)
        while self._former and self._former[-1][0] <= timeout_ms:
            self._former.pop()
        if not self._former or self._former[-1][1] < until_s:
            self._former.append((timeout_ms, until_s))

    def longest_ms(self, timeout_ms: float) -> float:
        """Return the longest timeout that callers rely on, given the one in force."""
        now_s = self._clock.monotonic_s()
        while self._former and self._former[0][1] < now_s:
            self._former.popleft()
        return max(timeout_ms, self._former[0][0]) if self._former else timeout_ms
