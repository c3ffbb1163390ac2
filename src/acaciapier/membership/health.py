"""How far an instance may trust its own judgement of others."""

from ..core.clock import Clock

MAX_SCORE = 7
LATE_S = 0.25
FROZEN_S = 1.0
DOUBT_AFTER_FREEZE_S = 3.0
RECOVERY_S = 2.0
WATCHED_PROBES = 8


class LocalHealth:
    """Doubts the own process before its peers.

    Two signs count: wake-ups that come later than asked for, and probes that fail
    to most of the peers at once. Each raises the score, by which time-outs are
    stretched. After a freeze no suspicion is raised or confirmed for a while, as
    answers may wait unread.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.score = 0
        self._clock = clock
        self._changed_s = clock.monotonic_s()
        self._doubt_until_s = self._changed_s
        self._outcomes: dict[str, bool] = {}

    @property
    def multiplier(self) -> int:
        """Factor by which time-outs are stretched, 1 to 8."""
        return 1 + self.score

    @property
    def in_doubt(self) -> bool:
        """Whether the process froze a moment ago."""
        return self._clock.monotonic_s() < self._doubt_until_s

    def note_wake_up(self, late_s: float) -> None:
        """Take note that a wake-up came `late_s` after the time asked for."""
        now_s = self._clock.monotonic_s()
        if late_s > FROZEN_S:
            self._doubt_until_s = now_s + DOUBT_AFTER_FREEZE_S
        if late_s > LATE_S:
            self._raise_score()
        elif now_s - self._changed_s > RECOVERY_S and self.score:
            self.score -= 1
            self._changed_s = now_s

    def note_probe(self, peer: str, succeeded: bool) -> None:
        """Take note of the outcome of a direct probe."""
        self._outcomes.pop(peer, None)
        self._outcomes[peer] = succeeded
        if len(self._outcomes) > WATCHED_PROBES:
            del self._outcomes[next(iter(self._outcomes))]
        failures = sum(not ok for ok in self._outcomes.values())
        if not succeeded and failures >= 2 and failures * 2 > len(self._outcomes):
            self._raise_score()

    def _raise_score(self) -> None:
        self.score = min(self.score + 1, MAX_SCORE)
        self._changed_s = self._clock.monotonic_s()
