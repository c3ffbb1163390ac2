"""The fleet's budget of repeated sends to one service.

Answers failures of many workers at once: without it, each failing request would
be sent again and the load would double when there is least room for it.
"""

from collections import deque

BUDGET_SHARE = 0.6
"""Share of the allowance that is used: sends that cross a change of dispatcher are
counted twice or not at all."""


class RepeatBudget:
    """Counts first and repeated sends in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeated sends that are allowed for each first one.
    slack : float
        Repeated sends that are allowed besides.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_first(self, now_s: float) -> None:
        """Count a first send."""
        self._firsts.append(now_s)

    def spend(self, now_s: float) -> bool:
        """Count a repeated send if there is room for it; return whether."""
        self._expire(now_s)
        allowed = self._ratio * len(self._firsts) + self._slack
        if len(self._repeats) >= BUDGET_SHARE * allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
