"""Writes the splits of versions to the store, and tells the other instances of them."""

from collections.abc import Callable

import trio

from ..core.clock import Clock, epoch_ms, to_s
from ..core.ids import InstanceId
from ..exceptions import StoreError
from ..platform import splits as entry_format
from ..platform.store import PlatformStore, Snapshot, StoredObject
from ..wire.messages.gateway import Heartbeat
from ..wire.messages.streams import VersionSplits
from .earlier_builds import EarlierBuilds
from .models import ServiceName
from .peers import Peers
from .serving_history import RETRY_DELAY_MS, WRITER_DELAY_MS, WRITERS
from .software_versions import MAX_RETENTION_MS
from .version_assignment import CapacitiesOf, VersionAssignment
from .version_splits import ServiceSplits, SplitGeneration, SplitRecord

RECORD_KEY = "version-splits"
"""Key by which instances are ranked to select those that write the record. The splits
of a service are written by its dispatcher, or the next ones."""

CHECK_PERIOD_MS = 500.0
"""Longest time between two checks whether the splits fit the workers."""

CHECK_PAUSE_MS = 100.0
"""Least time between two checks; workers may change in quick succession."""


class SplitHistory:
    """Reads the record of the splits at the start, and keeps it up to date.

    A split is used only when the store has it. Each write depends on the last one, so
    that the records have one order.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    assignment : VersionAssignment
        The splits that this instance knows.
    peers : Peers
        The other instances.
    builds : EarlierBuilds
        Tells which instances begin streams at any version.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor near 1 for the delays after failures.
    log : callable
        Writes a log event, given as a kind and fields.
    nothing_before : callable
        Returns whether no instance ran before those that start now.
    is_current : callable
        Returns whether this instance reads from the store and does not stop.
    capacities : callable
        Returns the capacities of the versions of a service that this instance
        dispatches, and None for other services.
    """

    def __init__(
        self,
        store: PlatformStore,
        assignment: VersionAssignment,
        peers: Peers,
        builds: EarlierBuilds,
        clock: Clock,
        jitter: Callable[[], float],
        log: Callable[..., None],
        nothing_before: Callable,
        is_current: Callable[[], bool],
        capacities: CapacitiesOf,
    ):
        self._store = store
        self._assignment = assignment
        self._peers = peers
        self._builds = builds
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._nothing_before = nothing_before
        self._is_current = is_current
        self._capacities = capacities
        self._due_since_s: dict[str, float] = {}
        """By service, and by the name of the record for the record as such."""

    async def run(self) -> None:
        """Read the record and keep it up to date until cancelled."""
        while not await self._try(self._read):
            pass
        while True:
            if self._builds.without_splits():
                self._assignment.record_free_choice()
            if not self._is_isolated():
                self._assignment.confirm()
            if self._is_current() and self._due_changes() is not None:
                await self._try(self._write)
            await trio.sleep(to_s(CHECK_PAUSE_MS))
            await self._assignment.wait_for_change(CHECK_PERIOD_MS)

    def handle_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        """Tell a peer of the newest record if it knows an older one."""
        known = heartbeat.splits
        generation = self._assignment.record.generation
        if known is not None and tuple(known) < generation:
            self._peers.send(peer, self._message())

    async def handle_splits(self, peer: InstanceId, message: VersionSplits) -> None:
        """Take over a record that a peer has read from the store or written."""
        try:
            record = entry_format.decode_record(message.record)
        except ValueError as error:
            self._log("entry_unreadable", name=peer, reason=str(error))
            return
        self._assignment.adopt(record)

    async def _try(self, call: Callable) -> bool:
        """Return whether a call of the store succeeded; wait for a while if not."""
        try:
            await call()
        except StoreError as error:
            self._log("version_splits_unavailable", reason=str(error))
            await trio.sleep(to_s(RETRY_DELAY_MS) * self._jitter())
            return False
        return True

    async def _read(self) -> None:
        snapshot, stored, record = await self._list()
        if record is not None:
            if record.generation.term == snapshot.position.term:
                self._assignment.add_known(record.within_ms)
            self._assignment.adopt(record)
        elif stored is None and await self._nothing_before():
            self._assignment.add_known(MAX_RETENTION_MS)

    async def _write(self) -> None:
        """Write what is due, if no newer record has it."""
        snapshot, stored, record = await self._list()
        if record is not None:
            self._assignment.adopt(record)
        changes = self._due_changes()
        if changes is None:
            return
        last = self._assignment.record
        same_term = last.generation.term == snapshot.position.term
        within_ms = self._assignment.known_level_ms()
        if same_term and not self._builds.without_splits():
            within_ms = max(within_ms, last.within_ms)
        record = SplitRecord(
            {**self._assignment.splits, **changes},
            within_ms,
            SplitGeneration(snapshot.position.term, last.generation.number + 1),
        )
        value = entry_format.encode_record(record)
        kind, name = entry_format.KIND, entry_format.NAME
        if stored is None:
            await self._store.create(kind, name, value)
        else:
            position = snapshot.position_of(stored)
            await self._store.replace(kind, name, value, position)
        self._assignment.adopt(record)
        message = self._message()
        for instance in self._peers.up_instances():
            if instance not in self._builds.without_splits():
                self._peers.send(instance, message)

    async def _list(
        self,
    ) -> tuple[Snapshot, StoredObject | None, SplitRecord | None]:
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

    def _is_isolated(self) -> bool:
        """Return whether this instance reaches neither the store nor another one."""
        if self._is_current() or not self._peers.records:
            return False
        return self._peers.live_count == 1

    def _message(self) -> VersionSplits:
        return VersionSplits(entry_format.encode_record(self._assignment.record))

    def _due_changes(self) -> dict[ServiceName, ServiceSplits] | None:
        """Return the splits that this instance should write now.

        They may be none, if only the rest of the record differs; None if nothing does.
        """
        known = self._assignment
        proposed = known.proposed(epoch_ms(self._clock.now()), self._capacities)
        differing = {
            service
            for service, splits in proposed.items()
            if splits != known.record.services.get(service)
        }
        keys = {*differing, RECORD_KEY} if self._record_differs() else differing
        now_s = self._clock.monotonic_s()
        self._due_since_s = {key: self._due_since_s.get(key, now_s) for key in keys}
        due = {key for key in keys if self._is_turn(key, now_s)}
        if not due:
            return None
        return {service: proposed[service] for service in differing & due}

    def _record_differs(self) -> bool:
        """Return whether the record should change even if its splits do not."""
        known = self._assignment
        if not known.record.services:
            return False
        if self._builds.without_splits():
            return known.record.within_ms > 0
        return (
            known.known_level_ms() > known.record.within_ms
            or known.record.generation.term != self._store.term
        )

    def _is_turn(self, key: str, now_s: float) -> bool:
        """Return whether this instance should write a change by now."""
        if key == RECORD_KEY and self._builds.without_splits():
            # In a large fleet only some instances know of the earlier build.
            return True
        ranked = self._peers.rank(key, True)[:WRITERS]
        if self._peers.own not in ranked:
            return False
        delay_s = to_s(WRITER_DELAY_MS) * ranked.index(self._peers.own)
        return now_s - self._due_since_s[key] >= delay_s
