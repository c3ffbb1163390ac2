"""Stand-in of the platform's store: revisions, lists, watches and conditions."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from acaciapier.http.caller import Exchange, IncomingRequest

PREFIX = "/api/objects/"
JSON = [(b"Content-Type", b"application/json")]


@dataclass
class StoreFaults:
    """What the store does wrong at the moment."""

    down: bool = False
    """Every call is answered with 503."""
    silent: bool = False
    """No call is answered."""
    delay_s: float = 0.0


@dataclass
class StandInStore:
    """Objects by kind and name, with one counter of revisions.

    Parameters
    ----------
    page : int
        Objects in one answer of a list.
    """

    page: int = 50
    faults: StoreFaults = field(default_factory=StoreFaults)

    def __post_init__(self):
        self.revision = 1
        self.oldest = 1
        self.calls = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = trio.Event()
        self.translate: Callable[[str, str, Any], Any] = lambda kind, name, spec: spec
        """Changes what callers write, as a network that translates addresses does."""

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["rev"]
        self.revision += 1
        metadata = {"name": name, "rev": self.revision, "created": self.revision}
        objects[name] = {
            "metadata": metadata | {"finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self._note(kind, objects[name], False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._note(kind, known, True)

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def compact(self) -> None:
        """Drop the history."""
        self._events.clear()
        self.oldest = self.revision

    async def answer(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        if self.faults.silent:
            await trio.sleep_forever()
        await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            await exchange.respond(503, [])
            return
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        status, body = await self._run(
            request.method.decode(), kind, unquote(name), query, request.body
        )
        await exchange.respond(status, JSON, json.dumps(body).encode())

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
        names = sorted(one for one in objects if one > after)
        items = [objects[one] for one in names[: self.page]]
        return {
            "items": items,
            "has_more": len(names) > self.page,
            "current_rev": self.revision,
        }

    async def _watch(self, kind: str, since: int, query) -> tuple[int, Any]:
        with trio.move_on_after(int(query.get("wait_ms", 0)) / 1_000.0):
            while since >= self.oldest and not self._since(kind, since):
                await self._changed.wait()
        if since < self.oldest:
            return 410, {}
        found = self._since(kind, since)
        events = [{"object": one, "deleted": gone} for one, gone in found]
        return 200, {"events": events, "current_rev": self.revision}

    def _since(self, kind: str, since: int) -> list[tuple[dict[str, Any], bool]]:
        return [
            (one, gone)
            for revision, of_kind, one, gone in self._events
            if of_kind == kind and revision > since
        ]

    def _delete(self, kind: str, name: str, query) -> tuple[int, Any]:
        known = self._objects[kind].get(name)
        if known is None:
            return 404, {}
        if "rev" in query and int(query["rev"]) != known["metadata"]["rev"]:
            return 409, known
        self.delete(kind, name)
        return 200, known

    def _write(self, method: str, kind: str, body: Any) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        known = self._objects[kind].get(name)
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, {}
        wanted = body["metadata"].get("rev")
        if known is not None and wanted not in (None, known["metadata"]["rev"]):
            return 409, known
        self.put(kind, name, self.translate(kind, name, body["spec"]))
        return 200, self._objects[kind][name]

    def _note(self, kind: str, one: dict[str, Any], gone: bool) -> None:
        self._events.append((self.revision, kind, dict(one), gone))
        changed, self._changed = self._changed, trio.Event()
        changed.set()
