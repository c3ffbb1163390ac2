"""Simulated object API of the platform."""

from collections.abc import Callable
from typing import Any

import msgspec
import trio
from trio.lowlevel import ParkingLot

from acaciapier.core.clock import to_s

from .budget import TokenBucket
from .http import Request, Response, error, retry_after
from .object_table import Change, Compacted, Conflict, Missing, ObjectTable
from .records import CallCounter
from .settings import ObjectApiSettings
from .standin import Standin, build_standin


class PutBody(msgspec.Struct):
    """Body of a PUT: the value and, if conditional, the version it replaces."""

    value: msgspec.Raw
    if_version: int | None = None


class ObjectApi(Standin):
    """The object API with rate limits, latency and faults."""

    def __init__(self, settings: ObjectApiSettings):
        super().__init__(settings)
        self.table = ObjectTable(settings.kept_events)
        self.call_counter = CallCounter()
        self._reads = TokenBucket(settings.reads_per_s, settings.reads_per_s)
        self._writes = TokenBucket(settings.writes_per_s, settings.writes_per_s)
        self._watch_waiters: dict[str, ParkingLot] = {}
        self.app.add("GET", "/v1/objects/*/*", self._get)
        self.app.add("PUT", "/v1/objects/*/*", self._put)
        self.app.add("DELETE", "/v1/objects/*/*", self._delete)
        self.app.add("GET", "/v1/objects/*", self._list)
        self.app.add("GET", "/v1/watch/*", self._watch)

    def report(self) -> dict[str, Any]:
        """Return the numbers of received and refused calls by kind and verb."""
        return self.call_counter.report()

    async def _admit(
        self, request: Request, kind: str, verb: str, bucket: TokenBucket
    ) -> Response | None:
        """Count a call, apply faults and the rate limit, then wait for its latency."""
        self.call_counter.count(kind, verb)
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        wait_s = bucket.take(1, trio.current_time())
        if wait_s > 0:
            self.call_counter.count_refused(kind, verb)
            return retry_after(429, "over_budget", wait_s)
        await trio.sleep(to_s(self.settings.latency_ms))
        return None

    def _read_time_s(self) -> float | None:
        """Return the time as of which reads are served, or None for the present."""
        stale_ms = self.faults.current.stale_ms
        return trio.current_time() - to_s(stale_ms) if stale_ms else None

    async def _get(self, request: Request) -> Response:
        kind, name = request.segments[2:]
        refusal = await self._admit(request, kind, "get", self._reads)
        if refusal is not None:
            return refusal
        try:
            return Response(self.table.get(kind, name, self._read_time_s()))
        except Missing:
            return error(404, "not_found")

    async def _list(self, request: Request) -> Response:
        kind = request.segments[2]
        refusal = await self._admit(request, kind, "list", self._reads)
        if refusal is not None:
            return refusal
        at_s = self._read_time_s()
        items = self.table.find(kind, request.query.get("prefix", ""), at_s)
        return Response({"revision": self.table.revision_at(at_s), "items": items})

    async def _put(self, request: Request) -> Response:
        kind, name = request.segments[2:]
        refusal = await self._admit(request, kind, "put", self._writes)
        if refusal is not None:
            return refusal
        body = request.json(PutBody)
        if len(body.value) > self.settings.max_value_bytes:
            return error(413, "too_large")
        value = msgspec.Raw(bytes(body.value))
        return self._change(
            kind,
            lambda now_s: self.table.put(kind, name, value, body.if_version, now_s),
        )

    async def _delete(self, request: Request) -> Response:
        kind, name = request.segments[2:]
        refusal = await self._admit(request, kind, "delete", self._writes)
        if refusal is not None:
            return refusal
        if_version = request.integer("if_version", None)
        return self._change(
            kind, lambda now_s: self.table.delete(kind, name, if_version, now_s)
        )

    def _change(self, kind: str, apply: Callable[[float], int]) -> Response:
        """Apply a change, wake the watches and answer, unless `lost` applies."""
        try:
            version = apply(trio.current_time())
        except Conflict as conflict:
            return error(409, "conflict", version=conflict.present_version)
        except Missing:
            return error(404, "not_found")
        if kind in self._watch_waiters:
            self._watch_waiters.pop(kind).unpark_all()
        self.faults.drop_answer_if_drawn()
        return Response({"version": version})

    async def _watch(self, request: Request) -> Response:
        kind = request.segments[2]
        refusal = await self._admit(request, kind, "watch", self._reads)
        if refusal is not None:
            return refusal
        since = request.integer("since", 0)
        wait_ms = float(request.query.get("wait_ms") or 0)
        wait_ms = min(wait_ms, self.settings.max_wait_ms)
        try:
            changes = await self._changes_after(kind, since, to_s(wait_ms))
        except Compacted:
            return error(410, "compacted")
        revision = max(since, self.table.revision_at(self._read_time_s()))
        return Response(
            {"revision": revision, "events": [_event_of(change) for change in changes]}
        )

    async def _changes_after(
        self, kind: str, since: int, wait_s: float
    ) -> list[Change]:
        changes: list[Change] = []
        with trio.move_on_after(wait_s):
            while True:
                changes = self.table.events(kind, since, self._read_time_s())
                if changes:
                    return changes
                await self._wait_for_change(kind)
        return changes

    async def _wait_for_change(self, kind: str) -> None:
        """Wait for a change of `kind`; while reads are stale, at most `stale_ms`."""
        stale_ms = self.faults.current.stale_ms
        with trio.move_on_after(to_s(stale_ms) if stale_ms else float("inf")):
            await self._watch_waiters.setdefault(kind, ParkingLot()).park()


def _event_of(change: Change) -> dict[str, Any]:
    return {"type": "delete" if change.deleted else "put", "object": change.stored}


@build_standin.register
def _(settings: ObjectApiSettings) -> Standin:
    return ObjectApi(settings)
