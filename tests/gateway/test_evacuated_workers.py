"""Requests while data centres are evacuated: nothing new reaches their workers."""

from contextlib import asynccontextmanager

import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.stage_scheduler import WorkerRefused
from acaciapier.gateway.evacuations import Evacuations
from acaciapier.gateway.models import Worker, WorkerState
from acaciapier.gateway.worker_eligibility import Ineligibility, WorkerEligibility
from acaciapier.http.client import ConnectFailed
from acaciapier.wire.messages.tunnels import OpenTunnel, TunnelRefused

from .support import deployment
from .test_evacuations import ZONES, listed
from .test_instance_state import at

KINDS_OF_REQUESTS = [
    "GET /lookup/1",
    "POST /confirm/1",
    "POST /mail/1",
    "POST /staged/1",
]


def make_worker(data_centre: str, state=WorkerState.READY, version="v1") -> Worker:
    return Worker(
        f"w-{data_centre}", "book", "h", 1, data_centre, 1, state, 1, 0.0, version
    )


def test_each_worker_that_must_not_be_used_has_its_reason():
    evacuations = Evacuations(ManualClock(), True)
    evacuations.apply(listed(at(3), "b"), True)
    eligibility = WorkerEligibility(evacuations, {"a": "north", "b": "north"})
    workers = [make_worker(name) for name in ("a", "b", "c")]
    assert eligibility.select(workers) == [workers[0], workers[2]]
    assert eligibility.explain(workers, "v1", {"north"}) == {
        "w-b": Ineligibility.EVACUATED,
        "w-c": Ineligibility.OTHER_REGION,
    }
    draining = make_worker("a", WorkerState.DRAINING)
    assert eligibility.reason(draining) is Ineligibility.DRAINING
    assert eligibility.reason(workers[0], "v2") is Ineligibility.OTHER_VERSION


async def send(world, number: int, line: str, attempt: str):
    method, path = line.split()
    headers = {"Attempt_Id": attempt, "Deadline_Ms": "2000"}
    if path.startswith("/staged"):
        headers |= {"Segments": "2,2", "Prompt_Tokens": "10", "Output_Tokens": "4"}
    caller = world.caller(number)
    answer = await caller.request(method, path, b"x", **headers)
    await caller.aclose()
    return answer


def arrivals_at(world, data_centre: str, after_s: float) -> list:
    number = ZONES.index(data_centre) + 1
    return [
        arrival
        for arrival in world.platform.run_log.arrivals
        if arrival.worker.endswith(f"-{number}") and arrival.at_s > after_s
    ]


@asynccontextmanager
async def evacuated(world, *data_centres: str):
    """Evacuate data centres, and wait until all instances know it."""
    for data_centre in data_centres:
        world.platform.evacuate(data_centre)
    await world.until(
        lambda: all(
            gateway.catalogue.evacuations.data_centres == set(data_centres)
            for gateway in world.gateways
        ),
        1.0,
    )
    yield
    for data_centre in data_centres:
        world.platform.readmit(data_centre)


async def test_nothing_new_reaches_an_evacuated_data_centre_under_load():
    """178 requests reached it in 4 s; whole requests, streams and stages alike."""
    async with deployment(2, evacuate_ms=5_000, data_centres=ZONES) as world:
        answers = []
        stop_s = trio.current_time() + 1.5

        async def load(number: int, line: str):
            while trio.current_time() < stop_s:
                count = len(answers)
                answers.append(None)
                answers[count] = await send(world, number, line, f"a{count}")

        async with trio.open_nursery() as nursery:
            for number in range(2):
                for line in KINDS_OF_REQUESTS:
                    nursery.start_soon(load, number, line)
            await trio.sleep(0.5)
            assert arrivals_at(world, "zone-b", 0.0)
            async with evacuated(world, "zone-b"):
                known_s = trio.current_time()
                await trio.sleep(0.5)
                # What was on its way arrives within a few milliseconds.
                assert not arrivals_at(world, "zone-b", known_s + 0.05)
            back_s = trio.current_time()
        assert arrivals_at(world, "zone-b", back_s)
        assert [answer.status for answer in answers if answer.status != 200] == []


@pytest.mark.parametrize("line", KINDS_OF_REQUESTS)
async def test_a_service_that_is_evacuated_everywhere_refuses_at_once(line):
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        await send(world, 0, line, "before")
        async with evacuated(world, *ZONES):
            start_s = trio.current_time()
            answer = await send(world, 0, line, "during")
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
            assert trio.current_time() - start_s < 0.3
        gateway = world.gateways[0]
        await world.until(lambda: not gateway.catalogue.evacuations.data_centres)
        assert (await send(world, 0, line, "after")).status == 200


