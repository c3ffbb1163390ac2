"""Tests of pools and services: answers, queues, faults and work logs."""

import httpcore
import msgspec
import pytest
import trio

from acaciapier_standins import (
    InstanceListSettings,
    PoolSettings,
    ServiceSettings,
    expected_output,
)
from acaciapier_standins.records import WorkEntry

from .client import envelope, serving


async def call(client, **changes):
    return await client.call("POST", "/v1/call", envelope(**changes))


@pytest.mark.parametrize(
    ("serves", "value", "units"),
    [
        ("encode", {"text": "three blank bowls"}, {"tokens": 3}),
        ("retrieve", {"text": "q"}, {"queries": 1, "documents": 10}),
        ("rerank", {"first": {"documents": [1, 2, 3]}}, {"pairs": 3}),
    ],
)
async def test_pool_answers(serves, value, units):
    async with serving(PoolSettings(serves=serves, median_ms=1)) as client:
        status, answer = await call(client, input=value)
        assert status == 200
        assert answer["output"] == expected_output(serves, "bowls", value)
        assert answer["units"] == units
        assert answer["target"]["load"]["slots"] == 8
        (entry,) = (await client.get("/book"))[1]["entries"]
        assert (entry["request_id"], entry["units"]) == ("request-1", units)


async def test_queue_is_bounded_and_refusals_are_true():
    settings = PoolSettings(slots=1, max_queued=1, median_ms=50)
    statuses = []

    async def run_call(attempt):
        status, answer = await call(client, attempt=attempt)
        statuses.append((status, answer.get("cause")))

    async with serving(settings) as client:
        async with trio.open_nursery() as nursery:
            for attempt in range(3):
                nursery.start_soon(run_call, attempt)
        assert sorted(statuses, key=str) == [
            (200, None),
            (200, None),
            (503, "overload"),
        ]
        _, report = await client.get("/book")
        assert len(report["entries"]) == 2
        assert report["refused"] == {"overload": 1}


async def test_cancel_running_and_queued_calls():
    settings = PoolSettings(slots=1, median_ms=60_000)
    answers = {}

    async def run_call(attempt):
        answers[attempt] = await call(client, attempt=attempt)

    async with serving(settings) as client:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_call, 1)
            while client.standin.counts() != (1, 0):
                await trio.sleep(0.001)
            nursery.start_soon(run_call, 2)
            while client.standin.counts() != (1, 1):
                await trio.sleep(0.001)
            queued = await client.call("DELETE", "/v1/calls/run-1/first/2")
            running = await client.call("DELETE", "/v1/calls/run-1/first/1")
        assert queued == (200, {"units": {}})
        assert running[0] == 200
        assert answers[2][1]["not_run"] is True
        assert answers[1][1]["not_run"] is False
        (entry,) = (await client.get("/book"))[1]["entries"]
        assert entry["cancelled"] and entry["units"] == answers[1][1]["units"]


async def test_faults_of_answers():
    async with serving(PoolSettings(median_ms=0)) as client:
        await client.control(fail=1)
        assert (await call(client))[0] == 500
        await client.control(garbage=1)
        with pytest.raises(msgspec.DecodeError):
            await call(client)
        await client.control(garbage=1, garbage_form="identity")
        assert (await call(client))[1]["run_id"] == "another-run"
        await client.control(doubled=1)
        with pytest.raises(msgspec.DecodeError):
            await call(client)
        await client.control(refuse=1)
        assert (await call(client))[1]["not_run"] is True
        await client.control(leaving=True)
        assert (await call(client))[1]["cause"] == "leaving"


async def test_poison_crashes_after_the_work_log_has_it(tmp_path):
    path = tmp_path / "book"
    async with serving(ServiceSettings(book_path=path, median_ms=0)) as client:
        assert (await call(client))[0] == 200
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            await call(client, input={"poison": True}, run_id="run-2")
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            await call(client)
    lines = path.read_bytes().splitlines()
    entries = [msgspec.json.decode(line, type=WorkEntry) for line in lines]
    assert [(e.run_id, e.ended_ms is None) for e in entries] == [
        ("run-1", True),
        ("run-1", False),
        ("run-2", True),
    ]


async def test_registers_and_leaves_with_a_lag():
    async with serving(InstanceListSettings()) as instances:
        settings = PoolSettings(
            id="encoder-1", pool="encoders", instance_list_url=instances.url
        )
        async with serving(settings) as target:
            shown = await wait_for_state(instances, "live")
            assert (shown["url"], shown["pool"]) == (target.url, "encoders")
            assert shown["incarnation"] == target.standin.incarnation
            await instances.control(lag_ms=60_000)
            await target.control(leaving=True)
            await trio.sleep(0.3)
            assert (await wait_for_state(instances, "live"))["state"] == "live"
            await instances.control(reset=True)
            await wait_for_state(instances, "leaving")
        assert (await instances.get("/v1/instances"))[1]["instances"] == []


async def wait_for_state(instances, state):
    while True:
        _, body = await instances.get("/v1/instances")
        for shown in body["instances"]:
            if shown["state"] == state:
                return shown
        await trio.sleep(0.01)


async def test_hanging_calls_end_with_their_caller():
    async with serving(PoolSettings(median_ms=0)) as client:
        await client.control(hang=1)
        with trio.move_on_after(0.02):
            await call(client)
        assert (await call(client))[0] == 200
        assert len(client.standin.work_log.entries) == 1
