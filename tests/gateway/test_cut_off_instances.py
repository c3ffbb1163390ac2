"""Instances that lose their links to all workers, as a dispatcher sees them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import pytest
import trio

from acaciapier.core.clock import TrioClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.dispatch.health import FIRST_EXCLUSION_MS
from acaciapier.gateway.dispatch.outcomes import OUTCOME_DONE, OUTCOME_UNREACHABLE
from acaciapier.gateway.models import StorePosition, Worker, WorkerState
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import (
    AcquireWorker,
    PermitEnded,
    PermitStarted,
    WorkerGranted,
    WorkRefused,
)
from acaciapier_standins.platform.platform import configuration

INSTANCES = [InstanceId(f"edge-{number}") for number in range(1, 10)]
REFUSED_S, SILENT_S, ANSWER_S = 0.002, 0.4, 0.03
PERIOD_S, DEADLINE_MS = 0.15, 5_000.0
CUT_S, END_S, LAST_S = 2.0, 9.0, 14.0
MAX_SENDS = 4


@dataclass
class Outcome:
    """How a caller's request at one instance ended."""

    instance: InstanceId
    sent_s: float
    ended_s: float
    served: bool
    cause: str = ""
    retry_after_ms: float = 0.0


@dataclass
class Fleet:
    """Instances that send callers' requests as the relay does, without a network."""

    dispatcher: Dispatcher
    clock: TrioClock
    reaches: Callable[[InstanceId, str, float], bool]
    """Whether an instance reaches a worker at a time."""
    connect_s: float = REFUSED_S
    outcomes: list[Outcome] = field(default_factory=list)
    failed_sends: list[tuple[float, InstanceId, str]] = field(default_factory=list)

    def now_s(self) -> float:
        return self.clock.monotonic_s()

    async def send_requests(self, nursery, instance: InstanceId, start_s: float):
        """Send a request in every period, until `LAST_S`."""
        await trio.sleep(start_s)
        number = 0
        while self.now_s() < LAST_S:
            number += 1
            nursery.start_soon(self._request, instance, f"{instance}/{number}")
            await trio.sleep(PERIOD_S)

    async def _request(self, instance: InstanceId, name: str) -> None:
        sent_s = self.now_s()
        tried: set[str] = set()
        cause, retry_after_ms = "unreachable", 0.0
        for send in range(MAX_SENDS):
            left_ms = DEADLINE_MS - (self.now_s() - sent_s) * 1_000.0
            answer = await self.dispatcher.acquire(
                instance,
                AcquireWorker(
                    "book",
                    f"{name}/{send}",
                    0,
                    0,
                    (),
                    (),
                    0,
                    1.0,
                    200.0,
                    left_ms,
                    tuple(tried),
                    send > 0,
                ),
            )
            if isinstance(answer, WorkRefused):
                cause, retry_after_ms = answer.cause, answer.retry_after_ms
                break
            assert isinstance(answer, WorkerGranted)
            tried.add(answer.worker)
            if await self._send(instance, f"{name}/{send}", answer.worker):
                self._record(instance, sent_s, True)
                return
        self._record(instance, sent_s, False, cause, retry_after_ms)

    async def _send(self, instance: InstanceId, permit: str, worker: str) -> bool:
        granted_s = self.now_s()
        if not self.reaches(instance, worker, granted_s):
            await trio.sleep(self.connect_s)
            self.failed_sends.append((granted_s, instance, worker))
            await self._end(instance, permit, OUTCOME_UNREACHABLE, granted_s)
            return False
        await trio.sleep(ANSWER_S)
        elapsed_ms = (self.now_s() - granted_s) * 1_000.0
        started = PermitStarted("book", permit, elapsed_ms)
        await self.dispatcher.permit_started(instance, started)
        await self._end(instance, permit, OUTCOME_DONE, granted_s)
        return True

    async def _end(self, instance, permit, outcome, granted_s) -> None:
        elapsed_ms = (self.now_s() - granted_s) * 1_000.0
        ended = PermitEnded("book", permit, outcome, elapsed_ms)
        await self.dispatcher.permit_ended(instance, ended)

    def _record(self, instance, sent_s, served, cause="", retry_after_ms=0.0) -> None:
        outcome = Outcome(instance, sent_s, self.now_s(), served, cause, retry_after_ms)
        self.outcomes.append(outcome)

    def served(self, instances, from_s: float, until_s: float) -> tuple[int, int]:
        """Return how many requests of some instances were served, and how many sent."""
        found = [
            outcome.served
            for outcome in self.outcomes
            if outcome.instance in instances and from_s <= outcome.sent_s < until_s
        ]
        return sum(found), len(found)

    def failed(self, from_s: float, until_s: float) -> Counter[tuple[InstanceId, str]]:
        """Return how many sends failed, by instance and worker."""
        return Counter(
            (instance, worker)
            for granted_s, instance, worker in self.failed_sends
            if from_s <= granted_s < until_s
        )


