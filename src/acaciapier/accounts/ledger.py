"""In-memory cost counters, from which numbered reports are made."""

from ..core.clock import Clock, epoch_ms
from ..core.ids import Incarnation, InstanceId
from ..wire.messages.accounts import AccountEntry, AccountReport, CostKey, CostTotal
from .models import CostEntry, cost_key

MILLISECONDS_PER_HOUR = 3_600_000


class Ledger:
    """Cost counters of one instance, by workspace, pipeline, stage and class.

    Parameters
    ----------
    instance, incarnation : InstanceId, Incarnation
        Identity included in the reports.
    clock : Clock
        Source of the hour that a report is assigned to.

    Examples
    --------
    >>> ledger.record(entry)
    >>> report = ledger.close_interval()
    """

    def __init__(self, instance: InstanceId, incarnation: Incarnation, clock: Clock):
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        self._totals: dict[CostKey, CostTotal] = {}

    def __len__(self) -> int:
        return len(self._totals)

    def record(self, entry: CostEntry) -> None:
        """Add one call to the counters of the current interval."""
        total = CostTotal(1, entry.service_ms, entry.units)
        key = cost_key(entry)
        self._totals[key] = self._totals.get(key, CostTotal()).plus(total)

    def close_interval(self) -> AccountReport | None:
        """Return the report of the current interval and start the next interval.

        Returns
        -------
        AccountReport or None
            None if nothing was recorded.
        """
        if not self._totals:
            return None
        self._sequence += 1
        entries = tuple(
            AccountEntry(key, self._totals[key]) for key in sorted(self._totals)
        )
        self._totals = {}
        hour = epoch_ms(self._clock.now()) // MILLISECONDS_PER_HOUR
        return AccountReport(
            self._instance, self._incarnation, self._sequence, hour, entries
        )
