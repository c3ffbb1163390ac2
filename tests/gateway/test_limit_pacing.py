"""Pacing of requests to limited workers: by the dispatcher and by its clients."""

import msgspec
import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.dispatch_client import (
    UNUSED_PERMIT_TTL_MS,
    DispatchClient,
)
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.dispatch.stage_queue import StageQueue
from acaciapier.gateway.models import BatchSpec, ServiceName, ServiceRule
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.gateway.worker_limits import BEFORE_ALL_S, WorkerLimits
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import (
    AcquireWorker,
    PermitEnded,
    PermitStarted,
    WorkerGranted,
    WorkerLimitEntry,
)
from acaciapier_standins.platform.platform import configuration

from .support import deployment
from .test_instance_state import at, worker
from .test_stage_queue import make_group
from .test_worker_limits import load, most_in_window

KEY = "w1/1"
OWN, OTHER = InstanceId("edge-1"), InstanceId("edge-2")


def name_limit(limits: WorkerLimits, per_s: float, at_s: float, key: str = KEY):
    limits.record(key, per_s, at_s, BEFORE_ALL_S, "test")


def paced_sends(limits: WorkerLimits, from_s: float, to_s: float, step_s=0.025):
    """Return the times of the sends that a queue checked in each step makes."""
    times, now_s = [], from_s
    while now_s < to_s:
        while not limits.wait_ms(KEY, now_s):
            limits.record_send(KEY, now_s)
            times.append(now_s)
        now_s += step_s
    return times


@pytest.mark.parametrize("per_s", [0.3, 1.0, 1.6, 12.0, 80.0])
def test_a_limited_worker_gets_what_it_takes_and_no_more(per_s):
    limits = WorkerLimits()
    name_limit(limits, per_s, 0.0)
    times = paced_sends(limits, 0.0, 60.0)
    assert len(times) >= 0.95 * per_s * 60.0 - 1
    assert most_in_window(times, 0.0) <= 1.05 * per_s * 4.0 + 1


def test_a_worker_that_takes_nothing_is_still_asked_at_times():
    limits = WorkerLimits()
    name_limit(limits, 0.0, 0.0)
    assert 5 <= len(paced_sends(limits, 0.0, 61.0)) <= 7


def test_a_raised_limit_is_used_at_once():
    limits = WorkerLimits()
    name_limit(limits, 0.1, 0.0)
    limits.record(KEY, 10.0, 1.0, 0.5, "test")
    assert len(paced_sends(limits, 1.0, 2.0)) >= 8


def test_a_dispatcher_that_sees_half_of_the_instances_uses_half_of_a_limit():
    limits = WorkerLimits(reachable_share=lambda: 0.5)
    name_limit(limits, 4.0, 0.0)
    assert len(paced_sends(limits, 0.0, 20.0)) == pytest.approx(40, abs=2)


RULE = ServiceRule(ServiceName("book"), 100)


def make_request(permit: str, expires_s: float = 9.0, **fields) -> SlotRequest:
    return SlotRequest(permit, "edge-1", expires_s, expires_s, **fields)


def make_allocator(*per_s: float) -> tuple[SlotAllocator, list]:
    """Return an allocator and its workers, the first ones with limits."""
    limits, workers = WorkerLimits(), [worker("w1"), worker("w2")]
    for listed, limit in zip(workers, per_s, strict=False):
        name_limit(limits, limit, 0.0, listed.key)
    return SlotAllocator(RULE, limits=limits), workers


def test_requests_go_to_unlimited_workers_while_a_limit_leaves_no_room():
    allocator, workers = make_allocator(1.0)
    for number in range(4):
        allocator.add(make_request(f"p{number}"))
    granted = [given.id for _, given in allocator.assign(workers, 0.5)]
    assert granted == ["w2"] * 4
    for number in range(4, 8):
        allocator.add(make_request(f"p{number}"))
    assert [given.id for _, given in allocator.assign(workers, 1.5)] == ["w1"]


def test_the_forecast_counts_limits_in_place_of_slots():
    allocator, workers = make_allocator(1.0, 1.0)
    request = make_request("p")
    assert allocator.forecast_ms(request, workers, 0.0) == pytest.approx(1_000)
    for number in range(8):
        allocator.add(make_request(f"p{number}"))
    assert allocator.forecast_ms(request, workers, 0.0) == pytest.approx(4_500)
    unlimited, workers = make_allocator(1.0)
    assert unlimited.forecast_ms(request, workers, 0.0) == 0


def test_a_queue_that_the_limits_leave_no_time_for_is_refused_at_once():
    allocator, workers = make_allocator()
    for number in range(12):
        allocator.add(make_request(f"p{number}", 3.0))
    assert allocator.pop_hopeless(workers, 0.0) == []
    name_limit(allocator._limits, 1.0, 0.0, "w1/1")
    name_limit(allocator._limits, 1.0, 0.0, "w2/1")
    refused = allocator.pop_hopeless(workers, 0.0)
    assert 2 <= len(refused) <= 6
    assert allocator.waiting == 12 - len(refused)


