"""Allocation of worker slots for one service: which worker gets a request, and when.

Handles bursts and workers of uneven speed: the dispatcher counts the slots in use by
all instances, so no worker receives more requests than it runs concurrently. Requests
wait here, ordered by priority and due time, and not in the queue of a worker that
happens to be slow.
"""

import math
from collections.abc import Callable, Collection, Iterable, Sequence

from ..engine_times import EngineTimes
from ..models import ServiceRule, Worker
from ..settings import DEFAULT_PREFIX_REUSE_MS
from ..worker_limits import WorkerLimits
from .health import WorkerHealth
from .prefix_cache import PrefillLog, PrefixCacheModel
from .reachability import Reachability
from .slot_requests import SlotRequest, SlotReservation

DEFAULT_PREFILL_MS_PER_TOKEN = 0.015
"""Time in which an engine prefills a prompt token, until measured."""

RUNNING_REQUEST_TOKENS = 400.0
"""Load of a running request, in prompt tokens whose prefill takes as long: it lengthens
the engine's decoding steps while it generates about a hundred tokens."""

CROSS_DATA_CENTRE_MS_PER_MB = 25.0
"""Delay added to a worker's score for each megabyte of stage results that it would
fetch from another data centre."""

REPEATED_PREFILL_MS_PER_TOKEN = 0.1
"""Delay added to a worker's score for each shared token that another worker prefilled
recently. Prefilling it again delays this request and also takes compute time from
others."""

MAX_KV_CACHE_SHARE = 0.85
"""Share of an engine's KV cache that running requests may fill; the rest is left to the
prefix cache."""

FAILURE_SLOTS = 3.0
"""Occupied slots added to the load of a worker whose calls all fail; the load of others
grows in proportion to their failure rate."""

SLOW_WORKER_SLOWDOWN = 2.5
"""Slowdown relative to the other workers at which a worker gets requests only if no
faster one has a free slot."""

TIME_EWMA_WEIGHT = 0.05
"""Weight of the newest call in the service's average time."""

DEFAULT_AVERAGE_MS = 50.0
"""Average time of a call of a plain service, until measured."""

CERTAIN_WAIT_SHARE = 0.8
"""Share of the wait for those ahead that is certain: some of them are cancelled."""

UNLISTED_PERMIT_MS = 1_000.0
"""Age from which a slot that its holder does not list is free."""

