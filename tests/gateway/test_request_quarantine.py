"""Quarantine of requests that crash the workers that run them."""

import trio

from .support import deployment


async def send_and_crash_worker(world, caller, attempt: str, body: bytes):
    """Send a request, crash the worker that runs it, and return the response."""
    for number in (1, 2, 3, 4):
        worker = world.platform.workers.get(f"book-{number}")
        if worker is not None:
            worker.faults.mute = True
    await caller.send("POST", "/confirm/1", body, Attempt_Id=attempt)
    await world.until(lambda: world.platform.run_log.runs_of(attempt))
    name = world.platform.run_log.runs_of(attempt)[0].worker
    world.platform.crash(name)
    answer = await caller.receive()
    world.platform.store.delete("servers", name)
    await trio.sleep(0.2)
    for worker in world.platform.workers.values():
        worker.faults.mute = False
    return answer


async def test_a_request_that_crashed_two_workers_is_blocked_everywhere():
    async with deployment(gateways=2) as world:
        for number in (3, 4):
            await world.platform.add_worker(f"book-{number}", "book")
        first = await send_and_crash_worker(world, world.caller(0), "a1", b"poison")
        second = await send_and_crash_worker(world, world.caller(1), "a2", b"poison")
        assert (first.status, second.status) == (502, 502)
        for number in (0, 1):
            attempt = f"b{number}"
            answer = await world.caller(number).request(
                "POST", "/confirm/1", b"poison", Attempt_Id=attempt
            )
            assert answer.status == 503
            assert not world.platform.run_log.runs_of(attempt)


async def test_other_requests_are_served_while_one_is_blocked():
    async with deployment() as world:
        for number in (3, 4):
            await world.platform.add_worker(f"book-{number}", "book")
        await send_and_crash_worker(world, world.caller(), "a1", b"poison")
        await send_and_crash_worker(world, world.caller(), "a2", b"poison")
        answer = await world.caller().request(
            "POST", "/confirm/1", b"harmless", Attempt_Id="a3"
        )
        assert answer.status == 200


async def test_a_connection_reset_by_a_live_worker_is_not_a_crash():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.cut_after = 0
        for number in range(4):
            answer = await world.caller().request(
                "POST", "/confirm/1", b"same", Attempt_Id=f"a{number}"
            )
            assert answer.status == 502
            await trio.sleep(0.15)
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.cut_after = None
        answer = await world.caller().request(
            "POST", "/confirm/1", b"same", Attempt_Id="a9"
        )
        assert answer.status == 200


async def test_an_instance_that_starts_later_blocks_a_request_that_crashed_workers():
    """Each restarted instance let the request crash two more workers."""
    async with deployment(gateways=2) as world:
        for number in (3, 4):
            await world.platform.add_worker(f"book-{number}", "book")
        await send_and_crash_worker(world, world.caller(0), "a1", b"poison")
        await send_and_crash_worker(world, world.caller(1), "a2", b"poison")
        late = await world.add_gateway()
        await world.until(lambda: late.peers.live_count == 3)
        await trio.sleep(2.0)
        answer = await world.caller(2).request(
            "POST", "/confirm/1", b"poison", Attempt_Id="b1"
        )
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("b1")