def test_a_broken_stream_gets_its_turn_before_new_requests_of_its_priority():
    allocator, workers = make_allocator(2.0, 2.0)
    allocator.add(make_request("resumed", 2.0, software_version=""))
    allocator.add(make_request("urgent", 9.0, priority=-1))
    granted, now_s = [], 0.0
    while now_s < 2.0:
        allocator.add(make_request(f"n{now_s}", now_s + 1.0))
        granted += [given.permit for given, _ in allocator.assign(workers, now_s)]
        now_s += 0.1
    assert granted[:2] == ["urgent", "resumed"]


async def test_a_broken_stream_is_due_when_its_caller_would_abandon_it(monkeypatch):
    acquire, due_ms = DispatchClient.acquire, []

    async def record(self, message):
        due_ms.append(message.due_ms)
        return await acquire(self, message)

    monkeypatch.setattr(DispatchClient, "acquire", record)
    async with deployment() as world:
        for number in (1, 2):
            faults = world.platform.workers[f"model-{number}"].faults
            faults.pause_s, faults.cut_after = 0.7, 2
        await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id="a1")
        assert len(due_ms) == 2
        assert due_ms[1] > 0


SPEC = BatchSpec(10, 150.0, 5.0, 1e9, 10_000.0)


def test_calls_to_a_limited_stage_worker_are_paced_and_count_as_capacity():
    limits = WorkerLimits()
    queue, workers = StageQueue(SPEC, limits), [worker("w1")]
    unlimited = queue.capacity_per_ms(workers, 0.0)
    name_limit(limits, 1.0, 0.0)
    assert queue.capacity_per_ms(workers, 0.0) == pytest.approx(0.01)
    assert unlimited == pytest.approx(0.05)
    queue.add(make_group("a", 3))
    assert queue.next_call(workers[0], workers, 0.5) is None
    assert queue.next_call(workers[0], workers, 1.1) is not None


class OtherDispatcher:
    """Peers of which one dispatches and answers as a test says."""

    own = OWN
    live_count = 4

    def __init__(self, answer):
        self.answer = answer
        self.questions: list[AcquireWorker] = []
        self.sent = []

    def rank(self, service: str, own_usable: bool) -> list[InstanceId]:
        return [OTHER, OWN]

    async def call(self, instance, message, timeout_ms):
        self.questions.append(message)
        return self.answer(message)

    def send(self, instance, message) -> None:
        self.sent.append(message)


def make_catalogue(clock: ManualClock) -> Catalogue:
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(at(1), msgspec.json.encode(source), "store")
    catalogue.update_workers(at(1), [worker("w1")], "store")
    return catalogue


def make_dispatcher(nursery, clock: ManualClock, limits: WorkerLimits) -> Dispatcher:
    return Dispatcher(
        make_catalogue(clock),
        None,
        clock,
        lambda kind, **fields: None,
        TaskSupervisor(nursery, lambda error: None),
        GatewayBounds(0.2, 58, 10_000.0, 8_000.0),
        OWN,
        limits,
    )


def make_client(nursery, clock, limits, answer) -> tuple[DispatchClient, object]:
    peers = OtherDispatcher(answer)
    dispatcher = make_dispatcher(nursery, clock, limits)
    client = DispatchClient(
        peers, dispatcher, make_catalogue(clock), clock, lambda kind, **fields: None
    )
    return client, peers


def ask(permit: str = "", limits=(), expires_ms: float = 1_000.0) -> AcquireWorker:
    return AcquireWorker(
        "book",
        permit,
        0,
        0,
        (),
        (),
        0,
        1.0,
        200.0,
        expires_ms,
        (),
        False,
        None,
        limits,
    )


async def test_a_dispatcher_learns_a_limit_from_the_answer_to_a_granted_request():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        granted = await dispatcher.acquire(OTHER, ask("p1"))
        assert (granted.limits_considered, granted.limited) == (True, None)
        clock.advance(0.1)
        await dispatcher.permit_started(OTHER, PermitStarted("book", "p1", 50.0, 1.0))
        refused = await dispatcher.acquire(OTHER, ask("p2", expires_ms=500.0))
        assert refused.cause == "worker_limits"
        assert [(one.worker, one.per_s) for one in refused.limited] == [("w1", 1.0)]
        clock.advance(1.1)
        granted = await dispatcher.acquire(OTHER, ask("p3"))
        assert (granted.limited.per_s, granted.limited.sends) == (1.0, 1)
        clock.advance(0.1)
        free = PermitStarted("book", "p3", 50.0, None, True)
        await dispatcher.permit_started(OTHER, free)
        assert dispatcher.limits.find(KEY) is None


async def test_an_answer_to_an_earlier_grant_does_not_end_a_limit():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        await dispatcher.acquire(OTHER, ask("p1"))
        await dispatcher.acquire(OTHER, ask("p2"))
        clock.advance(0.1)
        await dispatcher.permit_ended(
            OTHER, PermitEnded("book", "p1", "full", 50.0, 0.0, 1.0)
        )
        clock.advance(0.1)
        free = PermitStarted("book", "p2", 50.0, None, True)
        await dispatcher.permit_started(OTHER, free)
        assert dispatcher.limits.find(KEY).per_s == 1.0


