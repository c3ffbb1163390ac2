"""Client of the platform's object store: lists, watches and conditional changes."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import trio

from ..exceptions import StoreError, StoreUnavailable, VersionConflict, WatchCompacted
from ..gateway.models import StorePosition
from ..gateway.settings import Address
from ..http.client import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    OutgoingRequest,
    ResponseHead,
)
from .pages import (
    AmbiguousEvents,
    Object,
    decode_events,
    decode_object,
    decode_page,
)

CONNECT_TIMEOUT_MS = 1_000.0
"""Callers' new connections also time out after one second."""

CALL_TIMEOUT_MS = 1_500.0
"""A healthy store responds within 4 ms. The timeout is half of the shortest time after
which a store that responds again counts as stable."""

MAX_RESPONSE_BYTES = 8_000_000
"""A page has about 1 MB; the limit allows twice that plus the largest object."""

NOT_FOUND = 404
CONFLICT = 409
COMPACTED = 410

STALE_OK = {"stale_ok": 1}

# The platform calls a term of its store an era.
TERM_HEADER = b"store-era"
MAX_TERM_DIGITS = 18
"""Longest term that is taken for one."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object with the revision of its last change."""

    name: str
    revision: int
    value: Any
    deleted: bool = False


@dataclass(frozen=True)
class Snapshot:
    """Objects of a kind, or changes to them, up to a position of the store."""

    objects: list[StoredObject]
    position: StorePosition

    def position_of(self, stored: StoredObject) -> StorePosition:
        """Return the position of an object's last change."""
        return StorePosition(self.position.term, stored.revision)


@dataclass(frozen=True, slots=True)
class _Answer:
    body: bytes
    term: int


