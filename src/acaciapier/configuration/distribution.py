"""Keeping a daemon's replica at the newest number."""

from dataclasses import dataclass
from random import Random

import logbook
import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId, RegionId
from ..exceptions import AcaciapierError, PeerUnavailable, StoreUnavailable
from ..observability import get_logger
from ..wire.messages.configuration import ChangeRumour, NumberRumour
from .interfaces import MembershipView, PeerNetwork, Rumours, Store
from .peers import PeerExchange
from .ranks import WATCHERS_PER_REGION, rank_in_region, watchers_of
from .replica import PROMISE_MS, ConfigurationReplica, Freshness
from .watcher import RECOVERABLE, HeadReader, Publisher

log = get_logger("acaciapier.configuration")

QUERY_INTERVAL_MS = 2_000.0
RETRY_INTERVAL_MS = 500.0
RANK_CHECK_INTERVAL_MS = 1_000.0
STORE_READ_INTERVAL_MS = 10_000.0
START_TIMEOUT_MS = 2_000.0
START_PEERS = 3
WIDEN_AFTER_MS = PROMISE_MS / 2
MAX_BEHIND_QUERIES = 16


@dataclass(frozen=True)
class Place:
    """Where a daemon is in the fleet."""

    instance: InstanceId
    region: RegionId


