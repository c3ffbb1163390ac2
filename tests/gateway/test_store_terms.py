"""Terms of the store: it returns from a copy and assigns its revisions again."""

from contextlib import asynccontextmanager

import pytest
import trio

from acaciapier.exceptions import StoreUnavailable, VersionConflict, WatchCompacted
from acaciapier.gateway.models import StorePosition, WorkerState
from acaciapier.gateway.peer_sync import PeerSync
from acaciapier.gateway.settings import Address
from acaciapier.platform.store import PlatformStore
from acaciapier.platform.workers import PEER_KIND
from acaciapier.wire.messages.gateway import FetchUpdates, Heartbeat, PeerUpdates
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import (
    HOST,
    StandInPlatform,
    configuration,
)

from .support import SERVICES, deployment
from .test_instance_state import StartedTasks, at, make_catalogue, stored, worker

LEAVING = WorkerState.DRAINING


@asynccontextmanager
async def store_and_client():
    """Run a stand-in store; yield it, a client of it and the client's log events."""
    events = []
    async with trio.open_nursery() as nursery:
        platform = StandInPlatform(nursery)
        await platform.start()
        client = PlatformStore(
            Address(HOST, platform.store_port),
            log=lambda kind, **fields: events.append((kind, fields)),
        )
        yield platform.store, client, events
        nursery.cancel_scope.cancel()


async def test_lists_and_watches_carry_the_term():
    async with store_and_client() as (store, client, _):
        store.put("things", "a", 1)
        assert (await client.list("things")).position == (1, store.revision)
        store.put("things", "b", 2)
        changes = await client.watch("things", at(2), 100)
        assert changes.position == (1, store.revision)
        store.restore(0.0)
        assert (await client.list("things")).position == (2, store.revision)


async def test_a_refused_call_tells_the_term():
    async with store_and_client() as (store, client, _):
        await client.list("things")
        seen = []
        client.on_new_term = lambda previous: seen.append((previous, client.term))
        store.restore(0.0)
        store.faults.down = True
        with pytest.raises(StoreUnavailable):
            await client.list("things")
        assert seen == [(1, 2)]


async def test_a_watch_of_an_earlier_term_is_not_continued():
    """The restored store has assigned the revision again, to another change."""
    async with store_and_client() as (store, client, _):
        for number in range(3):
            store.put("things", f"old-{number}", number)
        position = (await client.list("things")).position
        store.restore(100.0)
        for number in range(5):
            store.put("things", f"new-{number}", number)
        assert store.revision > position.revision
        with pytest.raises(WatchCompacted):
            await client.watch("things", position, 100)


async def test_a_watch_from_a_revision_that_the_store_does_not_have_is_listed_again():
    async with store_and_client() as (store, client, _):
        for number in range(3):
            store.put("things", f"old-{number}", number)
        position = (await client.list("things")).position
        store.restore(100.0)
        with pytest.raises(WatchCompacted):
            await client.watch("things", position, 100)


async def test_a_condition_of_an_earlier_term_is_not_sent():
    """It could hold for another content with the same revision."""
    async with store_and_client() as (store, client, _):
        store.put("things", "a", "old")
        found = await client.list("things")
        position = found.position_of(found.objects[0])
        store.restore(100.0)
        store.put("things", "a", "new")
        assert store.revision == position.revision
        await client.list("things")
        with pytest.raises(VersionConflict):
            await client.delete("things", "a", position)
        with pytest.raises(VersionConflict):
            await client.replace("things", "a", "older", position)
        assert (await client.list("things")).objects[0].value == "new"


async def test_an_answer_of_an_earlier_term_is_discarded():
    async with store_and_client() as (store, client, _):
        store.term = 5
        await client.list("things")
        store.term = 4
        with pytest.raises(StoreUnavailable, match="term 4"):
            await client.list("things")
        assert client.term == 5


async def test_a_malformed_term_is_logged_once_and_changes_nothing():
    async with store_and_client() as (store, client, events):
        await client.list("things")
        store.term = -1
        assert (await client.list("things")).position.term == 1
        await client.list("things")
        assert events == [("store_term_malformed", {"value": "-1"})]


def test_a_restored_store_brings_no_older_configuration_back():
    catalogue, _, events = make_catalogue()
    catalogue.update_configuration(at(900), stored(12), "store")
    assert not catalogue.update_configuration(at(850, 2), stored(10), "store")
    assert catalogue.configuration.version == 12
    assert "configuration_outdated" in events
    assert catalogue.update_configuration(at(860, 2), stored(13), "store")


