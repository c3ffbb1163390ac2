"""Retry budget of all instances for one service.

Limits retries while many workers fail at once. Without it every failing request would
be sent again, and the load would double while capacity is lowest.
"""

from collections import deque

from ...core.clock import to_s
from ..settings import GatewayBounds

BUDGET_SHARE = 0.6
"""Share of the allowed retries that is granted. The rest is a reserve, since sends
during a change of dispatcher are counted twice or not at all."""

HEDGE_SHARE = 2 / 3
"""Share of these that requests of silent workers may use for a second one. If all of
the workers are silent, that helps nobody, and failures afterwards need the rest."""


class RetryBudget:
    """Counts first sends and retries in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first send.
    slack : float
        Retries allowed in each window in addition to those.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_sends: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_send(self, now_s: float) -> None:
        """Count a first send."""
        self._first_sends.append(now_s)

    def spend(self, now_s: float, is_hedge: bool = False) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        A hedge is sent while another worker has the request.
        """
        self._expire(now_s)
        allowed = self._ratio * len(self._first_sends) + self._slack
        share = BUDGET_SHARE * (HEDGE_SHARE if is_hedge else 1.0)
        if len(self._retries) >= share * allowed:
            return False
        self._retries.append(now_s)
        return True

    def refund(self) -> None:
        """Take the newest retry back, which was not granted."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._first_sends, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()


class RetryBudgets:
    """Retry budgets of all services.

    Parameters
    ----------
    bounds : GatewayBounds
        Bounds set by the operators.
    """

    def __init__(self, bounds: GatewayBounds):
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                to_s(self._bounds.retry_window_ms),
            )
        return budget
