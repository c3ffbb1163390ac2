"""Daemons in one process that share a stand-in of the object API."""

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from acaciapier.configuration.distribution import Distribution, InstanceLocation
from acaciapier.configuration.replica import ConfigurationReplica
from acaciapier.core.clock import SystemClock
from acaciapier.core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from acaciapier.membership import Membership, Seed
from acaciapier.store import ObjectStore, StoreBudget
from acaciapier.wire import FleetKeys, PeerAddress, PeerIdentity, PeerNetwork
from acaciapier_standins import ObjectApiSettings, serve_standin

FLEET_KEY = b"bench-fleet-key-0000"
STATUS_INTERVAL_S = 0.5
CONFIGURATION_MESSAGES = (
    "ChangesQuery",
    "ChangesAnswer",
    "StateQuery",
    "StateAnswer",
    "RumourBatch",
)


@dataclass
class BenchNode:
    """One daemon in this process: peers, membership, store and replica."""

    network: PeerNetwork
    membership: Membership
    store: ObjectStore
    replica: ConfigurationReplica
    distribution: Distribution
    in_force_s: dict[int, float] = field(default_factory=dict)
    lowered: int = 0

    async def tell_status(self) -> None:
        """Tell peers the number in force, as a daemon does."""
        while True:
            self.membership.set_status(self.replica.number)
            await trio.sleep(STATUS_INTERVAL_S)

    def note(self, state) -> None:
        """Remember when a number came into force."""
        now_s = trio.current_time()
        last = max(self.in_force_s, default=0)
        self.lowered += state.number < last
        for number in range(last + 1, state.number + 1):
            self.in_force_s[number] = now_s

    @property
    def traffic_bytes(self) -> int:
        """Bytes of messages sent and received."""
        counters = self.network.counters
        sent = sum(counters.sent_bytes.values())
        return sent + sum(counters.received_bytes.values())

    @property
    def configuration_bytes(self) -> int:
        """Bytes of the messages that carry configuration."""
        counters = self.network.counters
        return sum(
            counters.sent_bytes[name] + counters.received_bytes[name]
            for name in CONFIGURATION_MESSAGES
        )


class BenchFleet:
    """Daemons in one process, over loopback, with a stand-in of the object API."""

    def __init__(self, url: str, nursery: trio.Nursery, stack: AsyncExitStack):
        self.clock = SystemClock()
        self.nodes: list[BenchNode] = []
        self._url = url
        self._nursery = nursery
        self._stack = stack
        self._seeds: tuple[Seed, ...] = ()

    async def store(self, seed: int) -> ObjectStore:
        """Open a client of the object API."""
        budget = StoreBudget(rate_per_s=500.0, burst=500)
        store = ObjectStore(self._url, budget, self.clock, Random(seed))
        return await self._stack.enter_async_context(store)

    async def add(self, index: int, region: str) -> BenchNode:
        """Start one daemon; returns once it has its first state."""
        clock, random = self.clock, Random(index)
        identity = PeerIdentity(
            InstanceId(f"entry-{index}"),
            Incarnation(1),
            DataCentreId(f"{region}-1"),
            RegionId(region),
        )
        network = PeerNetwork(identity, FleetKeys([FLEET_KEY]), clock, random)
        serve = partial(network.serve, "127.0.0.1", 0)
        address = PeerAddress("127.0.0.1", await self._nursery.start(serve))
        membership = Membership(
            network, None, clock, random, address, role="entry", seeds=self._seeds
        )
        replica = ConfigurationReplica(clock)
        store = await self.store(index)
        distribution = Distribution(
            replica,
            store,
            network,
            membership.gossip,
            membership,
            InstanceLocation(identity.instance_id, identity.region),
            clock,
            random,
        )
        node = BenchNode(network, membership, store, replica, distribution)
        replica.on_change(node.note)
        await self._nursery.start(membership.run)
        await self._nursery.start(distribution.run)
        self._nursery.start_soon(node.tell_status)
        self._seeds = self._seeds or (Seed(identity.instance_id, address),)
        self.nodes.append(node)
        return node

    def all_have(self, number: int) -> bool:
        """Return whether a number is in force on every daemon."""
        return all(node.replica.number >= number for node in self.nodes)

    def all_current(self) -> bool:
        """Return whether every daemon knows that it is current."""
        return all(one.replica.freshness.value == "current" for one in self.nodes)


@asynccontextmanager
async def open_fleet():
    """Run a stand-in of the object API; gives it and an empty fleet."""
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        bound = await nursery.start(serve_standin, ObjectApiSettings())
        yield bound.standin, BenchFleet(bound.url, nursery, stack)
        nursery.cancel_scope.cancel()
