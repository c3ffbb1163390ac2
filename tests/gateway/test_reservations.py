"""Slots that dispatchers reserve, under overload, cancellations and lost messages.

Guards against a service that stays dead after an overload: slots that were granted to
requests which had ended, and that no instance gave back. Clients and dispatchers are
real; links, workers and callers are simulated on a simulated clock.
"""

import random

import msgspec
import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.dispatch_client import DispatchClient
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.dispatch.outcomes import OUTCOME_CANCELLED, OUTCOME_DONE
from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.observability.metrics import Metrics
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import (
    AcquireWorker,
    HeldPermits,
    PermitEnded,
    PermitStarted,
    WorkRefused,
)
from acaciapier_standins.platform.platform import configuration

from .support import deployment
from .test_instance_state import at, worker
from .test_limit_machine import TrioClock

SERVICE = "book"
RUN_S, DEADLINE_S = 0.05, 0.6
CAPACITY_PER_S = 3 * 4 / RUN_S
LOAD_S = 6.0
SETTLED_S = 1.0
UNHELD_S = 4.0
"""Longest time for which a slot whose messages were lost stays reserved: some lists of
the held permits, of which one in 33 is lost, too."""
HANDLERS = {
    PermitStarted: Dispatcher.permit_started,
    PermitEnded: Dispatcher.permit_ended,
    HeldPermits: Dispatcher.held_permits,
}


class Links:
    """Peers of one instance; messages take some time and may be lost."""

    def __init__(self, fleet: "Fleet", number: int):
        self.own = InstanceId(f"edge-{number}")
        self._fleet = fleet

    @property
    def live_count(self) -> int:
        return len(self._fleet.clients)

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [InstanceId(f"edge-{self._fleet.leader}")]

    async def call(self, instance, message, timeout_ms):
        answered, answers = trio.Event(), []
        fleet = self._fleet

        async def answer() -> None:
            if await fleet.passes():
                granted = await fleet.dispatcher(instance).acquire(self.own, message)
                if not await fleet.passes():
                    return
                answers.append(granted)
                answered.set()
                if gone:
                    fleet.client(self.own).handle_late(instance, message, granted)

        gone = False
        fleet.nursery.start_soon(answer)
        with trio.move_on_after(timeout_ms / 1_000.0):
            try:
                await answered.wait()
                return answers[0]
            except trio.Cancelled:
                gone = True
                raise
        raise PeerUnavailable("no answer")

    def send(self, instance, message) -> None:
        self._fleet.nursery.start_soon(self._deliver, instance, message)

    async def _deliver(self, instance, message) -> None:
        if await self._fleet.passes():
            handler = HANDLERS[type(message)]
            await handler(self._fleet.dispatcher(instance), self.own, message)

    def record_stopping(self, instance) -> None:
        """Ignore the stop: the leader tells who dispatches."""


