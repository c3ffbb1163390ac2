"""What is decoded and learned of brittle workers, without a network."""

import msgspec
import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.brittle_workers import BrittleWorkers
from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.http.client import ResponseHead
from acaciapier.platform.requests import decode_response_metadata
from acaciapier.wire.messages.gateway import (
    BrittleWorkerEntry,
    PermitEnded,
    PermitStarted,
    WorkerGranted,
)

from .test_instance_state import worker
from .test_limit_pacing import OTHER, ask, make_client, make_dispatcher
from .test_worker_notices import answer

KEY = "w1/1"
SLOTS = 8


@pytest.mark.parametrize("value", ["0", "1", "12"])
def test_brittleness_is_a_count(value):
    decoded = answer(server_brittle=value)
    assert (decoded.brittle_rejections, decoded.malformed_brittle) == (int(value), ())


@pytest.mark.parametrize("value", ["", "-1", "1.5", "inf", "1_0", "two", "9" * 400])
def test_malformed_brittleness_changes_nothing_and_is_logged(value):
    events = []
    brittle = BrittleWorkers(lambda kind, **fields: events.append((kind, fields)))
    brittle.observe(worker("w1"), answer(server_brittle="2"), 1.0)
    brittle.observe(worker("w1"), answer(server_brittle=value), 3.0, 2.0)
    assert brittle.find(KEY).rejections == 2
    assert events[1:] == [("worker_brittle_ignored", {"worker": "w1", "value": value})]


def test_the_lowest_of_repeated_counts_applies():
    headers = [(b"Server-Brittle", b"3"), (b"server-brittle", b"1")]
    values = {name.lower(): value for name, value in headers}
    decoded = decode_response_metadata(ResponseHead(200, headers, values))
    assert decoded.brittle_rejections == 1


def test_only_an_answer_to_a_later_request_raises_or_ends_brittleness():
    brittle = BrittleWorkers()
    brittle.observe(worker("w1"), answer(server_brittle="2"), 1.0, 0.5)
    brittle.observe(worker("w1"), answer(server_brittle="4"), 2.0, 0.9)
    brittle.observe(worker("w1"), answer(), 3.0, 1.9)
    assert brittle.rejections(worker("w1")) == 2
    brittle.observe(worker("w1"), answer(), 4.0, 3.5)
    assert brittle.rejections(worker("w1")) is None


def test_a_worker_that_starts_into_a_brittle_service_counts_as_brittle():
    brittle = BrittleWorkers()
    brittle.observe(worker("w1"), answer(server_brittle="2"), 1.0, 0.5)
    assert brittle.rejections(worker("w2")) == 2
    assert brittle.room(worker("w2"), SLOTS) == 1
    brittle.observe(worker("w2"), answer(), 2.0, 1.5)
    assert brittle.rejections(worker("w2")) is None


def fill(
    brittle: BrittleWorkers, now_s: float, name: str = "w1", slots: int = SLOTS
) -> list:
    """Grant requests at a worker as long as it may get some."""
    sent = []
    while len(sent) < slots and brittle.allows(worker(name), slots, now_s):
        sent.append(brittle.record_send(worker(name), slots, now_s))
    return sent


def prove(brittle: BrittleWorkers, count: int, slots: int = SLOTS) -> None:
    """Let a sound worker take some requests at once, and then become brittle."""
    sent = [brittle.record_send(worker("w1"), slots, 0.0) for _ in range(count)]
    for one in sent:
        brittle.record_release(KEY, one)
        brittle.record_taken("book", KEY, slots, one, 0.0)


@pytest.mark.parametrize("rejections, granted", [(0, 5), (1, 6), (2, 7)])
def test_a_brittle_worker_gets_what_it_has_taken_and_at_most_one_more(
    rejections, granted
):
    brittle = BrittleWorkers()
    prove(brittle, 6)
    brittle.record("book", KEY, rejections, 1.0, 0.5, "test")
    assert len(fill(brittle, 2.0)) == granted


