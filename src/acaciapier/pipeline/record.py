"""The record of one run: its events, kept so that callers can join and resume."""

import hashlib
from collections.abc import Sequence
from typing import Any

import trio

from ..core.clock import Clock
from ..core.ids import Fingerprint
from .models import (
    AcceptedEvent,
    CallerRequest,
    Event,
    FinalEvent,
    PartEvent,
    ResetEvent,
    ResumeEvent,
    RunIdentity,
    StageEvent,
    ValueEvent,
    canonical_json,
)


class RunRecord:
    """Record of the events of one run, followed by any number of readers.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    identity : RunIdentity
        Ids of the run.
    clock : Clock
        Source of time.
    fingerprint : Fingerprint, optional
        Hash of the content, if `request` lacks the input it is computed from.
    """

    def __init__(
        self,
        request: CallerRequest,
        identity: RunIdentity,
        clock: Clock,
        fingerprint: Fingerprint | None = None,
    ):
        self.request = request
        self.fingerprint = fingerprint or request.fingerprint
        self.identity = identity
        self.started_s = clock.monotonic_s()
        self.first_part_s: float | None = None
        self.ended_s: float | None = None
        self.readers = 0
        self.last_reader_left_s = self.started_s
        self.final: FinalEvent | None = None
        self.cancel_scope = trio.CancelScope()
        self.generation = 0
        self._clock = clock
        self._tokens: list[str] = []
        self._value: ValueEvent | None = None
        self._progress_events: list[Event] = []
        self._reset: ResetEvent | None = None
        self._waiting = trio.lowlevel.ParkingLot()

    @property
    def count(self) -> int:
        """Number of tokens, or 1 if the answer is a value."""
        return 1 if self._value is not None else len(self._tokens)

    @property
    def tokens(self) -> Sequence[str]:
        """Tokens of the current run received so far."""
        return self._tokens

    @property
    def value(self) -> ValueEvent | None:
        """The answer, if the last stage returns a value instead of tokens."""
        return self._value

    @property
    def progress_events(self) -> Sequence[Event]:
        """Accepted, stage and resume events so far."""
        return self._progress_events

    @property
    def reset(self) -> ResetEvent | None:
        """The most recent reset event."""
        return self._reset

    def accept(self) -> None:
        """Append the event that the run was admitted."""
        self._progress_events.append(
            AcceptedEvent(
                self.identity.request_id,
                self.identity.run_id,
                self.identity.configuration_number,
            )
        )
        self._wake_readers()

    def add_tokens(self, tokens: Sequence[str]) -> None:
        """Append tokens of the answer."""
        self._record_first_part_time()
        self._tokens.extend(tokens)
        self._wake_readers()

    def set_value(self, value: Any) -> None:
        """Set the answer of a pipeline whose last stage returns a value."""
        self._record_first_part_time()
        self._value = ValueEvent(value)
        self._wake_readers()

    def add_progress_event(self, event: StageEvent | ResumeEvent) -> None:
        """Append a stage or resume event."""
        self._progress_events.append(event)
        self._wake_readers()

    def restart(self, identity: RunIdentity, cause: str) -> None:
        """Discard all parts because the request is run again."""
        self.identity = identity
        self.generation += 1
        self._tokens = []
        self._value = None
        self._reset = ResetEvent(identity.run_id, cause)
        self._wake_readers()

    def finish(self, final: FinalEvent) -> None:
        """End the run with its final event; later calls do nothing."""
        if self.final is not None:
            return
        self.final = final
        self.ended_s = self._clock.monotonic_s()
        self._wake_readers()

    def digest(self) -> str:
        """Return the hex SHA-256 of the answer."""
        if self._value is not None:
            content = canonical_json(self._value.value)
        else:
            content = "".join(self._tokens).encode()
        return hashlib.sha256(content).hexdigest()

    async def wait_for_change(self) -> None:
        """Wait until the record changes."""
        await self._waiting.park()

    def _record_first_part_time(self) -> None:
        if self.first_part_s is None:
            self.first_part_s = self._clock.monotonic_s()

    def _wake_readers(self) -> None:
        self._waiting.unpark_all()


class RecordReader:
    """Reads the events of a record from a position on.

    Parameters
    ----------
    record : RunRecord
        Record to read.
    position : int
        Number of tokens of this run that the caller already has.
    """

    def __init__(self, record: RunRecord, position: int = 0):
        self._record = record
        self._position = position
        self._progress_events_read = 0
        self._generation = record.generation
        self._ended = False

    async def __aenter__(self):
        self._record.readers += 1
        return self

    async def __aexit__(self, *exc_info):
        self._record.readers -= 1
        self._record.last_reader_left_s = self._record._clock.monotonic_s()

    async def next_events(self) -> list[Event]:
        """Return all events since the last call; an empty list after the final one."""
        while not self._ended:
            events = self._collect()
            if events:
                return events
            await self._record.wait_for_change()
        return []

    def _collect(self) -> list[Event]:
        record = self._record
        events: list[Event] = []
        if self._generation != record.generation:
            self._generation = record.generation
            self._position = 0
            events.append(record.reset)
        events += record.progress_events[self._progress_events_read :]
        self._progress_events_read = len(record.progress_events)
        events += self._collect_parts()
        if record.final is not None:
            self._ended = True
            events.append(record.final)
        return events

    def _collect_parts(self) -> list[Event]:
        record = self._record
        if self._position >= record.count:
            return []
        offset = self._position
        self._position = record.count
        if record.value is not None:
            return [record.value]
        text = "".join(record.tokens[offset:])
        return [PartEvent(offset, text, record.count - offset)]