class Fleet:
    """Instances that serve callers with a deadline at three workers of four slots."""

    def __init__(self, nursery, instances: int, loss: float = 0.0, seed: int = 1):
        self.nursery = nursery
        self.leader = 0
        self.loss = loss
        self.longest_way_s = 0.005
        self.served = self.late = self.runs = 0
        self.running: dict[str, int] = {}
        self.random = random.Random(seed)
        self.logged: list[tuple[str, dict]] = []
        clock, tasks = TrioClock(), TaskSupervisor(nursery, self._fail)
        bounds = GatewayBounds(0.2, 1_000, 10_000.0, 8_000.0)
        self.dispatchers, self.clients = [], []
        for number in range(instances):
            catalogue = Catalogue(clock, decode_configuration)
            source = configuration(1, [], [{"name": SERVICE, "max_conns": 100}])
            catalogue.update_configuration(at(1), msgspec.json.encode(source), "store")
            listed = [worker(name) for name in ("w1", "w2", "w3")]
            catalogue.update_workers(at(1), listed, "store")
            own = InstanceId(f"edge-{number}")
            dispatcher = Dispatcher(
                catalogue, None, clock, self._log, tasks, bounds, own
            )
            links = Links(self, number)
            self.dispatchers.append(dispatcher)
            self.clients.append(
                DispatchClient(links, dispatcher, catalogue, clock, self._log)
            )

    def dispatcher(self, instance: str) -> Dispatcher:
        return self.dispatchers[int(instance.rpartition("-")[2])]

    def client(self, instance: str) -> DispatchClient:
        return self.clients[int(instance.rpartition("-")[2])]

    async def passes(self) -> bool:
        """Let a message take its time; return whether it arrives."""
        await trio.sleep(self.random.uniform(0.001, self.longest_way_s))
        return self.random.random() >= self.loss

    def _log(self, kind: str, **fields) -> None:
        self.logged.append((kind, fields))

    def _fail(self, error: Exception) -> None:
        raise error

    def ask(self, deadline_s: float, workspace: str = "") -> AcquireWorker:
        left_ms = (deadline_s - trio.current_time()) * 1_000.0
        return AcquireWorker(
            SERVICE, "", 0, 0, (), (), 0, 1.0, left_ms / 2, left_ms, (), False,
            whole=True, workspace=workspace,
        )  # fmt: skip

    async def serve(
        self, number: int, deadline_s: float, run_s: float, workspace: str = ""
    ) -> float:
        """Serve one request as the relay does; return its Retry-After in seconds."""
        client = self.clients[number]
        with trio.move_on_at(deadline_s):
            try:
                permit = await client.acquire(self.ask(deadline_s, workspace))
            except Refused as refused:
                return refused.retry_after_ms / 1_000.0
            outcome = OUTCOME_CANCELLED
            key = permit.worker.id
            self.running[key] = self.running.get(key, 0) + 1
            try:
                self.runs += 1
                await trio.sleep(run_s * self.random.uniform(0.9, 1.1))
                client.report_started(permit)
                outcome = OUTCOME_DONE
                self.served += 1
                return 0.0
            finally:
                self.running[key] -= 1
                client.release_permit(permit, outcome)
        self.late += 1
        return 0.0

    async def run_caller(self, number: int, run_s: float = RUN_S) -> None:
        """Send requests that may be abandoned, and wait as they are told to."""
        await trio.sleep(self.random.uniform(0.0, 0.05))
        while True:
            deadline_s = trio.current_time() + DEADLINE_S
            after_s = await self.serve(number % len(self.clients), deadline_s, run_s)
            left_s = max(0.0, deadline_s - trio.current_time())
            await trio.sleep(max(0.001, min(after_s, left_s / 3)))

    async def load(self, callers: int, run_s: float = RUN_S) -> None:
        """Let callers compete for a while."""
        with trio.move_on_after(LOAD_S):
            async with trio.open_nursery() as nursery:
                for number in range(callers):
                    nursery.start_soon(self.run_caller, number, run_s)

    def reserved(self) -> int:
        """Return how many slots all dispatchers have reserved."""
        count = 0
        for dispatcher in self.dispatchers:
            for allocator in dispatcher.allocators.values():
                allocator._reservations.release_overdue(trio.current_time())
                count += allocator.reserved + allocator.waiting
        return count


class HolderOracle:
    """Measures for how long slots were reserved for permits that nobody held."""

    def __init__(self, fleet: Fleet):
        self.longest_unheld_s = 0.0
        self._fleet = fleet
        self._unheld_since_s: dict[tuple[int, str], float] = {}

    async def run(self) -> None:
        """Check, and let another instance dispatch now and then."""
        while True:
            await trio.sleep(0.1)
            fleet, now_s = self._fleet, trio.current_time()
            if fleet.random.random() < 0.03:
                fleet.leader = (fleet.leader + 1) % len(fleet.clients)
            fleet.reserved()
            unheld = {
                (number, permit)
                for number, dispatcher in enumerate(fleet.dispatchers)
                for allocator in dispatcher.allocators.values()
                for permit, held in allocator._reservations._by_permit.items()
                if permit not in fleet.client(held.owner)._permits
            }
            since_s = self._unheld_since_s
            self._unheld_since_s = {key: since_s.get(key, now_s) for key in unheld}
            longest_s = [now_s - at_s for at_s in self._unheld_since_s.values()]
            self.longest_unheld_s = max([self.longest_unheld_s, *longest_s])


