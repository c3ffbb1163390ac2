"""Rate limit of calls to the object API, with their purposes and counters."""

import heapq
import itertools
from dataclasses import dataclass
from enum import Enum

import trio

from ..core.clock import Clock

MIN_WAIT_S = 0.001


class Purpose(Enum):
    """Purpose of a call; earlier members have priority over later ones."""

    CLAIMS = "claims"
    LEASES = "leases"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    ACCOUNTS = "accounts"


class Verb(Enum):
    """Kind of a call."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


_PRIORITIES = {purpose: number for number, purpose in enumerate(Purpose)}


@dataclass(frozen=True)
class StoreBudget:
    """Limits on the use of the object API by one process.

    Parameters
    ----------
    rate_per_s : float
        Average calls per second; a watch counts as one call.
    burst : int
        Calls that may be sent at once after an idle period.
    timeout_ms : float
        Timeout of one call, including the wait for the rate limit.
    max_connections : int
        Maximum of open connections, including those of watches.
    """

    rate_per_s: float = 100.0
    burst: int = 50
    timeout_ms: float = 1_000.0
    max_connections: int = 32


@dataclass
class CallCount:
    """Calls of one purpose and verb since the process started."""

    calls: int = 0
    failures: int = 0
    sent_bytes: int = 0
    largest_bytes: int = 0
    received_bytes: int = 0


class TokenBucket:
    """Token bucket over a monotonic clock.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : int
        Maximum number of tokens.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(self, rate_per_s: float, burst: int, clock: Clock):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_s = clock.monotonic_s()

    def try_take(self) -> bool:
        """Take one token if there is one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next token."""
        self._refill()
        missing = max(0.0, 1.0 - self._tokens)
        return max(MIN_WAIT_S, missing / self._rate_per_s)

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_s = now_s


class _Waiter:
    """A call queued in the limiter."""

    def __init__(self, purpose: Purpose, number: int):
        self.order = (_PRIORITIES[purpose], number)
        self.turn = trio.Event()

    def __lt__(self, other: "_Waiter") -> bool:
        return self.order < other.order


class PriorityLimiter:
    """Limits the rate of calls; the highest priority goes first.

    Parameters
    ----------
    budget : StoreBudget
        Rate and burst.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(self, budget: StoreBudget, clock: Clock):
        self._bucket = TokenBucket(budget.rate_per_s, budget.burst, clock)
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    async def acquire(self, purpose: Purpose) -> None:
        """Wait until a call for `purpose` may be sent."""
        if not self._waiters and self._bucket.try_take():
            return
        waiter = _Waiter(purpose, next(self._numbers))
        heapq.heappush(self._waiters, waiter)
        try:
            await self._wait_for_token(waiter)
        finally:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            if self._waiters:
                self._waiters[0].turn.set()

    async def _wait_for_token(self, waiter: _Waiter) -> None:
        while True:
            if self._waiters[0] is not waiter:
                waiter.turn = trio.Event()
                await waiter.turn.wait()
            elif self._bucket.try_take():
                return
            else:
                await trio.sleep(self._bucket.wait_s())
