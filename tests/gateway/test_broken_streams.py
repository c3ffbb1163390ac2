"""Streams that a worker breaks off never look complete to the caller."""

import json

import pytest
import trio

from acaciapier_standins.platform.platform import HOST

from .support import deployment

EVENTS = b"".join(f"id: {n}\ndata: a1 {n}\n\n".encode() for n in range(1, 5))


def set_faults(world, **faults):
    for number in (1, 2):
        for name, value in faults.items():
            setattr(world.platform.workers[f"model-{number}"].faults, name, value)


async def request(world, route: str):
    return await world.caller().request("POST", f"/{route}/1", b"{}", Attempt_Id="a1")


@pytest.mark.parametrize("faults", [{"unframed": True}, {"ends_early": True}])
async def test_a_stream_cut_within_an_event_is_not_framed_as_complete(faults):
    async with deployment() as world:
        set_faults(world, cut_after=2, **faults)
        answer = await request(world, "chat")
        assert (answer.status, answer.complete) == (200, False)
        assert EVENTS.startswith(answer.body)
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_a_stream_without_events_that_ends_with_its_connection_is_incomplete():
    async with deployment() as world:
        set_faults(world, cut_after=0, unframed=True)
        answer = await request(world, "chat")
        assert not answer.complete or answer.status == 502


async def test_a_broken_stream_to_an_http_1_0_caller_ends_with_a_reset():
    async with deployment() as world:
        set_faults(world, cut_after=2)
        port = world.gateways[0].settings.front.port
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(
            b"POST /chat/1 HTTP/1.0\r\nHost: orders.example\r\nAttempt-Id: a1\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        with pytest.raises(trio.BrokenResourceError):
            while await stream.receive_some(65_536):
                pass


@pytest.mark.parametrize("route", ["chat", "mail"])
async def test_a_complete_stream_that_ends_with_its_connection_is_forwarded(route):
    async with deployment() as world:
        set_faults(world, unframed=True)
        answer = await request(world, route)
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


async def test_a_resumable_stream_cut_within_an_event_is_resumed():
    async with deployment() as world:
        set_faults(world, cut_after=2, unframed=True)
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        first = world.platform.run_log.runs[0].worker
        for number in (1, 2):
            if f"model-{number}" != first:
                worker = world.platform.workers[f"model-{number}"]
                worker.faults.cut_after = None
        answer = await caller.receive()
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


async def test_the_log_tells_what_marked_the_end_of_a_response(capfd):
    lines = []

    def done() -> list[dict]:
        lines.extend(map(json.loads, capfd.readouterr().out.splitlines()))
        return [line for line in lines if line["event"] == "request_done"]

    async with deployment() as world:
        for unframed in (False, True):
            set_faults(world, unframed=unframed)
            await request(world, "mail")
        await world.until(lambda: len(done()) == 2)
        assert [line["framing"] for line in done()] == ["chunked", "connection_end"]
        assert [line["last_event"] for line in done()] == ["4", "4"]


async def test_a_broken_stream_that_finds_no_worker_is_not_logged_as_left(capfd):
    lines = []

    def ended() -> list[dict]:
        lines.extend(map(json.loads, capfd.readouterr().out.splitlines()))
        return [line for line in lines if line["event"].startswith("request_")]

    async with deployment() as world:
        set_faults(world, cut_after=2)
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        set_faults(world, turn_away="2")
        answer = await caller.receive()
        assert not answer.complete
        await world.until(ended)
        assert ended()[0]["event"] == "request_failed"
