"""Limits that workers named: how many requests a second they take from all instances.

This answers the load on workers in need, which ask for less than their share of it.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..core.clock import to_s
from .models import AttemptId, ResponseMetadata, Worker, WorkerKey

RECENT_SENDS_MS = 4_000.0
"""Time over which the sends to a worker are counted for logs and metrics; the users'
rule on limits counts over as long."""

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
    sends_s: deque[float] = field(default_factory=deque)


class WorkerLimits:
    """Records the limits in force, as answers name them and cease to name them.

    Answers overtake one another. A lower limit therefore applies at once, but only the
    answer to a request that was sent after a limit had last been named may raise it or
    end it.

    Parameters
    ----------
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(self, log: Callable[..., None] = lambda kind, **fields: None):
        self._log = log
        self._limits: dict[WorkerKey, NamedLimit] = {}
        self._ended_s: dict[WorkerKey, float] = {}
        """When the requests were sent whose answers ended a limit."""

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
    ) -> None:
        """Record that an answer to a request sent at `sent_s` named a limit."""
        known = self._limits.get(key)
        if known is None:
            if named_s > self._ended_s.get(key, BEFORE_ALL_S):
                self._add(key, NamedLimit(per_s, named_s, attempt))
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

    def record_send(self, key: str, now_s: float) -> None:
        """Count a request that is sent to a worker."""
        limit = self.find(key)
        if limit is not None:
            limit.sends_s.append(now_s)
            self.recent_sends(key, now_s)

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
