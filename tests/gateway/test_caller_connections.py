"""Connections of callers that this side closes, and what of a request was read."""

import json
import os
import socket
import time

import pytest
import trio

from acaciapier.gateway.instance import DEREGISTRATION_DELAY_MS
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import HOST, configuration

from .support import SERVICES, deployment

HEAD = b"GET /lookup/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: a%d\r\n"
WITH_BODY = b"POST /confirm/1 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: a%d\r\n"
LIMITS = configuration(1, [], [])["limits"]


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
    async with deployment(limits=LIMITS | {"idle_timeout_ms": 300}) as world:
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
    async with deployment(limits=LIMITS | {"idle_timeout_ms": 100}) as world:
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n")
        await receive_answer(stream)
        assert not await receive_all(stream, 9.0)
        assert not written


@pytest.mark.parametrize(
    "first", [b"G", HEAD % 2, HEAD % 2 + b"\r\n"], ids=["byte", "head", "whole"]
)
@pytest.mark.parametrize("behind_another", [False, True])
async def test_a_stop_does_not_close_a_connection_with_a_request_begun(
    first, behind_another
):
    async with deployment() as world:
        gateway = world.gateways[0]
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 0.3
        await configure_and_wait(world, 2, header_timeout_ms=5_000)
        stream = await connect(world)
        if behind_another:
            await stream.send_all(HEAD % 1 + b"\r\n" + first)
            assert b"did a1" in await receive_answer(stream)
        else:
            await stream.send_all(first)
        gateway.app.stop()
        if first != HEAD % 2 + b"\r\n":
            await world.until(lambda: gateway.relay.closing, 6.0)
            await trio.sleep(0.2)
            await stream.send_all((HEAD % 2 + b"\r\n")[len(first) :])
        received = await receive_all(stream)
        assert received.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


async def test_a_stop_closes_no_connection_whose_request_has_arrived_unread():
    async with deployment() as world:
        gateway = world.gateways[0]
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n")
        await receive_answer(stream)
        await trio.sleep(0.1)
        os.write(stream.socket.fileno(), HEAD % 2 + b"\r\n")
        # Without a step of the event loop in between, nothing has been read.
        gateway.relay.closing = True
        gateway.connections.stopping = True
        gateway.connections.close_idle()
        received = await receive_all(stream)
        assert received.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


async def test_a_stop_answers_a_request_whose_body_follows_100_continue():
    async with deployment() as world:
        gateway = world.gateways[0]
        stream = await connect(world)
        expecting = b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        await stream.send_all(WITH_BODY % 1 + expecting)
        assert b" 100 " in await stream.receive_some(1_000)
        gateway.app.stop()
        await world.until(lambda: gateway.relay.closing, 6.0)
        await trio.sleep(0.2)
        await stream.send_all(b"body")
        received = await receive_all(stream)
        assert received.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


async def test_a_stop_beside_changes_answers_requests_in_flight():
    async with deployment() as world:
        gateway = world.gateways[0]
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 1.0
        streams = [await connect(world) for _ in range(8)]
        for number, stream in enumerate(streams):
            await stream.send_all(HEAD % number + b"\r\n")
        gateway.app.stop()
        for version in range(2, 12):
            configure(world, version, idle_timeout_ms=50 * version)
            await trio.sleep(0.05)
        for number, stream in enumerate(streams):
            assert f"did a{number}".encode() in await receive_answer(stream)


@pytest.mark.parametrize("sent", [HEAD % 2, b"G"], ids=["head", "byte"])
async def test_a_request_begun_behind_another_has_the_time_of_a_head(sent):
    limits = LIMITS | {"header_timeout_ms": 4_000, "idle_timeout_ms": 200}
    async with deployment(limits=limits) as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 0.3
        await configure_and_wait(world, 2, header_timeout_ms=4_000, idle_timeout_ms=200)
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n" + sent)
        assert b"did a1" in await receive_answer(stream)
        await trio.sleep(1.0)
        await stream.send_all((HEAD % 2 + b"\r\n")[len(sent) :])
        assert b"did a2" in await receive_answer(stream)


@pytest.mark.parametrize("former_ms", [1_000, 2_500])
@pytest.mark.parametrize("changes", [1, 3])
async def test_a_lowered_idle_timeout_closes_no_connection_that_callers_reuse(
    former_ms, changes, written
):
    async with deployment(limits=LIMITS | {"idle_timeout_ms": former_ms}) as world:
        kept, early = await connect(world), await connect(world)
        await early.send_all(HEAD % 0 + b"\r\n")
        await receive_answer(early)
        for version in range(2, 2 + changes):
            await configure_and_wait(world, version, idle_timeout_ms=40 * version)
        late = await connect(world)
        for number, stream in enumerate((kept, late)):
            await stream.send_all(HEAD % number + b"\r\n")
            assert f"did a{number}".encode() in await receive_answer(stream)
        await trio.sleep(0.8 * former_ms / 1_000.0)
        for number, stream in enumerate((early, kept, late), start=2):
            await stream.send_all(HEAD % number + b"\r\n")
            assert f"did a{number}".encode() in await receive_answer(stream)


async def test_a_lowered_idle_timeout_applies_in_the_end():
    async with deployment(limits=LIMITS | {"idle_timeout_ms": 500}) as world:
        await configure_and_wait(world, 2, idle_timeout_ms=100)
        await trio.sleep(3.6)
        stream = await connect(world)
        with trio.fail_after(0.4):
            assert not await stream.receive_some(1)


async def test_a_raised_idle_timeout_applies_to_a_connection_that_is_idle():
    async with deployment(limits=LIMITS | {"idle_timeout_ms": 600}) as world:
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n")
        await receive_answer(stream)
        await trio.sleep(0.1)
        await configure_and_wait(world, 2, idle_timeout_ms=5_000)
        await trio.sleep(1.5)
        await stream.send_all(HEAD % 2 + b"\r\n")
        assert b"did a2" in await receive_answer(stream)


@pytest.mark.parametrize(
    "limit, filler, body",
    [("max_body_bytes", b"", b"x" * 3_000), ("max_header_bytes", b"y" * 3_000, b"")],
)
async def test_raised_limits_apply_to_a_connection_that_is_kept(limit, filler, body):
    async with deployment() as world:
        await configure_and_wait(world, 2, **{limit: 2_000})
        stream = await connect(world)
        await stream.send_all(HEAD % 1 + b"\r\n")
        await receive_answer(stream)
        await trio.sleep(0.1)
        await configure_and_wait(world, 3, **{limit: 10_000})
        length = b"Content-Length: %d\r\n" % len(body)
        await stream.send_all(WITH_BODY % 2 + length + b"Filler: ")
        await stream.send_all(filler)
        await trio.sleep(0.1)
        await stream.send_all(b"\r\n\r\n" + body)
        assert b"did a2" in await receive_answer(stream)


async def test_a_stop_answers_requests_whose_connections_wait_after_a_freeze():
    async with deployment() as world:
        gateway = world.gateways[0]
        gateway.app.stop()
        await trio.sleep(DEREGISTRATION_DELAY_MS / 1_000.0 - 0.3)
        waiting = []
        for number in range(8):
            sent = socket.create_connection((HOST, gateway.settings.front.port))
            sent.sendall(HEAD % number + b"\r\n")
            sent.setblocking(False)
            waiting.append(trio.socket.from_stdlib_socket(sent))
        time.sleep(0.5)
        for one in waiting:
            answer = await receive_all(trio.SocketStream(one))
            assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
