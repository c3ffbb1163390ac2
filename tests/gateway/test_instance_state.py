"""State of an instance: configuration, workers, routes, retry budget and peers."""

from dataclasses import replace

import msgspec
import pytest

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import DataCentreId, InstanceId
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.retry_budget import RetryBudget
from acaciapier.gateway.event_stream import EventSplitter, event_ids
from acaciapier.gateway.models import (
    PeerRecord,
    StorePosition,
    Worker,
    WorkerState,
)
from acaciapier.gateway.peer_sync import PeerSync
from acaciapier.gateway.peers import Peers
from acaciapier.gateway.routing import RouteTable, abandon_after_ms
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import Heartbeat
from acaciapier_standins.platform.platform import configuration, route

from .stage_load import make_route


def worker(name: str, state=WorkerState.READY, started_ms: int = 1) -> Worker:
    return Worker(name, "book", "10.0.0.1", 80, "a", 4, state, started_ms)


def at(revision: int, term: int = 1) -> StorePosition:
    return StorePosition(term, revision)


def stored(version: int, routes=()) -> bytes:
    return msgspec.json.encode(configuration(version, list(routes), []))


def make_catalogue() -> tuple[Catalogue, ManualClock, list[str]]:
    clock, events = ManualClock(), []
    catalogue = Catalogue(
        clock, decode_configuration, lambda kind, **fields: events.append(kind)
    )
    return catalogue, clock, events


def test_an_older_configuration_never_replaces_a_newer_one():
    catalogue, _, _ = make_catalogue()
    assert catalogue.update_configuration(at(9), stored(3), "store")
    assert not catalogue.update_configuration(at(7), stored(2), "peer")
    assert catalogue.configuration.version == 3


def test_an_unreadable_configuration_changes_nothing():
    catalogue, _, events = make_catalogue()
    catalogue.update_configuration(at(9), stored(3), "store")
    assert not catalogue.update_configuration(at(10), b'{"version": "x"}', "store")
    assert not catalogue.update_configuration(at(11), b"\xff", "store")
    assert catalogue.configuration.version == 3
    assert events.count("configuration_unreadable") == 2


def test_an_outdated_list_of_workers_restores_no_removed_worker():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(5), [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(at(6), [("w1", None)], "store")
    assert not catalogue.update_workers(at(5), [worker("w1")], "peer")
    assert [ready.id for ready in catalogue.workers_of("book")] == ["w2"]


def test_old_changes_of_the_store_do_not_undo_what_a_peer_told():
    """A worker that drained got requests again from an answer that was seconds old."""
    catalogue, _, _ = make_catalogue()
    draining = worker("w1", state=WorkerState.DRAINING)
    catalogue.update_workers(at(5), [worker("w1"), worker("w2")], "store")
    catalogue.update_workers(at(9), [draining], "peer edge-2")
    old = [("w1", worker("w1")), ("w2", worker("w2")), ("w3", worker("w3"))]
    catalogue.apply_worker_changes(at(8), old, "store")
    assert catalogue.workers_of("book") == ()
    assert catalogue.workers_position == at(9)
    catalogue.apply_worker_changes(at(9), [("w1", draining)], "store")
    assert catalogue.workers_of("book") == ()
    catalogue.apply_worker_changes(at(10), [("w3", worker("w3"))], "store")
    assert [ready.id for ready in catalogue.workers_of("book")] == ["w3"]


def test_a_worker_that_is_registered_again_in_a_newer_revision_is_used():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(5), [worker("w1")], "store")
    catalogue.apply_worker_changes(at(6), [("w1", None)], "store")
    catalogue.apply_worker_changes(at(8), [("w1", worker("w1", started_ms=2))], "store")
    assert [ready.started_ms for ready in catalogue.workers_of("book")] == [2]


def test_entries_that_expired_in_an_outage_are_kept_for_a_grace_period():
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(5), [worker("w1")], "store")
    catalogue.update_workers(at(9), [], "store", after_outage=True)
    assert len(catalogue.workers_of("book")) == 1
    clock.advance(1.8)
    assert catalogue.workers_of("book") == ()


def test_a_draining_entry_that_expired_in_an_outage_is_not_kept():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(5), [worker("w1", WorkerState.DRAINING)], "store")
    catalogue.update_workers(at(9), [], "store", after_outage=True)
    assert not catalogue.workers


