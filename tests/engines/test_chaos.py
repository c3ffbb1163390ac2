"""Controllers that are killed, paused and cut off while the configuration changes."""

from random import Random

import pytest
import trio
from trio._core import _run

from acaciapier.core.clock import TrioClock
from acaciapier.engines import ControlLimits, EngineController

from .fakes import MemoryEngine, MemoryEngines, MemoryStore, Wish, holder

SEEDS = range(6)
ENGINES = 8
LIMITS = ControlLimits(poll_ms=1_000, max_loads=3, pool_share_percent=25)
CHAOS_S = 300
SETTLE_S = 600


class Instance:
    """One controller with its own view of store, engines and configuration."""

    def __init__(self, name, engines, table, source):
        self.name = name
        self.fleet = MemoryEngines(engines)
        self.store = MemoryStore()
        self.store.table = table
        self.wish = Wish("1", 1)
        self.source = source
        self.incarnation = 0

    async def run(self):
        """Run one controller after another, each until it is killed."""
        while True:
            self.incarnation += 1
            self.store.down = False
            self.fleet.pause.set()
            controller = EngineController(
                self.store,
                self.wish,
                self.fleet,
                TrioClock(),
                Random(self.source.random()),
                holder(self.name, self.incarnation),
                LIMITS,
            )
            with trio.CancelScope() as self.scope:
                await controller.run()
            await trio.sleep(self.source.uniform(1, 20))

    async def suffer(self, fault):
        match fault:
            case "kill":
                self.store.down = True  # a killed process gives nothing back
                self.scope.cancel()
            case "pause":
                pause = self.fleet.pause = trio.Event()
                await trio.sleep(self.source.uniform(1, 40))
                pause.set()
            case "cut":
                self.store.down = True
                await trio.sleep(self.source.uniform(1, 30))
                self.store.down = False
            case "lose":
                self.store.lose_next = self.source.randint(1, 3)


class Run:
    """A run with faults; keeps the most loads at once that it saw."""

    def __init__(self, seed, checks):
        self.source = Random(seed)
        self.engines = [
            MemoryEngine(f"e{n}", self.source.uniform(2, 25), checks)
            for n in range(ENGINES)
        ]
        table = MemoryStore().table
        self.instances = [
            Instance(name, self.engines, table, self.source) for name in "abc"
        ]
        self.most_loading = 0
        self.number = 1

    async def run(self):
        async with trio.open_nursery() as nursery:
            for one in self.instances:
                nursery.start_soon(one.run)
            nursery.start_soon(self.count_loads)
            async with trio.open_nursery() as faults:
                faults.start_soon(self.break_things, nursery)
                faults.start_soon(self.change_configuration, nursery)
                await trio.sleep(CHAOS_S)
                faults.cancel_scope.cancel()
            with trio.fail_after(SETTLE_S):
                while not all(self.arrived(one.present()) for one in self.engines):
                    await trio.sleep(0.5)
            nursery.cancel_scope.cancel()

    def arrived(self, state):
        return state.model_version == f"{self.number:04}" and not state.loading

    async def break_things(self, nursery):
        while True:
            await trio.sleep(self.source.uniform(0.5, 8))
            fault = self.source.choice(["kill", "pause", "pause", "cut", "lose"])
            nursery.start_soon(self.source.choice(self.instances).suffer, fault)

    async def change_configuration(self, nursery):
        while True:
            self.number += 1
            for one in self.instances:
                nursery.start_soon(self.tell, one, self.number)
            await trio.sleep(self.source.uniform(20, 60))

    async def tell(self, instance, number):
        await trio.sleep(self.source.uniform(0, 10))
        if number > instance.wish.pools.configuration_number:
            instance.wish.change(f"{number:04}", number)

    async def count_loads(self):
        while True:
            loading = sum(one.present().loading for one in self.engines)
            self.most_loading = max(self.most_loading, loading)
            await trio.sleep(0.25)

    def reverted(self):
        return [one for one in self.engines if one.versions != sorted(one.versions)]


@pytest.fixture(autouse=True)
def fixed_schedule(monkeypatch):
    """Let trio run its tasks in the same order each time."""
    monkeypatch.setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    state = _run._r.getstate()
    _run._r.seed(0)
    yield
    _run._r.setstate(state)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_engine_is_reverted_and_all_arrive(autojump_clock, seed):
    run = Run(seed, checks=True)
    await run.run()
    assert run.number >= 5
    assert not run.reverted()
    assert run.most_loading <= 2


async def test_checker_sees_engines_that_ignore_numbers_reverted(autojump_clock):
    for seed in SEEDS:
        run = Run(seed, checks=False)
        await run.run()
        if run.reverted():
            return
    pytest.fail("no run showed an engine that was reverted")