def test_a_configuration_that_is_written_again_is_in_force_once():
    catalogue, _, events = make_catalogue()
    catalogue.update_configuration(at(900), stored(12), "store")
    catalogue.update_configuration(at(855, 2), stored(12), "store")
    assert events.count("configuration_in_force") == 1
    assert catalogue.configuration_position == (2, 855)


def test_an_instance_that_started_on_the_copy_accepts_the_newer_configuration():
    """A peer has it from the term before, at a position that counts as earlier."""
    catalogue, _, _ = make_catalogue()
    catalogue.update_configuration(at(850, 2), stored(10), "store")
    assert catalogue.update_configuration(at(900), stored(12), "peer")
    assert catalogue.configuration.version == 12


def test_a_reused_revision_with_other_workers_is_applied():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1")], "store")
    catalogue.update_workers(at(900, 2), [worker("w1"), worker("w2")], "store")
    assert len(catalogue.workers_of("book")) == 2


def test_a_worker_that_had_left_does_not_return_with_the_copy():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(at(901), [("w1", None)], "store")
    catalogue.update_workers(at(850, 2), [worker("w1"), worker("w2")], "store")
    assert [ready.id for ready in catalogue.workers_of("book")] == ["w2"]


def test_a_worker_that_had_left_returns_if_its_entry_outlives_the_copy():
    """Workers whose entry expired although they were running write it again."""
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(at(901), [("w1", None)], "store")
    listed = [worker("w1"), worker("w2")]
    catalogue.update_workers(at(850, 2), listed, "store")
    clock.advance(catalogue.restore_window_ms / 1_000.0)
    assert catalogue.update_workers(at(850, 2), listed, "store")
    assert len(catalogue.workers_of("book")) == 2
    assert not catalogue.update_workers(at(850, 2), [], "store")


def test_a_worker_that_registers_again_in_the_new_term_is_used_at_once():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1")], "store")
    catalogue.apply_worker_changes(at(901), [("w1", None)], "store")
    catalogue.update_workers(at(850, 2), [worker("w1")], "store")
    catalogue.apply_worker_changes(at(851, 2), [("w1", worker("w1"))], "store")
    assert len(catalogue.workers_of("book")) == 1


def test_a_draining_worker_is_not_ready_again_because_the_copy_shows_it():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1")], "store")
    catalogue.apply_worker_changes(at(901), [("w1", worker("w1", LEAVING))], "store")
    catalogue.update_workers(at(850, 2), [worker("w1")], "store")
    assert catalogue.workers_of("book") == ()


def test_an_earlier_incarnation_in_the_copy_does_not_replace_the_running_one():
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1", started_ms=7)], "store")
    catalogue.update_workers(at(850, 2), [worker("w1", started_ms=3)], "store")
    assert [ready.started_ms for ready in catalogue.workers_of("book")] == [7]


def test_workers_that_the_copy_lacks_are_kept_until_they_register_again():
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1"), worker("w2")], "store")
    catalogue.update_workers(at(850, 2), [worker("w1")], "store")
    clock.advance(1.6)
    assert len(catalogue.workers_of("book")) == 2
    catalogue.apply_worker_changes(at(851, 2), [("w2", worker("w2"))], "store")
    clock.advance(60.0)
    assert len(catalogue.workers_of("book")) == 2


def test_a_worker_that_does_not_register_again_is_gone():
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1"), worker("w2")], "store")
    catalogue.update_workers(at(850, 2), [worker("w1")], "store")
    clock.advance(2.0)
    assert [ready.id for ready in catalogue.workers_of("book")] == ["w1"]


def test_two_restores_in_a_row():
    catalogue, clock, _ = make_catalogue()
    catalogue.update_workers(at(900), [worker("w1"), worker("w2")], "store")
    catalogue.apply_worker_changes(at(901), [("w1", None)], "store")
    both = [worker("w1"), worker("w2")]
    catalogue.update_workers(at(850, 2), both, "store")
    clock.advance(1.0)
    catalogue.update_workers(at(800, 3), both, "store")
    assert [ready.id for ready in catalogue.workers_of("book")] == ["w2"]
    assert catalogue.workers_position == (3, 800)


