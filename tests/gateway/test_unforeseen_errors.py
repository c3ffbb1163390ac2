"""Unforeseen errors end a request with an answer, as far as none has begun."""

import pytest

from acaciapier.gateway.request_state import RequestState

from .support import deployment


async def request(world, route: str):
    return await world.caller().request("POST", f"/{route}/1", b"{}", Attempt_Id="a1")


def fail(*args, **kwargs):
    raise KeyError("dropped")


@pytest.mark.parametrize("route", ["mail", "confirm", "lookup"])
async def test_a_request_that_reached_no_worker_is_refused_after_an_error(route):
    async with deployment() as world:
        world.gateways[0].dispatch_client.acquire = fail
        answer = await request(world, route)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not world.platform.run_log.runs


@pytest.mark.parametrize("route", ["mail", "confirm", "lookup"])
async def test_a_request_that_reached_a_worker_fails_after_an_error(route):
    async with deployment() as world:
        world.gateways[0].dispatch_client.report_started = fail
        assert (await request(world, route)).status == 502


async def test_a_request_with_an_error_in_its_stages_is_refused():
    async with deployment() as world:
        world.gateways[0].dispatch_client.run_pieces = fail
        answer = await world.caller().request(
            "POST",
            "/staged/1",
            b"{}",
            Attempt_Id="a1",
            Chunk_Count="1,1",
            Chunk_Key="k1",
        )
        assert answer.status == 503


async def test_an_error_before_a_request_is_routed_is_refused(monkeypatch):
    monkeypatch.setattr(RequestState, "__init__", fail)
    async with deployment() as world:
        assert (await request(world, "confirm")).status == 503


async def test_a_stream_that_has_begun_is_broken_off_after_an_error():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.pause_s = 0.3
        caller = world.caller()
        await caller.send("POST", "/chat/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        world.gateways[0].quarantine.record_end = fail
        answer = await caller.receive()
        assert answer.status == 200
