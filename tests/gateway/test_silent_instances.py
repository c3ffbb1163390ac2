"""Instances that are silent for a while: their work is neither given up nor forgotten."""

import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.refusal import CANCELLED
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.wire.messages.gateway import (
    EnterStages,
    StagesEntered,
    WorkRefused,
)

from .test_limit_pacing import make_client


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
