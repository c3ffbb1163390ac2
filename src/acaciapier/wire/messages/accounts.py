"""Messages of cost accounting, and the records that they carry."""

import msgspec

from ...core.ids import Incarnation, InstanceId
from .base import Message


class CostKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Key by which costs are totalled; enum members are replaced by their values."""

    workspace: str
    pipeline: str
    stage: str
    stage_kind: str
    attempt_class: str
    outcome_class: str


class CostTotal(msgspec.Struct, frozen=True, array_like=True):
    """Totals of one key."""

    calls: int = 0
    service_ms: float = 0.0
    units: dict[str, float] = {}

    def plus(self, other: "CostTotal") -> "CostTotal":
        """Return the sum of both totals."""
        names = sorted(self.units.keys() | other.units.keys())
        units = {n: self.units.get(n, 0.0) + other.units.get(n, 0.0) for n in names}
        return CostTotal(
            self.calls + other.calls, self.service_ms + other.service_ms, units
        )


class AccountEntry(msgspec.Struct, frozen=True, array_like=True):
    """Totals of one key within a report."""

    key: CostKey
    total: CostTotal


class AccountReport(msgspec.Struct, frozen=True):
    """Costs that one instance recorded in an interval, or their part for one page.

    Parameters
    ----------
    sequence : int
        Number of the report within this incarnation, from 1.
    hour : int
        Hour that the report belongs to, in whole hours since the Unix epoch.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    hour: int
    entries: tuple[AccountEntry, ...]


class MergeReports(Message, frozen=True):
    """Requests that the owner of a shard merges reports into one page.

    Parameters
    ----------
    reports : tuple of AccountReport
        All unconfirmed reports of the sender for this page, in order.
    urgent : bool
        Whether the sender is about to shut down.
    """

    hour: int
    shard: int
    reports: tuple[AccountReport, ...]
    urgent: bool = False


class MergeAnswer(Message, frozen=True):
    """Answer to `MergeReports`: whether the page is known to include them."""

    merged: bool
