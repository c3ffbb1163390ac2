"""What one call of a stage cost, as it is recorded."""

from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import PipelineName, StageName, WorkspaceId
from ..objects.models import StageKind
from ..wire.messages.accounts import CostKey


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
