"""Instances that are silent for a while: their work is not given up or forgotten."""

import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.refusal import CANCELLED
from acaciapier.gateway.dispatch.slot_requests import RESTORED_SLOT_TTL_MS
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.wire.messages.gateway import (
    EnterStages,
    PermitEnded,
    StagesEntered,
    WorkRefused,
)

from .test_limit_pacing import OTHER, ask, make_client, make_dispatcher


def enter() -> EnterStages:
    return EnterStages("search", "a1", 0, 1, 500.0, 2_000.0, 300.0, 0, 0, "f")


async def test_a_request_that_waits_at_a_dispatcher_is_not_given_up_for_its_silence():
    async with trio.open_nursery() as nursery:
        answers = [WorkRefused(CANCELLED, 0.0), StagesEntered()]
        client, peers = make_client(
            nursery, ManualClock(), WorkerLimits(), lambda message: answers.pop(0)
        )
        await client.enter_stages(enter())
        assert [message.attempt for message in peers.questions] == ["a1", "a1"]
        assert not answers


async def test_a_dispatcher_counts_the_slots_of_an_instance_that_was_silent():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        allocator = dispatcher._allocator("book")
        for permit in ("p1", "p2", "p3"):
            await dispatcher.acquire(OTHER, ask(permit))
        dispatcher.remove_owner(OTHER)
        assert allocator.reserved == 0
        clock.advance(1.0)
        await dispatcher.permit_ended(OTHER, PermitEnded("book", "p1", "done", 50.0))
        dispatcher.restore_owner(OTHER, 60_000.0)
        assert allocator.reserved == 2
        await dispatcher.permit_ended(OTHER, PermitEnded("book", "p2", "done", 50.0))
        assert allocator.reserved == 1
        clock.advance(RESTORED_SLOT_TTL_MS / 1_000.0 + 0.1)
        await dispatcher.acquire(OTHER, ask("p4"))
        assert allocator.reserved == 1


async def test_a_dispatcher_forgets_the_slots_of_an_instance_that_started_again():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        await dispatcher.acquire(OTHER, ask("p1"))
        dispatcher.remove_owner(OTHER)
        clock.advance(2.0)
        dispatcher.restore_owner(OTHER, 1_500.0)
        assert dispatcher._allocator("book").reserved == 0
