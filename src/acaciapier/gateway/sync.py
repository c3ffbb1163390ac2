"""Synchronization of configuration, workers and instances with the store."""

from collections.abc import Callable, Sequence

import msgspec
import trio

from ..core.clock import Clock, to_s
from ..exceptions import (
    StoreError,
    VersionConflict,
    WatchCompacted,
)
from ..platform import configuration as configuration_format
from ..platform import workers as worker_format
from ..platform.evacuations import EVACUATION_KIND
from ..platform.store import PlatformStore, Snapshot, StoredObject
from .catalogue import MAX_REMEMBERED_WORKERS, Catalogue
from .entry_sweeper import EntrySweeper
from .followers import StoreFollowers
from .models import (
    NO_POSITION,
    PeerRecord,
    StorePosition,
    Worker,
    WorkerId,
    WorkerKey,
)
from .peers import Peers
from .store_schedule import StoreSchedule

REGISTER_PERIOD_MS = 5_000.0
"""Period of checking that this instance's own entry is still in the list."""

REGISTER_DELAY_MS = 300.0
"""Time after a restore of the store in which its list of instances is read."""

KINDS = (
    configuration_format.OBJECT_KIND,
    worker_format.WORKER_KIND,
    worker_format.PEER_KIND,
    EVACUATION_KIND,
)
"""Kinds of objects that an instance follows."""

UNREACHABLE_RETRY_MS = 3_000.0
"""Longest time for which other kinds wait while one kind tries an unreachable store.
It bounds the delay if only the calls of that one kind fail."""

MIN_OUTAGE_MS = 1_000.0
"""Length from which an outage of the store may have let entries expire; less than the
three heartbeats after which they do."""

REREGISTRATION_WINDOW_MS = 2_500.0
"""Time after an outage of the store in which workers register expired entries again."""


