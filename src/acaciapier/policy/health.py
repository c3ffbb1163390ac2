"""Outlier detection: ejects targets that fail, or are slow relative to their pool."""

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
MAX_CONSECUTIVE_FAILURES = 3
MIN_GOOD_PROBES = 2
LOG_TIME_EWMA_WEIGHT = 0.3
MAX_EJECTED_SHARE = 0.34
INITIAL_PROBE_INTERVAL_S = 1.0
SLOWDOWN_DECAY_S = 5.0
REFERENCE_REFRESH_S = 0.1
MIN_COMPARED_TARGETS = 2
MAX_PROBE_INTERVAL_S = 20.0


class HealthState(Enum):
    """Whether a target gets its normal share of calls, or only probes."""

    HEALTHY = "healthy"
    EJECTED = "ejected"


class Measure(Enum):
    """Which duration of a call is compared between targets."""

    FIRST_PART = "first_part"
    WHOLE = "whole"


@dataclass
class SmoothedTime:
    """Exponentially weighted average of the logarithm of a time."""

    log_ms: float = 0.0
    samples: int = 0
    sampled_at_s: float = 0.0

    def add(self, value_ms: float, now_s: float) -> None:
        """Add one sample to the average."""
        value = math.log(max(value_ms, 0.1))
        if not self.samples:
            self.log_ms = value
        else:
            self.log_ms += LOG_TIME_EWMA_WEIGHT * (value - self.log_ms)
        self.samples += 1
        self.sampled_at_s = now_s


@dataclass
class TargetHealth:
    """Health of one target."""

    state: HealthState = HealthState.HEALTHY
    times: dict[Measure, SmoothedTime] = field(
        default_factory=lambda: {measure: SmoothedTime() for measure in Measure}
    )
    consecutive_failures: int = 0
    good_probes: int = 0
    next_probe_s: float = 0.0
    probe_interval_s: float = INITIAL_PROBE_INTERVAL_S


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
        self._median_log_ms: dict[Measure, tuple[float, float]] = {}

    def add(self, target: TargetId) -> None:
        """Start a new or restarted target as healthy, without samples."""
        self._targets[target] = TargetHealth()

    def remove(self, target: TargetId) -> None:
        """Remove a target."""
        self._targets.pop(target, None)

    def is_healthy(self, target: TargetId) -> bool:
        """Return whether `target` may get its normal share of calls."""
        return self._targets[target].state is HealthState.HEALTHY

    def slowdown(self, target: TargetId) -> float:
        """Return the ratio of a target's time to the median of its pool.

        The ratio decays towards 1 with the age of the last sample, so that a
        target that gets no calls because it was slow is tried again.
        """
        health = self._targets[target]
        return max(self._slowdown_by(target, health, measure) for measure in Measure)

    def record_success(
        self, target: TargetId, elapsed_ms: float, measure: Measure = Measure.WHOLE
    ) -> None:
        """Record a successful call, or the first part of its answer."""
        health = self._targets[target]
        if measure is Measure.WHOLE:
            health.consecutive_failures = 0
        if health.state is HealthState.EJECTED:
            self._record_probe(target, elapsed_ms, measure)
            return
        health.times[measure].add(elapsed_ms, self._clock.monotonic_s())
        self._eject_if_slow(target)

    def record_overdue(
        self, target: TargetId, age_ms: float, measure: Measure = Measure.WHOLE
    ) -> None:
        """Record a call that was still unfinished after `age_ms`."""
        health = self._targets[target]
        if health.state is HealthState.EJECTED:
            return
        smoothed = health.times[measure]
        if smoothed.samples and math.log(max(age_ms, 0.1)) < smoothed.log_ms:
            return
        smoothed.add(age_ms, self._clock.monotonic_s())
        self._eject_if_slow(target)

    def record_failure(self, target: TargetId, *, crashed: bool) -> None:
        """Record a failed call; a crash ejects the target immediately."""
        health = self._targets[target]
        health.consecutive_failures += 1
        if health.state is HealthState.EJECTED:
            self._back_off(health)
        elif crashed or health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self._eject(health)

    def claim_due_probe(self, candidates: list[TargetId]) -> TargetId | None:
        """Return an ejected target that is due for a probe; schedule its next one."""
        now_s = self._clock.monotonic_s()
        for target in candidates:
            health = self._targets[target]
            if health.state is HealthState.EJECTED and health.next_probe_s <= now_s:
                health.next_probe_s = now_s + health.probe_interval_s
                return target
        return None

    def _slowdown_by(
        self, target: TargetId, health: TargetHealth, measure: Measure
    ) -> float:
        smoothed = health.times[measure]
        reference = self._reference_log_ms(measure)
        if reference is None or smoothed.samples < MIN_VERY_SLOW_SAMPLES:
            return 1.0
        age_s = self._clock.monotonic_s() - smoothed.sampled_at_s
        ratio = math.exp(
            (smoothed.log_ms - reference) * math.exp(-age_s / SLOWDOWN_DECAY_S)
        )
        conclusive = smoothed.samples >= MIN_SAMPLES or ratio >= VERY_SLOW_FACTOR
        return ratio if conclusive else 1.0

    def _record_probe(
        self, target: TargetId, elapsed_ms: float, measure: Measure
    ) -> None:
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
        health.next_probe_s = self._clock.monotonic_s()
        if health.good_probes >= MIN_GOOD_PROBES:
            self._targets[target] = TargetHealth()

    def eject_outlier(self, target: TargetId) -> None:
        """Eject a healthy target after a single extremely slow call."""
        if self.is_healthy(target):
            self._eject_within_limit(target)

    def _eject_if_slow(self, target: TargetId) -> None:
        if self.slowdown(target) >= SLOW_FACTOR:
            self._eject_within_limit(target)

    def _eject_within_limit(self, target: TargetId) -> None:
        ejected = sum(
            health.state is HealthState.EJECTED for health in self._targets.values()
        )
        max_ejected = max(1, int(MAX_EJECTED_SHARE * len(self._targets)))
        if ejected < max_ejected:
            self._eject(self._targets[target])

    def _eject(self, health: TargetHealth) -> None:
        health.state = HealthState.EJECTED
        health.good_probes = 0
        health.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        health.next_probe_s = self._clock.monotonic_s() + INITIAL_PROBE_INTERVAL_S

    def _back_off(self, health: TargetHealth) -> None:
        health.good_probes = 0
        health.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * health.probe_interval_s)
        health.next_probe_s = self._clock.monotonic_s() + health.probe_interval_s

    def _reference_log_ms(self, measure: Measure) -> float | None:
        """Return the median of the pool's healthy targets as a logarithm.

        It is cached for `REFERENCE_REFRESH_S`. Returns None if too few targets have
        enough samples.
        """
        now_s = self._clock.monotonic_s()
        computed_at_s, reference = self._median_log_ms.get(measure, (-math.inf, 0.0))
        if now_s - computed_at_s < REFERENCE_REFRESH_S:
            return reference
        log_times = [
            health.times[measure].log_ms
            for health in self._targets.values()
            if health.times[measure].samples >= MIN_SAMPLES
            and health.state is HealthState.HEALTHY
        ]
        if len(log_times) < MIN_COMPARED_TARGETS:
            return None
        self._median_log_ms[measure] = now_s, median(log_times)
        return self._median_log_ms[measure][1]
