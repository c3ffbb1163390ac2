"""The state of the object API: versions, conditional updates and events."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

KEPT_PAST_VERSIONS = 64


class Stored(msgspec.Struct, frozen=True):
    """One object as the object API shows it; a deleted one has no value."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw


@dataclass(frozen=True)
class Change:
    """One change: an object was put, or deleted at `stored.version`."""

    at_s: float
    stored: Stored
    deleted: bool = False


class Conflict(Exception):
    """The present version is not the one that the update named."""

    def __init__(self, present_version: int):
        self.present_version = present_version
        super().__init__(f"present version is {present_version}")


class Missing(Exception):
    """There is no such object."""


class Compacted(Exception):
    """Events after the named revision are no longer kept."""


@dataclass
class _History:
    """The latest changes of one object, oldest first."""

    changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=KEPT_PAST_VERSIONS)
    )

    def at(self, moment_s: float) -> Stored | None:
        """Return the object as it was at `moment_s`, or the oldest that is kept."""
        found = None
        for change in self.changes:
            if change.at_s > moment_s:
                break
            found = change
        if found is None or found.deleted:
            return None
        return found.stored


class ObjectTable:
    """Objects under one store-wide revision.

    Parameters
    ----------
    kept_events : int
        Number of latest events per kind that a watch can start from.
    """

    def __init__(self, kept_events: int = 10_000):
        self.revision = 0
        self._present: dict[str, dict[str, Stored]] = {}
        self._history: dict[tuple[str, str], _History] = {}
        self._events: dict[str, deque[Change]] = {}
        self._kept_events = kept_events
        self._revisions: deque[tuple[float, int]] = deque(maxlen=kept_events)

    def get(self, kind: str, name: str, at_s: float | None = None) -> Stored:
        """Return an object, at the time `at_s` if given; raises `Missing`."""
        if at_s is None:
            found = self._present.get(kind, {}).get(name)
        else:
            history = self._history.get((kind, name))
            found = history.at(at_s) if history else None
        if found is None:
            raise Missing
        return found

    def find(self, kind: str, prefix: str, at_s: float | None = None) -> list[Stored]:
        """Return the objects of `kind` whose names start with `prefix`, by name."""
        if at_s is None:
            present = self._present.get(kind, {})
            return [
                present[name] for name in sorted(present) if name.startswith(prefix)
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
        """Store `value` and return its version; raises `Conflict`."""
        self._check(kind, name, if_version)
        self.revision += 1
        stored = Stored(kind, name, self.revision, value)
        self._present.setdefault(kind, {})[name] = stored
        self._record(Change(at_s, stored))
        return self.revision

    def delete(self, kind: str, name: str, if_version: int | None, at_s: float) -> int:
        """Delete an object, return the revision; raises `Missing` or `Conflict`."""
        if name not in self._present.get(kind, {}):
            raise Missing
        self._check(kind, name, if_version)
        self.revision += 1
        old = self._present[kind].pop(name)
        stored = Stored(kind, name, self.revision, old.value)
        self._record(Change(at_s, stored, deleted=True))
        return self.revision

    def events(
        self, kind: str, since: int, until_s: float | None = None
    ) -> list[Change]:
        """Return the changes of `kind` after revision `since`; raises `Compacted`."""
        kept = self._events.get(kind)
        if not kept:
            return []
        if len(kept) == self._kept_events and kept[0].stored.version > since + 1:
            raise Compacted
        return [
            change
            for change in kept
            if change.stored.version > since
            and (until_s is None or change.at_s <= until_s)
        ]

    def revision_at(self, at_s: float | None) -> int:
        """Return the revision at the time `at_s`, or the present one."""
        if at_s is None:
            return self.revision
        past = [number for moment_s, number in self._revisions if moment_s <= at_s]
        return past[-1] if past else 0

    def _check(self, kind: str, name: str, if_version: int | None) -> None:
        present = self._present.get(kind, {}).get(name)
        version = present.version if present else 0
        if if_version is not None and if_version != version:
            raise Conflict(version)

    def _record(self, change: Change) -> None:
        stored = change.stored
        key = (stored.kind, stored.name)
        self._history.setdefault(key, _History()).changes.append(change)
        events = self._events.setdefault(stored.kind, deque(maxlen=self._kept_events))
        events.append(change)
        self._revisions.append((change.at_s, self.revision))
