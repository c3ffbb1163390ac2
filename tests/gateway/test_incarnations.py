"""A stream's version is that of the incarnation that a connection leads to."""

import pytest
import trio

from acaciapier.gateway.models import ServiceName

from .support import deployment
from .test_broken_streams import EVENTS

MODEL = ServiceName("model")


async def add_models(world, count: int) -> None:
    """Add workers of the model service until there are `count`."""
    for number in range(3, count + 1):
        await world.platform.add_worker(f"model-{number}", "model", kind="stream")
    catalogue = world.gateways[0].catalogue
    await world.until(lambda: len(catalogue.workers_of(MODEL)) == count)


async def begin_stream(world, attempt: str = "a1"):
    """Begin a stream; return its caller and the name of its worker."""
    for worker in world.platform.workers.values():
        worker.faults.pause_s = 0.4
    caller = world.caller()
    await caller.send("POST", "/mail/1", b"{}", Attempt_Id=attempt)
    await world.until(lambda: world.platform.run_log.runs_of(attempt))
    await trio.sleep(0.1)
    return caller, world.platform.run_log.runs_of(attempt)[0].worker


async def restart_others(world, first: str, spared: int = 0) -> list[str]:
    """Restart the model workers but `first` and `spared` others; return their names."""
    others = [
        name
        for name in sorted(world.platform.workers)
        if name.startswith("model-") and name != first
    ]
    restarted = others[: len(others) - spared]
    for name in restarted:
        await world.platform.restart(name)
    return restarted


def incarnations(world, attempt: str = "a1") -> list[tuple[str, int]]:
    return [
        (run.worker, run.started_ms) for run in world.platform.run_log.runs_of(attempt)
    ]


async def test_a_stream_is_not_resumed_at_a_worker_that_restarted_with_other_software():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        await restart_others(world, first)
        world.platform.crash(first)
        answer = await caller.receive()
        assert [worker for worker, _ in incarnations(world)] == [first]
        assert not answer.complete
        assert EVENTS.startswith(answer.body)


async def test_a_stream_is_resumed_at_the_worker_that_did_not_restart():
    async with deployment() as world:
        await add_models(world, 4)
        caller, first = await begin_stream(world)
        restarted = await restart_others(world, first, spared=1)
        world.platform.crash(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        workers = [worker for worker, _ in incarnations(world)]
        assert len(workers) == 2
        assert not set(workers) & set(restarted)


async def test_a_pooled_connection_to_a_restarted_worker_does_not_resume_a_stream():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        (other,) = await restart_others(world, first)
        while not world.platform.workers[other].requests:
            attempt = f"other-{trio.current_time()}"
            await world.caller().request("POST", "/chat/1", b"{}", Attempt_Id=attempt)
        world.platform.crash(first)
        answer = await caller.receive()
        assert [worker for worker, _ in incarnations(world)] == [first]
        assert not answer.complete


async def test_a_stream_that_begins_at_a_restarted_worker_is_not_joined_to_others():
    async with deployment() as world:
        world.platform.register("model-1", version="v1")
        world.platform.register("model-2", version="v2")
        await add_models(world, 4)
        catalogue = world.gateways[0].catalogue
        await world.until(
            lambda: (
                {worker.software_version for worker in catalogue.workers_of(MODEL)}
                == {"v1", "v2"}
            )
        )
        started = {}
        for number in (1, 2):
            name = f"model-{number}"
            started[name] = world.platform.workers[name].started_ms
            await world.platform.restart(name)
        answers = []

        async def request(number: int) -> None:
            caller = world.caller()
            await caller.send("POST", "/mail/1", b"{}", Attempt_Id=f"b{number}")
            answers.append(await caller.receive())

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(request, number)
        assert all(answer.complete for answer in answers)
        assert not [run for run in world.platform.run_log.runs if run.worker in started]


@pytest.mark.parametrize("restarts", [1, 2])
async def test_a_restarted_worker_serves_again_as_soon_as_its_entry_changes(restarts):
    async with deployment() as world:
        caller, first = await begin_stream(world)
        for _ in range(restarts):
            (other,) = await restart_others(world, first)
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        started_ms = world.platform.workers[other].started_ms
        world.platform.register(other, version="v2", born=started_ms)
        world.platform.deregister(first)
        catalogue = world.gateways[0].catalogue
        await world.until(
            lambda: (
                [worker.started_ms for worker in catalogue.workers_of(MODEL)]
                == [started_ms]
            )
        )
        answer = await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id="a2")
        assert answer.complete
        assert incarnations(world, "a2") == [(other, started_ms)]
