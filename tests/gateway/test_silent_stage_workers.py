"""Requests with stages are served while the stages' sound workers fall silent."""

from itertools import count

import pytest
import trio

from .support import deployment

WARM_UP_S, LOAD_S, PERIOD_S = 0.3, 2.0, 0.05


async def answers_around_silence(silence_s: float, names: tuple[str, ...]) -> list:
    """Return the statuses of first tries before, in and after a silence of workers."""
    statuses = []
    numbers = count(1)
    async with deployment() as world:

        async def call() -> None:
            caller = world.caller()
            answer = await caller.request(
                "POST",
                "/staged/1",
                b"{}",
                Attempt_Id=f"a{next(numbers)}",
                Chunk_Count="1,2",
                Chunk_Key="k",
            )
            statuses.append(answer.status if answer.complete else 0)
            await caller.aclose()

        async def fall_silent() -> None:
            await trio.sleep(WARM_UP_S)
            for name in names:
                world.platform.workers[name].faults.silence = trio.Event()
            await trio.sleep(silence_s)
            for name in names:
                world.platform.workers[name].faults.silence.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fall_silent)
            for _ in range(round(LOAD_S / PERIOD_S)):
                nursery.start_soon(call)
                await trio.sleep(PERIOD_S)
    return statuses


@pytest.mark.parametrize("service", ["encode", "search"])
@pytest.mark.parametrize("silence_s", [0.3, 0.9, 1.3])
async def test_no_first_try_is_refused_while_all_workers_of_a_stage_are_silent(
    silence_s, service
):
    names = (f"{service}-1", f"{service}-2")
    statuses = await answers_around_silence(silence_s, names)
    assert statuses == [200] * round(LOAD_S / PERIOD_S)


async def test_no_request_waits_for_workers_that_are_excluded_for_most_of_its_time():
    async with deployment() as world:
        for name in ("encode-1", "encode-2"):
            world.platform.workers[name].faults.turn_away = "1.5"
        answers = {}

        async def call(name: str) -> None:
            start_s = trio.current_time()
            answer = await world.caller().request(
                "POST",
                "/staged/1",
                b"{}",
                Attempt_Id=name,
                Chunk_Count="8,8",
                Chunk_Key="k",
            )
            answers[name] = (answer.status, trio.current_time() - start_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "first")
            await trio.sleep(0.3)
            await call("second")
        status, elapsed_s = answers["second"]
        assert status == 503
        assert elapsed_s < 0.5
