"""Synchronization of configuration, workers and instances with the store and peers."""

from collections.abc import Callable, Sequence
from dataclasses import asdict

import msgspec
import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import (
    PeerUnavailable,
    StoreError,
    VersionConflict,
    WatchCompacted,
)
from ..platform import configuration as configuration_format
from ..platform import workers as worker_format
from ..platform.store import PlatformStore, Snapshot, StoredObject
from ..wire.messages.gateway import (
    FetchUpdates,
    Heartbeat,
    PeerEntry,
    PeerUpdates,
    WorkerEntry,
)
from .catalogue import Catalogue
from .followers import StoreFollowers
from .models import PeerRecord, Worker, WorkerId
from .peers import Peers
from .settings import Address
from .supervision import TaskSupervisor

WATCH_WAIT_MS = 3_000
"""Time for which the store may hold a watch open; longer watches save calls, each of
which is charged. A watch that an unresponsive store never answers is detected after
this time and that of a call. Even if it began in the last moment of an outage, this is
within the operators' limits: 3,000 ms until the store counts as stable, and 2,000 ms
until a version is in force or a leaving worker gets no more requests."""

FOLLOWER_WATCH_WAIT_MS = 1_500
"""The same for a follower in a large fleet. Peers that rely on it must learn sooner
that the store no longer answers it."""

POLL_PERIOD_MS = 5_000.0
"""Period of polling the store for an instance that relies on followers. Several polls
fit into the 20 s of history that the store keeps."""

POLL_WAIT_MS = 50
"""Watch time of such a poll, which only reads changes that have happened already."""

FOLLOWER_CHECK_PERIOD_MS = 200.0
"""Period of checking whether enough followers reach the store: that of heartbeats."""

WORKER_CHANGES_PAUSE_MS = 250.0
"""Pause after a change of workers, so that further changes share the next call: an
eighth of the time after which a leaving worker must get no more requests."""

PEER_CHANGES_PAUSE_MS = 2_000.0
"""The same for instances. It is longer since the list only tells which instances exist;
heartbeats detect which of them are up."""

REGISTER_PERIOD_MS = 5_000.0
"""Period of checking that this instance's own entry is still in the list."""

SWEEPER_COUNT = 2
"""Instances that remove the entry of a dead one: the first in rank, and one more."""

RETRY_DELAYS_MS = (100.0, 200.0, 400.0, 800.0)
"""Delays after consecutive failures of the store, jittered so that the instances of a
fleet do not retry at the same time."""

FETCH_DELAY_MS = 150.0
"""Delay before a fetch from a peer, in which the watch of the store usually delivers
the same change."""

CONFIGURATION_FETCH_DELAY_MS = 700.0
"""Time in which the watch of the store delivers a large configuration over a slow link.
It is fetched from a peer only after that: sending a megabyte to each of 80 machines
would saturate the links of the dispatchers."""

CONFIGURATION_FETCH_TIMEOUT_MS = 2_000.0
"""Time for the transfer of a large configuration from a peer over a slow link."""

JOIN_PERIOD_MS = 400.0
"""Period of requests to the seeds; the store usually answers a starting instance within
this time, so that none is needed."""

FETCH_TIMEOUT_MS = 500.0
"""A healthy peer answers in a few milliseconds."""

DEAD_AFTER_MS = 12_000.0
"""Time after which an unreachable instance is removed from the list: longer than a
restart, a process freeze or a network partition usually lasts."""

