"""Detection of stragglers and failing targets, relative to their pool."""

import math
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from ..core.clock import Clock
from ..core.ids import TargetId

SLOW_FACTOR = 3.0
VERY_SLOW_FACTOR = 5.0
RECOVERED_FACTOR = 2.0
MIN_SAMPLES = 3
MIN_VERY_SLOW_SAMPLES = 2
MAX_FAILURES = 3
GOOD_PROBES = 2
SMOOTHING = 0.3
MAX_EJECTED_SHARE = 0.34
FIRST_PROBE_S = 1.0
FORGET_S = 5.0
REFERENCE_S = 0.1
MIN_COMPARED = 2
MAX_PROBE_S = 20.0


class HealthState(Enum):
    """Whether a target gets its share of calls or only probes."""

    HEALTHY = "healthy"
    EJECTED = "ejected"


class Measure(Enum):
    """Which time of a call is compared between targets."""

    FIRST_PART = "first_part"
    WHOLE = "whole"


@dataclass
class SmoothedTime:
    """A time smoothed in the logarithm."""

    log_ms: float = 0.0
    samples: int = 0
    sampled_at_s: float = 0.0

    def add(self, value_ms: float, now_s: float) -> None:
        """Take one sample into the smoothed time."""
        value = math.log(max(value_ms, 0.1))
        if not self.samples:
            self.log_ms = value
        else:
            self.log_ms += SMOOTHING * (value - self.log_ms)
        self.samples += 1
        self.sampled_at_s = now_s


@dataclass
class TargetHealth:
    """Health of one target."""

    state: HealthState = HealthState.HEALTHY
    times: dict[Measure, SmoothedTime] = field(
        default_factory=lambda: {one: SmoothedTime() for one in Measure}
    )
    failures: int = 0
    good_probes: int = 0
    probe_at_s: float = 0.0
    probe_gap_s: float = FIRST_PROBE_S


class PoolHealth:
    """Health of the targets of one pool.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._targets: dict[TargetId, TargetHealth] = {}
        self._references: dict[Measure, tuple[float, float]] = {}

    def add(self, target: TargetId) -> None:
        """Start with a clean record for a new or restarted target."""
        self._targets[target] = TargetHealth()

    def remove(self, target: TargetId) -> None:
        """Forget a target."""
        self._targets.pop(target, None)

    def is_healthy(self, target: TargetId) -> bool:
        """Return whether `target` may get its share of calls."""
        return self._targets[target].state is HealthState.HEALTHY

    def slowness(self, target: TargetId) -> float:
        """Return how many times slower than its pool's median a target is.

        What was measured is forgotten with time, so that a target which gets
        no calls for its slowness is tried again.
        """
        health = self._targets[target]
        return max(self._ratio(target, health, measure) for measure in Measure)

    def succeeded(
        self, target: TargetId, elapsed_ms: float, measure: Measure = Measure.WHOLE
    ) -> None:
        """Record a call that ended well, or of which a first part arrived."""
        health = self._targets[target]
        if measure is Measure.WHOLE:
            health.failures = 0
        if health.state is HealthState.EJECTED:
            self._probed(target, elapsed_ms, measure)
            return
        health.times[measure].add(elapsed_ms, self._clock.monotonic_s())
        self._eject_if_slow(target)

    def overdue(
        self, target: TargetId, age_ms: float, measure: Measure = Measure.WHOLE
    ) -> None:
        """Record a call that has already taken `age_ms` without an end."""
        health = self._targets[target]
        if health.state is HealthState.EJECTED:
            return
        known = health.times[measure]
        if known.samples and math.log(max(age_ms, 0.1)) < known.log_ms:
            return
        known.add(age_ms, self._clock.monotonic_s())
        self._eject_if_slow(target)

    def failed(self, target: TargetId, *, crashed: bool) -> None:
        """Record a call that failed; a crash sets the target aside at once."""
        health = self._targets[target]
        health.failures += 1
        if health.state is HealthState.EJECTED:
            self._back_off(health)
        elif crashed or health.failures >= MAX_FAILURES:
            self._eject(health)

    def take_probe(self, candidates: list[TargetId]) -> TargetId | None:
        """Return a set-aside target whose probe is due, and schedule its next."""
        now_s = self._clock.monotonic_s()
        for target in candidates:
            health = self._targets[target]
            if health.state is HealthState.EJECTED and health.probe_at_s <= now_s:
                health.probe_at_s = now_s + health.probe_gap_s
                return target
        return None

    def _ratio(self, target: TargetId, health: TargetHealth, measure: Measure) -> float:
        known = health.times[measure]
        reference = self._reference_log_ms(measure)
        if reference is None or known.samples < MIN_VERY_SLOW_SAMPLES:
            return 1.0
        age_s = self._clock.monotonic_s() - known.sampled_at_s
        ratio = math.exp((known.log_ms - reference) * math.exp(-age_s / FORGET_S))
        certain = known.samples >= MIN_SAMPLES or ratio >= VERY_SLOW_FACTOR
        return ratio if certain else 1.0

    def _probed(self, target: TargetId, elapsed_ms: float, measure: Measure) -> None:
        health = self._targets[target]
        reference = self._reference_log_ms(measure)
        limit = math.inf
        if reference is not None:
            limit = RECOVERED_FACTOR * math.exp(reference)
        if elapsed_ms > limit:
            self._back_off(health)
            return
        if measure is Measure.FIRST_PART:
            return
        health.good_probes += 1
        health.probe_at_s = self._clock.monotonic_s()
        if health.good_probes >= GOOD_PROBES:
            self._targets[target] = TargetHealth()

    def flagrant(self, target: TargetId) -> None:
        """Set a target aside for one call that was far beyond the usual time."""
        if self.is_healthy(target):
            self._eject_if_allowed(target)

    def _eject_if_slow(self, target: TargetId) -> None:
        if self.slowness(target) >= SLOW_FACTOR:
            self._eject_if_allowed(target)

    def _eject_if_allowed(self, target: TargetId) -> None:
        ejected = sum(
            one.state is HealthState.EJECTED for one in self._targets.values()
        )
        allowed = max(1, int(MAX_EJECTED_SHARE * len(self._targets)))
        if ejected < allowed:
            self._eject(self._targets[target])

    def _eject(self, health: TargetHealth) -> None:
        health.state = HealthState.EJECTED
        health.good_probes = 0
        health.probe_gap_s = FIRST_PROBE_S
        health.probe_at_s = self._clock.monotonic_s() + FIRST_PROBE_S

    def _back_off(self, health: TargetHealth) -> None:
        health.good_probes = 0
        health.probe_gap_s = min(MAX_PROBE_S, 2 * health.probe_gap_s)
        health.probe_at_s = self._clock.monotonic_s() + health.probe_gap_s

    def _reference_log_ms(self, measure: Measure) -> float | None:
        """Return the pool's median, worked out anew every `REFERENCE_S`."""
        now_s = self._clock.monotonic_s()
        at_s, reference = self._references.get(measure, (-math.inf, 0.0))
        if now_s - at_s < REFERENCE_S:
            return reference
        times = [
            one.times[measure].log_ms
            for one in self._targets.values()
            if one.times[measure].samples >= MIN_SAMPLES
            and one.state is HealthState.HEALTHY
        ]
        if len(times) < MIN_COMPARED:
            return None
        self._references[measure] = now_s, median(times)
        return self._references[measure][1]
