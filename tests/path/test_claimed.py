"""Tests of requests that may not be repeated, over two instances."""

import random

import pytest
import trio
from path_helpers import open_world

from acaciapier import NotRun, OutcomeUnknown, Session
from acaciapier.core.clock import SystemClock
from acaciapier.request_ids import make_request_id

ONCE = {"repeatable": False}


def new_id():
    return make_request_id(SystemClock(), random.Random(7))


def bookings(world):
    return world.book("dispatch-1")["entries"]


async def test_copies_at_two_instances_run_once_and_both_get_the_answer():
    answers = []
    request_id = new_id()

    async def send(session):
        answers.append(await session.run("book", {"a": 1}, request_id=request_id))

    async with open_world(2) as world:
        first, second = world.session(entry=0), world.session(entry=1)
        async with first, second, trio.open_nursery() as nursery:
            nursery.start_soon(send, first)
            nursery.start_soon(send, second)
        assert len(bookings(world)) == 1
    assert answers[0].value == answers[1].value


async def test_resend_after_the_end_gets_the_answer_from_the_claimant():
    async with open_world(2) as world:
        request_id = new_id()
        async with world.session(entry=0) as first, world.session(entry=1) as second:
            answer = await first.run("book", {"a": 1}, request_id=request_id)
            again = await second.run("book", {"a": 1}, request_id=request_id)
        assert len(bookings(world)) == 1
    assert answer.value == again.value


async def test_other_content_under_a_claimed_id_is_refused():
    async with open_world(2) as world:
        request_id = new_id()
        async with world.session(entry=0) as first, world.session(entry=1) as second:
            await first.run("book", {"a": 1}, request_id=request_id)
            with pytest.raises(NotRun) as caught:
                await second.run("book", {"a": 2}, request_id=request_id)
    assert caught.value.final.cause.value == "id_reused"


async def test_id_without_a_time_is_refused():
    async with open_world() as world, world.session() as session:
        with pytest.raises(NotRun) as caught:
            await session.run("quote", {}, request_id="r-1", **ONCE)
    assert caught.value.final.cause.value == "bad_request"


async def test_store_outage_refuses_claimed_requests_at_once_and_no_others():
    async with open_world() as world, world.session() as session:
        world.standins["store"].standin.faults.change({"outage": "error"})
        with pytest.raises(NotRun) as caught:
            await session.run("book", {"a": 1})
        answer = await session.run("quote", {"text": "a"})
        assert bookings(world) == []
    assert caught.value.final.cause.value == "store_unavailable"
    assert caught.value.final.retry_after_ms is not None
    assert answer.count == 40


async def test_recovery_of_a_request_that_never_arrived_is_final():
    async with open_world(2) as world:
        request_id = new_id()
        async with world.session(entry=0) as first, world.session(entry=1) as second:
            follower = first.follow("book", {"a": 1}, request_id=request_id)
            follower._may_have_arrived = True
            follower._body["repeatable"] = False
            parts = [part async for part in follower.parts()]
            with pytest.raises(OutcomeUnknown):
                await second.run("book", {"a": 1}, request_id=request_id)
        ran = {entry.request_id for entry in bookings(world)}
    assert parts
    assert follower.superseded == [request_id]
    assert ran == {follower.request_id}


async def test_strict_request_is_not_sent_again_after_a_failure():
    async with open_world(1) as world, world.session() as session:
        world.standins["generate-1"].standin.faults.change({"fail": True})
        world.standins["generate-2"].standin.faults.change({"fail": True})
        with pytest.raises(OutcomeUnknown):
            await session.run("quote", {"text": "a"}, **ONCE)
        started = [
            entry
            for name in ("generate-1", "generate-2")
            for entry in world.book(name)["entries"]
        ]
    assert len(started) <= 1


def test_session_needs_a_url():
    with pytest.raises(ValueError, match="at least one URL"):
        Session([], "token")
