"""Tests of the path when targets, callers and instances fail."""

import httpcore
import msgspec
import pytest
import trio
from path_helpers import OTHER_TOKEN, TOKEN, open_world

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
    """Send a request, read `count` parts, then drop the connection."""
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
    raise AssertionError("the answer ended too early")


async def get_events(pool, url, position, token, bearer=TOKEN):
    response = await pool.request(
        "GET",
        f"{url}/v1/requests/r-1?from={position}",
        headers=headers(bearer, token),
    )
    if response.status != 200:
        return response.status, msgspec.json.decode(response.content)
    events = SseParser().feed(response.content)
    return 200, [(one.name, msgspec.json.decode(one.data)) for one in events]


async def test_request_is_resumed_on_another_instance():
    async with open_world(2, SLOW_ENGINE) as world:
        async with httpcore.AsyncConnectionPool() as pool:
            parts, token = await read_until_parts(pool, world.urls[0], 2)
            position = parts[-1]["offset"] + parts[-1]["count"]
            status, events = await get_events(pool, world.urls[1], position, token)
        async with world.session() as session:
            whole = await session.run("quote", REQUEST["input"])
        started = [
            entry
            for name in ("generate-1", "generate-2")
            for entry in world.book(name)["entries"]
            if entry.request_id == "r-1"
        ]
    assert status == 200
    rest = [body for name, body in events if name == "part"]
    assert rest[0]["offset"] == position
    assert "".join(part["text"] for part in parts + rest) == whole.text
    assert events[-1][1]["digest"] == whole.digest
    assert len(started) == 1


async def test_resume_token_is_no_use_to_another_workspace():
    async with open_world(2, SLOW_ENGINE) as world:
        async with httpcore.AsyncConnectionPool() as pool:
            _, token = await read_until_parts(pool, world.urls[0], 1)
            status, body = await get_events(pool, world.urls[1], 0, token, OTHER_TOKEN)
            first = "x" if token[0] != "x" else "y"
            forged = await get_events(pool, world.urls[1], 0, first + token[1:])
    assert (status, body["cause"]) == (403, "forbidden")
    assert forged[0] == 403


async def test_caller_that_leaves_is_cancelled_at_the_engine():
    engine = {"step_ms": 200.0}
    async with open_world(1, engine) as world:
        async with httpcore.AsyncConnectionPool() as pool:
            await read_until_parts(pool, world.urls[0], 1)
        with trio.fail_after(20):
            while not cancelled_streams(world):
                await trio.sleep(0.05)


def cancelled_streams(world):
    return [
        entry
        for name in ("generate-1", "generate-2")
        for entry in world.book(name)["entries"]
        if entry.cancelled
    ]


async def test_cancel_ends_a_request_with_its_final_event():
    async with open_world(1, {"step_ms": 200.0}) as world:
        async with world.session() as session:
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


async def test_broken_stream_is_run_anew_and_never_spliced():
    async with open_world(1, SLOW_ENGINE) as world:
        async with world.session() as session:
            expected = await session.run("quote", {"text": "a"})
            follower = session.follow("quote", {"text": "a"})
            crashed = False
            async for part in follower.parts():
                if not crashed and part.offset + part.count > 5:
                    crashed = True
                    busy_engine(world).crash()
            answer = follower.answer
    assert answer.text == expected.text
    assert follower.resets == 1


def busy_engine(world):
    for name in ("generate-1", "generate-2"):
        standin = world.standins[name].standin
        if any(entry.ended_ms is None for entry in standin.report()["entries"]):
            return standin
    raise AssertionError("no engine is busy")


@pytest.mark.parametrize("fault", ["garbage", "doubled", "cut", "refuse", "fail"])
async def test_faulty_answers_of_targets_do_not_reach_callers(fault):
    async with open_world() as world, world.session() as session:
        expected = await session.run("quote", {"text": "a"})
        world.standins["encode-1"].standin.faults.change({fault: {"next": 1}})
        world.standins["generate-1"].standin.faults.change({fault: {"next": 1}})
        for number in range(4):
            answer = await session.run("quote", {"text": "a"}, request_id=f"r{number}")
            assert answer.text == expected.text


async def test_graceful_stop_answers_what_is_in_flight():
    async with open_world(1, SLOW_ENGINE) as world:
        async with world.session() as session, world.session() as late:
            follower = session.follow("quote", {"text": "a"})
            refused = []
            async for _ in follower.parts():
                if not world.apps[0].stop_requested.is_set():
                    world.apps[0].stop()
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
    raise AssertionError("the request was run")


async def test_deadline_gives_a_typed_final_event():
    async with open_world(1, {"step_ms": 100.0}) as world:
        async with world.session() as session:
            with pytest.raises((OutcomeUnknown, NotRun)) as caught:
                await session.run("quote", {"text": "a"}, deadline_ms=700)
    assert caught.value.final.cause.value in ("deadline", "overload")
