"""Keeps an instance's replica of the configuration up to date."""

from dataclasses import dataclass
from random import Random

import logbook
import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId, RegionId
from ..exceptions import AcaciapierError, PeerUnavailable, StoreUnavailable
from ..observability import get_logger
from ..wire.messages.configuration import ChangeGossip, NumberGossip
from .interfaces import Gossip, MembershipView, PeerNetwork, Store
from .peers import PeerExchange
from .ranks import WATCHERS_PER_REGION, rank_in_region, region_watchers
from .replica import STALENESS_BOUND_MS, ConfigurationReplica, Freshness
from .watcher import RECOVERABLE_ERRORS, ChangePublisher, HeadReader

log = get_logger("acaciapier.configuration")

QUERY_INTERVAL_MS = 2_000.0
RETRY_INTERVAL_MS = 500.0
RANK_CHECK_INTERVAL_MS = 1_000.0
STORE_READ_INTERVAL_MS = 10_000.0
START_TIMEOUT_MS = 2_000.0
PEER_SAMPLE_SIZE = 3
QUERY_ALL_REGIONS_AFTER_MS = STALENESS_BOUND_MS / 2
MAX_CATCH_UP_QUERIES = 16


@dataclass(frozen=True)
class InstanceLocation:
    """Id and region of an instance."""

    instance: InstanceId
    region: RegionId


