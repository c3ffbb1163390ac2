"""In-memory versioned objects with conditional updates and change events."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

MAX_PAST_VERSIONS = 64


class StoredObject(msgspec.Struct, frozen=True):
    """A version of an object, as the object API returns it."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw


@dataclass(frozen=True)
class Change:
    """An object was put or deleted; `stored.version` is the revision of the change."""

    at_s: float
    stored: StoredObject
    deleted: bool = False


class Conflict(Exception):
    """The current version differs from the `if_version` of the update."""

    def __init__(self, present_version: int):
        self.present_version = present_version
        super().__init__(f"current version is {present_version}")


class Missing(Exception):
    """The object does not exist."""


class Compacted(Exception):
    """Some events after the requested revision have been discarded."""


@dataclass
class _History:
    """The most recent changes of one object, oldest first."""

    changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=MAX_PAST_VERSIONS)
    )

    def at(self, time_s: float) -> StoredObject | None:
        """Return the object as of `time_s`; None if absent or no change is that old."""
        found = None
        for change in self.changes:
            if change.at_s > time_s:
                break
            found = change
        if found is None or found.deleted:
            return None
        return found.stored


class ObjectTable:
    """Objects that share one revision counter.

    Parameters
    ----------
    kept_events : int
        Number of recent events per kind that are available to watches.
    """

    def __init__(self, kept_events: int = 10_000):
        self.revision = 0
        self._current: dict[str, dict[str, StoredObject]] = {}
        self._history: dict[tuple[str, str], _History] = {}
        self._events: dict[str, deque[Change]] = {}
        self._max_events = kept_events
        self._revisions: deque[tuple[float, int]] = deque(maxlen=kept_events)

    def get(self, kind: str, name: str, at_s: float | None = None) -> StoredObject:
        """Return an object, as of the time `at_s` if given; raises `Missing`."""
        if at_s is None:
            found = self._current.get(kind, {}).get(name)
        else:
            history = self._history.get((kind, name))
            found = history.at(at_s) if history else None
        if found is None:
            raise Missing
        return found

    def find(
        self, kind: str, prefix: str, at_s: float | None = None
    ) -> list[StoredObject]:
        """Return the objects of `kind` whose names start with `prefix`, sorted."""
        if at_s is None:
            current = self._current.get(kind, {})
            return [
                current[name] for name in sorted(current) if name.startswith(prefix)
            ]
        pairs = [key for key in sorted(self._history) if key[0] == kind]
        past = [
            self._history[key].at(at_s) for key in pairs if key[1].startswith(prefix)
        ]
        return [stored for stored in past if stored is not None]

    def put(
        self,
        kind: str,
        name: str,
        value: msgspec.Raw,
        if_version: int | None,
        at_s: float,
    ) -> int:
        """Store `value` and return the new version; raises `Conflict`."""
        self._check(kind, name, if_version)
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, value)
        self._current.setdefault(kind, {})[name] = stored
        self._record(Change(at_s, stored))
        return self.revision

    def delete(self, kind: str, name: str, if_version: int | None, at_s: float) -> int:
        """Delete an object and return the revision; raises `Missing` or `Conflict`."""
        if name not in self._current.get(kind, {}):
            raise Missing
        self._check(kind, name, if_version)
        self.revision += 1
        old = self._current[kind].pop(name)
        stored = StoredObject(kind, name, self.revision, old.value)
        self._record(Change(at_s, stored, deleted=True))
        return self.revision

    def events(
        self, kind: str, since: int, until_s: float | None = None
    ) -> list[Change]:
        """Return the changes of `kind` after revision `since`; raises `Compacted`."""
        kept = self._events.get(kind)
        if not kept:
            return []
        if len(kept) == self._max_events and kept[0].stored.version > since + 1:
            raise Compacted
        return [
            change
            for change in kept
            if change.stored.version > since
            and (until_s is None or change.at_s <= until_s)
        ]

    def revision_at(self, at_s: float | None) -> int:
        """Return the revision as of the time `at_s`, or the current one."""
        if at_s is None:
            return self.revision
        past = [number for time_s, number in self._revisions if time_s <= at_s]
        return past[-1] if past else 0

    def _check(self, kind: str, name: str, if_version: int | None) -> None:
        current = self._current.get(kind, {}).get(name)
        version = current.version if current else 0
        if if_version is not None and if_version != version:
            raise Conflict(version)

    def _record(self, change: Change) -> None:
        stored = change.stored
        key = (stored.kind, stored.name)
        self._history.setdefault(key, _History()).changes.append(change)
        events = self._events.setdefault(stored.kind, deque(maxlen=self._max_events))
        events.append(change)
        self._revisions.append((change.at_s, self.revision))