class PlatformStore:
    """Client of the store that reuses its connections.

    All answers carry the term of the store, which rises whenever the store is restored
    from a copy. Answers of an earlier term than the newest known one are discarded.

    Parameters
    ----------
    address : Address
        Address of the store.
    count_call : callable, optional
        Called with the purpose of each call.
    log : callable, optional
        Called with an event name and its fields.
    """

    def __init__(
        self,
        address: Address,
        count_call: Callable[[str], None] = lambda _: None,
        log: Callable[..., None] = lambda *args, **fields: None,
    ):
        self.term = 0
        """Newest known term; 0 until a store has reported one."""
        self.on_new_term: Callable[[int], None] = lambda previous: None
        """Called with the previous term when a new one is seen; 0 for the first."""
        self._address = address
        self._count_call = count_call
        self._log = log
        self._idle: list[HttpConnection] = []
        self._malformed_terms: set[bytes] = set()

    async def list(self, kind: str, stale_ok: bool = False) -> Snapshot:
        """Return all objects of a kind, read page by page.

        Its position is that of the first page: changes between two pages come later.
        With `stale_ok` the objects may be seconds old, at a tenth of the price.

        Raises
        ------
        StoreUnavailable
            If the store does not answer, or was restored between two pages.
        """
        objects: list[StoredObject] = []
        after = ""
        first_term = first_revision = None
        while True:
            query = urlencode(
                ({"after": after} if after else {}) | (STALE_OK if stale_ok else {})
            )
            query = f"?{query}" if query else ""
            answer = await self._call("list", b"GET", f"{_path(kind)}{query}")
            page = _decode(answer.body, partial(decode_page, after=after))
            if first_term is None:
                first_term, first_revision = answer.term, page.current_rev
            if not answer.term == first_term == self.term:
                raise StoreUnavailable("the store was restored during a list")
            objects += [_to_stored_object(item) for item in page.items]
            if not page.has_more or not page.items:
                return Snapshot(objects, StorePosition(answer.term, first_revision))
            before, after = after, max(item.metadata.name for item in page.items)
            if after <= before:
                raise StoreUnavailable("a page of a list names no object after it")

    async def watch(
        self,
        kind: str,
        position: StorePosition,
        wait_ms: int,
        stale_ok: bool = False,
    ) -> Snapshot:
        """Return the changes after `position`; the store waits for one up to `wait_ms`.

        With `stale_ok` the newest changes may be missing, at a tenth of the price.

        Raises
        ------
        WatchCompacted
            If the store has no history from `position` on, or was restored since, or
            its answer cannot be told from what an unreadable object quotes.
        StoreUnavailable
            If it does not respond within `wait_ms` plus `CALL_TIMEOUT_MS`.
        """
        path = f"{_path(kind)}?watch={position.revision}&wait_ms={wait_ms}"
        if stale_ok:
            path += f"&{urlencode(STALE_OK)}"
        answer = await self._call("watch", b"GET", path, CALL_TIMEOUT_MS + wait_ms)
        if not answer.term == position.term == self.term:
            # The restored store has assigned these revisions again.
            raise WatchCompacted(path)
        try:
            changes = _decode(
                answer.body, partial(decode_events, since=position.revision)
            )
        except AmbiguousEvents as error:
            self._log("store_changes_ambiguous", kind=kind, reason=str(error))
            raise WatchCompacted(path) from error
        return Snapshot(
            [
                _to_stored_object(event.object, event.deleted)
                for event in changes.events
            ],
            StorePosition(answer.term, changes.current_rev),
        )

    async def create(self, kind: str, name: str, value: Any) -> None:
        """Create an object, or raise `VersionConflict` if it exists."""
        body = _encode(name, value)
        await self._call("create", b"POST", _path(kind), body=body)

    async def replace(
        self, kind: str, name: str, value: Any, position: StorePosition | None = None
    ) -> None:
        """Replace an object; if `position` is given, only if it did not change since.

        Raises
        ------
        VersionConflict
            If the object has changed, or `position` is from an earlier term.
        """
        path = f"{_path(kind)}/{quote(name, safe='')}"
        revision = None if position is None else self._revision_of(path, position)
        await self._call("replace", b"PUT", path, body=_encode(name, value, revision))

    async def delete(self, kind: str, name: str, position: StorePosition) -> None:
        """Delete an object if it did not change since `position`.

        Raises
        ------
        VersionConflict
            If the object has changed, or `position` is from an earlier term.
        StoreError
            If there is no such object.
        """
        path = f"{_path(kind)}/{quote(name, safe='')}"
        revision = self._revision_of(path, position)
        await self._call("delete", b"DELETE", f"{path}?rev={revision}")

    def _revision_of(self, path: str, position: StorePosition) -> int:
        """Return the revision for a condition, if it is of the current term.

        A restored store assigns revisions again, so that the condition of an earlier
        term could hold for another content.
        """
        if position.term != self.term:
            raise VersionConflict(path, 0)
        return position.revision

    async def _call(
        self,
        purpose: str,
        method: bytes,
        path: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        body: bytes = b"",
    ) -> "_Answer":
        self._count_call(purpose)
        headers = [(b"Host", f"{self._address.host}:{self._address.port}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = OutgoingRequest(method, path.encode(), headers, body)
        with trio.move_on_after(timeout_ms / 1_000.0):
            async with self._connection() as connection:
                await connection.send(request)
                head = await connection.receive_head()
                term = self._check_term(head, may_have_landed=method != b"GET")
                response_body = await connection.receive_full_body(MAX_RESPONSE_BYTES)
            return _Answer(_check_status(head.status, path, response_body), term)
        raise StoreUnavailable(f"no answer in {timeout_ms:g} ms", method != b"GET")

    def _check_term(self, head: ResponseHead, may_have_landed: bool) -> int:
        """Return and record the term of an answer; discard it if it is outdated.

        An answer without a valid term counts as one of the newest known term.
        """
        value = head.get(TERM_HEADER)
        if value is None:
            return self.term
        if not value.isdigit() or len(value) > MAX_TERM_DIGITS:
            if value not in self._malformed_terms:
                self._malformed_terms.add(value)
                self._log("store_term_malformed", value=value.decode("latin-1"))
            return self.term
        term = int(value)
        if term < self.term:
            message = f"answer of term {term}; the store is in term {self.term}"
            raise StoreUnavailable(message, may_have_landed)
        if term > self.term:
            previous, self.term = self.term, term
            self.on_new_term(previous)
        return term

    @asynccontextmanager
    async def _connection(self):
        connection = None
        while self._idle and connection is None:
            connection = self._idle.pop()
            if connection.has_unread_input():
                connection.close()
                connection = None
        try:
            if connection is None:
                connection = await HttpConnection.open(
                    self._address.host, self._address.port, CONNECT_TIMEOUT_MS
                )
            yield connection
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from error
        except ConnectionBroken as error:
            raise StoreUnavailable(str(error), may_have_landed=True) from error
        finally:
            if connection is not None:
                if connection.reusable and not connection.has_unread_input():
                    self._idle.append(connection)
                else:
                    connection.close()


def _check_status(status: int, path: str, response_body: bytes) -> bytes:
    if 200 <= status < 300:
        return response_body
    if status == COMPACTED:
        raise WatchCompacted(path)
    if status == CONFLICT:
        current = decode_object(response_body)
        raise VersionConflict(path, current.metadata.rev)
    if status == NOT_FOUND:
        raise StoreError(f"{path} does not exist")
    raise StoreUnavailable(f"{path} was answered with {status}")


def _path(kind: str) -> str:
    return f"/api/objects/{kind}"


def _encode(name: str, value: Any, revision: int | None = None) -> bytes:
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["rev"] = revision
    return msgspec.json.encode({"metadata": metadata, "spec": value})


def _decode(body: bytes, decode: Callable[[bytes], Any]) -> Any:
    try:
        return decode(body)
    except AmbiguousEvents:
        raise
    except ValueError as error:
        raise StoreUnavailable(f"malformed answer: {error}") from error


def _to_stored_object(raw: Object, deleted: bool = False) -> StoredObject:
    return StoredObject(raw.metadata.name, raw.metadata.rev, raw.spec, deleted)
