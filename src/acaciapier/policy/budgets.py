"""Budgets that bound retries and hedges to a share of first attempts."""

PERCENT = 100.0
DEFAULT_BURST = 5.0


class ShareBudget:
    """Limits extra calls to a share of the first attempts, plus a burst.

    Parameters
    ----------
    share_percent : float
        Extra calls per hundred first attempts.
    burst : float
        Most unused extra calls that the budget accumulates; it starts full.

    Examples
    --------
    >>> budget = ShareBudget(share_percent=50, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(self, share_percent: float, burst: float = DEFAULT_BURST):
        self._share = share_percent / PERCENT
        self._max_burst = burst
        self._burst = burst if share_percent > 0 else 0.0
        self._available = self._burst

    def configure(self, share_percent: float) -> None:
        """Set a new share; the accumulated budget is kept, up to the burst."""
        self._share = share_percent / PERCENT
        self._burst = self._max_burst if share_percent > 0 else 0.0
        self._available = min(self._available, self._burst)

    def earn(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._available = min(self._burst, self._available + self._share)

    def can_spend(self) -> bool:
        """Return whether one extra call is allowed now."""
        return self._available >= 1.0 - 1e-9

    def spend(self) -> bool:
        """Use one extra call of the budget; return False if none is available."""
        if not self.can_spend():
            return False
        self._available -= 1.0
        return True
