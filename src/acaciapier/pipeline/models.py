"""Requests of callers and the events of a run."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..core.ids import (
    Fingerprint,
    PipelineName,
    RequestId,
    RunId,
    StageName,
    WorkspaceId,
)
from ..core.outcomes import Cause, Outcome


@dataclass(frozen=True)
class CallerRequest:
    """A checked request of a caller.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the caller's token.
    request_id : RequestId
        The caller's name for the request, unique within its workspace.
    pipeline : PipelineName
        Pipeline that was asked for, before route rules.
    input : object
        What the stages without `needs` read.
    deadline_ms : int
        Time for the whole request, from its arrival.
    repeatable : bool
        Whether the request may run more than once.
    recover : bool
        Join the request's run, or declare it as not run; never start it.
    """

    workspace: WorkspaceId
    request_id: RequestId
    pipeline: PipelineName
    input: Any
    deadline_ms: int
    repeatable: bool = True
    recover: bool = False

    @property
    def fingerprint(self) -> Fingerprint:
        """Hash of the workspace and the content, not of the id."""
        content = canonical_json([self.workspace, self.pipeline, self.input])
        return Fingerprint(hashlib.blake2b(content, digest_size=16).hexdigest())


class FinalEvent(msgspec.Struct, frozen=True, kw_only=True):
    """The last event of a run, or the whole body of a refusal."""

    outcome: str
    cause: str | None = None
    message: str = ""
    retry_after_ms: int | None = None
    count: int = 0
    digest: str = ""
    cost: dict[str, dict[str, float]] = {}


class PartEvent(msgspec.Struct, frozen=True):
    """Tokens `offset` to `offset + count` of the answer."""

    offset: int
    text: str
    count: int


class ValueEvent(msgspec.Struct, frozen=True):
    """The whole answer of a pipeline that does not end in tokens."""

    value: Any
    offset: int = 0
    count: int = 1


class StageEvent(msgspec.Struct, frozen=True):
    """A stage has ended."""

    stage: str
    elapsed_ms: float


class ResumeEvent(msgspec.Struct, frozen=True):
    """From here on the request can be resumed on any instance."""

    token: str


class ResetEvent(msgspec.Struct, frozen=True):
    """Another run starts; the parts so far do not belong to its answer."""

    run_id: str
    cause: str


class AcceptedEvent(msgspec.Struct, frozen=True):
    """The request has been admitted."""

    request_id: str
    run_id: str
    configuration_number: int


Event = (
    AcceptedEvent
    | StageEvent
    | ResumeEvent
    | PartEvent
    | ValueEvent
    | ResetEvent
    | FinalEvent
)

EVENT_NAMES = {
    AcceptedEvent: "accepted",
    StageEvent: "stage",
    ResumeEvent: "resume",
    PartEvent: "part",
    ValueEvent: "part",
    ResetEvent: "reset",
    FinalEvent: "final",
}


@dataclass(frozen=True)
class StageResult:
    """Output of a stage, or None in `output` for a streamed answer."""

    stage: StageName
    output: Any
    elapsed_ms: float


@dataclass
class RunIdentity:
    """Names of one run of a request."""

    request_id: RequestId
    run_id: RunId
    configuration_number: int


@dataclass
class StageCost:
    """What a stage of one run has consumed."""

    calls: int = 0
    wasted_calls: int = 0
    service_ms: float = 0.0
    units: dict[str, float] = field(default_factory=dict)


class RunFailed(Exception):
    """A run cannot give its whole answer.

    Parameters
    ----------
    cause : Cause
        Why.
    message : str
        Details for the caller.
    retry_after_ms : int or None
        When the caller should come back.
    """

    def __init__(self, cause: Cause, message: str, retry_after_ms: int | None = None):
        self.cause = cause
        self.message = message
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{cause.value}: {message}")


def refusal(
    cause: Cause,
    message: str,
    retry_after_ms: int | None = None,
    outcome: Outcome = Outcome.NOT_RUN,
) -> FinalEvent:
    """Return the final event of a request that is not run."""
    return FinalEvent(
        outcome=outcome.value,
        cause=cause.value,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def canonical_json(value: Any) -> bytes:
    """Encode `value` so that equal values give equal bytes."""
    return msgspec.json.encode(value, order="sorted")
