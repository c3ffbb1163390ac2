"""Bounds callers' connections by the descriptors that other connections need.

The load that it answers is a crowd of callers that connect and send nothing, or never
end a request.
"""

import os
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from ..core.clock import Clock

OPEN_DESCRIPTORS_PATH = "/proc/self/fd"
COUNT_PERIOD_S = 0.1
"""Period of counting all descriptors, which takes 0.3 ms with 1,000."""

UNCOUNTED_SHARE = 0.25
"""Share of the limit up to which connections are admitted without counting all."""

MARGIN_SHARE, MIN_MARGIN = 0.0625, 16
"""Descriptors kept free: those that workers, peers and the store open until all are
counted again, and connections that were accepted and are not admitted yet."""

ORDER_PERIOD_S = 0.1
"""Least time between two comparisons of all connections."""

MIN_CONNECTIONS = 8
"""Connections that are admitted however many descriptors others take."""


class BoundConnection(Protocol):
    """A connection of a caller, as far as the bound needs it."""

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has arrived since the last response."""

    @property
    def waiting_since_s(self) -> float | None:
        """Since when no input has arrived, unless a request is handled."""


def count_descriptors() -> int:
    """Return the number of open descriptors of this process."""
    return len(os.listdir(OPEN_DESCRIPTORS_PATH))


class ConnectionBound:
    """Decides which connections close for new ones.

    Parameters
    ----------
    max_descriptors : int
        Limit on the open descriptors of the process.
    clock : Clock
        Source of time.
    count : callable, optional
        Returns the number of open descriptors of the process.
    """

    def __init__(
        self,
        max_descriptors: int,
        clock: Clock,
        count: Callable[[], int] = count_descriptors,
    ):
        self._margin = max(MIN_MARGIN, int(MARGIN_SHARE * max_descriptors))
        self._max_descriptors = max_descriptors
        self._clock = clock
        self._count = count
        self._others = 0
        """Descriptors of other uses when all were counted last."""
        self._counted_s = float("-inf")

    def is_over(self, connections: int) -> bool:
        """Return whether so many connections of callers are too many."""
        if connections <= max(MIN_CONNECTIONS, UNCOUNTED_SHARE * self._max_descriptors):
            return False
        now_s = self._clock.monotonic_s()
        if now_s - self._counted_s >= COUNT_PERIOD_S:
            self._others, self._counted_s = self._count_others(connections), now_s
        return connections > self._max_descriptors - self._margin - self._others

    def _count_others(self, connections: int) -> int:
        try:
            return self._count() - connections
        except OSError:
            # Counting needs a free descriptor itself.
            return self._max_descriptors - connections


def longest_waiting(connections: Iterable[BoundConnection]) -> BoundConnection | None:
    """Return the connection to close.

    It is the longest idle one, or that with an unfinished request that has sent nothing
    for longest.
    """
    return next((one for one, _ in _by_waiting(connections)), None)


def _by_waiting(
    connections: Iterable[BoundConnection],
) -> list[tuple[BoundConnection, float]]:
    """Return the connections that may close, in order, and since when they wait."""
    waiting = [
        (not one.idle, one.waiting_since_s, number, one)
        for number, one in enumerate(connections)
        if one.waiting_since_s is not None
    ]
    return [(one, since_s) for _, since_s, _, one in sorted(waiting)]


class ClosingOrder:
    """The order of `longest_waiting`, for many connections that close one by one.

    While a crowd connects, thousands would be compared for each new one. They are
    compared once in a while, and those that have gone on since are passed over.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._order: deque[tuple[BoundConnection, float]] = deque()
        self._ordered_s = float("-inf")

    def next(self, connections: Collection[BoundConnection]) -> BoundConnection | None:
        """Return the connection to close; None if all handle requests."""
        now_s = self._clock.monotonic_s()
        if now_s - self._ordered_s < ORDER_PERIOD_S:
            closed = self._first(connections)
            if closed is not None:
                return closed
        self._order = deque(_by_waiting(connections))
        self._ordered_s = now_s
        return self._first(connections)

    def _first(
        self, connections: Collection[BoundConnection]
    ) -> BoundConnection | None:
        while self._order:
            one, since_s = self._order.popleft()
            if one in connections and one.waiting_since_s == since_s:
                return one
        return None
