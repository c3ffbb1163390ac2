"""Health of workers as the calls to them show it."""

from dataclasses import dataclass

EXCLUDE_FIRST_MS = 400.0
"""First exclusion: longer than one call, shorter than the tightest deadline."""

EXCLUDE_MAX_MS = 6_000.0
"""Longest exclusion: a worker that is back is found within one more period."""

RATIO_WEIGHT = 0.3
"""Weight of the newest call in a worker's pace; three calls outweigh the past."""

RECOVERY_WEIGHT = 0.6
"""The same for a call that is faster than the pace: a worker of four times the usual
time is used again after one usual call."""

TRIAL_AFTER_S = 1.5
"""A slow worker gets one request after this time without an answer of it: about as
long as its late one makes a caller wait."""

FAILURE_WEIGHT = 0.15
"""Weight of the newest call in a worker's share of failures."""


@dataclass
class _State:
    excluded_until_s: float = 0.0
    exclusion_ms: float = 0.0
    pace: float = 1.0
    failures: float = 0.0
    pace_of_s: float = 0.0


class WorkerHealth:
    """Exclusions, pace and failures of the workers of one service.

    Workers are named by their incarnation, so a restarted one begins anew.
    """

    def __init__(self):
        self._states: dict[str, _State] = {}

    def usable(self, key: str, now_s: float) -> bool:
        """Return whether a worker is not excluded."""
        state = self._states.get(key)
        return state is None or state.excluded_until_s <= now_s

    def on_trial(self, key: str) -> bool:
        """Return whether a worker was excluded and has not succeeded since."""
        state = self._states.get(key)
        return state is not None and state.exclusion_ms > 0

    def pace(self, key: str) -> float:
        """Return how many times the expected time a worker needs."""
        state = self._states.get(key)
        return 1.0 if state is None else state.pace

    def note_pace(self, key: str, ratio: float, now_s: float) -> None:
        """Learn a worker's pace from a call of `ratio` times the expected time."""
        state = self._states.setdefault(key, _State())
        weight = RATIO_WEIGHT if ratio > state.pace else RECOVERY_WEIGHT
        state.pace += weight * (ratio - state.pace)
        state.pace_of_s = now_s

    def pace_is_old(self, key: str, now_s: float) -> bool:
        """Return whether a worker's pace was not seen for a while."""
        state = self._states.get(key)
        return state is None or now_s - state.pace_of_s >= TRIAL_AFTER_S

    def failures(self, key: str) -> float:
        """Return the recent share of failed calls."""
        state = self._states.get(key)
        return 0.0 if state is None else state.failures

    def succeeded(self, key: str) -> None:
        """Take over a good call."""
        state = self._states.setdefault(key, _State())
        state.exclusion_ms = 0.0
        state.excluded_until_s = 0.0
        state.failures *= 1.0 - FAILURE_WEIGHT

    def failed(self, key: str) -> None:
        """Take over a call that failed at a worker that is reachable."""
        state = self._states.setdefault(key, _State())
        state.failures += FAILURE_WEIGHT * (1.0 - state.failures)

    def exclude(self, key: str, now_s: float, most_ms: float = EXCLUDE_MAX_MS) -> float:
        """Send no work to a worker for a time that doubles; return it in ms."""
        state = self._states.setdefault(key, _State())
        doubled_ms = max(EXCLUDE_FIRST_MS, 2 * state.exclusion_ms)
        state.exclusion_ms = min(doubled_ms, most_ms)
        state.excluded_until_s = now_s + state.exclusion_ms / 1_000.0
        return state.exclusion_ms

    def keep_only(self, keys: set[str]) -> None:
        """Forget workers that are gone."""
        for key in self._states.keys() - keys:
            del self._states[key]
