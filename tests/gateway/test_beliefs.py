"""What an instance believes: configuration, workers, peers, budgets."""

import random
from dataclasses import replace

import msgspec
import pytest

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import DataCentreId, InstanceId
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.repeats import RepeatBudget
from acaciapier.gateway.event_stream import EventSplitter, event_ids
from acaciapier.gateway.models import PeerRecord, Worker, WorkerState
from acaciapier.gateway.peers import Peers
from acaciapier.gateway.request_state import caller_patience_ms
from acaciapier.gateway.routing import RouteTable
from acaciapier.gateway.sync import PeerSync
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import Beat
from acaciapier_standins.platform.platform import configuration, route

from .stage_load import make_route


def worker(name: str, state=WorkerState.READY, started_ms: int = 1) -> Worker:
    return Worker(name, "book", "10.0.0.1", 80, "a", 4, state, started_ms)


def stored(version: int, routes=()) -> bytes:
    return msgspec.json.encode(configuration(version, list(routes), []))


def make_catalogue() -> tuple[Catalogue, ManualClock, list[str]]:
    clock, told = ManualClock(), []
    catalogue = Catalogue(
        clock, decode_configuration, lambda kind, **fields: told.append(kind)
    )
    return catalogue, clock, told


def test_a_configuration_never_goes_back():
    catalogue, _, _ = make_catalogue()
    assert catalogue.offer_configuration(9, stored(3), "store")
    assert not catalogue.offer_configuration(7, stored(2), "peer")
    assert catalogue.configuration.version == 3


def test_an_unreadable_configuration_changes_nothing():
    catalogue, _, told = make_catalogue()
    catalogue.offer_configuration(9, stored(3), "store")
    assert not catalogue.offer_configuration(10, b'{"version": "x"}', "store")
    assert not catalogue.offer_configuration(11, b"\xff", "store")
    assert catalogue.configuration.version == 3
    assert told.count("configuration_unreadable") == 2


