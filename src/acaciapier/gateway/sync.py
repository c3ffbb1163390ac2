"""Keeps the catalogue and the list of instances true, from the store and peers."""

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
    Beat,
    FetchNews,
    News,
    PeerEntry,
    WorkerEntry,
)
from .catalogue import Catalogue
from .followers import StoreFollowers
from .models import PeerRecord, Worker, WorkerId
from .peers import Peers
from .settings import Address
from .supervision import TaskSupervisor

WATCH_WAIT_MS = 3_000
"""Each watch is a priced call. One that a silent store swallowed is noticed after this
and the time of a call: even if that was in the last moment of an outage, within the
operators' 3,000 ms until the store counts as stable and 2,000 ms until a version is in
force or a leaving worker gets no more requests."""

FOLLOWER_WAIT_MS = 1_500
"""The same for an instance on which others rely: they need to know sooner when the
store does not answer it any more."""

RELAYED_PERIOD_MS = 5_000.0
"""Period in which an instance asks the store that peers keep informed: a few such
calls fit the store's history of 20 s."""

RELAYED_WAIT_MS = 50
"""Such a call only asks for what has happened."""

RELAY_CHECK_MS = 200.0
"""Period in which the peers that inform an instance are counted: a heartbeat."""

WORKERS_PAUSE_MS = 250.0
"""Pause after a change of workers, in which further ones gather: an eighth of the
time in which a leaving worker is to get no more requests."""

PEERS_PAUSE_MS = 2_000.0
"""The same for instances: heartbeats tell who lives, the list only who there is."""

REGISTER_PERIOD_MS = 5_000.0
"""Period in which this instance looks whether its entry is still there."""

SWEEPERS = 2
"""Instances that remove the entry of a dead one: the first in rank, and one more."""

RETRY_MS = (100.0, 200.0, 400.0, 800.0)
"""Waits after failures of the store; jittered so that a fleet does not return at
once."""

NEWS_DELAY_MS = 150.0
"""Time in which the store's own watch usually brings what a peer knows already."""

CONFIGURATION_DELAY_MS = 700.0
"""Time in which the store's own watch brings a large configuration over a slow link.
Only what is still missing then is fetched from a peer: a megabyte for each of 80
machines would fill the links of those that decide."""

CONFIGURATION_TIMEOUT_MS = 2_000.0
"""Time in which a peer hands a large configuration over a slow link."""

JOIN_PERIOD_MS = 400.0
"""Time in which the store usually answers a starting instance."""

NEWS_TIMEOUT_MS = 500.0
"""A peer that is well answers in a few milliseconds."""

DEAD_AFTER_MS = 12_000.0
"""An instance that nobody reached for so long is taken off the list: longer than a
restart, a freeze or a cut usually lasts."""

SWEEP_PERIOD_MS = 2_000.0
"""Period in which entries of dead instances are looked for."""

OUTAGE_MS = 1_000.0
"""Length of an outage of the store in which entries may have lapsed; less than the
three heartbeats after which they do."""

OUTAGE_SHADOW_MS = 2_500.0
"""Time after the store's return in which lapsed entries come back."""


