"""Tests that the accounts agree with the books of the targets."""

from collections import defaultdict

import trio
from path_helpers import open_world

from acaciapier.accounts import read_costs
from acaciapier.core.clock import SystemClock, epoch_ms

MS_PER_HOUR = 3_600_000
TARGETS = ("encode-1", "encode-2", "retrieve-1", "generate-1", "generate-2")


def spent_by_targets(world):
    """Return units and calls by stage, from the books of the targets."""
    spent = defaultdict(float)
    for name in TARGETS:
        for entry in world.book(name)["entries"]:
            spent[entry.stage, "calls"] += 1
            for unit, amount in entry.units.items():
                spent[entry.stage, unit] += amount
    return dict(spent)


async def booked_by_accounts(world):
    """Write all accounts, and return units and calls by stage."""
    for entry in world.entries:
        await entry._accounts.flush()
    hour = epoch_ms(SystemClock().now()) // MS_PER_HOUR
    table = await read_costs(world.entries[0].node.store, range(hour - 1, hour + 1))
    booked = defaultdict(float)
    for line in table.entries:
        booked[line.key.stage, "calls"] += line.total.calls
        for unit, amount in line.total.units.items():
            booked[line.key.stage, unit] += amount
    return dict(booked)


async def send_some(world, count):
    async with world.session() as session, trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(session.run, "quote", {"text": f"order {number}"})


async def test_accounts_agree_with_the_books():
    async with open_world(2) as world:
        await send_some(world, 12)
        booked = await booked_by_accounts(world)
        assert booked == spent_by_targets(world)
    assert booked["draft", "generated_tokens"] == 12 * 40


async def test_failed_calls_are_booked_apart_and_agree_too():
    async with open_world(2) as world:
        world.standins["encode-1"].standin.faults.change({"fail": {"next": 2}})
        await send_some(world, 8)
        assert await booked_by_accounts(world) == spent_by_targets(world)
