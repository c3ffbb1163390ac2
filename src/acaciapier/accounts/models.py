"""Entries, totals and reports of what stages cost."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..core.ids import Incarnation, InstanceId, PipelineName, StageName, WorkspaceId
from ..objects.models import StageKind


class AttemptClass(Enum):
    """Why a call of a stage was made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class OutcomeClass(Enum):
    """What became of the work of a call."""

    USED = "used"
    """Its result is part of the answer."""

    WASTED = "wasted"
    """It ended well, but another attempt's result was used."""

    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CostEntry:
    """What one call of a stage spent at its target.

    Parameters
    ----------
    service_ms : float
        Time that the target worked on the call.
    units : dict of str to float
        Further quantities by name, such as tokens.
    """

    workspace: WorkspaceId
    pipeline: PipelineName
    stage: StageName
    stage_kind: StageKind
    attempt_class: AttemptClass
    outcome_class: OutcomeClass
    service_ms: float
    units: dict[str, float] = field(default_factory=dict)


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
    """What one instance recorded in one interval.

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


def cost_key(entry: CostEntry) -> CostKey:
    """Return the key that `entry` is totalled under."""
    return CostKey(
        entry.workspace,
        entry.pipeline,
        entry.stage,
        entry.stage_kind.value,
        entry.attempt_class.value,
        entry.outcome_class.value,
    )
