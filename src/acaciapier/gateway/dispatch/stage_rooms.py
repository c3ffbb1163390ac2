"""What a stage worker's room holds, and how fast a service works."""

from dataclasses import dataclass, field

ROOM_SHARE = 1.0
"""Share of a worker's room that is used at first: sizes of results are approximate."""

LEAST_ROOM_SHARE = 0.85
"""Least share that refusals for want of room lower it to."""

ROOM_STEP_DOWN, ROOM_STEP_UP = 0.02, 0.004
"""Changes of that share after a refusal, and after a call without one."""

NO_ROOM_MS = 150.0
"""Pause of a worker that had no room: about the time of one call."""

MEASURE_S = 1.0
"""Time over which the rate of a service is measured while work waits."""


@dataclass(frozen=True, slots=True)
class StoredResult:
    """One result at a worker, which drops it at `until_s`."""

    size_bytes: float
    until_s: float
    owner: str


@dataclass
class WorkerRoom:
    """Results that lie at one worker."""

    reserved_bytes: float = 0.0
    results: dict[str, StoredResult] = field(default_factory=dict)
    blocked_until_s: float = 0.0
    share: float = ROOM_SHARE

    def used_bytes(self, now_s: float) -> float:
        """Return the room that is taken; results end after their time to live."""
        expired = [h for h, one in self.results.items() if one.until_s <= now_s]
        for handle in expired:
            del self.results[handle]
        return self.reserved_bytes + sum(r.size_bytes for r in self.results.values())

    def drop_owner(self, owner: str) -> None:
        """Forget the results of an instance."""
        self.results = {h: r for h, r in self.results.items() if r.owner != owner}

    def refuse(self, now_s: float) -> None:
        """Note that the worker had no room: use less of it, and none for a moment."""
        self.blocked_until_s = now_s + NO_ROOM_MS / 1_000.0
        self.share = max(LEAST_ROOM_SHARE, self.share - ROOM_STEP_DOWN)

    def accept(self) -> None:
        """Note that a call was made."""
        self.share = min(ROOM_SHARE, self.share + ROOM_STEP_UP)


class Throughput:
    """Rate at which pieces were made while more were waiting all the time."""

    def __init__(self):
        self.rate_per_ms: float | None = None
        self._since_s: float | None = None
        self._pieces = 0

    def note(self, pieces: int, waiting: int, enough: int, now_s: float) -> None:
        """Note made pieces, and how many wait; `enough` keep all workers busy."""
        if waiting < enough:
            self._since_s = None
            self.rate_per_ms = None
            return
        if self._since_s is None:
            self._since_s, self._pieces = now_s, 0
            return
        self._pieces += pieces
        elapsed_s = now_s - self._since_s
        if elapsed_s >= MEASURE_S:
            self.rate_per_ms = self._pieces / elapsed_s / 1_000.0
            self._since_s, self._pieces = now_s, 0
