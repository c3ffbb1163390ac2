"""Counts of the calls that a stand-in received and a log of the work it ran."""

import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec


class CallCounter:
    """Counts the calls to a platform service by object kind and verb."""

    def __init__(self) -> None:
        self._calls: Counter[tuple[str, str]] = Counter()
        self._refused: Counter[tuple[str, str]] = Counter()

    def count(self, kind: str, verb: str) -> None:
        """Count a received call."""
        self._calls[kind, verb] += 1

    def count_refused(self, kind: str, verb: str) -> None:
        """Count a received call that exceeded the rate budget."""
        self._refused[kind, verb] += 1

    def report(self) -> dict[str, Any]:
        """Return the counts as ``{"calls": {KIND: {VERB: N}}, "refused": ...}``."""
        return {"calls": _nested(self._calls), "refused": _nested(self._refused)}


def _nested(counts: Counter[tuple[str, str]]) -> dict[str, dict[str, int]]:
    nested: dict[str, dict[str, int]] = {}
    for (kind, verb), count in sorted(counts.items()):
        nested.setdefault(kind, {})[verb] = count
    return nested


class WorkEntry(msgspec.Struct):
    """One unit of work that a target started; `ended_ms` is null while it runs."""

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


class WorkLog:
    """Log of the work that a target ran, in memory and optionally in a file.

    An unbuffered line is appended when work starts and again when it ends, so the
    file of a killed process has every started entry. Of two lines with the same
    `number`, the later one is valid.

    Parameters
    ----------
    path : Path, optional
        File of JSON lines to append to.
    """

    def __init__(self, path: Path | None = None):
        self.entries: list[WorkEntry] = []
        self.refused: Counter[str] = Counter()
        self._file = path.open("ab", buffering=0) if path else None

    def start(self, target: str, incarnation: int, envelope: Any) -> WorkEntry:
        """Record the start of the work that `envelope` requests."""
        entry = WorkEntry(
            number=len(self.entries) + 1,
            target=target,
            incarnation=incarnation,
            request_id=envelope.request_id,
            run_id=envelope.run_id,
            workspace=envelope.workspace,
            pipeline=envelope.pipeline,
            stage=envelope.stage,
            attempt=envelope.attempt,
            started_ms=time.time() * 1_000,
        )
        self.entries.append(entry)
        self._write(entry)
        return entry

    def end(self, entry: WorkEntry, units: dict[str, float]) -> None:
        """Record the end of `entry` and the units that it used."""
        entry.ended_ms = time.time() * 1_000
        entry.units = units
        self._write(entry)

    def report(self) -> dict[str, Any]:
        """Return all entries and the refusals by cause."""
        return {"entries": self.entries, "refused": dict(self.refused)}

    def close(self) -> None:
        """Close the file, if any."""
        if self._file:
            self._file.close()

    def _write(self, entry: WorkEntry) -> None:
        if self._file:
            self._file.write(msgspec.json.encode(entry) + b"\n")
