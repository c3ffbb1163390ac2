"""Tests of the simulated model engine: streams, cache, orders and refusals."""

import hashlib

import httpcore
import pytest
import trio

from acaciapier_standins import EngineSettings, WeightStoreSettings, expected_tokens

from .client import envelope, serving

FAST = {"step_ms": 1, "step_ms_per_stream": 0, "prefill_ms_per_token": 0}


def generation(stream_id="stream-1", max_tokens=20, **changes):
    return envelope(stream_id=stream_id, max_tokens=max_tokens, **changes)


async def collect(client, method="POST", path="/v1/generate", body=None):
    tokens, last = [], None
    async with client.events(method, path, body) as events:
        async for event in events:
            if "offset" in event:
                tokens += event["tokens"]
            else:
                last = event
    return tokens, last


async def test_stream_is_deterministic_and_complete():
    async with serving(EngineSettings(**FAST)) as client:
        body = generation()
        tokens, last = await collect(client, body=body)
        assert tokens == expected_tokens("bowls", body["input"], 20)
        assert last["digest"] == hashlib.sha256("".join(tokens).encode()).hexdigest()
        assert last["count"] == 20
        assert last["units"]["generated_tokens"] == 20
        again, _ = await collect(client, "GET", "/v1/streams/stream-1?from=15")
        assert again == tokens[15:]
        assert (await client.get("/v1/streams/other?from=0"))[0] == 404
        assert (await client.call("POST", "/v1/generate", body))[0] == 409


async def test_cut_stream_goes_on_and_can_be_resumed():
    async with serving(EngineSettings(**FAST)) as client:
        await client.control(cut=1, cut_after_tokens=3)
        body = generation(max_tokens=200)
        received = []
        with pytest.raises(httpcore.RemoteProtocolError):
            async with client.events("POST", "/v1/generate", body) as events:
                async for event in events:
                    received += event["tokens"]
        assert len(received) == 3
        rest, last = await collect(client, "GET", "/v1/streams/stream-1?from=3")
        assert received + rest == expected_tokens("bowls", body["input"], 200)
        assert last["count"] == 200
        assert len((await client.get("/book"))[1]["entries"]) == 1


async def test_orphan_is_cancelled_after_its_grace_period():
    async with serving(EngineSettings(**FAST, grace_ms=10)) as client:
        body = generation(max_tokens=100_000)
        async with client.events("POST", "/v1/generate", body) as events:
            await anext(events)
        while client.standin.batch.running:
            await trio.sleep(0.005)
        (entry,) = client.standin.work_log.entries
        assert entry.cancelled and entry.units["generated_tokens"] < 100_000


async def test_cancel_reports_what_was_spent():
    async with serving(EngineSettings(**FAST)) as client:
        body = generation(max_tokens=100_000)
        async with client.events("POST", "/v1/generate", body) as events:
            await anext(events)
            status, spent = await client.call("DELETE", "/v1/streams/stream-1")
            last = [event async for event in events][-1]
        assert status == 200
        assert last["error"] == "cancelled" and last["units"] == spent["units"]
        assert client.standin.work_log.entries[0].units == spent["units"]


async def test_prefix_cache_and_its_events():
    settings = EngineSettings(**FAST, event_lag_ms=0, event_gap_share=0, cache_tokens=5)
    async with serving(settings) as client:
        value = {"prefix": "you draft quotes", "text": "one bowl"}
        _, first = await collect(client, body=generation("s1", 1, input=value))
        _, second = await collect(client, body=generation("s2", 1, input=value))
        assert first["units"]["cached_tokens"] == 0
        assert second["units"]["cached_tokens"] == 3
        assert second["units"]["prompt_tokens"] == 5
        other = {"prefix": "answer with care", "text": "x"}
        await collect(client, body=generation("s3", 1, input=other))
        _, log = await client.get("/v1/cache/events?since=0")
        assert [e["type"] for e in log["events"]] == ["stored", "stored", "evicted"]
        assert log["next"] == 3


async def test_kv_moves_between_engines():
    settings = EngineSettings(**FAST)
    async with serving(settings) as exporter, serving(settings) as importer:
        value = {"prefix": "you draft quotes", "text": "one bowl"}
        await collect(exporter, body=generation(max_tokens=1, input=value))
        _, blob = await exporter.call(
            "POST", "/v1/kv/export", {"stream_id": "stream-1"}
        )
        assert (await importer.call("POST", "/v1/kv/import", blob))[0] == 200
        _, last = await collect(importer, body=generation(max_tokens=1, input=value))
        assert last["units"]["cached_tokens"] == 3


async def test_priorities_order_the_queue():
    async with serving(EngineSettings(**FAST, slots=1)) as client:
        async with trio.open_nursery() as nursery:

            async def run(stream_id, priority):
                body = generation(stream_id, 50, run_id=stream_id, priority=priority)
                await collect(client, body=body)

            for number, (name, priority) in enumerate([("a", 0), ("b", 5), ("c", 1)]):
                nursery.start_soon(run, name, priority)
                while len(client.standin.streams) != number + 1:
                    await trio.sleep(0)
        assert [e.run_id for e in client.standin.work_log.entries] == ["a", "c", "b"]


@pytest.mark.parametrize("checks", [True, False])
async def test_orders_and_fencing(checks):
    async with serving(WeightStoreSettings(default_size_bytes=1)) as weights:
        settings = EngineSettings(
            **FAST, checks_fencing=checks, weight_store_url=weights.url
        )
        async with serving(settings) as engine:
            wanted = {
                "model": "m2",
                "model_version": "7",
                "adapters": ["x"],
                "role": "both",
            }
            order = {"fencing_number": 5, "wanted": wanted}
            status, answer = await engine.call("POST", "/v1/orders", order)
            assert status == 202 and answer["state"]["loading"]
            while (await engine.get("/v1/load"))[1]["state"]["loading"]:
                await trio.sleep(0.005)
            _, load = await engine.get("/v1/load")
            assert load["state"]["model"] == "m2"
            assert load["state"]["highest_fencing_number"] == (5 if checks else 0)
            stale = {**order, "fencing_number": 4}
            status, answer = await engine.call("POST", "/v1/orders", stale)
            assert status == (409 if checks else 202)
        assert (await weights.get("/book"))[1]["calls"] == {"m2": {"7": 1}}


async def test_refuses_while_loading_and_with_a_full_queue():
    settings = EngineSettings(**FAST, slots=1, max_queued=0)
    async with serving(settings) as client:
        body = generation(max_tokens=100_000)
        async with client.events("POST", "/v1/generate", body) as events:
            await anext(events)
            status, refused = await client.call(
                "POST", "/v1/generate", generation("stream-2")
            )
            assert (status, refused["cause"]) == (503, "overload")
            await client.control(leaving=True)
            _, refused = await client.call(
                "POST", "/v1/generate", generation("stream-3")
            )
            assert refused["cause"] == "leaving"
        assert len(client.standin.work_log.entries) == 1