def make_dispatcher(nursery, clock, workers: int, log=None) -> Dispatcher:
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(
        StorePosition(1, 1), msgspec.json.encode(source), "store"
    )
    registered = [
        Worker(
            f"w{number}", "book", "10.0.0.1", number, "a", 8, WorkerState.READY, number
        )
        for number in range(1, workers + 1)
    ]
    catalogue.update_workers(StorePosition(1, 1), registered, "store")
    return Dispatcher(
        catalogue,
        None,
        clock,
        log or (lambda kind, **fields: None),
        TaskSupervisor(nursery, lambda error: None),
        GatewayBounds(0.2, 58, 10_000.0, 8_000.0),
        INSTANCES[0],
    )


async def run_fleet(
    reaches,
    connect_s: float = REFUSED_S,
    workers: int = 2,
    instances=INSTANCES,
    log=None,
) -> Fleet:
    """Run instances that send requests until `LAST_S`, and return what happened."""
    clock = TrioClock()
    started_s = clock.monotonic_s()
    async with trio.open_nursery() as nursery:
        dispatcher = make_dispatcher(nursery, clock, workers, log)
        fleet = Fleet(dispatcher, clock, reaches, connect_s)
        assert started_s == 0.0
        async with trio.open_nursery() as requests:
            for number, instance in enumerate(instances):
                start_s = number * PERIOD_S / len(instances)
                requests.start_soon(fleet.send_requests, requests, instance, start_s)
        nursery.cancel_scope.cancel()
    return fleet


def cut(instances, workers=None, end_s: float = END_S):
    """Return links that some instances lose from `CUT_S` to `end_s`."""

    def reaches(instance: InstanceId, worker: str, now_s: float) -> bool:
        affected = instance in instances and (workers is None or worker in workers)
        return not (affected and CUT_S <= now_s < end_s)

    return reaches


@pytest.mark.parametrize("connect_s", [REFUSED_S, SILENT_S])
@pytest.mark.parametrize("workers", [1, 2])
@pytest.mark.parametrize("cut_off", [1, 5])
async def test_sound_instances_are_served_while_others_are_cut_off(
    autojump_clock, cut_off, workers, connect_s
):
    """Guards against failures of one instance that exclude workers for all."""
    fleet = await run_fleet(cut(INSTANCES[:cut_off]), connect_s, workers)
    served, sent = fleet.served(INSTANCES[cut_off:], CUT_S, END_S)
    assert served == sent
    sound = [
        outcome for outcome in fleet.outcomes if outcome.instance in INSTANCES[cut_off:]
    ]
    for outcome in sound:
        # At first, connections that hang take slots until they time out.
        first = CUT_S <= outcome.sent_s < CUT_S + 1.0
        latest_s = connect_s + 0.2 if first else 0.1
        assert outcome.ended_s - outcome.sent_s < latest_s