class StoreSync:
    """Applies changes in the platform's store to the catalogue and the peers.

    It also keeps this instance registered and removes the entries of dead instances.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    catalogue : Catalogue
        Receives the configuration and the workers.
    peers : Peers
        Receives the list of instances.
    own : PeerRecord
        Record of this instance.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor around 1.
    log : callable
        Called with an event name and its fields.
    on_workers : callable
        Called after workers have changed.
    followers : StoreFollowers
        Decides whether this instance follows the store itself.
    """

    def __init__(
        self,
        store: PlatformStore,
        catalogue: Catalogue,
        peers: Peers,
        own: PeerRecord,
        clock: Clock,
        jitter: Callable[[], float],
        log: Callable[..., None],
        on_workers: Callable[[], None],
        followers: StoreFollowers,
    ):
        self._schedule = StoreSchedule(followers, catalogue, clock, jitter)
        self._store = store
        self._catalogue = catalogue
        self._evacuations = catalogue.evacuations
        self._peers = peers
        self._own = own
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._on_workers = on_workers
        self._unreachable_since_s: float | None = None
        self._trying_kind = ""
        """The kind whose calls find out whether an unreachable store answers again."""
        self._regained = trio.Event()
        """Set when the store answers again, and replaced when it does not."""
        self._outage_end_s = 0.0
        self._watches: dict[str, trio.CancelScope] = {}
        self._kinds_to_list: set[str] = set()
        """Kinds that must be listed again before they are watched further."""
        self._restored = trio.Event()
        """Set, and replaced, when the store has been restored from a copy."""
        self._restored_until_s = 0.0
        self._peers_position = NO_POSITION
        self._records: dict[str, tuple[StorePosition, PeerRecord]] = {}
        """Instances with the position of their entries; `NO_POSITION` for those that a
        restored store does not list."""
        self._unreadable: set[tuple[str, StorePosition]] = set()
        self._odd_cold_times: set[WorkerKey] = set()
        """Workers of which it is logged that their cold time is ignored."""
        self._sweeper = EntrySweeper(
            store,
            peers,
            own.instance,
            clock,
            jitter,
            log,
            lambda: self._records.values(),
            lambda: self.reachable,
        )
        store.on_new_term = self._handle_new_term

    async def run(self) -> None:
        """Follow all kinds of objects until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind, apply in (
                (configuration_format.OBJECT_KIND, self._apply_configuration),
                (worker_format.WORKER_KIND, self._apply_workers),
                (worker_format.PEER_KIND, self._apply_peers),
                (EVACUATION_KIND, self._evacuations.apply),
            ):
                if kind != EVACUATION_KIND or self._evacuations.enabled:
                    nursery.start_soon(self._follow, kind, apply)
            nursery.start_soon(self._register)
            nursery.start_soon(self._sweeper.run)
            nursery.start_soon(self._list_after_restores)

    async def leave(self) -> None:
        """Remove this instance's entry; if that fails, peers remove it later."""
        self._sweeper.stopping = True
        known = self._records.get(self._own.instance)
        if known is None:
            return
        try:
            await self._store.delete(
                worker_format.PEER_KIND, self._own.instance, known[0]
            )
        except StoreError as error:
            self._log("entry_not_removed", reason=str(error))

    async def _follow(self, kind: str, apply: Callable[[Snapshot, bool], None]) -> None:
        """List a kind of objects and then watch it; list it again after a failure."""
        failures = 0
        position = None
        while True:
            try:
                if position is None:
                    self._kinds_to_list.discard(kind)
                    snapshot = await self._store.list(kind)
                    self._record_reachable(kind)
                    apply(snapshot, True)
                else:
                    await self._schedule.wait_until_due(
                        kind, lambda: kind in self._kinds_to_list
                    )
                    snapshot = await self._watch(kind, position)
                    if snapshot is None:
                        position = None
                        continue
                    self._record_reachable(kind)
                    if snapshot.objects:
                        apply(snapshot, False)
                        pause_ms = self._schedule.pause_after_change_ms(kind)
                        await self._sleep_until_restored(pause_ms)
                position = max(snapshot.position, position or NO_POSITION)
                failures = 0
            except WatchCompacted:
                self._log("watch_compacted", kind=kind, revision=position.revision)
                position = None
            except StoreError as error:
                self._record_unreachable(kind, str(error))
                if kind == EVACUATION_KIND:
                    self._evacuations.record_unavailable()
                # Continue with a list. The store answers it at once, so if it is still
                # unresponsive, this is detected sooner than with a watch.
                position = None
                await self._wait_for_retry(kind, failures)
                failures += 1

    async def _wait_for_retry(self, kind: str, failures: int) -> None:
        """Wait before the next call after a failure.

        Only one kind tries an unreachable store, since refused calls are charged, too.
        """
        if kind == self._trying_kind:
            wait_ms = self._schedule.retry_delay_ms(failures)
            await trio.sleep(to_s(wait_ms) * self._jitter())
            return
        with trio.move_on_after(to_s(UNREACHABLE_RETRY_MS) * self._jitter()):
            await self._regained.wait()

    async def _watch(self, kind: str, position: StorePosition) -> Snapshot | None:
        """Return the next changes, or None if the kind must be listed again.

        A watch that was started before the end of an outage may never be answered.
        """
        with trio.CancelScope() as scope:
            self._watches[kind] = scope
            try:
                if kind not in self._kinds_to_list:
                    schedule = self._schedule
                    return await self._store.watch(
                        kind,
                        position,
                        schedule.watch_wait_ms(kind),
                        schedule.polls(kind),
                    )
            finally:
                self._watches.pop(kind, None)
        self._log("watch_restarted", kind=kind, revision=position.revision)
        return None

    def _apply_configuration(self, snapshot: Snapshot, full: bool) -> None:
        for stored in snapshot.objects:
            if stored.name == configuration_format.OBJECT_NAME and not stored.deleted:
                source = msgspec.json.encode(stored.value)
                self._catalogue.update_configuration(
                    snapshot.position_of(stored), source, "store"
                )

    def _apply_workers(self, snapshot: Snapshot, full: bool) -> None:
        workers: list[tuple[WorkerId, Worker | None]] = []
        for stored in snapshot.objects:
            worker = None if stored.deleted else self._decode_worker(snapshot, stored)
            if worker is not None or stored.deleted:
                workers.append((WorkerId(stored.name), worker))
        after_outage = self._after_outage()
        if full:
            listed = [worker for _, worker in workers if worker is not None]
            self._catalogue.update_workers(
                snapshot.position, listed, "store", after_outage
            )
        else:
            self._catalogue.apply_worker_changes(
                snapshot.position, workers, "store", after_outage
            )
        self._on_workers()

    def _decode_worker(self, snapshot: Snapshot, stored: StoredObject) -> Worker | None:
        try:
            worker = worker_format.decode_worker(stored.name, stored.value)
        except ValueError as error:
            self._log_unreadable(snapshot, stored, error)
            return None
        odd = worker_format.odd_cold_time(stored.value)
        if odd is not None and worker.key not in self._odd_cold_times:
            if len(self._odd_cold_times) >= MAX_REMEMBERED_WORKERS:
                self._odd_cold_times.clear()
            self._odd_cold_times.add(worker.key)
            self._log("cold_time_ignored", worker=worker.id, value=odd)
        return msgspec.structs.replace(worker, entry_revision=stored.revision)

    def _apply_peers(self, snapshot: Snapshot, full: bool) -> None:
        if snapshot.position < self._peers_position:
            return
        self._peers_position = snapshot.position
        known = self._records
        if full:
            self._records = {}
        for stored in snapshot.objects:
            if stored.deleted:
                self._records.pop(stored.name, None)
                continue
            try:
                record = worker_format.decode_peer(stored.name, stored.value)
            except ValueError as error:
                self._log_unreadable(snapshot, stored, error)
                continue
            self._records[stored.name] = (snapshot.position_of(stored), record)
        if full and self._clock.monotonic_s() < self._restored_until_s:
            self._keep_live_records(known)
        self._peers.set_records(record for _, record in self._records.values())

    def _keep_live_records(
        self, known: dict[str, tuple[StorePosition, PeerRecord]]
    ) -> None:
        """Keep the records of live instances that a restored store has lost.

        These instances register again; until then the copy lacks them or shows an
        earlier incarnation.
        """
        for name, (_, record) in known.items():
            listed = self._records.get(name)
            if name == self._own.instance or not self._peers.is_up(record.instance):
                continue
            if listed is None or listed[1].started_ms < record.started_ms:
                self._records[name] = (NO_POSITION, record)

    def _log_unreadable(
        self, snapshot: Snapshot, stored: StoredObject, error: ValueError
    ) -> None:
        """Log an entry that cannot be decoded, once per change."""
        change = (stored.name, snapshot.position_of(stored))
        if change not in self._unreadable:
            self._unreadable.add(change)
            self._log("entry_unreadable", name=stored.name, reason=str(error))

    async def _register(self) -> None:
        """Write this instance's own entry, and restore it if it is lost or changed."""
        kind, name = worker_format.PEER_KIND, self._own.instance
        value = worker_format.encode_peer(self._own)
        while True:
            if not self.reachable:
                await self._regained.wait()
            known = self._records.get(name)
            try:
                if known is None:
                    await self._store.create(kind, name, value)
                elif known[1] != self._own:
                    await self._store.replace(kind, name, value, known[0])
            except VersionConflict as conflict:
                await self._replace_own(kind, name, value, conflict.present_version)
            except StoreError as error:
                self._log("entry_not_written", reason=str(error))
            if await self._sleep_until_restored(REGISTER_PERIOD_MS):
                # The list that follows a restore shows whether the entry is lost.
                await trio.sleep(to_s(REGISTER_DELAY_MS) * self._jitter())

    async def _replace_own(self, kind, name, value, revision: int) -> None:
        position = StorePosition(self._store.term, revision) if revision else None
        try:
            await self._store.replace(kind, name, value, position)
        except StoreError as error:
            self._log("entry_not_written", reason=str(error))

    def _handle_new_term(self, previous: int) -> None:
        """List all kinds again, since the store was restored from a copy."""
        if previous == 0:
            return
        now_s = self._clock.monotonic_s()
        self._log("store_restored", term=self._store.term, previous_term=previous)
        self._outage_end_s = now_s
        self._restored_until_s = now_s + to_s(self._catalogue.restore_window_ms)
        self._list_again(KINDS)
        self._restored.set()
        self._restored = trio.Event()

    async def _list_after_restores(self) -> None:
        """List workers and instances once more when they have registered again."""
        while True:
            await self._restored.wait()
            while (now_s := self._clock.monotonic_s()) < self._restored_until_s:
                await trio.sleep(self._restored_until_s - now_s)
            # Spreads the calls of the fleet.
            await trio.sleep(to_s(REGISTER_DELAY_MS) * self._jitter())
            self._list_again((worker_format.WORKER_KIND, worker_format.PEER_KIND))

    async def _sleep_until_restored(self, pause_ms: float) -> bool:
        """Sleep, but no longer than until a restore; return whether there was one."""
        with trio.move_on_after(to_s(pause_ms) * self._jitter()):
            await self._restored.wait()
            return True
        return False

    def _list_again(self, kinds: Sequence[str]) -> None:
        """Cancel the watches of some kinds and list these kinds again."""
        self._kinds_to_list.update(kinds)
        for kind in kinds:
            if kind in self._watches:
                self._watches[kind].cancel()

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last list or watch."""
        return self._unreachable_since_s is None

    def _record_reachable(self, kind: str) -> None:
        if self._unreachable_since_s is None:
            return
        now_s = self._clock.monotonic_s()
        outage_ms = (now_s - self._unreachable_since_s) * 1_000.0
        self._unreachable_since_s = None
        self._regained.set()
        if outage_ms >= MIN_OUTAGE_MS:
            self._outage_end_s = now_s
        for scope in self._watches.values():
            scope.cancel()
        self._log("store_regained", kind=kind, outage_ms=round(outage_ms))

    def _record_unreachable(self, kind: str, reason: str) -> None:
        if self._unreachable_since_s is None:
            self._unreachable_since_s = self._clock.monotonic_s()
            self._trying_kind, self._regained = kind, trio.Event()
            self._log("store_lost", kind=kind, reason=reason)

    def _after_outage(self) -> bool:
        """Return whether entries may be missing because they expired in an outage."""
        if self._outage_end_s == 0.0:
            return False
        age_ms = (self._clock.monotonic_s() - self._outage_end_s) * 1_000.0
        return age_ms < REREGISTRATION_WINDOW_MS
