"""Slots that a dispatcher granted or queued for an instance that gave up on it."""

from contextlib import asynccontextmanager

import msgspec
import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.dispatch_client import DispatchClient
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.models import StorePosition, Worker, WorkerState
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import AcquireWorker, HeldPermits, PermitEnded
from acaciapier_standins.platform.platform import configuration

CALLER, DISPATCHER = InstanceId("edge-1"), InstanceId("edge-2")
NEXT_DISPATCHER = InstanceId("edge-3")


class FreezingPeers:
    """Peers of which one dispatches and seems to be down while it is still alive."""

    own = CALLER

    def __init__(self, dispatcher: Dispatcher, nursery: trio.Nursery):
        self._dispatcher = dispatcher
        self._nursery = nursery
        self.seems_down = False

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [CALLER] if self.seems_down else [DISPATCHER, CALLER]

    async def call(self, instance, message, timeout_ms):
        self._nursery.start_soon(self._dispatcher.acquire, CALLER, message)
        await trio.testing.wait_all_tasks_blocked()
        self.seems_down = True
        raise PeerUnavailable(f"{instance} went down")

    def send(self, instance, message) -> None:
        self._nursery.start_soon(self._dispatcher.permit_ended, CALLER, message)


def make_catalogue(clock: ManualClock) -> Catalogue:
    """Return a catalogue with one worker that has one slot."""
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(
        StorePosition(1, 1), msgspec.json.encode(source), "store"
    )
    worker = Worker("w1", "book", "10.0.0.1", 80, "a", 1, WorkerState.READY, 1)
    catalogue.update_workers(StorePosition(1, 1), [worker], "store")
    return catalogue


def make_dispatcher(nursery, catalogue, clock, own) -> Dispatcher:
    bounds = GatewayBounds(0.2, 58, 10_000.0, 8_000.0)
    return Dispatcher(
        catalogue,
        None,
        clock,
        lambda kind, **fields: None,
        TaskSupervisor(nursery, lambda error: None),
        bounds,
        own,
    )


def acquire_message(permit: str) -> AcquireWorker:
    return AcquireWorker(
        "book", permit, 0, 0, (), (), 0, 1.0, 200.0, 1_000.0, (), False
    )


async def test_a_slot_requested_from_an_unreachable_dispatcher_is_released():
    """Guards against leaked slots if a dispatcher freezes too briefly to notice."""
    clock = ManualClock()
    catalogue = make_catalogue(clock)
    async with trio.open_nursery() as nursery:
        remote = make_dispatcher(nursery, catalogue, clock, DISPATCHER)
        local = make_dispatcher(nursery, catalogue, clock, CALLER)
        peers = FreezingPeers(remote, nursery)
        dispatch_client = DispatchClient(
            peers, local, catalogue, clock, lambda kind, **fields: None
        )
        # The remote dispatcher grants one slot; a second request waits there.
        nursery.start_soon(remote.acquire, DISPATCHER, acquire_message("held"))
        await trio.testing.wait_all_tasks_blocked()
        permit = await dispatch_client.acquire(acquire_message(""))
        assert permit.worker.id == "w1"
        await trio.testing.wait_all_tasks_blocked()
        await remote.permit_ended(DISPATCHER, PermitEnded("book", "held", "done", 10.0))
        with trio.fail_after(2.0):
            answer = await remote.acquire(DISPATCHER, acquire_message("next"))
        assert answer.worker == "w1"
        nursery.cancel_scope.cancel()


class ChangingPeers:
    """Peers of which one or the other dispatches."""

    own = CALLER

    def __init__(self, dispatchers: dict[InstanceId, Dispatcher]):
        self.dispatchers = dispatchers
        self.first = DISPATCHER

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [self.first]

    async def call(self, instance, message, timeout_ms):
        # Messages to an instance keep their order.
        await trio.testing.wait_all_tasks_blocked()
        return await self.dispatchers[instance].acquire(CALLER, message)

    def send(self, instance, message) -> None:
        dispatcher = self.dispatchers[instance]
        handlers = {
            PermitEnded: dispatcher.permit_ended,
            HeldPermits: dispatcher.held_permits,
        }
        trio.lowlevel.spawn_system_task(handlers[type(message)], CALLER, message)


