"""Tests that callers get the right outcome after lost connections."""

import httpcore
import msgspec
import pytest
import trio
from path_helpers import TOKEN, open_deployment
from test_failures import REQUEST, get_events, read_until_parts

from acaciapier import OutcomeUnknown


async def test_resumed_request_is_not_cancelled_by_the_first_instance():
    """The reconnect grace period at the first instance must not end the stream."""
    async with open_deployment(2, {"step_ms": 60.0}) as deployment:
        async with httpcore.AsyncConnectionPool() as pool:
            parts, token = await read_until_parts(pool, deployment.urls[0], 2)
            position = parts[-1]["offset"] + parts[-1]["count"]
            status, events = await get_events(pool, deployment.urls[1], position, token)
    assert status == 200
    assert events[-1][0] == "final"
    assert events[-1][1]["outcome"] == "done"
    assert events[-1][1]["count"] == 40


async def test_recovery_in_a_store_outage_reports_an_unknown_outcome():
    async with open_deployment(2) as deployment, deployment.session() as session:
        follower = session.follow("book", {"a": 1})
        follower._may_have_arrived = True
        follower._body["repeatable"] = False
        deployment.standins["store"].standin.faults.change({"outage": "error"})
        async for _ in follower.parts():
            pass
        with pytest.raises(OutcomeUnknown):
            assert follower.answer


async def test_refusal_after_a_lost_connection_reports_an_unknown_outcome():
    async with open_deployment(1) as deployment, deployment.session() as session:
        follower = session.follow("no-such-pipeline", {"a": 1})
        follower._may_have_arrived = True
        async for _ in follower.parts():
            pass
        with pytest.raises(OutcomeUnknown):
            assert follower.answer


async def test_recovery_of_an_unknown_request_reports_an_unknown_outcome():
    async with open_deployment(1) as deployment, httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"{deployment.urls[0]}/v1/requests",
            headers=[(b"authorization", f"Bearer {TOKEN}".encode())],
            content=msgspec.json.encode({**REQUEST, "recover": True}),
        )
    assert msgspec.json.decode(response.content)["outcome"] == "unknown"


async def test_resend_to_the_instance_that_resumed_gets_the_answer():
    async with open_deployment(2, {"step_ms": 20.0}) as deployment:
        async with httpcore.AsyncConnectionPool() as pool:
            _, token = await read_until_parts(pool, deployment.urls[0], 2)
            await get_events(pool, deployment.urls[1], 0, token)
        async with deployment.session(entry=1) as session:
            answer = await session.run("quote", REQUEST["input"], request_id="r-1")
    assert answer.count == 40


async def test_repeatable_request_can_be_rerun_after_a_failed_run():
    async with open_deployment(1) as deployment, deployment.session() as session:
        for name in ("encode-1", "encode-2"):
            deployment.standins[name].standin.faults.change({"fail": True})
        with pytest.raises(OutcomeUnknown):
            await session.run("quote", {"text": "a"}, request_id="r-1")
        for name in ("encode-1", "encode-2"):
            deployment.standins[name].standin.faults.change({"reset": True})
        answer = await session.run("quote", {"text": "a"}, request_id="r-1")
    assert answer.count == 40


async def test_recovery_moves_to_another_instance_if_one_is_stopping():
    async with (
        open_deployment(2, {"step_ms": 60.0}) as deployment,
        deployment.session() as session,
    ):
        async with deployment.session(entry=0) as first, trio.open_nursery() as nursery:
            nursery.start_soon(first.run, "quote", {"text": "keeps it draining"})
            await trio.sleep(0.3)
            deployment.apps[0].stop()
            await trio.sleep(0)
            session._connector.next_url = 0
            follower = session.follow("book", {"a": 1}, repeatable=False)
            follower._may_have_arrived = True
            async for _ in follower.parts():
                pass
            assert follower.answer.value is not None
    assert len(follower.superseded) == 1
