"""A stream goes on only at the software version of workers that began it."""

import msgspec
import pytest
import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch import dispatch_client
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.models import ServiceName, ServiceRule, WorkerState
from acaciapier.gateway.software_versions import RETENTION_MS
from acaciapier.platform.configuration import decode_configuration
from acaciapier.platform.workers import decode_worker
from acaciapier.wire.messages.gateway import AcquireWorker, WorkerEntry
from acaciapier_standins.platform.platform import configuration

from .support import deployment
from .test_broken_streams import EVENTS
from .test_dispatcher import CALLER, acquire_message, make_dispatcher
from .test_instance_state import at, make_catalogue, worker

ENTRY = {"service": "model", "addr": "10.0.0.1:80", "zone": "a", "state": "ready"}


def test_the_version_of_a_worker_is_decoded():
    assert decode_worker("w", ENTRY | {"version": "v7"}).software_version == "v7"


@pytest.mark.parametrize("fields", [{}, {"version": 7}, {"version": None}])
def test_an_entry_without_a_version_names_no_worker(fields):
    with pytest.raises(ValueError, match="malformed"):
        decode_worker("w", ENTRY | fields)


async def test_a_worker_whose_entry_has_no_version_gets_no_request():
    async with deployment() as world:
        catalogue = world.gateways[0].catalogue
        address = world.platform.workers["model-2"].address
        world.platform.deregister("model-2")
        await world.until(lambda: names_of(catalogue) == {"model-1"})
        world.platform.store.put("servers", "model-3", ENTRY | {"addr": address})
        await world.platform.add_worker("model-4", "model", kind="stream")
        await world.until(lambda: "model-4" in names_of(catalogue))
        world.platform.deregister("model-4")
        await world.until(lambda: names_of(catalogue) == {"model-1"})
        for number in range(8):
            attempt = f"a{number}"
            await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id=attempt)
            (run,) = world.platform.run_log.runs_of(attempt)
            assert run.worker == "model-1"


def names_of(catalogue) -> set[str]:
    return {worker.id for worker in catalogue.workers_of(ServiceName("model"))}


def test_a_peer_of_an_earlier_release_names_no_version():
    entry = WorkerEntry("w", "model", "h", 1, "a", 8, "ready", 1, 0.0)
    assert entry.software_version == ""


def versioned(name: str, version: str):
    plain = worker(name)
    fields = {field: getattr(plain, field) for field in plain.__struct_fields__}
    return type(plain)(**fields | {"software_version": version})


def test_a_request_waits_only_for_workers_of_its_version():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 10))
    workers = [versioned("w1", "v1"), versioned("w2", "v2")]
    assert all(listed.state is WorkerState.READY for listed in workers)
    for number in range(workers[1].slots):
        allocator.add(SlotRequest(f"p{number}", "i", 9.0, 9.0, software_version="v2"))
    allocator.add(SlotRequest("late", "i", 1.0, 9.0, software_version="v2"))
    allocator.add(SlotRequest("any", "i", 9.0, 9.0))
    granted = {r.permit: w.id for r, w in allocator.assign(workers, 0.0)}
    assert granted.pop("any") == "w1"
    assert set(granted.values()) == {"w2"}
    assert len(granted) == workers[1].slots


async def resumed(world, versions: dict[str, str]):
    """Crash the first worker of a stream; return the response and its workers."""
    for name, version in versions.items():
        if name not in world.platform.workers:
            await world.platform.add_worker(name, "model", kind="stream")
        world.platform.register(name, version=version)
    catalogue = world.gateways[0].catalogue
    await world.until(
        lambda: (
            {
                listed.id: listed.software_version
                for listed in catalogue.workers_of(ServiceName("model"))
            }
            == versions
        )
    )
    for name in versions:
        world.platform.workers[name].faults.pause_s = 0.3
    caller = world.caller()
    await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
    await world.until(lambda: world.platform.run_log.runs)
    await trio.sleep(0.1)
    world.platform.crash(world.platform.run_log.runs[0].worker)
    answer = await caller.receive()
    return answer, [run.worker for run in world.platform.run_log.runs_of("a1")]


async def test_a_broken_stream_is_not_resumed_at_another_version():
    async with deployment() as world:
        versions = {"model-1": "v1", "model-2": "v2"}
        answer, workers = await resumed(world, versions)
        assert len(workers) == 1
        assert not answer.complete
        assert EVENTS.startswith(answer.body)


async def test_a_broken_stream_is_resumed_at_its_version():
    async with deployment() as world:
        versions = {"model-1": "v1", "model-2": "v2", "model-3": "v1", "model-4": "v2"}
        answer, workers = await resumed(world, versions)
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert len(workers) == 2
        assert versions[workers[0]] == versions[workers[1]]


