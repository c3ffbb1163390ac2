"""Roll-outs over many engines: limits, dead and late holders, a store outage."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from acaciapier.core.clock import TrioClock
from acaciapier.engines import ControlLimits, EngineController

from .fakes import MemoryEngine, MemoryEngines, MemoryStore, Wish, holder

LIMITS = ControlLimits(poll_ms=1_000, max_loads=4, pool_share_percent=25.0)


def build(name, store, engines, wish, seed=0, limits=LIMITS):
    return EngineController(
        store, wish, engines, TrioClock(), Random(seed), holder(name), limits
    )


@asynccontextmanager
async def running(*controllers):
    async with trio.open_nursery() as nursery:
        for one in controllers:
            nursery.start_soon(one.run)
        yield nursery
        nursery.cancel_scope.cancel()


async def reach(engines, version, limit_s=600, most_loading=None):
    """Wait until all engines run `version`; returns the most that loaded at once."""
    most = 0
    with trio.fail_after(limit_s):
        while True:
            states = [one.present() for one in engines]
            most = max(most, sum(state.loading for state in states))
            if all(s.model_version == version and not s.loading for s in states):
                return most
            await trio.sleep(0.1)


@pytest.mark.parametrize("seed", range(5))
async def test_roll_out_keeps_the_share_in_service(autojump_clock, seed):
    source = Random(seed)
    engines = [MemoryEngine(f"e{n}", source.uniform(2, 20)) for n in range(12)]
    store, wish = MemoryStore(), Wish()
    names = ["a.1", "b.1", "c.1"]
    fleet = MemoryEngines(engines, names)
    three = [build(n[0], store, fleet, wish, seed) for n in names]
    async with running(*three):
        assert await reach(engines, "2") <= 3
    assert [one.loads for one in engines] == [1] * 12


async def test_new_configuration_during_a_load_wins(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    wish = Wish()
    fleet = MemoryEngines(engines)
    async with running(build("a", MemoryStore(), fleet, wish)):
        await trio.sleep(3)
        wish.change("3", 3)
        await reach(engines, "3")


async def test_outdated_holder_never_reverts(autojump_clock):
    engines = [MemoryEngine("e1", checks=False)]
    store = MemoryStore()
    fleet = MemoryEngines(engines)
    async with running(build("a", store, fleet, Wish("3", 3))):
        await reach(engines, "3")
    async with running(build("b", store, fleet, Wish("2", 2))):
        await trio.sleep(120)
    assert engines[0].state.model_version == "3"


async def test_another_holder_finishes_what_a_dead_one_began(autojump_clock):
    engines = [MemoryEngine("e1", load_s=30), MemoryEngine("e2")]
    store, wish = MemoryStore(), Wish()
    first = build("a", store, MemoryEngines(engines), wish)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        while not engines[0].loads:
            await trio.sleep(0.1)
        store.down = True  # a killed process gives nothing back
        nursery.cancel_scope.cancel()
    store.down = False
    async with running(build("b", store, MemoryEngines(engines), wish)):
        assert await reach(engines, "2", limit_s=60) == 1
        await trio.sleep(5)
    assert [one.loads for one in engines] == [1, 1]
    permits = store.table.get("load-allowances", "weight-store").value
    assert bytes(permits) == b'{"permits":[]}'


@pytest.mark.parametrize("checks", [True, False])
async def test_late_holder_is_fenced_or_corrected(autojump_clock, checks):
    engines = [MemoryEngine("e1", checks=checks)]
    store = MemoryStore()
    slow, fast = MemoryEngines(engines), MemoryEngines(engines)
    slow.pause = trio.Event()
    late = build("a", store, slow, Wish("2", 2))
    async with running(late):
        await trio.sleep(5)  # it holds the lease, and its order is on the way
        async with running(build("b", store, fast, Wish("3", 3))):
            await reach(engines, "3")
            slow.pause.set()
            await trio.sleep(0.01)
            assert engines[0].state.model_version == ("3" if checks else "2")
            await reach(engines, "3")
            assert engines[0].loads == (1 if checks else 3)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
async def test_lost_answers_and_an_outage_of_the_store(autojump_clock, lost):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    store = MemoryStore()
    async with running(build("a", store, MemoryEngines(engines), Wish())):
        store.lose_next = lost
        await trio.sleep(4)
        store.down = True
        await trio.sleep(60)
        store.down = False
        assert await reach(engines, "2") <= 1
    assert [one.loads for one in engines] == [1] * 4


async def test_engines_out_of_service_are_loaded_beyond_the_share(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    engines[0].reachable = engines[1].reachable = False
    async with running(build("a", MemoryStore(), MemoryEngines(engines), Wish())):
        await trio.sleep(60)
        assert [one.loads for one in engines] == [0] * 4
        engines[0].reachable = engines[1].reachable = True
        await reach(engines, "2")


async def test_each_engine_is_asked_by_few_holders(autojump_clock):
    names = [f"c{n}.1" for n in range(20)]
    engines = [MemoryEngine(f"e{n}") for n in range(40)]
    fleet = MemoryEngines(engines, names)
    wish = Wish("1", 1)
    controllers = [build(n[:-2], MemoryStore(), fleet, wish) for n in names]
    async with running(*controllers):
        await trio.sleep(100)
    per_engine_s = fleet.reads / len(engines) / 100
    assert 1 <= per_engine_s <= 2, "one first holder, and two others seldom"


async def test_next_holder_acts_for_one_that_is_listed_but_dead(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    fleet = MemoryEngines(engines, ["a.1", "dead.1"])
    async with running(build("a", MemoryStore(), fleet, Wish())):
        await reach(engines, "2")
