"""Bodies exchanged with targets, as docs/protocols.md gives them."""

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
        """Return the load as the policy reads it."""
        return Load(self.running, self.queued, self.slots, self.age_ms)


class TargetBody(msgspec.Struct, frozen=True):
    """What a target says about itself in each answer."""

    id: str
    incarnation: int
    leaving: bool = False
    load: LoadBody = LoadBody()


class CallEnvelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A call of one stage attempt; `deadline_ms` is the time that remains."""

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
    """Data of one event of an engine's stream."""

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
    """How one attempt ended, or that its stream has begun.

    Parameters
    ----------
    outcome : CallOutcome
        DONE, or how it failed.
    may_have_run : bool
        Whether the target may have done any work for the attempt.
    output : object
        Result of the stage if it is done.
    units : dict of str to float
        Cost that the target reported.
    service_ms : float
        Time that the target reported to have worked.
    retry_after_ms : int
        When the target wants to be asked again; 0 if it did not say.
    target : TargetBody or None
        The target's word about itself, if it answered.
    message : str
        What went wrong.
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
    """Tokens that arrived together; `offset` is the number of the first."""

    offset: int
    tokens: list[str]
