"""Records of a history."""

from collections.abc import Iterable
from typing import Any

import msgspec


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


class WorkRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of work that a target started."""

    number: int
    target: str
    incarnation: int
    request_id: str
    run_id: str
    workspace: str
    pipeline: str
    stage: str
    attempt: int
    started_ms: float
    ended_ms: float | None = None
    cancelled: bool = False
    failed: bool = False
    units: dict[str, float] = {}


class LeavingRecord(msgspec.Struct, frozen=True, kw_only=True):
    """When a target first showed that it leaves."""

    target: str
    incarnation: int
    since_ms: float


class History(msgspec.Struct, kw_only=True):
    """Everything that a run has written down."""

    callers: list[CallerRecord] = []
    work: list[WorkRecord] = []
    leaving: list[LeavingRecord] = []


def latest_work(lines: Iterable[dict[str, Any]]) -> list[WorkRecord]:
    """Return the last line of each piece of work in the books of targets."""
    latest: dict[tuple[str, int, int], WorkRecord] = {}
    for line in lines:
        record = msgspec.convert(line, WorkRecord)
        latest[record.target, record.incarnation, record.number] = record
    return list(latest.values())
