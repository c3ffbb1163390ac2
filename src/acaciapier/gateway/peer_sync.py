"""Exchange of configuration and workers with peers."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict

import msgspec
import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire.messages.gateway import (
    FetchUpdates,
    Heartbeat,
    PeerEntry,
    PeerUpdates,
    WorkerEntry,
)
from .catalogue import Catalogue
from .models import PeerRecord, StorePosition, Worker
from .peers import Peers
from .settings import Address
from .supervision import TaskSupervisor

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

MIN_COLD_MS = 1.0
"""Cold time of a worker that is warm by now, in its entry for a peer."""

FETCH_TIMEOUT_MS = 500.0
"""A healthy peer answers in a few milliseconds."""


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
    cold_left_ms : callable, optional
        Returns for how long workers are still cold, by the keys of the cold ones.
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
        cold_left_ms: Callable[[], Mapping[str, float]] = dict,
    ):
        self._cold_left_ms = cold_left_ms
        self._own = own
        self._catalogue = catalogue
        self._peers = peers
        self._tasks = tasks
        self._log = log
        self._on_workers = on_workers
        self._fetching = False
        self._clock = clock
        self._outdated_since: tuple[StorePosition, float] | None = None
        """Position known here, and the time when a peer first reported a newer one."""
        self._entries: tuple[WorkerEntry, ...] = ()
        self._has_cold_entries = False
        self._entries_version: tuple[StorePosition, int] | None = None

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
        """Apply evacuations; start a fetch if a peer reports other missing state."""
        self._catalogue.evacuations.merge(instance, heartbeat.evacuated)
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
        known = (catalogue.version, catalogue.configuration_position)
        if known > self._configuration_of(message):
            configuration = catalogue.configuration_source
        if catalogue.workers_position > self._workers_position_of(message):
            workers = self._worker_entries()
        peers = ()
        if message.wants_peers:
            known = [*self._peers.records, self._own]
            peers = tuple(map(_peer_entry, known))
        return PeerUpdates(
            catalogue.configuration_position.revision,
            configuration,
            catalogue.workers_position.revision,
            workers,
            peers,
            catalogue.configuration_position.term,
            catalogue.workers_position.term,
            catalogue.evacuations.shared(),
        )

    def _worker_entries(self) -> tuple[WorkerEntry, ...]:
        """Return the worker entries, cached since many peers fetch the same version."""
        catalogue = self._catalogue
        version = (catalogue.workers_position, catalogue.workers_digest)
        if self._entries_version != version:
            self._entries_version = version
            self._entries = tuple(map(_worker_entry, catalogue.workers.values()))
            self._has_cold_entries = any(one.cold_ms > 0 for one in self._entries)
        cold_left_ms = self._cold_left_ms()
        if not cold_left_ms and not self._has_cold_entries:
            return self._entries
        return tuple(_with_cold_time(one, cold_left_ms) for one in self._entries)

    def _needs_configuration(self, heartbeat: Heartbeat) -> bool:
        """Return whether a peer has a configuration that the store delivers late."""
        known = self._catalogue.configuration_position
        if not self._catalogue.has_newer_configuration(
            *self._configuration_of(heartbeat)
        ):
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
            self._workers_position_of(heartbeat) > catalogue.workers_position
            and heartbeat.workers_digest != catalogue.workers_digest
        )

    async def _fetch(self, instance: InstanceId, heartbeat: Heartbeat) -> None:
        try:
            if self._catalogue.complete:
                await trio.sleep(to_s(FETCH_DELAY_MS))
            configuration = self._needs_configuration(heartbeat)
            if not configuration and not self._needs_workers(heartbeat):
                return
            request = self._fetch_request(heartbeat, configuration)
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

    def _configuration_of(
        self, message: Heartbeat | FetchUpdates
    ) -> tuple[int, StorePosition]:
        """Return version and position of the configuration that a message names.

        Processes of earlier releases send no terms and no version. What they know is
        taken to be of the first term that was seen here.
        """
        catalogue = self._catalogue
        term = message.configuration_term or catalogue.first_term
        version = message.configuration_version or catalogue.version
        return version, StorePosition(term, message.configuration_revision)

    def _workers_position_of(
        self, message: Heartbeat | FetchUpdates | PeerUpdates
    ) -> StorePosition:
        """Return the position of the worker table that a message names."""
        term = message.workers_term or self._catalogue.first_term
        return StorePosition(term, message.workers_revision)

    def _fetch_request(self, heartbeat: Heartbeat, configuration: bool) -> FetchUpdates:
        """Return a request for what is newer than the state known here.

        Unless the configuration is wanted, the one that the peer has counts as known.
        """
        catalogue = self._catalogue
        version, (term, revision) = (
            (catalogue.version, catalogue.configuration_position)
            if configuration
            else self._configuration_of(heartbeat)
        )
        return FetchUpdates(
            revision,
            catalogue.workers_position.revision,
            configuration_term=term,
            workers_term=catalogue.workers_position.term,
            configuration_version=version,
        )

    def _apply_updates(self, instance: InstanceId, updates: PeerUpdates) -> None:
        origin = f"peer {instance}"
        self._catalogue.evacuations.merge(instance, updates.evacuated)
        if updates.evacuated is None:
            self._catalogue.evacuations.record_unavailable()
        if updates.configuration is not None:
            position = StorePosition(
                updates.configuration_term or self._catalogue.first_term,
                updates.configuration_revision,
            )
            self._catalogue.update_configuration(
                position, updates.configuration, origin
            )
        if updates.peers:
            self._peers.add_records(map(_peer_record, updates.peers))
        if updates.workers is not None:
            workers = [_worker(entry) for entry in updates.workers]
            position = self._workers_position_of(updates)
            if self._catalogue.update_workers(position, workers, origin):
                self._on_workers()


def _peer_entry(record: PeerRecord) -> PeerEntry:
    return PeerEntry(**asdict(record))


def _peer_record(entry: PeerEntry) -> PeerRecord:
    return PeerRecord(**msgspec.structs.asdict(entry))


def _worker_entry(worker: Worker) -> WorkerEntry:
    return WorkerEntry(**msgspec.to_builtins(worker))


def _with_cold_time(
    entry: WorkerEntry, cold_left_ms: Mapping[str, float]
) -> WorkerEntry:
    """Return an entry with what is left of a worker's cold time.

    The entry of a cold worker keeps some, so that it is known to be the same.
    """
    left_ms = cold_left_ms.get(f"{entry.id}/{entry.started_ms}", 0.0)
    if entry.cold_ms <= 0 and left_ms <= 0:
        return entry
    return msgspec.structs.replace(entry, cold_ms=max(MIN_COLD_MS, left_ms))


def _worker(entry: WorkerEntry) -> Worker:
    return msgspec.convert(msgspec.structs.asdict(entry), Worker)
