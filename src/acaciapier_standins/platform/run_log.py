"""Log of the requests that reached simulated workers."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Run:
    """One request that a worker started to process."""

    worker: str
    attempt: str
    path: str
    body: bytes
    headers: dict[str, str]
    started_s: float
    ended_s: float | None = None
    complete: bool = False
    started_ms: int = 0
    """Start of the worker's incarnation."""
    events: int = 0
    """Number of events of a stream that were sent."""


@dataclass(frozen=True)
class TurnedAway:
    """One request that a worker turned away with a time, in seconds."""

    worker: str
    attempt: str
    at_s: float
    until_s: float


@dataclass(frozen=True)
class Arrival:
    """One request that reached a worker, whatever became of it."""

    worker: str
    attempt: str
    at_s: float


@dataclass(frozen=True)
class Fall:
    """One time that a brittle worker fell over."""

    worker: str
    at_s: float


@dataclass
class RunLog:
    """Log of what all workers ran; tests compare it with the answers of callers."""

    runs: list[Run] = field(default_factory=list)
    turned_away: list[TurnedAway] = field(default_factory=list)
    pieces: Counter = field(default_factory=Counter)
    freed: int = 0
    mixed_inputs: int = 0
    """Pieces and requests that were given a result of another request."""
    arrivals: list[Arrival] = field(default_factory=list)
    rejected: list[Arrival] = field(default_factory=list)
    """Requests that brittle workers rejected for want of room."""
    falls: list[Fall] = field(default_factory=list)

    def runs_of(self, attempt: str) -> list[Run]:
        """Return the runs of an attempt."""
        return [run for run in self.runs if run.attempt == attempt]
