"""Limits that workers named: how many requests a second they take from all instances.

This answers the load on workers in need, which ask for less than their share of it. The
dispatcher of a service paces the requests of all instances; see `wait_ms`. Instances
may disagree about the dispatcher for some seconds, so dispatchers report their sends to
one another and count those of the others; see `merge_sends`.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ..core.clock import to_s
from ..wire.messages.gateway import (
    Heartbeat,
    LimitedSends,
    LimitedWorker,
    WorkerLimitEntry,
)
from .brittle_workers import BrittleWorkers
from .cold_workers import ColdWorkers
from .limited_sends import RECENT_SENDS_MS, NewSends, SendCounts
from .models import AttemptId, ResponseMetadata, Worker, WorkerKey
from .shared_rooms import SharedRooms
from .worker_pace import MIN_LIMIT_PER_S, ColdPace, Pace

BURST_MS = 200.0
"""Time by which a send may be ahead of a steady pace, so that periodic checks of the
queue lose no rate."""

UNREPORTED_MS = 1_000.0
"""Time in which other dispatchers may have sent what they have not reported yet."""

JOIN_WAIT_MS = 250.0
"""Time in which a dispatcher that joins another one at a cold worker sends nothing:
until the next report of its sends arrives."""

FIRST_REPORT_MS = 1_000.0
"""The first report of a dispatcher counts at most what the limit allows in this time,
since its sends may be old."""

COLD_KNOWN_MS = 10_000.0
"""Time after a worker was cold in which its sends count as those to a cold one: longer
than sends are reported."""

MAX_LIMITS = 2_000
"""Number of limits that an instance remembers; the oldest are forgotten first."""

BEFORE_ALL_S = float("-inf")
"""Time of a request of which it is not known when it was sent."""


@dataclass(eq=False, kw_only=True)
class NamedLimit(Pace):
    """The limit that one incarnation of a worker named.

    Parameters
    ----------
    named_s : float
        When an answer last named a limit, in seconds of this instance's clock.
    attempt : AttemptId
        Attempt in whose answer it was named; empty if another instance received it.
    """

    named_s: float
    attempt: AttemptId
    burst_ms: float = BURST_MS


class WorkerLimits:
    """Records the limits in force, as answers name them and cease to name them.

    Answers overtake one another. A lower limit therefore applies at once, but only the
    answer to a request that was sent after a limit had last been named may raise it or
    end it.

    Parameters
    ----------
    log : callable
        Writes a log event, given as a kind and fields.
    reachable_share : callable
        Returns the share of the listed instances that are up as seen from here. The
        others may be served by another dispatcher, which paces their share.
    own : str, optional
        Incarnation of this instance, under which its sends are reported.
    cold : ColdWorkers, optional
        Decides which workers are cold. These are paced like limited ones; of two
        limits the lower one counts.
    report_ms : callable
        Returns the period at which dispatchers report to one another; 0 if there are
        no other instances.
    """

    def __init__(
        self,
        log: Callable[..., None] = lambda kind, **fields: None,
        reachable_share: Callable[[], float] = lambda: 1.0,
        own: str = "",
        cold: ColdWorkers | None = None,
        report_ms: Callable[[], float] = lambda: 0.0,
    ):
        self.brittle = BrittleWorkers(log, SharedRooms(own, report_ms))
        self._cold = cold
        self._log = log
        self._reachable_share = reachable_share
        self._limits: dict[WorkerKey, NamedLimit] = {}
        self._ended_s: dict[WorkerKey, float] = {}
        """When the requests were sent whose answers ended a limit."""
        self._sends = SendCounts(own)
        self._own = own
        self._cold_seen_s: dict[WorkerKey, float] = {}
        """When workers were last seen cold as sends were counted; oldest first."""

    def observe(
        self,
        worker: Worker,
        response: ResponseMetadata,
        now_s: float,
        sent_s: float | None = None,
    ) -> None:
        """Record what an answer says of a worker's limit.

        Parameters
        ----------
        worker : Worker
            The worker that answered.
        response : ResponseMetadata
            Its answer.
        now_s : float
            Current time.
        sent_s : float, optional
            When the request was sent, if the answer is the worker's own and whole
            answer to it; without a limit it says that the worker has none.
        """
        if self._cold is not None:
            self._cold.observe(worker, response, sent_s)
        for value in response.malformed_limits:
            self._log("worker_limit_ignored", worker=worker.id, value=value)
        attempt = AttemptId(response.attempt or "")
        if response.limit_per_s is not None:
            asked_s = BEFORE_ALL_S if sent_s is None else sent_s
            self.record(
                worker.key, response.limit_per_s, now_s, asked_s, "answer", attempt
            )
        elif sent_s is not None and not response.malformed_limits:
            self.record_none(worker.key, sent_s, "answer", attempt)

    def record(
        self,
        key: WorkerKey,
        per_s: float,
        named_s: float,
        sent_s: float,
        origin: str,
        attempt: AttemptId = AttemptId(""),
        told_s: float | None = None,
    ) -> None:
        """Record that an answer to a request sent at `sent_s` named a limit.

        `told_s` is when a peer told of it, if the answer is not this instance's own.
        """
        known = self._limits.get(key)
        if known is None:
            if named_s > self._ended_s.get(key, BEFORE_ALL_S):
                owed = _owed_at_first(per_s, named_s, told_s)
                from_s = named_s if told_s is None else told_s
                limit = NamedLimit(
                    per_s=per_s,
                    owed=owed,
                    paced_until_s=from_s,
                    named_s=named_s,
                    attempt=attempt,
                )
                self._add(key, limit)
                self._log_named(key, per_s, origin, attempt)
            return
        lowers = per_s < known.per_s and named_s >= known.named_s
        raises = per_s > known.per_s and sent_s > known.named_s
        if lowers or raises:
            known.per_s, known.attempt = per_s, attempt
            self._log_named(key, per_s, origin, attempt)
        known.named_s = max(known.named_s, named_s)

    def record_none(
        self,
        key: WorkerKey,
        sent_s: float,
        origin: str,
        attempt: AttemptId = AttemptId(""),
    ) -> None:
        """Record that an answer to a request sent at `sent_s` named no limit."""
        known = self._limits.get(key)
        if known is None or sent_s <= known.named_s:
            return
        del self._limits[key]
        self._ended_s[key] = sent_s
        _forget_oldest(self._ended_s)
        self._log("worker_limit_ended", worker=key, origin=origin, request=attempt)

    def merge(
        self, peer: str, entries: Iterable[WorkerLimitEntry], now_s: float
    ) -> None:
        """Record the limits that a peer knows."""
        for entry in entries:
            named_s = now_s - to_s(max(0.0, entry.age_ms))
            self.record(
                WorkerKey(entry.worker),
                entry.per_s,
                named_s,
                BEFORE_ALL_S,
                f"peer {peer}",
                told_s=now_s,
            )

    def merge_sends(
        self, peer: str, reports: Iterable[LimitedSends], now_s: float
    ) -> None:
        """Count the sends of other dispatchers that a peer reported."""
        for new in self._sends.merge(reports, now_s):
            paces = self._paces(new.key)
            self._note_cold(new.key, paces, now_s)
            for pace in paces:
                self._count_others(pace, new, now_s)
            if paces and self._sends.should_log(new, now_s):
                self._log(
                    "worker_limit_shared",
                    worker=new.key,
                    dispatcher=new.dispatcher,
                    origin=f"peer {peer}",
                    sends=new.count,
                )

    def merge_heartbeat(self, peer: str, heartbeat: Heartbeat, now_s: float) -> None:
        """Record what a peer reported of limited and brittle workers."""
        self.merge_sends(peer, heartbeat.limited_sends, now_s)
        self.brittle.merge_use(peer, heartbeat.brittle_use, now_s)

    def _count_others(self, pace: Pace, new: NewSends, now_s: float) -> None:
        pace_per_s = self._advance(pace, now_s)
        count = new.count
        if new.is_first_report:
            count = min(count, pace_per_s * to_s(FIRST_REPORT_MS))
        most = max(pace.owed, 1.0 + pace_per_s * to_s(RECENT_SENDS_MS))
        pace.owed = min(pace.owed + count, most)
        if isinstance(pace, ColdPace):
            pace.record_others(new.dispatcher, count, now_s)

    def reported_sends(self, now_s: float) -> tuple[LimitedSends, ...]:
        """Return the recent sends to limited workers, for a message to a peer."""
        reports = self._sends.reports(now_s)
        if not self._cold_seen_s:
            return reports
        return tuple(one for one in reports if self._is_reported(one, now_s))

    def _is_reported(self, report: LimitedSends, now_s: float) -> bool:
        """Return whether peers need to know of sends.

        Whole data centres are cold at once, and heartbeats of all instances that handed
        on the sends to all their workers filled slow links. So only the dispatcher
        itself reports its sends to cold workers.
        """
        key = WorkerKey(report.worker)
        seen_s = self._cold_seen_s.get(key, BEFORE_ALL_S)
        if self.find(key) is not None or now_s - seen_s > to_s(COLD_KNOWN_MS):
            return True
        return report.dispatcher == self._own

    def _note_cold(self, key: WorkerKey, paces: tuple[Pace, ...], now_s: float) -> None:
        """Record that a worker was cold when sends to it were counted."""
        if any(isinstance(pace, ColdPace) for pace in paces):
            self._cold_seen_s.pop(key, None)
            self._cold_seen_s[key] = now_s
            _forget_oldest(self._cold_seen_s)

    def is_pacing(self, now_s: float) -> bool:
        """Return whether this instance lately used a limited or brittle worker."""
        return self._sends.is_sending(now_s) or self.brittle.is_used(now_s)

    def entries(
        self, workers: Iterable[Worker], now_s: float
    ) -> tuple[WorkerLimitEntry, ...]:
        """Return the limits of workers, for a message to a peer."""
        return tuple(
            WorkerLimitEntry(key, limit.per_s, (now_s - limit.named_s) * 1_000.0)
            for key, limit in self.in_force(worker.key for worker in workers).items()
        )

    def describe(
        self, workers: Iterable[Worker], now_s: float
    ) -> tuple[LimitedWorker, ...]:
        """Return limits and recent sends of the limited workers among `workers`."""
        return tuple(
            LimitedWorker(worker.id, lowest.per_s, lowest.recent_sends(now_s))
            for worker in workers
            if (lowest := self._lowest(worker.key)) is not None
        )

    def forget(self, key: str, origin: str) -> None:
        """Forget a limit that a dispatcher has seen end."""
        if self._limits.pop(WorkerKey(key), None) is not None:
            self._log("worker_limit_ended", worker=key, origin=origin)

    def find(self, key: str) -> NamedLimit | None:
        """Return the limit that a worker has named; None if it has named none."""
        return self._limits.get(WorkerKey(key))

    def in_force(self, keys: Iterable[str]) -> dict[WorkerKey, NamedLimit]:
        """Return the limits of those workers of `keys` that have one."""
        if not self._limits:
            return {}
        return {
            WorkerKey(key): limit
            for key in keys
            if (limit := self.find(key)) is not None
        }

    def named_by(self, workers: Iterable[Worker]) -> list[tuple[str, str, float]]:
        """Return service, id and limit of the workers that have named one."""
        return [
            (worker.service, worker.id, limit.per_s)
            for worker in workers
            if (limit := self.find(worker.key)) is not None
        ]

    def limit_per_s(self, key: str) -> float | None:
        """Return what a worker takes a second, by its limit and if it is cold."""
        lowest = self._lowest(key)
        return None if lowest is None else lowest.per_s

    def is_cold(self, key: str) -> bool:
        """Return whether a worker is limited since it is cold."""
        return self._cold is not None and self._cold.pace(key) is not None

    def are_all_limited(self, workers: Sequence[Worker]) -> bool:
        """Return whether there are workers and each is limited or cold."""
        return bool(workers) and all(self._paces(worker.key) for worker in workers)

    def rate_per_ms(self, key: str) -> float:
        """Return how many requests a worker may get a millisecond; may be infinite."""
        lowest = self._lowest(key)
        return math.inf if lowest is None else self._rate_per_s(lowest) / 1_000.0

    def wait_ms(self, key: str, now_s: float, share: float = 1.0) -> float:
        """Return after what time a worker may get its next request.

        `share` is the part of the limit that may be used.
        """
        longest_ms = 0.0
        for pace in self._paces(key):
            rate_per_s = self._advance(pace, now_s, share)
            if isinstance(pace, ColdPace):
                self._count_unreported(WorkerKey(key), pace, rate_per_s, now_s)
            longest_ms = max(longest_ms, pace.wait_ms(rate_per_s))
        return longest_ms

    def _count_unreported(
        self, key: WorkerKey, pace: ColdPace, rate_per_s: float, now_s: float
    ) -> None:
        """Count what another dispatcher may not have reported when this one joins it.

        The bound of cold workers counts in windows of 1 s, which such sends may fill.
        """
        if now_s - pace.joined_s < to_s(UNREPORTED_MS):
            return
        if self._sends.joins(key, now_s, UNREPORTED_MS):
            pace.joined_s = now_s
            owed = rate_per_s * to_s(JOIN_WAIT_MS + pace.burst_ms)
            pace.owed = max(pace.owed, owed)

    def record_send(self, key: str, now_s: float, share: float = 1.0) -> None:
        """Count a request that is granted or sent to a worker."""
        paces = self._paces(key)
        for pace in paces:
            self._advance(pace, now_s, share)
            pace.record_send(now_s)
        if paces:
            self._note_cold(WorkerKey(key), paces, now_s)
            self._sends.record_own(WorkerKey(key), now_s)

    def _paces(self, key: str) -> tuple[Pace, ...]:
        """Return the paces of a worker: of its limit, and of a cold worker."""
        named = self.find(key) if self._limits else None
        cold = self._cold.pace(key) if self._cold is not None else None
        if named is None:
            return () if cold is None else (cold,)
        return (named,) if cold is None else (named, cold)

    def _lowest(self, key: str) -> Pace | None:
        paces = self._paces(key)
        return min(paces, key=lambda pace: pace.per_s, default=None)

    def _advance(self, pace: Pace, now_s: float, share: float = 1.0) -> float:
        """Reduce what is owed by the pace since the last time, and return its rate."""
        rate_per_s = share * self._rate_per_s(pace)
        pace.advance(now_s, rate_per_s)
        return rate_per_s

    def _rate_per_s(self, pace: Pace) -> float:
        return max(MIN_LIMIT_PER_S, pace.per_s * self._reachable_share())

    def _add(self, key: WorkerKey, limit: NamedLimit) -> None:
        self._limits[key] = limit
        _forget_oldest(self._limits)

    def _log_named(
        self, key: WorkerKey, per_s: float, origin: str, attempt: AttemptId
    ) -> None:
        self._log(
            "worker_limit",
            worker=key,
            limit_per_s=per_s,
            origin=origin,
            request=attempt,
        )


class LimitsView(WorkerLimits):
    """Limits as they are at one moment, for decisions that are not carried out.

    It decides as the limits of which it is made, and changes nothing in them: `wait_ms`
    there counts the time that has passed, and when an instance joins others.

    Parameters
    ----------
    limits : WorkerLimits
        The limits in force.
    """

    def __init__(self, limits: WorkerLimits):
        self.__dict__.update(limits.__dict__)
        self._copies: dict[str, tuple[Pace, ...]] = {}

    def is_cold(self, key: str) -> bool:
        """Return whether a worker is limited since it is cold."""
        return any(isinstance(pace, ColdPace) for pace in self._paces(key))

    def _paces(self, key: str) -> tuple[Pace, ...]:
        known = self._copies.get(key)
        if known is None:
            named = self.find(key)
            cold = self._cold.peek_pace(key) if self._cold is not None else None
            paces = (None if named is None else named.copy(), cold)
            known = tuple(pace for pace in paces if pace is not None)
            self._copies[key] = known
        return known


def _forget_oldest(table: dict) -> None:
    if len(table) > MAX_LIMITS:
        del table[next(iter(table))]


def _owed_at_first(per_s: float, named_s: float, told_s: float | None) -> float:
    """Return the requests that count as sent when a limit becomes known.

    What was sent just before is not known, so nothing is due at once.
    """
    pace_per_s = max(MIN_LIMIT_PER_S, per_s)
    wait_s = interval_s = 1.0 / pace_per_s
    if told_s is not None:
        wait_s = max(
            interval_s - (told_s - named_s), min(interval_s, to_s(UNREPORTED_MS))
        )
    return pace_per_s * (wait_s + to_s(BURST_MS))
