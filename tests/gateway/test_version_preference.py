"""While gateways without records of streams are running, streams are not mixed."""

import msgspec
import pytest
import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import InstanceId
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.dispatch.dispatcher import Dispatcher
from acaciapier.gateway.dispatch.version_preference import (
    KeptVersions,
    VersionPreference,
)
from acaciapier.gateway.models import StorePosition, Worker, WorkerState
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.platform.configuration import decode_configuration
from acaciapier.wire.messages.gateway import (
    AcquireWorker,
    HeldPermits,
    PermitEnded,
    PermitStarted,
    WorkerGranted,
    WorkRefused,
)
from acaciapier_standins.platform.platform import configuration, route

OWN, NEW, OLD = InstanceId("edge-1"), InstanceId("edge-2"), InstanceId("edge-3")
PROMPT, OTHER_PROMPT = (("p", 8), ("q1", 2)), (("p", 8), ("q2", 2))


def listed(name: str, version: str, started_ms: int = 1) -> Worker:
    return Worker(
        name,
        "model",
        "10.0.0.1",
        80,
        "a",
        4,
        WorkerState.READY,
        started_ms,
        software_version=version,
    )


class World:
    """A dispatcher of this build, and instances of which some are of earlier ones."""

    def __init__(self, nursery: trio.Nursery, workers: list[Worker]):
        self.clock = ManualClock()
        self.catalogue = Catalogue(self.clock, decode_configuration)
        self.earlier = {OLD}
        self.log = []
        self._position = 0
        self._permits = 0
        routes = [
            route("mail", "streaming", "model", resumable=True),
            route("chat", "streaming", "model", max_attempts=1),
            route("lookup", "idempotent", "book"),
        ]
        services = [{"name": name, "max_conns": 100} for name in ("model", "book")]
        self.catalogue.update_configuration(
            StorePosition(1, 1),
            msgspec.json.encode(configuration(1, routes, services)),
            "store",
        )
        self.dispatcher = Dispatcher(
            self.catalogue,
            None,
            self.clock,
            lambda kind, **fields: None,
            TaskSupervisor(nursery, lambda error: None),
            GatewayBounds(0.2, 58, 10_000.0, 8_000.0),
            OWN,
            versions=KeptVersions(
                self.catalogue,
                lambda: self.earlier,
                lambda kind, **fields: self.log.append((kind, fields)),
            ),
        )
        self.list_workers(workers)

    def list_workers(self, workers: list[Worker]) -> None:
        self._position += 1
        position = StorePosition(1, self._position)
        self.catalogue.update_workers(position, workers, "store")
        self.dispatcher.workers_changed()

    async def ask(self, instance=OLD, parts=(), service="model", **fields):
        """Return the permit and the version of the granted worker, or the refusal."""
        self._permits += 1
        message = AcquireWorker(
            service=service,
            permit=f"p{self._permits}",
            prompt_tokens=10,
            output_tokens=10,
            parts=parts,
            input_bytes=(),
            priority=0,
            value=1.0,
            due_ms=100.0,
            expires_ms=200.0,
            avoid=(),
            repeat=False,
            **fields,
        )
        answer = await self.dispatcher.acquire(instance, message)
        if isinstance(answer, WorkRefused):
            return message.permit, answer.cause
        assert isinstance(answer, WorkerGranted)
        worker = self.catalogue.workers[answer.worker]
        started = PermitStarted(service, message.permit, 5.0)
        await self.dispatcher.permit_started(instance, started)
        return message.permit, worker.software_version

    async def end(self, permit: str, outcome: str = "done", instance=OLD) -> None:
        ended = PermitEnded("model", permit, outcome, 50.0)
        await self.dispatcher.permit_ended(instance, ended)

    async def versions(self, count: int = 6, **fields) -> set[str]:
        """Return the versions of several grants that are held together."""
        return {(await self.ask(**fields))[1] for _ in range(count)}

    def logged(self, kind: str) -> list[dict]:
        return [fields for logged, fields in self.log if logged == kind]


TWO_VERSIONS = [listed("w1", "v1"), listed("w2", "v2"), listed("w3", "v2")]


@pytest.fixture
async def world():
    async with trio.open_nursery() as nursery:
        yield World(nursery, TWO_VERSIONS)
        nursery.cancel_scope.cancel()


def test_the_version_with_the_most_slots_is_preferred_then_the_first_by_name():
    assert VersionPreference().update({"v1": 4, "v2": 8}) == "v2"
    assert VersionPreference().update({"v2": 4, "v1": 4}) == "v1"
    assert VersionPreference().update({}) is None


def test_a_preferred_version_stays_until_it_has_few_slots():
    preference = VersionPreference()
    assert preference.update({"v1": 8, "v2": 4}) == "v1"
    assert preference.update({"v1": 4, "v2": 12}) == "v1"
    assert preference.update({"v1": 4, "v2": 16}) == "v2"
    assert preference.update({"v1": 4, "v2": 4}) == "v2"
    assert preference.update({"v1": 4}) == "v1"


def test_a_preferred_version_is_kept_while_no_worker_is_ready():
    preference = VersionPreference()
    assert preference.update({"v1": 4}) == "v1"
    assert preference.update({}) == "v1"
    assert preference.update({"v1": 4, "v2": 8}) == "v1"


