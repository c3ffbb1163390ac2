"""Tests of requests that may not be repeated, sent to one or two instances."""

import random

import pytest
import trio
from path_helpers import open_deployment

from acaciapier import NotRun, OutcomeUnknown, Session
from acaciapier.core.clock import SystemClock
from acaciapier.request_ids import make_request_id

NOT_REPEATABLE = {"repeatable": False}


def new_id():
    return make_request_id(SystemClock(), random.Random(7))


def booking_calls(deployment):
    return deployment.standin_report("dispatch-1")["entries"]


async def test_request_sent_to_two_instances_runs_once_and_both_get_the_answer():
    answers = []
    request_id = new_id()

    async def send(session):
        answers.append(await session.run("book", {"a": 1}, request_id=request_id))

    async with open_deployment(2) as deployment:
        first, second = deployment.session(entry=0), deployment.session(entry=1)
        async with first, second, trio.open_nursery() as nursery:
            nursery.start_soon(send, first)
            nursery.start_soon(send, second)
        assert len(booking_calls(deployment)) == 1
    assert answers[0].value == answers[1].value


async def test_resend_after_completion_gets_the_answer_from_the_claimant():
    async with open_deployment(2) as deployment:
        request_id = new_id()
        async with (
            deployment.session(entry=0) as first,
            deployment.session(entry=1) as second,
        ):
            answer = await first.run("book", {"a": 1}, request_id=request_id)
            again = await second.run("book", {"a": 1}, request_id=request_id)
        assert len(booking_calls(deployment)) == 1
    assert answer.value == again.value


async def test_other_content_under_a_claimed_id_is_refused():
    async with open_deployment(2) as deployment:
        request_id = new_id()
        async with (
            deployment.session(entry=0) as first,
            deployment.session(entry=1) as second,
        ):
            await first.run("book", {"a": 1}, request_id=request_id)
            with pytest.raises(NotRun) as caught:
                await second.run("book", {"a": 2}, request_id=request_id)
    assert caught.value.final.cause.value == "id_reused"


async def test_id_without_a_timestamp_is_refused():
    async with open_deployment() as deployment, deployment.session() as session:
        with pytest.raises(NotRun) as caught:
            await session.run("quote", {}, request_id="r-1", **NOT_REPEATABLE)
    assert caught.value.final.cause.value == "bad_request"


async def test_store_outage_refuses_only_requests_that_need_a_claim():
    async with open_deployment() as deployment, deployment.session() as session:
        deployment.standins["store"].standin.faults.change({"outage": "error"})
        with pytest.raises(NotRun) as caught:
            await session.run("book", {"a": 1})
        answer = await session.run("quote", {"text": "a"})
        assert booking_calls(deployment) == []
    assert caught.value.final.cause.value == "store_unavailable"
    assert caught.value.final.retry_after_ms is not None
    assert answer.count == 40


async def test_request_recovered_as_not_run_cannot_run_under_its_id():
    async with open_deployment(2) as deployment:
        request_id = new_id()
        async with (
            deployment.session(entry=0) as first,
            deployment.session(entry=1) as second,
        ):
            follower = first.follow("book", {"a": 1}, request_id=request_id)
            follower._may_have_arrived = True
            follower._body["repeatable"] = False
            parts = [part async for part in follower.parts()]
            with pytest.raises(OutcomeUnknown):
                await second.run("book", {"a": 1}, request_id=request_id)
        ran = {entry.request_id for entry in booking_calls(deployment)}
    assert parts
    assert follower.superseded == [request_id]
    assert ran == {follower.request_id}


async def test_non_repeatable_request_is_not_retried_after_a_failure():
    async with open_deployment(1) as deployment, deployment.session() as session:
        deployment.standins["generate-1"].standin.faults.change({"fail": True})
        deployment.standins["generate-2"].standin.faults.change({"fail": True})
        with pytest.raises(OutcomeUnknown):
            await session.run("quote", {"text": "a"}, **NOT_REPEATABLE)
        started = [
            entry
            for name in ("generate-1", "generate-2")
            for entry in deployment.standin_report(name)["entries"]
        ]
    assert len(started) <= 1


def test_session_needs_a_url():
    with pytest.raises(ValueError, match="at least one URL"):
        Session([], "token")
