"""In-memory store that injects the faults a test chooses for each call."""

import copy
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import trio

from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.objects import StageKind, TargetPool, stored_value


class Fault(Enum):
    """Fault that is injected into one call."""

    NONE = "none"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    LOST_LATE = "lost, and takes effect later if it still can"
    CRASH_BEFORE = "the caller dies before the call"
    CRASH_AFTER = "the caller dies after the call"
    STALE = "a read answers from an older copy"


class Crash(Exception):
    """Stands for the death of the calling process."""


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
    """Store with store-wide revisions, conditional updates and a queue of faults."""

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], Stored] = {}
        self.versions: dict[tuple[str, str], list[Stored]] = {}
        self.faults: deque[Fault] = deque()
        self.is_down = False
        self.delayed_updates = []
        self.calls = 0
        self._changed = trio.Event()

    def _next_fault(self) -> Fault:
        self.calls += 1
        if self.is_down:
            return Fault.LOST_BEFORE
        return self.faults.popleft() if self.faults else Fault.NONE

    @staticmethod
    def _fail_before(fault: Fault) -> None:
        if fault is Fault.LOST_BEFORE:
            raise StoreUnavailable("lost before", True)
        if fault is Fault.CRASH_BEFORE:
            raise Crash

    @staticmethod
    def _fail_after(fault: Fault) -> None:
        if fault is Fault.LOST_AFTER:
            raise StoreUnavailable("lost after", True)
        if fault is Fault.CRASH_AFTER:
            raise Crash

    async def get(self, kind, name, *, purpose):
        fault = self._next_fault()
        self._fail_before(fault)
        await trio.lowlevel.checkpoint()
        self._fail_after(fault)
        versions = self.versions.get((kind, name), [])
        if fault is Fault.STALE and len(versions) > 1:
            return copy.deepcopy(versions[-2])
        return copy.deepcopy(self.objects.get((kind, name)))

    async def put(self, kind, name, value, if_version, *, purpose):
        fault = self._next_fault()
        self._fail_before(fault)
        await trio.lowlevel.checkpoint()
        if fault is Fault.LOST_LATE:
            self.delayed_updates.append((kind, name, copy.deepcopy(value), if_version))
            raise StoreUnavailable("lost, maybe late", True)
        self.write(kind, name, value, if_version)
        self._fail_after(fault)
        return self.revision

    def deliver_late(self):
        """Apply the delayed updates whose expected version still matches."""
        for update in self.delayed_updates:
            with suppress(VersionConflict):
                self.write(*update)
        self.delayed_updates.clear()

    def write(self, kind, name, value, if_version):
        current = self.objects.get((kind, name))
        version = current.version if current else 0
        if if_version is not None and if_version != version:
            raise VersionConflict(f"{kind}/{name}", version)
        self.revision += 1
        stored = Stored(kind, name, self.revision, copy.deepcopy(value))
        self.objects[kind, name] = stored
        self.versions.setdefault((kind, name), []).append(stored)
        self._changed.set()
        self._changed = trio.Event()

    async def delete(self, kind, name, if_version, *, purpose):
        fault = self._next_fault()
        self._fail_before(fault)
        current = self.objects.get((kind, name))
        if current is None or current.version != if_version:
            raise VersionConflict(name, current.version if current else 0)
        del self.objects[kind, name]
        self.revision += 1
        self._fail_after(fault)
        return self.revision

    async def list(self, kind, prefix="", *, purpose):
        self._fail_before(self._next_fault())
        items = [
            stored
            for (stored_kind, name), stored in self.objects.items()
            if stored_kind == kind and name.startswith(prefix)
        ]
        return Answer(self.revision, items=items)

    async def watch(self, kind, since, wait_ms, *, purpose):
        self._fail_before(self._next_fault())
        with trio.move_on_after(wait_ms / 1000):
            while not self._events(kind, since):
                await self._changed.wait()
        if self.is_down:
            raise StoreUnavailable("down")
        return Answer(self.revision, events=self._events(kind, since))

    def _events(self, kind, since):
        return [
            Event(stored)
            for (stored_kind, _), stored in self.objects.items()
            if stored_kind == kind and stored.version > since
        ]


def pool_value(name: str, max_outstanding: int = 32) -> dict:
    """Return the value of a pool; `max_outstanding` tells its versions apart."""
    pool = TargetPool(
        name=name, serves=StageKind.ENCODE, max_outstanding=max_outstanding
    )
    return stored_value(pool)