@asynccontextmanager
async def two_dispatchers(slots: int):
    """Run a client of two dispatchers of a service with one worker."""
    clock = ManualClock()
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(
        StorePosition(1, 1), msgspec.json.encode(source), "store"
    )
    worker = Worker("w1", "book", "10.0.0.1", 80, "a", slots, WorkerState.READY, 1)
    catalogue.update_workers(StorePosition(1, 1), [worker], "store")
    async with trio.open_nursery() as nursery:
        dispatchers = {
            instance: make_dispatcher(nursery, catalogue, clock, instance)
            for instance in (DISPATCHER, NEXT_DISPATCHER)
        }
        peers = ChangingPeers(dispatchers)
        own = make_dispatcher(nursery, catalogue, clock, CALLER)
        client = DispatchClient(
            peers, own, catalogue, clock, lambda kind, **fields: None
        )
        yield client, peers
        nursery.cancel_scope.cancel()


def reserved(peers: ChangingPeers) -> list[int]:
    """Return the slots that each dispatcher counts as used."""
    return [
        dispatcher.allocators["book"].reserved
        for dispatcher in peers.dispatchers.values()
    ]


async def test_a_slot_that_two_dispatchers_count_is_released_at_both():
    async with two_dispatchers(slots=4) as (client, peers):
        held = [await client.acquire(acquire_message("")) for _ in range(2)]
        peers.first = NEXT_DISPATCHER
        held.append(await client.acquire(acquire_message("")))
        await trio.testing.wait_all_tasks_blocked()
        client.release_permit(held.pop(0))
        peers.first = DISPATCHER
        held.append(await client.acquire(acquire_message("")))
        await trio.testing.wait_all_tasks_blocked()
        assert reserved(peers)[0] == 3
        for permit in held:
            client.release_permit(permit)
        await trio.testing.wait_all_tasks_blocked()
        assert reserved(peers) == [0, 0]


async def test_a_slot_granted_by_a_dispatcher_replaced_meanwhile_is_released_there():
    async with (
        two_dispatchers(slots=1) as (client, peers),
        trio.open_nursery() as tasks,
    ):
        permits = []

        async def acquire() -> None:
            permits.append(await client.acquire(acquire_message("")))

        await acquire()
        tasks.start_soon(acquire)
        await trio.testing.wait_all_tasks_blocked()
        peers.first = NEXT_DISPATCHER
        tasks.start_soon(acquire)
        await trio.testing.wait_all_tasks_blocked()
        assert reserved(peers) == [1, 1]
        while permits:
            client.release_permit(permits.pop())
            await trio.testing.wait_all_tasks_blocked()
        assert reserved(peers) == [0, 0]


class StartingPeers(FreezingPeers):
    """Peers of which most are listed and have not started."""

    def __init__(self, dispatcher: Dispatcher, nursery: trio.Nursery, starting: int):
        super().__init__(dispatcher, nursery)
        self._starting = [InstanceId(f"edge-{n}") for n in range(10, 10 + starting)]

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [*self._starting, *super().rank(service, own_usable)]

    async def call(self, instance, message, timeout_ms):
        if instance in self._starting:
            self._starting.remove(instance)
            raise PeerUnavailable(f"{instance} refused the connection")
        return await self._dispatcher.acquire(CALLER, message)

    def send(self, instance, message) -> None:
        pass


async def test_a_request_finds_the_instance_that_has_started_among_many_listed_ones():
    """Requests were refused after five instances that had not started."""
    clock = ManualClock()
    catalogue = make_catalogue(clock)
    async with trio.open_nursery() as nursery:
        remote = make_dispatcher(nursery, catalogue, clock, DISPATCHER)
        local = make_dispatcher(nursery, catalogue, clock, CALLER)
        peers = StartingPeers(remote, nursery, starting=15)
        dispatch_client = DispatchClient(
            peers, local, catalogue, clock, lambda kind, **fields: None
        )
        with trio.fail_after(2.0):
            permit = await dispatch_client.acquire(acquire_message(""))
        assert permit.worker.id == "w1"
        nursery.cancel_scope.cancel()
