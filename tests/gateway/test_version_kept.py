"""Whatever interrupts a stream, all its events come from one software version."""

import msgspec
import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.exceptions import PeerUnavailable
from acaciapier.gateway.dispatch.dispatcher import HANDED_OVER
from acaciapier.gateway.dispatch.refusal import CANCELLED, Refused
from acaciapier.gateway.models import ServiceName
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.wire.messages.gateway import WorkRefused
from acaciapier_standins.platform.example import ROUTES, STAGES
from acaciapier_standins.platform.platform import configuration, route

from .support import SERVICES, deployment
from .test_broken_streams import EVENTS
from .test_limit_pacing import ask, make_client

MODEL = ServiceName("model")
TWO = {"model-1": "v1", "model-2": "v2"}
FOUR = TWO | {"model-3": "v1", "model-4": "v2"}


async def list_versions(world, versions: dict[str, str]) -> None:
    """List workers of the model service with these versions at all instances."""
    for name, version in versions.items():
        if name not in world.platform.workers:
            await world.platform.add_worker(name, "model", kind="stream")
        world.platform.register(name, version=version)
    for gateway in world.gateways:
        await world.until(
            lambda gateway=gateway: (
                {
                    listed.id: listed.software_version
                    for listed in gateway.catalogue.workers_of(MODEL)
                }
                == versions
            )
        )


def set_faults(world, **faults) -> None:
    for name, worker in world.platform.workers.items():
        if name.startswith("model-"):
            for fault, value in faults.items():
                setattr(worker.faults, fault, value)


async def begin(world, path: str = "/mail/1", gateway: int = 0, **headers: str):
    """Begin a stream; return its caller and the name of its worker."""
    caller = world.caller(gateway)
    await caller.send("POST", path, b"{}", Attempt_Id="a1", **headers)
    await world.until(lambda: world.platform.run_log.runs_of("a1"))
    await trio.sleep(0.1)
    return caller, world.platform.run_log.runs_of("a1")[0].worker


def workers_of_runs(world) -> list[str]:
    return [run.worker for run in world.platform.run_log.runs_of("a1")]


async def test_a_worker_that_is_silent_before_any_event_is_replaced_at_any_version():
    async with deployment() as world:
        await list_versions(world, TWO)
        set_faults(world, mute=True)
        caller, first = await begin(world)
        for name in set(TWO) - {first}:
            world.platform.workers[name].faults.mute = False
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        _, second = world.platform.run_log.runs_of("a1")
        assert TWO[second.worker] != TWO[first]
        assert "last-event-id" not in second.headers


@pytest.mark.parametrize("versions", [TWO, FOUR], ids=["no_other", "another"])
async def test_a_worker_that_is_silent_after_an_event_is_replaced_at_its_version(
    versions,
):
    async with deployment() as world:
        await list_versions(world, versions)
        set_faults(world, silent_after=1)
        caller, first = await begin(world)
        for name in set(versions) - {first}:
            world.platform.workers[name].faults.silent_after = None
        answer = await caller.receive()
        assert answer.complete == (len(versions) == 4)
        assert EVENTS.startswith(answer.body)
        used = workers_of_runs(world)
        assert len(used) == len(versions) / 2
        assert {versions[name] for name in used} == {versions[first]}


@pytest.mark.parametrize("interruption", ["crash", "silence"])
async def test_a_stream_that_a_worker_rejects_stays_at_its_version(interruption):
    async with deployment() as world:
        await list_versions(world, FOUR)
        set_faults(world, silent_after=1)
        caller, first = await begin(world)
        (other,) = [
            name for name in FOUR if FOUR[name] == FOUR[first] and name != first
        ]
        set_faults(world, silent_after=None)
        world.platform.workers[other].faults.not_run = True
        if interruption == "crash":
            world.platform.crash(first)
        answer = await caller.receive()
        # A worker that was silent may serve the rest itself.
        assert answer.complete == (interruption == "silence")
        assert EVENTS.startswith(answer.body)
        assert world.platform.workers[other].requests > 0
        assert set(workers_of_runs(world)) == {first}


async def test_a_stream_whose_stages_run_again_stays_at_its_version():
    async with deployment() as world:
        draft = route("draft", "streaming", "model", stages=STAGES, resumable=True)
        world.platform.configure(configuration(2, [*ROUTES, draft], SERVICES))
        await world.until(lambda: world.gateways[0].catalogue.version == 2)
        await list_versions(world, FOUR)
        set_faults(world, pause_s=0.4)
        caller, first = await begin(
            world, "/draft/1", Chunk_Count="2,1", Chunk_Key="k1"
        )
        world.platform.crash(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        used = workers_of_runs(world)
        assert len(used) == 2
        assert FOUR[used[0]] == FOUR[used[1]]
        assert set(world.platform.run_log.pieces.values()) == {2}


async def test_a_stream_whose_stages_run_again_is_not_resumed_at_another_version():
    async with deployment() as world:
        draft = route("draft", "streaming", "model", stages=STAGES, resumable=True)
        world.platform.configure(configuration(2, [*ROUTES, draft], SERVICES))
        await world.until(lambda: world.gateways[0].catalogue.version == 2)
        await list_versions(world, TWO)
        set_faults(world, pause_s=0.4)
        caller, first = await begin(
            world, "/draft/1", Chunk_Count="2,1", Chunk_Key="k1"
        )
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        assert workers_of_runs(world) == [first]


async def test_each_dispatcher_is_asked_for_the_version_of_the_stream():
    async with trio.open_nursery() as nursery:
        answers = [
            WorkRefused(CANCELLED, 0.0),
            PeerUnavailable("gone"),
            WorkRefused(HANDED_OVER, 0.0),
            WorkRefused("overload", 1.0),
        ]

        def answer(message):
            result = answers.pop(0)
            if isinstance(result, Exception):
                raise result
            return result

        client, peers = make_client(nursery, ManualClock(), WorkerLimits(), answer)
        peers.record_stopping = lambda instance: None
        message = msgspec.structs.replace(ask(), software_version="v1")
        with pytest.raises(Refused):
            await client.acquire(message)
        assert not answers
        assert [asked.software_version for asked in peers.questions] == ["v1"] * 4


async def test_a_stream_stays_at_its_version_when_its_dispatcher_stops():
    async with deployment(gateways=2) as world:
        await list_versions(world, FOUR)
        dispatcher = world.gateways[0].dispatch_client.dispatcher_of("model")
        names = [gateway.settings.instance for gateway in world.gateways]
        dispatching = names.index(dispatcher)
        set_faults(world, pause_s=0.4)
        caller, first = await begin(world, gateway=1 - dispatching)
        world.gateways[dispatching].app.stop()
        world.platform.crash(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        used = workers_of_runs(world)
        assert len(used) == 2
        assert FOUR[used[0]] == FOUR[used[1]]
        client = world.gateways[1 - dispatching].dispatch_client
        assert client.dispatcher_of("model") != dispatcher