def test_a_worker_that_announces_its_shutdown_is_not_used_any_more():
    catalogue, _, _ = make_catalogue()
    leaving = worker("w1")
    catalogue.update_workers(at(5), [leaving], "store")
    catalogue.record_draining(leaving, "answer")
    assert catalogue.workers_of("book") == ()
    assert not catalogue.usable(leaving)


def test_the_longest_prefix_up_to_a_slash_selects_the_route():
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
    budget = RetryBudget(ratio=0.2, slack=10, window_s=10.0)
    for _ in range(100):
        budget.record_first_send(0.0)
    assert sum(budget.spend(1.0) for _ in range(100)) == 18
    assert budget.spend(11.5)


def test_only_complete_events_are_forwarded():
    events = EventSplitter()
    assert events.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert (events.last_id, events.has_partial_event) == ("1", True)
    assert event_ids(events.feed(b"ta: b\n\n")) == ["2"]
    assert (events.last_id, events.has_partial_event) == ("2", False)


class NoNetwork:
    """Network that ignores the addresses of peers and sends nothing."""

    def add_addresses(self, addresses) -> None:
        pass


def record(name: str, capacity: float = 1.0) -> PeerRecord:
    return PeerRecord(InstanceId(name), "h", 1, DataCentreId("a"), 1, capacity)


def make_peers(own: PeerRecord) -> Peers:
    """Return the peers table of a stable instance."""
    clock = ManualClock()
    peers = make_peers_on(clock, own)
    clock.advance(10.0)
    peers.update_stability(clock.monotonic_s())
    return peers


def set_stable_records(peers: Peers, records: list[PeerRecord]) -> None:
    """Set the records of an instance and mark all of its peers as stable."""
    peers.set_records(records)
    for peer in records:
        peers.record_heartbeat(
            peer.instance, Heartbeat(1, 1, 1, False, uptime_ms=60_000.0)
        )


def make_peers_on(clock: ManualClock, own: PeerRecord) -> Peers:
    return Peers(own, NoNetwork(), clock, None, lambda *a, **k: None)


def test_all_instances_rank_dispatchers_in_the_same_order():
    records = [record(f"edge-{n}") for n in range(9)]
    ranks = set()
    for own in records:
        peers = make_peers(own)
        set_stable_records(peers, records)
        ranks.add(tuple(peers.rank("encode", True)))
    assert len(ranks) == 1


def test_low_capacity_instances_dispatch_only_if_there_is_no_other():
    small = [record(f"small-{n}", 5.0) for n in range(20)]
    large = [record(f"large-{n}", 400.0) for n in range(3)]
    peers = make_peers(small[0])
    set_stable_records(peers, small + large)
    for service in ("encode", "search", "model", "book"):
        assert peers.rank(service, True)[0].startswith("large")
    set_stable_records(peers, small)
    assert peers.rank("encode", True)[0].startswith("small")


def test_a_stopping_instance_is_no_dispatcher():
    peers = make_peers(record("edge-0"))
    set_stable_records(peers, [record(f"edge-{n}") for n in range(4)])
    first = peers.rank("encode", True)[0]
    if first == "edge-0":
        assert peers.rank("encode", False)[0] != "edge-0"
    else:
        peers.record_stopping(first)
        assert first not in peers.rank("encode", True)


@pytest.mark.parametrize(
    "objective_ms, max_event_gap_ms, deadline_ms, expected_ms",
    [
        (920.0, 300.0, 6_000.0, 3_680.0),
        (150.0, 300.0, 6_000.0, 2_400.0),
        (150.0, 100.0, 6_000.0, 2_000.0),
        (1_500.0, 300.0, 5_000.0, 5_000.0),
    ],
)
def test_callers_of_streams_disconnect_before_their_deadline(
    objective_ms, max_event_gap_ms, deadline_ms, expected_ms
):
    rule = make_route("quote", 1, objective_ms, deadline_ms, [])
    rule = replace(rule, max_event_gap_ms=max_event_gap_ms)
    assert abandon_after_ms(rule, deadline_ms) == expected_ms