class Distribution:
    """Brings accepted changes to a replica through several redundant paths.

    A few instances of each region watch the head and publish new changes by
    gossip. Every instance also queries a watcher periodically for missing
    changes, queries other instances if that does not make it current, and reads
    the store itself while it is not current.

    Parameters
    ----------
    replica : ConfigurationReplica
        Replica to keep up to date.
    store : Store
        Client of the object API.
    network : PeerNetwork
        Calls to peers.
    gossip : Gossip
        Broadcasts to every instance.
    membership : MembershipView
        The live instances.
    location : InstanceLocation
        Id and region of this instance.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter and of random choices.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        store: Store,
        network: PeerNetwork,
        gossip: Gossip,
        membership: MembershipView,
        location: InstanceLocation,
        clock: Clock,
        random: Random,
    ):
        self.replica = replica
        self._membership = membership
        self._location = location
        self._random = random
        self._reader = HeadReader(store, replica, clock, random)
        self._publisher = ChangePublisher(gossip)
        self._exchange = PeerExchange(replica, network, clock)
        self._behind_event = trio.Event()
        gossip.on_new(ChangeGossip, self._handle_change)
        gossip.on_new(NumberGossip, self._handle_number)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Load the newest state from store and peers, then keep it up to date.

        `task_status` reports the start once the store and the peers were queried
        or the start timed out; `replica.freshness` shows whether a state is known.
        """
        await self.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_when_ranked, nursery)
            nursery.start_soon(self._query_periodically)
            nursery.start_soon(self._query_when_behind)
            nursery.start_soon(self._read_when_stale)
            task_status.started()

    async def start(self) -> None:
        """Query the store and some peers concurrently; the newest state wins."""
        with trio.move_on_after(to_s(START_TIMEOUT_MS)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._try_store)
                for peer in self._sample_peers(PEER_SAMPLE_SIZE):
                    nursery.start_soon(self._try_peer, peer)

    @property
    def rank(self) -> int:
        """Rank of this instance among the watchers of its region."""
        members = self._membership.members()
        return rank_in_region(members, self._location.instance, self._location.region)

    async def _watch_when_ranked(self, nursery: trio.Nursery) -> None:
        is_watching = False
        while True:
            rank = self.rank
            if rank >= WATCHERS_PER_REGION:
                is_watching = False
                await trio.sleep(to_s(RANK_CHECK_INTERVAL_MS))
                continue
            previous_number = self.replica.number
            is_watching = await self._try_watch(is_watching)
            self._publish_changes_since(nursery, previous_number, rank)

    async def _try_watch(self, is_watching: bool) -> bool:
        """Read the head, or watch it if `is_watching`; return False after an error."""
        try:
            if not is_watching:
                await self._reader.read()
            elif not await self._reader.watch():
                await self._sleep(RETRY_INTERVAL_MS)
        except RECOVERABLE_ERRORS as error:
            _log_failure("the object API", error)
            await self._sleep(RETRY_INTERVAL_MS)
            return False
        return True

    def _publish_changes_since(
        self, nursery: trio.Nursery, previous_number: int, rank: int
    ) -> None:
        if previous_number == 0 or self.replica.number == previous_number:
            return
        changes = self.replica.changes_after(previous_number, max_bytes=1 << 20)
        nursery.start_soon(self._publisher.publish_after, rank, changes)

    async def _query_periodically(self) -> None:
        while True:
            await self._sleep(QUERY_INTERVAL_MS)
            for member in self._membership.members():
                self._record_number(member.configuration_number)
            peer = self._choose_watcher()
            if peer is not None and not await self._try_peer(peer):
                await self._query_any_peer()

    async def _query_any_peer(self) -> None:
        for peer in self._sample_peers(PEER_SAMPLE_SIZE):
            if await self._try_peer(peer):
                return

    async def _query_when_behind(self) -> None:
        """Fetch missing changes as soon as a higher number is known."""
        while True:
            await self._behind_event.wait()
            self._behind_event = trio.Event()
            for _ in range(MAX_CATCH_UP_QUERIES):
                if not self.replica.is_behind:
                    break
                peer = self._choose_peer_ahead() or self._choose_watcher()
                if peer is not None:
                    await self._try_peer(peer)
                if self.replica.is_behind:
                    await self._sleep(RETRY_INTERVAL_MS)

    async def _read_when_stale(self) -> None:
        """Read the store directly while peers do not keep the replica current."""
        while True:
            await self._sleep(STORE_READ_INTERVAL_MS)
            if self.replica.freshness is not Freshness.CURRENT:
                await self._try_store()

    async def _try_store(self) -> bool:
        try:
            await self._reader.read()
        except RECOVERABLE_ERRORS as error:
            _log_failure("the object API", error)
            return False
        return True

    async def _try_peer(self, peer: InstanceId) -> bool:
        """Fetch from a peer; return whether that made the replica current."""
        try:
            await self._exchange.fetch(peer)
        except AcaciapierError as error:
            _log_failure(peer, error)
            return False
        return self.replica.freshness is Freshness.CURRENT

    def _handle_change(self, message: ChangeGossip) -> None:
        self._publisher.record_published(message.change.number)
        try:
            self.replica.apply(message.change)
        except AcaciapierError as error:
            _log_failure("a gossip message", error)
        self._record_number(message.change.number)

    def _handle_number(self, message: NumberGossip) -> None:
        self._publisher.record_published(message.number)
        self._record_number(message.number)

    def _record_number(self, number: int) -> None:
        self.replica.record_number(number)
        if self.replica.is_behind:
            self._behind_event.set()

    def _choose_watcher(self) -> InstanceId | None:
        """Return a random watcher of this region.

        Choose among the watchers of all regions if the replica was not confirmed
        for a while, since those of this region may be stale or unreachable.
        """
        members = list(self._membership.members())
        age_ms = self.replica.staleness_ms
        if age_ms is None or age_ms > QUERY_ALL_REGIONS_AFTER_MS:
            regions = sorted({member.region for member in members})
            watchers = [
                name for region in regions for name in region_watchers(members, region)
            ]
        else:
            watchers = region_watchers(members, self._location.region)
        others = [name for name in watchers if name != self._location.instance]
        return self._random.choice(others) if others else None

    def _choose_peer_ahead(self) -> InstanceId | None:
        """Return a random member that reports a higher number than the replica's."""
        ahead = [
            member.instance
            for member in self._membership.members()
            if member.configuration_number > self.replica.number
            and member.instance != self._location.instance
        ]
        return self._random.choice(ahead) if ahead else None

    def _sample_peers(self, count: int) -> list[InstanceId]:
        names = [member.instance for member in self._membership.members()]
        others = [name for name in names if name != self._location.instance]
        return self._random.sample(others, min(count, len(others)))

    async def _sleep(self, interval_ms: float) -> None:
        """Sleep for the interval with jitter, so that instances do not synchronize."""
        await trio.sleep(to_s(interval_ms * self._random.uniform(0.8, 1.1)))


def _log_failure(source: str, error: Exception) -> None:
    """Log a failure: at debug level if there was no answer, otherwise as an error.

    An unreachable store or peer is expected; an unreadable answer is not.
    """
    is_unreachable = isinstance(error, StoreUnavailable | PeerUnavailable)
    level = logbook.DEBUG if is_unreachable else logbook.ERROR
    log.log(level, "could not get the configuration from {}: {}", source, error)