def test_an_old_list_of_workers_brings_no_one_back():
    catalogue, _, _ = make_catalogue()
    catalogue.offer_workers(5, [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(6, [("w1", None)], "store")
    assert not catalogue.offer_workers(5, [worker("w1")], "peer")
    assert [one.id for one in catalogue.workers_of("book")] == ["w2"]


def test_a_worker_that_comes_back_in_a_newer_revision_is_used_again():
    catalogue, _, _ = make_catalogue()
    catalogue.offer_workers(5, [worker("w1")], "store")
    catalogue.apply_worker_changes(6, [("w1", None)], "store")
    catalogue.apply_worker_changes(8, [("w1", worker("w1", started_ms=2))], "store")
    assert [one.started_ms for one in catalogue.workers_of("book")] == [2]


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment():
    catalogue, clock, _ = make_catalogue()
    catalogue.offer_workers(5, [worker("w1")], "store")
    catalogue.offer_workers(9, [], "store", after_outage=True)
    assert len(catalogue.workers_of("book")) == 1
    clock.advance(1.8)
    assert catalogue.workers_of("book") == ()


def test_a_draining_entry_that_lapsed_is_not_kept():
    catalogue, _, _ = make_catalogue()
    catalogue.offer_workers(5, [worker("w1", WorkerState.DRAINING)], "store")
    catalogue.offer_workers(9, [], "store", after_outage=True)
    assert not catalogue.workers


def test_a_worker_is_left_on_its_own_word():
    catalogue, _, _ = make_catalogue()
    one = worker("w1")
    catalogue.offer_workers(5, [one], "store")
    catalogue.note_leaving(one, "answer")
    assert catalogue.workers_of("book") == ()
    assert not catalogue.usable(one)


def test_the_longest_prefix_that_ends_with_a_slash_is_the_route():
    routes = [
        route("short", "idempotent", "book", path_prefix="/a/"),
        route("long", "idempotent", "book", path_prefix="/a/b/"),
    ]
    table = RouteTable(decode_configuration(configuration(1, routes, [])))
    assert table.find_route("orders.example", "/a/b/c?x=/z/").name == "long"
    assert table.find_route("ORDERS.example", "/a/bc").name == "short"
    assert table.find_route("orders.example", "/ab/") is None
    assert table.find_route("other.example", "/a/b/c") is None


def test_repeats_are_bounded_by_a_share_of_first_sends():
    budget = RepeatBudget(ratio=0.2, slack=10, window_s=10.0)
    for _ in range(100):
        budget.note_first(0.0)
    assert sum(budget.spend(1.0) for _ in range(100)) == 18
    assert budget.spend(11.5)


def test_an_event_is_passed_on_only_when_it_is_whole():
    events = EventSplitter()
    assert events.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert (events.last_id, events.has_rest) == ("1", True)
    assert event_ids(events.feed(b"ta: b\n\n")) == ["2"]
    assert (events.last_id, events.has_rest) == ("2", False)


class NoNetwork:
    """A network in which nothing is sent."""

    def add_addresses(self, addresses) -> None:
        pass


def record(name: str, capacity: float = 1.0) -> PeerRecord:
    return PeerRecord(InstanceId(name), "h", 1, DataCentreId("a"), 1, capacity)


def make_peers(own: PeerRecord) -> Peers:
    """Return the peers of an instance that has run for a while."""
    clock = ManualClock()
    peers = make_peers_on(clock, own)
    clock.advance(10.0)
    peers.note_settled(clock.monotonic_s())
    return peers


def list_settled(peers: Peers, records: list[PeerRecord]) -> None:
    """Let an instance list others that have run for a while, too."""
    peers.set_records(records)
    for one in records:
        peers.note_beat(one.instance, Beat(1, 1, 1, False, uptime_ms=60_000.0))


def make_peers_on(clock: ManualClock, own: PeerRecord) -> Peers:
    return Peers(own, NoNetwork(), clock, random.Random(1), None, lambda *a, **k: None)


def test_all_instances_name_the_same_dispatcher():
    records = [record(f"edge-{n}") for n in range(9)]
    ranks = set()
    for own in records:
        peers = make_peers(own)
        list_settled(peers, records)
        ranks.add(tuple(peers.rank("encode", True)))
    assert len(ranks) == 1


def test_machines_of_little_capacity_decide_only_if_there_is_no_other():
    small = [record(f"small-{n}", 5.0) for n in range(20)]
    large = [record(f"large-{n}", 400.0) for n in range(3)]
    peers = make_peers(small[0])
    list_settled(peers, small + large)
    for service in ("encode", "search", "model", "book"):
        assert peers.rank(service, True)[0].startswith("large")
    list_settled(peers, small)
    assert peers.rank("encode", True)[0].startswith("small")


def test_a_stopping_instance_decides_nothing_more():
    peers = make_peers(record("edge-0"))
    list_settled(peers, [record(f"edge-{n}") for n in range(4)])
    first = peers.rank("encode", True)[0]
    if first == "edge-0":
        assert peers.rank("encode", False)[0] != "edge-0"
    else:
        peers.note_stopping(first)
        assert first not in peers.rank("encode", True)


@pytest.mark.parametrize(
    "objective_ms, pause_ms, deadline_ms, patience_ms",
    [
        (920.0, 300.0, 6_000.0, 3_680.0),
        (150.0, 300.0, 6_000.0, 2_400.0),
        (150.0, 100.0, 6_000.0, 2_000.0),
        (1_500.0, 300.0, 5_000.0, 5_000.0),
    ],
)
def test_callers_of_streams_leave_before_their_deadline(
    objective_ms, pause_ms, deadline_ms, patience_ms
):
    rule = make_route("quote", 1, objective_ms, deadline_ms, [])
    rule = replace(rule, pause_ms=pause_ms)
    assert caller_patience_ms(rule, deadline_ms) == patience_ms


def test_a_restarted_instance_decides_for_all_others_at_the_same_time():
    """Answers rolling restarts: others read of it up to two seconds apart."""
    clock = ManualClock()
    records = [record(f"edge-{n}") for n in range(4)]
    fleet = [make_peers_on(clock, one) for one in records]
    for peers in fleet:
        peers.set_records(records)
    clock.advance(10.0)
    for peers in fleet:
        peers.note_settled(clock.monotonic_s())
    first = fleet[0].rank("encode", True)[0]
    others = [one for one in fleet if one.own != first]
    again = replace(next(r for r in records if r.instance == first), started_ms=2)
    changed = [again if one.instance == first else one for one in records]
    chosen = []
    for step in range(30):
        clock.advance(0.2)
        now_s = clock.monotonic_s()
        for number, peers in enumerate(others):
            if step == 5 * number:
                peers.set_records(changed)
            if step >= 5 * number:
                peers.note_beat(first, Beat(1, 1, 1, False, uptime_ms=200.0 * step))
            peers.note_settled(now_s)
        chosen.append({peers.rank("encode", True)[0] for peers in others})
    assert all(len(one) == 1 for one in chosen[11:])
    assert chosen[11] != {first}
    assert chosen[-1] == {first}


class StartedTasks:
    """Counts tasks instead of running them."""

    def __init__(self):
        self.started = 0

    def start_soon(self, *args) -> None:
        self.started += 1


def make_peer_sync() -> tuple[PeerSync, Catalogue, ManualClock, StartedTasks]:
    catalogue, clock, _ = make_catalogue()
    catalogue.offer_configuration(1, stored(1), "store")
    catalogue.offer_workers(1, [worker("w1")], "store")
    tasks = StartedTasks()
    sync = PeerSync(
        catalogue, None, tasks, lambda *a, **k: None, lambda: None, None, clock
    )
    return sync, catalogue, clock, tasks


def beat_of(revision: int, catalogue: Catalogue) -> Beat:
    known = catalogue.workers_revision, catalogue.workers_digest
    return Beat(revision, *known, False)


def test_a_configuration_is_fetched_from_a_peer_only_if_the_store_is_late():
    sync, catalogue, clock, tasks = make_peer_sync()
    sync.note_beat("edge-2", beat_of(2, catalogue))
    clock.advance(0.5)
    sync.note_beat("edge-2", beat_of(2, catalogue))
    assert tasks.started == 0
    clock.advance(0.3)
    sync.note_beat("edge-2", beat_of(2, catalogue))
    assert tasks.started == 1


def test_in_a_storm_of_versions_no_peer_is_asked_while_the_store_brings_them():
    sync, catalogue, clock, tasks = make_peer_sync()
    for revision in range(2, 12):
        sync.note_beat("edge-2", beat_of(revision, catalogue))
        clock.advance(0.35)
        catalogue.offer_configuration(revision, stored(revision), "store")
    assert tasks.started == 0


def test_in_a_storm_of_versions_an_instance_without_the_store_asks_a_peer():
    sync, catalogue, clock, tasks = make_peer_sync()
    for revision in range(2, 6):
        sync.note_beat("edge-2", beat_of(revision, catalogue))
        clock.advance(0.35)
    assert tasks.started == 1
