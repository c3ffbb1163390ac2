"""Tests of the object API: versions, watches, rate limits and faults."""

import httpcore
import pytest
import trio

from acaciapier_standins import ObjectApiSettings

from .client import serving

FAST = ObjectApiSettings(latency_ms=0)


async def put(client, name, value, if_version=None, kind="things"):
    body = {"value": value, "if_version": if_version}
    return await client.call("PUT", f"/v1/objects/{kind}/{name}", body)


async def test_conditional_updates_and_deletes():
    async with serving(FAST) as client:
        assert await put(client, "a", {"x": 1}, 0) == (200, {"version": 1})
        status, body = await put(client, "a", {"x": 2}, 0)
        assert (status, body["error"], body["version"]) == (409, "conflict", 1)
        assert await put(client, "a", {"x": 2}, 1) == (200, {"version": 2})
        _, shown = await client.get("/v1/objects/things/a")
        assert shown == {"kind": "things", "name": "a", "version": 2, "value": {"x": 2}}
        path = "/v1/objects/things/a?if_version="
        assert (await client.call("DELETE", path + "1"))[0] == 409
        assert await client.call("DELETE", path + "2") == (200, {"version": 3})
        assert (await client.get("/v1/objects/things/a"))[0] == 404
        assert (await put(client, "a", "x" * 1_000_001))[0] == 413


async def test_list_and_watch():
    async with serving(FAST) as client:
        await put(client, "a.1", 1)
        await put(client, "b.1", 2)
        _, listed = await client.get("/v1/objects/things?prefix=a.")
        assert listed["revision"] == 2
        assert [item["name"] for item in listed["items"]] == ["a.1"]
        _, seen = await client.get("/v1/watch/things?since=1&wait_ms=0")
        assert [e["object"]["name"] for e in seen["events"]] == ["b.1"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put, client, "c", 3)
            _, seen = await client.get("/v1/watch/things?since=2&wait_ms=5000")
        assert [e["object"]["value"] for e in seen["events"]] == [3]
        assert seen["revision"] == 3
        _, seen = await client.get("/v1/watch/things?since=3&wait_ms=1")
        assert seen == {"revision": 3, "events": []}


async def test_compacted_watch():
    async with serving(ObjectApiSettings(latency_ms=0, kept_events=2)) as client:
        for number in range(4):
            await put(client, "a", number)
        assert (await client.get("/v1/watch/things?since=1"))[0] == 410
        assert (await client.get("/v1/watch/things?since=2"))[0] == 200


async def test_budget_counts_each_call():
    settings = ObjectApiSettings(latency_ms=0, writes_per_s=2, reads_per_s=1_000)
    async with serving(settings) as client:
        answers = [(await put(client, "a", n))[0] for n in range(3)]
        assert answers == [200, 200, 429]
        assert client.headers[b"retry-after"] == b"1"
        await client.get("/v1/watch/things?since=0")
        _, report = await client.get("/book")
        assert report["calls"] == {"things": {"put": 3, "watch": 1}}
        assert report["refused"] == {"things": {"put": 1}}


async def test_lost_answer_after_the_change():
    async with serving(FAST) as client:
        await client.control(lost=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await put(client, "a", 1, 0)
        assert (await put(client, "a", 1, 0))[1]["version"] == 1
        assert (await client.get("/control"))[1]["lost"] == {"share": 0.0, "next": 0}


async def test_stale_reads():
    async with serving(FAST) as client:
        await put(client, "a", 1)
        await client.control(stale_ms=60_000)
        assert (await client.get("/v1/objects/things/a"))[0] == 404
        _, listed = await client.get("/v1/objects/things")
        assert listed == {"revision": 0, "items": []}
        await client.control(reset=True)
        assert (await client.get("/v1/objects/things/a"))[0] == 200


async def test_outages():
    async with serving(FAST) as client:
        await client.control(outage="error")
        assert (await client.get("/v1/objects/things/a"))[0] == 503
        await client.control(outage="hang")
        with trio.move_on_after(0.05) as scope:
            await client.get("/v1/objects/things/a")
        assert scope.cancelled_caught
        status, _ = await client.call("POST", "/control", {"outage": "sometimes"})
        assert status == 400