PERMIT_TTL_MS = 30_000.0
"""Time after which an unreleased slot becomes free: twice the longest deadline."""


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
    """

    def __init__(
        self,
        rule: ServiceRule,
        prefix_reuse_ms: float = DEFAULT_PREFIX_REUSE_MS,
        limits: WorkerLimits | None = None,
        reachability: Reachability | None = None,
    ):
        self._limits = limits or WorkerLimits()
        self.reachability = reachability or Reachability()
        self.rule = rule
        self.prefix_reuse_ms = prefix_reuse_ms
        self.health = WorkerHealth()
        self.average_ms = DEFAULT_AVERAGE_MS
        self._prefill_ms_per_token = DEFAULT_PREFILL_MS_PER_TOKEN
        self._first_part_ratio = 1.0
        self.engine_times = EngineTimes()
        self._reservations: dict[str, SlotReservation] = {}
        self._permits_by_worker: dict[str, set[str]] = {}
        self._prefix_caches: dict[str, PrefixCacheModel] = {}
        self._prefills = PrefillLog()
        self._waiting: list[SlotRequest] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def reserved(self) -> int:
        """Number of reserved slots."""
        return len(self._reservations)

    @property
    def reservations(self) -> Iterable[SlotReservation]:
        """The reserved slots."""
        return self._reservations.values()

    def slots(self, worker: Worker) -> int:
        """Return how many requests a worker runs concurrently."""
        return self.rule.engine.slots if self.rule.engine else max(1, worker.slots)

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
        if not self._waiting:
            return next_ms
        ahead = sum(
            waiting.priority <= request.priority
            and not self.reachability.may_be_partitioned(waiting.owner)
            for waiting in self._waiting
        )
        return max(next_ms, (ahead + 1) / self._rate_per_ms(open_workers))

    def _rate_per_ms(self, workers: Sequence[Worker]) -> float:
        """Return how many requests workers complete in a millisecond."""
        return sum(
            min(
                self._limits.brittle.room(worker, self.slots(worker)) / self.average_ms,
                self._limits.rate_per_ms(worker.key),
            )
            for worker in workers
        )

    def waits_ms(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[tuple[int, float], ...]:
        """Return how long new requests wait, by priority, if all workers are limited.

        Without limits requests wait only for a short time, or are refused.
        """
        if not self.all_limited(workers):
            return ()
        rate = self._rate_per_ms(workers)
        next_ms = min(self._limits.wait_ms(worker.key, now_s) for worker in workers)
        priorities = sorted(waiting.priority for waiting in self._waiting)
        waits = {0: next_ms}
        for ahead, priority in enumerate(priorities, 1):
            waits[priority] = max(next_ms, ahead / rate)
        return tuple(waits.items())

    def all_limited(self, workers: Sequence[Worker]) -> bool:
        """Return whether there are workers and each of them has named a limit."""
        limited = self._limits.in_force(worker.key for worker in workers)
        return bool(limited) and len(limited) == len(workers)

    def turn_away(self, owner: str, key: str, until_s: float) -> None:
        """Record that a worker wants no requests from an instance until then."""
        self.reachability.turn_away(owner, key, until_s)

    def blocked_ms(self, owner: str, worker: Worker, now_s: float) -> float:
        """Return for how long a worker is not open to the requests of an instance."""
        permits = self._permits_by_worker.get(worker.key, ())
        reservations = (self._reservations[permit] for permit in permits)
        return self.reachability.wait_ms(owner, worker.key, reservations, now_s)

    def add(self, request: SlotRequest) -> None:
        """Add a request that waits for `assign`."""
        self._waiting.append(request)

    def cancel(self, permit: str) -> None:
        """Remove a waiting request."""
        self.pop(lambda request: request.permit == permit)

    def pop_all(self) -> list[SlotRequest]:
        """Remove and return all waiting requests, for another dispatcher."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def pop(self, condition: Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        """Remove and return the waiting requests that meet a condition."""
        popped, kept = [], []
        for request in self._waiting:
            (popped if condition(request) else kept).append(request)
        self._waiting = kept
        return popped

    def pop_expired(self, now_s: float) -> list[SlotRequest]:
        """Remove and return the waiting requests that have expired."""
        return self.pop(lambda request: request.expires_s <= now_s)

    def pop_hopeless(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[SlotRequest]:
        """Remove and return the waiting requests that the limits leave no time for.

        Limits that are named while requests wait lower the rate on which their
        admission relied. Broken streams are kept: only some workers may resume them.
        """
        if not self._waiting or not self.all_limited(workers):
            return []
        rate = self._rate_per_ms(workers)
        self._sort_waiting(now_s)
        hopeless, kept = [], []
        for request in self._waiting:
            start_s = now_s + CERTAIN_WAIT_SHARE * len(kept) / rate / 1_000.0
            late = start_s > request.expires_s and not request.begun
            (hopeless if late else kept).append(request)
        self._waiting = kept
        return hopeless

    def _sort_waiting(self, now_s: float) -> None:
        """Sort the waiting requests in the order in which they get slots."""
        self._waiting.sort(key=lambda waiting: waiting.urgency(now_s))

    def assign(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[tuple[SlotRequest, Worker]]:
        """Assign free slots to waiting requests, the most urgent first."""
        if not self._waiting:
            return []
        self._release_overdue(now_s)
        assignments = []
        self._sort_waiting(now_s)
        for request in list(self._waiting):
            recent_tokens = self._recent_tokens(request, now_s)
            worker = self._choose(request, workers, recent_tokens, now_s)
            if worker is None:
                continue
            self._waiting.remove(request)
            self._reserve(request, worker, now_s)
            assignments.append((request, worker))
        return assignments

    def record_start(self, permit: str, elapsed_ms: float, now_s: float) -> bool:
        """Record the first part of an answer; update prefill time and slowdown.

        Return whether the times of the service's engines were learned again.
        """
        reservation = self._reservations.get(permit)
        if reservation is None or reservation.started:
            return False
        reservation.started = True
        key, granted_s = reservation.worker, reservation.granted_s
        if not self.reachability.record_reached(
            reservation.owner, key, granted_s, now_s
        ):
            reservation.pending_prefill_tokens = 0.0
            return False
        if reservation.pending_prefill_tokens > 0:
            observed = min(
                elapsed_ms / reservation.pending_prefill_tokens,
                10 * DEFAULT_PREFILL_MS_PER_TOKEN,
            )
            self._prefill_ms_per_token += TIME_EWMA_WEIGHT * (
                observed - self._prefill_ms_per_token
            )
        reservation.pending_prefill_tokens = 0.0
        if reservation.expected_ms <= 0:
            return False
        slowdown = self.health.slowdown(reservation.worker)
        self._record_first_part(reservation, elapsed_ms, now_s)
        if slowdown >= SLOW_WORKER_SLOWDOWN:
            return False
        return self.engine_times.observe(reservation.prefilled_tokens, elapsed_ms)

    def _record_first_part(
        self, reservation: SlotReservation, elapsed_ms: float, now_s: float
    ) -> None:
        """Update the slowdown of a worker and the average of the service."""
        ratio = elapsed_ms / reservation.expected_ms
        average = self._first_part_ratio
        self.health.record_slowdown(
            reservation.worker, ratio / max(average, 0.1), now_s
        )
        change = min(ratio, SLOW_WORKER_SLOWDOWN * average) - average
        self._first_part_ratio += TIME_EWMA_WEIGHT * change

    def reservation(self, permit: str) -> SlotReservation | None:
        """Return the slot that is reserved under a name."""
        return self._reservations.get(permit)

    def release(self, permit: str) -> SlotReservation | None:
        """Release a slot and return its reservation; None if it is not reserved."""
        reservation = self._reservations.pop(permit, None)
        if reservation is not None:
            self._permits_by_worker[reservation.worker].discard(permit)
            self._limits.brittle.record_release(reservation.worker, reservation.sent)
        return reservation

    def record_duration(self, key: str, elapsed_ms: float, now_s: float) -> None:
        """Update the average time and a plain worker's slowdown from a successful call.

        An engine's slowdown is measured at the first parts of its answers, since whole
        answers differ in length.
        """
        self.average_ms += TIME_EWMA_WEIGHT * (elapsed_ms - self.average_ms)
        self.health.record_success(key)
        if self.rule.engine is None:
            self.health.record_slowdown(
                key, elapsed_ms / max(self.average_ms, 1.0), now_s
            )

    def restore(self, permit: str, reservation: SlotReservation) -> None:
        """Reserve a slot that another dispatcher has granted."""
        if permit not in self._reservations:
            self._reservations[permit] = reservation
            self._permits_by_worker.setdefault(reservation.worker, set()).add(permit)
            self._limits.brittle.record_held(reservation.worker)

    def release_owner(
        self, owner: str, kept: Collection[str] = (), before_s: float = math.inf
    ) -> dict[str, SlotReservation]:
        """Release and return the slots of an instance except `kept`, by permit."""
        owned = {
            permit: reservation
            for permit, reservation in self._reservations.items()
            if reservation.owner == owner
            and permit not in kept
            and reservation.granted_s < before_s
        }
        for permit in owned:
            self.release(permit)
        return owned

    def retain_workers(self, workers: Sequence[Worker]) -> None:
        """Remove the state of workers that are gone."""
        keys = {worker.key for worker in workers}
        self.health.keep_only(keys)
        for key in self._prefix_caches.keys() - keys:
            del self._prefix_caches[key]
        self.reachability.keep_workers(keys)

    def _choose(
        self,
        request: SlotRequest,
        workers: Sequence[Worker],
        recent_tokens: int,
        now_s: float,
    ) -> Worker | None:
        usable = [
            worker
            for worker in request.usable(workers)
            if self.health.usable(worker.key, now_s)
            and self._has_capacity(worker, request)
            and not self.blocked_ms(request.owner, worker, now_s)
            and not self._limits.wait_ms(worker.key, now_s)
            and self._limits.brittle.allows(
                worker, self.slots(worker), now_s, may_probe=not request.avoid
            )
        ]
        untried = [worker for worker in usable if worker.id not in request.avoid]
        usable = untried or usable
        preferred = [worker for worker in usable if self._is_preferred(worker, now_s)]
        return min(
            preferred or usable,
            key=lambda worker: (
                self._expected_delay_ms(worker, request, recent_tokens),
                worker.key,
            ),
            default=None,
        )

    def _is_preferred(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker is not slow, or should be measured again."""
        if self.health.slowdown(worker.key) < SLOW_WORKER_SLOWDOWN:
            return True
        permits = self._permits_by_worker.get(worker.key, ())
        awaits_answer = any(
            not self._reservations[permit].started for permit in permits
        )
        return not awaits_answer and self.health.slowdown_is_outdated(worker.key, now_s)

    def _has_capacity(self, worker: Worker, request: SlotRequest) -> bool:
        permits = self._permits_by_worker.get(worker.key, ())
        if self.health.on_probation(worker.key) and permits:
            return False
        if len(permits) >= self.slots(worker):
            return False
        if self.rule.engine is None or not permits:
            return True
        used = sum(self._reserved_tokens(permit) for permit in permits)
        needed = request.prompt_tokens + request.output_tokens
        return used + needed <= MAX_KV_CACHE_SHARE * self.rule.engine.kv_cache_tokens

    def _reserved_tokens(self, permit: str) -> int:
        reservation = self._reservations[permit]
        return reservation.prompt_tokens + reservation.output_tokens

    def _recent_tokens(self, request: SlotRequest, now_s: float) -> int:
        """Return how many shared tokens of a prompt some worker prefilled recently."""
        return self._prefills.recent_tokens(request.parts, self.prefix_reuse_ms, now_s)

    def _expected_delay_ms(
        self, worker: Worker, request: SlotRequest, recent_tokens: int
    ) -> float:
        """Return the delay that a request is expected to have at a worker, in ms.

        `recent_tokens` is the number of its shared tokens that some worker prefilled
        recently.
        """
        permits = self._permits_by_worker.get(worker.key, ())
        failure_slots = FAILURE_SLOTS * self.health.failure_rate(worker.key)
        if self.rule.engine is None:
            return (len(permits) + failure_slots) / self.slots(worker) * self.average_ms
        pending = sum(
            self._reservations[permit].pending_prefill_tokens for permit in permits
        )
        cached = self._cached_tokens(worker, request)
        uncached = request.prompt_tokens - cached
        repeated_prefill_ms = (
            max(0, recent_tokens - cached) * REPEATED_PREFILL_MS_PER_TOKEN
        )
        tokens = (
            pending + uncached + RUNNING_REQUEST_TOKENS * (len(permits) + failure_slots)
        )
        transfer_bytes = sum(
            size
            for data_centre, size in request.input_bytes.items()
            if data_centre != worker.data_centre
        )
        slowdown = max(1.0, self.health.slowdown(worker.key))
        transfer_ms = transfer_bytes / 1e6 * CROSS_DATA_CENTRE_MS_PER_MB
        return (
            tokens * self._prefill_ms_per_token * slowdown
            + repeated_prefill_ms
            + transfer_ms
        )

    def _cached_tokens(self, worker: Worker, request: SlotRequest) -> int:
        cache = self._prefix_caches.get(worker.key)
        return cache.cached_tokens(request.parts) if cache else 0

    def _reserve(self, request: SlotRequest, worker: Worker, now_s: float) -> None:
        self.release(request.permit)
        uncached = request.prompt_tokens - self._cached_tokens(worker, request)
        prefilled_tokens, expected_ms = self._first_part(worker, uncached)
        self._reservations[request.permit] = SlotReservation(
            worker.key,
            request.owner,
            request.prompt_tokens,
            request.output_tokens,
            uncached,
            now_s + PERMIT_TTL_MS / 1_000.0,
            granted_s=now_s,
            expected_ms=expected_ms,
            prefilled_tokens=prefilled_tokens,
            slots=self.slots(worker),
            sent=self._limits.brittle.record_send(worker, self.slots(worker), now_s),
            software_version=worker.software_version,
            request=request,
        )
        self._permits_by_worker.setdefault(worker.key, set()).add(request.permit)
        self._limits.record_send(worker.key, now_s)
        self.reachability.record_granted(request.owner, worker.key, now_s)
        if self.rule.engine is not None:
            cache = self._prefix_caches.get(worker.key)
            if cache is None:
                capacity = self.rule.engine.kv_cache_tokens
                cache = self._prefix_caches[worker.key] = PrefixCacheModel(capacity)
            cache.record(request.parts)
            self._prefills.record(request.parts, self.prefix_reuse_ms, now_s)

    def _first_part(self, worker: Worker, uncached: float) -> tuple[float, float]:
        """Return the tokens before an engine's first part and its expected time in ms.

        Both are 0 for other workers.
        """
        if self.rule.engine is None:
            return 0.0, 0.0
        permits = self._permits_by_worker.get(worker.key, ())
        held = (self._reservations[permit] for permit in permits)
        tokens = uncached + sum(one.pending_prefill_tokens for one in held)
        return tokens, self.engine_times.estimate.expected_ms(tokens)

    def _release_overdue(self, now_s: float) -> None:
        for permit, reservation in list(self._reservations.items()):
            if reservation.until_s < now_s:
                self.release(permit)