class Distribution:
    """Brings accepted changes into a replica, by several ways at once.

    A few instances of each region watch the head and spread rumours of new
    changes; every instance asks a watcher at intervals for what it lacks, any
    instance when watchers do not answer, and the store itself when it is stale.

    Parameters
    ----------
    replica : ConfigurationReplica
        The copy to keep current.
    store : Store
        Client of the object API.
    network : PeerNetwork
        Calls to peers.
    rumours : Rumours
        Reaches every instance.
    membership : MembershipView
        The live instances.
    place : Place
        This instance.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter and choices.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        store: Store,
        network: PeerNetwork,
        rumours: Rumours,
        membership: MembershipView,
        place: Place,
        clock: Clock,
        random: Random,
    ):
        self.replica = replica
        self._membership = membership
        self._place = place
        self._random = random
        self._reader = HeadReader(store, replica, clock, random)
        self._publisher = Publisher(rumours)
        self._exchange = PeerExchange(replica, network, clock)
        self._behind = trio.Event()
        rumours.on_new(ChangeRumour, self._take_change)
        rumours.on_new(NumberRumour, self._take_number)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Start from the highest of store and peers, then keep up for good.

        It reports as started once a state is known or the start has timed out;
        `replica.freshness` tells which.
        """
        await self.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_when_ranked, nursery)
            nursery.start_soon(self._ask_at_intervals)
            nursery.start_soon(self._ask_when_behind)
            nursery.start_soon(self._read_when_stale)
            task_status.started()

    async def start(self) -> None:
        """Ask the store and some peers at once; keep the highest answer."""
        with trio.move_on_after(to_s(START_TIMEOUT_MS)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._try_store)
                for peer in self._some_peers(START_PEERS):
                    nursery.start_soon(self._try_peer, peer)

    @property
    def rank(self) -> int:
        """Place of this instance in the order of watchers of its region."""
        members = self._membership.members()
        return rank_in_region(members, self._place.instance, self._place.region)

    async def _watch_when_ranked(self, nursery: trio.Nursery) -> None:
        is_watching = False
        while True:
            rank = self.rank
            if rank >= WATCHERS_PER_REGION:
                is_watching = False
                await trio.sleep(to_s(RANK_CHECK_INTERVAL_MS))
                continue
            before = self.replica.number
            is_watching = await self._try_watch(is_watching)
            self._spread_after(nursery, before, rank)

    async def _try_watch(self, is_watching: bool) -> bool:
        """Watch, or read first where the watch begins; return whether it went on."""
        try:
            if not is_watching:
                await self._reader.read()
            elif not await self._reader.watch():
                await self._sleep(RETRY_INTERVAL_MS)
        except RECOVERABLE as error:
            _log_failure("the object API", error)
            await self._sleep(RETRY_INTERVAL_MS)
            return False
        return True

    def _spread_after(self, nursery: trio.Nursery, before: int, rank: int) -> None:
        if before == 0 or self.replica.number == before:
            return
        changes = self.replica.changes_after(before, max_bytes=1 << 20)
        nursery.start_soon(self._publisher.publish_after, rank, changes)

    async def _ask_at_intervals(self) -> None:
        while True:
            await self._sleep(QUERY_INTERVAL_MS)
            for member in self._membership.members():
                self._note(member.configuration_number)
            peer = self._peer_to_ask()
            if peer is not None and not await self._try_peer(peer):
                await self._ask_anyone()

    async def _ask_anyone(self) -> None:
        for peer in self._some_peers(START_PEERS):
            if await self._try_peer(peer):
                return

    async def _ask_when_behind(self) -> None:
        """Fetch missing changes as soon as a higher number is heard of."""
        while True:
            await self._behind.wait()
            self._behind = trio.Event()
            for _ in range(MAX_BEHIND_QUERIES):
                if not self.replica.is_behind:
                    break
                peer = self._highest_peer() or self._peer_to_ask()
                if peer is not None:
                    await self._try_peer(peer)
                if self.replica.is_behind:
                    await self._sleep(RETRY_INTERVAL_MS)

    async def _read_when_stale(self) -> None:
        """Read the store directly while no peer brings the replica up to date."""
        while True:
            await self._sleep(STORE_READ_INTERVAL_MS)
            if self.replica.freshness is not Freshness.CURRENT:
                await self._try_store()

    async def _try_store(self) -> bool:
        try:
            await self._reader.read()
        except RECOVERABLE as error:
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

    def _take_change(self, message: ChangeRumour) -> None:
        self._publisher.note_spread(message.change.number)
        try:
            self.replica.apply(message.change)
        except AcaciapierError as error:
            _log_failure("a rumour", error)
        self._note(message.change.number)

    def _take_number(self, message: NumberRumour) -> None:
        self._publisher.note_spread(message.number)
        self._note(message.number)

    def _note(self, number: int) -> None:
        self.replica.note_number(number)
        if self.replica.is_behind:
            self._behind.set()

    def _peer_to_ask(self) -> InstanceId | None:
        """Return a watcher: of this region, or of any while those are stale."""
        members = list(self._membership.members())
        age_ms = self.replica.staleness_ms
        if age_ms is None or age_ms > WIDEN_AFTER_MS:
            regions = sorted({one.region for one in members})
            watchers = [name for one in regions for name in watchers_of(members, one)]
        else:
            watchers = watchers_of(members, self._place.region)
        others = [name for name in watchers if name != self._place.instance]
        return self._random.choice(others) if others else None

    def _highest_peer(self) -> InstanceId | None:
        """Return a member that reports a higher number than is held here."""
        ahead = [
            one.instance
            for one in self._membership.members()
            if one.configuration_number > self.replica.number
            and one.instance != self._place.instance
        ]
        return self._random.choice(ahead) if ahead else None

    def _some_peers(self, count: int) -> list[InstanceId]:
        names = [one.instance for one in self._membership.members()]
        others = [name for name in names if name != self._place.instance]
        return self._random.sample(others, min(count, len(others)))

    async def _sleep(self, interval_ms: float) -> None:
        """Sleep for about the interval, so that instances do not fall in step."""
        await trio.sleep(to_s(interval_ms * self._random.uniform(0.8, 1.1)))


def _log_failure(source: str, error: Exception) -> None:
    """Log a failure; silence is ordinary, an unreadable answer is not."""
    is_silence = isinstance(error, StoreUnavailable | PeerUnavailable)
    level = logbook.DEBUG if is_silence else logbook.ERROR
    log.log(level, "no configuration from {}: {}", source, error)
