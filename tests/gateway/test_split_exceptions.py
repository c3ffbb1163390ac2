"""Streams that begin at another version than the assigned one."""

import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.clock import TrioClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.models import AttemptId
from acaciapier.gateway.request_state import RequestFailed
from acaciapier.gateway.software_versions import MAX_RETENTION_MS, UNKNOWN_VERSION
from acaciapier.gateway.split_exceptions import SWEEP_PERIOD_MS, SplitExceptions
from acaciapier.platform import split_exceptions as entry_format

from .support import deployment
from .test_stored_streams import NoPeers, UnconditionalStore
from .test_stream_records import stream
from .test_version_kept import EVENTS, TWO, begin, list_versions, set_faults


@pytest.fixture
def autojump_clock():
    return MockClock(autojump_threshold=0)


class OnlyInstance(NoPeers):
    def rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        return [self.own]


def make_exceptions(store) -> SplitExceptions:
    own = OnlyInstance(InstanceId("edge-1"))
    return SplitExceptions(store, own, TrioClock(), lambda *_, **__: None)


async def test_a_stream_that_another_version_takes_over_is_in_the_store():
    """Guards against concluding the assigned version of a stream that deviated."""
    async with deployment() as world:
        await list_versions(world, TWO)
        await trio.sleep(1.0)
        set_faults(world, mute=True)
        caller, first = await begin(world)
        for name in set(TWO) - {first}:
            world.platform.workers[name].faults.mute = False
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        streams = world.gateways[0].streams
        assert streams._assignment.conclude("model", AttemptId("a1")) in (
            TWO[first],
            None,
        )
        read, found = await streams._exceptions.find("", AttemptId("a1"))
        assert read
        assert found.software_version not in (TWO[first], UNKNOWN_VERSION)


async def test_an_exception_is_found_by_all_and_removed_when_it_is_old(
    autojump_clock, nursery
):
    store = UnconditionalStore()
    exceptions = make_exceptions(store)
    nursery.start_soon(exceptions.sweep)
    deviating = stream("a1", "v2")
    assert await exceptions.record(deviating)
    later = make_exceptions(store)
    assert await later.find("", AttemptId("a1")) == (True, deviating)
    assert await later.find("", AttemptId("a2")) == (True, None)
    assert await later.find("hotels", AttemptId("a1")) == (True, None)
    await trio.sleep((MAX_RETENTION_MS + 2 * SWEEP_PERIOD_MS) / 1_000.0)
    assert not store.objects[entry_format.KIND]


async def test_an_attempt_that_began_at_two_other_versions_is_recorded_once(
    autojump_clock,
):
    exceptions = make_exceptions(UnconditionalStore())
    assert await exceptions.record(stream("a1", "v2"))
    assert not await exceptions.record(stream("a1", "v3"))


async def test_nothing_is_known_while_the_store_is_down(autojump_clock):
    """Guards against a conclusion that an exception would forbid."""
    store = UnconditionalStore(down=True)
    exceptions = make_exceptions(store)
    assert not await exceptions.record(stream("a1", "v2"))
    assert await exceptions.find("", AttemptId("a1")) == (False, None)


async def test_an_unknown_version_is_kept_as_unknown(autojump_clock):
    exceptions = make_exceptions(UnconditionalStore())
    unknown = stream("a1", UNKNOWN_VERSION)
    assert await exceptions.record(unknown)
    assert await exceptions.find("", AttemptId("a1")) == (True, unknown)


async def test_a_stream_that_cannot_be_recorded_does_not_begin():
    async with deployment() as world:
        streams = world.gateways[0].streams

        async def fails(deviating):
            return False

        streams._exceptions.record = fails
        with pytest.raises(RequestFailed):
            await streams.record_exception(stream("a1", "v2"))
