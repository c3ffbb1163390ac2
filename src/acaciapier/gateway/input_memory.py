"""Bounds the memory of all input that a process holds for callers.

Heads, bodies that are being read, and those of requests that a handler has are counted.
When they are over the limit, input that has not become a request gives way: at first
what makes no progress, and then the largest and slowest. A request that a handler has
never gives way, since it may be running on a worker.
"""

from collections import deque
from collections.abc import Callable

import trio

from ..core.clock import Clock
from .response_memory import BYTES_PER_MB, MEMORY_SHARE

PROCESS_BYTES = 50_000_000
"""Memory of a process without load: 43 MB were measured, and tables grow."""

INPUT_SHARE = 0.5
"""Share of the rest, without that of large responses, that input may take. The other
half is for the copy of a body that grows or is handed over, for fragments of freed
bodies, and for what the connections take themselves."""

MIN_LIMIT_BYTES = 8_000_000
"""Limit of a process with little memory: a body of the largest size in use and some."""

SMALL_BYTES = 65_536
"""Size of input that larger input does not crowd out."""

SMALL_RESERVE = 0.25
"""Share of the limit, in addition to it, that only small input may take."""

OTHERS_SHARE = 0.125
"""Share of the limit up to which all others leave room for one request of any size."""

ORDER_PERIOD_S = 0.1
"""Least time between two comparisons of all input."""

STALLED_S = 1.0
"""Time without progress after which input gives way before any that progresses: five
times the longest round trip of callers."""


class CallerInput:
    """What one connection holds of its caller's input.

    Parameters
    ----------
    memory : InputMemory
        Memory that it is part of.
    give_way : callable
        Makes the connection drop its unfinished input at once.
    """

    def __init__(self, memory: "InputMemory", give_way: Callable[[], None]):
        self.size_bytes = 0
        self.began_s = 0.0
        """Time at which the input began."""
        self.progressed_s = 0.0
        """Time at which some of it was received last."""
        self.ahead_bytes = 0
        """Bytes of further requests that are held beside a complete one."""
        self.give_way = give_way
        self._memory = memory

    def rank(self, now_s: float) -> tuple[bool, float]:
        """Return the order in which input gives way; the greatest is first."""
        stalled = now_s - self.progressed_s >= STALLED_S
        # Adding the time in which input counts as fast lets size decide at first.
        age_s = now_s - self.began_s + STALLED_S
        return stalled and self.size_bytes > SMALL_BYTES, self.size_bytes * age_s

    def hold(self, size_bytes: int) -> bool:
        """Count so many bytes; return whether there is memory for them."""
        return self._memory.hold(self, size_bytes)

    def complete(self, size_bytes: int) -> None:
        """Count a complete request, which does not give way any more."""
        self._memory.complete(self, size_bytes)

    def hold_ahead(self, size_bytes: int) -> bool:
        """Count bytes beside a complete request; return whether there is memory."""
        return self._memory.hold_ahead(self, size_bytes)

    def release(self) -> None:
        """Count nothing any more."""
        self._memory.release(self)


class InputMemory:
    """Decides which callers' input gives way when there is too much of it.

    The load that it answers is a crowd of callers that send large bodies at once, stop
    before their ends, or ignore the limits.

    Parameters
    ----------
    memory_mb : float
        Limit on the memory of the process, in units of 10^6 bytes.
    clock : Clock
        Source of time.
    """

    def __init__(self, memory_mb: float, clock: Clock):
        rest_bytes = (1.0 - MEMORY_SHARE) * memory_mb * BYTES_PER_MB - PROCESS_BYTES
        self.limit_bytes = max(MIN_LIMIT_BYTES, INPUT_SHARE * rest_bytes)
        self.used_bytes = 0
        self.turn = trio.Lock()
        """Held while small parts of input are parsed, or rejected input is drained."""
        self._clock = clock
        self._unfinished: set[CallerInput] = set()
        self._order: deque[tuple[CallerInput, float]] = deque()
        """Unfinished input in the order in which it gives way, and when each piece of
        it had progressed last."""
        self._ordered_s = float("-inf")
        self._changed: set[CallerInput] = set()
        """Unfinished input that has begun or grown since this order was made."""

    def account(self, give_way: Callable[[], None]) -> CallerInput:
        """Return the account of a connection, which `give_way` makes drop its input."""
        return CallerInput(self, give_way)

    def hold(self, held: CallerInput, size_bytes: int) -> bool:
        """Count unfinished input; return whether there is memory for it."""
        now_s = self._clock.monotonic_s()
        if held not in self._unfinished:
            self._unfinished.add(held)
            held.began_s = now_s
        held.progressed_s = now_s
        self._changed.add(held)
        self._resize(held, size_bytes)
        while not self._fits(held):
            largest = self._first_to_give_way(now_s)
            self.release(largest)
            if largest is held:
                return False
            largest.give_way()
        return True

    def complete(self, held: CallerInput, size_bytes: int) -> None:
        """Count a complete request, which does not give way any more."""
        self._unfinished.discard(held)
        self._changed.discard(held)
        self._resize(held, size_bytes)

    def hold_ahead(self, held: CallerInput, size_bytes: int) -> bool:
        """Count bytes beside a complete request; return whether there is memory."""
        held.ahead_bytes, former = size_bytes, held.ahead_bytes
        self._resize(held, held.size_bytes + size_bytes - former)
        return not size_bytes or self.used_bytes <= self.limit_bytes

    def release(self, held: CallerInput) -> None:
        """Count nothing any more."""
        self._unfinished.discard(held)
        self._changed.discard(held)
        held.ahead_bytes = 0
        self._resize(held, 0)

    def _first_to_give_way(self, now_s: float) -> CallerInput:
        """Return the unfinished input of the greatest rank.

        A crowd makes input give way for each part that arrives, so all of it is
        compared once in a while, and in between what has changed since.
        """
        if now_s - self._ordered_s >= ORDER_PERIOD_S:
            self._ordered_s = now_s
            ranked = sorted(
                self._unfinished, key=lambda one: one.rank(now_s), reverse=True
            )
            self._order = deque((one, one.progressed_s) for one in ranked)
            self._changed.clear()
        candidates = set(self._changed)
        while self._order:
            one, progressed_s = self._order[0]
            if one in self._unfinished and one.progressed_s == progressed_s:
                candidates.add(one)
                break
            self._order.popleft()
        return max(candidates or self._unfinished, key=lambda one: one.rank(now_s))

    def _resize(self, held: CallerInput, size_bytes: int) -> None:
        self.used_bytes += size_bytes - held.size_bytes
        held.size_bytes = size_bytes

    def _fits(self, held: CallerInput) -> bool:
        limit_bytes = self.limit_bytes
        if self.used_bytes <= limit_bytes:
            return True
        if held.size_bytes <= SMALL_BYTES:
            return self.used_bytes <= (1.0 + SMALL_RESERVE) * limit_bytes
        return self.used_bytes - held.size_bytes <= OTHERS_SHARE * limit_bytes
