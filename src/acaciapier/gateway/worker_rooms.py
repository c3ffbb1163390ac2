"""Room of brittle workers: how many requests at once one of them takes."""

from collections import deque
from dataclasses import dataclass, field

REJECTION_WINDOW_S = 1.2
"""Time over which rejections are counted: a second, and the delay of the reports."""

FIRST_PROBE_DELAY_S = 1.5
"""Time after a rejection in which no request is sent beyond the proven room."""

BEFORE_ALL_S = float("-inf")
"""Time of a request of which it is not known when it was sent."""


@dataclass(eq=False)
class WorkerRoom:
    """Requests at one incarnation of a worker, as its dispatcher knows them."""

    proven: int = 0
    """Most requests that it has taken at once since it last rejected one."""
    held: int = 0
    """Requests that were granted and have not ended."""
    probes: int = 0
    """Those beyond the proven room that have not ended."""
    probes_made: int = 0
    """All that were granted beyond the proven room."""
    probe_after_s: float = BEFORE_ALL_S
    probe_delay_s: float = FIRST_PROBE_DELAY_S
    rejections_s: deque[float] = field(default_factory=deque)
    abandoned_until_s: deque[float] = field(default_factory=deque)
    successes: int = 0
    """Requests beyond the proven room that it took since it last rejected one."""
    tested: bool = False
    """Whether its proven room was learned while it was brittle."""
    rejected_s: float = BEFORE_ALL_S
    """When it last rejected a request."""
    lowered_s: float = BEFORE_ALL_S
    """When its proven room was last lowered."""
    broken: bool = False
    """Whether it has broken off requests, as a worker does that falls over."""

    def occupied(self, now_s: float) -> int:
        """Return how many requests the worker may have."""
        while self.abandoned_until_s and self.abandoned_until_s[0] <= now_s:
            self.abandoned_until_s.popleft()
        return self.held + len(self.abandoned_until_s)

    def add_rejection(self, now_s: float) -> None:
        """Count a rejection."""
        self.recent_rejections(now_s)
        self.rejections_s.append(now_s)

    def recent_rejections(self, now_s: float) -> int:
        """Return the rejections that still count."""
        while self.rejections_s and self.rejections_s[0] <= now_s - REJECTION_WINDOW_S:
            self.rejections_s.popleft()
        return len(self.rejections_s)


@dataclass(frozen=True)
class SentWithin:
    """State of a worker's room when a request was granted."""

    level: int
    """Requests that the worker had then, with this one."""
    probe: bool
    """Whether they are more than it had proved to take."""
    probes_ended: int = 0
    """Requests beyond the proven room that had ended by then."""
