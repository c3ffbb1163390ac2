"""Tests that the accounts match the calls that the targets recorded."""

from collections import defaultdict

import trio
from path_helpers import open_deployment

from acaciapier.accounts import read_costs
from acaciapier.core.clock import SystemClock, epoch_ms

MS_PER_HOUR = 3_600_000
TARGETS = ("encode-1", "encode-2", "retrieve-1", "generate-1", "generate-2")


def reported_usage(deployment):
    """Return units and calls by stage, as recorded by the targets."""
    reported = defaultdict(float)
    for name in TARGETS:
        for entry in deployment.standin_report(name)["entries"]:
            reported[entry.stage, "calls"] += 1
            for unit, amount in entry.units.items():
                reported[entry.stage, unit] += amount
    return dict(reported)


async def accounted_usage(deployment):
    """Flush all accounts and return units and calls by stage."""
    for entry in deployment.entries:
        await entry._accounts.flush()
    hour = epoch_ms(SystemClock().now()) // MS_PER_HOUR
    table = await read_costs(
        deployment.entries[0].node.store, range(hour - 1, hour + 1)
    )
    recorded = defaultdict(float)
    for line in table.entries:
        recorded[line.key.stage, "calls"] += line.total.calls
        for unit, amount in line.total.units.items():
            recorded[line.key.stage, unit] += amount
    return dict(recorded)


async def send_requests(deployment, count):
    async with deployment.session() as session, trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(session.run, "quote", {"text": f"order {number}"})


async def test_accounts_match_the_records_of_the_targets():
    async with open_deployment(2) as deployment:
        await send_requests(deployment, 12)
        recorded = await accounted_usage(deployment)
        assert recorded == reported_usage(deployment)
    assert recorded["draft", "generated_tokens"] == 12 * 40


async def test_failed_calls_are_included_in_the_accounts():
    async with open_deployment(2) as deployment:
        deployment.standins["encode-1"].standin.faults.change({"fail": {"next": 2}})
        await send_requests(deployment, 8)
        assert await accounted_usage(deployment) == reported_usage(deployment)
