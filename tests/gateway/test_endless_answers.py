"""Answers that never end, in the head, the body, or another attempt's answer."""

import resource
import time

import pytest
import trio

from acaciapier_standins.platform.worker_faults import ENDLESS

from .support import deployment

MAX_CPU_S = 0.6


def set_endless(world, kind: str, **faults) -> None:
    for listed in world.platform.workers.values():
        if listed.kind != "stage":
            listed.faults.endless = kind
            for name, value in faults.items():
                setattr(listed.faults, name, value)


async def request(world, route: str, **headers):
    headers = {"Attempt_Id": "a1", "Deadline_Ms": "1500"} | headers
    return await world.caller().request("POST", f"/{route}/1", b"{}", **headers)


@pytest.mark.parametrize("kind", sorted(ENDLESS))
async def test_an_answer_without_end_is_refused_early_and_its_connection_closed(kind):
    async with deployment() as world:
        set_endless(world, kind)
        start_s, cpu_s = trio.current_time(), time.process_time()
        answer = await request(world, "confirm")
        assert answer.status == 502
        assert trio.current_time() - start_s < 1.4
        assert time.process_time() - cpu_s < MAX_CPU_S
        connections = world.gateways[0].relay._workers._connections
        assert not any(connections._idle.values())
        assert world.gateways[0].dispatch_client.held_permits == 0
        with trio.fail_after(1.0):
            while any(run.ended_s is None for run in world.platform.run_log.runs):
                await trio.sleep(0.01)


@pytest.mark.parametrize("kind", sorted(ENDLESS))
async def test_other_requests_are_served_beside_an_answer_without_end(kind):
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.endless = kind

        async def median_ms() -> float:
            times_ms, caller = [], world.caller()
            for number in range(8):
                start_s = trio.current_time()
                answer = await caller.request(
                    "POST", "/chat/1", b"{}", Attempt_Id=f"c{number}"
                )
                times_ms.append((trio.current_time() - start_s) * 1_000.0)
                assert (answer.status, answer.complete) == (200, True)
            return sorted(times_ms)[4]

        alone_ms = await median_ms()

        async def attack(number: int) -> None:
            await request(world, "confirm", Attempt_Id=f"b{number}")

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(attack, number)
            assert await median_ms() < 3 * alone_ms + 50.0


async def test_a_statement_not_to_have_run_holds_though_its_body_never_ends():
    async with deployment() as world:
        set_endless(world, "body", not_run=True)
        start_s = trio.current_time()
        answer = await request(world, "confirm")
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert trio.current_time() - start_s < 1.4


async def test_a_statement_not_to_have_run_holds_though_its_body_drips():
    async with deployment() as world:
        set_endless(world, "drip", not_run=True)
        assert (await request(world, "confirm")).status == 503


@pytest.mark.parametrize("fault", ["endless", "extra_answer", "leaving_stray"])
async def test_the_stand_in_plays_faults_beside_answers_without_framing(fault):
    """Soak seed 608: an overlap of two faults ended the stand-in."""
    async with deployment() as world:
        faults = {"unframed": True, fault: "body" if fault == "endless" else True}
        for number in (1, 2):
            for name, value in faults.items():
                setattr(world.platform.workers[f"book-{number}"].faults, name, value)
        answer = await request(world, "confirm")
        assert answer.status == (502 if fault == "endless" else 200)


async def test_memory_stays_flat_beside_events_without_end():
    async with deployment() as world:
        set_endless(world, "event")
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        answer = await request(world, "chat")
        assert not answer.complete
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert after_kb - before_kb < 50_000


@pytest.mark.parametrize("kind", sorted(ENDLESS))
async def test_a_stage_worker_that_answers_without_end_is_replaced(kind):
    async with deployment() as world:
        world.platform.workers["encode-1"].faults.endless = kind
        statuses = set()
        for number in range(4):
            answer = await request(
                world,
                "staged",
                Attempt_Id=f"a{number}",
                Chunk_Count="1,1",
                Chunk_Key="k",
                Deadline_Ms="2000",
            )
            statuses.add((answer.status, answer.complete))
        assert statuses == {(200, True)}
        assert world.platform.workers["encode-1"].requests
