"""Health of the local process, as far as it affects the failure detector."""

from ..core.clock import Clock

MAX_SCORE = 7
LATE_WAKE_UP_S = 0.25
FREEZE_THRESHOLD_S = 1.0
RECENT_FREEZE_S = 3.0
SCORE_DECAY_PERIOD_S = 2.0
MAX_PROBE_OUTCOMES = 8


class LocalHealth:
    """Detects that this process is slow, so that it does not blame its peers.

    Two signs raise the score: timers that fire late, and direct probes that fail to
    most of the recently probed peers. Timeouts grow with the score. After a process
    freeze no suspicion is raised or confirmed for a while, since answers may still
    be unread in the receive buffers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.score = 0
        self._clock = clock
        self._score_changed_s = clock.monotonic_s()
        self._recently_frozen_until_s = self._score_changed_s
        self._probe_outcomes: dict[str, bool] = {}

    @property
    def timeout_multiplier(self) -> int:
        """Factor by which timeouts are multiplied, from 1 to 8."""
        return 1 + self.score

    @property
    def recently_frozen(self) -> bool:
        """Whether the process was frozen a short time ago."""
        return self._clock.monotonic_s() < self._recently_frozen_until_s

    def record_wake_up(self, late_s: float) -> None:
        """Record that a timer fired `late_s` after its due time."""
        now_s = self._clock.monotonic_s()
        if late_s > FREEZE_THRESHOLD_S:
            self._recently_frozen_until_s = now_s + RECENT_FREEZE_S
        if late_s > LATE_WAKE_UP_S:
            self._raise_score()
        elif now_s - self._score_changed_s > SCORE_DECAY_PERIOD_S and self.score:
            self.score -= 1
            self._score_changed_s = now_s

    def record_probe(self, peer: str, succeeded: bool) -> None:
        """Record the outcome of a direct probe."""
        self._probe_outcomes.pop(peer, None)
        self._probe_outcomes[peer] = succeeded
        if len(self._probe_outcomes) > MAX_PROBE_OUTCOMES:
            del self._probe_outcomes[next(iter(self._probe_outcomes))]
        failures = sum(not ok for ok in self._probe_outcomes.values())
        if not succeeded and failures >= 2 and failures * 2 > len(self._probe_outcomes):
            self._raise_score()

    def _raise_score(self) -> None:
        self.score = min(self.score + 1, MAX_SCORE)
        self._score_changed_s = self._clock.monotonic_s()
