"""The platform's store of objects: lists, watches and conditional changes."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec
import trio

from ..exceptions import StoreError, StoreUnavailable, VersionConflict, WatchCompacted
from ..gateway.settings import Address
from ..http.client import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    OutgoingRequest,
)

CONNECT_TIMEOUT_MS = 1_000.0
"""Callers' new connections are given one second as well."""

CALL_TIMEOUT_MS = 1_500.0
"""The store answers in 4 ms when it is well; half of the shortest stable time."""

MAX_ANSWER_BYTES = 8_000_000
"""A page holds about 1 MB; twice that and room for the largest object."""

OK = 200
NOT_FOUND = 404
CONFLICT = 409
COMPACTED = 410


class _Metadata(msgspec.Struct):
    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Page(msgspec.Struct):
    items: list[_Object]
    current_rev: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    current_rev: int


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the revision of its last change and its value."""

    name: str
    revision: int
    value: Any
    deleted: bool = False


@dataclass(frozen=True)
class Snapshot:
    """Objects of a kind, or changes of them, up to a revision of the store."""

    objects: list[StoredObject]
    revision: int


class PlatformStore:
    """Calls of the store, over connections that are kept.

    Parameters
    ----------
    address : Address
        Where the store listens.
    count : callable, optional
        Told the purpose of each call.
    """

    def __init__(self, address: Address, count: Callable[[str], None] = lambda _: None):
        self._address = address
        self._count = count
        self._idle: list[HttpConnection] = []

    async def list(self, kind: str) -> Snapshot:
        """Return all objects of a kind."""
        objects: list[StoredObject] = []
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            body = await self._call("list", b"GET", f"{_path(kind)}{query}")
            page = _decode(body, _Page)
            objects += [_stored(one) for one in page.items]
            if not page.has_more or not page.items:
                return Snapshot(objects, page.current_rev)
            after = page.items[-1].metadata.name

    async def watch(self, kind: str, revision: int, wait_ms: int) -> Snapshot:
        """Return the changes after `revision`, as soon as there are any.

        Raises
        ------
        WatchCompacted
            If the store has dropped that history.
        StoreUnavailable
            If it does not answer in `wait_ms` and a little more.
        """
        path = f"{_path(kind)}?watch={revision}&wait_ms={wait_ms}"
        body = await self._call("watch", b"GET", path, CALL_TIMEOUT_MS + wait_ms)
        changes = _decode(body, _Events)
        return Snapshot(
            [_stored(one.object, one.deleted) for one in changes.events],
            changes.current_rev,
        )

    async def create(self, kind: str, name: str, value: Any) -> None:
        """Create an object, or raise `VersionConflict` if it exists."""
        body = _encode(name, value)
        await self._call("create", b"POST", _path(kind), body=body)

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None = None
    ) -> None:
        """Replace an object, if it still has `revision` where one is given."""
        path = f"{_path(kind)}/{quote(name, safe='')}"
        await self._call("replace", b"PUT", path, body=_encode(name, value, revision))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object if it still has `revision`; a missing one is fine."""
        path = f"{_path(kind)}/{quote(name, safe='')}?rev={revision}"
        await self._call("delete", b"DELETE", path)

    async def _call(
        self,
        purpose: str,
        method: bytes,
        path: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        body: bytes = b"",
    ) -> bytes:
        self._count(purpose)
        headers = [(b"Host", f"{self._address.host}:{self._address.port}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = OutgoingRequest(method, path.encode(), headers, body)
        with trio.move_on_after(timeout_ms / 1_000.0):
            async with self._connection() as connection:
                await connection.send(request)
                head = await connection.receive_head()
                answer = await connection.receive_whole_body(MAX_ANSWER_BYTES)
            return _check(head.status, path, answer)
        raise StoreUnavailable(f"no answer in {timeout_ms:g} ms", method != b"GET")

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


def _check(status: int, path: str, answer: bytes) -> bytes:
    if 200 <= status < 300:
        return answer
    if status == COMPACTED:
        raise WatchCompacted(path)
    if status == CONFLICT:
        present = msgspec.json.decode(answer, type=_Object) if answer else None
        raise VersionConflict(path, present.metadata.rev if present else 0)
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


def _decode(body: bytes, kind: type):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f"malformed answer: {error}") from error


def _stored(raw: _Object, deleted: bool = False) -> StoredObject:
    return StoredObject(raw.metadata.name, raw.metadata.rev, raw.spec, deleted)
