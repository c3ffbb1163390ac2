"""Detection of stragglers and failing targets, relative to their pool."""

import math
from dataclasses import dataclass
from enum import Enum
from statistics import median

from ..core.clock import Clock
from ..core.ids import TargetId

SLOW_FACTOR = 3.0
RECOVERED_FACTOR = 2.0
MIN_SAMPLES = 3
MAX_FAILURES = 3
GOOD_PROBES = 2
SMOOTHING = 0.3
MAX_EJECTED_SHARE = 0.34
FIRST_PROBE_S = 1.0
FORGET_S = 5.0
MAX_PROBE_S = 20.0


class HealthState(Enum):
    """Whether a target gets its share of calls or only probes."""

    HEALTHY = "healthy"
    EJECTED = "ejected"


@dataclass
class TargetHealth:
    """Health of one target; times are smoothed in the logarithm."""

    state: HealthState = HealthState.HEALTHY
    log_ms: float = 0.0
    samples: int = 0
    sampled_at_s: float = 0.0
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
        reference = self._reference_log_ms(target)
        if reference is None or health.samples < MIN_SAMPLES:
            return 1.0
        age_s = self._clock.monotonic_s() - health.sampled_at_s
        return math.exp((health.log_ms - reference) * math.exp(-age_s / FORGET_S))

    def succeeded(self, target: TargetId, elapsed_ms: float) -> None:
        """Record a call that ended well."""
        health = self._targets[target]
        health.failures = 0
        if health.state is HealthState.EJECTED:
            self._probed(target, elapsed_ms)
            return
        self._sample(health, elapsed_ms)
        self._eject_if_slow(target)

    def overdue(self, target: TargetId, age_ms: float) -> None:
        """Record a call that has already taken `age_ms` without an end."""
        health = self._targets[target]
        if health.state is HealthState.EJECTED:
            return
        if health.samples and math.log(max(age_ms, 0.1)) < health.log_ms:
            return
        self._sample(health, age_ms)
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

    def _sample(self, health: TargetHealth, elapsed_ms: float) -> None:
        value = math.log(max(elapsed_ms, 0.1))
        if not health.samples:
            health.log_ms = value
        else:
            health.log_ms += SMOOTHING * (value - health.log_ms)
        health.samples += 1
        health.sampled_at_s = self._clock.monotonic_s()

    def _probed(self, target: TargetId, elapsed_ms: float) -> None:
        health = self._targets[target]
        reference = self._reference_log_ms(target)
        limit = math.inf
        if reference is not None:
            limit = RECOVERED_FACTOR * math.exp(reference)
        if elapsed_ms > limit:
            self._back_off(health)
            return
        health.good_probes += 1
        health.probe_at_s = self._clock.monotonic_s()
        if health.good_probes >= GOOD_PROBES:
            self._targets[target] = TargetHealth()

    def _eject_if_slow(self, target: TargetId) -> None:
        if self.slowness(target) < SLOW_FACTOR:
            return
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

    def _reference_log_ms(self, target: TargetId) -> float | None:
        times = [
            one.log_ms
            for name, one in self._targets.items()
            if name != target
            and one.samples >= MIN_SAMPLES
            and one.state is HealthState.HEALTHY
        ]
        return median(times) if times else None