class StoreSync:
    """Follows the platform's store.

    Parameters
    ----------
    store : PlatformStore
        The store.
    catalogue : Catalogue
        Where configuration and workers go.
    peers : Peers
        Where the list of instances goes.
    own : PeerRecord
        This instance's own entry.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor around 1.
    log : callable
        Told changes, as a kind and fields.
    on_workers : callable
        Called after workers have changed.
    followers : StoreFollowers
        Decides whether this instance follows the store closely.
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
        self._lost_s: float | None = None
        self._returned_s = 0.0
        self._watches: dict[str, trio.CancelScope] = {}
        self._records: dict[str, tuple[int, PeerRecord]] = {}
        self._unreadable: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind, take, pause_ms in (
                (configuration_format.KIND, self._take_configuration, 0.0),
                (worker_format.KIND, self._take_workers, WORKERS_PAUSE_MS),
                (worker_format.PEER_KIND, self._take_peers, PEERS_PAUSE_MS),
            ):
                nursery.start_soon(self._follow, kind, take, pause_ms)
            nursery.start_soon(self._register)
            nursery.start_soon(self._sweep_peers)

    async def leave(self) -> None:
        """Take this instance off the list; others do it later if this fails."""
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
        self, kind: str, take: Callable[[Snapshot, bool], None], pause_ms: float
    ) -> None:
        """List a kind and then watch it, from the start again when that fails."""
        failures = 0
        revision = None
        while True:
            try:
                if revision is None:
                    snapshot = await self._store.list(kind)
                    self._note_reached(kind)
                    take(snapshot, True)
                else:
                    if kind != configuration_format.KIND:
                        await self._rely_on_peers()
                    snapshot = await self._watch(kind, revision)
                    if snapshot is None:
                        revision = None
                        continue
                    self._note_reached(kind)
                    if snapshot.objects:
                        take(snapshot, False)
                        await trio.sleep(to_s(pause_ms) * self._jitter())
                revision = max(snapshot.revision, revision or 0)
                failures = 0
            except WatchCompacted:
                self._log("watch_compacted", kind=kind, revision=revision)
                revision = None
            except StoreError as error:
                self._note_lost(kind, str(error))
                # A list is answered at once, so a store that is still silent does
                # not hold this up for as long as a watch may wait.
                revision = None
                wait_ms = RETRY_MS[min(failures, len(RETRY_MS) - 1)]
                failures += 1
                await trio.sleep(to_s(wait_ms) * self._jitter())

    async def _watch(self, kind: str, revision: int) -> Snapshot | None:
        """Return the next changes; None if the store came back meanwhile.

        A watch from before may have been swallowed.
        """
        with trio.CancelScope() as scope:
            self._watches[kind] = scope
            try:
                return await self._store.watch(kind, revision, self._wait_ms(kind))
            finally:
                self._watches.pop(kind, None)
        self._log("watch_restarted", kind=kind, revision=revision)
        return None

    async def _rely_on_peers(self) -> None:
        """Ask nothing for a while, as long as peers tell the news."""
        end_s = self._clock.monotonic_s() + to_s(RELAYED_PERIOD_MS) * self._jitter()
        while not self._followers.follow_closely():
            if self._clock.monotonic_s() >= end_s:
                break
            await trio.sleep(to_s(RELAY_CHECK_MS))

    def _wait_ms(self, kind: str) -> int:
        """Return how long a watch may wait for a change."""
        if not self._followers.large_fleet:
            return WATCH_WAIT_MS
        if self._followers.follow_closely():
            return FOLLOWER_WAIT_MS
        if kind == configuration_format.KIND:
            return WATCH_WAIT_MS
        return RELAYED_WAIT_MS

    def _take_configuration(self, snapshot: Snapshot, whole: bool) -> None:
        for one in snapshot.objects:
            if one.name == configuration_format.NAME and not one.deleted:
                source = msgspec.json.encode(one.value)
                self._catalogue.offer_configuration(one.revision, source, "store")

    def _take_workers(self, snapshot: Snapshot, whole: bool) -> None:
        workers: list[tuple[WorkerId, Worker | None]] = []
        for one in snapshot.objects:
            worker = None if one.deleted else self._decode_worker(one)
            if worker is not None or one.deleted:
                workers.append((WorkerId(one.name), worker))
        after_outage = self._after_outage()
        if whole:
            listed = [worker for _, worker in workers if worker is not None]
            self._catalogue.offer_workers(
                snapshot.revision, listed, "store", after_outage
            )
        else:
            self._catalogue.apply_worker_changes(
                snapshot.revision, workers, "store", after_outage
            )
        self._on_workers()

    def _decode_worker(self, one: StoredObject) -> Worker | None:
        try:
            return worker_format.decode_worker(one.name, one.value)
        except ValueError as error:
            self._log_unreadable(one, error)
            return None

    def _take_peers(self, snapshot: Snapshot, whole: bool) -> None:
        if whole:
            self._records.clear()
        for one in snapshot.objects:
            if one.deleted:
                self._records.pop(one.name, None)
                continue
            try:
                record = worker_format.decode_peer(one.name, one.value)
            except ValueError as error:
                self._log_unreadable(one, error)
                continue
            self._records[one.name] = (one.revision, record)
        self._peers.set_records(record for _, record in self._records.values())

    def _log_unreadable(self, one: StoredObject, error: ValueError) -> None:
        if (one.name, one.revision) not in self._unreadable:
            self._unreadable.add((one.name, one.revision))
            self._log("entry_unreadable", name=one.name, reason=str(error))

    async def _register(self) -> None:
        """Keep this instance's own entry in the list."""
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
        """Remove the entries of instances that nobody has reached for long."""
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
                sweepers = self._peers.rank(name, not self.stopping)[:SWEEPERS]
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
        """Whether the last call of the store was answered."""
        return self._lost_s is None

    def _note_reached(self, kind: str) -> None:
        if self._lost_s is None:
            return
        now_s = self._clock.monotonic_s()
        outage_ms = (now_s - self._lost_s) * 1_000.0
        self._lost_s = None
        if outage_ms >= OUTAGE_MS:
            self._returned_s = now_s
        for scope in self._watches.values():
            scope.cancel()
        self._log("store_regained", kind=kind, outage_ms=round(outage_ms))

    def _note_lost(self, kind: str, reason: str) -> None:
        if self._lost_s is None:
            self._lost_s = self._clock.monotonic_s()
            self._log("store_lost", kind=kind, reason=reason)

    def _after_outage(self) -> bool:
        """Return whether entries may have lapsed while the store was away."""
        if self._returned_s == 0.0:
            return False
        age_ms = (self._clock.monotonic_s() - self._returned_s) * 1_000.0
        return age_ms < OUTAGE_SHADOW_MS


