"""Entry point of membership, which an instance runs from its join to its leave."""

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
from .address_updater import AddressUpdater
from .gossip import Gossip
from .instance_list import InstanceListClient, InstanceListUnavailable
from .list_schedule import ListSchedule
from .member_table import ENTRY_ROLE, Member
from .member_tracker import MemberTracker
from .own_record import OwnRecord
from .peers import PeerSelector
from .prober import Prober, Sleep
from .synchronizer import Synchronizer
from .target_table import TargetTable
from .target_tracker import TargetTracker
from .views import MembershipChange, Seed, Subscribers, make_record, next_status

PROBE_PERIOD_S = 1.0
WAKE_UP_CHECK_PERIOD_S = 0.25
SYNC_PERIOD_S = 10.0
HEAL_PERIOD_S = 1.0
HEAL_PROBABILITY = 0.1
LIST_CHECK_PERIOD_S = 0.5
EXPIRE_PERIOD_S = 60.0
STATUS_PERIOD_S = 5.0
STATUS_PERIOD_PER_MEMBER_S = 0.05
MAX_JOIN_PEERS = 3
MAX_GOSSIPED_RECORDS = 16
LEAVE_FLUSH_WAIT_S = 0.5

log = Logger(__name__)


class Membership:
    """Tracks the instances and targets of the fleet in cooperation with its peers.

    Parameters
    ----------
    network : PeerNetwork
        Network of this instance, which must be running.
    instance_list : InstanceListClient or None
        Client of the platform's instance list, if there is one.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness.
    address : PeerAddress
        Address at which peers reach this instance.
    role : str, optional
        Role of this instance.
    seeds : sequence of Seed, optional
        Peers from the settings.
    sleep : callable, optional
        Coroutine function to sleep with.

    Examples
    --------
    >>> membership = Membership(network, instance_list, clock, random, address)
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
        self._address_updater = AddressUpdater(network)
        own = OwnRecord(make_record(network, address, role))
        self.member_tracker = MemberTracker(
            own, clock, self._publish_records, self._handle_member_changes
        )
        self._target_tracker = TargetTracker(clock, self._handle_target_changes)
        self.peers = PeerSelector(
            network.identity, self.member_tracker.table, clock, random
        )
        self.gossip = Gossip(network, self.peers, clock, random)
        self._target_tracker.attach(self.gossip)
        self.gossip.on_new(
            MemberUpdates, lambda m: self.member_tracker.merge(m.records)
        )
        self.schedule = ListSchedule(network.identity.instance_id, clock, random)
        self._prober = Prober(
            network, self.member_tracker, self.peers, self.schedule, clock
        )
        self._synchronizer = Synchronizer(
            network,
            self.member_tracker,
            self._target_tracker.table,
            random,
            self._merge_synced_members,
            self._target_tracker.merge,
        )
        self._candidates = {seed.instance: seed.address for seed in seeds}
        self._seeds = dict(self._candidates)
        self._subscribers = Subscribers()
        self._status = MemberStatus(own.record.instance_id, own.record.incarnation, 0)
        self._nursery: trio.Nursery | None = None

    @property
    def targets(self) -> TargetTable:
        """The known targets."""
        return self._target_tracker.table

    def members(self) -> tuple[Member, ...]:
        """Return the running instances, this one included, ordered by id."""
        return tuple(m for m in self.member_tracker.table.members() if m.is_running)

    def known_members(self) -> tuple[Member, ...]:
        """Return all known instances, including those that are dead or have left."""
        return self.member_tracker.table.members()

    def live_entries(self) -> tuple[InstanceId, ...]:
        """Return the sorted ids of the running entry instances."""
        return self.member_tracker.table.live_entries()

    def subscribe(self, handler: Callable[[MembershipChange], None]) -> None:
        """Call `handler` after each change of members or targets."""
        self._subscribers.add(handler)

    def set_status(self, configuration_number: int, digest: int = 0) -> None:
        """Set the status that this instance sends to the fleet periodically."""
        self._status = next_status(self._status, configuration_number, digest)
        self.member_tracker.table.merge_status(self._status)

    def record_target_report(
        self, target_id: TargetId, incarnation: int, leaving: bool
    ) -> None:
        """Record the state that a target reported; cheap if nothing has changed."""
        self._target_tracker.record_report(target_id, incarnation, leaving)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Join and run until `leave`; started when the attempt to join has ended."""
        self._update_addresses()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self._watch_wake_ups)
            await self._join()
            self._start_loops(nursery)
            task_status.started()

    async def leave(self) -> None:
        """Announce to the peers that this instance leaves, then stop."""
        self.member_tracker.announce(self.member_tracker.own.leave())
        self.gossip.flush()
        await self._sleep(LEAVE_FLUSH_WAIT_S)
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
            loops.append((self._read_list_if_due, LIST_CHECK_PERIOD_S))
        for action, period_s in loops:
            nursery.start_soon(self._repeat, action, period_s)
        nursery.start_soon(self._report_status)

    async def _repeat(self, action, period_s: float) -> None:
        """Run `action` about every `period_s`, with a random offset and jitter."""
        await self._sleep(self._random.uniform(0, period_s))
        while True:
            await action()
            await self._sleep(period_s * self._random.uniform(0.9, 1.1))

    async def _watch_wake_ups(self) -> None:
        """Detect delayed wake-ups of this process; confirm expired suspicions."""
        while True:
            expected_s = self._clock.monotonic_s() + WAKE_UP_CHECK_PERIOD_S
            await self._sleep(WAKE_UP_CHECK_PERIOD_S)
            late_s = self._clock.monotonic_s() - expected_s
            self.member_tracker.health.record_wake_up(late_s)
            self.member_tracker.confirm_deaths()

    async def _report_status(self) -> None:
        while True:
            per_member_s = STATUS_PERIOD_PER_MEMBER_S * len(self.member_tracker.table)
            period_s = max(STATUS_PERIOD_S, per_member_s)
            self._status = next_status(
                self._status, self._status.configuration_number, self._status.digest
            )
            self.member_tracker.announce_status(self._status)
            await self._sleep(period_s * self._random.uniform(0.9, 1.1))

    async def _join(self) -> None:
        """Read the instance list, then synchronize with a few peers."""
        await self._read_list()
        candidates = [peer for peer in self._candidates if peer != self._own_id]
        self._random.shuffle(candidates)
        reached = 0
        for peer in candidates:
            reached += await self._synchronizer.sync_with(peer)
            if reached >= MAX_JOIN_PEERS:
                break
        log.info(
            "joined: synchronized with {} of {} candidates", reached, len(candidates)
        )
        self._publish_records([self.member_tracker.own.record])

    async def _sync(self) -> None:
        peer = self.peers.pick_random_peer()
        if peer is not None:
            await self._synchronizer.sync_with(peer)

    async def _heal(self) -> None:
        """Try to synchronize with an instance that is dead or not known as running.

        The latter are seeds and instances of the list. This heals network partitions.
        An instance without peers tries every time, others with `HEAL_PROBABILITY`.
        """
        isolated = not self.peers.local and not self.peers.remote
        if not isolated and self._random.random() > HEAL_PROBABILITY:
            return
        running = {record.instance_id for record in self.member_tracker.table.running()}
        dead = [
            InstanceId(record.instance_id)
            for record in self.member_tracker.table.records()
            if record.state is MemberState.DEAD
        ]
        not_running = [peer for peer in self._candidates if peer not in running]
        candidates = sorted({*dead, *not_running} - {self._own_id})
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
            log.warning("cannot read the instance list: {}", error)
            return
        self.schedule.record_read(listed.size_bytes)
        self._target_tracker.merge_list(listed)
        listed_peers = {
            InstanceId(record.id): PeerAddress(record.inner_host, record.inner_port)
            for record in listed.daemons()
        }
        self._candidates = {**self._seeds, **listed_peers}
        self._update_addresses()

    async def _expire(self) -> None:
        self.member_tracker.table.expire()
        self.targets.expire()

    @property
    def _own_id(self) -> InstanceId:
        return self._network.identity.instance_id

    def _merge_synced_members(self, records: Sequence[MemberRecord]) -> None:
        """Merge records from a synchronization; publish some of those that were new.

        Suspicions come first, since the suspected instances must learn of them to
        refute them.
        """
        merged = self.member_tracker.merge(records)
        self._random.shuffle(merged)
        merged.sort(key=lambda record: record.state is not MemberState.SUSPECT)
        self._publish_records(merged[:MAX_GOSSIPED_RECORDS])

    def _publish_records(self, records: Sequence[MemberRecord]) -> None:
        """Publish each record in a message of its own.

        All senders of a record thus publish identical bytes, which gossip
        deduplicates.
        """
        for record in records:
            self.gossip.publish(MemberUpdates((record,)))

    def _handle_member_changes(self, records: Sequence[MemberRecord]) -> None:
        self._address_updater.add(records)
        self._subscribers.notify(MembershipChange(members=tuple(records)))

    def _handle_target_changes(self, records: Sequence[TargetRecord]) -> None:
        self._subscribers.notify(MembershipChange(targets=tuple(records)))

    def _update_addresses(self) -> None:
        addresses = {**self._candidates, **self.member_tracker.table.addresses()}
        self._address_updater.replace_all(addresses)
