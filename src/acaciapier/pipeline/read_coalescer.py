"""Coalesces reads of open token streams."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..core.clock import Clock, to_s

MIN_READ_INTERVAL_MS = 15.0
READ_INTERVAL_MS_PER_STREAM = 0.5
MAX_READ_INTERVAL_MS = 40.0
MIN_BLOCKED_READ_MS = 1.0


class ReadCoalescer:
    """Delays reads so that each returns several tokens.

    After a read that had to wait for data, the stream is not read again for an
    interval; the tokens that arrive meanwhile are buffered in the socket and read
    at once. This spreads the cost of waking a task over several tokens. The
    interval grows with the number of open streams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    min_interval_ms : float
        Minimum interval between two reads of a stream.
    """

    def __init__(self, clock: Clock, min_interval_ms: float = MIN_READ_INTERVAL_MS):
        self._clock = clock
        self._min_interval_ms = min_interval_ms
        self._open_streams = 0

    @property
    def interval_ms(self) -> float:
        """Current interval between two reads of a stream."""
        scaled_ms = self._open_streams * READ_INTERVAL_MS_PER_STREAM
        return min(MAX_READ_INTERVAL_MS, max(self._min_interval_ms, scaled_ms))

    @contextmanager
    def track_open_stream(self) -> Iterator[None]:
        """Count a stream as open within the context."""
        self._open_streams += 1
        try:
            yield
        finally:
            self._open_streams -= 1

    async def pause_after_read(self, read_started_s: float) -> None:
        """Sleep for the interval if the read since `read_started_s` had to wait."""
        if self._clock.monotonic_s() - read_started_s > to_s(MIN_BLOCKED_READ_MS):
            await trio.sleep(to_s(self.interval_ms))
