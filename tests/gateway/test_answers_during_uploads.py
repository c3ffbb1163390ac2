"""Guards against parts of answers that are taken for whole ones (MIXED).

A worker answers while a long body is still written to it, and resets the connection.
The kernel reports the reset once, perhaps to the task that writes.
"""

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio

from acaciapier.http.client import ConnectionBroken, HttpConnection, OutgoingRequest

from .support import deployment
from .test_tunnels import LONG, running

HOST = "127.0.0.1"
BODY = bytes(900_000)
PART = b"a part of the answer"
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
LINGER_RESET = struct.pack("ii", 1, 0)
Serve = Callable[[trio.SocketStream, bytes], Awaitable[None]]


async def read_head(stream: trio.SocketStream) -> bytes:
    head = b""
    while b"\r\n\r\n" not in head:
        data = await stream.receive_some(4_096)
        if not data:
            return b""
        head += data
    return head


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the peer gets a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.socket.close()


def head_of(attempt: str, status: bytes = b"200 OK", *more: bytes) -> bytes:
    lines = [
        b"HTTP/1.1 " + status,
        b"Attempt-Id: " + attempt.encode(),
        b"Server-Seal: seal",
        *more,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def attempt_of(head: bytes) -> str:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"attempt-id:"):
            return line.partition(b":")[2].strip().decode()
    return ""


async def listen(nursery: trio.Nursery, serve) -> int:
    """Serve raw connections and return the port."""
    listeners = await trio.open_tcp_listeners(0, host=HOST)

    async def handle(stream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await serve(stream)

    nursery.start_soon(trio.serve_listeners, handle, listeners)
    return listeners[0].socket.getsockname()[1]


async def exchange(port: int, nursery: trio.Nursery) -> tuple[int, bytes]:
    connection = await HttpConnection.open(HOST, port, 500.0)
    try:
        request = OutgoingRequest(b"POST", b"/", [(b"Host", b"w")], BODY)
        await connection.send(request, nursery)
        head = await connection.receive_head()
        return head.status, await connection.receive_full_body(10_000_000)
    finally:
        connection.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.3])
@pytest.mark.parametrize("more", [(), (b"Connection: close",)])
async def test_a_reset_during_an_upload_ends_no_answer(delay_s, more, nursery):
    async def serve(stream) -> None:
        head = await read_head(stream)
        await stream.send_all(head_of(attempt_of(head), b"200 OK", *more) + PART)
        await trio.sleep(delay_s)
        reset(stream)

    port = await listen(nursery, serve)
    for _ in range(8):
        with trio.fail_after(3), pytest.raises(ConnectionBroken):
            await exchange(port, nursery)


async def test_an_end_is_no_proof_while_the_upload_is_not_read(nursery):
    # The worker ends its side of the connection, and resets it later.
    async def serve(stream) -> None:
        head = await read_head(stream)
        await stream.send_all(head_of(attempt_of(head)) + PART)
        await stream.send_eof()
        await trio.sleep(0.3)
        reset(stream)

    port = await listen(nursery, serve)
    for _ in range(4):
        with trio.fail_after(3), pytest.raises(ConnectionBroken):
            await exchange(port, nursery)


async def test_an_answer_without_length_is_whole_once_the_upload_is_read(nursery):
    async def serve(stream) -> None:
        head = await read_head(stream)
        await stream.send_all(head_of(attempt_of(head)) + PART)
        await stream.send_eof()
        await trio.sleep(0.1)
        while await stream.receive_some(65_536):
            pass

    port = await listen(nursery, serve)
    with trio.fail_after(3):
        assert await exchange(port, nursery) == (200, PART)


async def test_an_answer_with_a_length_is_whole_though_the_upload_breaks(nursery):
    async def serve(stream) -> None:
        head = await read_head(stream)
        length = b"Content-Length: %d" % len(PART)
        await stream.send_all(head_of(attempt_of(head), b"200 OK", length) + PART)
        await trio.sleep(0.1)
        reset(stream)

    port = await listen(nursery, serve)
    with trio.fail_after(3):
        assert await exchange(port, nursery) == (200, PART)


HEAD = head_of("a1", b"200 OK", b"Content-Length: %d" % len(PART))
CUTS = [1, 9, 12, 17, 40, len(HEAD) - 6, len(HEAD) - 4, len(HEAD) - 1]


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("cut", CUTS)
async def test_a_head_that_stops_is_no_answer(cut, how, nursery):
    async def serve(stream) -> None:
        await read_head(stream)
        await stream.send_all(HEAD[:cut])
        if how == "reset":
            reset(stream)

    port = await listen(nursery, serve)
    with trio.fail_after(3), pytest.raises(ConnectionBroken):
        await exchange(port, nursery)


