"""What a dispatcher counts when an instance that asked it has given it up."""

import msgspec
import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.desk import Desk
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.models import Worker, WorkerState
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import AcquireWorker, PermitEnded
from acaciapier_standins.platform.platform import configuration

ASKING, DECIDING = InstanceId("edge-1"), InstanceId("edge-2")


class SlowPeers:
    """Peers of which one decides, and seems to be lost while it lives on."""

    own = ASKING

    def __init__(self, dispatcher: Dispatcher, nursery: trio.Nursery):
        self._dispatcher = dispatcher
        self._nursery = nursery
        self.lost = False

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [ASKING] if self.lost else [DECIDING, ASKING]

    async def call(self, instance, message, timeout_ms):
        self._nursery.start_soon(self._dispatcher.acquire, ASKING, message)
        await trio.testing.wait_all_tasks_blocked()
        self.lost = True
        raise PeerUnavailable(f"{instance} went down")

    def send(self, instance, message) -> None:
        self._nursery.start_soon(self._dispatcher.permit_ended, ASKING, message)


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


def question(permit: str) -> AcquireWorker:
    return AcquireWorker(
        "book", permit, 0, 0, (), (), 0, 1.0, 200.0, 1_000.0, (), False
    )


async def test_a_place_asked_of_a_dispatcher_that_seemed_lost_is_free_again():
    """Answers dispatchers that freeze for less than it takes to notice."""
    clock = ManualClock()
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(1, msgspec.json.encode(source), "store")
    only = Worker("w1", "book", "10.0.0.1", 80, "a", 1, WorkerState.READY, 1)
    catalogue.update_workers(1, [only], "store")
    async with trio.open_nursery() as nursery:
        far = make_dispatcher(nursery, catalogue, clock, DECIDING)
        near = make_dispatcher(nursery, catalogue, clock, ASKING)
        peers = SlowPeers(far, nursery)
        desk = Desk(peers, near, catalogue, clock, lambda kind, **fields: None)
        # One place is granted by the far dispatcher, one request waits there.
        nursery.start_soon(far.acquire, DECIDING, question("held"))
        await trio.testing.wait_all_tasks_blocked()
        permit = await desk.acquire(question(""))
        assert permit.worker.id == "w1"
        await trio.testing.wait_all_tasks_blocked()
        await far.permit_ended(DECIDING, PermitEnded("book", "held", "done", 10.0))
        with trio.fail_after(2.0):
            answer = await far.acquire(DECIDING, question("next"))
        assert answer.worker == "w1"
        nursery.cancel_scope.cancel()
