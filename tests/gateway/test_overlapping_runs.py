"""A stream that goes on at a second worker is left at its silent one soon after."""

import pytest
import trio

from .support import deployment
from .test_resumed_elsewhere import configure, mail
from .test_silent_workers import EVENTS

MAX_OVERLAP_S = 0.4
"""The users' rule TWICE."""

MODELS = ("model-1", "model-2", "model-3")
FIRST_EVENT_S = 0.6
"""Time that the other workers take to their first event."""


async def keep_streaming(world, number: int) -> None:
    """Request one stream after another."""
    serial = 0
    while True:
        serial += 1
        caller = world.caller()
        attempt = f"other-{number}-{serial}"
        await caller.request("POST", "/mail/1", b"{}", Attempt_Id=attempt)
        await caller.aclose()


async def play_silence(
    world, silence_s: float, callers: int, second: dict, timeout_ms: float = 6_000
):
    """Let the worker of a stream be silent while others serve further streams.

    Parameters
    ----------
    world : Deployment
        The deployment.
    silence_s : float
        Time for which the worker is silent.
    callers : int
        Callers that request further streams all the while.
    second : dict
        Faults of the other workers by name.
    timeout_ms : float, optional
        Timeout of the route.

    Returns
    -------
    Answer
        What the caller of the stream got.
    """
    await world.platform.add_worker("model-3", "model", kind="stream")
    (gateway,) = world.gateways
    await configure(world, 2, mail("model", timeout_ms=timeout_ms))
    await world.until(lambda: len(gateway.catalogue.workers) == 9)
    for name in MODELS:
        world.platform.workers[name].faults.pause_s = 0.1
    caller = world.caller()
    await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
    await world.until(lambda: world.platform.run_log.runs)
    first = world.platform.run_log.runs[0].worker
    await world.until(lambda: world.platform.run_log.runs[0].events)
    silence = world.platform.workers[first].faults.silence = trio.Event()
    for name in {*MODELS} - {first}:
        world.platform.workers[name].faults.delay_s = FIRST_EVENT_S
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(keep_streaming, world, number)
            await trio.sleep(0.07)
        for fault, value in second.items():
            for name in {*MODELS} - {first}:
                setattr(world.platform.workers[name].faults, fault, value)

        async def end_silence() -> None:
            await trio.sleep(silence_s - 0.07 * callers)
            silence.set()

        nursery.start_soon(end_silence)
        answer = await caller.receive()
        await world.until(
            lambda: all(run.ended_s for run in world.platform.run_log.runs_of("a1"))
        )
        nursery.cancel_scope.cancel()
    return answer


@pytest.mark.parametrize("silence_s", [1.6, 2.5, 4.0])
async def test_a_stream_that_goes_on_elsewhere_does_not_run_at_two_workers(silence_s):
    """Guards against keeping a silent worker while another one computes the rest."""
    async with deployment() as world:
        answer = await play_silence(world, silence_s, 8, {})
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
        first, second = world.platform.run_log.runs_of("a1")
        assert second.complete
        assert first.ended_s - second.started_s < MAX_OVERLAP_S


@pytest.mark.parametrize("second", [{"not_run": True}, {"cut_after": 0}])
async def test_a_stream_stays_at_its_silent_worker_if_the_other_one_fails(second):
    async with deployment() as world:
        answer = await play_silence(world, 1.6, 8, second | {"delay_s": 0.1})
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


async def test_a_stream_stays_at_its_silent_worker_if_no_other_one_is_known_to_work():
    """Guards against leaving a sound worker in a silence of all of them."""
    async with deployment() as world:
        answer = await play_silence(world, 1.6, 0, {"delay_s": 2.0}, 2_200)
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
        first, _ = world.platform.run_log.runs_of("a1")
        assert first.complete
