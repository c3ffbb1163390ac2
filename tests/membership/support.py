"""A fleet of nodes in one process, over a network with injected faults."""

from collections import Counter
from contextlib import asynccontextmanager
from random import Random

import trio

from acaciapier.core.clock import TrioClock
from acaciapier.exceptions import PeerUnavailable
from acaciapier.membership import Membership, Seed
from acaciapier.wire import PeerAddress, PeerIdentity
from acaciapier.wire.messages.membership import (
    MemberRecord,
    MemberState,
    TargetRecord,
    TargetState,
)

LATENCY_S = 0.002


def member(name, incarnation=1, refutation=0, state=MemberState.ALIVE, dc="dc1"):
    return MemberRecord(
        name, incarnation, refutation, state, "entry", dc, "r1", "10.0.0.1", 7400
    )


def target(name, incarnation=1, state=TargetState.LIVE, pool="encoders"):
    return TargetRecord(
        name, incarnation, state, pool, "encode", "dc1", "r1", "http://t"
    )


class SimulatedNetwork:
    """Carries messages between nodes; nodes can be cut off, slow, frozen or stopped."""

    def __init__(self, seed: int = 0):
        self.networks = {}
        self.delays_s = {}
        self.running = {}
        self.traffic = Counter()
        self.random = Random(seed)
        self.loss = 0.0
        self.is_cut = lambda sender, receiver: False

    async def wait_until_running(self, name):
        await self.running[name].wait()

    async def sleep_as(self, name, seconds):
        await trio.sleep(seconds)
        await self.wait_until_running(name)

    async def call(self, sender, receiver, message):
        """Deliver a message to its handler and return the answer."""
        self.traffic[sender, receiver] += 1
        await self._delay(sender, receiver)
        network = self.networks.get(receiver)
        if network is None:
            raise PeerUnavailable(f"{receiver} refuses connections")
        await self.wait_until_running(receiver)
        answer = await network.handlers[type(message)](sender, message)
        await self._delay(receiver, sender)
        return answer

    async def _delay(self, sender, receiver):
        await self.wait_until_running(sender)
        await trio.sleep(LATENCY_S + self.delays_s.get(sender, 0.0))
        if self.is_cut(sender, receiver) or self.random.random() < self.loss:
            await trio.sleep_forever()


class FakeNetwork:
    """`PeerNetwork` of one node, on a simulated network."""

    def __init__(self, simulation, identity, nursery):
        self.identity = identity
        self.handlers = {}
        self.addresses = {}
        self._simulation = simulation
        self._nursery = nursery
        simulation.networks[identity.instance_id] = self

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def set_addresses(self, addresses):
        self.addresses = dict(addresses)

    def add_addresses(self, addresses):
        self.addresses.update(addresses)

    async def call(self, peer, message, timeout_ms):
        own = self.identity.instance_id
        if peer not in self.addresses:
            raise PeerUnavailable(f"no address of {peer}")
        try:
            with trio.fail_after(timeout_ms / 1000):
                return await self._simulation.call(own, peer, message)
        except trio.TooSlowError:
            raise PeerUnavailable(f"{peer} did not answer") from None
        finally:
            with trio.CancelScope(shield=True):
                await self._simulation.wait_until_running(own)

    def send_soon(self, peer, message):
        self._nursery.start_soon(self._send, peer, message)

    async def _send(self, peer, message):
        with trio.move_on_after(30):
            try:
                await self._simulation.call(self.identity.instance_id, peer, message)
            except PeerUnavailable:
                pass


class Fleet:
    """Running nodes, with names such as ``dc1-0``."""

    def __init__(self, nursery, seed=0):
        self.simulation = SimulatedNetwork(seed)
        self.nodes = {}
        self.scopes = {}
        self._nursery = nursery
        self._seed = seed

    async def start(
        self, name, data_centre, region, incarnation=1, seeds=(), instance_list=None
    ):
        identity = PeerIdentity(name, incarnation, data_centre, region)
        self.simulation.running[name] = trio.Event()
        self.simulation.running[name].set()
        scope = trio.CancelScope()

        async def run(task_status):
            with scope:
                async with trio.open_nursery() as nursery:
                    node = Membership(
                        FakeNetwork(self.simulation, identity, nursery),
                        instance_list,
                        TrioClock(),
                        Random(f"{self._seed}/{name}/{incarnation}"),
                        PeerAddress(name, 7400),
                        seeds=[Seed(s, PeerAddress(s, 7400)) for s in seeds],
                        sleep=lambda s: self.simulation.sleep_as(name, s),
                    )
                    self.nodes[name], self.scopes[name] = node, scope
                    await nursery.start(node.run)
                    task_status.started(node)

        return await self._nursery.start(run)

    async def start_all(self, layout, instance_list=None):
        """Start the nodes of `layout`: ``{data centre: (region, count)}``."""
        names = [f"{dc}-{i}" for dc, (_, count) in layout.items() for i in range(count)]
        for dc, (region, count) in layout.items():
            for number in range(count):
                name = f"{dc}-{number}"
                await self.start(
                    name, dc, region, seeds=names[:3], instance_list=instance_list
                )

    def kill(self, name):
        self.scopes[name].cancel()
        del self.simulation.networks[name], self.nodes[name]

    def freeze(self, name):
        self.simulation.running[name] = trio.Event()

    def unfreeze(self, name):
        self.simulation.running[name].set()

    def running_members(self, observer):
        return {m.instance for m in self.nodes[observer].members()}

    def all_agree_on(self, names):
        return all(
            self.running_members(observer) == set(names) for observer in self.nodes
        )

    def deaths(self):
        return sum(node.member_tracker.counters.deaths for node in self.nodes.values())

    def suspicions(self):
        return sum(
            node.member_tracker.counters.suspicions for node in self.nodes.values()
        )


@asynccontextmanager
async def running_fleet(layout, seed=0, instance_list=None):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, seed)
        await fleet.start_all(layout, instance_list)
        await until(lambda: fleet.all_agree_on(fleet.nodes), 30)
        yield fleet
        nursery.cancel_scope.cancel()


async def until(condition, within_s):
    """Wait until `condition` holds; return the elapsed seconds."""
    start_s = trio.current_time()
    while not condition():
        if trio.current_time() - start_s > within_s:
            raise AssertionError(f"the condition did not hold within {within_s} s")
        await trio.sleep(0.1)
    return trio.current_time() - start_s
