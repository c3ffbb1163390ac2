"""Tests of replicas and of configuration distribution over fake peers."""

from dataclasses import dataclass
from random import Random

import msgspec
import pytest
import trio

from acaciapier.configuration import ConfigurationLog, ObjectKey, Replace
from acaciapier.configuration.distribution import Distribution, InstanceLocation
from acaciapier.configuration.ranks import WATCHERS_PER_REGION, region_watchers
from acaciapier.configuration.replica import ConfigurationReplica, Freshness
from acaciapier.configuration.requests import RequestedChange, RequestedEdit
from acaciapier.core.clock import TrioClock
from acaciapier.exceptions import PeerUnavailable, StoreUnavailable
from acaciapier.objects import Change, Edit
from configuration.fakes import FakeStore, pool_value

A = ObjectKey("pool", "a")
STALENESS_BOUND_S = 7


@dataclass(frozen=True)
class FakeMember:
    instance: str
    region: str
    configuration_number: int = 0
    data_centre: str = "one"


class FakeFleet:
    """Instances that call each other in memory and can be disconnected."""

    def __init__(self, count, regions=1, **settings):
        self.store = FakeStore()
        self.clock = TrioClock()
        self.nodes = {}
        self.disconnected = set()
        self.drop_gossip = False
        for index in range(count):
            self.add(f"i{index}", f"r{index % regions}")
        self.log = ConfigurationLog(self.store, self.clock, Random(9))

    def add(self, name, region):
        node = FakeNode(self, name, region)
        self.nodes[name] = node
        return node

    def members(self):
        return [
            FakeMember(name, node.region, node.replica.number)
            for name, node in self.nodes.items()
            if name not in self.disconnected
        ]

    async def accept(self, number):
        edit = RequestedEdit(A, number, Replace(pool_value("a", number + 1)))
        answer = await self.log.submit(RequestedChange(f"p{number}", "op", (edit,)))
        assert answer.is_ok(), answer

    def numbers(self):
        return [node.replica.number for node in self.nodes.values()]


class FakeNode:
    def __init__(self, fleet, name, region):
        self.fleet, self.name, self.region = fleet, name, region
        self.handlers, self.listeners = {}, {}
        self.replica = ConfigurationReplica(fleet.clock)
        self.distribution = Distribution(
            self.replica,
            NodeStore(fleet, name),
            self,
            self,
            fleet,
            InstanceLocation(name, region),
            fleet.clock,
            Random(name),
        )

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def on_new(self, message_type, handler):
        self.listeners[message_type] = handler

    async def call(self, peer, message, timeout_ms):
        await trio.sleep(0.003)
        if {self.name, peer} & self.fleet.disconnected or peer not in self.fleet.nodes:
            await trio.sleep(timeout_ms / 1000)
            raise PeerUnavailable(peer)
        answer = await self.fleet.nodes[peer].handlers[type(message)](
            self.name, message
        )
        if {self.name, peer} & self.fleet.disconnected:
            raise PeerUnavailable(peer)
        return answer

    def publish(self, message):
        if self.fleet.drop_gossip or self.name in self.fleet.disconnected:
            return
        for name, node in self.fleet.nodes.items():
            if name != self.name and name not in self.fleet.disconnected:
                node.listeners[type(message)](message)


