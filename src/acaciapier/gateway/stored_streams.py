"""Keeps in the store which versions began the streams in progress.

All instances that hold the record of a stream may be killed at once. While several
versions serve, nothing else tells at which of them its caller may take it up.
"""

from collections.abc import Callable
from typing import Any

import trio

from ..core.clock import Clock, epoch_ms, to_s
from ..core.ids import InstanceId
from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from ..platform import streams as entry_format
from ..platform.store import PlatformStore
from .peers import Peers
from .software_versions import MAX_RETENTION_MS, RETENTION_MS, BegunStream
from .stream_records import StreamRecords

WRITE_PERIOD_MS = 500.0
"""Least time between two writes: streams of a second are mostly in the store."""

WRITES_SHARE = 0.1
"""Share of the store's write calls that all instances together make for this."""

MIN_WRITES_PER_S = 1.0
"""Least rate of these, if the settings name none."""

RETRY_DELAY_MS = 2_000.0
"""Delay after a failure of the store."""

MAX_STORED_BYTES = 500_000
"""Size of an entry, half of the largest value that the store takes."""

STREAM_BYTES = 16
"""Bytes of a stream in an entry beside its attempt's id."""


class StoredStreams:
    """Writes the streams of this instance to the store, and reads all at the start.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    records : StreamRecords
        The streams that this instance forwards, and those that it holds for others.
    peers : Peers
        The other instances.
    own : InstanceId
        This instance.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor near 1 for the delays after failures.
    log : callable
        Writes a log event, given as a kind and fields.
    writes_per_s : float
        Write calls that the store takes from all instances.
    """

    def __init__(
        self,
        store: PlatformStore,
        records: StreamRecords,
        peers: Peers,
        own: InstanceId,
        clock: Clock,
        jitter: Callable[[], float],
        log: Callable[..., None],
        writes_per_s: float,
    ):
        self._store = store
        self._records = records
        self._peers = peers
        self._own = own
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._writes_per_s = writes_per_s
        self._exists = False
        """Whether the store has an entry of this instance."""
        self._written: set[BegunStream] = set()

    async def run(self) -> None:
        """Read what was in progress before the start, then write until cancelled."""
        while not await self._try(self._read):
            pass
        while True:
            await trio.sleep(to_s(self._period_ms()))
            streams = self._records.live_where_mixed()
            if streams.keys() != self._written and not streams.keys() < self._written:
                await self._try(self._write, _fit(streams))

    def _period_ms(self) -> float:
        instances = 1 + len(self._peers.records)
        writes_per_s = max(MIN_WRITES_PER_S, WRITES_SHARE * self._writes_per_s)
        return max(WRITE_PERIOD_MS, 1_000.0 * instances / writes_per_s)

    async def _try(self, call: Callable, *arguments) -> bool:
        """Return whether a call of the store succeeded; wait for a while if not."""
        try:
            await call(*arguments)
        except StoreError as error:
            self._log("stored_streams_unavailable", reason=str(error))
            await trio.sleep(to_s(RETRY_DELAY_MS) * self._jitter())
            return False
        return True

    async def _read(self) -> None:
        snapshot = await self._store.list(entry_format.KIND)
        now_ms = epoch_ms(self._clock.now())
        restored = 0
        for stored in snapshot.objects:
            self._exists |= stored.name == self._own
            try:
                streams, written_ms = entry_format.decode_streams(stored.value)
            except ValueError as error:
                self._log("entry_unreadable", name=stored.name, reason=str(error))
                continue
            age_ms = max(0, now_ms - written_ms)
            if age_ms > MAX_RETENTION_MS + RETENTION_MS:
                if stored.name != self._own:
                    await self._remove(stored.name, snapshot.position_of(stored))
                continue
            for stream, keep_ms in streams.items():
                if keep_ms > age_ms:
                    self._records.restore(stream, keep_ms - age_ms)
                    restored += 1
        self._log("stored_streams_read", streams=restored)

    async def _remove(self, name: str, position) -> None:
        """Remove the entry of an instance that has written nothing for long."""
        try:
            await self._store.delete(entry_format.KIND, name, position)
        except StoreError as error:
            # Another instance has removed it, or it was written again.
            self._log("entry_not_removed", peer=name, reason=str(error))

    async def _write(self, streams: dict[BegunStream, float]) -> None:
        value = entry_format.encode_streams(streams, epoch_ms(self._clock.now()))
        if not self._exists:
            try:
                await self._store.create(entry_format.KIND, self._own, value)
            except VersionConflict:
                # An earlier call without an answer has created it.
                self._exists = True
        if self._exists:
            await self._replace(value)
        self._exists = True
        self._written = set(streams)

    async def _replace(self, value: dict[str, Any]) -> None:
        try:
            await self._store.replace(entry_format.KIND, self._own, value)
        except StoreUnavailable:
            raise
        except StoreError:
            # The store was restored from a copy without it.
            self._exists = False
            raise


def _fit(streams: dict[BegunStream, float]) -> dict[BegunStream, float]:
    """Return the latest streams that fit into an entry."""
    fitting, left_bytes = {}, MAX_STORED_BYTES
    for stream in reversed(streams):
        left_bytes -= len(stream.attempt) + STREAM_BYTES
        if left_bytes < 0:
            break
        fitting[stream] = streams[stream]
    return fitting