def test_nothing_is_sent_in_excess_after_a_rejection():
    brittle = BrittleWorkers()
    prove(brittle, 6)
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    sent = fill(brittle, 2.0)
    brittle.record_release(KEY, sent[0])
    brittle.record_rejected("book", KEY, SLOTS, sent[0], 2.0, 2.1)
    assert fill(brittle, 2.2) == []
    assert brittle.room(worker("w1"), SLOTS) == 3


def grow(brittle: BrittleWorkers, room: int) -> float:
    """Let a brittle worker prove a room; return the time."""
    now_s = 2.0
    while brittle.room(worker("w1"), SLOTS) < room:
        for sent in fill(brittle, now_s):
            brittle.record_release(KEY, sent)
            brittle.record_taken("book", KEY, SLOTS, sent, now_s)
        now_s += 0.1
    return now_s


def test_a_rejection_caused_by_a_request_in_excess_does_not_lower_the_room():
    brittle = BrittleWorkers()
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    now_s = grow(brittle, 3)
    sent = fill(brittle, now_s)
    assert [one.probe for one in sent] == [False, False, False, True]
    brittle.record_release(KEY, sent[2])
    brittle.record_rejected("book", KEY, SLOTS, sent[2], now_s, now_s + 0.01)
    assert brittle.room(worker("w1"), SLOTS) == 3
    brittle.record_release(KEY, sent[3])
    brittle.record_rejected("book", KEY, SLOTS, sent[1], now_s, now_s + 0.02)
    assert brittle.room(worker("w1"), SLOTS) == 3


def test_a_request_in_excess_proves_nothing_if_another_was_rejected_for_it():
    brittle = BrittleWorkers()
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    now_s = grow(brittle, 3)
    for _ in range(4):
        sent = fill(brittle, now_s)
        brittle.record_release(KEY, sent[0])
        brittle.record_rejected("book", KEY, SLOTS, sent[0], now_s, now_s + 0.01)
        for one in sent[1:]:
            brittle.record_release(KEY, one)
            brittle.record_taken("book", KEY, SLOTS, one, now_s)
        now_s += 20.0
    assert brittle.room(worker("w1"), SLOTS) == 3


def test_a_rejected_request_is_not_used_to_find_more_room():
    brittle = BrittleWorkers()
    prove(brittle, 2)
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    brittle.record_send(worker("w1"), SLOTS, 2.0)
    brittle.record_send(worker("w1"), SLOTS, 2.0)
    assert brittle.allows(worker("w1"), SLOTS, 2.0)
    assert not brittle.allows(worker("w1"), SLOTS, 2.0, may_probe=False)


@pytest.mark.parametrize("rejections", [1, 2, 3])
def test_a_worker_that_survives_rejections_gets_more_again_after_one(rejections):
    brittle = BrittleWorkers()
    prove(brittle, 6)
    brittle.record("book", KEY, rejections, 1.0, 0.5, "test")
    sent = brittle.record_send(worker("w1"), SLOTS, 1.5)
    brittle.record_release(KEY, sent)
    brittle.record_rejected("book", KEY, SLOTS, sent, 1.5, 1.6)
    assert brittle.room(worker("w1"), SLOTS) == 1
    for step in range(100):
        for one in fill(brittle, 3.0 + step / 10):
            brittle.record_release(KEY, one)
            brittle.record_taken("book", KEY, SLOTS, one, 3.0 + step / 10)
    assert brittle.room(worker("w1"), SLOTS) == SLOTS


def test_a_worker_that_took_more_before_another_rejected_proves_its_room_anew():
    brittle = BrittleWorkers()
    prove(brittle, 8)
    rejected = brittle.record_send(worker("w2"), SLOTS, 0.5)
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    brittle.record_release("w2/1", rejected)
    brittle.record_rejected("book", "w2/1", SLOTS, rejected, 0.5, 1.1)
    assert brittle.room(worker("w1"), SLOTS) == 1
    sent = fill(brittle, 2.0)
    brittle.record_release(KEY, sent[1])
    brittle.record_taken("book", KEY, SLOTS, sent[1], 2.0)
    assert brittle.room(worker("w1"), SLOTS) == 1


