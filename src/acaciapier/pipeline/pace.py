"""How often an open stream of tokens is read."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..core.clock import Clock, to_s

FLOOR_MS = 15.0
MS_PER_OPEN_STREAM = 0.5
CEILING_MS = 40.0
WAITED_MS = 1.0


class StreamPace:
    """Lets tokens gather in the socket, longer the more streams are open.

    A stream that had to be waited for is left alone for an interval; what has
    gathered in the meantime is then read at once. Each wake-up of a stream thus
    carries several tokens, and its cost is shared by them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    floor_ms : float
        Shortest interval.
    """

    def __init__(self, clock: Clock, floor_ms: float = FLOOR_MS):
        self._clock = clock
        self._floor_ms = floor_ms
        self._open = 0

    @property
    def interval_ms(self) -> float:
        """The present interval between two reads of a stream."""
        by_load_ms = self._open * MS_PER_OPEN_STREAM
        return min(CEILING_MS, max(self._floor_ms, by_load_ms))

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Count a stream while it is open."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    async def after_read(self, asked_s: float) -> None:
        """Sleep if the read that was asked for at `asked_s` had to wait."""
        if self._clock.monotonic_s() - asked_s > to_s(WAITED_MS):
            await trio.sleep(to_s(self.interval_ms))
