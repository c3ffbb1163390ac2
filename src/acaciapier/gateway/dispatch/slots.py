"""Allocation of worker slots for one service: which request gets a slot, and where."""

import math
from collections.abc import Callable, Collection, Iterable, Sequence

from ...core.clock import to_s
from ..engine_times import EngineTimes
from ..models import ServiceRule, SoftwareVersion, Worker
from ..settings import DEFAULT_PREFIX_REUSE_MS
from ..worker_limits import WorkerLimits
from .health import WorkerHealth
from .permit_confirmations import UNACCEPTED_PERMIT_TTL_MS
from .placement import Placement
from .reachability import Reachability
from .request_costs import CostKind
from .reservations import Reservations
from .slot_queue import SlotQueue
from .slot_requests import SlotRequest, SlotReservation
from .version_times import VersionTimes
from .worker_load import WorkerLoads

UNLISTED_PERMIT_MS = 1_000.0
"""Age from which a slot that its holder does not list is free."""

PERMIT_TTL_MS = 30_000.0
"""Time after which an unreleased slot becomes free: twice the longest deadline."""

RUN_MARGIN = 1.5
"""Time that a whole request is given to run, as a multiple of the average."""

OUTPUT_TOKEN_COST = 4.0
"""Cost of an output token in prompt tokens: while an engine generates a hundred tokens,
it prefills some four hundred fewer for others."""

MAX_RUN_SHARE = 0.8
"""Largest share of a request's remaining time that is kept for its run."""


