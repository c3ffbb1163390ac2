"""Table of the other gateway instances.

Heartbeats detect which instances are up and carry the revisions that each one knows. A
ranking by hash selects the dispatcher of each service.
"""

from bisect import bisect
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerTimeout, PeerUnavailable
from ..policy.subset import rendezvous_rank
from ..wire.connector import PeerAddress
from ..wire.dispatch import CallFailed
from ..wire.messages.base import Message
from ..wire.messages.gateway import Heartbeat, ServiceWait
from ..wire.network import PeerNetwork
from .dispatch.ranking import rank_dispatchers
from .engine_times import EngineEstimate
from .heartbeat_schedule import (
    HEARTBEAT_PERIOD_MS,
    PACING_HEARTBEAT_PERIOD_MS,
    SLOW_HEARTBEAT_PERIOD_MS,
    take_due,
)
from .models import PeerRecord
from .settings import Address
from .supervision import TaskSupervisor

HEARTBEAT_TIMEOUT_MS = 250.0
"""Round trips take 3 ms; an instance whose event loop is frozen for longer than this is
treated as unreachable."""

JOIN_TIMEOUT_MS = 500.0
"""A healthy seed completes the handshake in three round trips."""

MISSED_HEARTBEATS_UNTIL_DOWN = 2
"""Consecutive missed heartbeats after which a peer is down; a single one may be lost by
chance."""

STABLE_AFTER_MS = 4_000.0
"""Uptime from which an instance is stable; until then it is ranked behind stable ones.
After this time all others have read its entry from the list, so that they switch to it
as dispatcher at the same time."""

MAX_HEARTBEAT_PEERS = 24
"""Peers up to which an instance sends heartbeats to all of them. Beyond, it sends them
to the required ones and a few neighbours, and knows the rest from the list alone."""

HEARTBEAT_EXPIRY_MS = 2_500.0
"""Age up to which a heartbeat tells whether its sender serves tunnels: two periods of
slow heartbeats and a time-out."""

MAX_UNLISTED = 1_000
"""Number of incarnations remembered before they are listed."""

NEIGHBOUR_COUNT = 2
"""Neighbours that an instance of a large fleet observes, so that two observe each."""


@dataclass(eq=False)
class Peer:
    """State of another instance, as observed by this one."""

    record: PeerRecord
    missed_heartbeats: int = 0
    up: bool = True
    stopping: bool = False
    stop_announced: bool = False
    """Whether its heartbeats say that it stops."""
    last_heartbeat: Heartbeat | None = None
    last_heartbeat_s: float = 0.0
    next_heartbeat_s: float = 0.0
    stable_at_s: float = 0.0
    """Monotonic time at which its uptime reaches `STABLE_AFTER_MS`."""
    stable: bool = True
    pending_calls: set[trio.CancelScope] = field(default_factory=set)


