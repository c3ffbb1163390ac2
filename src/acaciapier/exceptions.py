"""Exceptions raised by acaciapier, all below one root."""

from collections.abc import Sequence
from typing import Any


class AcaciapierError(Exception):
    """Root of every exception that acaciapier raises."""


class FindingsError(AcaciapierError):
    """An input was rejected with one or more findings.

    Parameters
    ----------
    subject : str
        What was checked, such as a file name.
    findings : sequence of Finding
        Every problem that was found, each with its place.
    """

    def __init__(self, subject: str, findings: Sequence[Any]):
        self.subject = subject
        self.findings = tuple(findings)
        noun = "finding" if len(self.findings) == 1 else "findings"
        lines = [f"{subject}: {len(self.findings)} {noun}"]
        lines += [f"  {finding}" for finding in self.findings]
        super().__init__("\n".join(lines))


class StoreError(AcaciapierError):
    """A call of the object API did not succeed."""


class StoreUnavailable(StoreError):
    """The object API did not answer, or refused the call.

    Parameters
    ----------
    message : str
        What happened to the call.
    may_have_landed : bool, default=False
        Whether a change may have taken effect although its answer was lost.
    retry_after_ms : float, default=1000.0
        When the call is worth another try.
    """

    def __init__(
        self,
        message: str = "the object API did not answer",
        may_have_landed: bool = False,
        retry_after_ms: float = 1_000.0,
    ):
        self.may_have_landed = may_have_landed
        self.retry_after_ms = retry_after_ms
        super().__init__(message)


class WatchCompacted(StoreError):
    """The events since the wanted revision are gone; list the objects again."""


class VersionConflict(StoreError):
    """A conditional update named another version than the present one.

    Parameters
    ----------
    name : str
        Kind and name of the object.
    present_version : int
        Version that the object has now; 0 if it does not exist.
    """

    def __init__(self, name: str, present_version: int):
        self.name = name
        self.present_version = present_version
        super().__init__(f"{name} is at version {present_version}")


class ProtocolError(AcaciapierError):
    """A peer sent bytes that the inner protocol does not allow."""


class PeerUnavailable(AcaciapierError):
    """A peer could not be reached, or did not answer in time."""


class PeerTimeout(PeerUnavailable):
    """A peer was reached but did not answer in time."""


class RequestError(AcaciapierError):
    """A request has ended without its whole answer.

    Parameters
    ----------
    final : Final
        The final event, with the cause and when to come back.
    """

    def __init__(self, final: Any):
        self.final = final
        cause = final.cause.value if final.cause else "no cause"
        super().__init__(f"{final.outcome.value}: {cause}: {final.message}")


class NotRun(RequestError):
    """The request did not run; it may be sent again."""


class OutcomeUnknown(RequestError):
    """The request ran in part, or may have run."""


class AnswerGone(RequestError):
    """The request was done earlier, but its answer is not held any more."""


class IncompleteAnswer(AcaciapierError):
    """An answer does not match the count or the digest of its final event."""
