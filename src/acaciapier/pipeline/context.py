"""What one run needs while it is executed."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..accounts import CostEntry
from ..core.clock import Clock, to_ms
from ..core.ids import Fingerprint, StageName
from ..objects.models import Pipeline
from ..policy import PathPolicy, StageEstimate, TargetView
from ..targets.models import TargetBody
from ..targets.transport import Transport
from .models import CallerRequest, StageCost
from .pace import StreamPace
from .record import RunRecord
from .resume import ResumeTokens


def _do_nothing() -> None:
    """Stand for a hook that nobody set."""


@dataclass(frozen=True)
class ExecutorServices:
    """What all runs of an instance share.

    Parameters
    ----------
    policy : PathPolicy
        Decisions on the request path.
    transport : Transport
        Calls of targets.
    record_cost : callable
        Receives a `CostEntry` for each attempt.
    hear_target : callable
        Receives what a target says about itself in an answer.
    tokens : ResumeTokens
        Signs resume tokens.
    instance : str
        Id of this instance.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness.
    background : trio.Nursery
        Where cancellations of lost attempts run.
    pace : StreamPace
        How often open streams are read.
    after_crash : callable
        Called after the policy was told of a crashed target, and before the
        caller learns of it.
    """

    policy: PathPolicy
    transport: Transport
    record_cost: Callable[[CostEntry], None]
    hear_target: Callable[[TargetView, TargetBody], None]
    tokens: ResumeTokens
    instance: str
    clock: Clock
    random: random.Random
    background: trio.Nursery
    pace: StreamPace
    after_crash: Callable[[], None] = _do_nothing


@dataclass
class RunContext:
    """State of one run.

    Parameters
    ----------
    request : CallerRequest
        What the caller asked for.
    pipeline : Pipeline
        The pipeline after route rules, fixed for the whole run.
    record : RunRecord
        Where parts and the final event go.
    deadline_s : float
        End of the run on the monotonic clock.
    """

    request: CallerRequest
    pipeline: Pipeline
    record: RunRecord
    deadline_s: float
    estimates: tuple[StageEstimate, ...]
    fingerprint: Fingerprint
    stages_left: set[StageName]
    may_have_run: bool = False
    attempts: int = 0
    costs: dict[str, StageCost] = field(default_factory=dict)

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the deadline; negative after it."""
        return to_ms(self.deadline_s - clock.monotonic_s())

    def next_attempt(self) -> int:
        """Return a number that no earlier attempt of the run has."""
        self.attempts += 1
        return self.attempts


def estimates_of(pipeline: Pipeline) -> tuple[StageEstimate, ...]:
    """Return what the policy needs to know about the stages of `pipeline`."""
    return tuple(
        StageEstimate(stage.name, stage.pool, stage.typical_ms, stage.needs)
        for stage in pipeline.stages
    )
