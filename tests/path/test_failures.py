"""Tests of the request path when targets, callers and instances fail."""

import httpcore
import msgspec
import pytest
import trio
from path_helpers import OTHER_TOKEN, TOKEN, open_deployment

from acaciapier import NotRun, OutcomeUnknown
from acaciapier.targets.sse import SseParser

SLOW_ENGINE = {"step_ms": 20.0}
REQUEST = {"request_id": "r-1", "pipeline": "quote", "input": {"text": "a"}}


def headers(token=TOKEN, resume=None):
    found = [(b"authorization", f"Bearer {token}".encode())]
    if resume is not None:
        found.append((b"x-resume-token", resume.encode()))
    return found


async def read_until_parts(pool, url, count):
    """Send a request, read `count` parts, then close the connection."""
    parser = SseParser()
    parts, token = [], None
    content = msgspec.json.encode(REQUEST)
    async with pool.stream(
        "POST", f"{url}/v1/requests", headers=headers(), content=content
    ) as response:
        async for chunk in response.aiter_stream():
            for event in parser.feed(chunk):
                body = msgspec.json.decode(event.data)
                if event.name == "part":
                    parts.append(body)
                elif event.name == "resume":
                    token = body["token"]
            if len(parts) >= count:
                return parts, token
    raise AssertionError("the stream ended before the expected parts")


async def get_events(pool, url, position, token, bearer=TOKEN):
    response = await pool.request(
        "GET",
        f"{url}/v1/requests/r-1?from={position}",
        headers=headers(bearer, token),
    )
    if response.status != 200:
        return response.status, msgspec.json.decode(response.content)
    events = SseParser().feed(response.content)
    return 200, [(event.name, msgspec.json.decode(event.data)) for event in events]


async def test_request_is_resumed_on_another_instance():
    async with open_deployment(2, SLOW_ENGINE) as deployment:
        async with httpcore.AsyncConnectionPool() as pool:
            parts, token = await read_until_parts(pool, deployment.urls[0], 2)
            position = parts[-1]["offset"] + parts[-1]["count"]
            status, events = await get_events(pool, deployment.urls[1], position, token)
        async with deployment.session() as session:
            expected = await session.run("quote", REQUEST["input"])
        started = [
            entry
            for name in ("generate-1", "generate-2")
            for entry in deployment.standin_report(name)["entries"]
            if entry.request_id == "r-1"
        ]
    assert status == 200
    rest = [body for name, body in events if name == "part"]
    assert rest[0]["offset"] == position
    assert "".join(part["text"] for part in parts + rest) == expected.text
    assert events[-1][1]["digest"] == expected.digest
    assert len(started) == 1


async def test_resume_token_is_rejected_for_another_workspace():
    async with open_deployment(2, SLOW_ENGINE) as deployment:
        async with httpcore.AsyncConnectionPool() as pool:
            _, token = await read_until_parts(pool, deployment.urls[0], 1)
            status, body = await get_events(
                pool, deployment.urls[1], 0, token, OTHER_TOKEN
            )
            first = "x" if token[0] != "x" else "y"
            forged = await get_events(pool, deployment.urls[1], 0, first + token[1:])
    assert (status, body["cause"]) == (403, "forbidden")
    assert forged[0] == 403


async def test_disconnect_of_the_caller_cancels_the_stream_at_the_engine():
    engine = {"step_ms": 200.0}
    async with open_deployment(1, engine) as deployment:
        async with httpcore.AsyncConnectionPool() as pool:
            await read_until_parts(pool, deployment.urls[0], 1)
        with trio.fail_after(20):
            while not cancelled_streams(deployment):
                await trio.sleep(0.05)


def cancelled_streams(deployment):
    return [
        entry
        for name in ("generate-1", "generate-2")
        for entry in deployment.standin_report(name)["entries"]
        if entry.cancelled
    ]


async def test_cancel_ends_a_request_with_its_final_event():
    async with open_deployment(1, {"step_ms": 200.0}) as deployment:
        async with deployment.session() as session:
            follower = session.follow("quote", {"text": "a"})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_soon, session, follower)
                async for _ in follower.parts():
                    pass
            with pytest.raises(OutcomeUnknown) as caught:
                assert follower.answer
    assert caught.value.final.cause.value == "cancelled"


async def cancel_soon(session, follower):
    while not await session.cancel(follower.request_id):
        await trio.sleep(0.02)


async def test_stream_of_a_crashed_engine_restarts_from_the_beginning():
    async with open_deployment(1, SLOW_ENGINE) as deployment:
        async with deployment.session() as session:
            expected = await session.run("quote", {"text": "a"})
            follower = session.follow("quote", {"text": "a"})
            crashed = False
            async for part in follower.parts():
                if not crashed and part.offset + part.count > 5:
                    crashed = True
                    busy_engine(deployment).crash()
            answer = follower.answer
    assert answer.text == expected.text
    assert follower.resets == 1


def busy_engine(deployment):
    for name in ("generate-1", "generate-2"):
        standin = deployment.standins[name].standin
        if any(entry.ended_ms is None for entry in standin.report()["entries"]):
            return standin
    raise AssertionError("no engine has a call in progress")


@pytest.mark.parametrize("fault", ["garbage", "doubled", "cut", "refuse", "fail"])
async def test_faulty_answers_of_targets_do_not_reach_callers(fault):
    async with open_deployment() as deployment, deployment.session() as session:
        expected = await session.run("quote", {"text": "a"})
        deployment.standins["encode-1"].standin.faults.change({fault: {"next": 1}})
        deployment.standins["generate-1"].standin.faults.change({fault: {"next": 1}})
        for number in range(4):
            answer = await session.run("quote", {"text": "a"}, request_id=f"r{number}")
            assert answer.text == expected.text


async def test_graceful_stop_completes_requests_in_flight():
    async with open_deployment(1, SLOW_ENGINE) as deployment:
        async with deployment.session() as session, deployment.session() as late:
            follower = session.follow("quote", {"text": "a"})
            refused = []
            async for _ in follower.parts():
                if not deployment.apps[0].stop_requested.is_set():
                    deployment.apps[0].stop()
                    await trio.sleep(0.05)
                    refused.append(await refusal_of(late))
            answer = follower.answer
    assert answer.count == 40
    assert refused[0].final.cause.value in ("shutting_down", "deadline")
    assert refused[0].final.outcome.value == "not_run"


async def refusal_of(session):
    try:
        await session.run("quote", {"text": "b"}, deadline_ms=1)
    except NotRun as error:
        return error
    raise AssertionError("the request was not refused")


async def test_missed_deadline_ends_with_a_final_event():
    async with open_deployment(1, {"step_ms": 100.0}) as deployment:
        async with deployment.session() as session:
            with pytest.raises((OutcomeUnknown, NotRun)) as caught:
                await session.run("quote", {"text": "a"}, deadline_ms=700)
    assert caught.value.final.cause.value in ("deadline", "overload")