class SlotAllocator:
    """Slots of the workers of one service.

    Parameters
    ----------
    rule : ServiceRule
        The service.
    prefix_reuse_ms : float
        Time since the last use of a prefix during which requests that share it are
        preferably sent to the worker that has it cached.
    limits : WorkerLimits, optional
        Paces the requests to workers that have named a limit.
    reachability : Reachability, optional
        Excludes workers for instances that do not reach them.
    loads : WorkerLoads, optional
        Slowdowns that workers report.
    """

    def __init__(
        self,
        rule: ServiceRule,
        prefix_reuse_ms: float = DEFAULT_PREFIX_REUSE_MS,
        limits: WorkerLimits | None = None,
        reachability: Reachability | None = None,
        loads: WorkerLoads | None = None,
    ):
        self._limits = limits or WorkerLimits()
        self.reachability = reachability or Reachability()
        self.queue = SlotQueue()
        self._version_times = VersionTimes()
        self._reservations = Reservations(self._limits)
        self.placement = Placement(
            rule,
            self._reservations,
            self._limits,
            self.reachability,
            prefix_reuse_ms,
            loads,
        )

    @property
    def health(self) -> WorkerHealth:
        """Health of the workers."""
        return self.placement.health

    @property
    def engine_times(self) -> EngineTimes:
        """Learned times of the service's engines."""
        return self.placement.engine_times

    @property
    def average_ms(self) -> float:
        """Average time of a call."""
        return self.placement.average_ms

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self.queue)

    @property
    def reserved(self) -> int:
        """Number of reserved slots."""
        return len(self._reservations)

    @property
    def reservations(self) -> Iterable[SlotReservation]:
        """The reserved slots."""
        return self._reservations.all

    def set_rule(self, rule: ServiceRule, prefix_reuse_ms: float) -> None:
        """Apply a changed configuration."""
        self.placement.rule = rule
        self.placement.prefix_reuse_ms = prefix_reuse_ms

    def slots(self, worker: Worker) -> int:
        """Return how many requests a worker runs concurrently."""
        return self.placement.slots(worker)

    def forecast_ms(
        self, request: SlotRequest, workers: Sequence[Worker], now_s: float
    ) -> float:
        """Return how long a new request would wait for its slot."""
        blocked_ms = {
            worker.key: self.blocked_ms(request.owner, worker, now_s)
            for worker in workers
        }
        open_workers = [worker for worker in workers if not blocked_ms[worker.key]]
        if not open_workers:
            return min(blocked_ms.values(), default=0.0)
        next_ms = min(
            self._limits.wait_ms(worker.key, now_s) for worker in open_workers
        )
        if not self.waiting:
            return next_ms
        ahead = self.queue.count_ahead(
            request,
            lambda waiting: (
                waiting.may_compete_with(request)
                and not self.reachability.may_be_partitioned(waiting.owner)
            ),
            now_s,
        )
        return max(next_ms, (ahead + 1) / self.placement.rate_per_ms(open_workers))

    def waits_ms(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[tuple[int, float], ...]:
        """Return how long new requests wait, by priority, if all workers are limited.

        Without limits requests wait only for a short time, or are refused.
        """
        if not self.all_limited(workers):
            return ()
        rate = self.placement.rate_per_ms(workers)
        next_ms = min(self._limits.wait_ms(worker.key, now_s) for worker in workers)
        priorities = sorted(waiting.priority for waiting in self.queue)
        waits = {0: next_ms}
        for ahead, priority in enumerate(priorities, 1):
            waits[priority] = max(next_ms, ahead / rate)
        return tuple(waits.items())

    def all_limited(self, workers: Sequence[Worker]) -> bool:
        """Return whether there are workers and each of them is limited or cold."""
        return self._limits.are_all_limited(workers)

    def turn_away(self, owner: str, key: str, until_s: float) -> None:
        """Record that a worker wants no requests from an instance until then."""
        self.reachability.turn_away(owner, key, until_s)

    def blocked_ms(self, owner: str, worker: Worker, now_s: float) -> float:
        """Return for how long a worker is not open to the requests of an instance."""
        return self.placement.blocked_ms(owner, worker, now_s)

    def add(self, request: SlotRequest) -> None:
        """Add a request that waits for `assign`."""
        self.queue.add(request)

    def cancel(self, permit: str) -> None:
        """Remove a waiting request."""
        self.pop(lambda request: request.permit == permit)

    def pop_all(self) -> list[SlotRequest]:
        """Remove and return all waiting requests, for another dispatcher."""
        return self.queue.pop_all()

    def pop(self, condition: Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        """Remove and return the waiting requests that meet a condition."""
        return self.queue.pop(condition)

    def pop_expired(self, now_s: float) -> list[SlotRequest]:
        """Remove and return the waiting requests that have expired."""
        return self.pop(lambda request: request.expires_s <= now_s)

    def pop_hopeless(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[SlotRequest]:
        """Remove and return the waiting requests that the limits leave no time for."""
        if not self.waiting or not self.all_limited(workers):
            return []
        return self.queue.pop_hopeless(self.placement.rate_per_ms(workers), now_s)

    def assign(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[tuple[SlotRequest, Worker]]:
        """Assign free slots to waiting requests, the most urgent first."""
        if not self.waiting:
            return []
        self._limits.brittle.record_waiting(workers, now_s, self.slots)
        assignments = []
        deferred = 0
        for request in self.queue.in_order(now_s):
            worker = self.placement.choose(request, workers, now_s, deferred)
            if worker is None:
                deferred += 1
                continue
            self.queue.remove(request, self._cost_of(request), now_s)
            self._reserve(request, worker, now_s)
            assignments.append((request, worker))
        return assignments

    def record_start(self, permit: str, elapsed_ms: float, now_s: float) -> bool:
        """Record the first part of an answer.

        Return whether the times of the service's engines were learned again.
        """
        reservation = self._reservations.find(permit)
        if reservation is None or reservation.started:
            return False
        reservation.started = True
        if not self.reachability.record_reached(
            reservation.owner, reservation.worker, reservation.granted_s, now_s
        ):
            reservation.pending_prefill_tokens = 0.0
            return False
        return self.placement.record_start(reservation, elapsed_ms, now_s)

    def reservation(self, permit: str) -> SlotReservation | None:
        """Return the slot that is reserved under a name."""
        return self._reservations.find(permit)

    def release(self, permit: str) -> SlotReservation | None:
        """Release a slot and return its reservation; None if it is not reserved."""
        return self._reservations.release(permit)

    def version_capacities(
        self, owner: str, workers: Sequence[Worker], now_s: float
    ) -> dict[SoftwareVersion, float]:
        """Return the requests a second that the versions can take.

        Only workers count that are open to the requests of an instance.
        """
        slots: dict[SoftwareVersion, int] = {}
        for worker in workers:
            healthy = self.health.usable(worker.key, now_s)
            if healthy and not self.blocked_ms(owner, worker, now_s):
                version = SoftwareVersion(worker.software_version)
                slots[version] = slots.get(version, 0) + self.slots(worker)
        return self._version_times.rates(slots)

    def record_duration(
        self,
        key: str,
        elapsed_ms: float,
        now_s: float,
        reservation: SlotReservation | None = None,
    ) -> None:
        """Record the time of a successful call for a released slot."""
        self.placement.record_duration(key, elapsed_ms, now_s, reservation)
        if reservation is not None and reservation.software_version is not None:
            self._version_times.record(reservation.software_version, elapsed_ms)

    def confirm(self, permit: str, now_s: float) -> None:
        """Record that the instance of a slot has its permit."""
        self._reservations.confirm(permit, now_s + to_s(PERMIT_TTL_MS))

    def release_overdue(self, now_s: float) -> dict[str, SlotReservation]:
        """Release and return the slots that nobody released or accepted in time."""
        return self._reservations.release_overdue(now_s)

    def latest_start_ms(self, expires_ms: float, whole: bool, kind: CostKind) -> float:
        """Return how long a request of a kind may wait for its slot.

        A whole request must also run before it expires. One that takes a large part of
        its time on average still waits a little, since averages are rough.
        """
        if not whole:
            return expires_ms
        learned = self.placement.costs.find(kind)
        cost_ms = self.average_ms if learned is None else learned.typical_ms
        run_ms = min(RUN_MARGIN * cost_ms, MAX_RUN_SHARE * expires_ms)
        return expires_ms - run_ms

    def restore(self, permit: str, reservation: SlotReservation) -> None:
        """Reserve a slot that another dispatcher has granted."""
        self._reservations.restore(permit, reservation)

    def release_owner(
        self, owner: str, kept: Collection[str] = (), before_s: float = math.inf
    ) -> dict[str, SlotReservation]:
        """Release and return the slots of an instance except `kept`, by permit."""
        return self._reservations.release_owner(owner, kept, before_s)

    def retain_workers(self, workers: Sequence[Worker]) -> None:
        """Remove the state of workers that are gone."""
        keys = {worker.key for worker in workers}
        self.placement.retain_workers(keys)
        self.reachability.keep_workers(keys)

    def _cost_of(self, request: SlotRequest) -> float:
        """Return what a request counts in the share of its workspace."""
        if self.placement.rule.engine is not None:
            return request.prompt_tokens + OUTPUT_TOKEN_COST * request.output_tokens
        learned = self.placement.costs.find(request.kind)
        return self.average_ms if learned is None else learned.mean_ms

    def _reserve(self, request: SlotRequest, worker: Worker, now_s: float) -> None:
        self.release(request.permit)
        uncached, prefilled_tokens, expected_ms = self.placement.expect(worker, request)
        slots = self.slots(worker)
        ttl_ms = UNACCEPTED_PERMIT_TTL_MS if request.confirmed else PERMIT_TTL_MS
        reservation = SlotReservation(
            worker.key,
            request.owner,
            request.prompt_tokens,
            request.output_tokens,
            uncached,
            now_s + to_s(ttl_ms),
            granted_s=now_s,
            expected_ms=expected_ms,
            prefilled_tokens=prefilled_tokens,
            slots=slots,
            sent=self._limits.brittle.record_send(worker, slots, now_s),
            software_version=worker.software_version,
            request=request,
            accepted=not request.confirmed,
            cost=self.placement.costs.find(request.kind),
            slowdown=self.placement.reported_slowdown(worker.key, now_s),
        )
        self._reservations.add(request.permit, reservation)
        self._limits.record_send(worker.key, now_s)
        self.reachability.record_granted(request.owner, worker.key, now_s)
        self.placement.record_granted(request, worker, now_s)
