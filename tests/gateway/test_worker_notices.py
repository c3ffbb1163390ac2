"""Workers that announce their shutdown, or turn requests away for a while."""

import pytest
import trio

from acaciapier.gateway.dispatch.health import WorkerHealth
from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.models import ServiceName, ServiceRule, WorkerState
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.gateway.worker_notices import (
    MAX_RETRY_AFTER_MS,
    SHARE_PERIOD_MS,
    WorkerNotices,
)
from acaciapier.http.client import ResponseHead
from acaciapier.platform.requests import decode_response_metadata

from .support import deployment
from .test_instance_state import at, make_catalogue, worker

RETRY_AFTER_S = 2.0


def answer(status: int = 200, **headers: str):
    """Return the decoded metadata of a worker's answer."""
    values = {
        name.replace("_", "-").encode(): value.encode()
        for name, value in headers.items()
    }
    return decode_response_metadata(ResponseHead(status, [], values))


def make_notices(*workers):
    """Return notices on a catalogue with these workers, and what they log."""
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(5), workers, "store")
    events, calls = [], []
    notices = WorkerNotices(
        catalogue,
        clock,
        lambda kind, **fields: events.append((kind, fields)),
        lambda: calls.append(1),
        WorkerLimits(),
    )
    return notices, catalogue, clock, events, calls


def ready(catalogue) -> list[str]:
    return [listed.id for listed in catalogue.workers_of(ServiceName("book"))]


@pytest.mark.parametrize("value, leaving", [("1", True), ("0", False), ("", False)])
def test_only_one_value_announces_a_shutdown(value, leaving):
    assert answer(server_leaving=value).leaving is leaving
    assert answer(503, server_leaving=value, not_run="1").leaving is leaving


def test_a_leaving_worker_is_not_used_again_whatever_the_store_lists():
    notices, catalogue, _, _, calls = make_notices(worker("w1"), worker("w2"))
    notices.observe(worker("w1"), answer(server_leaving="1"))
    assert (ready(catalogue), calls) == (["w2"], [1])
    catalogue.update_workers(at(6), [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(at(7), [("w1", worker("w1"))], "store")
    catalogue.update_workers(at(9, 2), [worker("w1"), worker("w2")], "peer")
    assert ready(catalogue) == ["w2"]
    assert notices.refusal(worker("w1")) == "worker_leaving"


def test_the_next_incarnation_of_a_leaving_worker_is_used():
    notices, catalogue, *_ = make_notices(worker("w1"))
    notices.observe(worker("w1"), answer(server_leaving="1"))
    restarted = worker("w1", started_ms=2)
    catalogue.apply_worker_changes(at(6), [("w1", restarted)], "store")
    assert ready(catalogue) == ["w1"]
    assert notices.refusal(restarted) is None


def test_without_start_times_an_incarnation_is_known_by_its_address():
    unknown = worker("w1", started_ms=0)
    notices, catalogue, *_ = make_notices(unknown)
    notices.observe(unknown, answer(server_leaving="1"))
    assert ready(catalogue) == []
    moved = type(unknown)("w1", "book", "10.0.0.2", 80, "a", 4, WorkerState.READY, 0)
    catalogue.apply_worker_changes(at(6), [("w1", moved)], "store")
    assert ready(catalogue) == ["w1"]


def test_the_answer_of_another_worker_at_the_address_says_nothing():
    notices, catalogue, *_ = make_notices(worker("w1"))
    notices.observe(worker("w1"), answer(421, server_leaving="1"))
    assert ready(catalogue) == ["w1"]


def test_heartbeats_hand_on_which_workers_leave_for_a_while():
    notices, _, clock, _, _ = make_notices(worker("w1"))
    notices.observe(worker("w1"), answer(server_leaving="1"))
    assert notices.shared_leaving() == ("w1/1",)
    other, catalogue, *_ = make_notices(worker("w1"), worker("w2"))
    other.merge("edge-1", notices.shared_leaving())
    assert ready(catalogue) == ["w2"]
    assert other.shared_leaving() == ("w1/1",)
    clock.advance(SHARE_PERIOD_MS / 1_000.0 + 0.1)
    notices.merge("edge-2", other.shared_leaving())
    assert notices.shared_leaving() == ()


def test_a_worker_that_leaves_before_it_is_listed_is_never_used():
    notices, catalogue, *_ = make_notices()
    notices.merge("edge-1", ["w1/1"])
    catalogue.update_workers(at(6), [worker("w1")], "store")
    assert ready(catalogue) == []


def test_a_worker_that_turns_requests_away_is_blocked_as_long_as_it_says():
    notices, _, clock, _, _ = make_notices(worker("w1"))
    notices.observe(worker("w1"), answer(503, retry_after="2.5", not_run="1"))
    assert notices.blocked_ms(worker("w1")) == 2_500
    notices.observe(worker("w1"), answer(503, retry_after="0.5", not_run="1"))
    clock.advance(2.4)
    assert notices.refusal(worker("w1")) == "worker_turns_away"
    clock.advance(0.2)
    assert notices.refusal(worker("w1")) is None


def test_only_a_refusal_with_status_503_blocks_a_worker():
    notices, *_ = make_notices(worker("w1"))
    for status in (200, 429, 500):
        notices.observe(worker("w1"), answer(status, retry_after="9"))
    assert notices.refusal(worker("w1")) is None


HUGE = f"{MAX_RETRY_AFTER_MS / 1_000.0 + 1:.0f}"


@pytest.mark.parametrize(
    "value", ["-1", HUGE, "Fri, 04 Dec 2026 10:00:00 GMT", "soon", "", "inf", "1e3"]
)
def test_a_bad_time_changes_nothing_and_is_logged(value):
    notices, _, _, events, _ = make_notices(worker("w1"))
    notices.observe(worker("w1"), answer(503, retry_after=value, not_run="1"))
    assert notices.refusal(worker("w1")) is None
    ((kind, fields),) = events
    assert (kind, fields["worker"]) == ("retry_after_ignored", "w1")


def make_request(owner: str, permit: str = "p1") -> SlotRequest:
    return SlotRequest(permit, owner, 9.0, 9.0)


def test_slots_are_granted_elsewhere_to_an_instance_that_was_turned_away():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 100))
    workers = [worker("w1"), worker("w2")]
    allocator.turn_away("edge-1", "w1/1", 5.0)
    allocator.add(make_request("edge-1", "p1"))
    allocator.add(make_request("edge-1", "p2"))
    granted = {given.id for _, given in allocator.assign(workers, 1.0)}
    assert granted == {"w2"}
    allocator.add(make_request("edge-2", "p3"))
    ((_, given),) = allocator.assign(workers, 1.0)
    assert given.id == "w1"


