"""Messages about accounts, and the records that they carry."""

import msgspec

from ...core.ids import Incarnation, InstanceId
from .base import Message


class CostKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """What costs are totalled by; enum members stand as their values."""

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
    """What one instance recorded in one interval, or the part of it for one page.

    Parameters
    ----------
    sequence : int
        Rises by one with each report of this incarnation, from 1.
    hour : int
        Whole hours since the Unix epoch that the report is booked to.
    """

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    hour: int
    entries: tuple[AccountEntry, ...]


class MergeReports(Message, frozen=True):
    """Asks the owner of a shard to merge reports into one page.

    Parameters
    ----------
    reports : tuple of AccountReport
        All parts for this page that the sender holds unconfirmed, in order.
    urgent : bool
        Whether the sender is about to end.
    """

    hour: int
    shard: int
    reports: tuple[AccountReport, ...]
    urgent: bool = False


class MergeAnswer(Message, frozen=True):
    """Answer to `MergeReports`: whether the page is known to hold them."""

    merged: bool