SWEEP_PERIOD_MS = 2_000.0
"""Period of checking for entries of dead instances."""

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
        self._followers = followers
        self.stopping = False
        self._store = store
        self._catalogue = catalogue
        self._peers = peers
        self._own = own
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._on_workers = on_workers
        self._unreachable_since_s: float | None = None
        self._outage_end_s = 0.0
        self._watches: dict[str, trio.CancelScope] = {}
        self._records: dict[str, tuple[int, PeerRecord]] = {}
        self._unreadable: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Follow all kinds of objects until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind, apply, pause_ms in (
                (configuration_format.OBJECT_KIND, self._apply_configuration, 0.0),
                (
                    worker_format.WORKER_KIND,
                    self._apply_workers,
                    WORKER_CHANGES_PAUSE_MS,
                ),
                (worker_format.PEER_KIND, self._apply_peers, PEER_CHANGES_PAUSE_MS),
            ):
                nursery.start_soon(self._follow, kind, apply, pause_ms)
            nursery.start_soon(self._register)
            nursery.start_soon(self._sweep_peers)

    async def leave(self) -> None:
        """Remove this instance's entry; if that fails, peers remove it later."""
        self.stopping = True
        known = self._records.get(self._own.instance)
        if known is None:
            return
        try:
            await self._store.delete(
                worker_format.PEER_KIND, self._own.instance, known[0]
            )
        except StoreError as error:
            self._log("entry_not_removed", reason=str(error))

    async def _follow(
        self, kind: str, apply: Callable[[Snapshot, bool], None], pause_ms: float
    ) -> None:
        """List a kind of objects and then watch it; list it again after a failure."""
        failures = 0
        revision = None
        while True:
            try:
                if revision is None:
                    snapshot = await self._store.list(kind)
                    self._record_reachable(kind)
                    apply(snapshot, True)
                else:
                    if kind != configuration_format.OBJECT_KIND:
                        await self._wait_between_polls()
                    snapshot = await self._watch(kind, revision)
                    if snapshot is None:
                        revision = None
                        continue
                    self._record_reachable(kind)
                    if snapshot.objects:
                        apply(snapshot, False)
                        await trio.sleep(to_s(pause_ms) * self._jitter())
                revision = max(snapshot.revision, revision or 0)
                failures = 0
            except WatchCompacted:
                self._log("watch_compacted", kind=kind, revision=revision)
                revision = None
            except StoreError as error:
                self._record_unreachable(kind, str(error))
                # Continue with a list. The store answers it at once, so if it is still
                # unresponsive, this is detected sooner than with a watch.
                revision = None
                wait_ms = RETRY_DELAYS_MS[min(failures, len(RETRY_DELAYS_MS) - 1)]
                failures += 1
                await trio.sleep(to_s(wait_ms) * self._jitter())

    async def _watch(self, kind: str, revision: int) -> Snapshot | None:
        """Return the next changes, or None if an outage of the store ended meanwhile.

        A watch that was started before the end of an outage may never be answered.
        """
        with trio.CancelScope() as scope:
            self._watches[kind] = scope
            try:
                return await self._store.watch(
                    kind, revision, self._watch_wait_ms(kind)
                )
            finally:
                self._watches.pop(kind, None)
        self._log("watch_restarted", kind=kind, revision=revision)
        return None

    async def _wait_between_polls(self) -> None:
        """Wait until the next poll is due or this instance must follow the store."""
        end_s = self._clock.monotonic_s() + to_s(POLL_PERIOD_MS) * self._jitter()
        while not self._followers.should_follow():
            if self._clock.monotonic_s() >= end_s:
                break
            await trio.sleep(to_s(FOLLOWER_CHECK_PERIOD_MS))

    def _watch_wait_ms(self, kind: str) -> int:
        """Return for how long the store may hold a watch of `kind` open."""
        if not self._followers.large_fleet:
            return WATCH_WAIT_MS
        if self._followers.should_follow():
            return FOLLOWER_WATCH_WAIT_MS
        if kind == configuration_format.OBJECT_KIND:
            return WATCH_WAIT_MS
        return POLL_WAIT_MS

    def _apply_configuration(self, snapshot: Snapshot, full: bool) -> None:
        for stored in snapshot.objects:
            if stored.name == configuration_format.OBJECT_NAME and not stored.deleted:
                source = msgspec.json.encode(stored.value)
                self._catalogue.update_configuration(stored.revision, source, "store")

    def _apply_workers(self, snapshot: Snapshot, full: bool) -> None:
        workers: list[tuple[WorkerId, Worker | None]] = []
        for stored in snapshot.objects:
            worker = None if stored.deleted else self._decode_worker(stored)
            if worker is not None or stored.deleted:
                workers.append((WorkerId(stored.name), worker))
        after_outage = self._after_outage()
        if full:
            listed = [worker for _, worker in workers if worker is not None]
            self._catalogue.update_workers(
                snapshot.revision, listed, "store", after_outage
            )
        else:
            self._catalogue.apply_worker_changes(
                snapshot.revision, workers, "store", after_outage
            )
        self._on_workers()

    def _decode_worker(self, stored: StoredObject) -> Worker | None:
        try:
            return worker_format.decode_worker(stored.name, stored.value)
        except ValueError as error:
            self._log_unreadable(stored, error)
            return None

    def _apply_peers(self, snapshot: Snapshot, full: bool) -> None:
        if full:
            self._records.clear()
        for stored in snapshot.objects:
            if stored.deleted:
                self._records.pop(stored.name, None)
                continue
            try:
                record = worker_format.decode_peer(stored.name, stored.value)
            except ValueError as error:
                self._log_unreadable(stored, error)
                continue
            self._records[stored.name] = (stored.revision, record)
        self._peers.set_records(record for _, record in self._records.values())

    def _log_unreadable(self, stored: StoredObject, error: ValueError) -> None:
        """Log an entry that cannot be decoded, once per revision."""
        if (stored.name, stored.revision) not in self._unreadable:
            self._unreadable.add((stored.name, stored.revision))
            self._log("entry_unreadable", name=stored.name, reason=str(error))

    async def _register(self) -> None:
        """Write this instance's own entry, and restore it if it is lost or changed."""
        kind, name = worker_format.PEER_KIND, self._own.instance
        value = worker_format.encode_peer(self._own)
        while True:
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
            await trio.sleep(to_s(REGISTER_PERIOD_MS) * self._jitter())

    async def _replace_own(self, kind, name, value, revision: int) -> None:
        try:
            await self._store.replace(kind, name, value, revision or None)
        except StoreError as error:
            self._log("entry_not_written", reason=str(error))

    async def _sweep_peers(self) -> None:
        """Remove the entries of instances that have been down for `DEAD_AFTER_MS`."""
        down_since_s: dict[InstanceId, float] = {}
        while True:
            await trio.sleep(to_s(SWEEP_PERIOD_MS) * self._jitter())
            now_s = self._clock.monotonic_s()
            for revision, record in list(self._records.values()):
                name = record.instance
                if name == self._own.instance or self._peers.is_up(name):
                    down_since_s.pop(name, None)
                    continue
                since_s = down_since_s.setdefault(name, now_s)
                if now_s - since_s < to_s(DEAD_AFTER_MS) or not self.reachable:
                    continue
                sweepers = self._peers.rank(name, not self.stopping)[:SWEEPER_COUNT]
                if self._own.instance not in sweepers:
                    continue
                down_since_s.pop(name, None)
                try:
                    await self._store.delete(worker_format.PEER_KIND, name, revision)
                    self._log("entry_of_dead_peer_removed", peer=name)
                except StoreError as error:
                    self._log("entry_not_removed", peer=name, reason=str(error))

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
        if outage_ms >= MIN_OUTAGE_MS:
            self._outage_end_s = now_s
        for scope in self._watches.values():
            scope.cancel()
        self._log("store_regained", kind=kind, outage_ms=round(outage_ms))

    def _record_unreachable(self, kind: str, reason: str) -> None:
        if self._unreachable_since_s is None:
            self._unreachable_since_s = self._clock.monotonic_s()
            self._log("store_lost", kind=kind, reason=reason)

    def _after_outage(self) -> bool:
        """Return whether entries may be missing because they expired in an outage."""
        if self._outage_end_s == 0.0:
            return False
        age_ms = (self._clock.monotonic_s() - self._outage_end_s) * 1_000.0
        return age_ms < REREGISTRATION_WINDOW_MS


