"""Streams that callers take up after all gateway processes were killed at once."""

import signal

import pytest
import trio

from .gateway_processes import gateway_processes
from .test_release_out_of_step import (
    JOINING,
    MODELS,
    begin_stream,
    join_release,
    take_up,
)

GATEWAYS, STREAMS = 3, 12
SETTLE_S = 3.0


async def take_up_after_kill(
    folder, first_start: bool = True, release: str = ""
) -> tuple[dict[str, str], dict[str, str]]:
    """Begin streams, kill all gateways, start them again and take the streams up.

    Parameters
    ----------
    folder : Path
        Where settings and logs are.
    first_start : bool
        Whether the settings say that the whole system starts for the first time.
    release : str
        ``replaced`` if workers of a new version replace the old ones before the kill,
        ``mixed`` if they serve beside them from before the streams begin, ``side by
        side`` if they do from the start, and the kill comes right after the streams
        began.

    Returns
    -------
    begun, gone_on : dict
        The worker that began each stream, and the one at which it went on.
    """
    begun: dict[str, str] = {}
    gone_on: dict[str, str] = {}
    joined = dict.fromkeys(JOINING, "v2") if release == "side by side" else {}
    async with gateway_processes(
        folder, GATEWAYS, first_start=first_start, joined=joined
    ) as world:
        for name in (*MODELS, *joined):
            world.platform.workers[name].faults.pause_s = 0.3
        await trio.sleep(SETTLE_S)
        if release == "mixed":
            await join_release(world, gone=False)
            await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                gateway = world.gateways[number % GATEWAYS]
                nursery.start_soon(
                    begin_stream, world, gateway, f"first-{number}", begun
                )
        if release == "replaced":
            await join_release(world, gone=True)
        if release and not joined:
            await trio.sleep(1.0)
        for gateway in world.gateways:
            gateway.send_signal(signal.SIGKILL)
        for gateway in world.gateways:
            gateway.end()
        for gateway in world.gateways:
            gateway.start(world.settings_text(gateway))
        for gateway in world.gateways:
            await gateway.wait_ready()
        await trio.sleep(SETTLE_S)
        async with trio.open_nursery() as nursery:
            for number, first in enumerate(begun):
                gateway = world.gateways[(number + 1) % GATEWAYS]
                nursery.start_soon(take_up, world, gateway, first, gone_on)
    return begun, gone_on


async def test_streams_go_on_after_all_instances_were_killed(tmp_path):
    """Guards against refusing all streams for a minute, with one version in service."""
    begun, gone_on = await take_up_after_kill(tmp_path)
    assert len(begun) == STREAMS
    assert len(gone_on) == STREAMS


async def test_streams_go_on_after_a_kill_while_two_versions_serve(tmp_path):
    """Guards against losing which version began a stream when all are killed."""
    begun, gone_on = await take_up_after_kill(tmp_path, release="mixed")
    assert len(begun) == STREAMS
    assert len(gone_on) == STREAMS
    for first, worker in gone_on.items():
        assert (worker in MODELS) == (begun[first] in MODELS)


async def test_streams_that_began_just_before_a_kill_go_on(tmp_path):
    """Guards against relying on records that are written after the first event."""
    begun, gone_on = await take_up_after_kill(tmp_path, release="side by side")
    assert len(begun) == STREAMS
    assert len(gone_on) == STREAMS
    for first, worker in gone_on.items():
        assert (worker in MODELS) == (begun[first] in MODELS)


@pytest.mark.parametrize("first_start", [True, False])
async def test_no_stream_goes_on_at_a_version_that_replaced_its_own(
    first_start, tmp_path
):
    """Guards against a version that is concluded from the workers left after a kill."""
    begun, gone_on = await take_up_after_kill(tmp_path, first_start, "replaced")
    assert len(begun) == STREAMS
    assert {worker for worker in begun.values()} <= set(MODELS)
    assert not {worker for worker in gone_on.values()} & set(JOINING)


async def test_no_version_is_concluded_if_streams_may_have_begun_before(tmp_path):
    """Guards against a conclusion by instances that know nothing of earlier ones."""
    begun, gone_on = await take_up_after_kill(tmp_path, first_start=False)
    assert len(begun) == STREAMS
    assert not gone_on
