"""Tests of the object API's client against a scripted server."""

import re
from random import Random

import pytest
import trio

from acaciapier.core.clock import SystemClock
from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.store import ObjectStore, Purpose, StoreBudget, Verb

BUDGET = StoreBudget(timeout_ms=300.0)
HANG = b""


def answer(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def receive_request(stream) -> bytes:
    """Return one complete request; its head and body may arrive separately."""
    request = b""
    while b"\r\n\r\n" not in request:
        received = await stream.receive_some(65_536)
        if not received:
            return b""
        request += received
    head, _, body = request.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    while length and len(body) < int(length[1]):
        body += await stream.receive_some(65_536)
    return head + body


@pytest.fixture
async def serve(nursery):
    """Start a server that gives the listed answers in order."""

    async def start(*answers: bytes) -> ObjectStore:
        script = list(answers)

        async def handle(stream):
            while await receive_request(stream):
                reply = script.pop(0)
                if reply == HANG:
                    await trio.sleep_forever()
                await stream.send_all(reply)

        listeners = await nursery.start(trio.serve_tcp, handle, 0)
        port = listeners[0].socket.getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        return ObjectStore(url, BUDGET, SystemClock(), Random(1))

    return start


async def test_reads_and_writes_are_counted_by_purpose_and_verb(serve):
    found = b'{"kind":"pool","name":"a","version":7,"value":{"x":1}}'
    store = await serve(answer(200, found), answer(200, b'{"version":8}'))
    async with store:
        present = await store.get("pool", "a", purpose=Purpose.LEASES)
        assert (present.version, present.value) == (7, {"x": 1})
        assert await store.put("pool", "a", {}, 7, purpose=Purpose.CLAIMS) == 8
        assert store.counts[Purpose.LEASES, Verb.GET].calls == 1
        assert store.counts[Purpose.CLAIMS, Verb.PUT].calls == 1


async def test_a_conflict_names_the_present_version(serve):
    store = await serve(answer(409, b'{"error":"conflict","version":9}'))
    async with store:
        with pytest.raises(VersionConflict) as caught:
            await store.put("pool", "a", {}, 7, purpose=Purpose.CLAIMS)
    assert caught.value.present_version == 9


async def test_a_put_without_an_answer_may_have_landed_and_a_get_may_not(serve):
    store = await serve(HANG, HANG)
    async with store:
        with pytest.raises(StoreUnavailable) as put:
            await store.put("pool", "a", {}, 7, purpose=Purpose.CLAIMS)
        with pytest.raises(StoreUnavailable) as get:
            await store.get("pool", "a", purpose=Purpose.CLAIMS)
    assert put.value.may_have_landed
    assert not get.value.may_have_landed


async def test_an_outage_opens_the_circuit_and_an_answer_closes_it(serve):
    out = answer(503, b"{}")
    store = await serve(out, out, out, answer(404, b"{}"))
    async with store:
        for _ in range(3):
            with pytest.raises(StoreUnavailable):
                await store.get("pool", "a", purpose=Purpose.CLAIMS)
        assert not store.reachable
        with pytest.raises(StoreUnavailable):
            await store.get("pool", "a", purpose=Purpose.CLAIMS)
        assert store.counts[Purpose.CLAIMS, Verb.GET].calls == 3
        await trio.sleep(store.pause_ms / 1000)
        assert await store.get("pool", "a", purpose=Purpose.CLAIMS) is None
        assert store.reachable