async def test_instances_of_both_builds_begin_streams_at_one_version(world):
    assert await world.versions(instance=OLD) | await world.versions(
        instance=NEW, count=2
    ) == {"v2"}
    assert len(world.logged("software_version_kept")) == 1


async def test_a_version_that_a_request_names_is_granted(world):
    assert await world.versions(software_version="v1", instance=NEW, count=2) == {"v1"}


async def test_requests_that_no_later_one_depends_on_use_all_workers(world):
    assert await world.versions(count=9, any_version=True, instance=NEW) == {"v1", "v2"}


async def test_nothing_is_kept_without_earlier_builds(world):
    world.earlier = set()
    assert await world.versions(count=9) == {"v1", "v2"}
    assert world.log == []


async def test_a_single_version_is_not_restricted(world):
    world.list_workers([listed("w1", "v1"), listed("w2", "v1")])
    permits = [await world.ask() for _ in range(8)]
    assert {version for _, version in permits} == {"v1"}
    assert world.log == []


async def test_services_without_resumable_routes_use_all_versions(world):
    books = [
        msgspec.structs.replace(worker, service="book", id=f"b{worker.id}")
        for worker in TWO_VERSIONS
    ]
    world.list_workers(books)
    assert await world.versions(count=9, service="book") == {"v1", "v2"}


@pytest.mark.parametrize("outcome", ["failed", "cancelled", "done"])
async def test_a_broken_stream_of_the_former_version_is_not_mixed_at_an_old_instance(
    world, outcome
):
    permit, version = await world.ask(NEW, PROMPT)
    assert version == "v2"
    await world.end(permit, outcome, NEW)
    world.list_workers(
        [*(listed(f"n{number}", "v3") for number in range(7)), *TWO_VERSIONS]
    )
    assert (await world.ask(NEW, OTHER_PROMPT))[1] == "v3"
    assert (await world.ask(OLD, OTHER_PROMPT))[1] == "v3"
    assert (await world.ask(OLD, PROMPT))[1] == "v2"


async def test_a_stream_of_a_version_without_workers_is_refused_at_an_old_instance(
    world,
):
    permit, _ = await world.ask(NEW, PROMPT)
    await world.end(permit, "failed", NEW)
    world.list_workers([listed("n1", "v3")])
    assert (await world.ask(OLD, OTHER_PROMPT))[1] == "v3"
    assert (await world.ask(OLD, PROMPT))[1] == "no_worker"
    assert (await world.ask(NEW, PROMPT))[1] == "v3"
    world.clock.advance(3.0)
    assert (await world.ask(OLD, PROMPT))[1] == "v3"


async def test_a_request_that_may_resume_streams_of_two_versions_is_refused(world):
    first, _ = await world.ask(NEW, PROMPT)
    second, version = await world.ask(NEW, PROMPT, software_version="v1")
    assert version == "v1"
    assert (await world.ask(OLD, PROMPT))[1] == "no_worker"
    assert world.logged("stream_version_ambiguous")
    await world.end(first, "done", NEW)
    world.clock.advance(2.1)
    await world.end(second, "done", NEW)
    assert (await world.ask(OLD, PROMPT))[1] == "v1"


async def test_streams_of_an_instance_that_ends_are_remembered(world):
    await world.ask(NEW, PROMPT)
    world.dispatcher.remove_owner(NEW)
    world.list_workers([listed("n1", "v3")])
    assert (await world.ask(OLD, PROMPT))[1] == "no_worker"


async def test_streams_that_an_earlier_dispatcher_granted_are_not_mixed(world):
    held = HeldPermits("model", (("x", "w1/1", 10, 10),))
    await world.dispatcher.held_permits(OLD, held)
    assert (await world.ask(OLD, PROMPT))[1] == "v1"
    assert (await world.ask(NEW, PROMPT))[1] == "v2"
    await world.end("x")


async def test_a_slot_whose_end_another_dispatcher_was_told_counts_for_a_timeout(world):
    held = HeldPermits("model", (("x", "w1/1", 10, 10),))
    await world.dispatcher.held_permits(OLD, held)
    world.clock.advance(1.9)
    assert (await world.ask(OLD, PROMPT))[1] == "v1"
    world.clock.advance(0.2)
    assert (await world.ask(OLD, OTHER_PROMPT))[1] == "v2"


async def test_a_call_without_an_answer_leaves_no_stream_to_resume(world):
    message = AcquireWorker(
        "model", "x", 0, 0, PROMPT, (), 0, 1.0, 9.0, 9.0, (), False, "v1"
    )
    await world.dispatcher.acquire(NEW, message)
    await world.end("x", "unreachable", NEW)
    assert (await world.ask(OLD, PROMPT))[1] == "v2"


async def test_waiting_requests_are_refused_when_the_kept_version_leaves(world):
    await world.versions(count=8, instance=NEW)
    answers = []

    async def ask():
        answers.append((await world.ask(NEW))[1])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert not answers
        world.list_workers([listed("w1", "v1")])
        with trio.fail_after(0.1):
            while not answers:
                await trio.sleep(0.001)
    assert answers == ["no_worker"]


async def test_the_end_is_logged_when_the_last_earlier_build_has_left(world):
    await world.versions(count=2)
    world.earlier = set()
    assert await world.versions(count=9, instance=NEW) == {"v1", "v2"}
    assert world.logged("software_version_kept_ended") == [
        {"service": "model", "reason": "no earlier build"}
    ]
