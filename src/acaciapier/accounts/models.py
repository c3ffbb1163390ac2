"""Cost records of stage calls."""

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
    """How the result of a call was used, or how the call ended."""

    USED = "used"
    """Its result is part of the answer."""

    WASTED = "wasted"
    """It succeeded, but the result of another attempt was used."""

    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CostEntry:
    """Cost of one call of a stage at its target.

    Parameters
    ----------
    service_ms : float
        Time for which the target processed the call.
    units : dict of str to float
        Other quantities by name, such as tokens.
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
    """Return the key under which `entry` is added up."""
    return CostKey(
        entry.workspace,
        entry.pipeline,
        entry.stage,
        entry.stage_kind.value,
        entry.attempt_class.value,
        entry.outcome_class.value,
    )
