"""The other instances: who lives, who is asked first, and what they know."""

import random as random_module
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerTimeout, PeerUnavailable
from ..policy.subset import rendezvous_rank
from ..wire.connector import PeerAddress
from ..wire.dispatch import CallFailed
from ..wire.messages.base import Message
from ..wire.messages.gateway import Beat, ServiceWait
from ..wire.network import PeerNetwork
from .models import PeerRecord
from .settings import Address
from .supervision import TaskSupervisor

BEAT_PERIOD_MS = 200.0
"""Two missed heartbeats are noticed within half of the tightest objective."""

BEAT_TIMEOUT_MS = 250.0
"""Round trips take 3 ms; a loop that stands still for longer is as good as gone."""

LARGE_SHARE = 0.5
"""Share of the largest capacity from which a machine may decide for a service: the
calls of one stage service fill a slow link."""

JOIN_TIMEOUT_MS = 500.0
"""A seed that is well answers the handshake in three round trips."""

MISSED_BEATS = 2
"""One lost answer may be an accident."""

DOWN_BEAT_PERIOD_MS = 1_000.0
"""A peer that is down is asked less often."""

SETTLED_AFTER_MS = 4_000.0
"""An instance decides for a service only so long after its start, if there is another:
by then all others have read of it in the list, and change to it at the same time."""

MAX_BEAT_PEERS = 24
"""Peers that one instance asks; at more, the rest is known from the list alone."""


@dataclass(eq=False)
class Peer:
    """One other instance as this one sees it."""

    record: PeerRecord
    missed: int = 0
    up: bool = True
    stopping: bool = False
    heard: Beat | None = None
    next_beat_s: float = 0.0
    settles_s: float = 0.0
    """When it will have run long enough to decide for others."""
    settled: bool = True
    calls: set[trio.CancelScope] = field(default_factory=set)