@pytest.mark.parametrize("falls", [False, True])
def test_workers_whose_room_shrinks_at_the_same_time_lower_it_once(falls):
    brittle = BrittleWorkers()
    prove(brittle, 6)
    sent = [brittle.record_send(worker("w2"), SLOTS, 0.5) for _ in range(3)]
    brittle.record_taken("book", "w2/1", SLOTS, sent[-1], 0.5)
    brittle.record("book", KEY, 2, 1.0, 0.5, "test")
    rejected = [brittle.record_send(worker("w1"), SLOTS, 1.5) for _ in range(5)][-1]
    brittle.record_rejected("book", KEY, SLOTS, rejected, 1.5, 1.6)
    assert brittle.room(worker("w1"), SLOTS) == 2
    if falls:
        brittle.record_broken("book", "w2/1", SLOTS, sent[-1], 0.5, 1.7)
    else:
        brittle.record_rejected("book", "w2/1", SLOTS, sent[-1], 0.5, 1.7)
    assert brittle.room(worker("w1"), SLOTS) == 2


@pytest.mark.parametrize("held", [1, 3, 15])
@pytest.mark.parametrize("slots, given, then", [(8, 2, 1), (16, 3, 1), (100, 9, 3)])
def test_after_a_fall_at_the_first_rejection_workers_get_far_less_at_once(
    slots, given, then, held
):
    brittle = BrittleWorkers()
    prove(brittle, slots, slots)
    for _ in range(min(held, slots)):
        brittle.record_send(worker("w1"), slots, 0.5)
    brittle.record("book", KEY, 0, 1.0, 0.5, "test")
    brittle.record_broken("book", KEY, slots, None, 1.5, 2.0)
    assert most_at_once(brittle, "w2", slots, 3.0) == given
    brittle.record_broken("book", "w2/1", slots, None, 50.0, 60.0)
    assert most_at_once(brittle, "w3", slots, 70.0) == then


def most_at_once(brittle: BrittleWorkers, name: str, slots: int, from_s: float) -> int:
    """Return how many requests a worker gets at once if it takes all."""
    most, key = 0, worker(name).key
    for step in range(40):
        sent = [brittle.record_send(worker(name), slots, from_s + step)]
        sent += fill(brittle, from_s + step, name, slots)
        for one in sent:
            brittle.record_release(key, one)
            brittle.record_taken("book", key, slots, one, from_s + step)
        most = max(most, len(sent))
    return most


def test_a_rejection_soon_after_one_of_a_request_in_excess_costs_one_of_the_room():
    brittle = BrittleWorkers()
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    now_s = grow(brittle, 4)
    sent = fill(brittle, now_s)
    assert sent[-1].probe
    brittle.record_release(KEY, sent[-1])
    brittle.record_rejected("book", KEY, SLOTS, sent[-1], now_s, now_s + 0.01)
    brittle.record_release(KEY, sent[0])
    sent = fill(brittle, now_s + 0.02)
    brittle.record_release(KEY, sent[-1])
    rejected_s = now_s + 0.03
    brittle.record_rejected("book", KEY, SLOTS, sent[-1], now_s + 0.02, rejected_s)
    assert brittle.room(worker("w1"), SLOTS) == 3


