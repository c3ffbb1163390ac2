"""Pace of the sends to one worker: a leaky bucket."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..core.clock import to_s
from .limited_sends import RECENT_SENDS_MS

MIN_LIMIT_PER_S = 0.1
"""Rate at which a worker with a lower limit is still used, since only an answer tells
that its limit has ended."""

MAX_DISPATCHERS = 4
"""Dispatchers of a service that may disagree at a time."""

OWN_PART = 1.2
"""Multiple of an equal part of the rate that a dispatcher may use while the others are
not known to leave more; the rest of the bound covers delays."""

UNUSED_PART_SHARE = 0.5
"""Multiple of an equal part up to which another dispatcher leaves the rest of it. One
that uses more is taken to use all, since it may only pause."""

REPORT_BURST_SHARE = 0.5
"""Part of the period of reports by which a send may be ahead beside other dispatchers.
The equal parts keep to the bound; without it, each report would cost some rate."""

REPORT_DELAY_S = 0.25
"""Time in which a report arrives that is due."""

MEMORY_REPORTS = 2.0
MEMORY_S = 1.0
"""Reports, and further time, for which the sends of another dispatcher count. One that
pauses for its pace must not be taken for one that has ended."""

PAUSE_S = 1.0
"""Pause after which a dispatcher does not know whether others send as well."""


@dataclass(eq=False, kw_only=True)
class Pace:
    """Sends to one worker that are ahead of a steady pace.

    Parameters
    ----------
    per_s : float
        Requests a second that it takes from all instances.
    owed : float
        Requests that were sent ahead of a steady pace.
    paced_until_s : float
        Up to when `owed` has been reduced by the pace.
    burst_ms : float
        Time by which a send may be ahead.
    """

    per_s: float
    owed: float
    paced_until_s: float
    burst_ms: float
    sends_s: deque[float] = field(default_factory=deque)
    """Times of the recent sends."""

    def copy(self) -> "Pace":
        """Return a copy, whose use does not change this one."""
        return replace(self, sends_s=deque(self.sends_s))

    def advance(self, now_s: float, rate_per_s: float) -> None:
        """Reduce what is owed by a rate since the last time."""
        passed_s = max(0.0, now_s - self.paced_until_s)
        self.owed = max(0.0, self.owed - passed_s * rate_per_s)
        self.paced_until_s = max(self.paced_until_s, now_s)

    def wait_ms(self, rate_per_s: float) -> float:
        """Return after what time the next request may be sent."""
        return max(0.0, self.owed / rate_per_s * 1_000.0 - self.burst_ms)

    def record_send(self, now_s: float) -> None:
        """Count a request that is granted or sent."""
        self.owed += 1.0
        self.sends_s.append(now_s)
        self.recent_sends(now_s)

    def recent_sends(self, now_s: float) -> int:
        """Return how many requests were sent lately."""
        while self.sends_s and self.sends_s[0] <= now_s - to_s(RECENT_SENDS_MS):
            self.sends_s.popleft()
        return len(self.sends_s)


@dataclass(eq=False, kw_only=True)
class ColdPace(Pace):
    """Pace of a cold worker, whose bound counts in windows of 1 s.

    Up to four dispatchers may send to the worker at a time, and learn of the sends of
    one another only with the next report. In a large fleet this takes as long as the
    window. Each therefore also paces its own sends: to its part of the rate, or to what
    the others leave of it.

    Parameters
    ----------
    report_ms : callable
        Returns the period at which dispatchers report their sends; 0 if there are no
        other instances.
    """

    report_ms: Callable[[], float]
    own_owed: float = 0.0
    """Requests that this instance sent ahead of its part of the rate."""
    joined_s: float = float("-inf")
    """When this instance last began to send beside another dispatcher."""
    _last_own_s: float = float("-inf")
    _own_since_s: float = float("-inf")
    """Begin of the sends of this instance without a pause."""
    _others_since_s: float = float("-inf")
    """When a dispatcher was last seen that was not known before."""
    _others: deque[tuple[float, str, float]] = field(default_factory=deque)
    """Time, dispatcher and number of the sends that were reported lately."""

    def copy(self) -> "ColdPace":
        """Return a copy, whose use does not change this one."""
        return replace(self, sends_s=deque(self.sends_s), _others=deque(self._others))

    def own_rate_per_s(self, rate_per_s: float) -> float:
        """Return the part of a rate that this instance may use; may be infinite."""
        report_s = to_s(self.report_ms())
        now_s = self.paced_until_s
        memory_s = MEMORY_REPORTS * report_s + MEMORY_S
        while self._others and self._others[0][0] < now_s - memory_s:
            self._others.popleft()
        sends: dict[str, float] = {}
        for _, dispatcher, count in self._others:
            sends[dispatcher] = sends.get(dispatcher, 0.0) + count
        if sends:
            equal_per_s = rate_per_s / (1 + len(sends))
            if now_s - self._others_since_s < memory_s:
                return OWN_PART * equal_per_s
            rates_per_s = (count / memory_s for count in sends.values())
            used_per_s = sum(
                one if one < UNUSED_PART_SHARE * equal_per_s else equal_per_s
                for one in rates_per_s
            )
            return max(OWN_PART * equal_per_s, rate_per_s - used_per_s)
        pauses = now_s - self._last_own_s > PAUSE_S
        blind = pauses or now_s - self._own_since_s < report_s + REPORT_DELAY_S
        if report_s > 0 and blind:
            return OWN_PART * rate_per_s / MAX_DISPATCHERS
        return math.inf

    def advance(self, now_s: float, rate_per_s: float) -> None:
        """Reduce what is owed by a rate since the last time."""
        passed_s = max(0.0, now_s - self.paced_until_s)
        super().advance(now_s, rate_per_s)
        if self.own_owed > 0.0 and passed_s > 0.0:
            part = passed_s * self.own_rate_per_s(rate_per_s)
            self.own_owed = max(0.0, self.own_owed - part)

    def wait_ms(self, rate_per_s: float) -> float:
        """Return after what time the next request may be sent."""
        own_ms = 0.0
        if self.own_owed > 0.0:
            own_ms = self.own_owed / self.own_rate_per_s(rate_per_s) * 1_000.0
        # Sends of others are counted when they are reported, many at a time.
        late_ms = REPORT_BURST_SHARE * self.report_ms() if self._others else 0.0
        return max(super().wait_ms(rate_per_s) - late_ms, own_ms - self.burst_ms, 0.0)

    def record_send(self, now_s: float) -> None:
        """Count a request that is granted or sent."""
        super().record_send(now_s)
        if now_s - self._last_own_s > PAUSE_S:
            self._own_since_s = now_s
        self._last_own_s = now_s
        self.own_owed += 1.0

    def record_others(self, dispatcher: str, count: float, now_s: float) -> None:
        """Record sends that another dispatcher reported."""
        if all(dispatcher != known for _, known, _ in self._others):
            self._others_since_s = now_s
        self._others.append((now_s, dispatcher, count))
