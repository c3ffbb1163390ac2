"""Results of submitting a change, and the progress of a submission."""

from dataclasses import dataclass

from .decisions import Conflict, PatchRecord, Rejected
from .requests import RequestedChange
from .state import ObjectKey


@dataclass(frozen=True)
class Accepted:
    """The change is in the log, exactly once.

    Parameters
    ----------
    number : int
        Number of the change in the log.
    versions : tuple of (ObjectKey, int)
        New version of each edited object, in the order of the request.
    resent : bool
        Whether an earlier call with the same patch id had it accepted.
    """

    number: int
    versions: tuple[tuple[ObjectKey, int], ...]
    resent: bool


@dataclass(frozen=True)
class Unavailable:
    """The store did not answer in time, so the outcome may not be known.

    Parameters
    ----------
    may_have_landed : bool
        Whether the change may be in the log. Resend it with the same patch id to
        find out.
    at_least_number : int
        Value to pass in the resend, so that a stale read of the store cannot lead
        to a refusal.
    """

    may_have_landed: bool
    at_least_number: int


SubmitFailure = Conflict | Rejected | Unavailable


class Submission:
    """Progress of one submitted change across its attempts."""

    def __init__(self, request: RequestedChange):
        self.request = request
        self.at_least_number = request.at_least_number
        self.needs_refresh = False
        self.is_sent = False
        self.may_have_landed = False

    @property
    def is_resend(self) -> bool:
        """Whether an acceptance found in the log comes from an earlier call.

        It does if this call has not sent the change yet.
        """
        return not self.is_sent

    def unavailable(self, number: int) -> Unavailable:
        """Return the result for a submission that ran out of time or attempts."""
        return Unavailable(self.may_have_landed, max(number, self.at_least_number))


def accepted_answer(
    request: RequestedChange, record: PatchRecord, resent: bool
) -> Accepted:
    """Return the result for a change that is in the log."""
    keys = [edit.key for edit in request.edits]
    versions = tuple(zip(keys, record.new_versions, strict=True))
    return Accepted(record.number, versions, resent)
