"""Streams that callers resume after all instances were killed at once."""

import random
from dataclasses import dataclass

import pytest
import trio
from trio.testing import MockClock

from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.models import AttemptId, ServiceName
from acaciapier.platform.workers import PEER_KIND

from .support import deployment
from .test_resumed_elsewhere import configure, mail, resume
from .test_resumed_streams import (
    VERSIONS,
    mix_versions,
    take_one_event,
    version_of,
)
from .test_stream_records import LIFE_MS, MODEL, NAMES, Fleet, Node, stream

LIFE_S = LIFE_MS / 1_000.0
STREAMS = 60
OLD, NEW = "v1", "v2"


@dataclass
class Outcome:
    """What callers saw of streams that began before the kill."""

    mixed: int = 0
    refused: int = 0
    went_on: int = 0
    last_refused_s: float = 0.0
    """Time from the kill to the last refusal."""


async def kill_all(size: int, leaves_s: float, restart: str, seed: int) -> Outcome:
    """Kill a simulated fleet and resume the streams that it began.

    Parameters
    ----------
    size : int
        Number of instances.
    leaves_s : float
        When the last worker of the old version leaves, counted from the kill.
    restart : str
        How the instances come back: ``together``, ``one_first`` (the others up to
        three seconds later), ``in_turn``, ``entries_lapsed`` (their first lists are
        empty) or ``twice`` (they are killed again).
    seed : int
        Seed of all choices.
    """
    choose, outcome = random.Random(seed), Outcome()

    async def resume_later(fleet: Fleet, number: int, began_s: float) -> None:
        attempt, version = f"s{number}", choose.choice(fleet.versions)
        await choose.choice(list(fleet.nodes.values())).records.record(
            stream(attempt, version)
        )
        named = AttemptId(attempt) if number % 2 else None
        await trio.sleep_until(killed_s)
        while trio.current_time() < began_s + LIFE_S:
            await trio.sleep(choose.uniform(0.0, 0.5))
            if not fleet.nodes or trio.current_time() >= began_s + LIFE_S:
                continue
            node = choose.choice(list(fleet.nodes.values()))
            try:
                found = await node.records.find("", named, [MODEL], LIFE_MS)
            except Refused:
                outcome.refused += 1
                after_s = trio.current_time() - killed_s
                outcome.last_refused_s = max(outcome.last_refused_s, after_s)
                continue
            if fleet.nodes.get(node.name) is node:
                outcome.went_on += 1
                outcome.mixed += found.stream.software_version != version

    async def leave(fleet: Fleet) -> None:
        await trio.sleep_until(killed_s + leaves_s)
        fleet.versions = (NEW,)
        fleet.publish()

    async def start(fleet: Fleet, name: str, after_s: float) -> None:
        await trio.sleep(after_s)
        if restart == "entries_lapsed":
            versions, fleet.versions = fleet.versions, ()
            fleet.start(name)
            fleet.versions = versions
            await trio.sleep(choose.uniform(0.0, 2.0))
            nodes: list[Node] = [n for n in [fleet.nodes.get(name)] if n]
            fleet.publish(nodes)
        else:
            fleet.start(name)

    async def start_all(fleet: Fleet) -> None:
        for number, name in enumerate(fleet.names):
            after_s = choose.uniform(0.2, 0.5)
            if restart == "one_first" and number:
                after_s += choose.uniform(1.0, 3.0)
            if restart == "in_turn":
                after_s += 0.4 * number
            nursery.start_soon(start, fleet, name, after_s)

    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, versions=(OLD, NEW), names=NAMES[:size])
        for name in fleet.names:
            fleet.start(name)
        await trio.sleep(2 * LIFE_S)
        killed_s = trio.current_time() + LIFE_S / 2
        nursery.start_soon(leave, fleet)
        while trio.current_time() < killed_s - 0.01:
            for number in range(STREAMS // 10):
                serial = int(trio.current_time() * 1_000) * STREAMS + number
                began_s = trio.current_time()
                nursery.start_soon(resume_later, fleet, serial, began_s)
            await trio.sleep(LIFE_S / 20)
        await trio.sleep_until(killed_s)
        for name in fleet.names:
            fleet.kill(name)
        await start_all(fleet)
        if restart == "twice":
            await trio.sleep(LIFE_S / 2)
            for name in list(fleet.nodes):
                fleet.kill(name)
            await start_all(fleet)
        await trio.sleep(2 * LIFE_S)
        nursery.cancel_scope.cancel()
    return outcome


@pytest.mark.parametrize(
    "restart", ["together", "one_first", "in_turn", "entries_lapsed", "twice"]
)
@pytest.mark.parametrize("leaves_s", [-0.3, -0.01, 0.1, 0.6])
@pytest.mark.parametrize("size", [1, 3, 9])
def test_no_stream_is_mixed_when_all_instances_were_killed(size, leaves_s, restart):
    for seed in range(3):
        outcome = trio.run(
            kill_all,
            size,
            leaves_s,
            restart,
            seed,
            clock=MockClock(autojump_threshold=0),
        )
        assert outcome.mixed == 0
        assert outcome.refused > 0


@pytest.mark.parametrize("named", [True, False], ids=["named", "unnamed"])
async def test_a_lower_timeout_just_before_a_kill_does_not_mix_versions(named):
    async with deployment(gateways=2) as world:
        await mix_versions(world)
        await take_one_event(world, "first", 0)
        began = version_of(world, "first")
        await configure(world, 2, mail("model", timeout_ms=200))
        for gateway in world.gateways:
            gateway.app.stop()
        await world.until(lambda: not world.platform.store.names(PEER_KIND), 15.0)
        for name, version in VERSIONS.items():
            if version == began:
                world.platform.deregister(name)
        later = [await world.add_gateway() for _ in range(2)]
        for gateway in later:
            await world.until(
                lambda gateway=gateway: (
                    gateway.peers.live_count == 2
                    and len(gateway.catalogue.workers_of(ServiceName("model"))) == 2
                ),
                15.0,
            )
        await trio.sleep(1.0)
        answer = await resume(world, "later", "first" if named else None, 2)
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("later")
