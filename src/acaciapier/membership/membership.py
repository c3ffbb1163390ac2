"""Driver of membership: one object that an instance runs from join to leave."""

from collections.abc import Callable, Sequence
from random import Random

import trio
from logbook import Logger

from ..core.clock import Clock
from ..core.ids import InstanceId, TargetId
from ..wire import PeerAddress, PeerNetwork
from ..wire.messages.membership import (
    MemberRecord,
    MemberState,
    MemberStatus,
    MemberUpdates,
    TargetRecord,
)
from .address_book import AddressBook
from .instance_list import InstanceListClient, InstanceListUnavailable
from .list_schedule import ListSchedule
from .member_table import ENTRY_ROLE, Member
from .own_record import OwnRecord
from .peers import PeerSelector
from .prober import Prober, Sleep
from .roster import Roster
from .rumours import Rumours
from .synchronizer import Synchronizer
from .target_roster import TargetRoster
from .target_table import TargetTable
from .views import MembershipChange, Seed, Subscribers, make_record, next_status

PROBE_PERIOD_S = 1.0
WAKE_PERIOD_S = 0.25
SYNC_PERIOD_S = 10.0
HEAL_PERIOD_S = 1.0
HEAL_CHANCE = 0.1
LIST_CHECK_S = 0.5
EXPIRE_PERIOD_S = 60.0
STATUS_PERIOD_S = 5.0
STATUS_PERIOD_PER_MEMBER_S = 0.05
JOIN_PEERS = 3
MAX_SPREAD_RECORDS = 16
LEAVE_FLUSH_S = 0.5

log = Logger(__name__)


