"""All workers of all services are silent for a while at once and go on."""

import json

import pytest
import trio

from .support import deployment


@pytest.mark.parametrize("silence_s", [0.9, 1.3, 1.6])
@pytest.mark.parametrize("route", ["lookup", "mail"])
async def test_no_worker_is_excluded_for_a_silence_of_all(route, silence_s, capfd):
    async with deployment() as world:
        await world.caller().request("POST", f"/{route}/1", b"{}", Attempt_Id="first")
        over = trio.Event()
        for worker in world.platform.workers.values():
            worker.faults.silence = over
        answers = []

        async def call(number: int) -> None:
            answer = await world.caller().request(
                "POST", f"/{route}/1", b"{}", Attempt_Id=f"a{number}"
            )
            answers.append((answer.status, answer.complete))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
            await trio.sleep(silence_s)
            over.set()
        assert answers == [(200, True)] * 6
        output = capfd.readouterr().out
        assert "worker_excluded" not in output


async def test_a_worker_that_is_silent_alone_is_excluded(capfd):
    lines = []

    def excluded() -> set[str]:
        lines.extend(map(json.loads, capfd.readouterr().out.splitlines()))
        return {
            line["worker"].partition("/")[0]
            for line in lines
            if line["event"] == "worker_excluded"
        }

    async with deployment() as world:
        for name in ("model-1", "model-2"):
            world.platform.workers[name].faults.delay_s = 0.05
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        first = world.platform.run_log.runs[0].worker
        world.platform.workers[first].faults.silence = trio.Event()
        answer = await caller.receive()
        assert (answer.status, answer.complete) == (200, True)
        await world.until(excluded)
        assert excluded() == {first}