async def test_a_new_dispatcher_knows_the_limits_of_those_that_ask_it():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        known = (WorkerLimitEntry(KEY, 0.5, 300.0),)
        refused = await dispatcher.acquire(OTHER, ask("p1", known))
        assert refused.cause == "worker_limits"


async def test_a_grant_made_before_a_limit_was_named_is_given_back():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()

        def answer(message):
            if not message.limits:
                clock.advance(0.1)
                name_limit(limits, 2.0, clock.monotonic_s())
                return WorkerGranted("w1", 1, True)
            described = limits.describe([worker("w1")], clock.monotonic_s())
            return WorkerGranted("w1", 1, True, described[0])

        client, peers = make_client(nursery, clock, limits, answer)
        permit = await client.acquire(ask())
        assert permit.limited.per_s == 2.0
        assert [message.limits for message in peers.questions] == [
            (),
            (WorkerLimitEntry(KEY, 2.0, 0.0),),
        ]
        assert [type(message) for message in peers.sent] == [PermitEnded]


async def test_a_dispatcher_that_has_seen_a_limit_end_is_believed():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        name_limit(limits, 2.0, 0.0)
        clock.advance(5.0)
        grant = WorkerGranted("w1", 1, True)
        client, _ = make_client(nursery, clock, limits, lambda message: grant)
        assert (await client.acquire(ask())).worker.id == "w1"
        assert limits.find(KEY) is None


async def test_an_instance_takes_its_share_from_a_dispatcher_of_an_earlier_release():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        name_limit(limits, 2.0, 0.0)
        grant = WorkerGranted("w1", 1)
        client, _ = make_client(nursery, clock, limits, lambda message: grant)
        granted = 0
        for _ in range(400):
            clock.advance(0.1)
            try:
                client.release_permit(await client.acquire(ask()))
                granted += 1
            except Refused:
                pass
        assert granted == pytest.approx(40 * 2.0 / 4, abs=2)


async def test_a_grant_that_was_delayed_is_usable_for_a_second_at_most():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()

        def answer(message):
            clock.advance(3.0)
            return WorkerGranted("w1", 1, True, None, 2_500.0)

        client, _ = make_client(nursery, clock, WorkerLimits(), answer)
        permit = await client.acquire(ask())
        left_s = permit.usable_until_s - clock.monotonic_s()
        assert left_s == pytest.approx(UNUSED_PERMIT_TTL_MS / 1_000.0 - 0.5)


async def test_a_permit_that_ran_out_while_the_process_was_frozen_is_not_used(
    monkeypatch,
):
    acquire = DispatchClient.acquire
    delays = [10.0, 0.0]

    async def acquire_then_freeze(self, message):
        permit = await acquire(self, message)
        permit.usable_until_s -= delays.pop(0)
        return permit

    monkeypatch.setattr(DispatchClient, "acquire", acquire_then_freeze)
    async with deployment() as world:
        reply = await world.caller().request("POST", "/confirm/1", Attempt_Id="a1")
        assert (reply.status, delays) == (200, [])
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_limited_workers_get_close_to_their_limits_under_load():
    async with deployment(gateways=2) as world:
        workers = [world.platform.workers[f"book-{number}"] for number in (1, 2)]
        for needy in workers:
            needy.faults.limit = "5"
        answers = await load(world, "GET", "/lookup/1", 6.0, 8)
        for needy in workers:
            start_s = needy.arrivals_s[0] + 1.0
            counted = [time_s for time_s in needy.arrivals_s if time_s >= start_s]
            assert len(counted) >= 0.9 * 5 * (counted[-1] - counted[0])
            assert most_in_window(counted, start_s) <= 1.05 * 5 * 4.0 + 2
        refused = [reply for reply in answers if reply.status != 200]
        assert {reply.status for reply in refused} == {503}
        assert all(float(reply.headers["retry-after"]) >= 0.2 for reply in refused)


async def test_a_restarted_dispatcher_keeps_to_a_limit_that_it_did_not_hear_named():
    async with deployment(gateways=3) as world:
        needy = world.platform.workers["book-1"]
        needy.faults.limit = "2"
        service = "book"
        start_s = trio.current_time()
        await load(world, "GET", "/lookup/1", 2.0, 6)
        first = world.gateways[0].dispatch_client.dispatcher_of(service)
        for gateway in world.gateways:
            if gateway.settings.instance != first:
                gateway.peers.record_stopping(first)
            else:
                gateway._stopping = gateway.dispatcher.stopping = True
        await load(world, "GET", "/lookup/1", 3.0, 6)
        assert world.gateways[0].dispatch_client.dispatcher_of(service) != first
        assert most_in_window(needy.arrivals_s, start_s + 1.0) <= 2 * 4.0 + 4
