"""Instances that have lost their links to workers serve their callers all the same."""

import pytest

from .partition_load import REQUESTS, SERVICES, Load, check_shares, leader
from .support import deployment
from .worker_links import REFUSED, SILENT, WorkerLinks

STABLE_S = 3.0
"""Time after the cut from which the users' rule applies."""

MEASURED_S = 3.0


@pytest.mark.parametrize("how", [REFUSED, SILENT])
@pytest.mark.parametrize("cut_count", [1, 3])
@pytest.mark.parametrize("kind", list(REQUESTS))
async def test_first_tries_at_instances_without_links_to_workers_are_served(
    monkeypatch, kind, cut_count, how
):
    links = WorkerLinks(monkeypatch)
    async with deployment(gateways=0) as world:
        await links.add_gateways(world, 4)
        load = Load(world, kind)
        before = await load.run(0.6)
        assert all(served == sent for served, sent in before)
        first = leader(world, SERVICES[kind])
        cut = {(first + number) % 4 for number in range(cut_count)}
        for number in cut:
            links.cut(world.gateways[number], how)
        await load.run(STABLE_S)
        counts = await load.run(MEASURED_S)
        check_shares(counts, cut)
