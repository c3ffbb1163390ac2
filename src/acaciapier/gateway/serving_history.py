"""Keeps in the store which software versions served lately, and where routes led.

Instances forget it when all of them are killed at once. Those that start then could not
tell which version began a stream that its caller resumes.
"""

from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s
from ..exceptions import StoreError
from ..platform import serving as entry_format
from ..platform import workers as worker_format
from ..platform.store import PlatformStore, Snapshot, StoredObject
from .catalogue import Catalogue
from .models import ServingRecord
from .peers import Peers
from .request_state import RESUMED_WITHIN_TIMEOUTS
from .software_versions import MAX_RETENTION_MS, RETENTION_MS

RANK_KEY = "serving-history"
"""Key by which instances are ranked to select those that write the record."""

WRITERS = 3
"""Instances that write a change, one after the other if it is not written yet."""

WRITER_DELAY_MS = 2_000.0
"""Delay between them; a healthy store answers within milliseconds."""

CHECK_PERIOD_MS = 500.0
"""Period of checking whether the record differs from what is known here."""

SETTLE_MS = 1_000.0
"""Time after the start in which the instances learn of each other."""

RETRY_DELAY_MS = 1_000.0
"""Delay after a failure of the store."""


class ServingHistory:
    """Reads the record of what served lately at the start, and keeps it up to date.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    catalogue : Catalogue
        What serves, and what did since the start of this instance.
    peers : Peers
        The other instances.
    started_ms : int
        Unix time of the start of this instance in milliseconds.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor near 1 for the delays after failures.
    log : callable
        Writes a log event, given as a kind and fields.
    first_start : bool
        Whether the whole system starts for the first time: nothing served before.
    is_current : callable
        Returns whether this instance reads from the store and does not stop.
    """

    def __init__(
        self,
        store: PlatformStore,
        catalogue: Catalogue,
        peers: Peers,
        started_ms: int,
        clock: Clock,
        jitter: Callable[[], float],
        log: Callable[..., None],
        first_start: bool,
        is_current: Callable[[], bool],
    ):
        self._store = store
        self._catalogue = catalogue
        self._peers = peers
        self._started_ms = started_ms
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._first_start = first_start
        self._is_current = is_current
        self._known: ServingRecord | None = None
        """The record in the store, as far as this instance knows."""
        self._differs_since_s: float | None = None

    async def run(self) -> None:
        """Read the record and keep it up to date until cancelled."""
        while not await self._try(self._read):
            pass
        await trio.sleep(to_s(SETTLE_MS))
        while True:
            await trio.sleep(to_s(CHECK_PERIOD_MS))
            if self._is_due():
                await self._try(self._write)

    async def _try(self, call: Callable) -> bool:
        """Return whether a call of the store succeeded; wait for a while if not."""
        try:
            await call()
        except StoreError as error:
            self._log("serving_record_unavailable", reason=str(error))
            await trio.sleep(to_s(RETRY_DELAY_MS) * self._jitter())
            return False
        return True

    async def _read(self) -> None:
        """Take over what the record tells of the time before this instance started."""
        while not self._catalogue.complete:
            await trio.sleep(to_s(CHECK_PERIOD_MS))
        snapshot, stored, record = await self._list()
        within_ms = 0.0
        if record is not None and record.term == snapshot.position.term:
            within_ms = record.within_ms
        elif stored is None and await self.nothing_before():
            within_ms = MAX_RETENTION_MS
        routes = self._catalogue.former_routes
        if record is not None:
            self._catalogue.serving.add_former(record.versions)
            routes.add_former(record.routes)
        self._catalogue.serving.add_known(within_ms)
        routes.add_known(within_ms)
        self._log(
            "serving_record_read",
            found=record is not None,
            known_ms=self._catalogue.serving.known_ms,
            routes_known_ms=routes.known_ms,
        )

    async def nothing_before(self) -> bool:
        """Return whether no instance ran before those that start now."""
        return self._first_start and not await self._has_earlier_instances()

    async def _has_earlier_instances(self) -> bool:
        """Return whether the store lists an instance that started long before."""
        # Entries that matter here are older than any stale answer.
        snapshot = await self._store.list(worker_format.PEER_KIND, stale_ok=True)
        oldest_ms = self._started_ms - RETENTION_MS
        for stored in snapshot.objects:
            try:
                peer = worker_format.decode_peer(stored.name, stored.value)
            except ValueError as error:
                self._log("entry_unreadable", name=stored.name, reason=str(error))
                return True
            if peer.started_ms < oldest_ms:
                return True
        return False

    async def _write(self) -> None:
        """Write what is known here, together with what the record tells already."""
        snapshot, stored, self._known = await self._list()
        if self._known is not None:
            self._catalogue.serving.add_former(self._known.versions)
            self._catalogue.former_routes.add_former(self._known.routes)
        record = self._make_record()
        if record is None or record == self._known:
            return
        value = entry_format.encode_record(record)
        kind, name = entry_format.KIND, entry_format.NAME
        if stored is None:
            await self._store.create(kind, name, value)
        else:
            position = snapshot.position_of(stored)
            await self._store.replace(kind, name, value, position)
        self._known = record
        self._log("serving_record_written", **value)

    async def _list(
        self,
    ) -> tuple[Snapshot, StoredObject | None, ServingRecord | None]:
        """Return the record, if there is a readable one, and where it was read."""
        snapshot = await self._store.list(entry_format.KIND)
        for stored in snapshot.objects:
            if stored.name != entry_format.NAME or stored.deleted:
                continue
            try:
                return snapshot, stored, entry_format.decode_record(stored.value)
            except ValueError as error:
                self._log("entry_unreadable", name=stored.name, reason=str(error))
                return snapshot, stored, None
        return snapshot, None, None

    def _is_due(self) -> bool:
        """Return whether this instance should write the record now."""
        record = self._make_record()
        if record is None or record == self._known:
            self._differs_since_s = None
            return False
        now_s = self._clock.monotonic_s()
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        ranked = self._peers.rank(RANK_KEY, True)[:WRITERS]
        if self._peers.own not in ranked:
            return False
        delay_s = to_s(WRITER_DELAY_MS) * ranked.index(self._peers.own)
        return now_s - self._differs_since_s >= delay_s

    def _make_record(self) -> ServingRecord | None:
        """Return what served, for as long as this instance knows all that did."""
        if not self._is_current():
            return None
        serving, routes = self._catalogue.serving, self._catalogue.former_routes
        known_ms = min(serving.known_ms, routes.digests_known_ms)
        within_ms = self._longest_retention_ms()
        if known_ms < within_ms:
            within_ms = RETENTION_MS
        if known_ms < within_ms:
            return None
        return ServingRecord(
            serving.within(within_ms),
            routes.digests(within_ms),
            within_ms,
            self._store.term,
        )

    def _longest_retention_ms(self) -> float:
        """Return the longest time for which callers resume streams of any route."""
        timeouts_ms = [
            route.timeout_ms
            for route in self._catalogue.configuration.routes
            if route.resumes_streams
        ]
        longest_ms = RESUMED_WITHIN_TIMEOUTS * max(timeouts_ms, default=0.0)
        return min(MAX_RETENTION_MS, max(RETENTION_MS, longest_ms))
