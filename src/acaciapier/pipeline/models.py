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
    """A validated request of a caller.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the caller's token.
    request_id : RequestId
        Id chosen by the caller, unique within its workspace.
    pipeline : PipelineName
        Requested pipeline, before route rules are applied.
    input : object
        Input of the request; every stage receives it.
    deadline_ms : int
        Time limit of the whole request, from its arrival.
    repeatable : bool
        Whether the request may run more than once.
    recover : bool
        Join the existing run of the request, or report that it did not run; never
        start one.
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
        """Hash of the workspace, pipeline and input; the request id is not included."""
        content = canonical_json([self.workspace, self.pipeline, self.input])
        return Fingerprint(hashlib.blake2b(content, digest_size=16).hexdigest())


class FinalEvent(msgspec.Struct, frozen=True, kw_only=True):
    """The last event of a run, or the body of a refusal."""

    outcome: str
    cause: str | None = None
    message: str = ""
    retry_after_ms: int | None = None
    count: int = 0
    digest: str = ""
    cost: dict[str, dict[str, float]] = {}


class PartEvent(msgspec.Struct, frozen=True):
    """Tokens of the answer from `offset` up to but excluding `offset + count`."""

    offset: int
    text: str
    count: int


class ValueEvent(msgspec.Struct, frozen=True):
    """The complete answer of a pipeline whose last stage returns a value."""

    value: Any
    offset: int = 0
    count: int = 1


class StageEvent(msgspec.Struct, frozen=True):
    """A stage is done."""

    stage: str
    elapsed_ms: float


class ResumeEvent(msgspec.Struct, frozen=True):
    """Token with which the caller can resume the request on any instance."""

    token: str


class ResetEvent(msgspec.Struct, frozen=True):
    """The run is restarted; the caller must discard the parts received so far."""

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
    """Result of a stage; `output` is None if the stage streamed the answer."""

    stage: StageName
    output: Any
    elapsed_ms: float


@dataclass
class RunIdentity:
    """Ids of one run and the configuration number it was routed with."""

    request_id: RequestId
    run_id: RunId
    configuration_number: int


@dataclass
class StageCost:
    """Calls, service time and units that one stage of a run consumed."""

    calls: int = 0
    wasted_calls: int = 0
    service_ms: float = 0.0
    units: dict[str, float] = field(default_factory=dict)


class RunFailed(Exception):
    """A run ended without a complete answer.

    Parameters
    ----------
    cause : Cause
        Reason that is reported to the caller.
    message : str
        Explanation for the caller.
    retry_after_ms : int or None
        How long the caller should wait before it retries.
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
    """Return the final event of a request that is refused."""
    return FinalEvent(
        outcome=outcome.value,
        cause=cause.value,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def canonical_json(value: Any) -> bytes:
    """Encode `value` as JSON with sorted keys; equal values give equal bytes."""
    return msgspec.json.encode(value, order="sorted")
