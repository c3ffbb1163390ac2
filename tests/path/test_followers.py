"""Tests that a caller's view stays true over lost connections."""

import httpcore
import msgspec
import pytest
import trio
from path_helpers import TOKEN, open_world
from test_failures import REQUEST, get_events, read_until_parts

from acaciapier import OutcomeUnknown


async def test_resumed_request_outlives_the_first_instances_grace():
    """The first instance must not cancel the stream that another one reads."""
    async with open_world(2, {"step_ms": 60.0}) as world:
        async with httpcore.AsyncConnectionPool() as pool:
            parts, token = await read_until_parts(pool, world.urls[0], 2)
            position = parts[-1]["offset"] + parts[-1]["count"]
            status, events = await get_events(pool, world.urls[1], position, token)
    assert status == 200
    assert events[-1][0] == "final"
    assert events[-1][1]["outcome"] == "done"
    assert events[-1][1]["count"] == 40


async def test_recovery_in_an_outage_does_not_claim_that_nothing_ran():
    async with open_world(2) as world, world.session() as session:
        follower = session.follow("book", {"a": 1})
        follower._may_have_arrived = True
        follower._body["repeatable"] = False
        world.standins["store"].standin.faults.change({"outage": "error"})
        async for _ in follower.parts():
            pass
        with pytest.raises(OutcomeUnknown):
            assert follower.answer


async def test_refusal_after_a_cut_connection_is_not_taken_as_not_run():
    async with open_world(1) as world, world.session() as session:
        follower = session.follow("no-such-pipeline", {"a": 1})
        follower._may_have_arrived = True
        async for _ in follower.parts():
            pass
        with pytest.raises(OutcomeUnknown):
            assert follower.answer


async def test_recovery_of_an_unknown_request_is_refused_as_unknown():
    async with open_world(1) as world, httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"{world.urls[0]}/v1/requests",
            headers=[(b"authorization", f"Bearer {TOKEN}".encode())],
            content=msgspec.json.encode({**REQUEST, "recover": True}),
        )
    assert msgspec.json.decode(response.content)["outcome"] == "unknown"


async def test_resend_to_the_instance_that_resumed_gets_the_answer():
    async with open_world(2, {"step_ms": 20.0}) as world:
        async with httpcore.AsyncConnectionPool() as pool:
            _, token = await read_until_parts(pool, world.urls[0], 2)
            await get_events(pool, world.urls[1], 0, token)
        async with world.session(entry=1) as session:
            answer = await session.run("quote", REQUEST["input"], request_id="r-1")
    assert answer.count == 40


async def test_repeatable_request_runs_anew_after_a_failed_run():
    async with open_world(1) as world, world.session() as session:
        for name in ("encode-1", "encode-2"):
            world.standins[name].standin.faults.change({"fail": True})
        with pytest.raises(OutcomeUnknown):
            await session.run("quote", {"text": "a"}, request_id="r-1")
        for name in ("encode-1", "encode-2"):
            world.standins[name].standin.faults.change({"reset": True})
        answer = await session.run("quote", {"text": "a"}, request_id="r-1")
    assert answer.count == 40


async def test_recovery_goes_on_at_another_instance_if_one_is_stopping():
    async with open_world(2, {"step_ms": 60.0}) as world, world.session() as session:
        async with world.session(entry=0) as first, trio.open_nursery() as nursery:
            nursery.start_soon(first.run, "quote", {"text": "keeps it draining"})
            await trio.sleep(0.3)
            world.apps[0].stop()
            await trio.sleep(0)
            session._connector.next_url = 0
            follower = session.follow("book", {"a": 1}, repeatable=False)
            follower._may_have_arrived = True
            async for _ in follower.parts():
                pass
            assert follower.answer.value is not None
    assert len(follower.superseded) == 1