async def test_a_worker_of_another_version_that_is_granted_gets_nothing(monkeypatch):
    versions_asked = []

    async def acquire_any(self, peer, message):
        """Grant workers of any version, as dispatchers of earlier releases do."""
        versions_asked.append(message.software_version)
        message = msgspec.structs.replace(message, software_version=None)
        return await Dispatcher.acquire(self, peer, message)

    monkeypatch.setitem(dispatch_client.LOCAL_CALLS, AcquireWorker, acquire_any)
    async with deployment() as world:
        answer, workers = await resumed(world, {"model-1": "v1", "model-2": "v2"})
        assert set(versions_asked) <= {"v1", "v2"}
        assert versions_asked[1:]
        assert len(workers) == 1
        assert not answer.complete


def test_a_peer_of_an_earlier_release_does_not_erase_versions():
    catalogue, _, _ = make_catalogue()
    listed = [versioned("w1", "v1"), versioned("w2", "v2")]
    catalogue.update_workers(at(1), listed, "store")
    unversioned = [versioned("w1", ""), versioned("w2", "")]
    catalogue.update_workers(at(2), [*unversioned, versioned("w3", "")], "peer e2")
    versions = {w.id: w.software_version for w in catalogue.workers.values()}
    assert versions == {"w1": "v1", "w2": "v2", "w3": ""}
    later = msgspec.structs.replace(versioned("w1", ""), started_ms=9)
    catalogue.apply_worker_changes(at(3), [("w1", later)], "peer e2")
    assert catalogue.workers["w1"].software_version == ""


def test_a_list_of_the_store_adds_the_versions_that_a_peer_did_not_know():
    catalogue, _, _ = make_catalogue()
    unversioned = [versioned("w1", ""), versioned("w2", "")]
    catalogue.update_workers(at(2), unversioned, "peer e2")
    changes = []
    catalogue._on_change = lambda kind, **fields: changes.append(kind)
    listed = [versioned("w1", "v1"), versioned("w2", "v2")]
    catalogue.update_workers(at(2), listed, "store")
    versions = {w.id: w.software_version for w in catalogue.workers.values()}
    assert versions == {"w1": "v1", "w2": "v2"}
    (first, second) = catalogue.workers_of(ServiceName("book"))
    assert (first.software_version, second.software_version) == ("v1", "v2")
    assert not changes


@pytest.mark.parametrize("path", ["leaves", "restarts_as_another"])
async def test_a_waiting_stream_is_refused_when_its_version_serves_no_more(path):
    clock = ManualClock()
    catalogue = Catalogue(clock, decode_configuration)
    source = configuration(1, [], [{"name": "book", "max_conns": 100}])
    catalogue.update_configuration(at(1), msgspec.json.encode(source), "store")
    only = msgspec.structs.replace(versioned("w1", "v1"), slots=1)
    catalogue.update_workers(at(1), [only, versioned("w2", "v2")], "store")
    answers = []

    async def acquire(permit: str) -> None:
        message = msgspec.structs.replace(
            acquire_message(permit), software_version="v1", expires_ms=60_000.0
        )
        answers.append(await dispatcher.acquire(CALLER, message))

    async with trio.open_nursery() as nursery:
        dispatcher = make_dispatcher(nursery, catalogue, clock, CALLER)
        nursery.start_soon(acquire, "first")
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(acquire, "waits")
        await trio.testing.wait_all_tasks_blocked()
        assert len(answers) == 1
        left = [versioned("w2", "v2")]
        if path == "restarts_as_another":
            left.append(
                msgspec.structs.replace(only, started_ms=9, software_version="v2")
            )
        catalogue.update_workers(at(2), left, "store")
        dispatcher.workers_changed()
        await trio.testing.wait_all_tasks_blocked()
        assert answers[1].cause == "no_worker"
        nursery.cancel_scope.cancel()


async def list_without_versions(world) -> None:
    """Let an instance know its workers only from a peer of an earlier release."""
    catalogue = world.gateways[0].catalogue
    position = catalogue.workers_position
    position = position._replace(revision=position.revision + 1_000)
    unversioned = [
        msgspec.structs.replace(known, software_version="")
        for known in catalogue.workers.values()
    ]
    catalogue.workers.clear()
    catalogue.update_workers(position, unversioned, "peer e2")
    assert {known.software_version for known in catalogue.workers.values()} == {""}


async def test_a_stream_of_a_worker_without_a_known_version_goes_on_nowhere():
    async with deployment() as world:
        await list_without_versions(world)
        for name in ("model-1", "model-2"):
            world.platform.workers[name].faults.pause_s = 0.3
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs_of("a1"))
        await trio.sleep(0.1)
        world.platform.crash(world.platform.run_log.runs_of("a1")[0].worker)
        answer = await caller.receive()
        assert EVENTS.startswith(answer.body)
        assert answer.body
        assert not answer.complete
        assert len(world.platform.run_log.runs_of("a1")) == 1
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a2", Resumes="a1", Last_Event_Id="1"
        )
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("a2")


async def test_a_stream_of_a_worker_without_a_known_version_is_served():
    async with deployment() as world:
        await list_without_versions(world)
        answer = await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id="a1")
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


async def test_no_version_is_concluded_from_workers_without_a_known_one():
    async with deployment() as world:
        world.age_lists(RETENTION_MS / 1_000.0)
        await list_without_versions(world)
        world.gateways[0].catalogue.serving._removed_s.clear()
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a1", Last_Event_Id="1"
        )
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("a1")