class Peers:
    """Table of the other instances, updated from the store's list and by heartbeats.

    Parameters
    ----------
    own_record : PeerRecord
        Record of this instance.
    network : PeerNetwork
        Connections to the other instances.
    clock : Clock
        Source of time.
    make_heartbeat : callable
        Returns this instance's heartbeat.
    on_change : callable
        Called on each change with an event name and its fields for the log.
    """

    def __init__(
        self,
        own_record: PeerRecord,
        network: PeerNetwork,
        clock: Clock,
        make_heartbeat: Callable[[], Heartbeat],
        on_change: Callable[..., None],
    ):
        self.own = own_record.instance
        self._own_record = own_record
        self._ranks: dict[tuple[str, bool], list[InstanceId]] = {}
        self._neighbours: list[InstanceId] | None = None
        self._unannounced: set[InstanceId] = set()
        """Peers of a large fleet to be told that this instance has become stable."""
        self._stable_at_s: dict[tuple[InstanceId, int], float] = {}
        """By incarnations that sent heartbeats before they were listed."""
        self.on_heartbeat: Callable[[InstanceId, Heartbeat], None] = (
            lambda peer, heartbeat: None
        )
        self.on_down: Callable[[InstanceId], None] = lambda peer: None
        self.on_up: Callable[[InstanceId, float], None] = lambda peer, uptime_ms: None
        """Called with the uptime of a peer that had seemed to be down."""
        self.on_lost: Callable[[InstanceId], None] = lambda peer: None
        """Called when a peer goes down, stops or has started anew."""
        self.required_peers: Callable[[], Iterable[InstanceId]] = lambda: ()
        """Returns the peers that get heartbeats often in a large fleet."""
        self.standby_peers: Callable[[], Iterable[InstanceId]] = lambda: ()
        """Returns the peers that get heartbeats at times in a large fleet."""
        self.paces_limits: Callable[[], bool] = lambda: False
        """Returns whether this instance reports sends to limited workers to all."""
        self._network = network
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._on_change = on_change
        self._peers: dict[InstanceId, Peer] = {}
        self._start_s = clock.monotonic_s()
        self._stable = False

    @property
    def records(self) -> list[PeerRecord]:
        """Records of all known peers."""
        return [peer.record for peer in self._peers.values()]

    @property
    def uptime_ms(self) -> float:
        """Uptime of this instance."""
        return (self._clock.monotonic_s() - self._start_s) * 1_000.0

    @property
    def live_count(self) -> int:
        """Number of instances that are up, including this one."""
        return 1 + sum(peer.up for peer in self._peers.values())

    @property
    def reachable_share(self) -> float:
        """Share of the listed instances that are up, including this one."""
        return self.live_count / (1 + len(self._peers))

    def set_records(self, records: Iterable[PeerRecord]) -> None:
        """Replace the list of instances; a peer with a changed record starts anew."""
        listed = {
            record.instance: record for record in records if record.instance != self.own
        }
        self._ranks.clear()
        self._neighbours = None
        for instance in self._peers.keys() - listed.keys():
            self._on_change("peer_removed", peer=instance)
            self._cancel_calls(self._peers.pop(instance))
        restarted = []
        for instance, record in listed.items():
            known = self._peers.get(instance)
            if known is None or known.record != record:
                if known is not None:
                    self._cancel_calls(known)
                    restarted.append(instance)
                self._peers[instance] = self._new_peer(record)
                address = PeerAddress(record.host, record.port)
                self._network.add_addresses({instance: address})
                self._on_change("peer_listed", peer=instance, host=record.host)
        for instance in restarted:
            self.on_lost(instance)

    def _new_peer(self, record: PeerRecord) -> Peer:
        """Return the initial state of a peer.

        Peers that are listed while this instance is not stable itself count as stable.
        """
        if not self._stable:
            return Peer(record)
        now_s = self._clock.monotonic_s()
        known_s = self._stable_at_s.pop((record.instance, record.started_ms), None)
        stable_at_s = now_s + to_s(STABLE_AFTER_MS) if known_s is None else known_s
        return Peer(record, stable_at_s=stable_at_s, stable=now_s >= stable_at_s)

    def add_records(self, records: Iterable[PeerRecord]) -> None:
        """Add instances that a peer knows; records known here take precedence."""
        known = {record.instance: record for record in self.records}
        merged = {record.instance: record for record in records} | known
        self.set_records(merged.values())

    def is_up(self, instance: InstanceId) -> bool:
        """Return whether an instance is up and not stopping."""
        peer = self._peers.get(instance)
        return peer is not None and peer.up and not peer.stopping

    def up_instances(self) -> list[InstanceId]:
        """Return the other instances that are up, stopping ones included."""
        return [instance for instance, peer in self._peers.items() if peer.up]

    def builds(self) -> list[str]:
        """Return the builds in the last heartbeats of the peers that are up."""
        heartbeats = (peer.last_heartbeat for peer in self._peers.values() if peer.up)
        return [heartbeat.build for heartbeat in heartbeats if heartbeat is not None]

    def follows_store(self, instance: InstanceId) -> bool:
        """Return whether an instance is up and reported that it follows the store."""
        heartbeat = self._heartbeat_of_live(instance)
        return heartbeat is not None and heartbeat.follows_store

    def follows_evacuations(self, instance: InstanceId) -> bool:
        """Return whether it also hands on evacuations; earlier builds do not."""
        heartbeat = self._heartbeat_of_live(instance)
        return self.follows_store(instance) and heartbeat.evacuated is not None

    def _heartbeat_of_live(self, instance: InstanceId) -> Heartbeat | None:
        peer = self._peers.get(instance)
        return peer.last_heartbeat if peer is not None and peer.up else None

    def tunnel_helpers(self) -> list[PeerRecord]:
        """Return the peers that lately reported that they serve tunnels.

        Those that were partitioned themselves lately are left out if there are others.
        """
        after_s = self._clock.monotonic_s() - to_s(HEARTBEAT_EXPIRY_MS)
        helpers = [
            peer
            for instance, peer in self._peers.items()
            if self.is_up(instance)
            and peer.last_heartbeat is not None
            and peer.last_heartbeat.serves_tunnels
            and peer.last_heartbeat_s > after_s
        ]
        steady = [
            peer for peer in helpers if not peer.last_heartbeat.partitioned_lately
        ]
        return [peer.record for peer in steady or helpers]

    @contextmanager
    def fails_when_down(self, instance: InstanceId) -> Iterator[trio.CancelScope]:
        """Provide a scope that is cancelled when a peer goes down."""
        peer = self._peers.get(instance)
        with trio.CancelScope() as scope:
            if peer is None:
                scope.cancel()
                yield scope
                return
            peer.pending_calls.add(scope)
            try:
                yield scope
            finally:
                peer.pending_calls.discard(scope)

    def reported_waits(self, instance: InstanceId) -> tuple[ServiceWait, ...]:
        """Return the service waits in the last heartbeat of a peer."""
        peer = self._peers.get(instance)
        return peer.last_heartbeat.waits if peer and peer.last_heartbeat else ()

    def engine_estimate(
        self, instance: InstanceId, service: str
    ) -> EngineEstimate | None:
        """Return a service's engine times in the last heartbeat of a peer, if any."""
        peer = self._peers.get(instance)
        if peer is None or peer.last_heartbeat is None:
            return None
        for times in peer.last_heartbeat.engine_times:
            if times.service == service:
                return EngineEstimate(times.first_part_ms, times.ms_per_token)
        return None

    def rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        """Return the candidates for dispatcher of `key`, the current one first.

        `own_usable` tells whether this instance is a candidate itself.
        """
        known = self._ranks.get((key, own_usable))
        if known is None:
            known = self._ranks[key, own_usable] = self._make_rank(key, own_usable)
        return known

    def leads(self, key: str) -> bool:
        """Return whether this instance ranks first for `key` among those that are up.

        Unlike ranks of services, the result is not kept: keys may be many.
        """
        instances = [self.own, *filter(self.is_up, self._peers)]
        first = max(instances, key=lambda instance: rendezvous_rank(key, instance))
        return first == self.own

    def _make_rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        members = [
            (peer.stable, peer.record)
            for instance, peer in self._peers.items()
            if self.is_up(instance)
        ]
        if own_usable:
            members.append((self._stable, self._own_record))
        return rank_dispatchers(key, members)

    def record_stopping(self, instance: InstanceId) -> None:
        """Record that a peer stops, or at least handed work over."""
        peer = self._peers.get(instance)
        if peer is not None and not peer.stopping:
            peer.stopping = True
            self._ranks.clear()
            self._on_change("peer_stopping", peer=instance)
            self.on_lost(instance)

    def record_heartbeat(self, instance: InstanceId, heartbeat: Heartbeat) -> None:
        """Update a peer from its heartbeat."""
        peer = self._peers.get(instance)
        left_ms = STABLE_AFTER_MS - heartbeat.uptime_ms
        stable_at_s = self._clock.monotonic_s() + to_s(left_ms)
        listed_ms = 0 if peer is None else peer.record.started_ms
        if heartbeat.started_ms not in (0, listed_ms):
            self._stable_at_s[instance, heartbeat.started_ms] = stable_at_s
            if len(self._stable_at_s) > MAX_UNLISTED:
                del self._stable_at_s[next(iter(self._stable_at_s))]
        if peer is None:
            return
        peer.missed_heartbeats = 0
        peer.last_heartbeat = heartbeat
        peer.last_heartbeat_s = self._clock.monotonic_s()
        peer.stable_at_s = stable_at_s
        if peer.stable != (left_ms <= 0):
            peer.stable = left_ms <= 0
            self._ranks.clear()
        if heartbeat.stopping:
            peer.stop_announced = True
            self.record_stopping(instance)
        elif peer.stopping and not peer.stop_announced:
            peer.stopping = False
            self._ranks.clear()
            self._on_change("peer_not_stopping", peer=instance)
        if not peer.up:
            peer.up = True
            self._ranks.clear()
            self._on_change("peer_up", peer=instance)
            self.on_up(instance, heartbeat.uptime_ms)
        self.on_heartbeat(instance, heartbeat)

    async def join(self, address: Address) -> InstanceId:
        """Connect to an address and return the name of the instance there.

        Raises
        ------
        PeerUnavailable
            If no instance answers at this address.
        """
        peer_address = PeerAddress(address.host, address.port)
        return await self._network.join(peer_address, JOIN_TIMEOUT_MS)

    async def call_unlisted(
        self, instance: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Call an instance that may not be listed yet.

        Raises
        ------
        PeerUnavailable
            If the instance is unreachable or does not answer in time.
        """
        return await self._network.call(instance, message, timeout_ms)

    async def call(
        self, instance: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Call a peer and fail as soon as heartbeats show that it is down.

        Raises
        ------
        PeerUnavailable
            If the peer is down, goes down, or does not answer in time.
        """
        peer = self._peers.get(instance)
        if peer is None or not peer.up:
            raise PeerUnavailable(f"{instance} is down")
        with trio.CancelScope() as scope:
            peer.pending_calls.add(scope)
            try:
                return await self._network.call(instance, message, timeout_ms)
            except (CallFailed, PeerTimeout):
                raise
            except PeerUnavailable as error:
                # The connection was refused or broken, so the process has ended.
                peer.missed_heartbeats = MISSED_HEARTBEATS_UNTIL_DOWN
                peer.next_heartbeat_s = 0.0
                self._record_missed(instance, peer, str(error))
                raise
            finally:
                peer.pending_calls.discard(scope)
        raise PeerUnavailable(f"{instance} went down")

    def send(self, instance: InstanceId, message: Message) -> None:
        """Queue a message to a peer; delivery is not guaranteed."""
        if instance in self._peers:
            self._network.send_soon(instance, message)

    def send_to_all(self, message: Message) -> None:
        """Queue a message to every peer that is up."""
        for instance, peer in self._peers.items():
            if peer.up:
                self._network.send_soon(instance, message)

    async def run(self, tasks: TaskSupervisor) -> None:
        """Exchange heartbeats until cancelled."""
        while True:
            now_s = self._clock.monotonic_s()
            self.update_stability(now_s)
            for instance in self.due_heartbeats(now_s):
                peer = self._peers[instance]
                tasks.start_soon(self._send_heartbeat, instance, peer)
            await trio.sleep(to_s(HEARTBEAT_PERIOD_MS / 4))

    def update_stability(self, now_s: float) -> None:
        """Mark instances as stable that have run long enough, including this one."""
        unstable = [peer for peer in self._peers.values() if not peer.stable]
        for peer in unstable:
            peer.stable = now_s >= peer.stable_at_s
        own = self.uptime_ms >= STABLE_AFTER_MS
        if own != self._stable or any(peer.stable for peer in unstable):
            if own and not self._stable:
                self._unannounced = set(self._peers)
            self._stable = own
            self._ranks.clear()

    def due_heartbeats(self, now_s: float) -> list[InstanceId]:
        """Return the peers that get a heartbeat now, and schedule their next ones.

        In a large fleet their number does not grow with the fleet, but for dispatchers
        that pace the requests to limited workers. One that has become stable tells all.
        """
        if not self.large_fleet:
            groups = [(self._peers, HEARTBEAT_PERIOD_MS)]
            return take_due(self._peers, groups, now_s)
        for name in self._unannounced:
            if name in self._peers:
                self._peers[name].next_heartbeat_s = now_s
        groups = [
            (self.required_peers(), HEARTBEAT_PERIOD_MS),
            (self._peers if self.paces_limits() else (), PACING_HEARTBEAT_PERIOD_MS),
            (self._unannounced, SLOW_HEARTBEAT_PERIOD_MS),
            ([*self.standby_peers(), *self.neighbours()], SLOW_HEARTBEAT_PERIOD_MS),
        ]
        due = take_due(self._peers, groups, now_s)
        self._unannounced = set()
        return due

    @property
    def large_fleet(self) -> bool:
        """Whether the fleet is too large for heartbeats between all instances."""
        return len(self._peers) > MAX_HEARTBEAT_PEERS

    def neighbours(self) -> list[InstanceId]:
        """Return the instances that follow this one in the circular order of names."""
        if self._neighbours is None:
            names = sorted(self._peers)
            start = bisect(names, self.own)
            self._neighbours = (names[start:] + names[:start])[:NEIGHBOUR_COUNT]
        return self._neighbours

    async def _send_heartbeat(self, instance: InstanceId, peer: Peer) -> None:
        try:
            answer = await self._network.call(
                instance, self._make_heartbeat(), HEARTBEAT_TIMEOUT_MS
            )
        except PeerUnavailable as error:
            if self._peers.get(instance) is peer:
                self._record_missed(instance, peer, str(error))
            if peer.missed_heartbeats >= MISSED_HEARTBEATS_UNTIL_DOWN:
                # The connection may be broken without an error; a new one may work.
                await self._network.close_connections(instance)
            return
        if isinstance(answer, Heartbeat):
            self.record_heartbeat(instance, answer)

    def _record_missed(self, instance: InstanceId, peer: Peer, reason: str) -> None:
        peer.missed_heartbeats += 1
        if peer.up and peer.missed_heartbeats >= MISSED_HEARTBEATS_UNTIL_DOWN:
            peer.up = False
            self._ranks.clear()
            self._on_change("peer_down", peer=instance, reason=reason)
            self._cancel_calls(peer)
            self.on_down(instance)
            self.on_lost(instance)

    def _cancel_calls(self, peer: Peer) -> None:
        """Fail the pending calls to a peer."""
        for scope in list(peer.pending_calls):
            scope.cancel()