def test_news_of_an_earlier_term_is_ignored():
    """A cut instance returns with a table of the term before, at a higher revision."""
    catalogue, _, _ = make_catalogue()
    catalogue.update_workers(at(850, 2), [worker("w1")], "store")
    assert not catalogue.update_workers(at(999), [], "peer")
    catalogue.apply_worker_changes(at(999), [("w1", None)], "store")
    assert len(catalogue.workers_of("book")) == 1


def make_exchange():
    """Return a peer synchronization, its catalogue and the tasks that it started."""
    catalogue, clock, _ = make_catalogue()
    tasks = StartedTasks()
    sync = PeerSync(
        catalogue, None, tasks, lambda *a, **k: None, lambda: None, None, clock
    )
    return sync, catalogue, tasks


async def test_peers_hand_on_tables_with_their_term():
    giver, known, _ = make_exchange()
    known.update_configuration(at(850, 2), stored(12), "store")
    known.update_workers(at(850, 2), [worker("w1"), worker("w2")], "store")
    taker, behind, tasks = make_exchange()
    behind.update_configuration(at(900), stored(11), "store")
    behind.update_workers(at(900), [worker("w1")], "store")
    heartbeat = Heartbeat(
        850, 850, known.workers_digest, False, "", False, 0.0, 2, 2, 12
    )
    taker.handle_heartbeat("edge-1", heartbeat)
    assert tasks.started == 1
    request = taker._fetch_request(heartbeat, True)
    updates = await giver.answer_fetch("edge-2", request)
    taker._apply_updates("edge-1", updates)
    assert behind.configuration.version == 12
    assert behind.workers_position == (2, 850)
    answer = await taker.answer_fetch("edge-1", request)
    assert isinstance(answer, PeerUpdates)


async def test_processes_of_the_earlier_release_are_understood():
    """They send no terms; what they know is of the first term that was seen."""
    sync, catalogue, tasks = make_exchange()
    catalogue.update_configuration(at(5), stored(3), "store")
    catalogue.update_workers(at(5), [worker("w1")], "store")
    sync.handle_heartbeat("old", Heartbeat(5, 6, 17, False))
    assert tasks.started == 1
    answer = await sync.answer_fetch("old", FetchUpdates(4, 4))
    assert answer.configuration == stored(3) and len(answer.workers) == 1
    catalogue.update_workers(at(3, 2), [worker("w1")], "store")
    sync._fetching = False
    sync.handle_heartbeat("old", Heartbeat(5, 6, 17, False))
    assert tasks.started == 1


async def test_a_fleet_goes_through_a_restore_of_the_store():
    async with deployment(gateways=2) as world:
        platform = world.platform
        await trio.sleep(0.3)
        platform.configure(configuration(5, ROUTES, SERVICES))
        platform.deregister("book-1")
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: gateway.catalogue.version == 5)
            await world.until(
                lambda gateway=gateway: len(gateway.catalogue.workers) == 7
            )
        before = platform.store.revision
        platform.store.restore(0.3)
        assert platform.store.revision < before
        seen = []
        with trio.move_on_after(1.0):
            while True:
                for gateway in world.gateways:
                    catalogue = gateway.catalogue
                    seen.append((catalogue.version, len(catalogue.workers_of("book"))))
                await trio.sleep(0.01)
        assert set(seen) == {(5, 1)}
        platform.write_again()
        platform.register("book-2", state="draining")
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: not gateway.catalogue.workers_of("book")
            )
            assert gateway.catalogue.workers_position.term == 2


async def test_instances_register_again_at_once_after_a_restore():
    async with deployment(gateways=1) as world:
        await trio.sleep(0.3)
        await world.add_gateway()
        names = {"edge-1", "edge-2"}
        store = world.platform.store
        await world.until(lambda: set(store.names(PEER_KIND)) == names)
        await world.until(lambda: world.gateways[0].peers.live_count == 2)
        store.restore(10.0)
        store.restore(0.0)
        assert set(store.names(PEER_KIND)) < names
        world.platform.write_again()
        await world.until(lambda: set(store.names(PEER_KIND)) == names, 1.5)
        assert all(gateway.peers.live_count == 2 for gateway in world.gateways)


def test_positions_are_ordered_by_term_and_revision():
    assert StorePosition(1, 900) < StorePosition(2, 1) < StorePosition(2, 2)
