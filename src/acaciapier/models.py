"""What the client returns: answers and their events."""

from dataclasses import dataclass, field
from typing import Any

from .core.outcomes import Cause, Outcome


@dataclass(frozen=True)
class Part:
    """A piece of an answer: `count` tokens from number `offset` on.

    `reset` tells that the parts before it belong to a run that was given up.
    """

    offset: int
    text: str
    count: int
    reset: bool = False


@dataclass(frozen=True)
class Answer:
    """The whole, checked answer of a request.

    Parameters
    ----------
    request_id : str
        The caller's name for the request.
    text : str
        The answer of a pipeline that ends in tokens, else empty.
    value : object
        The answer of a pipeline that ends in a value, else None.
    count : int
        Number of tokens, or 1 for a value.
    digest : str
        Hex SHA-256 of the answer; it has been checked.
    cost : dict
        Cost by stage: calls, time and units.
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
    def of_body(cls, body: dict[str, Any]) -> "Final":
        """Read the body of a final event; raises ValueError if it is not one."""
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