class PeerSync:
    """Exchanges configuration and workers with peers.

    An instance fetches what the store has not delivered in time, and answers fetches.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    peers : Peers
        The other instances.
    tasks : TaskSupervisor
        Runs the fetches.
    log : callable
        Called with an event name and its fields.
    on_workers : callable
        Called after workers have changed.
    own : PeerRecord
        Record of this instance.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        peers: Peers,
        tasks: TaskSupervisor,
        log: Callable[..., None],
        on_workers: Callable[[], None],
        own: PeerRecord,
        clock: Clock,
    ):
        self._own = own
        self._catalogue = catalogue
        self._peers = peers
        self._tasks = tasks
        self._log = log
        self._on_workers = on_workers
        self._fetching = False
        self._clock = clock
        self._outdated_since: tuple[int, float] | None = None
        """Revision known here, and the time when a peer first reported a newer one."""
        self._entries: tuple[WorkerEntry, ...] = ()
        self._entries_version: tuple[int, int] | None = None

    async def join(self, seeds: Sequence[Address]) -> None:
        """Fetch the initial state from seeds until the catalogue is complete."""
        while not self._catalogue.complete:
            await trio.sleep(to_s(JOIN_PERIOD_MS))
            for seed in seeds:
                if self._catalogue.complete:
                    return
                await self._join_at(seed)

    async def _join_at(self, seed: Address) -> None:
        try:
            instance = await self._peers.join(seed)
            if instance == self._peers.own:
                return
            request = FetchUpdates(0, 0, True)
            updates = await self._peers.call_unlisted(
                instance, request, FETCH_TIMEOUT_MS
            )
        except PeerUnavailable as error:
            self._log("seed_unreachable", host=seed.host, reason=str(error))
            return
        if isinstance(updates, PeerUpdates):
            self._apply_updates(instance, updates)

    def handle_heartbeat(self, instance: InstanceId, heartbeat: Heartbeat) -> None:
        """Start a fetch if a peer reports state that is missing here."""
        if self._fetching:
            return
        if self._needs_configuration(heartbeat) or self._needs_workers(heartbeat):
            self._fetching = True
            self._tasks.start_soon(self._fetch, instance, heartbeat)

    async def answer_fetch(
        self, peer: InstanceId, message: FetchUpdates
    ) -> PeerUpdates:
        """Return the state that is newer here than at the requesting peer."""
        catalogue = self._catalogue
        configuration = workers = None
        if catalogue.configuration_revision > message.configuration_revision:
            configuration = catalogue.configuration_source
        if catalogue.workers_revision > message.workers_revision:
            workers = self._worker_entries()
        peers = ()
        if message.wants_peers:
            known = [*self._peers.records, self._own]
            peers = tuple(map(_peer_entry, known))
        return PeerUpdates(
            catalogue.configuration_revision,
            configuration,
            catalogue.workers_revision,
            workers,
            peers,
        )

    def _worker_entries(self) -> tuple[WorkerEntry, ...]:
        """Return the worker entries, cached since many peers fetch the same version."""
        catalogue = self._catalogue
        version = (catalogue.workers_revision, catalogue.workers_digest)
        if self._entries_version != version:
            self._entries_version = version
            self._entries = tuple(map(_worker_entry, catalogue.workers.values()))
        return self._entries

    def _needs_configuration(self, heartbeat: Heartbeat) -> bool:
        """Return whether a peer has a configuration that the store delivers late."""
        known = self._catalogue.configuration_revision
        if heartbeat.configuration_revision <= known:
            return False
        if not self._catalogue.complete:
            return True
        now_s = self._clock.monotonic_s()
        if self._outdated_since is None or self._outdated_since[0] != known:
            self._outdated_since = (known, now_s)
        return now_s - self._outdated_since[1] >= to_s(CONFIGURATION_FETCH_DELAY_MS)

    def _needs_workers(self, heartbeat: Heartbeat) -> bool:
        """Return whether a peer has a newer and different worker table."""
        catalogue = self._catalogue
        return (
            heartbeat.workers_revision > catalogue.workers_revision
            and heartbeat.workers_digest != catalogue.workers_digest
        )

    async def _fetch(self, instance: InstanceId, heartbeat: Heartbeat) -> None:
        try:
            if self._catalogue.complete:
                await trio.sleep(to_s(FETCH_DELAY_MS))
            configuration = self._needs_configuration(heartbeat)
            if not configuration and not self._needs_workers(heartbeat):
                return
            known = self._catalogue.configuration_revision
            request = FetchUpdates(
                known if configuration else heartbeat.configuration_revision,
                self._catalogue.workers_revision,
            )
            timeout_ms = (
                CONFIGURATION_FETCH_TIMEOUT_MS if configuration else FETCH_TIMEOUT_MS
            )
            updates = await self._peers.call(instance, request, timeout_ms)
            if isinstance(updates, PeerUpdates):
                self._apply_updates(instance, updates)
        except PeerUnavailable as error:
            self._log("news_not_fetched", peer=instance, reason=str(error))
        finally:
            self._fetching = False

    def _apply_updates(self, instance: InstanceId, updates: PeerUpdates) -> None:
        origin = f"peer {instance}"
        if updates.configuration is not None:
            self._catalogue.update_configuration(
                updates.configuration_revision, updates.configuration, origin
            )
        if updates.peers:
            self._peers.add_records(map(_peer_record, updates.peers))
        if updates.workers is not None:
            workers = [_worker(entry) for entry in updates.workers]
            if self._catalogue.update_workers(
                updates.workers_revision, workers, origin
            ):
                self._on_workers()


def _peer_entry(record: PeerRecord) -> PeerEntry:
    return PeerEntry(**asdict(record))


def _peer_record(entry: PeerEntry) -> PeerRecord:
    return PeerRecord(**msgspec.structs.asdict(entry))


def _worker_entry(worker: Worker) -> WorkerEntry:
    return WorkerEntry(**msgspec.to_builtins(worker))


def _worker(entry: WorkerEntry) -> Worker:
    return msgspec.convert(msgspec.structs.asdict(entry), Worker)
