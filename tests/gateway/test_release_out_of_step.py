"""Streams taken up at an instance that was out of step while a new version joined."""

import random
import signal
from contextlib import suppress

import h11
import pytest
import trio

from .gateway_processes import gateway_processes

STREAMS = 24
STILL_S = 3.0
KNOWN_S = 1.0
"""Time for which the instances know the first version before the release."""

MAX_TRIES, RETRY_S = 8, 0.3
MODELS = ("model-1", "model-2")
JOINING = ("model-3", "model-4", "model-5")


async def begin_stream(world, gateway, attempt: str, begun: dict[str, str]) -> None:
    """Receive the first event of a stream and leave; record the version it tells."""
    caller = gateway.caller()
    received = b""
    with trio.move_on_after(3.0), suppress(OSError, h11.RemoteProtocolError):
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id=attempt)
        while b"\n\n" not in received:
            event = await caller._next()
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                break
            received += getattr(event, "data", b"")
    if b"\n\n" in received:
        begun[attempt] = world.platform.run_log.runs_of(attempt)[-1].worker
    await caller.aclose()


async def take_up(world, gateway, first: str, outcomes: dict[str, str]) -> None:
    """Take a stream up until it goes on, as its caller does."""
    for number in range(MAX_TRIES):
        later = f"{first}-again-{number}"
        caller = gateway.caller()
        answer = await caller.request(
            "POST",
            "/mail/1",
            b"{}",
            Attempt_Id=later,
            Resumes=first,
            Last_Event_Id="1",
        )
        await caller.aclose()
        if answer.status == 200:
            outcomes[first] = world.platform.run_log.runs_of(later)[-1].worker
            return
        await trio.sleep(RETRY_S)


async def join_release(world, gone: bool) -> None:
    """Let workers of a new version join; those of the old one may leave."""
    for number, name in enumerate(JOINING):
        await trio.sleep(0.2)
        await world.platform.add_worker(name, "model", kind="stream", version="v2")
        world.platform.workers[name].faults.pause_s = 0.3
        if gone and number < len(MODELS):
            world.platform.crash(MODELS[number])
            world.platform.deregister(MODELS[number])


async def play_release(
    folder, seed: int, gateways: int = 3, gone: bool = False, killed: bool = False
) -> tuple[int, int, int]:
    """Return how many streams were taken up, went on, and went on at another version.

    The last gateway stands still while a new version joins. Streams begin at the other
    ones and are taken up at it as soon as it goes on.
    """
    source = random.Random(seed)
    begun: dict[str, str] = {}
    outcomes: dict[str, str] = {}
    async with gateway_processes(folder, gateways) as world:
        *others, late = world.gateways
        for name in MODELS:
            world.platform.workers[name].faults.pause_s = 0.3
        await trio.sleep(KNOWN_S)
        late.send_signal(signal.SIGSTOP)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(join_release, world, gone)
            await trio.sleep(0.7)
            for number in range(STREAMS):
                gateway = source.choice(others)
                attempt = f"first-{number}"
                nursery.start_soon(begin_stream, world, gateway, attempt, begun)
                await trio.sleep((STILL_S - 1.0) / STREAMS)
        if killed:
            others[0].send_signal(signal.SIGKILL)
        late.send_signal(signal.SIGCONT)
        async with trio.open_nursery() as nursery:
            for first in begun:
                nursery.start_soon(take_up, world, late, first, outcomes)
        versions = {
            name: "v2" if name in JOINING else "v1" for name in (*MODELS, *JOINING)
        }
    mixed = [
        first
        for first, worker in outcomes.items()
        if versions[worker] != versions[begun[first]]
    ]
    taken_up = [
        first
        for first, worker in begun.items()
        if not (gone and versions[worker] == "v1")
    ]
    gone_on = [first for first in taken_up if first in outcomes]
    return len(taken_up), len(gone_on), len(mixed)


CASES = [(3, False, False), (3, True, False), (3, False, True), (5, True, True)]


@pytest.mark.parametrize(("gateways", "gone", "killed"), CASES)
async def test_an_instance_out_of_step_resumes_streams_at_their_version(
    gateways, gone, killed, tmp_path
):
    """Streams that began on a new version went on at a worker of another one."""
    taken_up, gone_on, mixed = await play_release(tmp_path, 1, gateways, gone, killed)
    assert taken_up >= STREAMS // 4
    assert mixed == 0
    assert gone_on >= taken_up / 2
