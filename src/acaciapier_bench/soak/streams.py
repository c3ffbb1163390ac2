"""Checks streams over all attempts of their callers."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .callers import Received
from .changes import RESUMABLE

STABLE_S = 3.0
KNOWN_S = 1.0
"""Time in which gateways learn of a worker."""

FEWEST_RESUMED = 12
WENT_ON_FACTOR = 0.5


@dataclass
class Lifetime:
    """One start of a worker; it serves between the times."""

    worker: str
    version: str
    from_s: float
    until_s: float = float("inf")


@dataclass
class Share:
    """Number of streams that brought what they were asked for, of all."""

    done: int = 0
    count: int = 0

    def add(self, done: bool) -> None:
        """Count a stream."""
        self.done += done
        self.count += 1

    @property
    def rate(self) -> float:
        """Done ones of all; 0 if there are none."""
        return self.done / self.count if self.count else 0.0

    def __str__(self):
        return f"{self.done} of {self.count}"


@dataclass
class StreamCounts:
    """New streams that began, and attempts to take streams up that went on."""

    began: Share = field(default_factory=Share)
    went_on: Share = field(default_factory=Share)
    went_on_of_served: Share = field(default_factory=Share)
    """Those for which two workers of their software version served."""
    refused: int = 0
    mixed: int = 0
    mixed_within: int = 0
    """Mixed streams in which one attempt alone brought several versions."""
    mixed_at: Counter[str] = field(default_factory=Counter)
    """Builds of the gateways that brought the first event of another version."""


def check_streams(
    records: Iterable[Received], lifetimes: list[Lifetime], remembers
) -> tuple[list[str], StreamCounts]:
    """Return a line for each broken promise about streams that callers took up.

    Parameters
    ----------
    records : iterable of Received
        What callers got, in the order in which they sent it.
    lifetimes : list of Lifetime
        Starts of the workers that write streams.
    remembers : callable
        Returns whether a gateway ran undisturbed between two times.
    """
    found = []
    streams: dict[str, list[Received]] = {}
    for record in records:
        if record.kind == RESUMABLE and record.status in (0, 200):
            streams.setdefault(record.resumes or record.attempt, []).append(record)
        ids = [event_id for event_id, _ in record.events()]
        if ids != list(range(record.last_id + 1, record.last_id + 1 + len(ids))):
            found.append(f"{record.attempt} after {record.last_id} has events {ids}")
    counts = StreamCounts()
    versions: dict[str, str] = {}
    for first, attempts in streams.items():
        seen = [
            (version, record) for record in attempts for _, version in record.events()
        ]
        versions[first] = seen[0][0] if seen else ""
        if any(version != versions[first] for version, _ in seen):
            counts.mixed += 1
            counts.mixed_within += any(
                len({version for _, version in one.events()}) > 1 for one in attempts
            )
            other = next(one for version, one in seen if version != versions[first])
            counts.mixed_at[other.build] += 1
            story = ", ".join(
                f"{one.attempt} at {one.gateway} ({one.sent_s:.2f} s): "
                + " ".join(f"{number} {version}" for number, version in one.events())
                for one in attempts
            )
            found.append(f"a stream of several software versions: {story}")
    for record in records:
        if record.kind != RESUMABLE:
            continue
        done = record.status == 200 and (record.whole or bool(record.events()))
        if not record.resumes:
            if done or not record.left:
                counts.began.add(done)
            continue
        if record.left and not done:
            continue
        counts.went_on.add(done)
        counts.refused += record.whole and record.status != 200
        in_touch = remembers(record.gateway, record.sent_s - STABLE_S, record.ended_s)
        version = versions[record.resumes]
        if in_touch and _served(lifetimes, version, record) >= 2:
            counts.went_on_of_served.add(done)
    found += _check_shares(counts)
    return found, counts


def _served(lifetimes: list[Lifetime], version: str, record: Received) -> int:
    """Return how many workers of a version served all the time of an attempt."""
    return sum(
        lifetime.version == version
        and lifetime.from_s < record.sent_s - KNOWN_S
        and lifetime.until_s > record.ended_s
        for lifetime in lifetimes
    )


def _check_shares(counts: StreamCounts) -> list[str]:
    went_on, began = counts.went_on_of_served, counts.began
    if went_on.count < FEWEST_RESUMED or went_on.rate >= WENT_ON_FACTOR * began.rate:
        return []
    return [f"{went_on} resumed streams went on, and {began} new ones began"]
