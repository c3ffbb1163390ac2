"""Streams that callers take up again go on at the software version that began them."""

import random

import pytest
import trio

from acaciapier.gateway.models import AttemptId, ServiceName
from acaciapier.gateway.software_versions import RETENTION_MS, BegunStream
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import configuration

from .support import SERVICES, deployment

VERSIONS = {"model-1": "v1", "model-2": "v2", "model-3": "v1", "model-4": "v2"}
FIRST_EVENT = b"id: 1\n"


async def mix_versions(world, versions=VERSIONS):
    """Let workers of several software versions serve the streams."""
    for name, version in versions.items():
        if name not in world.platform.workers:
            await world.platform.add_worker(name, "model", kind="stream")
        world.platform.register(name, version=version)
    for gateway in world.gateways:
        await world.until(
            lambda gateway=gateway: (
                {
                    listed.id: listed.software_version
                    for listed in gateway.catalogue.workers_of(ServiceName("model"))
                }
                == versions
            )
        )
    for name in versions:
        world.platform.workers[name].faults.pause_s = 0.2


async def take_one_event(world, attempt: str, number: int, **headers: str):
    """Receive the first event of a stream and close the connection."""
    caller = world.caller(number)
    await caller.send("POST", "/mail/1", b"{}", Attempt_Id=attempt, **headers)
    received = b""
    with trio.fail_after(5):
        while b"\n\n" not in received:
            event = await caller._next()
            received += getattr(event, "data", b"")
    await caller.aclose()


def version_of(world, attempt: str) -> str:
    """Return the software version of the last worker that ran an attempt."""
    return VERSIONS[world.platform.run_log.runs_of(attempt)[-1].worker]


async def test_a_stream_taken_up_elsewhere_goes_on_at_the_version_that_began_it():
    choice = random.Random(30)
    outcomes = []

    async def take_up(world, number: int, gateways: tuple[int, int]):
        first, later = f"first-{number}", f"later-{number}"
        await take_one_event(world, first, gateways[0])
        answer = await world.caller(gateways[1]).request(
            "POST",
            "/mail/1",
            b"{}",
            Attempt_Id=later,
            Resumes=first,
            Last_Event_Id="1",
        )
        if answer.status == 200:
            assert answer.complete
            assert FIRST_EVENT not in answer.body
            outcomes.append(version_of(world, later) == version_of(world, first))

    async with deployment(gateways=3) as world:
        await mix_versions(world)
        async with trio.open_nursery() as callers:
            for number in range(40):
                gateways = choice.randrange(3), choice.randrange(3)
                callers.start_soon(take_up, world, number, gateways)
                await trio.sleep(0.002)
    assert (outcomes.count(False), outcomes.count(True)) == (0, 40)


async def test_a_chain_of_later_tries_goes_on_at_the_version_that_began_it():
    async def take_up_again(world, number: int):
        tries = [f"{number}-{step}" for step in range(4)]
        await take_one_event(world, tries[0], 0)
        for step in (1, 2, 3):
            named = tries[0] if number % 2 else tries[step - 1]
            resumed = {"Resumes": named, "Last_Event_Id": str(step)}
            await take_one_event(world, tries[step], step % 3, **resumed)
        chains.append({version_of(world, attempt) for attempt in tries})

    chains = []
    async with deployment(gateways=3) as world:
        await mix_versions(world)
        async with trio.open_nursery() as callers:
            for number in range(24):
                callers.start_soon(take_up_again, world, number)
                await trio.sleep(0.002)
    assert len(chains) == 24
    assert [versions for versions in chains if len(versions) > 1] == []


