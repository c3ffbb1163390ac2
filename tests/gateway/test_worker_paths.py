"""Conclusions from failed direct connections to workers, without a network."""

from msgspec.structs import replace

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.models import PeerRecord, Worker, WorkerState
from acaciapier.gateway.peers import HEARTBEAT_EXPIRY_MS, Peers
from acaciapier.gateway.worker_paths import (
    FAILURE_EXPIRY_MS,
    RECURRENCE_MS,
    RECURRENT_END_MS,
    UNREACHABLE_TTL_MS,
    WorkerPath,
    WorkerPaths,
)
from acaciapier.wire.messages.gateway import Heartbeat

DIRECT, TUNNEL = WorkerPath.DIRECT, WorkerPath.TUNNEL


def make_worker(service: str, number: int) -> Worker:
    name = f"{service}-{number}"
    return Worker(name, service, "h", 1, "zone-a", 4, WorkerState.READY, 1)


BOOK_1, BOOK_2, BOOK_3 = (make_worker("book", number) for number in (1, 2, 3))
MODEL_1, MODEL_2 = (make_worker("model", number) for number in (1, 2))
LISTED = [BOOK_1, BOOK_2, BOOK_3, MODEL_1, MODEL_2]


class Paths(WorkerPaths):
    """Paths with a clock and a list of workers that tests change."""

    def __init__(self, listed=LISTED):
        self.clock = ManualClock()
        self.listed = list(listed)
        self.events = []
        super().__init__(
            self.clock,
            lambda: self.listed,
            lambda kind, **fields: self.events.append((kind, fields["service"])),
        )

    def fail(self, *workers: Worker) -> None:
        for worker in workers:
            self.clock.advance(0.01)
            self.record_failure(worker, "refused")

    def succeed(self, worker: Worker) -> None:
        self.clock.advance(0.01)
        self.record_success(worker)


def test_one_failing_worker_is_its_own_fault():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_1, BOOK_1)
    assert paths.choose(BOOK_1) is DIRECT
    assert not paths.partitioned


def test_a_failing_worker_beside_one_that_works_is_its_own_fault():
    paths = Paths()
    paths.fail(BOOK_1)
    paths.succeed(BOOK_2)
    paths.fail(BOOK_3)
    paths.succeed(BOOK_2)
    paths.fail(BOOK_1)
    assert not paths.partitioned


def test_two_failing_workers_of_a_service_partition_this_instance_from_it():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2)
    assert {paths.choose(worker) for worker in (BOOK_1, BOOK_2, BOOK_3)} == {TUNNEL}
    assert paths.choose(MODEL_1) is DIRECT
    assert (paths.partitioned, paths.partitioned_from_all) == (True, False)
    assert paths.partitioned_services() == ["book"]
    assert paths.events == [("workers_unreachable", "book")]


def test_failing_workers_of_two_services_partition_this_instance_from_all():
    paths = Paths()
    paths.fail(BOOK_1, MODEL_1)
    assert paths.partitioned_from_all
    assert {paths.choose(worker) for worker in LISTED} == {TUNNEL}
    assert paths.events == [("workers_unreachable", "all")]


def test_the_only_worker_of_a_service_is_enough():
    paths = Paths([BOOK_1, MODEL_1, MODEL_2])
    paths.fail(BOOK_1)
    assert paths.choose(BOOK_1) is TUNNEL
    assert paths.choose(MODEL_1) is DIRECT


def test_failures_long_apart_do_not_count_together():
    paths = Paths()
    paths.fail(BOOK_1)
    paths.clock.advance(FAILURE_EXPIRY_MS / 1_000.0 + 0.1)
    paths.fail(BOOK_2)
    assert not paths.partitioned


def test_failures_of_workers_that_are_no_longer_listed_do_not_count():
    paths = Paths()
    paths.fail(BOOK_1)
    paths.listed.remove(BOOK_1)
    paths.fail(BOOK_2)
    assert not paths.partitioned


def test_two_partitioned_services_are_not_all_while_a_third_one_works():
    paths = Paths([*LISTED, make_worker("search", 1)])
    paths.fail(BOOK_1, BOOK_2)
    paths.succeed(make_worker("search", 1))
    paths.fail(MODEL_1, MODEL_2)
    paths.succeed(make_worker("search", 1))
    paths.fail(BOOK_3)
    assert not paths.partitioned_from_all
    assert paths.partitioned_services() == ["book", "model"]


def test_a_direct_success_ends_the_partition():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2, MODEL_1)
    paths.succeed(MODEL_2)
    assert paths.choose(MODEL_1) is DIRECT
    assert paths.partitioned_services() == ["book"]
    paths.succeed(BOOK_3)
    assert not paths.partitioned
    paths.fail(BOOK_1)
    assert not paths.partitioned
    assert paths.events[-2:] == [
        ("workers_reachable", "model"),
        ("workers_reachable", "book"),
    ]


