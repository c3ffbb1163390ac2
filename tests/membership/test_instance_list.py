"""Tests of the instance list: its client, read schedule and reconciliation."""

from random import Random

import httpcore
import msgspec
import pytest

from acaciapier.core.clock import ManualClock
from acaciapier.membership import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
    ListedInstance,
    TargetTable,
)
from acaciapier.membership.list_schedule import (
    MASS_ABSENCE_TIMEOUT_S,
    ListReconciler,
    ListSchedule,
)
from acaciapier.wire.messages.membership import TargetState
from membership.support import running_fleet, target, until


def listed(name, incarnation=1, state="live"):
    return ListedInstance(
        name, incarnation, "target", "dc1", "r1", "http://t", "encoders", "encode",
        state=state,
    )  # fmt: skip


def reading(*records, revision=1):
    return InstanceList(revision, tuple(records), 1_000)


class FakeInstanceList:
    """Instance list with settable records that counts its readings."""

    def __init__(self, *records):
        self.records = list(records)
        self.readings = 0
        self.is_down = False

    async def fetch(self):
        self.readings += 1
        if self.is_down:
            raise InstanceListUnavailable("injected failure")
        return reading(*self.records, revision=self.readings)


def client_for(response: bytes, chunks=None) -> InstanceListClient:
    backend = httpcore.AsyncMockBackend(chunks or [response])
    pool = httpcore.AsyncConnectionPool(network_backend=backend)
    return InstanceListClient(pool, "http://10.0.0.2:7500")


def http(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


async def test_client_reads_targets_and_daemons():
    daemon = ListedInstance(
        "e1", 3, "entry", "dc1", "r1", inner_host="10.0.0.7", inner_port=7400
    )
    body = msgspec.json.encode({"revision": 9, "instances": [listed("t1"), daemon]})
    answer = await client_for(http(200, body)).fetch()
    assert (answer.revision, answer.size_bytes) == (9, len(body))
    assert answer.targets() == [listed("t1")]
    assert answer.daemons() == [daemon]


@pytest.mark.parametrize(
    "response",
    [
        http(503, b"{}"),
        http(200, b"[]"),
        http(200, b'{"revision":1}'),
        b"junk\r\n\r\n",
        b"",
    ],
)
async def test_invalid_answer_raises_instance_list_unavailable(response):
    with pytest.raises(InstanceListUnavailable):
        await client_for(response).fetch()


def schedules(clock, names):
    return {name: ListSchedule(name, clock, Random(name)) for name in names}


def count_readings(clock, by_name, list_bytes, seconds):
    readings = dict.fromkeys(by_name, 0)
    for _ in range(seconds * 2):
        clock.advance(0.5)
        for name, schedule in by_name.items():
            if schedule.should_read([other for other in by_name if other != name]):
                readings[name] += 1
                for other in by_name.values():
                    other.record_read(list_bytes)
    return readings


def test_readings_are_shared_and_stay_within_the_byte_budget():
    names = [f"e{number}" for number in range(30)]
    for list_bytes in (12_000, 1_200_000):
        clock = ManualClock()
        by_name = schedules(clock, names)
        for schedule in by_name.values():
            schedule.record_read(list_bytes)
        readings = count_readings(clock, by_name, list_bytes, 900)
        bytes_per_s = sum(readings.values()) * list_bytes / 900 / len(names)
        assert bytes_per_s < 8_000
        assert len([n for n in readings.values() if n]) > 20


def test_instance_reads_the_list_if_it_learns_of_no_readings():
    clock = ManualClock()
    others = [f"e{number}" for number in range(300)]
    schedule = ListSchedule("x", clock, Random(1))
    waited_s = 0
    while not schedule.should_read(others) or schedule.age_ms < 10_000:
        clock.advance(0.5)
        waited_s += 0.5
    assert waited_s < 60
    schedule.record_peer_age(500)
    assert schedule.age_ms == 500


def test_target_is_gone_only_after_a_confirmed_absence():
    clock = ManualClock()
    table = TargetTable(clock)
    reconciler = ListReconciler(table, clock)
    for record in reconciler.find_updates(
        reading(*[listed(f"t{n}") for n in range(20)])
    ):
        table.merge(record)
    most = reading(*[listed(f"t{n}") for n in range(19)])
    assert reconciler.find_updates(most) == []
    clock.advance(6)
    assert reconciler.find_updates(most) == [target("t19", state=TargetState.GONE)]
    assert reconciler.find_updates(reading()) == []
    clock.advance(6)
    assert reconciler.find_updates(reading()) == []
    clock.advance(MASS_ABSENCE_TIMEOUT_S)
    assert len(reconciler.find_updates(reading())) == 20


def test_outdated_list_does_not_undo_leaving_but_a_restart_does():
    clock = ManualClock()
    table = TargetTable(clock)
    reconciler = ListReconciler(table, clock)
    table.merge(target("t", state=TargetState.LEAVING))
    for record in reconciler.find_updates(reading(listed("t"))):
        table.merge(record)
    assert table.usable("encoders") == ()
    for record in reconciler.find_updates(reading(listed("t", incarnation=2))):
        table.merge(record)
    assert table.usable("encoders") == (target("t", incarnation=2),)


async def test_leaving_state_in_the_list_reaches_instances_that_do_not_read(
    autojump_clock,
):
    instance_list = FakeInstanceList(*[listed(f"t{n}") for n in range(30)])
    layout = {"a1": ("r1", 4), "b1": ("r2", 4)}
    async with running_fleet(layout, instance_list=instance_list) as fleet:
        instance_list.records[3] = listed("t3", state="leaving")

        def known_everywhere():
            tables = [node.targets for node in fleet.nodes.values()]
            return all(t.get("t3").state is TargetState.LEAVING for t in tables)

        await until(known_everywhere, 4)
        instance_list.is_down = True
        await until(lambda: instance_list.readings > 50, 120)
        instance_list.is_down = False
        assert len(fleet.nodes["a1-0"].targets.usable("encoders")) == 29