@pytest.mark.parametrize("rejections", [1, 3])
def test_some_requests_taken_in_place_of_just_ended_ones_prove_no_room(rejections):
    brittle = BrittleWorkers()
    brittle.record("book", KEY, rejections, 1.0, 0.5, "test")
    now_s = grow(brittle, 3)
    for number in range(40):
        sent = fill(brittle, now_s)
        for one in sent:
            brittle.record_release(KEY, one)
        if number % 4 < 3:
            brittle.record_taken("book", KEY, SLOTS, sent[-1], now_s)
        else:
            brittle.record_rejected("book", KEY, SLOTS, sent[-1], now_s, now_s)
        now_s += 20.0
    assert brittle.room(worker("w1"), SLOTS) == 3


def test_room_that_a_worker_proved_while_it_was_brittle_before_may_shrink_again():
    brittle = BrittleWorkers()
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    now_s = grow(brittle, 6)
    brittle.record_none("book", KEY, now_s, "test")
    prove(brittle, 7)
    brittle.record("book", KEY, 3, now_s + 9.0, now_s + 9.0, "test")
    sent = fill(brittle, now_s + 10.0)
    brittle.record_release(KEY, sent[6])
    rejected_s = now_s + 10.1
    brittle.record_rejected("book", KEY, SLOTS, sent[6], now_s + 10.0, rejected_s)
    assert brittle.room(worker("w1"), SLOTS) == 3


def test_workers_of_which_one_had_to_halve_its_room_halve_it_soon_after():
    brittle = BrittleWorkers()
    prove(brittle, 8)
    sent = [brittle.record_send(worker("w2"), SLOTS, 0.5) for _ in range(8)]
    brittle.record_taken("book", "w2/1", SLOTS, sent[-1], 0.5)
    brittle.record("book", KEY, 3, 1.0, 0.5, "test")
    rejected = [brittle.record_send(worker("w1"), SLOTS, 1.5) for _ in range(8)][-1]
    brittle.record_rejected("book", KEY, SLOTS, rejected, 1.5, 1.6)
    brittle.record_rejected("book", "w2/1", SLOTS, sent[-1], 0.5, 1.7)
    assert brittle.room(worker("w2"), SLOTS) == 4
    for one in sent:
        brittle.record_release("w2/1", one)
    sent = [brittle.record_send(worker("w2"), SLOTS, 1.8) for _ in range(4)]
    brittle.record_rejected("book", "w2/1", SLOTS, sent[-1], 1.8, 1.9)
    assert brittle.room(worker("w2"), SLOTS) == 2


async def test_a_dispatcher_learns_brittleness_from_the_answer_to_a_granted_request():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        granted = await dispatcher.acquire(OTHER, ask("p1"))
        assert (granted.brittle_considered, granted.brittle_rejections) == (True, None)
        clock.advance(0.1)
        started = PermitStarted("book", "p1", 50.0, brittle_rejections=1)
        await dispatcher.permit_started(OTHER, started)
        clock.advance(0.1)
        granted = await dispatcher.acquire(OTHER, ask("p2"))
        assert granted.brittle_rejections == 1
        clock.advance(0.1)
        free = PermitStarted("book", "p2", 50.0, not_brittle=True)
        await dispatcher.permit_started(OTHER, free)
        assert dispatcher.limits.brittle.find(KEY) is None


@pytest.mark.parametrize("earlier, room", [("cancelled", 1), ("unreachable", 4)])
async def test_failures_of_an_instance_that_may_be_partitioned_do_not_lower_the_room(
    earlier, room
):
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        dispatcher = make_dispatcher(nursery, clock, limits)
        prove(limits.brittle, 4)
        clock.advance(1.0)
        for permit in ("p1", "p2", "p3"):
            await dispatcher.acquire(OTHER, ask(permit))
        for permit in ("p1", "p2"):
            ended = PermitEnded("book", permit, earlier, 0.0)
            await dispatcher.permit_ended(OTHER, ended)
        limits.brittle.record("book", KEY, 2, clock.monotonic_s(), 0.0, "test")
        ended = PermitEnded("book", "p3", "unreachable", 0.0)
        await dispatcher.permit_ended(OTHER, ended)
        assert limits.brittle.room(worker("w1"), SLOTS) == room


