"""Simulated object store with revisions, watches and conditional writes."""

import json
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from acaciapier.http.caller import Exchange, IncomingRequest

RAW_MARK = "raw-spec-"
PREFIX = "/api/objects/"
JSON = [(b"Content-Type", b"application/json")]
MAX_COPY_AGE_S = 10.0
"""Age up to which the store keeps copies of its state."""


@dataclass(frozen=True)
class RawSpec:
    """Spec of another writer, which may be no valid JSON."""

    text: bytes


ENDLESS_PART = b" " * 16_000


@dataclass
class StoreFaults:
    """Faults that the store currently shows."""

    down: bool = False
    """Answer every call with status 503."""
    silent: bool = False
    """Leave every call unanswered."""
    delay_s: float = 0.0
    endless: bool = False
    """Answer every call without end."""


@dataclass
class StandInStore:
    """Objects by kind and name that share one revision counter.

    Parameters
    ----------
    page_size : int
        Maximum number of objects in a page of a list.
    clock_s : callable
        Returns the time in seconds, by which the age of copies is measured.
    """

    page_size: int = 50
    faults: StoreFaults = field(default_factory=StoreFaults)
    clock_s: Callable[[], float] = time.monotonic

    def __post_init__(self):
        self.revision = 1
        self.oldest_revision = 1
        self.term = 1
        self.calls = 0
        self.watches: Counter[str] = Counter()
        """Watches that are held open, by kind."""
        self._copies: deque[tuple[float, int, dict]] = deque([(0.0, 1, {})])
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = trio.Event()
        self.translate: Callable[[str, str, Any], Any] = lambda kind, name, spec: spec
        """Rewrites the specs that callers write, to simulate address translation."""

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object and return its revision."""
        objects = self._objects.setdefault(kind, {})
        existing = objects.get(name)
        if existing is not None and existing["spec"] == spec:
            return existing["metadata"]["rev"]
        self.revision += 1
        metadata = {"name": name, "rev": self.revision, "created": self.revision}
        objects[name] = {
            "metadata": metadata | {"finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self._record_event(kind, objects[name], False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        existing = self._objects.get(kind, {}).pop(name, None)
        if existing is not None:
            self.revision += 1
            self._record_event(kind, existing, True)

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def object(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object as a list of its kind holds it."""
        return self._objects[kind][name]

    def restore(self, age_s: float) -> None:
        """Return to the state of `age_s` ago, or the oldest one, and start a new term.

        Later revisions are assigned again, and the history is lost.
        """
        before_s = self.clock_s() - age_s
        while len(self._copies) > 1 and self._copies[-1][0] > before_s:
            self._copies.pop()
        _, self.revision, objects = self._copies[-1]
        self._objects = {kind: dict(named) for kind, named in objects.items()}
        self.term += 1
        self.compact()
        self._wake_watches()

    def compact(self) -> None:
        """Discard all past events, so that older watches get status 410."""
        self._events.clear()
        self.oldest_revision = self.revision

    async def answer(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer an HTTP request to the store."""
        self.calls += 1
        if self.faults.silent:
            await trio.sleep_forever()
        await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            await exchange.respond(503, [self._term_header()])
            return
        if self.faults.endless:
            await exchange.start(200, [*JSON, self._term_header()])
            while True:
                await exchange.send(ENDLESS_PART)
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        status, body = await self._run(
            request.method.decode(), kind, unquote(name), query, request.body
        )
        headers = [*JSON, self._term_header()]
        await exchange.respond(status, headers, _encode(body))

    def _term_header(self) -> tuple[bytes, bytes]:
        return (b"Store-Era", str(self.term).encode())

    async def _run(self, method, kind, name, query, body) -> tuple[int, Any]:
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not name:
            return 200, self._list(objects, query.get("after", ""))
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            return self._delete(kind, name, query)
        return self._write(method, kind, json.loads(body))

    def _list(self, objects: dict[str, Any], after: str) -> dict[str, Any]:
        names = sorted(name for name in objects if name > after)
        items = [objects[name] for name in names[: self.page_size]]
        return {
            "items": items,
            "has_more": len(names) > self.page_size,
            "current_rev": self.revision,
        }

    async def _watch(self, kind: str, since: int, query) -> tuple[int, Any]:
        term = self.term
        self.watches[kind] += 1
        try:
            with trio.move_on_after(int(query.get("wait_ms", 0)) / 1_000.0):
                while self._has_history(since, term) and not self._since(kind, since):
                    await self._changed.wait()
        finally:
            self.watches[kind] -= 1
        if not self._has_history(since, term):
            return 410, {}
        found = self._since(kind, since)
        events = [{"object": obj, "deleted": deleted} for obj, deleted in found]
        return 200, {"events": events, "current_rev": self.revision}

    def _has_history(self, since: int, term: int) -> bool:
        return term == self.term and self.oldest_revision <= since <= self.revision

    def _since(self, kind: str, since: int) -> list[tuple[dict[str, Any], bool]]:
        return [
            (obj, deleted)
            for revision, event_kind, obj, deleted in self._events
            if event_kind == kind and revision > since
        ]

    def _delete(self, kind: str, name: str, query) -> tuple[int, Any]:
        existing = self._objects[kind].get(name)
        if existing is None:
            return 404, {}
        if "rev" in query and int(query["rev"]) != existing["metadata"]["rev"]:
            return 409, existing
        self.delete(kind, name)
        return 200, existing

    def _write(self, method: str, kind: str, body: Any) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        existing = self._objects[kind].get(name)
        if method == "POST" and existing is not None:
            return 409, existing
        if method == "PUT" and existing is None:
            return 404, {}
        expected_revision = body["metadata"].get("rev")
        if existing is not None and expected_revision not in (
            None,
            existing["metadata"]["rev"],
        ):
            return 409, existing
        self.put(kind, name, self.translate(kind, name, body["spec"]))
        return 200, self._objects[kind][name]

    def _record_event(self, kind: str, obj: dict[str, Any], deleted: bool) -> None:
        self._events.append((self.revision, kind, dict(obj), deleted))
        self._keep_copy()
        self._wake_watches()

    def _keep_copy(self) -> None:
        """Keep a copy of the state for `restore`, and drop those that are too old."""
        now_s = self.clock_s()
        objects = {kind: dict(named) for kind, named in self._objects.items()}
        self._copies.append((now_s, self.revision, objects))
        while len(self._copies) > 1 and self._copies[1][0] < now_s - MAX_COPY_AGE_S:
            self._copies.popleft()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def _encode(body: Any) -> bytes:
    """Encode an answer; raw specs are inserted as they are."""
    raw_specs: list[bytes] = []

    def mark(spec: RawSpec) -> str:
        raw_specs.append(spec.text)
        return f"{RAW_MARK}{len(raw_specs) - 1}."

    data = json.dumps(body, default=mark).encode()
    for number, text in enumerate(raw_specs):
        data = data.replace(f'"{RAW_MARK}{number}."'.encode(), text)
    return data
