"""In-memory store with faults that a test chooses, call by call."""

import copy
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import trio

from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.objects import StageKind, TargetPool, stored_value


class Fault(Enum):
    """What happens to one call."""

    NONE = "none"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    LOST_LATE = "lost, and takes effect later if it still can"
    CRASH_BEFORE = "the caller dies before the call"
    CRASH_AFTER = "the caller dies after the call"
    STALE = "a read answers from an older copy"


class Crash(Exception):
    """The calling process dies here."""


@dataclass(frozen=True)
class Stored:
    kind: str
    name: str
    version: int
    value: object


@dataclass
class Answer:
    revision: int = 0
    items: list = field(default_factory=list)
    events: list = field(default_factory=list)


@dataclass
class Event:
    object: Stored


class FakeStore:
    """Store-wide revisions, conditional updates, and a queue of faults."""

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], Stored] = {}
        self.past: dict[tuple[str, str], list[Stored]] = {}
        self.faults: deque[Fault] = deque()
        self.is_down = False
        self.late = []
        self.calls = 0
        self._changed = trio.Event()

    def _next_fault(self) -> Fault:
        self.calls += 1
        if self.is_down:
            return Fault.LOST_BEFORE
        return self.faults.popleft() if self.faults else Fault.NONE

    @staticmethod
    def _before(fault: Fault) -> None:
        if fault is Fault.LOST_BEFORE:
            raise StoreUnavailable("lost before", True)
        if fault is Fault.CRASH_BEFORE:
            raise Crash

    @staticmethod
    def _after(fault: Fault) -> None:
        if fault is Fault.LOST_AFTER:
            raise StoreUnavailable("lost after", True)
        if fault is Fault.CRASH_AFTER:
            raise Crash

    async def get(self, kind, name, *, purpose):
        fault = self._next_fault()
        self._before(fault)
        await trio.lowlevel.checkpoint()
        self._after(fault)
        past = self.past.get((kind, name), [])
        if fault is Fault.STALE and len(past) > 1:
            return copy.deepcopy(past[-2])
        return copy.deepcopy(self.objects.get((kind, name)))

    async def put(self, kind, name, value, if_version, *, purpose):
        fault = self._next_fault()
        self._before(fault)
        await trio.lowlevel.checkpoint()
        if fault is Fault.LOST_LATE:
            self.late.append((kind, name, copy.deepcopy(value), if_version))
            raise StoreUnavailable("lost, maybe late", True)
        self.write(kind, name, value, if_version)
        self._after(fault)
        return self.revision

    def deliver_late(self):
        """Let the late updates take effect where their version still matches."""
        for update in self.late:
            with suppress(VersionConflict):
                self.write(*update)
        self.late.clear()

    def write(self, kind, name, value, if_version):
        present = self.objects.get((kind, name))
        version = present.version if present else 0
        if if_version is not None and if_version != version:
            raise VersionConflict(f"{kind}/{name}", version)
        self.revision += 1
        stored = Stored(kind, name, self.revision, copy.deepcopy(value))
        self.objects[kind, name] = stored
        self.past.setdefault((kind, name), []).append(stored)
        self._changed.set()
        self._changed = trio.Event()

    async def delete(self, kind, name, if_version, *, purpose):
        fault = self._next_fault()
        self._before(fault)
        present = self.objects.get((kind, name))
        if present is None or present.version != if_version:
            raise VersionConflict(name, present.version if present else 0)
        del self.objects[kind, name]
        self.revision += 1
        self._after(fault)
        return self.revision

    async def list(self, kind, prefix="", *, purpose):
        self._before(self._next_fault())
        items = [
            one
            for (of, name), one in self.objects.items()
            if of == kind and name.startswith(prefix)
        ]
        return Answer(self.revision, items=items)

    async def watch(self, kind, since, wait_ms, *, purpose):
        self._before(self._next_fault())
        with trio.move_on_after(wait_ms / 1000):
            while not self._events(kind, since):
                await self._changed.wait()
        if self.is_down:
            raise StoreUnavailable("down")
        return Answer(self.revision, events=self._events(kind, since))

    def _events(self, kind, since):
        return [
            Event(one)
            for (of, _), one in self.objects.items()
            if of == kind and one.version > since
        ]


def pool_value(name: str, max_outstanding: int = 32) -> dict:
    """Return the value of a pool with one telling number."""
    pool = TargetPool(
        name=name, serves=StageKind.ENCODE, max_outstanding=max_outstanding
    )
    return stored_value(pool)
