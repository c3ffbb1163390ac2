"""Retries and hedges of one pool under their budgets."""

from .admission import is_overloaded
from .budgets import ShareBudget
from .models import PoolLimits
from .routing import PoolRouter
from .settings import PolicySettings, RetryRule

HEDGE_QUANTILE = 0.98
HEDGE_BURST = 10.0
MAX_HEDGE_FACTOR = 4.0


class ExtraCalls:
    """Decides which calls of a pool may be sent a second time.

    Parameters
    ----------
    router : PoolRouter
        Load and measured times of the pool.
    limits : PoolLimits
        Shares of retries and hedges.
    settings : PolicySettings
        Rules of the baselines.
    """

    def __init__(
        self, router: PoolRouter, limits: PoolLimits, settings: PolicySettings
    ):
        self._router = router
        self._settings = settings
        self._retries = ShareBudget(limits.retry_share_percent)
        self._hedges = ShareBudget(limits.hedge_share_percent, HEDGE_BURST)
        self._granted = 0

    def configure(self, limits: PoolLimits) -> None:
        """Take over new shares."""
        self._retries.configure(limits.retry_share_percent)
        self._hedges.configure(limits.hedge_share_percent)

    def sent(self) -> None:
        """Count a call; one that was not granted as extra is a first attempt."""
        if self._granted:
            self._granted -= 1
            return
        self._retries.earn()
        self._hedges.earn()

    def may_retry(self, typical_ms: float, remaining_ms: float) -> bool:
        """Return whether a retry may be sent, and take it out of the budget."""
        if self._settings.retries is RetryRule.NONE or remaining_ms <= 0:
            return False
        if self._settings.retries is RetryRule.UNLIMITED:
            self._granted += 1
            return True
        if remaining_ms < typical_ms or is_overloaded(self._router):
            return False
        return self._grant(self._retries)

    def hedge_after_ms(self, remaining_ms: float) -> float | None:
        """Return after which time a call should be hedged, or None for never."""
        if not self._settings.hedges or is_overloaded(self._router):
            return None
        whole_ms = self._router.observed.times.quantile_ms(0.5)
        times = self._router.observed.first_part_times
        if times.quantile_ms(0.5) is None:
            times = self._router.observed.times
        late_ms = times.quantile_ms(HEDGE_QUANTILE)
        if whole_ms is None or late_ms is None:
            return None
        # A straggler's own times must not delay the hedges against it.
        after_ms = min(late_ms, MAX_HEDGE_FACTOR * times.quantile_ms(0.5))
        return after_ms if after_ms + whole_ms <= remaining_ms else None

    def can_probe(self) -> bool:
        """Return whether a call to a target that was set aside could be hedged."""
        return not self._settings.hedges or self._hedges.can_spend()

    def may_hedge(self) -> bool:
        """Return whether a hedge may be sent, and take it out of the budget."""
        if not self._settings.hedges or is_overloaded(self._router):
            return False
        return self._grant(self._hedges)

    def _grant(self, budget: ShareBudget) -> bool:
        if not budget.spend():
            return False
        self._granted += 1
        return True
