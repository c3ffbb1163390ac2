"""Expected cost of requests at the workers of one service, learned from finished ones.

Handles requests that look alike and differ greatly in cost, such as one in ten that
takes fifty times as long. The cost of a request is its time at a worker of usual speed.
It is learned as a distribution, since the mean says little of what a running request
still takes: one that outlived the cheap ones is an expensive one.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ...wire.messages.gateway import CostEntry

BUCKETS_PER_OCTAVE = 4
"""Resolution of the logarithmic histograms: costs in one bucket differ by 19 %."""

LEAST_MS = 0.5
BUCKETS = 80
"""Range of the histograms: 0.5 ms to 9 minutes."""

MEMORY_SAMPLES = 200
"""Requests after which the weight of an earlier one has fallen to a third."""

MIN_SAMPLES = 30
"""Requests from which a kind's own distribution is used: fewer hardly show whether one
in ten is expensive."""

REFIT_PERIOD = 16
"""Requests after which the remaining costs are computed again."""

UNEVEN_VARIATION = 0.7
EVEN_VARIATION = 0.5
"""Ratios of standard deviation to mean from which costs count as uneven, and below
which they count as alike again. Equal work on machines under load varies by less than
half of its time."""

SHORT_MEMORY_SAMPLES = 16
CHANGE_DEVIATIONS = 5.0
MIN_CHANGE = 0.3
"""A change is a difference between the latest requests and all, in the logarithm of the
cost, of five standard errors and at least a third. Earlier requests then count as few
as `MIN_SAMPLES`, so that a change taken for one by chance leaves a usable estimate."""

MAX_KINDS = 256
"""Kinds of requests of one service that are kept; those unused for longest go first."""

MAX_SHARED_KINDS = 6
"""Kinds of one service that heartbeats carry."""

SHARED_PARTS = ((0.0, 0.5), (0.5, 0.75), (0.75, 0.9), (0.9, 0.97), (0.97, 1.0))
"""Parts of a distribution of which heartbeats carry the means, finer at the expensive
end, which most of the work is in."""

SHARED_SAMPLES = 40
"""Requests for which a distribution counts that another instance learned."""

GOLDEN_RATIO = 0.618034

MIN_REMAINING_SHARE = 0.05
"""Least remaining cost of a running request, as a share of the mean cost."""

OVERDUE_SHARE = 0.5
"""Remaining cost of a request that took longer than all known ones, as a share of its
time so far."""

_SCALE = BUCKETS_PER_OCTAVE / math.log(2.0)
_OFFSET = math.log(LEAST_MS)
_VALUES = [
    LEAST_MS * 2.0 ** ((number + 0.5) / BUCKETS_PER_OCTAVE) for number in range(BUCKETS)
]
_GROWTH = 1.0 + 1.0 / MEMORY_SAMPLES
_MAX_UNIT = 1e9


def _bucket(log_ms: float) -> int:
    return min(BUCKETS - 1, max(0, int((log_ms - _OFFSET) * _SCALE)))


class CostDistribution:
    """Distribution of the costs of one kind of requests, in ms.

    Recent requests count more. After a change earlier ones count little.
    """

    __slots__ = (
        "_all_log",
        "_counts",
        "_log_variance",
        "_recent_log",
        "_remaining",
        "_samples",
        "_total",
        "_unit",
        "mean_ms",
        "uneven",
    )

    def __init__(self):
        self._counts = [0.0] * BUCKETS
        self._unit = 1.0
        self._total = 0.0
        self._samples = 0
        self._all_log = self._recent_log = self._log_variance = 0.0
        self._remaining: list[float] = []
        self.mean_ms = 0.0
        self.uneven = False

    @property
    def learned(self) -> bool:
        """Whether enough requests are known."""
        return self._total >= 0.9 * MIN_SAMPLES * self._unit

    @property
    def weight(self) -> float:
        """Number of requests that count."""
        return self._total / self._unit

    @property
    def typical_ms(self) -> float:
        """Geometric mean, which a few expensive requests hardly change."""
        return math.exp(self._all_log)

    def add(self, cost_ms: float) -> None:
        """Record the cost of a finished request."""
        log_ms = math.log(max(cost_ms, LEAST_MS))
        self._unit *= _GROWTH
        if self._unit > _MAX_UNIT:
            self._scale(1.0 / self._unit)
            self._unit = 1.0
        self._counts[_bucket(log_ms)] += self._unit
        self._total += self._unit
        self._samples += 1
        self._record_log(log_ms)
        if self._samples % REFIT_PERIOD == 0 or not self._remaining:
            self.refit()

    def remaining_ms(self, done_ms: float) -> float:
        """Return the expected remaining cost of a request, given what is done of it."""
        if done_ms <= LEAST_MS:
            return self.mean_ms
        longer_ms = self._remaining[_bucket(math.log(done_ms))]
        if longer_ms <= 0.0:
            return OVERDUE_SHARE * done_ms
        return max(longer_ms - done_ms, MIN_REMAINING_SHARE * self.mean_ms)

    def part_means(self) -> tuple[float, ...]:
        """Return the mean costs of the parts that heartbeats carry, in ms."""
        means = []
        for low, high in SHARED_PARTS:
            below = part = 0.0
            low_weight, high_weight = low * self._total, high * self._total
            for value_ms, count in zip(_VALUES, self._counts, strict=True):
                inside = min(below + count, high_weight) - max(below, low_weight)
                part += max(0.0, inside) * value_ms
                below += count
            means.append(round(part / (high_weight - low_weight), 1))
        return tuple(means)

    def _record_log(self, log_ms: float) -> None:
        """Update the logarithmic means; shorten the memory after a change."""
        number = self._samples
        difference = log_ms - self._all_log
        weight = 1.0 / min(number, MEMORY_SAMPLES)
        self._all_log += weight * difference
        self._log_variance += weight * (
            difference * (log_ms - self._all_log) - self._log_variance
        )
        recent_weight = 1.0 / min(number, SHORT_MEMORY_SAMPLES)
        self._recent_log += recent_weight * (log_ms - self._recent_log)
        if number < 2 * SHORT_MEMORY_SAMPLES:
            return
        error = math.sqrt(self._log_variance / (2 * SHORT_MEMORY_SAMPLES - 1))
        change = abs(self._recent_log - self._all_log)
        if change > max(MIN_CHANGE, CHANGE_DEVIATIONS * error):
            self._scale(min(1.0, MIN_SAMPLES / self.weight))
            self._samples = SHORT_MEMORY_SAMPLES
            self._all_log = self._recent_log

    def _scale(self, factor: float) -> None:
        self._counts = [count * factor for count in self._counts]
        self._total *= factor

    def refit(self) -> None:
        """Compute the mean and the mean of all costs from each bucket on."""
        weight = total_ms = squares = 0.0
        remaining = [0.0] * BUCKETS
        for number in range(BUCKETS - 1, -1, -1):
            count = self._counts[number]
            if count:
                value_ms = _VALUES[number]
                weight += count
                total_ms += count * value_ms
                squares += count * value_ms * value_ms
            if weight > 0.0:
                remaining[number] = total_ms / weight
        if not weight:
            return
        self._remaining = remaining
        self.mean_ms = total_ms / weight
        variance = max(0.0, squares / weight - self.mean_ms**2)
        least = EVEN_VARIATION if self.uneven else UNEVEN_VARIATION
        self.uneven = math.sqrt(variance) >= least * self.mean_ms


@dataclass(frozen=True, slots=True)
class CostKind:
    """What is known of a request before it runs."""

    route: str = ""
    body_bytes: int = 0
    workspace: str = ""

    def keys(self) -> tuple[tuple[str, ...], ...]:
        """Return the keys of its distributions, the finest first.

        Bodies fall into classes of which each is four times as large as the next.
        """
        size = str((self.body_bytes.bit_length() + 1) // 2)
        return (
            (self.route, size, self.workspace),
            (self.route, size),
            (self.route,),
            (),
        )


class RequestCosts:
    """Distributions of the costs of a service's requests, by kind."""

    def __init__(self):
        self.updated_s = -math.inf
        self._by_key: dict[tuple[str, ...], CostDistribution] = {}

    @property
    def uneven(self) -> bool:
        """Whether the costs of the service's requests differ greatly."""
        service = self._by_key.get(())
        return service is not None and service.uneven and service.learned

    @property
    def service(self) -> CostDistribution | None:
        """Costs of all requests of the service."""
        return self._by_key.get(())

    def find(self, kind: CostKind) -> CostDistribution | None:
        """Return the finest distribution of a kind that is learned; None if none is."""
        for key in kind.keys():
            known = self._by_key.get(key)
            if known is not None and known.learned:
                return known
        return None

    def record(self, kind: CostKind, cost_ms: float, now_s: float = 0.0) -> None:
        """Record the cost of a request that ended well."""
        self.updated_s = now_s
        for key in kind.keys():
            known = self._by_key.pop(key, None) or CostDistribution()
            # Moved to the end, as the first ones are removed.
            self._by_key[key] = known
            known.add(cost_ms)
        while len(self._by_key) > MAX_KINDS:
            del self._by_key[next(iter(self._by_key))]

    def shared(self) -> tuple[CostEntry, ...]:
        """Return what heartbeats carry: the service and its most frequent kinds."""
        if not self.uneven:
            return ()
        learned = [(key, one) for key, one in self._by_key.items() if one.learned]
        learned.sort(key=lambda entry: (len(entry[0]), -entry[1].weight, entry[0]))
        return tuple(
            CostEntry(key, one.part_means()) for key, one in learned[:MAX_SHARED_KINDS]
        )

    def start_with(self, entries: Iterable[CostEntry]) -> None:
        """Start with what another instance learned, unless something is known here."""
        for entry in list(entries)[:MAX_SHARED_KINDS]:
            if entry.key in self._by_key or len(entry.part_means_ms) != len(
                SHARED_PARTS
            ):
                continue
            if not all(0.0 <= mean_ms < math.inf for mean_ms in entry.part_means_ms):
                continue
            known = self._by_key[entry.key] = CostDistribution()
            for number in range(SHARED_SAMPLES):
                # In mixed order, as sorted costs would be taken for a change.
                share = number * GOLDEN_RATIO % 1.0
                part = sum(share >= high for _, high in SHARED_PARTS)
                known.add(entry.part_means_ms[part])
            known.refit()
