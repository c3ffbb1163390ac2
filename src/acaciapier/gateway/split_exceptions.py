"""Keeps in the store which streams began at another version than the assigned one.

These are streams whose worker was silent, and for which no other worker of its version
could take over. They must be known before a version is concluded from splits.
"""

from collections.abc import Callable

import trio

from ..core.clock import Clock, epoch_ms, to_s
from ..exceptions import StoreError, VersionConflict
from ..platform import split_exceptions as entry_format
from ..platform.store import PlatformStore
from .models import AttemptId
from .peers import Peers
from .software_versions import MAX_RETENTION_MS, BegunStream

RANK_KEY = "split-exceptions"
"""Key by which the instance is ranked that removes old entries."""

SWEEP_PERIOD_MS = 60_000.0
"""Period of removing old entries."""

WRITE_TIMEOUT_MS = 500.0
"""Longest delay of a first event by the store."""

READ_TIMEOUT_MS = 1_000.0
"""Timeout of reading the entries."""


class SplitExceptions:
    """Writes and finds streams that began at another version than the assigned one.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    peers : Peers
        The other instances.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(
        self,
        store: PlatformStore,
        peers: Peers,
        clock: Clock,
        log: Callable[..., None],
    ):
        self._store = store
        self._peers = peers
        self._clock = clock
        self._log = log

    async def record(self, stream: BegunStream) -> bool:
        """Write a stream before its first event; return whether the store has it."""
        now_ms = epoch_ms(self._clock.now())
        value = entry_format.encode_exception(stream, now_ms)
        name = entry_format.entry_name(stream.workspace, stream.attempt)
        with trio.move_on_after(to_s(WRITE_TIMEOUT_MS)):
            try:
                await self._store.create(entry_format.KIND, name, value)
            except VersionConflict:
                # Another run of the attempt may have begun at a third version.
                self._log("split_exception_exists", request=stream.attempt)
                return False
            except StoreError as error:
                self._log_failure(stream.attempt, str(error))
                return False
            self._log(
                "split_exception_written",
                request=stream.attempt,
                software_version=stream.software_version,
            )
            return True
        self._log_failure(stream.attempt, "no answer in time")
        return False

    async def find(
        self, workspace: str, attempt: AttemptId
    ) -> tuple[bool, BegunStream | None]:
        """Return whether the entries were read, and the stream if it is among them."""
        name = entry_format.entry_name(workspace, attempt)
        with trio.move_on_after(to_s(READ_TIMEOUT_MS)):
            try:
                snapshot = await self._store.list(entry_format.KIND)
                for stored in snapshot.objects:
                    if stored.name == name:
                        return True, entry_format.decode_exception(stored.value)[0]
            except (StoreError, ValueError) as error:
                self._log_failure(attempt, str(error))
                return False, None
            return True, None
        self._log_failure(attempt, "no answer in time")
        return False, None

    async def sweep(self) -> None:
        """Remove entries that no caller can depend on, until cancelled."""
        while True:
            await trio.sleep(to_s(SWEEP_PERIOD_MS))
            if self._peers.rank(RANK_KEY, True)[:1] != [self._peers.own]:
                continue
            try:
                await self._remove_old()
            except StoreError as error:
                self._log("entry_not_removed", reason=str(error))

    async def _remove_old(self) -> None:
        snapshot = await self._store.list(entry_format.KIND, stale_ok=True)
        oldest_ms = epoch_ms(self._clock.now()) - MAX_RETENTION_MS
        for stored in snapshot.objects:
            try:
                _, written_ms = entry_format.decode_exception(stored.value)
            except ValueError as error:
                self._log("entry_unreadable", name=stored.name, reason=str(error))
                continue
            if written_ms < oldest_ms:
                position = snapshot.position_of(stored)
                await self._store.delete(entry_format.KIND, stored.name, position)

    def _log_failure(self, attempt: AttemptId, reason: str) -> None:
        self._log("split_exceptions_unavailable", request=attempt, reason=reason)
