"""Typed errors of the administration API, and their JSON bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..core.findings import Finding
from .bodies import ErrorBody, FindingBody


class ErrorKind(Enum):
    """Kinds of errors, each with its HTTP status."""

    BAD_REQUEST = ("bad_request", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    CONFLICT = ("conflict", 409)
    TOO_LARGE = ("too_large", 413)
    REJECTED = ("rejected", 422)
    RATE_LIMIT = ("rate_limit", 429)
    INTERNAL = ("internal", 500)
    NOT_WIRED = ("not_wired", 501)
    UNAVAILABLE = ("unavailable", 503)

    @property
    def code(self) -> str:
        """Name of the kind in the body."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.value[1]


@dataclass
class ApiError(Exception):
    """An error that is answered to the operator.

    Parameters
    ----------
    kind : ErrorKind
        Kind, and so the status.
    message : str
        What is wrong, in one sentence.
    findings : iterable of Finding
        Every problem with its place.
    retry_after_ms : float
        When to try again; 0 if that would not help.
    at_least_number : int
        What to name in a resend.
    may_have_landed : bool
        Whether the change may be accepted in spite of the error.
    """

    kind: ErrorKind
    message: str
    findings: Iterable[Finding] = ()
    retry_after_ms: float = 0.0
    at_least_number: int = 0
    may_have_landed: bool = False
    conflicts: tuple = field(default=())

    def body(self) -> ErrorBody:
        """Return the JSON body."""
        return ErrorBody(
            self.kind.code,
            self.message,
            tuple(FindingBody(one.place, one.message) for one in self.findings),
            self.conflicts,
            self.retry_after_ms,
            self.may_have_landed,
            self.at_least_number,
        )
