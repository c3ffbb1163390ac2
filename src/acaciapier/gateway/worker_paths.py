"""Decides whether connections to workers are opened directly or through a tunnel."""

import math
from collections.abc import Callable
from enum import Enum

from ..core.clock import Clock, to_s
from .models import ServiceName, Worker, WorkerKey

MIN_FAILED_WORKERS = 2
"""Distinct workers whose direct connections must fail before the cause is taken to be
this instance's link. One failing worker among others is its own fault."""

FAILURE_EXPIRY_MS = 5_000.0
"""Failures at different workers count together within this time."""

UNREACHABLE_TTL_MS = 1_000.0
"""For how long a worker that another instance could not reach is not tried again."""

RECURRENCE_MS = 5_000.0
"""A partition that begins within this time after the last one ended recurs."""

RECURRENT_END_MS = 2_000.0
"""For how long direct connections must succeed until a recurrent partition ends."""


class WorkerPath(Enum):
    """How the next connection to a worker is opened."""

    DIRECT = "direct"
    TUNNEL = "tunnel"
    UNREACHABLE = "unreachable"
    """Another instance has not reached the worker either."""


class WorkerPaths:
    """Concludes from failed direct connections that this instance is partitioned.

    The conclusion holds for the workers of a service, or for all workers, until a
    direct connection to one of them succeeds. One that follows another shortly holds
    until they have succeeded for a while, so that links that come and go are not used.

    Parameters
    ----------
    clock : Clock
        Source of time.
    workers : callable
        Returns the listed workers.
    on_change : callable
        Called with an event name and its fields when a conclusion changes.
    """

    def __init__(
        self,
        clock: Clock,
        workers: Callable[[], list[Worker]],
        on_change: Callable[..., None] = lambda kind, **fields: None,
    ):
        self._clock = clock
        self._workers = workers
        self._on_change = on_change
        self._failures: dict[WorkerKey, tuple[ServiceName, float]] = {}
        """Service and time of failures since the last success at the worker's service;
        oldest first."""
        self._partitioned_since_s: dict[ServiceName, float] = {}
        self._all_since_s: float | None = None
        self._last_success_s = -math.inf
        self._ended_s = -math.inf
        """When the last conclusion ended."""
        self._recurrent = False
        self._successful_since_s: float | None = None
        """Time of the first success since the last failure of the links."""
        self._failing: set[WorkerKey] = set()
        """Workers that failed during the present conclusion and were not reached since;
        another failure of one of them says nothing about the links."""
        self._unreachable_until_s: dict[WorkerKey, float] = {}

    @property
    def partitioned(self) -> bool:
        """Whether the workers of any service are out of reach."""
        return self._all_since_s is not None or bool(self._partitioned_since_s)

    @property
    def partitioned_lately(self) -> bool:
        """Whether a partition would recur if it began now."""
        recurs_until_s = self._ended_s + to_s(RECURRENCE_MS)
        return self.partitioned or self._clock.monotonic_s() < recurs_until_s

    @property
    def partitioned_from_all(self) -> bool:
        """Whether all workers are out of reach."""
        return self._all_since_s is not None

    def partitioned_services(self) -> list[ServiceName]:
        """Return the services with listed workers that are out of reach."""
        listed = dict.fromkeys(worker.service for worker in self._workers())
        return [name for name in listed if self.since_s(name) is not None]

    def since_s(self, service: ServiceName) -> float | None:
        """Return since when the workers of a service are out of reach, if they are."""
        since_s = self._partitioned_since_s.get(service)
        if since_s is None:
            return self._all_since_s
        return since_s if self._all_since_s is None else min(since_s, self._all_since_s)

    def choose(self, worker: Worker) -> WorkerPath:
        """Return how the next connection to a worker is opened."""
        if self.since_s(worker.service) is None:
            return WorkerPath.DIRECT
        until_s = self._unreachable_until_s.get(worker.key)
        if until_s is not None and self._clock.monotonic_s() < until_s:
            return WorkerPath.UNREACHABLE
        return WorkerPath.TUNNEL

    def record_success(self, worker: Worker) -> None:
        """Record that a direct connection to a worker was opened."""
        service = worker.service
        self._failing.discard(worker.key)
        self._last_success_s = self._clock.monotonic_s()
        self._unreachable_until_s.pop(worker.key, None)
        for key in [
            key for key, known in self._failures.items() if known[0] == service
        ]:
            del self._failures[key]
        if self._successful_since_s is None:
            self._successful_since_s = self._last_success_s
        successful_s = self._last_success_s - self._successful_since_s
        if self._recurrent and successful_s < to_s(RECURRENT_END_MS):
            return
        restored = self._partitioned_since_s.pop(service, None) is not None
        if self._all_since_s is not None:
            self._all_since_s = None
            restored = True
        if restored:
            self._failing.clear()
            self._ended_s = self._last_success_s
            self._on_change("workers_reachable", worker=worker.id, service=service)

    def record_failure(self, worker: Worker, reason: str) -> None:
        """Record that a direct connection to a worker could not be opened."""
        now_s = self._clock.monotonic_s()
        oldest_s = now_s - to_s(FAILURE_EXPIRY_MS)
        if worker.key not in self._failing:
            self._successful_since_s = None
        if self.partitioned:
            self._failing.add(worker.key)
        self._failures.pop(worker.key, None)
        self._failures[worker.key] = (worker.service, now_s)
        for key, (_, failed_s) in list(self._failures.items()):
            if failed_s < oldest_s:
                del self._failures[key]
        self._conclude(worker.service, reason)

    def record_unreachable(self, worker: Worker) -> None:
        """Record that another instance could not reach a worker either."""
        now_s = self._clock.monotonic_s()
        self._unreachable_until_s = {
            key: until_s
            for key, until_s in self._unreachable_until_s.items()
            if until_s > now_s
        }
        self._unreachable_until_s[worker.key] = now_s + to_s(UNREACHABLE_TTL_MS)

    def _conclude(self, service: ServiceName, reason: str) -> None:
        if not self.partitioned:
            self._recurrent = self.partitioned_lately
        listed = {worker.key: worker.service for worker in self._workers()}
        failed = {key: known for key, known in self._failures.items() if key in listed}
        of_service = [since_s for name, since_s in failed.values() if name == service]
        listed_of_service = sum(name == service for name in listed.values())
        if (
            service not in self._partitioned_since_s
            and len(of_service) >= min(MIN_FAILED_WORKERS, listed_of_service) > 0
        ):
            self._partitioned_since_s[service] = min(of_service)
            self._on_change(
                "workers_unreachable",
                service=service,
                failed_workers=len(of_service),
                reason=reason,
            )
        failed = {
            key: known
            for key, known in failed.items()
            if known[1] > self._last_success_s
        }
        services = {name for name, _ in failed.values()}
        all_services = len(set(listed.values()))
        if (
            self._all_since_s is None
            and len(failed) >= min(MIN_FAILED_WORKERS, len(listed)) > 0
            and len(services) >= min(MIN_FAILED_WORKERS, all_services)
        ):
            self._all_since_s = min(since_s for _, since_s in failed.values())
            self._on_change(
                "workers_unreachable",
                service="all",
                failed_workers=len(failed),
                reason=reason,
            )
