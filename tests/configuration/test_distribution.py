"""Tests of replicas and of the distribution over fake peers."""

from dataclasses import dataclass
from random import Random

import msgspec
import pytest
import trio

from acaciapier.configuration import ConfigurationLog, ObjectKey, Replace
from acaciapier.configuration.distribution import Distribution, Place
from acaciapier.configuration.ranks import WATCHERS_PER_REGION, watchers_of
from acaciapier.configuration.replica import ConfigurationReplica, Freshness
from acaciapier.configuration.requests import RequestedChange, RequestedEdit
from acaciapier.core.clock import TrioClock
from acaciapier.exceptions import PeerUnavailable, StoreUnavailable
from acaciapier.objects import Change, Edit
from configuration.fakes import FakeStore, pool_value

A = ObjectKey("pool", "a")
PROMISE_S = 7


@dataclass(frozen=True)
class FakeMember:
    instance: str
    region: str
    configuration_number: int = 0
    data_centre: str = "one"


class FakeFleet:
    """Instances that call each other in memory, over links that can be cut."""

    def __init__(self, count, regions=1, **settings):
        self.store = FakeStore()
        self.clock = TrioClock()
        self.nodes = {}
        self.cut = set()
        self.lose_rumours = False
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
            if name not in self.cut
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
            Place(name, region),
            fleet.clock,
            Random(name),
        )

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def on_new(self, message_type, handler):
        self.listeners[message_type] = handler

    async def call(self, peer, message, timeout_ms):
        await trio.sleep(0.003)
        if {self.name, peer} & self.fleet.cut or peer not in self.fleet.nodes:
            await trio.sleep(timeout_ms / 1000)
            raise PeerUnavailable(peer)
        answer = await self.fleet.nodes[peer].handlers[type(message)](
            self.name, message
        )
        if {self.name, peer} & self.fleet.cut:
            raise PeerUnavailable(peer)
        return answer

    def publish(self, message):
        if self.fleet.lose_rumours or self.name in self.fleet.cut:
            return
        for name, node in self.fleet.nodes.items():
            if name != self.name and name not in self.fleet.cut:
                node.listeners[type(message)](message)


class NodeStore:
    """The fleet's store as one instance reaches it."""

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
        if self.name in self.fleet.cut:
            raise StoreUnavailable("cut off", True)


async def start(fleet, nursery):
    for node in fleet.nodes.values():
        await nursery.start(node.distribution.run)


@pytest.mark.parametrize("lose_rumours", [False, True])
async def test_every_instance_has_a_change_within_the_promise(
    lose_rumours, autojump_clock, nursery
):
    fleet = FakeFleet(40, regions=2)
    fleet.lose_rumours = lose_rumours
    await fleet.accept(0)
    await start(fleet, nursery)
    for number in range(1, 20):
        await fleet.accept(number)
        await trio.sleep(PROMISE_S if number % 5 == 0 else 0.3)
    await trio.sleep(PROMISE_S)
    assert set(fleet.numbers()) == {20}
    assert {n.replica.freshness for n in fleet.nodes.values()} == {Freshness.CURRENT}


async def test_few_instances_watch(autojump_clock, nursery):
    fleet = FakeFleet(30, regions=3)
    await fleet.accept(0)
    await start(fleet, nursery)
    before = fleet.store.calls
    await trio.sleep(60)
    calls_per_s = (fleet.store.calls - before) / 2 / 60
    assert calls_per_s < 3 * WATCHERS_PER_REGION


async def test_an_instance_that_is_cut_off_knows_it_and_catches_up(
    autojump_clock, nursery
):
    fleet = FakeFleet(8)
    await fleet.accept(0)
    await start(fleet, nursery)
    for victim in [*watchers_of(fleet.members(), "r0"), "i0"]:
        replica = fleet.nodes[victim].replica
        held = replica.number
        fleet.cut.add(victim)
        await fleet.accept(fleet.log.state.number)
        await trio.sleep(PROMISE_S + 3)
        assert replica.freshness is Freshness.STALE
        assert replica.staleness_ms > PROMISE_S * 1000
        assert replica.number == held
        assert replica.state.pool("a").max_outstanding == held
        others = [n for n in fleet.nodes.values() if n.name != victim]
        assert {n.replica.number for n in others} == {fleet.log.state.number}
        fleet.cut.clear()
        await trio.sleep(PROMISE_S + 5)
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
    await trio.sleep(PROMISE_S)
    assert node.replica.freshness is Freshness.CURRENT
    await fleet.accept(100)
    await trio.sleep(PROMISE_S)
    assert set(fleet.numbers()) == {101}


async def test_an_instance_alone_without_a_store_says_that_it_knows_nothing(
    autojump_clock, nursery
):
    fleet = FakeFleet(1)
    fleet.store.is_down = True
    await start(fleet, nursery)
    replica = fleet.nodes["i0"].replica
    assert (replica.freshness, replica.number) == (Freshness.UNKNOWN, 0)


async def test_an_older_copy_of_the_store_confirms_nothing(autojump_clock, nursery):
    fleet = FakeFleet(1)
    await fleet.accept(0)
    await start(fleet, nursery)
    replica = fleet.nodes["i0"].replica
    assert replica.freshness is Freshness.CURRENT
    edit = Edit("pool", "a", 1, 2, pool_value("a", 2))
    replica.apply(Change(2, "p", "op", 0, "f", (edit,)))
    await trio.sleep(PROMISE_S + 3)
    assert (replica.number, replica.freshness) == (2, Freshness.STALE)


async def test_a_change_of_a_newer_release_holds_an_older_one_back_visibly(
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
    await trio.sleep(PROMISE_S + 3)
    for node in fleet.nodes.values():
        assert (node.replica.number, node.replica.highest_number) == (1, 2)
        assert node.replica.freshness is Freshness.STALE