STATUSES = [b"000", b"099", b"101", b"199", b"600", b"999"]


@pytest.mark.parametrize("status", STATUSES)
async def test_a_status_that_is_none_is_no_answer(status, nursery):
    async def serve(stream) -> None:
        head = await read_head(stream)
        length = b"Content-Length: %d" % len(PART)
        await stream.send_all(head_of(attempt_of(head), status, length) + PART)
        await trio.sleep(0.2)

    port = await listen(nursery, serve)
    with trio.fail_after(3), pytest.raises(ConnectionBroken):
        await exchange(port, nursery)


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
async def test_a_reset_during_an_upload_through_a_helper_ends_no_answer(delay_s):
    # The helper writes and reads in two tasks, too.
    async def serve(stream) -> None:
        await read_head(stream)
        await stream.send_all(head_of("a1") + PART)
        await trio.sleep(delay_s)
        reset(stream)

    async with running(serve) as world:
        for _ in range(4):
            connection = await world.client.open(world.worker)
            request = OutgoingRequest(b"POST", b"/", [(b"Host", b"w")], bytes(4 * LONG))
            with trio.fail_after(5), pytest.raises(ConnectionBroken):
                await connection.send(request, world.tasks)
                await connection.receive_head()
                await connection.receive_full_body(10_000_000)
            connection.close()


PLAIN_AND_MODEL = ("book-1", "book-2", "model-1", "model-2")


async def ask_bad_workers(
    serve: Serve, path: str, tries: int = 4, bad=PLAIN_AND_MODEL, **headers: str
) -> list:
    """Return answers of a gateway whose workers named in `bad` `serve` plays."""
    answers = []
    async with deployment() as world, trio.open_nursery() as nursery:

        async def answer(stream) -> None:
            while head := await read_head(stream):
                await serve(stream, head)

        for name in bad:
            port = await listen(nursery, answer)
            world.platform.register(name, addr=f"{HOST}:{port}")
        workers = world.gateways[0].catalogue.workers
        await world.until(lambda: workers[bad[-1]].port == port)
        for number in range(tries):
            with trio.fail_after(6):
                answers.append(
                    await world.caller().request(
                        "POST",
                        path,
                        BODY,
                        Attempt_Id=f"a{number}",
                        Deadline_Ms="2000",
                        **headers,
                    )
                )
        nursery.cancel_scope.cancel()
    return answers


@pytest.mark.parametrize("path", ["/lookup/1", "/confirm/1", "/chat/1", "/mail/1"])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
async def test_no_caller_gets_a_part_of_an_answer_as_a_whole_one(path, delay_s):
    is_stream = path in ("/chat/1", "/mail/1")
    kind = (b"Content-Type: text/event-stream",) if is_stream else ()

    async def serve(stream, head: bytes) -> None:
        begun = head_of(attempt_of(head), b"200 OK", *kind)
        await stream.send_all(begun + (EVENTS if is_stream else PART))
        await trio.sleep(delay_s)
        reset(stream)

    for answer in await ask_bad_workers(serve, path):
        assert not (answer.status == 200 and answer.complete)


@pytest.mark.parametrize("status", [b"600 Odd", b"999 Odd"])
@pytest.mark.parametrize("path", ["/lookup/1", "/confirm/1", "/chat/1", "/mail/1"])
async def test_no_caller_gets_a_status_that_is_none(path, status):
    async def serve(stream, head: bytes) -> None:
        length = b"Content-Length: %d" % len(PART)
        await stream.send_all(head_of(attempt_of(head), status, length) + PART)
        await trio.sleep(0.05)
        stream.socket.close()

    for answer in await ask_bad_workers(serve, path, tries=2):
        assert answer.status in (0, 502, 503, 504)


@pytest.mark.parametrize("status", [b"200 OK", b"600 Odd"])
async def test_a_part_of_a_stage_workers_answer_is_no_result(status):
    async def serve(stream, head: bytes) -> None:
        await stream.send_all(head_of("", status) + b'{"items":[{"handle":"10.1')
        await trio.sleep(0.02)
        reset(stream)

    stages = {"Chunk_Count": "2,1", "Chunk_Key": "k"}
    bad = ("encode-1", "encode-2")
    for answer in await ask_bad_workers(serve, "/staged/1", 2, bad, **stages):
        assert answer.status in (0, 502, 503, 504)
