"""Errors of the administration API and their JSON bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..core.findings import Finding
from .bodies import ErrorBody, FindingBody


class ErrorKind(Enum):
    """Kinds of errors, each with its code in the body and its HTTP status."""

    BAD_REQUEST = ("bad_request", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    CONFLICT = ("conflict", 409)
    TOO_LARGE = ("too_large", 413)
    REJECTED = ("rejected", 422)
    RATE_LIMIT = ("rate_limit", 429)
    INTERNAL = ("internal", 500)
    NOT_IMPLEMENTED = ("not_wired", 501)
    UNAVAILABLE = ("unavailable", 503)

    @property
    def code(self) -> str:
        """Code of the error in the response body."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self.value[1]


@dataclass
class ApiError(Exception):
    """An error that is returned to the operator.

    Parameters
    ----------
    kind : ErrorKind
        Kind, which determines the HTTP status.
    message : str
        What is wrong, in one sentence.
    findings : iterable of Finding
        Every problem in the input, with its place.
    retry_after_ms : float
        Delay before a retry; 0 if a retry would not help.
    at_least_number : int
        Value for the field of the same name when the request is resent.
    may_have_landed : bool
        Whether the change may have been accepted in spite of the error.
    conflicts : tuple of ConflictBody
        Objects that are at another version than the edits are based on.
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
            tuple(
                FindingBody(finding.place, finding.message) for finding in self.findings
            ),
            self.conflicts,
            self.retry_after_ms,
            self.may_have_landed,
            self.at_least_number,
        )
