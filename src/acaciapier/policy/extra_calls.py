"""Retries and hedged calls of one pool, within their budgets."""

from .admission import is_overloaded
from .budgets import ShareBudget
from .models import PoolLimits
from .routing import PoolRouter
from .settings import PolicySettings, RetryRule

HEDGE_QUANTILE = 0.98
HEDGE_BURST = 10.0
MAX_HEDGE_DELAY_FACTOR = 4.0


class ExtraCalls:
    """Decides which calls to a pool may be retried or hedged.

    Parameters
    ----------
    router : PoolRouter
        Load and measured times of the pool.
    limits : PoolLimits
        Limits of retries and hedges, as shares of first attempts.
    settings : PolicySettings
        Whether and how retries and hedges are limited.
    """

    def __init__(
        self, router: PoolRouter, limits: PoolLimits, settings: PolicySettings
    ):
        self._router = router
        self._settings = settings
        self._retry_budget = ShareBudget(limits.retry_share_percent)
        self._hedge_budget = ShareBudget(limits.hedge_share_percent, HEDGE_BURST)
        self._granted_unsent = 0

    def configure(self, limits: PoolLimits) -> None:
        """Set new limits."""
        self._retry_budget.configure(limits.retry_share_percent)
        self._hedge_budget.configure(limits.hedge_share_percent)

    def sent(self) -> None:
        """Count a sent call.

        Each granted retry or hedge accounts for one sent call; all others are first
        attempts.
        """
        if self._granted_unsent:
            self._granted_unsent -= 1
            return
        self._retry_budget.earn()
        self._hedge_budget.earn()

    def may_retry(self, typical_ms: float, remaining_ms: float) -> bool:
        """Return whether a retry may be sent; if so, charge it to the budget."""
        if self._settings.retries is RetryRule.NONE or remaining_ms <= 0:
            return False
        if self._settings.retries is RetryRule.UNLIMITED:
            self._granted_unsent += 1
            return True
        if remaining_ms < typical_ms or is_overloaded(self._router):
            return False
        return self._grant(self._retry_budget)

    def hedge_after_ms(self, remaining_ms: float) -> float | None:
        """Return the delay after which to hedge a call, or None for no hedge."""
        if not self._settings.hedges or is_overloaded(self._router):
            return None
        median_ms = self._router.observations.times.quantile_ms(0.5)
        times = self._router.observations.first_part_times
        if times.quantile_ms(0.5) is None:
            times = self._router.observations.times
        straggler_ms = times.quantile_ms(HEDGE_QUANTILE)
        if median_ms is None or straggler_ms is None:
            return None
        # Without the cap, a straggler's own slow calls would raise the quantile
        # and delay the hedges against it.
        after_ms = min(straggler_ms, MAX_HEDGE_DELAY_FACTOR * times.quantile_ms(0.5))
        return after_ms if after_ms + median_ms <= remaining_ms else None

    def can_probe(self) -> bool:
        """Return whether a probe of an ejected target could still be hedged."""
        return not self._settings.hedges or self._hedge_budget.can_spend()

    def may_hedge(self) -> bool:
        """Return whether a hedge may be sent; if so, charge it to the budget."""
        if not self._settings.hedges or is_overloaded(self._router):
            return False
        return self._grant(self._hedge_budget)

    def _grant(self, budget: ShareBudget) -> bool:
        if not budget.spend():
            return False
        self._granted_unsent += 1
        return True
