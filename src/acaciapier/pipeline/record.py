"""The record of one run: its parts, kept so that readers can join and resume."""

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
    """Append-only record of a run that any number of readers follow.

    Parameters
    ----------
    request : CallerRequest
        What the caller asked for.
    identity : RunIdentity
        Names of the run.
    clock : Clock
        Source of time.
    fingerprint : Fingerprint, optional
        Hash of the content, where `request` does not hold it.
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
        self.last_reader_s = self.started_s
        self.final: FinalEvent | None = None
        self.cancel_scope = trio.CancelScope()
        self.generation = 0
        self._clock = clock
        self._tokens: list[str] = []
        self._value: ValueEvent | None = None
        self._hints: list[Event] = []
        self._reset: ResetEvent | None = None
        self._waiting = trio.lowlevel.ParkingLot()

    @property
    def count(self) -> int:
        """Number of tokens, or 1 if the answer is a value."""
        return 1 if self._value is not None else len(self._tokens)

    @property
    def tokens(self) -> Sequence[str]:
        """Tokens of the present run so far."""
        return self._tokens

    @property
    def value(self) -> ValueEvent | None:
        """The answer, if the pipeline does not end in tokens."""
        return self._value

    @property
    def hints(self) -> Sequence[Event]:
        """Stage and resume events so far."""
        return self._hints

    @property
    def reset(self) -> ResetEvent | None:
        """The latest reset."""
        return self._reset

    def accept(self) -> None:
        """Record that the run was admitted."""
        self._hints.append(
            AcceptedEvent(
                self.identity.request_id,
                self.identity.run_id,
                self.identity.configuration_number,
            )
        )
        self._wake()

    def add_tokens(self, tokens: Sequence[str]) -> None:
        """Append tokens of the answer."""
        self._mark_first_part()
        self._tokens.extend(tokens)
        self._wake()

    def set_value(self, value: Any) -> None:
        """Set the whole answer of a pipeline that does not end in tokens."""
        self._mark_first_part()
        self._value = ValueEvent(value)
        self._wake()

    def add_hint(self, event: StageEvent | ResumeEvent) -> None:
        """Append an event that carries no part of the answer."""
        self._hints.append(event)
        self._wake()

    def restart(self, identity: RunIdentity, cause: str) -> None:
        """Discard all parts, because another run starts."""
        self.identity = identity
        self.generation += 1
        self._tokens = []
        self._value = None
        self._reset = ResetEvent(identity.run_id, cause)
        self._wake()

    def finish(self, final: FinalEvent) -> None:
        """End the run; only the first call counts."""
        if self.final is not None:
            return
        self.final = final
        self.ended_s = self._clock.monotonic_s()
        self._wake()

    def digest(self) -> str:
        """Return the hex SHA-256 of the whole answer."""
        if self._value is not None:
            content = canonical_json(self._value.value)
        else:
            content = "".join(self._tokens).encode()
        return hashlib.sha256(content).hexdigest()

    async def wait_change(self) -> None:
        """Wait until something is added."""
        await self._waiting.park()

    def _mark_first_part(self) -> None:
        if self.first_part_s is None:
            self.first_part_s = self._clock.monotonic_s()

    def _wake(self) -> None:
        self._waiting.unpark_all()


class RecordReader:
    """Follows a record from a position.

    Parameters
    ----------
    record : RunRecord
        What to read.
    position : int
        Number of tokens that the caller already has of this very run.
    """

    def __init__(self, record: RunRecord, position: int = 0):
        self._record = record
        self._position = position
        self._hints_read = 0
        self._generation = record.generation
        self._ended = False

    async def __aenter__(self):
        self._record.readers += 1
        return self

    async def __aexit__(self, *exc_info):
        self._record.readers -= 1
        self._record.last_reader_s = self._record._clock.monotonic_s()

    async def next_events(self) -> list[Event]:
        """Return all events since the last call; empty after the final one."""
        while not self._ended:
            events = self._collect()
            if events:
                return events
            await self._record.wait_change()
        return []

    def _collect(self) -> list[Event]:
        record = self._record
        events: list[Event] = []
        if self._generation != record.generation:
            self._generation = record.generation
            self._position = 0
            events.append(record.reset)
        events += record.hints[self._hints_read :]
        self._hints_read = len(record.hints)
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
