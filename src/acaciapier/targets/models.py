"""Bodies exchanged with targets, as specified in docs/protocols.md."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..policy.models import CallOutcome, Load


class LoadBody(msgspec.Struct, frozen=True):
    """Load that a target reports about itself."""

    running: int = 0
    queued: int = 0
    slots: int = 1
    age_ms: float = 0.0

    def to_load(self) -> Load:
        """Convert to the load model of the policy."""
        return Load(self.running, self.queued, self.slots, self.age_ms)


class TargetBody(msgspec.Struct, frozen=True):
    """Status of a target, included in each of its answers."""

    id: str
    incarnation: int
    leaving: bool = False
    load: LoadBody = LoadBody()


class CallEnvelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Request body of one stage attempt; `deadline_ms` is the remaining time."""

    request_id: str
    run_id: str
    workspace: str
    pipeline: str
    stage: str
    attempt: int
    deadline_ms: int
    priority: int = 0
    input: Any = None
    parameters: dict[str, Any] = {}
    stream_id: str | None = None
    max_tokens: int | None = None


class AnswerBody(msgspec.Struct, frozen=True):
    """Body of a unary answer, whether done, refused or failed."""

    run_id: str = ""
    stage: str = ""
    attempt: int = 0
    output: Any = None
    units: dict[str, float] = {}
    service_ms: float = 0.0
    target: TargetBody | None = None
    error: str | None = None
    not_run: bool = False
    cause: str = ""
    retry_after_ms: int = 0


class StreamBody(msgspec.Struct, frozen=True):
    """Data of one event in the stream of an engine."""

    offset: int = -1
    tokens: list[str] = []
    done: bool = False
    count: int = 0
    digest: str = ""
    units: dict[str, float] = {}
    service_ms: float = 0.0
    target: TargetBody | None = None
    error: str | None = None
    not_run: bool = False


@dataclass(frozen=True)
class CallAnswer:
    """Outcome of one attempt; DONE also means that a stream was opened.

    Parameters
    ----------
    outcome : CallOutcome
        DONE, or the kind of failure.
    may_have_run : bool
        Whether the target may have started work on the attempt.
    output : object
        Result of the stage, if the outcome is DONE.
    units : dict of str to float
        Cost that the target reported.
    service_ms : float
        Processing time that the target reported.
    retry_after_ms : int
        Delay after which the target accepts a retry; 0 if it gave none.
    target : TargetBody or None
        Status that the target included in its answer, if any.
    message : str
        Description of the failure.
    """

    outcome: CallOutcome
    may_have_run: bool = True
    output: Any = None
    units: dict[str, float] = field(default_factory=dict)
    service_ms: float = 0.0
    retry_after_ms: int = 0
    target: TargetBody | None = None
    message: str = ""


@dataclass(frozen=True)
class TokenBatch:
    """Tokens that arrived together; `offset` is the index of the first one."""

    offset: int
    tokens: list[str]