@pytest.mark.parametrize("instances", [1, 2, 9])
@pytest.mark.parametrize("callers", [40, 200])
def test_an_overload_is_served_at_the_capacity_and_leaves_nothing(callers, instances):
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, instances)
            await fleet.load(callers)
            assert fleet.served >= 0.9 * CAPACITY_PER_S * LOAD_S
            await trio.sleep(SETTLED_S)
            assert not fleet.reserved()
            start_s = trio.current_time()
            for number in range(4):
                deadline_s = trio.current_time() + DEADLINE_S
                await fleet.serve(number % instances, deadline_s, RUN_S)
            assert trio.current_time() - start_s < 4 * (RUN_S + 0.03)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("instances", [2, 9])
def test_grants_that_cross_the_end_of_their_requests_are_given_back(instances):
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, instances)
            fleet.longest_way_s = 0.15
            await fleet.load(150)
            await trio.sleep(SETTLED_S)
            assert not fleet.reserved()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("seed", range(4))
def test_every_reservation_has_a_holder_while_messages_are_lost(seed):
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 3, loss=0.03, seed=seed)
            oracle = HolderOracle(fleet)
            nursery.start_soon(oracle.run)
            await fleet.load(60, run_s=0.05 + 0.2 * seed)
            await trio.sleep(UNHELD_S)
            assert not fleet.reserved()
            assert oracle.longest_unheld_s <= UNHELD_S
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def test_a_request_that_was_withdrawn_before_it_arrived_reserves_nothing(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2)
        dispatcher, peer = fleet.dispatchers[0], InstanceId("edge-1")
        message = msgspec.structs.replace(fleet.ask(1e9), permit="p", accepted=())
        await dispatcher.permit_ended(
            peer, PermitEnded(SERVICE, "p", OUTCOME_CANCELLED, 0.0)
        )
        held = HeldPermits(SERVICE, (("p", "w1", 0, 0),))
        await dispatcher.held_permits(peer, held)
        assert isinstance(await dispatcher.acquire(peer, message), WorkRefused)
        assert not fleet.reserved()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("accepted,lives_s", [((), 1.0), (None, 30.0)])
async def test_an_unaccepted_grant_expires_soon_unless_its_instance_confirms_none(
    autojump_clock, accepted, lives_s
):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 2)
        message = msgspec.structs.replace(fleet.ask(1e9), permit="p", accepted=accepted)
        await fleet.dispatchers[0].acquire(InstanceId("edge-1"), message)
        await trio.sleep(lives_s - 0.1)
        assert fleet.reserved() == 1
        await trio.sleep(0.2)
        assert not fleet.reserved()
        nursery.cancel_scope.cancel()


async def test_operators_and_the_soak_see_what_is_reserved():
    """Guards against a soak that finds nothing reserved since nothing is told."""
    async with deployment() as world:
        exposition = world.gateways[0].metrics.exposition
        world.platform.workers["book-1"].faults.delay_s = 0.4
        world.platform.workers["book-2"].faults.delay_s = 0.4

        def reserved() -> dict[str, float]:
            lines = exposition().decode().splitlines()
            told = [line for line in lines if line.startswith("acaciapier_reserved{")]
            return {
                line.split('kind="')[1].split('"')[0]: float(line.rpartition(" ")[2])
                for line in told
            }

        caller = world.caller()
        await caller.send("POST", "/confirm/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        assert (reserved()["slots"], reserved()["permits"]) == (1, 1)
        assert (await caller.receive()).status == 200
        await world.until(lambda: not any(reserved().values()), 1.0)


def test_an_instance_exports_only_its_own_metrics():
    """Guards against an exposition that grows with the instances of the process."""
    first, second = Metrics("edge-1"), Metrics("edge-2")
    first.refused("small", "overload")
    second.refused("large", "expired")
    for metrics, own, other in ((first, "small", "large"), (second, "large", "small")):
        text = metrics.exposition().decode()
        assert f'workspace="{own}"' in text
        assert f'workspace="{other}"' not in text
        assert "process_resident_memory_bytes" in text
