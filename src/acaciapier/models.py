"""Answers and events that the client returns."""

from dataclasses import dataclass, field
from typing import Any

from .core.outcomes import Cause, Outcome


@dataclass(frozen=True)
class Part:
    """Part of an answer: `count` tokens, starting at token `offset`.

    If `reset` is set, earlier parts belong to an abandoned run and are void.
    """

    offset: int
    text: str
    count: int
    reset: bool = False


@dataclass(frozen=True)
class Answer:
    """The complete, verified answer of a request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    text : str
        Answer of a pipeline whose last stage generates tokens, else empty.
    value : object
        Answer of a pipeline whose last stage returns a value, else None.
    count : int
        Number of tokens, or 1 for a value.
    digest : str
        Hex SHA-256 of the answer; it has been verified.
    cost : dict
        Calls, service time and units by stage.
    """

    request_id: str
    text: str
    value: Any
    count: int
    digest: str
    cost: dict[str, dict[str, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class Final:
    """The final event of a request, or the body of a refusal."""

    outcome: Outcome
    cause: Cause | None
    message: str
    retry_after_ms: int | None
    count: int
    digest: str
    cost: dict[str, dict[str, float]]

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "Final":
        """Parse the body of a final event; raises ValueError if it is invalid."""
        if not isinstance(body, dict):
            raise ValueError("a final event is an object")
        cause = body.get("cause")
        return cls(
            outcome=Outcome(body.get("outcome")),
            cause=Cause(cause) if cause else None,
            message=str(body.get("message", "")),
            retry_after_ms=body.get("retry_after_ms"),
            count=int(body.get("count", 0)),
            digest=str(body.get("digest", "")),
            cost=body.get("cost") or {},
        )