async def test_a_request_that_a_worker_took_proves_more_room_only_once():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        dispatcher = make_dispatcher(nursery, clock, limits)
        prove(limits.brittle, 1)
        limits.brittle.record("book", KEY, 2, clock.monotonic_s(), 0.0, "test")
        clock.advance(1.0)
        for number, room in ((1, 1), (2, 1), (3, 1), (4, 2)):
            for permit in ("held", f"p{number}"):
                await dispatcher.acquire(OTHER, ask(permit))
            started = PermitStarted("book", f"p{number}", 50.0, brittle_rejections=2)
            await dispatcher.permit_started(OTHER, started)
            for permit in ("held", f"p{number}"):
                ended = PermitEnded("book", permit, "done", 60.0)
                await dispatcher.permit_ended(OTHER, ended)
            assert limits.brittle.room(worker("w1"), SLOTS) == room


async def test_a_failed_connection_for_the_only_request_does_not_lower_the_room():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        dispatcher = make_dispatcher(nursery, clock, limits)
        prove(limits.brittle, 4)
        clock.advance(1.0)
        limits.brittle.record("book", KEY, 2, clock.monotonic_s(), 0.0, "test")
        await dispatcher.acquire(OTHER, ask("p1"))
        ended = PermitEnded("book", "p1", "unreachable", 0.0)
        await dispatcher.permit_ended(OTHER, ended)
        assert limits.brittle.room(worker("w1"), SLOTS) == 4


def test_a_worker_that_has_not_taken_a_request_gets_one_and_does_not_lower_the_room():
    brittle = BrittleWorkers()
    prove(brittle, 4)
    brittle.record("book", KEY, 2, 1.0, 0.5, "test")
    sent = [brittle.record_send(worker("w2"), SLOTS, 1.5)]
    assert fill(brittle, 1.5, "w2") == []
    sent.append(brittle.record_send(worker("w2"), SLOTS, 1.5))
    brittle.record_broken("book", "w2/1", SLOTS, sent[1], 1.5, 1.6)
    assert brittle.room(worker("w1"), SLOTS) == 4


async def test_a_new_dispatcher_knows_the_brittle_workers_of_those_that_ask_it():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        known = (BrittleWorkerEntry(KEY, 0, 300.0),)
        message = msgspec.structs.replace(ask("p1"), brittle=known)
        granted = await dispatcher.acquire(OTHER, message)
        assert granted.brittle_rejections == 0
        with trio.move_on_after(0.1) as waited:
            await dispatcher.acquire(OTHER, ask("p2"))
        assert waited.cancelled_caught


async def test_a_grant_made_before_brittleness_was_known_is_given_back():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()

        def grant(message):
            if message.brittle:
                return WorkerGranted("w1", 1, True, None, 0.0, True, 2)
            clock.advance(0.1)
            limits.brittle.record("book", KEY, 2, clock.monotonic_s(), 0.0, "test")
            return WorkerGranted("w1", 1, True, None, 0.0, True)

        client, peers = make_client(nursery, clock, limits, grant)
        await client.acquire(ask())
        assert [message.brittle for message in peers.questions] == [
            (),
            (BrittleWorkerEntry(KEY, 2, 0.0),),
        ]
        assert [type(message) for message in peers.sent] == [PermitEnded]


async def test_one_request_at_a_time_is_sent_on_grants_of_an_earlier_release():
    async with trio.open_nursery() as nursery:
        clock, limits = ManualClock(), WorkerLimits()
        limits.brittle.record("book", KEY, 2, 0.0, 0.0, "test")
        grant = WorkerGranted("w1", 1, True)
        client, _ = make_client(nursery, clock, limits, lambda message: grant)
        permit = await client.acquire(ask())
        with pytest.raises(Refused):
            await client.acquire(ask())
        client.release_permit(permit)
        assert (await client.acquire(ask())).worker.id == "w1"