async def test_a_request_that_waits_for_a_slot_is_refused_when_all_is_evacuated():
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        for number in (1, 2):
            world.platform.workers[f"book-{number}"].faults.delay_s = 1.0
        statuses = []

        async def ask(number: int):
            answer = await send(world, 0, "GET /lookup/1", f"a{number}")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(ask, number)
            slots = world.gateways[0].dispatcher.allocators
            await world.until(
                lambda: (
                    len(world.platform.run_log.runs) == 16
                    and slots["book"].waiting == 4
                )
            )
            async with evacuated(world, *ZONES):
                await world.until(lambda: len(statuses) == 4, 0.6)
                assert statuses == [503] * 4
                await world.until(lambda: len(statuses) == 20)
        assert statuses.count(200) == 16


async def test_a_permit_for_an_evacuated_worker_goes_elsewhere_and_counts_for_nothing():
    """The evacuation becomes known while the connection is opened."""
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        gateway = world.gateways[0]
        pool = gateway.relay._workers._checked_connections._connections
        open_connection = pool._connector.open

        async def open_slowly(worker, request=""):
            connection = await open_connection(worker, request)
            gateway.catalogue.evacuations.merge(
                "edge-9", evacuated_message(worker.data_centre)
            )
            return connection

        def evacuated_message(data_centre):
            known = gateway.catalogue.evacuations
            shared = known.shared()
            if known.data_centres:
                return shared
            return type(shared)(99, 1, (data_centre,))

        pool._connector.open = open_slowly
        answer = await send(world, 0, "GET /lookup/1", "once")
        assert answer.status == 200
        (data_centre,) = gateway.catalogue.evacuations.data_centres
        assert not arrivals_at(world, data_centre, 0.0)
        assert gateway.dispatch_client.held_permits == 0
        await world.until(lambda: not gateway.dispatcher.allocators["book"].reserved)


async def test_a_broken_stream_goes_on_outside_an_evacuated_data_centre():
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        for number in (1, 2):
            worker = world.platform.workers[f"model-{number}"]
            worker.faults.cut_after, worker.faults.pause_s = 2, 0.4
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"x", Attempt_Id="m", Deadline_Ms="2000")
        await world.until(lambda: world.platform.run_log.runs_of("m"))
        first = world.platform.run_log.runs_of("m")[0].worker
        other = "model-1" if first == "model-2" else "model-2"
        world.platform.workers[other].faults.cut_after = None
        async with evacuated(world, ZONES[int(first[-1]) - 1]):
            answer = await caller.receive()
            assert answer.complete and answer.body.count(b"id: ") == 4
            assert [run.worker for run in world.platform.run_log.runs_of("m")] == [
                first,
                other,
            ]


async def test_results_at_evacuated_workers_are_not_released():
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.pause_s = 0.3
            world.platform.workers[f"model-{number}"].faults.delay_s = 0.3
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, world, 0, "POST /staged/1", "s")
            await world.until(lambda: world.platform.run_log.runs_of("s"))
            async with evacuated(world, *ZONES):
                await trio.sleep(0.05)
                freed = world.platform.run_log.freed
                await trio.sleep(0.8)
                assert world.platform.run_log.freed == freed
        assert world.platform.run_log.runs_of("s")[0].complete


async def test_no_tunnel_stage_call_or_connection_leads_to_an_evacuated_worker():
    """Whoever asks may not know of the evacuation yet."""
    async with deployment(1, evacuate_ms=5_000, data_centres=ZONES) as world:
        gateway = world.gateways[0]
        worker = gateway.catalogue.workers["encode-2"]
        async with evacuated(world, "zone-b"):
            tunnel = gateway.tunnel_server.serve("edge-9", OpenTunnel(1, worker.key))
            assert await anext(tunnel) == TunnelRefused("evacuated")
            client = gateway.dispatcher.stages.client
            with pytest.raises(WorkerRefused) as refusal:
                await client.free(worker, ["h/1"])
            assert refusal.value.not_asked
            with pytest.raises(ConnectFailed):
                await client._connections._connector.open_for_peer(worker)
        assert not arrivals_at(world, "zone-b", 0.0)


async def test_no_stage_call_reaches_a_worker_that_began_to_drain():
    """A call may be chosen before the entry changes and sent after it."""
    async with deployment(1) as world:
        gateway = world.gateways[0]
        worker = gateway.catalogue.workers["encode-2"]
        world.platform.register("encode-2", state="draining")
        known = gateway.catalogue.workers
        await world.until(lambda: known["encode-2"].state is WorkerState.DRAINING)
        client = gateway.dispatcher.stages.client
        with pytest.raises(WorkerRefused) as refusal:
            await client.free(worker, ["h/1"])
        assert refusal.value.not_asked
        arrivals = world.platform.run_log.arrivals
        assert not [one for one in arrivals if one.worker == "encode-2"]
