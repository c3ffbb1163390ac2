"""Exceptions raised by acaciapier, with a common base class."""

from collections.abc import Sequence
from typing import Any


class AcaciapierError(Exception):
    """Base class of all exceptions that acaciapier raises."""


class FindingsError(AcaciapierError):
    """An input was rejected with one or more findings.

    Parameters
    ----------
    subject : str
        Name of the checked input, such as a file name.
    findings : sequence of Finding
        All problems found, each with its location.
    """

    def __init__(self, subject: str, findings: Sequence[Any]):
        self.subject = subject
        self.findings = tuple(findings)
        noun = "finding" if len(self.findings) == 1 else "findings"
        lines = [f"{subject}: {len(self.findings)} {noun}"]
        lines += [f"  {finding}" for finding in self.findings]
        super().__init__("\n".join(lines))


class StoreError(AcaciapierError):
    """A call of the object API failed."""


class StoreUnavailable(StoreError):
    """The object API did not answer or refused the call.

    Parameters
    ----------
    message : str
        How the call failed.
    may_have_landed : bool, default=False
        Whether a write may have taken effect although its answer was lost.
    retry_after_ms : float, default=1000.0
        Delay after which the call may be retried.
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
    """Events since the requested revision were compacted; list the objects again."""


class VersionConflict(StoreError):
    """A conditional update gave a version other than the current one.

    Parameters
    ----------
    name : str
        Kind and name of the object.
    present_version : int
        Current version of the object; 0 if it does not exist.
    """

    def __init__(self, name: str, present_version: int):
        self.name = name
        self.present_version = present_version
        super().__init__(f"{name} is at version {present_version}")


class ProtocolError(AcaciapierError):
    """A peer violated the inner protocol."""


class PeerUnavailable(AcaciapierError):
    """A peer could not be reached or did not answer in time."""


class PeerTimeout(PeerUnavailable):
    """A peer was reached but did not answer in time."""


class RequestError(AcaciapierError):
    """A request ended without its complete answer.

    Parameters
    ----------
    final : Final
        Final event, with the cause and the delay before a retry.
    """

    def __init__(self, final: Any):
        self.final = final
        cause = final.cause.value if final.cause else "no cause"
        super().__init__(f"{final.outcome.value}: {cause}: {final.message}")


class NotRun(RequestError):
    """The request did not run; it is safe to send it again."""


class OutcomeUnknown(RequestError):
    """The request ran in part or may have run."""


class AnswerGone(RequestError):
    """The request completed earlier, but its answer is no longer available."""


class IncompleteAnswer(AcaciapierError):
    """The answer does not match the count or the digest of its final event."""