async def test_a_stream_goes_on_when_all_instances_that_knew_it_have_stopped():
    async with deployment(gateways=3) as world:
        await mix_versions(world)
        await take_one_event(world, "first", 0)
        later = await world.add_gateway()
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: gateway.peers.live_count == 4)
        for gateway in world.gateways[:3]:
            gateway.app.stop()
        await world.until(lambda: later.peers.live_count == 1, 15.0)
        answer = await world.caller(3).request(
            "POST",
            "/mail/1",
            b"{}",
            Attempt_Id="later",
            Resumes="first",
            Last_Event_Id="1",
        )
        assert (answer.status, answer.complete) == (200, True)
        assert version_of(world, "later") == version_of(world, "first")


@pytest.mark.parametrize(
    "headers", [{}, {"Resumes": "never-seen"}], ids=["unnamed", "never_seen"]
)
async def test_a_stream_of_unknown_version_is_refused_if_versions_are_mixed(headers):
    async with deployment(gateways=2) as world:
        await mix_versions(world)
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a", Last_Event_Id="1", **headers
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not world.platform.run_log.runs_of("a")


@pytest.mark.parametrize(
    "headers", [{}, {"Resumes": "never-seen"}], ids=["unnamed", "never_seen"]
)
@pytest.mark.parametrize("lately_started", [False, True], ids=["", "lately_started"])
async def test_a_stream_of_unknown_version_goes_on_where_one_version_served_long_enough(
    headers, lately_started
):
    async with deployment(gateways=2) as world:
        if not lately_started:
            world.age_lists(RETENTION_MS / 1_000.0)
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a", Last_Event_Id="1", **headers
        )
        assert answer.complete
        assert answer.status == (503 if lately_started else 200)
        assert bool(answer.body) != lately_started
        assert FIRST_EVENT not in answer.body


async def test_a_stream_whose_version_serves_no_more_is_refused_at_once():
    async with deployment(gateways=2) as world:
        await mix_versions(world)
        await take_one_event(world, "first", 0)
        left = VERSIONS[world.platform.run_log.runs_of("first")[0].worker]
        for name, version in VERSIONS.items():
            if version == left:
                world.platform.deregister(name)
        await world.until(
            lambda: (
                {
                    w.software_version
                    for w in world.gateways[1].catalogue.workers_of(
                        ServiceName("model")
                    )
                }
                == {"v1", "v2"} - {left}
            )
        )
        with trio.fail_after(0.5):
            answer = await world.caller(1).request(
                "POST",
                "/mail/1",
                b"{}",
                Attempt_Id="a",
                Resumes="first",
                Last_Event_Id="1",
            )
        assert answer.status == 503
        assert not world.platform.run_log.runs_of("a")


async def test_no_stage_runs_for_a_stream_whose_version_serves_no_more():
    async with deployment() as world:
        await mix_versions(world)
        routes = [
            dict(one, resumable=True) for one in ROUTES if one["name"] == "staged"
        ]
        world.platform.configure(configuration(2, routes, SERVICES))
        await world.until(lambda: world.gateways[0].catalogue.version == 2)
        streams = world.gateways[0].streams
        gone = BegunStream(AttemptId("first"), "", ServiceName("model"), "v9")
        await streams.record(gone)
        answer = await world.caller().request(
            "POST",
            "/staged/1",
            b"{}",
            Attempt_Id="a",
            Resumes="first",
            Last_Event_Id="1",
            Chunk_Count="1,1",
            Chunk_Key="k",
        )
        assert answer.status == 503
        assert not world.platform.run_log.pieces


@pytest.mark.parametrize(
    "value", ["", "x" * 300, "one two"], ids=["empty", "long", "two_words"]
)
async def test_a_malformed_name_of_an_attempt_is_a_bad_request(value):
    async with deployment() as world:
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a", Resumes=value, Last_Event_Id="1"
        )
        assert answer.status == 400
        assert not world.platform.run_log.runs_of("a")


async def test_a_later_try_from_the_first_event_on_is_a_new_stream():
    async with deployment(gateways=2) as world:
        await mix_versions(world)
        answer = await world.caller().request(
            "POST", "/mail/1", b"{}", Attempt_Id="a", Resumes="never-seen"
        )
        assert answer.complete
        assert FIRST_EVENT in answer.body