class NodeStore:
    """The fleet's store as seen by one instance; fails while it is disconnected."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name

    def __getattr__(self, verb):
        async def call(*args, **kwargs):
            self.check_link()
            self.fleet.store.calls += 1
            answer = await getattr(self.fleet.store, verb)(*args, **kwargs)
            self.check_link()
            return answer

        return call

    def check_link(self):
        if self.name in self.fleet.disconnected:
            raise StoreUnavailable("disconnected", True)


async def start(fleet, nursery):
    for node in fleet.nodes.values():
        await nursery.start(node.distribution.run)


@pytest.mark.parametrize("drop_gossip", [False, True])
async def test_every_instance_applies_a_change_within_the_staleness_bound(
    drop_gossip, autojump_clock, nursery
):
    fleet = FakeFleet(40, regions=2)
    fleet.drop_gossip = drop_gossip
    await fleet.accept(0)
    await start(fleet, nursery)
    for number in range(1, 20):
        await fleet.accept(number)
        await trio.sleep(STALENESS_BOUND_S if number % 5 == 0 else 0.3)
    await trio.sleep(STALENESS_BOUND_S)
    assert set(fleet.numbers()) == {20}
    assert {n.replica.freshness for n in fleet.nodes.values()} == {Freshness.CURRENT}


async def test_only_a_few_instances_watch_the_store(autojump_clock, nursery):
    fleet = FakeFleet(30, regions=3)
    await fleet.accept(0)
    await start(fleet, nursery)
    before = fleet.store.calls
    await trio.sleep(60)
    calls_per_s = (fleet.store.calls - before) / 2 / 60
    assert calls_per_s < 3 * WATCHERS_PER_REGION


async def test_a_disconnected_instance_reports_stale_and_catches_up(
    autojump_clock, nursery
):
    fleet = FakeFleet(8)
    await fleet.accept(0)
    await start(fleet, nursery)
    for victim in [*region_watchers(fleet.members(), "r0"), "i0"]:
        replica = fleet.nodes[victim].replica
        number_before = replica.number
        fleet.disconnected.add(victim)
        await fleet.accept(fleet.log.state.number)
        await trio.sleep(STALENESS_BOUND_S + 3)
        assert replica.freshness is Freshness.STALE
        assert replica.staleness_ms > STALENESS_BOUND_S * 1000
        assert replica.number == number_before
        assert replica.state.pool("a").max_outstanding == number_before
        others = [n for n in fleet.nodes.values() if n.name != victim]
        assert {n.replica.number for n in others} == {fleet.log.state.number}
        fleet.disconnected.clear()
        await trio.sleep(STALENESS_BOUND_S + 5)
        assert replica.freshness is Freshness.CURRENT
        assert replica.number == fleet.log.state.number


async def test_a_new_instance_starts_from_a_peer_while_the_store_is_down(
    autojump_clock, nursery
):
    fleet = FakeFleet(4)
    for number in range(100):
        await fleet.accept(number)
    await start(fleet, nursery)
    fleet.store.is_down = True
    await trio.sleep(60)
    node = fleet.add("late", "r0")
    await nursery.start(node.distribution.run)
    assert node.replica.number == 100
    assert node.replica.freshness is Freshness.STALE
    fleet.store.is_down = False
    await trio.sleep(STALENESS_BOUND_S)
    assert node.replica.freshness is Freshness.CURRENT
    await fleet.accept(100)
    await trio.sleep(STALENESS_BOUND_S)
    assert set(fleet.numbers()) == {101}


async def test_a_lone_instance_without_a_store_reports_unknown_freshness(
    autojump_clock, nursery
):
    fleet = FakeFleet(1)
    fleet.store.is_down = True
    await start(fleet, nursery)
    replica = fleet.nodes["i0"].replica
    assert (replica.freshness, replica.number) == (Freshness.UNKNOWN, 0)


async def test_a_stale_copy_of_the_store_does_not_confirm_a_newer_state(
    autojump_clock, nursery
):
    fleet = FakeFleet(1)
    await fleet.accept(0)
    await start(fleet, nursery)
    replica = fleet.nodes["i0"].replica
    assert replica.freshness is Freshness.CURRENT
    edit = Edit("pool", "a", 1, 2, pool_value("a", 2))
    replica.apply(Change(2, "p", "op", 0, "f", (edit,)))
    await trio.sleep(STALENESS_BOUND_S + 3)
    assert (replica.number, replica.freshness) == (2, Freshness.STALE)


async def test_a_change_with_an_unknown_object_kind_makes_replicas_stale(
    autojump_clock, nursery
):
    fleet = FakeFleet(3)
    await fleet.accept(0)
    await start(fleet, nursery)
    unknown = Edit("novelty", "n", 0, 1, {"kind": "novelty", "name": "n"})
    change = Change(2, "p", "op", 0, "f", (unknown,))
    head = msgspec.structs.replace(
        fleet.log.head, number=2, recent=(*fleet.log.head.recent, change)
    )
    version = fleet.store.objects["configuration", "head"].version
    fleet.store.write("configuration", "head", msgspec.to_builtins(head), version)
    await trio.sleep(STALENESS_BOUND_S + 3)
    for node in fleet.nodes.values():
        assert (node.replica.number, node.replica.highest_number) == (1, 2)
        assert node.replica.freshness is Freshness.STALE
