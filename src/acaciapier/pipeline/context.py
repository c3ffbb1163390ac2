"""Services shared by all runs, and the state of one run."""

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
from .read_coalescer import ReadCoalescer
from .record import RunRecord
from .resume import ResumeTokenSigner


def _noop() -> None:
    """Default for a hook that is not set."""


@dataclass(frozen=True)
class ExecutorServices:
    """Dependencies shared by all runs of an instance.

    Parameters
    ----------
    policy : PathPolicy
        Decides on admission, routing, retries and hedges.
    transport : Transport
        Sends calls to targets.
    record_cost : callable
        Receives a `CostEntry` for each attempt.
    record_target_status : callable
        Receives the status that a target includes in an answer.
    tokens : ResumeTokenSigner
        Signs the resume tokens given to callers.
    instance : str
        Id of this instance.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness.
    background : trio.Nursery
        Runs the cancellation of attempts whose result is not needed.
    read_coalescer : ReadCoalescer
        Delays reads of open streams so that each returns several tokens.
    after_crash : callable
        Called after a crash of a target was reported to the policy and before
        the caller gets the failure.
    """

    policy: PathPolicy
    transport: Transport
    record_cost: Callable[[CostEntry], None]
    record_target_status: Callable[[TargetView, TargetBody], None]
    tokens: ResumeTokenSigner
    instance: str
    clock: Clock
    random: random.Random
    background: trio.Nursery
    read_coalescer: ReadCoalescer
    after_crash: Callable[[], None] = _noop


@dataclass
class RunContext:
    """State of one run.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    pipeline : Pipeline
        Pipeline selected by the route rules; it does not change during the run.
    record : RunRecord
        Receives the parts of the answer and the final event.
    deadline_s : float
        Deadline of the run on the monotonic clock.
    """

    request: CallerRequest
    pipeline: Pipeline
    record: RunRecord
    deadline_s: float
    estimates: tuple[StageEstimate, ...]
    fingerprint: Fingerprint
    remaining_stages: set[StageName]
    may_have_run: bool = False
    attempts: int = 0
    costs: dict[str, StageCost] = field(default_factory=dict)

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the deadline; negative once it has passed."""
        return to_ms(self.deadline_s - clock.monotonic_s())

    def next_attempt(self) -> int:
        """Return the number of the next attempt, unique within the run."""
        self.attempts += 1
        return self.attempts


def stage_estimates(pipeline: Pipeline) -> tuple[StageEstimate, ...]:
    """Return the pool, typical time and dependencies of each stage of `pipeline`."""
    return tuple(
        StageEstimate(stage.name, stage.pool, stage.typical_ms, stage.needs)
        for stage in pipeline.stages
    )