def test_the_forecast_counts_only_workers_that_take_requests():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 100))
    workers = [worker("w1"), worker("w2")]
    allocator.turn_away("edge-1", "w1/1", 5.0)
    allocator.turn_away("edge-1", "w2/1", 3.0)
    assert allocator.forecast_ms(make_request("edge-1"), workers, 1.0) == 2_000
    assert allocator.forecast_ms(make_request("edge-2"), workers, 1.0) == 0
    allocator.add(make_request("edge-1", "p0"))
    both = allocator.forecast_ms(make_request("edge-2"), workers, 1.0)
    one = allocator.forecast_ms(make_request("edge-1"), workers, 4.0)
    assert one == 2 * both


def test_an_exclusion_lasts_at_least_as_long_as_the_worker_says():
    health = WorkerHealth()
    assert health.exclude("w1/1", 0.0, min_ms=3_000.0) == 3_000
    health.exclude("w1/1", 1.0)
    assert not health.usable("w1/1", 2.9)
    assert health.usable("w1/1", 3.1)
    assert health.on_probation("w1/1")


async def send_steadily(world, method: str, path: str, seconds: float, **headers):
    """Send requests one after another, each with an id of its own."""
    answers = []
    caller = world.caller()
    with trio.move_on_after(seconds):
        while True:
            number = len(answers)
            reply = await caller.request(
                method, path, b"{}", Attempt_Id=f"a{number}", **headers
            )
            answers.append(reply)
            if reply.headers.get("connection") == "close" or not reply.complete:
                await caller.aclose()
                caller = world.caller()
            await trio.sleep(0.02)
    return answers


@pytest.mark.parametrize(
    "name, method, path",
    [
        ("book-1", "GET", "/lookup/1"),
        ("book-1", "POST", "/confirm/1"),
        ("model-1", "POST", "/mail/1"),
        ("encode-1", "POST", "/staged/1"),
    ],
)
async def test_a_worker_that_announced_its_shutdown_gets_no_more_requests(
    name, method, path
):
    async with deployment(gateways=2) as world:
        leaving = world.platform.workers[name]
        leaving.faults.leaving = True
        headers = {"Chunk_Count": "1,1", "Chunk_Key": "k"}
        await send_steadily(world, method, path, 1.0, **headers)
        assert leaving.requests > 0
        seen = leaving.requests
        answers = await send_steadily(world, method, path, 0.6, **headers)
        assert leaving.requests == seen
        assert {reply.status for reply in answers} == {200}
        for gateway in world.gateways:
            assert name not in {
                listed.id
                for service in ("book", "model", "encode")
                for listed in gateway.catalogue.workers_of(ServiceName(service))
            }


async def test_an_answer_that_is_skipped_announces_a_shutdown_too():
    async with deployment() as world:
        leaving = world.platform.workers["book-1"]
        leaving.faults.leaving_stray = True
        while not leaving.requests:
            answers = await send_steadily(world, "GET", "/lookup/1", 0.1)
        assert {reply.status for reply in answers} == {200}
        ready_now = world.gateways[0].catalogue.workers_of(ServiceName("book"))
        assert [listed.id for listed in ready_now] == ["book-2"]


@pytest.mark.parametrize(
    "name, method, path",
    [
        ("book-1", "GET", "/lookup/1"),
        ("model-1", "POST", "/mail/1"),
        ("encode-1", "POST", "/staged/1"),
    ],
)
async def test_a_worker_that_turns_requests_away_gets_at_most_two_meanwhile(
    name, method, path
):
    async with deployment() as world:
        full = world.platform.workers[name]
        full.faults.turn_away = str(RETRY_AFTER_S)
        headers = {"Chunk_Count": "1,1", "Chunk_Key": "k"}
        with trio.fail_after(3.0):
            while not full.requests:
                await send_steadily(world, method, path, 0.1, **headers)
        await trio.sleep(0.5)
        seen = full.requests
        answers = await send_steadily(world, method, path, 1.2, **headers)
        assert full.requests <= seen + 2
        assert {reply.status for reply in answers} == {200}
        full.faults.turn_away = None
        await trio.sleep(RETRY_AFTER_S - 1.5)
        used = full.requests
        with trio.fail_after(3.0):
            while full.requests == used:
                await send_steadily(world, method, path, 0.1, **headers)


async def test_a_request_that_every_worker_turns_away_is_refused_at_once():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.turn_away = "30"
        replies = []
        for number in range(3):
            start_s = trio.current_time()
            caller = world.caller()
            reply = await caller.request("GET", "/lookup/1", Attempt_Id=f"a{number}")
            replies.append((reply.status, trio.current_time() - start_s < 0.3))
        assert replies == [(503, True)] * 3
        assert float(reply.headers["retry-after"]) > 0.2
