"""Limits that workers named: how many requests a second they take from all instances.

This answers the load on workers in need, which ask for less than their share of it. The
dispatcher of a service paces the requests of all instances; see `wait_ms`. Instances
may disagree about the dispatcher for some seconds, so dispatchers report their sends to
one another and count those of the others; see `merge_sends`.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..core.clock import to_s
from ..wire.messages.gateway import LimitedSends, LimitedWorker, WorkerLimitEntry
from .brittle_workers import BrittleWorkers
from .limited_sends import RECENT_SENDS_MS, SendCounts
from .models import AttemptId, ResponseMetadata, Worker, WorkerKey

MIN_LIMIT_PER_S = 0.1
"""Rate at which a worker with a lower limit is still used, since only an answer tells
that its limit has ended."""

BURST_MS = 200.0
"""Time by which a send may be ahead of a steady pace, so that periodic checks of the
queue lose no rate."""

UNREPORTED_MS = 1_000.0
"""Time in which other dispatchers may have sent what they have not reported yet."""

FIRST_REPORT_MS = 1_000.0
"""The first report of a dispatcher counts at most what the limit allows in this time,
since its sends may be old."""

MAX_LIMITS = 2_000
"""Number of limits that an instance remembers; the oldest are forgotten first."""

BEFORE_ALL_S = float("-inf")
"""Time of a request of which it is not known when it was sent."""


@dataclass(eq=False)
class NamedLimit:
    """The limit that one incarnation of a worker named.

    Parameters
    ----------
    per_s : float
        Requests a second that it takes from all instances.
    named_s : float
        When an answer last named a limit, in seconds of this instance's clock.
    attempt : AttemptId
        Attempt in whose answer it was named; empty if another instance received it.
    """

    per_s: float
    named_s: float
    attempt: AttemptId
    owed: float
    """Requests that were sent ahead of a steady pace (a leaky bucket)."""
    paced_until_s: float
    """Up to when `owed` has been reduced by the pace."""
    sends_s: deque[float] = field(default_factory=deque)
    """Times of the recent sends."""


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
    """

    def __init__(
        self,
        log: Callable[..., None] = lambda kind, **fields: None,
        reachable_share: Callable[[], float] = lambda: 1.0,
        own: str = "",
    ):
        self.brittle = BrittleWorkers(log)
        self._log = log
        self._reachable_share = reachable_share
        self._limits: dict[WorkerKey, NamedLimit] = {}
        self._ended_s: dict[WorkerKey, float] = {}
        """When the requests were sent whose answers ended a limit."""
        self._sends = SendCounts(own)

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
                self._add(key, NamedLimit(per_s, named_s, attempt, owed, from_s))
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
            limit = self._limits.get(new.key)
            if limit is None:
                continue
            pace_per_s = self._advance(limit, now_s)
            count = new.count
            if new.is_first_report:
                count = min(count, pace_per_s * to_s(FIRST_REPORT_MS))
            most = max(limit.owed, 1.0 + pace_per_s * to_s(RECENT_SENDS_MS))
            limit.owed = min(limit.owed + count, most)
            if self._sends.should_log(new, now_s):
                self._log(
                    "worker_limit_shared",
                    worker=new.key,
                    dispatcher=new.dispatcher,
                    origin=f"peer {peer}",
                    sends=new.count,
                )

    def reported_sends(self, now_s: float) -> tuple[LimitedSends, ...]:
        """Return the recent sends to limited workers, for a message to a peer."""
        return self._sends.reports(now_s)

    def is_pacing(self, now_s: float) -> bool:
        """Return whether this instance lately sent requests to a limited worker."""
        return self._sends.is_sending(now_s)

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
            LimitedWorker(worker.id, limit.per_s, self.recent_sends(worker.key, now_s))
            for worker in workers
            if (limit := self.find(worker.key)) is not None
        )

    def forget(self, key: str, origin: str) -> None:
        """Forget a limit that a dispatcher has seen end."""
        if self._limits.pop(WorkerKey(key), None) is not None:
            self._log("worker_limit_ended", worker=key, origin=origin)

    def find(self, key: str) -> NamedLimit | None:
        """Return the limit of a worker; None if it has named none."""
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

    def rate_per_ms(self, key: str) -> float:
        """Return how many requests a worker may get a millisecond; may be infinite."""
        limit = self.find(key)
        return math.inf if limit is None else self._pace_per_s(limit) / 1_000.0

    def wait_ms(self, key: str, now_s: float, share: float = 1.0) -> float:
        """Return after what time a worker may get its next request.

        `share` is the part of the limit that may be used.
        """
        limit = self.find(key)
        if limit is None:
            return 0.0
        pace_per_s = self._advance(limit, now_s, share)
        return max(0.0, limit.owed / pace_per_s * 1_000.0 - BURST_MS)

    def record_send(self, key: str, now_s: float, share: float = 1.0) -> None:
        """Count a request that is granted or sent to a worker."""
        limit = self.find(key)
        if limit is None:
            return
        self._advance(limit, now_s, share)
        limit.owed += 1.0
        limit.sends_s.append(now_s)
        self.recent_sends(key, now_s)
        self._sends.record_own(WorkerKey(key), now_s)

    def _advance(self, limit: NamedLimit, now_s: float, share: float = 1.0) -> float:
        """Reduce what is owed by the pace since the last time, and return the pace."""
        pace_per_s = share * self._pace_per_s(limit)
        passed_s = max(0.0, now_s - limit.paced_until_s)
        limit.owed = max(0.0, limit.owed - passed_s * pace_per_s)
        limit.paced_until_s = max(limit.paced_until_s, now_s)
        return pace_per_s

    def _pace_per_s(self, limit: NamedLimit) -> float:
        return max(MIN_LIMIT_PER_S, limit.per_s * self._reachable_share())

    def recent_sends(self, key: str, now_s: float) -> int:
        """Return how many requests were sent to a limited worker lately."""
        limit = self.find(key)
        if limit is None:
            return 0
        while limit.sends_s and limit.sends_s[0] <= now_s - to_s(RECENT_SENDS_MS):
            limit.sends_s.popleft()
        return len(limit.sends_s)

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
