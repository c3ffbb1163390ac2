"""Records of streams outlive the instances that hold them."""

import dataclasses
import random

import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.ids import InstanceId
from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.models import AttemptId
from acaciapier.gateway.stream_records import StreamRecords

from .test_instance_state import make_peers, record, set_stable_records
from .test_stream_records import LIFE_MS, MODEL, NAMES, Fleet, View, stream

STREAMS_PER_S = 20
LONGEST_S = 10.0
"""Time after its first event within which a stream breaks and is resumed."""
DOWN_S = 1.0
"""Time from the end of an instance to its next start."""


class CopiesNothing(StreamRecords):
    """Leaves records where they were made."""

    async def _copy_records(self, lost):
        return


async def replace_all(size, how, together, seed, records_class) -> tuple[int, int]:
    """Replace all instances; return the streams with a record and those without."""
    choose = random.Random(seed)
    outcomes = []

    async def resume(fleet: Fleet, number: int) -> None:
        attempt, version = f"s{number}", choose.choice(("v1", "v2"))
        await choose.choice(serving(fleet)).records.record(stream(attempt, version))
        await trio.sleep(choose.uniform(0.0, LONGEST_S))
        records = choose.choice(serving(fleet)).records
        try:
            found = await records.find("", AttemptId(attempt), [MODEL], LIFE_MS)
        except Refused:
            outcomes.append(False)
            return
        assert found.recorded
        assert found.stream.software_version == version
        outcomes.append(True)

    def serving(fleet: Fleet):
        return [n for n in fleet.nodes.values() if n.name not in fleet.stopping]

    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, records_class, versions=("v1", "v2"))
        fleet.names = NAMES[:size]
        for name in fleet.names:
            fleet.start(name)

        async def begin() -> None:
            for number in range(10**6):
                nursery.start_soon(resume, fleet, number)
                await trio.sleep(1 / STREAMS_PER_S)

        nursery.start_soon(begin)

        async def replace(name: str) -> None:
            if how == "stop":
                await fleet.stop(name)
            else:
                fleet.kill(name)
            await trio.sleep(DOWN_S)
            fleet.start(name)

        for first in range(0, size, together):
            await trio.sleep(1.0)
            async with trio.open_nursery() as replacements:
                for name in fleet.names[first : first + together]:
                    replacements.start_soon(replace, name)
        await trio.sleep(LONGEST_S)
        nursery.cancel_scope.cancel()
    return outcomes.count(True), outcomes.count(False)


def play(size, how, together, seed, records_class=StreamRecords):
    return trio.run(
        replace_all,
        size,
        how,
        together,
        seed,
        records_class,
        clock=MockClock(autojump_threshold=0),
    )


REPLACEMENTS = [
    (3, "stop", 1),
    (3, "kill", 1),
    (9, "stop", 1),
    (9, "stop", 3),
    (9, "kill", 1),
]
"""Number of instances, how they end, and how many of them together."""


@pytest.mark.parametrize(("size", "how", "together"), REPLACEMENTS)
def test_records_are_found_while_all_instances_are_replaced(size, how, together):
    for seed in range(3):
        found, lost = play(size, how, together, seed)
        assert found > 200
        assert lost == 0


@pytest.mark.parametrize(
    ("size", "how", "together"), [r for r in REPLACEMENTS if r != (9, "stop", 1)]
)
def test_records_that_are_not_copied_are_lost(size, how, together):
    lost = [play(size, how, together, seed, CopiesNothing)[1] for seed in range(3)]
    assert any(lost)


def test_an_instance_is_lost_when_it_stops_and_when_it_has_started_anew():
    lost = []
    peers = make_peers(record("edge-0"))
    peers.on_lost = lambda instance: lost.append((instance, peers.is_up(instance)))
    listed = [record(f"edge-{number}") for number in range(3)]
    set_stable_records(peers, listed)
    set_stable_records(peers, listed)
    assert not lost
    peers.record_stopping(InstanceId("edge-1"))
    peers.record_stopping(InstanceId("edge-1"))
    restarted = dataclasses.replace(listed[2], started_ms=9)
    set_stable_records(peers, [*listed[:2], restarted])
    assert lost == [("edge-1", False), ("edge-2", True)]


class DroppingView(View):
    """Peers whose queued messages are dropped, as they may be."""

    def send(self, instance, message):
        """Drop the message."""


def test_a_version_is_withdrawn_though_queued_messages_are_dropped():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, versions=("v1", "v2"))
            for name in NAMES:
                fleet.start(name)
            first = fleet.nodes["i0"]
            await first.records.record(stream("a", "v1"))
            await trio.sleep(0.1)
            first.records._peers = DroppingView(fleet, first)
            first.records.invalidate(stream("a", "v1"))
            await trio.sleep(0.1)
            for node in fleet.nodes.values():
                with pytest.raises(Refused, match="software_version_unknown"):
                    await node.records.find("", AttemptId("a"), [MODEL], LIFE_MS)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
