"""Entries of the accounts of cost."""

from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import PipelineName, StageName, WorkspaceId
from ..objects.models import StageKind


class AttemptClass(Enum):
    """Why an attempt was made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class CostClass(Enum):
    """What became of an attempt's result."""

    USED = "used"
    WASTED = "wasted"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class CostEntry:
    """What one attempt at a stage has consumed."""

    workspace: WorkspaceId
    pipeline: PipelineName
    stage: StageName
    stage_kind: StageKind
    attempt_class: AttemptClass
    outcome_class: CostClass
    service_ms: float
    units: dict[str, float] = field(default_factory=dict)
