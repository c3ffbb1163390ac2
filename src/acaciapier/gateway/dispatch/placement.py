"""Choice of the worker that gets a request, among those of one service.

Handles workers of uneven speed and requests of uneven cost: a request goes to the
worker at which it is expected to end first. The dispatcher counts the slots in use by
all instances, so no worker receives more requests than it runs concurrently. Where
neither slowdowns are reported nor costs differ, plain workers are compared by the
number of their requests.
"""

from collections.abc import Collection, Sequence

from ..engine_times import EngineTimes
from ..models import ServiceRule, Worker
from ..settings import DEFAULT_PREFIX_REUSE_MS
from ..worker_eligibility import Unavailability
from ..worker_limits import WorkerLimits
from .call_average import TIME_EWMA_WEIGHT, CallAverage
from .deferral import is_worth_waiting
from .health import WorkerHealth
from .kv_cache import fits_kv_cache
from .prefix_cache import MAX_PREFIXES, PrefillLog, PrefixCacheModel
from .reachability import Reachability
from .request_costs import RequestCosts
from .reservations import Reservations
from .slot_requests import SlotRequest, SlotReservation
from .worker_load import WorkerBacklogs, WorkerLoads

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

FAILURE_SLOTS = 3.0
"""Occupied slots added to the load of a worker whose calls all fail; the load of others
grows in proportion to their failure rate."""

SLOW_WORKER_SLOWDOWN = 2.5
"""Slowdown relative to the other workers at which a worker gets requests only if no
faster one has a free slot."""

DEFERRAL_SLOWDOWN = 1.5
"""Reported slowdown from which a worker's free slot may be left alone since a faster
worker's slot is expected in time."""

EXPIRY_MARGIN_MS = 60.0
"""Time before a request expires from which it takes any slot: two periods at which the
dispatcher checks what waits, and a message."""

_Candidate = tuple[Worker, str, Collection[SlotReservation]]
"""A worker, its key and its reserved slots."""


