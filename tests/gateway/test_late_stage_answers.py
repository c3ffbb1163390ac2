"""A stage worker's answer that is sent twice, the second time within a later call."""

from contextlib import asynccontextmanager

import trio

from acaciapier.gateway.models import AttemptId, Piece
from acaciapier.gateway.stage_client import MAX_ANSWERS

from .support import deployment


async def test_a_second_copy_of_a_stage_answer_is_not_taken_for_the_next_one():
    async with deployment() as world:
        for name in ("encode-1", "encode-2"):
            world.platform.workers[name].faults.repeats_answers = True
        answers, callers = [], [world.caller() for _ in range(3)]

        async def call(number: int) -> None:
            for serial in range(15):
                answers.append(
                    await callers[number].request(
                        "POST",
                        "/staged/1",
                        b"{}",
                        Attempt_Id=f"a{number}-{serial}",
                        Chunk_Count="2,2",
                        Chunk_Key="k",
                    )
                )

        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(call, number)
        assert world.platform.run_log.mixed_inputs == 0
        assert {answer.status for answer in answers} == {200}


async def test_a_second_copy_of_a_failed_stage_answer_is_not_taken_for_the_next_one():
    """Requests ran with inputs of others: without a handle it was not recognised."""
    async with deployment() as world:
        platform_worker = world.platform.workers["encode-1"]
        faults, platform_worker._gap_s = platform_worker.faults, 0.1
        faults.repeats_answers = faults.repeats_early = True
        gateway = world.gateways[0]
        worker = gateway.catalogue.workers["encode-1"]

        async def run(attempt: str):
            piece = Piece(AttemptId(attempt), 0, 0, "k", ())
            client = gateway.dispatcher.stages.client
            (result,) = await client.run(worker, [(piece, 900.0)], 900.0, lambda: None)
            return result.handle

        faults.fails_each = 1
        assert await run("a1") is None
        faults.fails_each = None
        for attempt in ("a2", "a3", "a4"):
            handle = await run(attempt)
            assert world.platform._results[handle] == attempt


async def test_an_answer_that_cannot_be_the_calls_own_closes_its_connection():
    async with deployment() as world:
        worker = world.platform.workers["encode-1"]
        for name in ("encode-1", "encode-2"):
            world.platform.workers[name].faults.stray_stage_answer = True
        for serial in range(6):
            await world.caller().request(
                "POST",
                "/staged/1",
                b"{}",
                Attempt_Id=f"a{serial}",
                Chunk_Count="1,1",
                Chunk_Key="k",
            )
        assert worker.requests
        assert world.platform.run_log.mixed_inputs == 0


@asynccontextmanager
async def copying_stage_worker():
    """Provide a function that calls a stage worker which sends each answer twice.

    The second copies come when the next call on the connection arrives. The function
    returns the results of an attempt's pieces.
    """
    async with deployment() as world:
        platform_worker = world.platform.workers["encode-1"]
        faults = platform_worker.faults
        faults.repeats_answers = faults.repeats_early = True
        platform_worker._gap_s = 0.0
        client = world.gateways[0].dispatcher.stages.client

        async def run(attempt: str, count: int = 1, name: str = "encode-1"):
            worker = world.gateways[0].catalogue.workers[name]
            pieces = [
                (Piece(AttemptId(attempt), 0, number, "k", ()), 900.0)
                for number in range(count)
            ]
            results = await client.run(worker, pieces, 900.0, lambda: None)
            owners = {world.platform._results[result.handle] for result in results}
            assert owners == {attempt}

        run.world = world
        yield run


async def test_a_second_copy_is_recognised_whatever_came_over_other_connections():
    """Requests got the inputs of others: only the last results were remembered."""
    async with copying_stage_worker() as run:
        await run("a1", 2)
        for number in range(3):
            await run(f"b{number}", 4_000, "encode-2")
        await run("a2", 2)


async def test_a_connection_is_closed_before_copies_are_not_recognised():
    """Guards against memory that grows with the age of a connection."""
    async with copying_stage_worker() as run:
        opened = run.world.gateways[0].relay._workers._connections
        await run("a0")
        before = opened.opened
        for number in range(1, 2 * MAX_ANSWERS):
            await run(f"a{number}")
        assert opened.opened - before == 1
