"""Tests of roll-outs: limits, dead and delayed holders, and a store outage."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from acaciapier.core.clock import TrioClock
from acaciapier.engines import ControlLimits, EngineController

from .fakes import MemoryEngine, MemoryEngines, MemoryStore, WantedConfiguration, holder

LIMITS = ControlLimits(poll_ms=1_000, max_loads=4, pool_share_percent=25.0)


def build(name, store, engines, configuration, seed=0, limits=LIMITS):
    return EngineController(
        store, configuration, engines, TrioClock(), Random(seed), holder(name), limits
    )


@asynccontextmanager
async def running(*controllers):
    async with trio.open_nursery() as nursery:
        for controller in controllers:
            nursery.start_soon(controller.run)
        yield nursery
        nursery.cancel_scope.cancel()


async def wait_for_version(engines, version, limit_s=600, most_loading=None):
    """Wait until all engines run `version`; return the most concurrent loads seen."""
    most = 0
    with trio.fail_after(limit_s):
        while True:
            states = [engine.report_state() for engine in engines]
            most = max(most, sum(state.loading for state in states))
            if all(s.model_version == version and not s.loading for s in states):
                return most
            await trio.sleep(0.1)


@pytest.mark.parametrize("seed", range(5))
async def test_roll_out_keeps_the_share_in_service(autojump_clock, seed):
    rng = Random(seed)
    engines = [MemoryEngine(f"e{n}", rng.uniform(2, 20)) for n in range(12)]
    store, configuration = MemoryStore(), WantedConfiguration()
    names = ["a.1", "b.1", "c.1"]
    fleet = MemoryEngines(engines, names)
    controllers = [build(n[0], store, fleet, configuration, seed) for n in names]
    async with running(*controllers):
        assert await wait_for_version(engines, "2") <= 3
    assert [engine.loads for engine in engines] == [1] * 12


async def test_new_configuration_during_a_load_wins(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    configuration = WantedConfiguration()
    fleet = MemoryEngines(engines)
    async with running(build("a", MemoryStore(), fleet, configuration)):
        await trio.sleep(3)
        configuration.change("3", 3)
        await wait_for_version(engines, "3")


async def test_outdated_holder_never_reverts(autojump_clock):
    engines = [MemoryEngine("e1", checks=False)]
    store = MemoryStore()
    fleet = MemoryEngines(engines)
    async with running(build("a", store, fleet, WantedConfiguration("3", 3))):
        await wait_for_version(engines, "3")
    async with running(build("b", store, fleet, WantedConfiguration("2", 2))):
        await trio.sleep(120)
    assert engines[0].state.model_version == "3"


async def test_another_holder_finishes_what_a_dead_one_began(autojump_clock):
    engines = [MemoryEngine("e1", load_s=30), MemoryEngine("e2")]
    store, configuration = MemoryStore(), WantedConfiguration()
    first = build("a", store, MemoryEngines(engines), configuration)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        while not engines[0].loads:
            await trio.sleep(0.1)
        store.down = True  # a killed process cannot release leases or permits
        nursery.cancel_scope.cancel()
    store.down = False
    async with running(build("b", store, MemoryEngines(engines), configuration)):
        assert await wait_for_version(engines, "2", limit_s=60) == 1
        await trio.sleep(5)
    assert [engine.loads for engine in engines] == [1, 1]
    permits = store.table.get("load-allowances", "weight-store").value
    assert bytes(permits) == b'{"permits":[]}'


@pytest.mark.parametrize("checks", [True, False])
async def test_delayed_holder_is_fenced_or_corrected(autojump_clock, checks):
    engines = [MemoryEngine("e1", checks=checks)]
    store = MemoryStore()
    slow, fast = MemoryEngines(engines), MemoryEngines(engines)
    slow.orders_allowed = trio.Event()
    delayed = build("a", store, slow, WantedConfiguration("2", 2))
    async with running(delayed):
        await trio.sleep(5)  # it holds the lease, and its order is in flight
        async with running(build("b", store, fast, WantedConfiguration("3", 3))):
            await wait_for_version(engines, "3")
            slow.orders_allowed.set()
            await trio.sleep(0.01)
            assert engines[0].state.model_version == ("3" if checks else "2")
            await wait_for_version(engines, "3")
            assert engines[0].loads == (1 if checks else 3)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
async def test_lost_answers_and_an_outage_of_the_store(autojump_clock, lost):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    store = MemoryStore()
    async with running(
        build("a", store, MemoryEngines(engines), WantedConfiguration())
    ):
        store.lose_next_answers = lost
        await trio.sleep(4)
        store.down = True
        await trio.sleep(60)
        store.down = False
        assert await wait_for_version(engines, "2") <= 1
    assert [engine.loads for engine in engines] == [1] * 4


async def test_engines_out_of_service_are_loaded_beyond_the_share(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    engines[0].reachable = engines[1].reachable = False
    async with running(
        build("a", MemoryStore(), MemoryEngines(engines), WantedConfiguration())
    ):
        await trio.sleep(60)
        assert [engine.loads for engine in engines] == [0] * 4
        engines[0].reachable = engines[1].reachable = True
        await wait_for_version(engines, "2")


async def test_each_engine_is_polled_by_few_holders(autojump_clock):
    names = [f"c{n}.1" for n in range(20)]
    engines = [MemoryEngine(f"e{n}") for n in range(40)]
    fleet = MemoryEngines(engines, names)
    configuration = WantedConfiguration("1", 1)
    controllers = [build(n[:-2], MemoryStore(), fleet, configuration) for n in names]
    async with running(*controllers):
        await trio.sleep(100)
    per_engine_s = fleet.reads / len(engines) / 100
    assert 1 <= per_engine_s <= 2, (
        "polled by the first holder always, and by two backups less often"
    )


async def test_next_holder_acts_for_one_that_is_listed_but_dead(autojump_clock):
    engines = [MemoryEngine(f"e{n}") for n in range(4)]
    fleet = MemoryEngines(engines, ["a.1", "dead.1"])
    async with running(build("a", MemoryStore(), fleet, WantedConfiguration())):
        await wait_for_version(engines, "2")
