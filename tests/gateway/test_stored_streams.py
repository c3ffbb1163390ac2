"""Streams in progress are kept in the store while several software versions serve."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.clock import TrioClock, epoch_ms
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import StoreError, VersionConflict
from acaciapier.gateway.models import AttemptId
from acaciapier.gateway.software_versions import (
    MAX_RETENTION_MS,
    UNKNOWN_VERSION,
    ServingVersions,
)
from acaciapier.gateway.stored_streams import MAX_STORED_BYTES, StoredStreams
from acaciapier.gateway.stream_records import StreamRecords
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.platform import streams as entry_format
from acaciapier.platform.store import StoredObject

from .test_serving_history import Store
from .test_stream_records import listed, stream


class UnconditionalStore(Store):
    """Also replaces whatever is there, and deletes."""

    async def replace(self, kind, name, value, position=None) -> None:
        await self._answer()
        if name not in self.objects.get(kind, {}):
            raise StoreError("does not exist")
        self._write(kind, name, value)

    async def delete(self, kind, name, position) -> None:
        await self._answer()
        if self.objects[kind][name].revision != position.revision:
            raise VersionConflict(name, 0)
        del self.objects[kind][name]

    def streams_of(self, name: str) -> set[str]:
        stored = self.objects.get(entry_format.KIND, {}).get(name)
        if stored is None:
            return set()
        streams, _ = entry_format.decode_streams(stored.value)
        return {stream.attempt for stream in streams}


@dataclass
class NoPeers:
    """The table of peers of an instance that knows some, none of which is up."""

    own: InstanceId
    records: list = field(default_factory=list)
    large_fleet = False

    def rank(self, key: str, own_usable: bool) -> list[InstanceId]:
        return []

    def up_instances(self) -> list[InstanceId]:
        return []


@dataclass
class Instance:
    records: StreamRecords
    serving: ServingVersions
    scope: trio.CancelScope
    log: list


@pytest.fixture
def autojump_clock():
    return MockClock(autojump_threshold=0)


@pytest.fixture
async def start(autojump_clock, nursery) -> Callable[..., Instance]:
    """Return a function that starts an instance over a store."""

    def start(
        store,
        name: str = "edge-1",
        versions=("v1", "v2"),
        fleet: int = 0,
        writes_per_s: float = 400.0,
    ) -> Instance:
        own, clock, log = InstanceId(name), TrioClock(), []
        peers = NoPeers(own, [None] * fleet)
        serving = ServingVersions(clock)
        serving.update(listed(*versions))

        def write(kind: str, **fields) -> None:
            log.append((kind, fields))

        tasks = TaskSupervisor(nursery, log.append)
        records = StreamRecords(peers, serving, clock, write, tasks)
        stored = StoredStreams(
            store, records, peers, own, clock, lambda: 1.0, write, writes_per_s
        )
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await stored.run()

        nursery.start_soon(run)
        return Instance(records, serving, scope, log)

    return start


async def test_streams_that_are_in_progress_outlive_all_instances(
    start, autojump_clock
):
    # Two versions serve, so that no instance could conclude the version of a stream.
    store = UnconditionalStore()
    first = start(store)
    for number in range(8):
        await first.records.record(stream(f"a{number}", f"v{1 + number % 2}"))
    first.records.end("", AttemptId("a7"))
    await trio.sleep(1.0)
    first.scope.cancel()
    for name in ("edge-1", "edge-2"):
        later = start(store, name)
        await trio.sleep(0.1)
        for number in range(7):
            found = await later.records.find("", AttemptId(f"a{number}"), ["model"])
            assert found.recorded
            assert found.stream == stream(f"a{number}", f"v{1 + number % 2}")
    assert store.streams_of("edge-1") == {f"a{number}" for number in range(7)}


async def test_streams_that_began_before_the_second_version_are_stored(
    start, autojump_clock
):
    store = UnconditionalStore()
    instance = start(store, versions=("v1",))
    await instance.records.record(stream("a1", "v1"))
    await trio.sleep(5.0)
    assert store.writes == 0
    instance.serving.update(listed("v1", "v2"))
    await trio.sleep(1.0)
    assert store.streams_of("edge-1") == {"a1"}


async def test_a_stream_that_was_taken_up_is_stored_where_it_goes_on(
    start, autojump_clock
):
    store = UnconditionalStore()
    first = start(store)
    await first.records.record(stream("a1", "v1"))
    await trio.sleep(1.0)
    second = start(store, "edge-2")
    await trio.sleep(0.1)
    await second.records.find("", AttemptId("a1"), ["model"])
    await trio.sleep(1.0)
    assert store.streams_of("edge-2") == {"a1"}


async def test_a_version_that_is_withdrawn_is_withdrawn_from_the_store(
    start, autojump_clock
):
    # Restored after a kill, it would let the stream go on at another version.
    store = UnconditionalStore()
    first = start(store)
    for number in range(2):
        await first.records.record(stream(f"a{number}", "v1"))
    await trio.sleep(1.0)
    first.records.invalidate(stream("a1", "v1"))
    await trio.sleep(1.0)
    later = start(store, "edge-2")
    await trio.sleep(0.1)
    known = later.records._streams
    assert known.find("", AttemptId("a0")).software_version == "v1"
    assert known.find("", AttemptId("a1")).software_version == UNKNOWN_VERSION


@pytest.mark.parametrize(("fleet", "most_per_s"), [(9, 2.2), (100, 0.41), (500, 0.09)])
async def test_all_instances_together_make_a_tenth_of_the_writes(
    start, autojump_clock, fleet, most_per_s
):
    store = UnconditionalStore()
    instance = start(store, fleet=fleet - 1)
    for number in range(600):
        await instance.records.record(stream(f"a{number}", "v1"))
        await trio.sleep(0.1)
    assert 0 < store.writes <= most_per_s * 60 + 1


async def test_a_store_that_names_no_rate_gets_few_writes(start, autojump_clock):
    store = UnconditionalStore()
    instance = start(store, writes_per_s=0.0)
    await instance.records.record(stream("a1", "v1"))
    await trio.sleep(2.0)
    assert store.streams_of("edge-1") == {"a1"}


async def test_nothing_is_written_while_no_stream_begins(start, autojump_clock):
    store = UnconditionalStore()
    instance = start(store)
    for number in range(3):
        await instance.records.record(stream(f"a{number}", "v1"))
    await trio.sleep(5.0)
    written = store.writes
    instance.records.end("", AttemptId("a1"))
    await trio.sleep(5.0)
    assert store.writes == written == 1


async def test_a_store_that_was_down_or_restored_gets_the_streams_again(
    start, autojump_clock
):
    store = UnconditionalStore()
    instance = start(store)
    await instance.records.record(stream("a1", "v1"))
    await trio.sleep(1.0)
    store.down = True
    await instance.records.record(stream("a2", "v1"))
    await trio.sleep(10.0)
    store.down = False
    store.objects.clear()
    await trio.sleep(6.0)
    assert store.streams_of("edge-1") == {"a1", "a2"}


async def test_an_instance_reads_the_streams_once_the_store_answers(
    start, autojump_clock
):
    store = UnconditionalStore()
    first = start(store)
    await first.records.record(stream("a1", "v2"))
    await trio.sleep(1.0)
    store.down = True
    later = start(store, "edge-2")
    await trio.sleep(5.0)
    store.down = False
    await trio.sleep(4.0)
    found = await later.records.find("", AttemptId("a1"), ["model"])
    assert found.stream.software_version == "v2"


async def test_old_and_odd_entries_hide_no_stream(start, autojump_clock):
    store = UnconditionalStore()
    now_ms = epoch_ms(TrioClock().now())
    old = entry_format.encode_streams({stream("a0", "v1"): 1e9}, 0)
    sound = entry_format.encode_streams({stream("a1", "v1"): 60_000.0}, now_ms)
    late = entry_format.encode_streams({stream("a2", "v1"): 1_000.0}, now_ms - 5_000)
    odd = [None, {"written_ms": "x"}, {"written_ms": 1, "streams": [1]}]
    entries = {"edge-7": old, "edge-8": sound, "edge-9": late}
    entries |= {f"odd-{number}": value for number, value in enumerate(odd)}
    store.objects[entry_format.KIND] = {
        name: StoredObject(name, 1, value) for name, value in entries.items()
    }
    instance = start(store)
    await trio.sleep(0.5)
    known = [instance.records._streams.find("", AttemptId(f"a{n}")) for n in range(3)]
    assert known == [None, stream("a1", "v1"), None]
    assert "edge-7" not in store.objects[entry_format.KIND]
    assert "edge-8" in store.objects[entry_format.KIND]
    assert epoch_ms(TrioClock().now()) > MAX_RETENTION_MS


async def test_an_entry_is_never_larger_than_the_store_takes(start, autojump_clock):
    store = UnconditionalStore()
    instance = start(store)
    for number in range(4_000):
        await instance.records.record(stream(f"{number:0256}", "v1"))
    await trio.sleep(1.0)
    kept = store.streams_of("edge-1")
    assert f"{3_999:0256}" in kept
    assert 200 * len(kept) < MAX_STORED_BYTES