class Placement:
    """Chooses workers for the requests of one service, and learns their times.

    Parameters
    ----------
    rule : ServiceRule
        The service.
    reservations : Reservations
        Reserved slots.
    limits : WorkerLimits
        Paces the requests to workers that have named a limit.
    reachability : Reachability
        Excludes workers for instances that do not reach them.
    prefix_reuse_ms : float
        Time since the last use of a prefix during which requests that share it are
        preferably sent to the worker that has it cached.
    loads : WorkerLoads, optional
        Slowdowns that workers report.
    """

    def __init__(
        self,
        rule: ServiceRule,
        reservations: Reservations,
        limits: WorkerLimits,
        reachability: Reachability,
        prefix_reuse_ms: float = DEFAULT_PREFIX_REUSE_MS,
        loads: WorkerLoads | None = None,
    ):
        self.rule = rule
        self.prefix_reuse_ms = prefix_reuse_ms
        self.health = WorkerHealth()
        self._average = CallAverage()
        self.engine_times = EngineTimes()
        self.costs = RequestCosts()
        self._loads = loads if loads is not None else WorkerLoads()
        self._backlogs = WorkerBacklogs()
        self._reservations = reservations
        self._limits = limits
        self._reachability = reachability
        self._prefill_ms_per_token = DEFAULT_PREFILL_MS_PER_TOKEN
        self._first_part_ratio = 1.0
        self._prefix_caches: dict[str, PrefixCacheModel] = {}
        self._prefills = PrefillLog()

    @property
    def average_ms(self) -> float:
        """Average time of a call, at a worker of usual speed."""
        return self._average.ms

    def slots(self, worker: Worker) -> int:
        """Return how many requests a worker runs concurrently."""
        return self.rule.engine.slots if self.rule.engine else max(1, worker.slots)

    def rate_per_ms(self, workers: Sequence[Worker]) -> float:
        """Return how many requests workers complete in a millisecond."""
        return sum(
            min(
                self._limits.brittle.room(worker, self.slots(worker))
                / (self.average_ms * self._loads.average(worker.key)),
                self._limits.rate_per_ms(worker.key),
            )
            for worker in workers
        )

    def reported_slowdown(self, key: str, now_s: float) -> float:
        """Return the slowdown that a worker reported; 1.0 if it reports none."""
        reported = self._loads.slowdown(key, now_s) if self._loads else None
        return 1.0 if reported is None else reported

    def blocked_ms(self, owner: str, worker: Worker, now_s: float) -> float:
        """Return for how long a worker is not open to the requests of an instance."""
        held = self._reservations.at(worker.key)
        return self._reachability.wait_ms(owner, worker.key, held, now_s)

    def choose(
        self,
        request: SlotRequest,
        workers: Sequence[Worker],
        now_s: float,
        ahead: int = 0,
    ) -> Worker | None:
        """Return the worker for a request; None if it should wait for another slot.

        `ahead` is the number of requests that wait for a faster worker's slot.
        """
        recent_tokens = self._prefills.recent_tokens(
            request.prefixes, self.prefix_reuse_ms, now_s
        )
        usable, full = self._usable(request, workers, now_s)
        if request.avoid:
            untried = [one for one in usable if one[0].id not in request.avoid]
            usable = untried or usable
        preferred = [one for one in usable if self._is_preferred(one, now_s)]
        candidates = preferred or usable
        if not candidates:
            return None
        delays = self._delays_ms(candidates, request, recent_tokens, now_s)
        least = min(delays)
        best = [
            one for one, delay in zip(candidates, delays, strict=True) if delay == least
        ]
        worker, key, _ = min(best, key=_held_bytes_and_key) if best[1:] else best[0]
        if full and self._should_defer(request, key, full, ahead, now_s):
            return None
        return worker

    def _usable(
        self, request: SlotRequest, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[_Candidate], list[_Candidate]]:
        """Return the workers that may get a request now, and those without a slot.

        The latter are needed only where workers report slowdowns.
        """
        usable, full = [], []
        no_slot, no_memory = Unavailability.NO_FREE_SLOT, Unavailability.NO_MEMORY
        for worker in request.usable(workers):
            key = worker.key
            held = self._reservations.at(key)
            reason = self._unavailability(worker, key, held, request, now_s)
            if reason is None:
                usable.append((worker, key, held))
            elif (reason is no_slot or reason is no_memory) and self._loads:
                full.append((worker, key, held))
        return usable, full

    def _unavailability(
        self,
        worker: Worker,
        key: str,
        held: Collection[SlotReservation],
        request: SlotRequest,
        now_s: float,
    ) -> Unavailability | None:
        """Return why a worker may not get a request now."""
        limits = self._limits
        if not self.health.usable(key, now_s):
            return Unavailability.UNHEALTHY
        lack = self._lack_of_capacity(worker, key, held, request) if held else None
        if lack is not None:
            return lack
        if self._reachability.wait_ms(request.owner, key, held, now_s):
            if self._reachability.is_turned_away(request.owner, key, now_s):
                return Unavailability.BLOCKED
            return Unavailability.UNREACHABLE
        if limits.wait_ms(key, now_s):
            return (
                Unavailability.COLD if limits.is_cold(key) else Unavailability.LIMITED
            )
        may_probe = not request.avoid
        if not limits.brittle.allows(worker, self.slots(worker), now_s, may_probe):
            return Unavailability.BRITTLE
        return None

    def _should_defer(
        self,
        request: SlotRequest,
        key: str,
        full: Sequence[_Candidate],
        ahead: int,
        now_s: float,
    ) -> bool:
        """Return whether a faster worker's next slot ends a request earlier.

        It may be that this slot does not become free, so the time gained at best bounds
        how long a request waits for it.
        """
        slowdown = self.reported_slowdown(key, now_s)
        if self.rule.engine is not None or slowdown < DEFERRAL_SLOWDOWN:
            return False
        own_ms = self._own_cost_ms(request)
        rate, faster_slowdown = 0.0, 1.0
        for worker, other, _ in full:
            other_slowdown = self.reported_slowdown(other, now_s)
            reached = not self._reachability.wait_ms(request.owner, other, (), now_s)
            faster = other_slowdown * DEFERRAL_SLOWDOWN <= slowdown
            if faster and reached and worker.id not in request.avoid:
                rate += self.slots(worker) / (self.average_ms * other_slowdown)
                faster_slowdown = max(faster_slowdown, other_slowdown)
        gain_ms = own_ms * (slowdown - faster_slowdown)
        if not is_worth_waiting(gain_ms, rate, ahead):
            return False
        if request.deferred_until_s is None:
            request.deferred_until_s = now_s + gain_ms / 1_000.0
        latest_s = request.expires_s - EXPIRY_MARGIN_MS / 1_000.0
        return now_s < min(request.deferred_until_s, latest_s)

    def expect(
        self, worker: Worker, request: SlotRequest
    ) -> tuple[float, float, float]:
        """Return what is expected before the first part of a request's answer.

        These are its uncached prompt tokens, all tokens that an engine prefills before,
        and the time that takes in ms; the latter two are 0 for other workers.
        """
        uncached = request.prompt_tokens - self._cached_tokens(worker, request)
        if self.rule.engine is None:
            return uncached, 0.0, 0.0
        held = self._reservations.at(worker.key)
        tokens = uncached + sum(one.pending_prefill_tokens for one in held)
        return uncached, tokens, self.engine_times.estimate.expected_ms(tokens)

    def record_granted(
        self, request: SlotRequest, worker: Worker, now_s: float
    ) -> None:
        """Record that a request goes to a worker."""
        if self.rule.engine is None:
            return
        cache = self._prefix_caches.get(worker.key)
        if cache is None:
            capacity = self.rule.engine.kv_cache_tokens
            cache = self._prefix_caches[worker.key] = PrefixCacheModel(capacity)
        cache.record(request.prefixes, MAX_PREFIXES // len(self._prefix_caches))
        self._prefills.record(request.prefixes, self.prefix_reuse_ms, now_s)

    def record_start(
        self, reservation: SlotReservation, elapsed_ms: float, now_s: float
    ) -> bool:
        """Record the first part of an answer; update prefill time and slowdown.

        Return whether the times of the service's engines were learned again.
        """
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
        elapsed_ms /= self._mean_slowdown(reservation.worker, reservation, now_s)
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

    def record_duration(
        self,
        key: str,
        elapsed_ms: float,
        now_s: float,
        reservation: SlotReservation | None = None,
    ) -> None:
        """Update the service's costs and a plain worker's slowdown from a success.

        An engine's slowdown is measured at the first parts of its answers, since whole
        answers differ in length.
        """
        slowdown = self._mean_slowdown(key, reservation, now_s)
        cost_ms = elapsed_ms / slowdown
        if self.costs.uneven:
            self._average.ms = self.costs.service.mean_ms
        else:
            self._average.record(cost_ms)
        self.health.record_success(key)
        if self.rule.engine is not None:
            return
        measured = max(1.0, self.health.slowdown(key))
        if self.costs.uneven:
            expected = reservation.cost if reservation is not None else None
            expected = expected or self.costs.service
            ratio = cost_ms / max(expected.typical_ms, 1.0)
            self.health.record_uneven_slowdown(key, ratio, now_s)
        else:
            ratio = cost_ms / max(self.average_ms, 1.0)
            self.health.record_slowdown(key, ratio, now_s)
        if reservation is not None and reservation.request is not None:
            was_uneven = self.costs.uneven
            self.costs.record(reservation.request.kind, cost_ms / measured, now_s)
            if self.costs.uneven and not was_uneven:
                self.health.forget_slowdowns()

    def _mean_slowdown(
        self, key: str, reservation: SlotReservation | None, now_s: float
    ) -> float:
        """Return the reported slowdown of a worker during a call that ends now."""
        slowdown = self.reported_slowdown(key, now_s)
        if reservation is None:
            return slowdown
        return 0.5 * (slowdown + reservation.slowdown)

    def retain_workers(self, keys: set[str]) -> None:
        """Remove the state of workers that are gone."""
        self.health.keep_only(keys)
        for key in self._prefix_caches.keys() - keys:
            del self._prefix_caches[key]
        self._backlogs.keep_only(keys)

    def _is_preferred(self, candidate: _Candidate, now_s: float) -> bool:
        """Return whether a worker is not slow, or should be measured again."""
        _, key, held = candidate
        if self.health.slowdown(key) < SLOW_WORKER_SLOWDOWN:
            return True
        awaits_answer = any(not reservation.started for reservation in held)
        return not awaits_answer and self.health.slowdown_is_outdated(key, now_s)

    def _lack_of_capacity(
        self,
        worker: Worker,
        key: str,
        held: Collection[SlotReservation],
        request: SlotRequest,
    ) -> Unavailability | None:
        """Return what a worker with requests lacks for another one."""
        if self.health.on_probation(key):
            return Unavailability.UNHEALTHY
        if len(held) >= self.slots(worker):
            return Unavailability.NO_FREE_SLOT
        engine = self.rule.engine
        if engine is None or fits_kv_cache(request, held, engine.kv_cache_tokens):
            return None
        return Unavailability.NO_MEMORY

    def _delays_ms(
        self,
        candidates: Sequence[_Candidate],
        request: SlotRequest,
        recent_tokens: int,
        now_s: float,
    ) -> list[float]:
        """Return the times by which workers are compared."""
        if self.rule.engine is None:
            return self._plain_delays_ms(candidates, request, now_s)
        return [
            self._engine_delay_ms(one, request, recent_tokens, now_s)
            for one in candidates
        ]

    def _own_cost_ms(self, request: SlotRequest) -> float:
        """Return the expected cost of a request at a plain worker."""
        known = self.costs.find(request.kind) if self.costs.uneven else None
        return self.average_ms if known is None else known.mean_ms

    def _plain_delays_ms(
        self, candidates: Sequence[_Candidate], request: SlotRequest, now_s: float
    ) -> list[float]:
        """Return after what time a request is expected to end at plain workers.

        Where costs look alike and no slowdowns are known, its own cost is left out.
        """
        uneven = self.costs.uneven
        alike = not uneven and not self._loads
        own_ms = 0.0 if alike else self._own_cost_ms(request)
        average_ms, failure_rate = self.average_ms, self.health.failure_rate
        delays = []
        for worker, key, held in candidates:
            slots = max(1, worker.slots)
            failure_slots = FAILURE_SLOTS * failure_rate(key)
            if alike:
                delays.append((len(held) + failure_slots) / slots * average_ms)
                continue
            slowdown = self.reported_slowdown(key, now_s)
            backlog_ms = self._plain_backlog_ms(key, held, slowdown, now_s)
            backlog_ms += failure_slots * average_ms
            delays.append(slowdown * (own_ms + backlog_ms / slots))
        return delays

    def _plain_backlog_ms(
        self,
        key: str,
        held: Collection[SlotReservation],
        slowdown: float,
        now_s: float,
    ) -> float:
        """Return the backlog of a plain worker at the usual speed."""
        if held and self.costs.uneven:
            return self._backlogs.backlog_ms(
                key, held, slowdown, self.average_ms, now_s
            )
        return len(held) * self.average_ms

    def _engine_delay_ms(
        self,
        candidate: _Candidate,
        request: SlotRequest,
        recent_tokens: int,
        now_s: float,
    ) -> float:
        """Return the delay that a request is expected to have at an engine, in ms.

        `recent_tokens` is the number of its shared tokens that some worker prefilled
        recently.
        """
        worker, key, held = candidate
        failure_slots = FAILURE_SLOTS * self.health.failure_rate(key)
        pending = sum(reservation.pending_prefill_tokens for reservation in held)
        cache = self._prefix_caches.get(key)
        cached = cache.cached_tokens(request.prefixes) if cache else 0
        uncached = request.prompt_tokens - cached
        repeated = max(0, recent_tokens - cached)
        repeated_prefill_ms = repeated * REPEATED_PREFILL_MS_PER_TOKEN
        running_tokens = RUNNING_REQUEST_TOKENS * (len(held) + failure_slots)
        tokens = pending + uncached + running_tokens
        transfer_bytes = sum(
            size
            for data_centre, size in request.input_bytes.items()
            if data_centre != worker.data_centre
        )
        slowdown = max(1.0, self.health.slowdown(key))
        slowdown *= self.reported_slowdown(key, now_s)
        transfer_ms = transfer_bytes / 1e6 * CROSS_DATA_CENTRE_MS_PER_MB
        return (
            tokens * self._prefill_ms_per_token * slowdown
            + repeated_prefill_ms
            + transfer_ms
        )

    def _cached_tokens(self, worker: Worker, request: SlotRequest) -> int:
        cache = self._prefix_caches.get(worker.key)
        return cache.cached_tokens(request.prefixes) if cache else 0


def _held_bytes_and_key(candidate: _Candidate) -> tuple[int, str]:
    """Return the order of workers with equal delays: by the bytes that they hold."""
    _, key, held = candidate
    bodies = (one.request.kind.body_bytes for one in held if one.request is not None)
    return sum(bodies), key