def test_all_instances_switch_to_a_restarted_dispatcher_at_the_same_time():
    """Guards against two dispatchers of a service during rolling restarts.

    The other instances read the new entry of a restarted one up to two seconds apart.
    """
    clock = ManualClock()
    records = [record(f"edge-{n}") for n in range(4)]
    fleet = [make_peers_on(clock, own) for own in records]
    for peers in fleet:
        peers.set_records(records)
    clock.advance(10.0)
    for peers in fleet:
        peers.update_stability(clock.monotonic_s())
    first = fleet[0].rank("encode", True)[0]
    others = [peers for peers in fleet if peers.own != first]
    restarted = replace(next(r for r in records if r.instance == first), started_ms=2)
    changed = [restarted if r.instance == first else r for r in records]
    dispatchers = []
    for step in range(30):
        clock.advance(0.2)
        now_s = clock.monotonic_s()
        for number, peers in enumerate(others):
            if step == 5 * number:
                peers.set_records(changed)
            if step >= 5 * number:
                peers.record_heartbeat(
                    first, Heartbeat(1, 1, 1, False, uptime_ms=200.0 * step)
                )
            peers.update_stability(now_s)
        dispatchers.append({peers.rank("encode", True)[0] for peers in others})
    assert all(len(names) == 1 for names in dispatchers[11:])
    assert dispatchers[11] != {first}
    assert dispatchers[-1] == {first}


class StartedTasks:
    """Task supervisor that counts tasks instead of running them."""

    def __init__(self):
        self.started = 0

    def start_soon(self, *args) -> None:
        self.started += 1


def make_peer_sync() -> tuple[PeerSync, Catalogue, ManualClock, StartedTasks]:
    catalogue, clock, _ = make_catalogue()
    catalogue.update_configuration(at(1), stored(1), "store")
    catalogue.update_workers(at(1), [worker("w1")], "store")
    tasks = StartedTasks()
    sync = PeerSync(
        catalogue, None, tasks, lambda *a, **k: None, lambda: None, None, clock
    )
    return sync, catalogue, clock, tasks


def make_heartbeat(revision: int, catalogue: Catalogue) -> Heartbeat:
    """Return the heartbeat of a peer with the same workers and this configuration."""
    workers = catalogue.workers_position
    return Heartbeat(
        revision,
        workers.revision,
        catalogue.workers_digest,
        False,
        configuration_term=1,
        workers_term=workers.term,
        configuration_version=revision,
    )


def test_a_configuration_is_fetched_from_a_peer_only_if_the_store_is_slow():
    sync, catalogue, clock, tasks = make_peer_sync()
    sync.handle_heartbeat("edge-2", make_heartbeat(2, catalogue))
    clock.advance(0.5)
    sync.handle_heartbeat("edge-2", make_heartbeat(2, catalogue))
    assert tasks.started == 0
    clock.advance(0.3)
    sync.handle_heartbeat("edge-2", make_heartbeat(2, catalogue))
    assert tasks.started == 1


def test_rapid_versions_are_not_fetched_from_a_peer_while_the_store_delivers_them():
    sync, catalogue, clock, tasks = make_peer_sync()
    for revision in range(2, 12):
        sync.handle_heartbeat("edge-2", make_heartbeat(revision, catalogue))
        clock.advance(0.35)
        catalogue.update_configuration(at(revision), stored(revision), "store")
    assert tasks.started == 0


def test_rapid_versions_are_fetched_from_a_peer_if_the_store_delivers_none():
    sync, catalogue, clock, tasks = make_peer_sync()
    for revision in range(2, 6):
        sync.handle_heartbeat("edge-2", make_heartbeat(revision, catalogue))
        clock.advance(0.35)
    assert tasks.started == 1


def test_one_instance_leads_for_a_key_and_no_rank_of_it_is_kept():
    records = [record(f"edge-{n}") for n in range(5)]
    fleet = [make_peers(own) for own in records]
    for peers in fleet:
        set_stable_records(peers, records)
    ranks = [dict(peers._ranks) for peers in fleet]
    leaders = [
        [peers.own for peers in fleet if peers.leads(f"k{n}")] for n in range(50)
    ]
    assert {len(names) for names in leaders} == {1}
    assert len({names[0] for names in leaders}) == len(records)
    assert [peers._ranks for peers in fleet] == ranks
