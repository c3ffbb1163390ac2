"""Records of a history."""

from collections.abc import Iterable
from typing import Any

import msgspec

from acaciapier_standins.records import WorkEntry


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a request, and what its caller received.

    `outcome` is None if the caller got no final event; `text` or `value` is the
    answer as the caller put it together.
    """

    request_id: str
    workspace: str
    pipeline: str
    input: Any
    repeatable: bool
    sent_ms: float
    ended_ms: float
    outcome: str | None
    cause: str | None = None
    retry_after_ms: int | None = None
    deadline_ms: int = 0
    text: str = ""
    value: Any = None
    count: int = 0
    resets: int = 0
    finals: int = 1


class LeavingRecord(msgspec.Struct, frozen=True, kw_only=True):
    """When a target first showed that it leaves."""

    target: str
    incarnation: int
    since_ms: float


class History(msgspec.Struct, kw_only=True):
    """Everything that a run has written down."""

    callers: list[CallerRecord] = []
    work: list[WorkEntry] = []
    leaving: list[LeavingRecord] = []


def latest_work(lines: Iterable[dict[str, Any]]) -> list[WorkEntry]:
    """Return the last line of each piece of work in the books of targets."""
    latest: dict[tuple[str, int, int], WorkEntry] = {}
    for line in lines:
        record = msgspec.convert(line, WorkEntry)
        latest[record.target, record.incarnation, record.number] = record
    return list(latest.values())
