"""Answers to a submitted change, and what is known while it is under way."""

from dataclasses import dataclass

from .decisions import Conflict, PatchRecord, Rejected
from .requests import RequestedChange
from .state import ObjectKey


@dataclass(frozen=True)
class Accepted:
    """The change is in the order, exactly once.

    Parameters
    ----------
    number : int
        Its place.
    versions : tuple of (ObjectKey, int)
        New version of each edited object.
    resent : bool
        Whether it had been accepted before this call.
    """

    number: int
    versions: tuple[tuple[ObjectKey, int], ...]
    resent: bool


@dataclass(frozen=True)
class Unavailable:
    """The store did not answer.

    Parameters
    ----------
    may_have_landed : bool
        Whether the change may be in the order; send it again with the same id.
    at_least_number : int
        What to name in the resend, so that an older copy cannot refuse it.
    """

    may_have_landed: bool
    at_least_number: int


Refusal = Conflict | Rejected | Unavailable


class Attempt:
    """What is known of one submitted change while it is under way."""

    def __init__(self, request: RequestedChange):
        self.request = request
        self.at_least_number = request.at_least_number
        self.needs_refresh = False
        self.is_sent = False
        self.may_have_landed = False

    @property
    def is_resend(self) -> bool:
        """Whether an acceptance that is found must be older than this call."""
        return not self.is_sent

    def unavailable(self, number: int) -> Unavailable:
        """Return the answer when time or attempts have run out."""
        return Unavailable(self.may_have_landed, max(number, self.at_least_number))


def accepted_of(
    request: RequestedChange, record: PatchRecord, resent: bool
) -> Accepted:
    """Return the answer for a change that is in the order."""
    keys = [edit.key for edit in request.edits]
    versions = tuple(zip(keys, record.new_versions, strict=True))
    return Accepted(record.number, versions, resent)