class Peers:
    """Table of the other instances, kept true by heartbeats.

    Parameters
    ----------
    own_record : PeerRecord
        This instance.
    network : PeerNetwork
        Connections to the others.
    clock : Clock
        Source of time.
    random : random.Random
        Choice of peers to ask.
    make_beat : callable
        Returns this instance's heartbeat.
    on_change : callable
        Told what changed, as a kind and fields for the log.
    """

    def __init__(
        self,
        own_record: PeerRecord,
        network: PeerNetwork,
        clock: Clock,
        random: random_module.Random,
        make_beat: Callable[[], Beat],
        on_change: Callable[..., None],
    ):
        self.own = own_record.instance
        self._own_record = own_record
        self._ranks: dict[tuple[str, bool], list[InstanceId]] = {}
        self.on_beat: Callable[[InstanceId, Beat], None] = lambda peer, beat: None
        self.on_down: Callable[[InstanceId], None] = lambda peer: None
        self.wanted: Callable[[], Iterable[InstanceId]] = lambda: ()
        self._network = network
        self._clock = clock
        self._random = random
        self._make_beat = make_beat
        self._on_change = on_change
        self._peers: dict[InstanceId, Peer] = {}
        self._start_s = clock.monotonic_s()
        self._settled = False

    @property
    def records(self) -> list[PeerRecord]:
        """Records of all known peers."""
        return [peer.record for peer in self._peers.values()]

    @property
    def uptime_ms(self) -> float:
        """Time since this instance's start."""
        return (self._clock.monotonic_s() - self._start_s) * 1_000.0

    @property
    def live_count(self) -> int:
        """Number of instances that seem to live, this one included."""
        return 1 + sum(peer.up for peer in self._peers.values())

    def set_records(self, records: Iterable[PeerRecord]) -> None:
        """Take over the list of instances; a new incarnation begins anew."""
        fresh = {one.instance: one for one in records if one.instance != self.own}
        self._ranks.clear()
        for instance in self._peers.keys() - fresh.keys():
            self._on_change("peer_removed", peer=instance)
            self._drop(self._peers.pop(instance))
        for instance, record in fresh.items():
            known = self._peers.get(instance)
            if known is None or known.record != record:
                if known is not None:
                    self._drop(known)
                self._peers[instance] = self._new_peer(record)
                address = PeerAddress(record.host, record.port)
                self._network.add_addresses({instance: address})
                self._on_change("peer_listed", peer=instance, host=record.host)

    def _new_peer(self, record: PeerRecord) -> Peer:
        """Return a peer; one that is listed after this one's start is new."""
        if not self._settled:
            return Peer(record)
        settles_s = self._clock.monotonic_s() + to_s(SETTLED_AFTER_MS)
        return Peer(record, settles_s=settles_s, settled=False)

    def add_records(self, records: Iterable[PeerRecord]) -> None:
        """Take over instances that a peer knows, beside those known here."""
        known = {one.instance: one for one in self.records}
        merged = {one.instance: one for one in records} | known
        self.set_records(merged.values())

    def is_up(self, instance: InstanceId) -> bool:
        """Return whether an instance lives and does not stop."""
        peer = self._peers.get(instance)
        return peer is not None and peer.up and not peer.stopping

    def follows_store(self, instance: InstanceId) -> bool:
        """Return whether an instance lives and said that it follows the store."""
        peer = self._peers.get(instance)
        return (
            peer is not None
            and peer.up
            and peer.heard is not None
            and peer.heard.follows_store
        )

    def waits_of(self, instance: InstanceId) -> tuple[ServiceWait, ...]:
        """Return the waits that a peer told last."""
        peer = self._peers.get(instance)
        return peer.heard.waits if peer is not None and peer.heard else ()

    def rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        """Return the instances that may decide for `key`, the first in charge."""
        known = self._ranks.get((key, own_usable))
        if known is None:
            known = self._ranks[key, own_usable] = self._make_rank(key, own_usable)
        return known

    def _make_rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        """Rank by hash; machines of little capacity and new ones behind all others."""
        members = [
            (peer.settled, peer.record)
            for one, peer in self._peers.items()
            if self.is_up(one)
        ]
        if own_usable:
            members.append((self._settled, self._own_record))
        most = max((one.capacity for _, one in members), default=0.0)
        members.sort(
            key=lambda member: (
                member[0],
                member[1].capacity >= LARGE_SHARE * most,
                rendezvous_rank(key, member[1].instance),
            ),
            reverse=True,
        )
        return [one.instance for _, one in members]

    def note_stopping(self, instance: InstanceId) -> None:
        """Take over a peer's word that it stops."""
        peer = self._peers.get(instance)
        if peer is not None and not peer.stopping:
            peer.stopping = True
            self._ranks.clear()
            self._on_change("peer_stopping", peer=instance)

    def note_beat(self, instance: InstanceId, beat: Beat) -> None:
        """Take over a heartbeat."""
        peer = self._peers.get(instance)
        if peer is None:
            return
        peer.missed = 0
        peer.heard = beat
        left_ms = SETTLED_AFTER_MS - beat.uptime_ms
        peer.settles_s = self._clock.monotonic_s() + to_s(left_ms)
        if peer.settled != (left_ms <= 0):
            peer.settled = left_ms <= 0
            self._ranks.clear()
        if beat.stopping:
            self.note_stopping(instance)
        if not peer.up:
            peer.up = True
            self._ranks.clear()
            self._on_change("peer_up", peer=instance)
        self.on_beat(instance, beat)

    async def join(self, address: Address) -> InstanceId:
        """Connect to the instance at an address, whoever it is.

        Raises
        ------
        PeerUnavailable
            If nobody answers there.
        """
        where = PeerAddress(address.host, address.port)
        return await self._network.join(where, JOIN_TIMEOUT_MS)

    async def ask(
        self, instance: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Call an instance that may not be listed yet; raises `PeerUnavailable`."""
        return await self._network.call(instance, message, timeout_ms)

    async def call(
        self, instance: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Call a peer; fails as soon as the peer seems to be down.

        Raises
        ------
        PeerUnavailable
            If the peer is down, goes down, or does not answer in time.
        """
        peer = self._peers.get(instance)
        if peer is None or not peer.up:
            raise PeerUnavailable(f"{instance} is down")
        with trio.CancelScope() as scope:
            peer.calls.add(scope)
            try:
                return await self._network.call(instance, message, timeout_ms)
            except (CallFailed, PeerTimeout):
                raise
            except PeerUnavailable as error:
                # Nobody listens, or the connection was cut: the process ended.
                peer.missed = MISSED_BEATS
                peer.next_beat_s = 0.0
                self._missed(instance, peer, str(error))
                raise
            finally:
                peer.calls.discard(scope)
        raise PeerUnavailable(f"{instance} went down")

    def send(self, instance: InstanceId, message: Message) -> None:
        """Send a message to a peer without waiting; it may be lost."""
        if instance in self._peers:
            self._network.send_soon(instance, message)

    def send_to_all(self, message: Message) -> None:
        """Send a message to every peer that seems to live."""
        for instance, peer in self._peers.items():
            if peer.up:
                self._network.send_soon(instance, message)

    async def run(self, tasks: TaskSupervisor) -> None:
        """Exchange heartbeats until cancelled."""
        while True:
            now_s = self._clock.monotonic_s()
            self.note_settled(now_s)
            for instance, peer in self._due(now_s):
                period_ms = BEAT_PERIOD_MS if peer.up else DOWN_BEAT_PERIOD_MS
                peer.next_beat_s = now_s + to_s(period_ms)
                tasks.start_soon(self._beat, instance, peer)
            await trio.sleep(to_s(BEAT_PERIOD_MS / 4))

    def note_settled(self, now_s: float) -> None:
        """Let instances decide that have run long enough, this one included."""
        new = [one for one in self._peers.values() if not one.settled]
        for peer in new:
            peer.settled = now_s >= peer.settles_s
        own = self.uptime_ms >= SETTLED_AFTER_MS
        if own != self._settled or any(one.settled for one in new):
            self._settled = own
            self._ranks.clear()

    def _due(self, now_s: float) -> list[tuple[InstanceId, Peer]]:
        peers = self._peers
        if len(peers) > MAX_BEAT_PEERS:
            names = {one for one in self.wanted() if one in peers}
            extra = self._random.sample(list(peers), 2)
            peers = {one: peers[one] for one in [*names, *extra]}
        return [(one, peer) for one, peer in peers.items() if peer.next_beat_s <= now_s]

    async def _beat(self, instance: InstanceId, peer: Peer) -> None:
        try:
            answer = await self._network.call(
                instance, self._make_beat(), BEAT_TIMEOUT_MS
            )
        except PeerUnavailable as error:
            if self._peers.get(instance) is peer:
                self._missed(instance, peer, str(error))
            if peer.missed >= MISSED_BEATS:
                # The connection may be silent for good while a new one works.
                await self._network.close_connections(instance)
            return
        if isinstance(answer, Beat):
            self.note_beat(instance, answer)

    def _missed(self, instance: InstanceId, peer: Peer, reason: str) -> None:
        peer.missed += 1
        if peer.up and peer.missed >= MISSED_BEATS:
            peer.up = False
            self._ranks.clear()
            self._on_change("peer_down", peer=instance, reason=reason)
            self._drop(peer)
            self.on_down(instance)

    def _drop(self, peer: Peer) -> None:
        """Fail the calls that wait for a peer."""
        for scope in list(peer.calls):
            scope.cancel()
