"""Slow but sound answers go on; stalled ones end, though a byte comes now and then."""

import trio

from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.models import ServiceName, ServiceRule

from .support import deployment
from .test_instance_state import worker

EVENTS = b"".join(f"id: {n}\ndata: a1 {n}\n\n".encode() for n in range(1, 5))


async def leave_one(world, service: str) -> None:
    """Let all workers of a service but the first one drain."""
    world.platform.register(f"{service}-2", state="draining")
    catalogue = world.gateways[0].catalogue
    await world.until(lambda: len(catalogue.workers_of(ServiceName(service))) == 1)


async def request(world, route: str):
    return await world.caller().request("POST", f"/{route}/1", b"{}", Attempt_Id="a1")


async def test_a_slow_stream_goes_on_if_no_other_worker_can_take_it_over():
    async with deployment() as world:
        await leave_one(world, "model")
        world.platform.workers["model-1"].faults.pause_s = 1.3
        answer = await request(world, "mail")
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_a_slow_stream_goes_on_while_the_retry_budget_is_used_up():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.pause_s = 1.3
        budget = world.gateways[0].dispatcher.budgets.of("model")
        budget.spend = lambda now_s, is_hedge=False: False
        answer = await request(world, "mail")
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_a_slow_plain_answer_arrives_if_no_other_worker_can_take_it_over():
    async with deployment() as world:
        await leave_one(world, "book")
        world.platform.workers["book-1"].faults.delay_s = 1.2
        answer = await request(world, "lookup")
        assert (answer.status, answer.body) == (200, b"book-1 did a1")
        assert len(world.platform.run_log.runs_of("a1")) == 1


async def test_a_stalled_stream_that_sends_a_byte_now_and_then_is_taken_over():
    async with deployment() as world:
        workers = [world.platform.workers[f"model-{n}"] for n in (1, 2)]
        for stalled in workers:
            stalled.faults.drip_after = 1
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs)
        for other in workers:
            if other.name != world.platform.run_log.runs[0].worker:
                other.faults.drip_after = None
        start_s = trio.current_time()
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert trio.current_time() - start_s < 1.6


async def test_a_stalled_stream_that_nobody_takes_over_ends_at_its_deadline():
    async with deployment() as world:
        await leave_one(world, "model")
        world.platform.workers["model-1"].faults.drip_after = 1
        start_s = trio.current_time()
        answer = await request(world, "mail")
        assert not answer.complete
        assert EVENTS.startswith(answer.body)
        assert trio.current_time() - start_s < 2.3
        with trio.fail_after(1.0):
            while any(run.ended_s is None for run in world.platform.run_log.runs):
                await trio.sleep(0.01)


async def test_a_silent_worker_whose_request_nobody_takes_over_costs_no_retries():
    async with deployment() as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 1.9
        dispatcher = world.gateways[0].dispatcher
        asked = []

        async def refuse(allocator, service, request):
            asked.append((request.only_untried, len(request.avoid)))
            return (
                None
                if request.only_untried
                else await wait(allocator, service, request)
            )

        wait, dispatcher._wait_for_slot = dispatcher._wait_for_slot, refuse
        assert (await request(world, "lookup")).status == 200
        assert asked[0] == (False, 0)
        assert set(asked[1:]) == {(True, 1)}
        assert not dispatcher.budgets.of("book")._retries


def test_a_worker_that_has_the_request_is_not_granted_as_its_replacement():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 10))
    workers = [worker("w1"), worker("w2")]
    tried = frozenset({"w1", "w2"})
    allocator.add(SlotRequest("p1", "i", 9.0, 9.0, avoid=tried, only_untried=True))
    allocator.add(SlotRequest("p2", "i", 9.0, 9.0, avoid=tried))
    granted = [given.permit for given, _ in allocator.assign(workers, 0.0)]
    assert granted == ["p2"]