class PeerSync:
    """Takes over from peers what the store did not tell yet, and tells them.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    peers : Peers
        The other instances.
    tasks : TaskSupervisor
        Where news is fetched.
    log : callable
        Told failures, as a kind and fields.
    on_workers : callable
        Called after workers have changed.
    own : PeerRecord
        This instance's own entry.
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
        self._missed_since: tuple[int, float] | None = None
        """Known configuration, and since when a newer one was heard of."""
        self._entries: tuple[WorkerEntry, ...] = ()
        self._entries_of: tuple[int, int] | None = None

    async def join(self, seeds: Sequence[Address]) -> None:
        """Learn from seeds while the store has told nothing yet."""
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
            request = FetchNews(0, 0, True)
            news = await self._peers.ask(instance, request, NEWS_TIMEOUT_MS)
        except PeerUnavailable as error:
            self._log("seed_unreachable", host=seed.host, reason=str(error))
            return
        if isinstance(news, News):
            self._take(instance, news)

    def note_beat(self, instance: InstanceId, beat: Beat) -> None:
        """Fetch what a peer knows and this instance does not."""
        if self._fetching:
            return
        if self._has_configuration(beat) or self._has_workers(beat):
            self._fetching = True
            self._tasks.start_soon(self._fetch, instance, beat)

    async def answer(self, peer: InstanceId, message: FetchNews) -> News:
        """Return what is newer here than at a peer."""
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
        return News(
            catalogue.configuration_revision,
            configuration,
            catalogue.workers_revision,
            workers,
            peers,
        )

    def _worker_entries(self) -> tuple[WorkerEntry, ...]:
        """Return the known workers; many peers ask for the same ones."""
        catalogue = self._catalogue
        version = (catalogue.workers_revision, catalogue.workers_digest)
        if self._entries_of != version:
            self._entries_of = version
            self._entries = tuple(map(_worker_entry, catalogue.workers.values()))
        return self._entries

    def _has_configuration(self, beat: Beat) -> bool:
        """Return whether a peer has a configuration that the store does not bring."""
        known = self._catalogue.configuration_revision
        if beat.configuration_revision <= known:
            return False
        if not self._catalogue.complete:
            return True
        now_s = self._clock.monotonic_s()
        if self._missed_since is None or self._missed_since[0] != known:
            self._missed_since = (known, now_s)
        return now_s - self._missed_since[1] >= to_s(CONFIGURATION_DELAY_MS)

    def _has_workers(self, beat: Beat) -> bool:
        """Return whether a peer has other workers of a newer revision."""
        catalogue = self._catalogue
        return (
            beat.workers_revision > catalogue.workers_revision
            and beat.workers_digest != catalogue.workers_digest
        )

    async def _fetch(self, instance: InstanceId, beat: Beat) -> None:
        try:
            if self._catalogue.complete:
                await trio.sleep(to_s(NEWS_DELAY_MS))
            configuration = self._has_configuration(beat)
            if not configuration and not self._has_workers(beat):
                return
            known = self._catalogue.configuration_revision
            request = FetchNews(
                known if configuration else beat.configuration_revision,
                self._catalogue.workers_revision,
            )
            timeout_ms = CONFIGURATION_TIMEOUT_MS if configuration else NEWS_TIMEOUT_MS
            news = await self._peers.call(instance, request, timeout_ms)
            if isinstance(news, News):
                self._take(instance, news)
        except PeerUnavailable as error:
            self._log("news_not_fetched", peer=instance, reason=str(error))
        finally:
            self._fetching = False

    def _take(self, instance: InstanceId, news: News) -> None:
        origin = f"peer {instance}"
        if news.configuration is not None:
            self._catalogue.offer_configuration(
                news.configuration_revision, news.configuration, origin
            )
        if news.peers:
            self._peers.add_records(map(_peer_record, news.peers))
        if news.workers is not None:
            workers = [_worker(one) for one in news.workers]
            if self._catalogue.offer_workers(news.workers_revision, workers, origin):
                self._on_workers()


def _peer_entry(record: PeerRecord) -> PeerEntry:
    return PeerEntry(**asdict(record))


def _peer_record(entry: PeerEntry) -> PeerRecord:
    return PeerRecord(**msgspec.structs.asdict(entry))


def _worker_entry(worker: Worker) -> WorkerEntry:
    return WorkerEntry(**msgspec.to_builtins(worker))


def _worker(entry: WorkerEntry) -> Worker:
    return msgspec.convert(msgspec.structs.asdict(entry), Worker)
