"""Retry budget of all instances for one service.

Limits retries while many workers fail at once. Without it every failing request would
be sent again, and the load would double while capacity is lowest. Dispatchers report
what was sent in heartbeats, so that the next one does not begin with a full budget.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...core.clock import to_s
from ...wire.messages.gateway import RetryCount, RetryUse
from ..settings import GatewayBounds

BUDGET_SHARE = 0.6
"""Share of the allowed retries that is granted. The rest is a reserve, since sends
during a change of dispatcher are counted twice or not at all."""

HEDGE_SHARE = 2 / 3
"""Share of these that requests of silent workers may use for a second one. If all of
the workers are silent, that helps nobody, and failures afterwards need the rest."""

REPORTED_STEPS = 10
"""Parts of the window for which sends are reported together."""

MIN_STEP_S = 0.001
"""Least length of such a part, for a window of no length."""

REPORT_PERIOD_MS = 50.0
"""Least time between two counts of the recent sends, half a heartbeat period."""

MAX_DISPATCHERS = 32
"""Other dispatchers of a service whose sends are kept, those that sent last."""


@dataclass(slots=True)
class _Reported:
    """Sends that another dispatcher granted, by the time of each part of the window."""

    changes: int
    counts: list[tuple[float, int, int]] = field(default_factory=list)


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
        self.set_bounds(ratio, slack, window_s)
        self._first_sends: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._changes = 0
        """Number of changes of these, which orders the reports of them."""
        self._others: dict[str, _Reported] = {}
        """By dispatcher."""

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Apply changed bounds to what was counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_first_send(self, now_s: float) -> None:
        """Count a first send."""
        self._first_sends.append(now_s)
        self._changes += 1

    def spend(self, now_s: float, is_hedge: bool = False) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        A hedge is sent while another worker has the request.
        """
        self._expire(now_s)
        first_sends, retries = len(self._first_sends), len(self._retries)
        for other in self._others.values():
            first_sends += sum(count for _, count, _ in other.counts)
            retries += sum(count for _, _, count in other.counts)
        allowed = self._ratio * first_sends + self._slack
        share = BUDGET_SHARE * (HEDGE_SHARE if is_hedge else 1.0)
        if retries >= share * allowed:
            return False
        self._retries.append(now_s)
        self._changes += 1
        return True

    def refund(self) -> None:
        """Take the newest retry back, which was not granted."""
        if self._retries:
            self._retries.pop()
            self._changes += 1

    def merge(self, report: RetryUse, now_s: float) -> None:
        """Count what another dispatcher has granted, unless a newer report is known."""
        known = self._others.get(report.dispatcher)
        if known is not None and report.changes <= known.changes:
            return
        self._others[report.dispatcher] = _Reported(
            report.changes,
            [
                (now_s - to_s(max(0.0, one.age_ms)), one.first_sends, one.retries)
                for one in report.counts[:REPORTED_STEPS]
            ],
        )
        if len(self._others) > MAX_DISPATCHERS:
            del self._others[min(self._others, key=self._last_s)]

    def reports(self, service: str, own: str, now_s: float) -> list[RetryUse]:
        """Return what was granted lately, here and elsewhere, for messages to peers.

        Empty if nothing was granted here, or if nothing was retried. What others
        granted is handed on to instances that have started since.
        """
        self._expire(now_s)
        others = self._others.values()
        retried = any(count for other in others for _, _, count in other.counts)
        if not (self._retries or (retried and self._first_sends)):
            return []
        reports = [RetryUse(service, own, self._changes, self._own_counts(now_s))]
        for dispatcher, other in self._others.items():
            counts = tuple(
                RetryCount((now_s - at_s) * 1_000.0, first_sends, retries)
                for at_s, first_sends, retries in other.counts
            )
            if counts:
                reports.append(RetryUse(service, dispatcher, other.changes, counts))
        return reports

    def _own_counts(self, now_s: float) -> tuple[RetryCount, ...]:
        step_s = max(MIN_STEP_S, self._window_s / REPORTED_STEPS)
        counts = [[0, 0] for _ in range(REPORTED_STEPS)]
        for kind, times in enumerate((self._first_sends, self._retries)):
            for at_s in times:
                step = min(REPORTED_STEPS - 1, int((now_s - at_s) / step_s))
                counts[step][kind] += 1
        return tuple(
            RetryCount(step * step_s * 1_000.0, first_sends, retries)
            for step, (first_sends, retries) in enumerate(counts)
            if first_sends or retries
        )

    def _last_s(self, dispatcher: str) -> float:
        """Return when another dispatcher granted something last."""
        counts = self._others[dispatcher].counts
        return max((at_s for at_s, _, _ in counts), default=float("-inf"))

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._first_sends, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
        for other in self._others.values():
            other.counts = [one for one in other.counts if one[0] >= oldest_s]


class RetryBudgets:
    """Retry budgets of all services.

    Parameters
    ----------
    bounds : GatewayBounds
        Bounds set by the operators.
    own : str
        Incarnation of this instance, under which its grants are reported.
    """

    def __init__(self, bounds: GatewayBounds, own: str = ""):
        self._bounds = bounds
        self._own = own
        self._budgets: dict[str, RetryBudget] = {}
        self._reports: tuple[RetryUse, ...] = ()
        self._reported_s = float("-inf")

    def set_bounds(self, bounds: GatewayBounds) -> None:
        """Apply changed bounds of the operators to what was counted."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.set_bounds(*self._limits())

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(*self._limits())
        return budget

    def reports(self, now_s: float) -> tuple[RetryUse, ...]:
        """Return what was granted lately at all services, for heartbeats.

        Heartbeats to several peers shortly after one another carry the same.
        """
        if now_s - self._reported_s >= to_s(REPORT_PERIOD_MS):
            self._reported_s = now_s
            self._reports = tuple(
                report
                for service, budget in self._budgets.items()
                for report in budget.reports(service, self._own, now_s)
            )
        return self._reports

    def merge(
        self, reports: Iterable[RetryUse], services: Iterable[str], now_s: float
    ) -> None:
        """Count what other dispatchers granted at the known services."""
        for report in reports:
            if report.dispatcher != self._own and report.service in services:
                self.of(report.service).merge(report, now_s)

    def _limits(self) -> tuple[float, float, float]:
        bounds = self._bounds
        window_s = to_s(bounds.retry_window_ms)
        return bounds.retry_ratio, bounds.retry_slack, window_s
