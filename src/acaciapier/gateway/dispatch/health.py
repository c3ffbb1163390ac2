"""Health of workers, as observed in the calls to them."""

import math
from dataclasses import dataclass

FIRST_EXCLUSION_MS = 400.0
"""Duration of a first exclusion: longer than one call, shorter than the tightest
deadline."""

MAX_EXCLUSION_MS = 6_000.0
"""Maximum exclusion, and so the longest time for which a recovered worker stays
unused."""

SLOWDOWN_EWMA_WEIGHT = 0.3
"""Weight of the newest call in a worker's slowdown; the last three calls together weigh
more than all earlier ones."""

RECOVERY_EWMA_WEIGHT = 0.6
"""Weight of a call that is faster than the current slowdown. One call of average
duration lowers a slowdown of four far enough for the worker to be used normally
again."""

SLOW_WORKER_RETRY_S = 1.5
"""Time since the last update of a slow worker's slowdown after which one request is
sent to it again: about as long as its late answer delays a caller."""

UNEVEN_EWMA_WEIGHT = 0.03
"""Weight of the newest call where one in ten calls takes fifty times as long. The error
of the slowdown is then a seventh (standard deviation of its logarithm)."""

UNEVEN_RECOVERY_WEIGHT = 0.06
"""The same for a call that is faster than the worker's slowdown."""

FAILURE_EWMA_WEIGHT = 0.15
"""Weight of the newest call in a worker's failure rate."""


@dataclass
class _WorkerState:
    excluded_until_s: float = 0.0
    exclusion_ms: float = 0.0
    slowdown: float = 1.0
    failure_rate: float = 0.0
    slowdown_updated_s: float = 0.0


class WorkerHealth:
    """Exclusions, slowdowns and failure rates of the workers of one service.

    The key of a worker changes when it restarts, so a restarted worker has no history.
    """

    def __init__(self):
        self._states: dict[str, _WorkerState] = {}

    def usable(self, key: str, now_s: float) -> bool:
        """Return whether a worker is not excluded."""
        state = self._states.get(key)
        return state is None or state.excluded_until_s <= now_s

    def on_probation(self, key: str) -> bool:
        """Return whether a worker was excluded and has not succeeded since."""
        state = self._states.get(key)
        return state is not None and state.exclusion_ms > 0

    def slowdown(self, key: str) -> float:
        """Return a worker's average ratio of measured to expected time."""
        state = self._states.get(key)
        return 1.0 if state is None else state.slowdown

    def record_slowdown(self, key: str, ratio: float, now_s: float) -> None:
        """Update a worker's slowdown with a call of `ratio` times the expected time."""
        state = self._states.setdefault(key, _WorkerState())
        weight = (
            SLOWDOWN_EWMA_WEIGHT if ratio > state.slowdown else RECOVERY_EWMA_WEIGHT
        )
        state.slowdown += weight * (ratio - state.slowdown)
        state.slowdown_updated_s = now_s

    def record_uneven_slowdown(self, key: str, ratio: float, now_s: float) -> None:
        """Update a worker's slowdown where costs are uneven.

        Single calls then say little, so the logarithms of many are averaged.
        """
        state = self._states.setdefault(key, _WorkerState())
        known = max(state.slowdown, 0.01)
        change = math.log(max(ratio, 0.01) / known)
        weight = UNEVEN_EWMA_WEIGHT
        if change < 0:
            # A worker that is avoided has few calls to recover by.
            avoided = self.slowdown_is_outdated(key, now_s)
            weight = SLOWDOWN_EWMA_WEIGHT if avoided else UNEVEN_RECOVERY_WEIGHT
        state.slowdown = known * math.exp(weight * change)
        state.slowdown_updated_s = now_s

    def forget_slowdowns(self) -> None:
        """Forget all slowdowns, which were measured as if costs were alike."""
        for state in self._states.values():
            state.slowdown = 1.0

    def slowdown_is_outdated(self, key: str, now_s: float) -> bool:
        """Return whether a worker's slowdown has not been measured for a while."""
        state = self._states.get(key)
        return state is None or now_s - state.slowdown_updated_s >= SLOW_WORKER_RETRY_S

    def failure_rate(self, key: str) -> float:
        """Return the recent share of failed calls."""
        state = self._states.get(key)
        return 0.0 if state is None else state.failure_rate

    def record_success(self, key: str) -> None:
        """Record a successful call and end the worker's exclusion."""
        state = self._states.setdefault(key, _WorkerState())
        state.exclusion_ms = 0.0
        state.excluded_until_s = 0.0
        state.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT

    def record_failure(self, key: str) -> None:
        """Record a call that failed at a reachable worker."""
        state = self._states.setdefault(key, _WorkerState())
        state.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - state.failure_rate)

    def exclude(
        self,
        key: str,
        now_s: float,
        max_ms: float = MAX_EXCLUSION_MS,
        min_ms: float = 0.0,
    ) -> float:
        """Exclude a worker; return for how many ms, which doubles until a success.

        `min_ms` is the time for which the worker itself wants no calls.
        """
        state = self._states.setdefault(key, _WorkerState())
        doubled_ms = max(FIRST_EXCLUSION_MS, 2 * state.exclusion_ms)
        state.exclusion_ms = min(doubled_ms, max_ms)
        excluded_ms = max(state.exclusion_ms, min_ms)
        state.excluded_until_s = max(
            state.excluded_until_s, now_s + excluded_ms / 1_000.0
        )
        return excluded_ms

    def readmit(self, key: str) -> None:
        """End a worker's exclusion without a successful call."""
        state = self._states.get(key)
        if state is not None:
            state.exclusion_ms = 0.0
            state.excluded_until_s = 0.0

    def excluded_ms(self, key: str, now_s: float) -> float:
        """Return how much longer a worker is excluded."""
        state = self._states.get(key)
        if state is None:
            return 0.0
        return max(0.0, (state.excluded_until_s - now_s) * 1_000.0)

    def keep_only(self, keys: set[str]) -> None:
        """Remove the state of all other workers."""
        for key in self._states.keys() - keys:
            del self._states[key]
