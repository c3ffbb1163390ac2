"""Connections of callers that this side closes, and what of a request was read."""

import json

import pytest
import trio

from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import HOST, configuration

from .support import SERVICES, deployment

HEAD = b"GET /lookup/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: a%d\r\n"
WITH_BODY = b"POST /confirm/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: a%d\r\n"


@pytest.fixture
def written(monkeypatch):
    """Return the closed connections that the log tells."""
    lines = []

    def write(log, kind, /, **fields):
        if kind == "caller_connection_closed":
            lines.append(json.loads(json.dumps(fields)))

    monkeypatch.setattr("acaciapier.gateway.observing.StructuredLog.write", write)
    return lines


def configure(world, version: int, **limits) -> None:
    changed = configuration(version, ROUTES, SERVICES)
    changed["limits"].update(limits)
    world.platform.configure(changed)


async def configure_and_wait(world, version: int, **limits) -> None:
    configure(world, version, **limits)
    gateway = world.gateways[0]
    await world.until(lambda: gateway.catalogue.version == version)


async def connect(world) -> trio.SocketStream:
    return await trio.open_tcp_stream(HOST, world.gateways[0].settings.front.port)


async def receive_all(stream, timeout_s: float = 6.0) -> bytes:
    """Return what is received until the connection ends."""
    received = b""
    with trio.fail_after(timeout_s):
        try:
            while data := await stream.receive_some(65_536):
                received += data
        except trio.BrokenResourceError:
            pass
    return received


async def receive_answer(stream) -> bytes:
    """Return what is received up to the end of one plain answer."""
    received = b""
    with trio.fail_after(6.0):
        while b" did " not in received:
            data = await stream.receive_some(65_536)
            if not data:
                break
            received += data
    return received


async def test_the_log_tells_which_part_of_a_head_was_read_before_a_timeout(written):
    async with deployment() as world:
        await configure_and_wait(world, 2, header_timeout_ms=200)
        stream = await connect(world)
        await stream.send_all(HEAD % 1)
        assert (await receive_all(stream)).startswith(b"HTTP/1.1 408")
        [line] = written
        assert (line["reason"], line["status"]) == ("header_timeout", 408)
        assert not line["head_read"]
        assert line["unparsed_bytes"] == len(HEAD % 1)


async def test_the_log_tells_how_much_of_a_body_was_read_before_a_timeout(written):
    async with deployment() as world:
        await configure_and_wait(world, 2, idle_timeout_ms=300)
        stream = await connect(world)
        await stream.send_all(WITH_BODY % 7 + b"Content-Length: 10\r\n\r\nhalf")
        assert (await receive_all(stream, 9.0)).startswith(b"HTTP/1.1 408")
        [line] = written
        assert line["reason"] == "body_timeout"
        assert (line["request"], line["head_read"]) == ("a7", True)
        assert (line["body_bytes"], line["body_length"]) == (4, "10")


async def test_the_log_tells_that_input_over_a_limit_is_rejected(written):
    async with deployment() as world:
        stream = await connect(world)
        await stream.send_all(WITH_BODY % 1 + b"Content-Length: 9000000\r\n\r\n")
        assert (await receive_all(stream)).startswith(b"HTTP/1.1 413")
        [line] = written
        assert (line["reason"], line["status"]) == ("rejected", 413)
        assert line["request"] == "a1"


async def test_the_log_tells_of_a_request_read_behind_a_last_answer(written):
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 0.2
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"Connection: close\r\n\r\n" + HEAD % 2)
        assert b"a1" in await receive_all(stream)
        [line] = written
        assert (line["reason"], line["status"]) == ("after_response", None)
        assert line["unparsed_bytes"] == len(HEAD % 2)


async def test_the_log_is_silent_about_an_idle_connection(written):
    async with deployment() as world:
        await configure_and_wait(world, 2, idle_timeout_ms=100)
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n")
        await receive_answer(stream)
        assert not await receive_all(stream, 9.0)
        assert not written
