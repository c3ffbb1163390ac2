"""Records are kept for as long as callers resume streams."""

import msgspec
import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.models import AttemptId
from acaciapier.gateway.software_versions import (
    MAX_RETENTION_MS,
    RETENTION_MS,
    BegunStreams,
    ServingVersions,
)
from acaciapier.gateway.stream_records import FoundStream
from acaciapier.wire.messages.streams import FindStream, StreamEntry, StreamFound

from .test_stream_records import MODEL, NAMES, Fleet, listed, stream

LONG_LIFE_MS = 3.0 * RETENTION_MS


def test_a_record_is_kept_for_the_life_of_its_stream():
    clock = ManualClock()
    streams = BegunStreams(clock)
    streams.add(stream("long", "v1"), LONG_LIFE_MS)
    streams.add(stream("usual", "v1"))
    clock.advance(RETENTION_MS / 1_000.0 + 1.0)
    assert streams.find("", AttemptId("usual")) is None
    assert streams.find("", AttemptId("long")) == stream("long", "v1")
    streams.add(stream("long", "v1"))
    assert streams.left_ms(stream("long", "v1")) > RETENTION_MS
    clock.advance(LONG_LIFE_MS / 1_000.0)
    streams.add(stream("other", "v1"))
    assert len(streams) == 1


def test_a_record_is_not_kept_forever():
    clock = ManualClock()
    streams = BegunStreams(clock)
    streams.add(stream("a", "v1"), float("inf"))
    assert streams.left_ms(stream("a", "v1")) == MAX_RETENTION_MS


def in_fleet(check, **options) -> None:
    """Run a check on a simulated fleet of which all workers have been known long."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, **options)
            for name in fleet.names:
                fleet.start(name)
            await check(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("copied", [False, True])
def test_a_stream_of_a_route_with_a_long_timeout_is_found_late(copied):
    async def check(fleet: Fleet) -> None:
        first = fleet.nodes["i0"].records
        await first.record(stream("a", "v1"), LONG_LIFE_MS)
        await trio.sleep(1.5 * RETENTION_MS / 1_000.0)
        if copied:
            for name in NAMES[:8]:
                fleet.nodes[name].records.hand_over()
                fleet.stopping.add(name)
            await trio.sleep(0.1)
            for name in NAMES[:8]:
                fleet.kill(name)
        else:
            fleet.kill("i0")
        await trio.sleep(1.0 * RETENTION_MS / 1_000.0)
        last = fleet.nodes["i8"].records
        found = await last.find("", AttemptId("a"), [MODEL], LONG_LIFE_MS)
        assert found == FoundStream(stream("a", "v1"), recorded=True)
        if copied:
            assert last._streams.left_ms(stream("a", "v1")) <= LONG_LIFE_MS

    in_fleet(check, versions=("v1", "v2"))


def test_an_attempt_that_later_tries_name_again_stays_known():
    async def check(fleet: Fleet) -> None:
        await fleet.nodes["i0"].records.record(stream("a", "v1"))
        for name in ("i1", "i2", "i3", "i4"):
            await trio.sleep(0.7 * RETENTION_MS / 1_000.0)
            records = fleet.nodes[name].records
            found = await records.find("", AttemptId("a"), [MODEL])
            assert found == FoundStream(stream("a", "v1"), recorded=True)

    in_fleet(check, versions=("v1", "v2"))


def test_a_version_that_served_within_a_long_life_keeps_others_from_being_concluded():
    async def check(fleet: Fleet) -> None:
        await trio.sleep(MAX_RETENTION_MS / 1_000.0)
        fleet.versions = ("v2",)
        fleet.publish()
        await trio.sleep(1.5 * RETENTION_MS / 1_000.0)
        records = fleet.nodes["i0"].records
        found = await records.find("", AttemptId("a"), [MODEL], RETENTION_MS)
        assert found.stream == stream("a", "v2")
        with pytest.raises(Refused, match="software_version_unknown"):
            await records.find("", AttemptId("b"), [MODEL], LONG_LIFE_MS)
        # An instance that has just started relies on what the others remember.
        fleet.kill("i1")
        fleet.start("i1")
        records = fleet.nodes["i1"].records
        with pytest.raises(Refused, match="software_version_unknown"):
            await records.find("", AttemptId("b"), [MODEL], LONG_LIFE_MS)

    in_fleet(check)


def test_a_version_that_serves_no_more_is_remembered_for_a_bounded_time():
    clock = ManualClock()
    serving = ServingVersions(clock)
    serving.update(listed("v1"))
    serving.update(listed("v2"))
    clock.advance(2.0 * RETENTION_MS / 1_000.0)
    assert serving.of("model") == {"v2"}
    assert serving.of("model", LONG_LIFE_MS) == {"v1", "v2"}
    clock.advance(MAX_RETENTION_MS / 1_000.0)
    serving.update(listed("v2"))
    assert serving.of("model", MAX_RETENTION_MS) == {"v2"}
    assert not serving._removed_s


class FormerEntry(msgspec.Struct, frozen=True, array_like=True):
    """`StreamEntry` of build 97d8d6d."""

    attempt: str
    workspace: str
    service: str
    software_version: str


class FormerAnswer(msgspec.Struct, frozen=True, array_like=True, tag="StreamFound"):
    """`StreamFound` of build 97d8d6d."""

    stream: FormerEntry | None
    versions: tuple
    current: bool
    known_ms: float


def test_build_97d8d6d_and_this_one_read_records_of_each_other():
    former = FormerAnswer(FormerEntry("a", "", "model", "v1"), (), True, 90_000.0)
    data = msgspec.msgpack.encode(former)
    read = msgspec.msgpack.decode(data, type=StreamFound)
    assert read.stream == StreamEntry("a", "", "model", "v1", keep_ms=0.0)
    assert read.within_ms == RETENTION_MS
    written = StreamFound(StreamEntry("a", "", "model", "v1", 5.0), (), True, 90_000.0)
    data = msgspec.msgpack.encode(written)
    assert msgspec.msgpack.decode(data, type=FormerAnswer) == former
    assert FindStream("a", "", ()).within_ms == 0.0