def test_the_partition_begins_with_the_first_failure():
    paths = Paths()
    paths.fail(BOOK_1)
    first_s = paths.clock.monotonic_s()
    paths.clock.advance(0.4)
    paths.fail(BOOK_2)
    assert paths.since_s("book") == first_s
    assert paths.since_s("model") is None


def test_a_worker_that_others_cannot_reach_is_not_tried_for_a_while():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2)
    paths.record_unreachable(BOOK_1)
    assert paths.choose(BOOK_1) is WorkerPath.UNREACHABLE
    assert paths.choose(BOOK_2) is TUNNEL
    paths.clock.advance(UNREACHABLE_TTL_MS / 1_000.0 + 0.01)
    assert paths.choose(BOOK_1) is TUNNEL


def test_what_others_say_counts_only_while_partitioned():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2)
    paths.record_unreachable(BOOK_1)
    paths.succeed(BOOK_2)
    assert paths.choose(BOOK_1) is DIRECT


def test_helpers_are_those_whose_recent_heartbeats_say_so():
    clock = ManualClock()
    own = PeerRecord("own", "h", 1, "zone-a", 1)
    peers = Peers(own, FakeNetwork(), clock, None, lambda kind, **fields: None)
    names = ["serves", "refuses", "unheard", "stopping", "down"]
    peers.set_records(PeerRecord(name, "h", 1, "zone-a", 1) for name in names)
    beat = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0, serves_tunnels=True)
    peers.record_heartbeat("serves", beat)
    peers.record_heartbeat("refuses", replace(beat, serves_tunnels=False))
    peers.record_heartbeat("stopping", replace(beat, stopping=True))
    peers.record_heartbeat("down", beat)
    peers._peers["down"].up = False
    assert [record.instance for record in peers.tunnel_helpers()] == ["serves"]
    clock.advance(HEARTBEAT_EXPIRY_MS / 1_000.0 + 0.1)
    assert not peers.tunnel_helpers()


def test_helpers_that_were_partitioned_lately_are_used_if_there_is_no_other():
    own = PeerRecord("own", "h", 1, "zone-a", 1)
    clock = ManualClock()
    peers = Peers(own, FakeNetwork(), clock, None, lambda kind, **fields: None)
    names = ["steady", "lately"]
    peers.set_records(PeerRecord(name, "h", 1, "zone-a", 1) for name in names)
    beat = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0, serves_tunnels=True)
    peers.record_heartbeat("lately", replace(beat, partitioned_lately=True))
    assert [record.instance for record in peers.tunnel_helpers()] == ["lately"]
    peers.record_heartbeat("steady", beat)
    assert [record.instance for record in peers.tunnel_helpers()] == ["steady"]


def test_an_instance_is_partitioned_lately_for_some_seconds_after_the_end():
    paths = Paths()
    assert not paths.partitioned_lately
    paths.fail(BOOK_1, BOOK_2)
    assert paths.partitioned_lately
    paths.succeed(BOOK_1)
    assert paths.partitioned_lately
    paths.clock.advance(RECURRENCE_MS / 1_000.0)
    assert not paths.partitioned_lately


class FakeNetwork:
    """Network that only learns addresses."""

    def add_addresses(self, addresses):
        pass


def test_links_that_come_and_go_are_used_once_they_have_held():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2)
    paths.succeed(BOOK_1)
    assert paths.choose(BOOK_1) is DIRECT
    paths.fail(BOOK_1, BOOK_2)
    for _ in range(3):
        paths.succeed(BOOK_1)
        paths.clock.advance(RECURRENT_END_MS / 2_000.0)
        paths.fail(BOOK_1)
        assert paths.choose(BOOK_1) is TUNNEL
    paths.succeed(BOOK_1)
    assert paths.choose(BOOK_1) is TUNNEL
    paths.clock.advance(RECURRENT_END_MS / 1_000.0)
    paths.succeed(BOOK_2)
    assert paths.choose(BOOK_1) is DIRECT


def test_a_worker_that_is_gone_does_not_keep_links_that_hold_from_use():
    paths = Paths()
    paths.fail(BOOK_1, BOOK_2)
    paths.succeed(BOOK_1)
    paths.fail(BOOK_1, BOOK_2)
    for _ in range(9):
        paths.succeed(BOOK_1)
        paths.clock.advance(RECURRENT_END_MS / 8_000.0)
        paths.fail(BOOK_2)
    paths.succeed(BOOK_1)
    assert paths.choose(BOOK_1) is DIRECT


def test_a_partition_long_after_another_ends_with_the_first_success():
    paths = Paths()
    for _ in range(2):
        paths.fail(BOOK_1, BOOK_2)
        assert paths.choose(BOOK_1) is TUNNEL
        paths.succeed(BOOK_1)
        assert paths.choose(BOOK_1) is DIRECT
        paths.clock.advance(RECURRENCE_MS / 1_000.0)