@pytest.mark.parametrize("connect_s", [REFUSED_S, SILENT_S])
async def test_requests_of_a_cut_off_instance_are_refused_at_once(
    autojump_clock, connect_s
):
    """Guards against requests that wait in vain at an instance without workers."""
    fleet = await run_fleet(cut(INSTANCES[:5]), connect_s)
    refused = [
        outcome
        for outcome in fleet.outcomes
        if outcome.instance in INSTANCES[:5] and CUT_S + 1.0 <= outcome.sent_s < END_S
    ]
    assert refused and not any(outcome.served for outcome in refused)
    waited_s = [outcome.ended_s - outcome.sent_s for outcome in refused]
    # A probe takes one failed connection per worker.
    assert max(waited_s) <= 2 * connect_s + 0.05
    assert sum(waited > 0.05 for waited in waited_s) <= len(waited_s) / 5
    assert all(250.0 <= outcome.retry_after_ms <= 6_000.0 for outcome in refused)


@pytest.mark.parametrize("connect_s", [REFUSED_S, SILENT_S])
@pytest.mark.parametrize("workers", [1, 2])
async def test_a_cut_off_instance_is_served_again_soon_after_the_end(
    autojump_clock, workers, connect_s
):
    fleet = await run_fleet(cut(INSTANCES[:5]), connect_s, workers)
    served, sent = fleet.served(INSTANCES[:5], END_S + 1.5, LAST_S)
    assert served == sent


@pytest.mark.parametrize("workers", [["w1"], ["w1", "w2"]])
async def test_a_partial_cut_excludes_no_worker_for_the_others(autojump_clock, workers):
    fleet = await run_fleet(cut(INSTANCES[:5], workers), workers=4)
    served, sent = fleet.served(INSTANCES, CUT_S, LAST_S)
    assert served == sent
    assert not any(instance in INSTANCES[5:] for _, instance, _ in fleet.failed_sends)


@pytest.mark.parametrize("connect_s", [REFUSED_S, SILENT_S])
async def test_a_worker_that_is_gone_costs_each_instance_about_one_connection(
    autojump_clock, connect_s
):
    """Guards against instances that each find out about a worker again and again."""
    fleet = await run_fleet(cut(INSTANCES, ["w1"]), connect_s, workers=3)
    served, sent = fleet.served(INSTANCES, CUT_S, LAST_S)
    assert served == sent
    in_flight = 1 + int(connect_s / PERIOD_S)
    before_probe = fleet.failed(CUT_S, CUT_S + FIRST_EXCLUSION_MS / 1_000.0)
    assert all(count <= in_flight for count in before_probe.values())
    first = fleet.failed(CUT_S, CUT_S + 1.0)
    assert first.total() <= in_flight * len(INSTANCES)
    later = fleet.failed(CUT_S + 1.0, END_S)
    assert later.total() <= len(INSTANCES)


@pytest.mark.parametrize("count", [1, 2])
async def test_a_small_fleet_avoids_a_worker_that_is_gone(autojump_clock, count):
    instances = INSTANCES[:count]
    fleet = await run_fleet(cut(instances, ["w1"]), workers=2, instances=instances)
    served, sent = fleet.served(instances, CUT_S, LAST_S)
    assert served == sent
    assert fleet.failed(CUT_S, END_S).total() <= 6 * count


@pytest.mark.parametrize("connect_s", [REFUSED_S, SILENT_S])
@pytest.mark.parametrize("workers", [1, 2])
async def test_a_service_is_used_again_after_all_its_workers_were_gone(
    autojump_clock, workers, connect_s
):
    """Guards against instances that take the return of a worker for their own fault."""
    fleet = await run_fleet(cut(INSTANCES), connect_s, workers)
    served, sent = fleet.served(INSTANCES, END_S, LAST_S)
    assert served == sent


@pytest.mark.parametrize("workers", [1, 2, 3])
async def test_a_worker_that_is_silent_for_a_second_costs_no_request(
    autojump_clock, workers
):
    """Guards against requests refused after a pause that concerned all instances."""
    end_s = CUT_S + 1.0
    fleet = await run_fleet(cut(INSTANCES, ["w1"], end_s), SILENT_S, workers)
    served, sent = fleet.served(INSTANCES, CUT_S, LAST_S)
    assert served == sent
