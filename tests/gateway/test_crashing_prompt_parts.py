"""Requests that share a prompt part which crashes workers are refused everywhere."""

import json

import trio

from .support import deployment

SOUND_PART = "5c1e07a2:800"
CRASHING_PART = "91bd3f06:410"
MAX_SENDS_AFTER_FIFTH_CRASH = 3


async def request(world, number: int, attempt: str, crashing: bool, own: str):
    """Request a stream; no two requests have the same path, body or last part."""
    parts = [SOUND_PART, *([CRASHING_PART] if crashing else []), f"{own}:250"]
    caller = world.caller(number % len(world.gateways))
    try:
        return await caller.request(
            "POST",
            f"/mail/{attempt}",
            attempt.encode(),
            Attempt_Id=attempt,
            Prompt_Prefix=",".join(parts),
        )
    finally:
        await caller.aclose()


def runs_with_part(world, since_s: float) -> list:
    return [
        run
        for run in world.platform.run_log.runs
        if CRASHING_PART in run.headers.get("prompt-prefix", "")
        and run.started_s >= since_s
    ]


async def crash_workers(world, crashes: int) -> None:
    """Send requests with the crashing part until workers have crashed so often."""
    world.platform.crashing_parts = {CRASHING_PART.partition(":")[0]}
    for number in range(4 * crashes):
        await request(world, number, f"c{number}", True, f"aa{number}")
        await trio.sleep(0.2)
        if len(world.platform.crashes) >= crashes:
            return


async def test_requests_that_share_a_crashing_prompt_part_stop_reaching_workers():
    async with deployment(gateways=2) as world:
        for number in range(3, 7):
            await world.platform.add_worker(f"model-{number}", "model", kind="stream")
        await crash_workers(world, 5)
        since_s = trio.current_time()
        for number in range(12):
            answer = await request(world, number, f"d{number}", True, f"bb{number}")
            if not runs_with_part(world, since_s):
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0
            await trio.sleep(0.1)
        assert len(runs_with_part(world, since_s)) <= MAX_SENDS_AFTER_FIFTH_CRASH


async def test_sound_requests_are_served_beside_a_crashing_prompt_part():
    async with deployment(gateways=2) as world:
        for number in range(3, 7):
            await world.platform.add_worker(f"model-{number}", "model", kind="stream")
        for number in range(4):
            await request(world, number, f"a{number}", False, f"cc{number}")
        await crash_workers(world, 5)
        await trio.sleep(0.5)
        answers = [
            await request(world, number, f"e{number}", False, f"dd{number}")
            for number in range(10)
        ]
        assert [answer.status for answer in answers] == [200] * 10
        assert all(answer.complete for answer in answers)


async def test_the_log_names_the_prompt_parts_under_which_a_worker_crashed(capfd):
    lines = []

    def crashed() -> list[dict]:
        lines.extend(map(json.loads, capfd.readouterr().out.splitlines()))
        return [x for x in lines if x["event"] == "worker_crashed_under_request"]

    async with deployment() as world:
        await crash_workers(world, 1)
        await world.until(crashed)
        line = crashed()[0]
        assert line["parts"] == ["5c1e07a2", "91bd3f06"]
        assert line["last_event"] is None


async def test_an_instance_that_starts_later_learns_of_crashing_prompt_parts():
    async with deployment() as world:
        for number in range(3, 5):
            await world.platform.add_worker(f"model-{number}", "model", kind="stream")
        for number in range(2):
            await request(world, 0, f"a{number}", False, f"cc{number}")
        await crash_workers(world, 2)
        later = await world.add_gateway()
        await world.until(lambda: len(later.catalogue.workers) >= 8)
        await world.until(lambda: later.quarantine.crashes_digest != 0)
        since_s = trio.current_time()
        answer = await request(world, 1, "b1", True, "bb1")
        assert answer.status == 503
        assert runs_with_part(world, since_s) == []
