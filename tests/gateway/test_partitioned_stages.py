"""Requests with stages are served while the stages' dispatcher reaches no worker."""

import trio

from acaciapier.gateway import peers

from .partition_load import SERVICES, Load, check_shares, leader
from .support import deployment
from .worker_links import SILENT, WorkerLinks

GATEWAYS = 9
STABLE_S, MEASURED_S = 3.0, 3.0
"""Time after the cut from which the users' rule applies, and time measured then."""


async def run_staged(monkeypatch, cut_count: int, start_cut) -> None:
    """Send requests with stages; `start_cut(links, gateways, nursery)` cuts links."""
    # Gateways would hand over the stages when they have run for long enough.
    monkeypatch.setattr(peers, "STABLE_AFTER_MS", 0.0)
    links = WorkerLinks(monkeypatch)
    async with deployment(gateways=0) as world, trio.open_nursery() as nursery:
        await links.add_gateways(world, GATEWAYS)
        load = Load(world, "staged")
        before = await load.run(0.6)
        assert all(served == sent for served, sent in before)
        first = leader(world, SERVICES["staged"])
        cut = {(first + number) % GATEWAYS for number in range(cut_count)}
        start_cut(links, [world.gateways[number] for number in cut], nursery)
        await load.run(STABLE_S)
        counts = await load.run(MEASURED_S)
        nursery.cancel_scope.cancel()
        check_shares(counts, cut)


def cut_silently(links, gateways, nursery) -> None:
    for gateway in gateways:
        links.cut(gateway, SILENT)


async def test_stages_go_on_when_most_instances_are_cut_off_silently(monkeypatch):
    """Guards against a cut-off dispatcher that excludes all stage workers."""
    await run_staged(monkeypatch, GATEWAYS - 1, cut_silently)


def cut_each_second(links, gateways, nursery) -> None:
    nursery.start_soon(flap, links, gateways)


async def flap(links, gateways) -> None:
    """Cut links silently for every other second."""
    while True:
        cut_silently(links, gateways, None)
        await trio.sleep(1.0)
        for gateway in gateways:
            links.restore(gateway)
        await trio.sleep(1.0)


async def test_stages_go_on_when_the_links_of_their_dispatcher_come_and_go(monkeypatch):
    """Guards against a dispatcher that uses links again after each short return."""
    await run_staged(monkeypatch, 1, cut_each_second)


async def test_stages_go_on_when_the_links_of_most_instances_come_and_go(monkeypatch):
    """Guards against tunnels through instances whose own links come and go."""
    await run_staged(monkeypatch, GATEWAYS - 1, cut_each_second)
