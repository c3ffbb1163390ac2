"""What is known of the load of workers: reported slowdowns, and what was sent since.

Handles machines that are slow for a while, or always. A worker says in its answers how
long work takes there at this moment. The figure changes many times a second, so it
counts fully only while it is fresh; after that, what counts is its average over some
seconds, and later on the usual speed. What was sent to a worker is known from the
reservations of its slots; it is weighed by its remaining cost where costs differ.
"""

import math
from collections.abc import Collection, Iterable

from ...wire.messages.gateway import ReportedLoad
from ..models import Worker, WorkerLoad
from .slot_requests import SlotReservation

FRESH_MS = 150.0
"""Age at which the weight of a report has fallen to a third: after half a second it
says next to nothing of the moment."""

AVERAGE_MS = 2_000.0
"""Time over which reports are averaged: shorter than most changes of a machine's speed,
and many times as long as the fluctuations."""

FORGET_MS = 4_000.0
"""Time without reports in which the difference of a worker's average from the usual
speed falls to a third. A worker that is avoided since it was slow sends no reports; it
is tried again after as long."""


COUNT_WEIGHT = 0.8
"""Weight of the number of a worker's requests in its backlog, beside what they are
expected to still cost. Requests share their machine, so a new cheap one is delayed by
the number of the others more than by their length. With one request in ten fifty times
as expensive and 2 of 4 requests of a worker at full speed, p99 is 582 and 718 ms (two
rates, means of six seeds) with 0.8, and 581 and 740 ms with 1."""

BACKLOG_AGE_SHARE = 0.1
MAX_BACKLOG_AGE_MS = 20.0
"""Age up to which a backlog is used again: a tenth of the average cost, which changes
it by no more than a tenth of each request."""


class _Reports:
    __slots__ = ("average", "last", "last_s", "load")

    def __init__(self, load: ReportedLoad, slowdown: float, now_s: float):
        self.load = load
        self.last = self.average = slowdown
        self.last_s = now_s


def reported_load(load: WorkerLoad | ReportedLoad) -> ReportedLoad:
    """Return a worker's load as messages between instances carry it."""
    return ReportedLoad(load.running, load.waiting, load.slots, load.slowdown)


class WorkerLoads:
    """Reported slowdowns of workers, by their keys.

    A key changes when the worker restarts, so a restarted worker has no history.
    """

    def __init__(self):
        self._reports: dict[str, _Reports] = {}

    def __bool__(self) -> bool:
        return bool(self._reports)

    def record(
        self, key: str, load: WorkerLoad | ReportedLoad | None, now_s: float
    ) -> None:
        """Record what an answer of a worker said; nothing without a slowdown."""
        if load is None or load.slowdown is None:
            return
        reported = reported_load(load)
        known = self._reports.get(key)
        if known is None:
            self._reports[key] = _Reports(reported, load.slowdown, now_s)
            return
        age_ms = max(0.0, now_s - known.last_s) * 1_000.0
        weight = 1.0 - math.exp(-age_ms / AVERAGE_MS)
        known.average += weight * (load.slowdown - known.average)
        known.last, known.last_s, known.load = load.slowdown, now_s, reported

    def slowdown(self, key: str, now_s: float) -> float | None:
        """Return a worker's expected slowdown now; None if it reports none."""
        known = self._reports.get(key)
        if known is None:
            return None
        age_ms = max(0.0, now_s - known.last_s) * 1_000.0
        average = 1.0 + (known.average - 1.0) * math.exp(-age_ms / FORGET_MS)
        return average + (known.last - average) * math.exp(-age_ms / FRESH_MS)

    def average(self, key: str) -> float:
        """Return a worker's average slowdown when it last reported; 1.0 without one."""
        known = self._reports.get(key)
        return 1.0 if known is None else known.average

    def recent(self, key: str, now_s: float) -> ReportedLoad | None:
        """Return the last report of a worker if it is fresh."""
        known = self._reports.get(key)
        if known is None or (now_s - known.last_s) * 1_000.0 > FRESH_MS:
            return None
        return known.load

    def age_ms(self, key: str, now_s: float) -> float | None:
        """Return the age of a worker's last report; None if there is none."""
        known = self._reports.get(key)
        return None if known is None else (now_s - known.last_s) * 1_000.0

    def named_by(self, workers: Iterable[Worker]) -> Iterable[tuple[str, str, float]]:
        """Yield service, id and average slowdown of the workers that report one."""
        for worker in workers:
            if worker.key in self._reports:
                yield worker.service, worker.id, self.average(worker.key)

    def keep_only(self, keys: Collection[str]) -> None:
        """Remove the reports of all other workers."""
        for key in self._reports.keys() - set(keys):
            del self._reports[key]


class WorkerBacklogs:
    """Expected backlogs of workers whose requests differ in cost."""

    def __init__(self):
        self._known: dict[str, tuple[int, float, float]] = {}
        """Number of a worker's requests, until when it is used, and its backlog."""

    def backlog_ms(
        self,
        key: str,
        held: Collection[SlotReservation],
        slowdown: float,
        average_ms: float,
        now_s: float,
    ) -> float:
        """Return the backlog of a worker at the usual speed.

        `held` are its reserved slots, and `average_ms` is the average cost.
        """
        known = self._known.get(key)
        if known is not None and known[0] == len(held) and now_s < known[1]:
            return known[2]
        backlog_ms = COUNT_WEIGHT * average_ms * len(held)
        for reservation in held:
            remaining_ms = average_ms
            if reservation.cost is not None:
                speed = 0.5 * (slowdown + reservation.slowdown)
                done_ms = (now_s - reservation.granted_s) * 1_000.0 / speed
                remaining_ms = reservation.cost.remaining_ms(done_ms)
            backlog_ms += (1.0 - COUNT_WEIGHT) * remaining_ms
        age_ms = min(MAX_BACKLOG_AGE_MS, BACKLOG_AGE_SHARE * average_ms)
        self._known[key] = len(held), now_s + age_ms / 1_000.0, backlog_ms
        return backlog_ms

    def copy(self) -> "WorkerBacklogs":
        """Return a copy, whose use does not change this one."""
        copied = WorkerBacklogs()
        copied._known.update(self._known)
        return copied

    def keep_only(self, keys: Collection[str]) -> None:
        """Remove the backlogs of all other workers."""
        for key in self._known.keys() - set(keys):
            del self._known[key]