class Membership:
    """Knows which instances and targets are there, together with its peers.

    Parameters
    ----------
    network : PeerNetwork
        Running network of this instance.
    instance_list : InstanceListClient or None
        The platform's list, if there is one.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    address : PeerAddress
        Where peers reach this instance.
    role : str, optional
        Role of this instance.
    seeds : sequence of Seed, optional
        Peers from the settings.
    sleep : callable, optional
        Coroutine to wait with.

    Examples
    --------
    >>> membership = Membership(network, listing, clock, random, address)
    >>> await nursery.start(membership.run)
    >>> membership.live_entries()
    ('entry-1', 'entry-2')
    >>> await membership.leave()
    """

    def __init__(
        self,
        network: PeerNetwork,
        instance_list: InstanceListClient | None,
        clock: Clock,
        random: Random,
        address: PeerAddress,
        role: str = ENTRY_ROLE,
        seeds: Sequence[Seed] = (),
        sleep: Sleep = trio.sleep,
    ):
        self._network = network
        self._instance_list = instance_list
        self._random = random
        self._sleep = sleep
        self._clock = clock
        self._addresses = AddressBook(network)
        own = OwnRecord(make_record(network, address, role))
        self.roster = Roster(own, clock, self._spread, self._note_members)
        self._targets = TargetRoster(clock, self._note_targets)
        self.peers = PeerSelector(network.identity, self.roster.table, clock, random)
        self.rumours = Rumours(network, self.peers, clock, random)
        self._targets.attach(self.rumours)
        self.rumours.on_new(MemberUpdates, lambda m: self.roster.take(m.records))
        self.schedule = ListSchedule(network.identity.instance_id, clock, random)
        self._prober = Prober(network, self.roster, self.peers, self.schedule, clock)
        self._synchronizer = Synchronizer(
            network,
            self.roster,
            self._targets.table,
            random,
            self._take_synced,
            self._targets.take,
        )
        self._candidates = {seed.instance: seed.address for seed in seeds}
        self._seeds = dict(self._candidates)
        self._subscribers = Subscribers()
        self._status = MemberStatus(own.record.instance_id, own.record.incarnation, 0)
        self._nursery: trio.Nursery | None = None

    @property
    def targets(self) -> TargetTable:
        """Table of the targets."""
        return self._targets.table

    def members(self) -> tuple[Member, ...]:
        """Return the running instances, this one included, ordered by id."""
        return tuple(m for m in self.roster.table.members() if m.present)

    def known_members(self) -> tuple[Member, ...]:
        """Return all known instances, dead and left ones included."""
        return self.roster.table.members()

    def live_entries(self) -> tuple[InstanceId, ...]:
        """Return the ids of the running entry instances, ordered."""
        return self.roster.table.live_entries()

    def subscribe(self, handler: Callable[[MembershipChange], None]) -> None:
        """Call `handler` after each change of members or targets."""
        self._subscribers.add(handler)

    def set_status(self, configuration_number: int, digest: int = 0) -> None:
        """Set what this instance tells the fleet about itself from time to time."""
        self._status = next_status(self._status, configuration_number, digest)
        self.roster.table.merge_status(self._status)

    def note_target(self, target_id: TargetId, incarnation: int, leaving: bool) -> None:
        """Take a target's own word from an answer; cheap if it is no news."""
        self._targets.note_word(target_id, incarnation, leaving)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Join and take part until `leave`; started once the join was tried."""
        self._update_addresses()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.rumours.run)
            nursery.start_soon(self._watch_wake_ups)
            await self._join()
            self._start_loops(nursery)
            task_status.started()

    async def leave(self) -> None:
        """Tell the peers that this instance leaves, then stop."""
        self.roster.announce(self.roster.own.leave())
        self.rumours.flush()
        await self._sleep(LEAVE_FLUSH_S)
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _start_loops(self, nursery: trio.Nursery) -> None:
        loops = [
            (self._prober.probe_next, PROBE_PERIOD_S),
            (self._sync, SYNC_PERIOD_S),
            (self._heal, HEAL_PERIOD_S),
            (self._expire, EXPIRE_PERIOD_S),
        ]
        if self._instance_list is not None:
            loops.append((self._read_list_if_due, LIST_CHECK_S))
        for action, period_s in loops:
            nursery.start_soon(self._repeat, action, period_s)
        nursery.start_soon(self._tell_status)

    async def _repeat(self, action, period_s: float) -> None:
        """Run `action` about every `period_s`, at times that differ by instance."""
        await self._sleep(self._random.uniform(0, period_s))
        while True:
            await action()
            await self._sleep(period_s * self._random.uniform(0.9, 1.1))

    async def _watch_wake_ups(self) -> None:
        """Compare expected and actual wake-up times; end due suspicions."""
        while True:
            expected_s = self._clock.monotonic_s() + WAKE_PERIOD_S
            await self._sleep(WAKE_PERIOD_S)
            late_s = self._clock.monotonic_s() - expected_s
            self.roster.health.note_wake_up(late_s)
            self.roster.confirm_deaths()

    async def _tell_status(self) -> None:
        while True:
            per_member_s = STATUS_PERIOD_PER_MEMBER_S * len(self.roster.table)
            period_s = max(STATUS_PERIOD_S, per_member_s)
            self._status = next_status(
                self._status, self._status.configuration_number, self._status.digest
            )
            self.roster.tell_status(self._status)
            await self._sleep(period_s * self._random.uniform(0.9, 1.1))

    async def _join(self) -> None:
        """Read the list, then compare tables with a few peers."""
        await self._read_list()
        candidates = [peer for peer in self._candidates if peer != self._own_id]
        self._random.shuffle(candidates)
        reached = 0
        for peer in candidates:
            reached += await self._synchronizer.sync_with(peer)
            if reached >= JOIN_PEERS:
                break
        log.info("joined through {} of {} candidates", reached, len(candidates))
        self._spread([self.roster.own.record])

    async def _sync(self) -> None:
        peer = self.peers.any_peer()
        if peer is not None:
            await self._synchronizer.sync_with(peer)

    async def _heal(self) -> None:
        """Try one instance that is thought dead, or known from elsewhere only.

        An instance without peers tries each time, others now and then.
        """
        alone = not self.peers.local and not self.peers.remote
        if not alone and self._random.random() > HEAL_CHANCE:
            return
        present = {record.instance_id for record in self.roster.table.present()}
        lost = [
            InstanceId(record.instance_id)
            for record in self.roster.table.records()
            if record.state is MemberState.DEAD
        ]
        unmet = [peer for peer in self._candidates if peer not in present]
        candidates = sorted({*lost, *unmet} - {self._own_id})
        if candidates:
            await self._synchronizer.sync_with(self._random.choice(candidates))

    async def _read_list_if_due(self) -> None:
        if self.schedule.should_read(self.peers.local):
            await self._read_list()

    async def _read_list(self) -> None:
        if self._instance_list is None:
            return
        try:
            listed = await self._instance_list.fetch()
        except InstanceListUnavailable as error:
            log.warning("instance list not read: {}", error)
            return
        self.schedule.note_read(listed.size_bytes)
        self._targets.note_list(listed)
        found = {
            InstanceId(record.id): PeerAddress(record.inner_host, record.inner_port)
            for record in listed.daemons()
        }
        self._candidates = {**self._seeds, **found}
        self._update_addresses()

    async def _expire(self) -> None:
        self.roster.table.expire()
        self.targets.expire()

    @property
    def _own_id(self) -> InstanceId:
        return self._network.identity.instance_id

    def _take_synced(self, records: Sequence[MemberRecord]) -> None:
        """Merge records of a comparison, and spread a few that were news.

        Suspected instances come first, as they must hear of it to contradict.
        """
        news = self.roster.take(records)
        self._random.shuffle(news)
        news.sort(key=lambda record: record.state is not MemberState.SUSPECT)
        self._spread(news[:MAX_SPREAD_RECORDS])

    def _spread(self, records: Sequence[MemberRecord]) -> None:
        """Publish each word by itself, so that it is one rumour whoever sends it."""
        for record in records:
            self.rumours.publish(MemberUpdates((record,)))

    def _note_members(self, records: Sequence[MemberRecord]) -> None:
        self._addresses.note(records)
        self._subscribers.tell(MembershipChange(members=tuple(records)))

    def _note_targets(self, records: Sequence[TargetRecord]) -> None:
        self._subscribers.tell(MembershipChange(targets=tuple(records)))

    def _update_addresses(self) -> None:
        known = {**self._candidates, **self.roster.table.addresses()}
        self._addresses.replace(known)
