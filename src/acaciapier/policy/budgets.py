"""Budgets that bound retries and hedges to a share of first attempts."""

PERCENT = 100.0
DEFAULT_BURST = 5.0


class ShareBudget:
    """Allows extra calls up to a share of first attempts plus a burst.

    Parameters
    ----------
    share_percent : float
        Extra calls per hundred first attempts.
    burst : float
        Extra calls that may be saved up.

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
        self._most = burst
        self._burst = burst if share_percent > 0 else 0.0
        self._saved = self._burst

    def configure(self, share_percent: float) -> None:
        """Set a new share; what was saved is kept."""
        self._share = share_percent / PERCENT
        self._burst = self._most if share_percent > 0 else 0.0
        self._saved = min(self._saved, self._burst)

    def earn(self) -> None:
        """Count one first attempt."""
        self._saved = min(self._burst, self._saved + self._share)

    def can_spend(self) -> bool:
        """Return whether one extra call is allowed now."""
        return self._saved >= 1.0 - 1e-9

    def spend(self) -> bool:
        """Take one extra call out of the budget; False if there is none."""
        if not self.can_spend():
            return False
        self._saved -= 1.0
        return True
