"""A stream's version is that of the incarnation that a connection leads to."""

import json

import msgspec
import pytest
import trio

from acaciapier.gateway.incarnations import (
    MAX_REMEMBERED_WORKERS,
    NO_REPORT_PERIOD_MS,
    Incarnations,
    Verdict,
)
from acaciapier.gateway.models import ServiceName
from acaciapier.platform.workers import decode_report_start

from .support import deployment
from .test_broken_streams import EVENTS
from .test_instance_state import worker as make_worker

MODEL = ServiceName("model")


LISTED = msgspec.structs.replace(make_worker("w1"), started_ms=7)


def test_the_start_in_a_report_is_decoded():
    assert decode_report_start(b'{"queued": 1, "born": 1767, "runs": []}') == 1767
    assert decode_report_start(b'{"queued": 1}') is None
    for malformed in (b"", b"[1]", b'{"born": "1767"}', b'{"born": true}'):
        with pytest.raises(ValueError, match="malformed"):
            decode_report_start(malformed)


def test_a_worker_is_checked_only_where_its_version_matters_or_is_in_doubt():
    known = Incarnations()
    assert not known.needs_check(LISTED, None, {"v1"}, 4.0)
    assert known.needs_check(LISTED, None, {"v1", "v2"}, 4.0)
    assert known.needs_check(LISTED, "v1", {"v1"}, 4.0)
    without_start = msgspec.structs.replace(LISTED, started_ms=0)
    known.record_failure(without_start, 1.0)
    assert not known.needs_check(without_start, "v1", {"v1", "v2"}, 4.0)


def test_a_failed_connection_leaves_an_incarnation_in_doubt_until_it_is_confirmed():
    known = Incarnations()
    known.record_failure(LISTED, 1.0)
    assert known.needs_check(LISTED, None, {"v1"}, 4.0)
    later = msgspec.structs.replace(LISTED, started_ms=8)
    assert not known.needs_check(later, None, {"v1"}, 4.0)
    assert known.judge(LISTED, 8, 2.0) is Verdict.DIFFERENT
    assert known.needs_check(LISTED, None, {"v1"}, 4.0)
    known.record_failure(LISTED, 3.0)
    assert known.judge(LISTED, 7, 2.0) is Verdict.SAME
    assert known.needs_check(LISTED, None, {"v1"}, 4.0), "it failed after the question"
    assert known.judge(LISTED, 7, 4.0) is Verdict.SAME
    assert not known.needs_check(LISTED, None, {"v1"}, 4.0)


def test_after_a_failed_check_only_begun_streams_are_checked_for_some_time():
    known = Incarnations()
    both = {"v1", "v2"}
    assert known.judge(LISTED, None, 1.0) is Verdict.UNKNOWN
    ended_s = 1.0 + NO_REPORT_PERIOD_MS / 1_000.0
    assert not known.needs_check(LISTED, None, both, ended_s - 0.1)
    assert known.needs_check(LISTED, "v1", both, ended_s - 0.1)
    assert known.needs_check(LISTED, None, both, ended_s)


def test_what_was_learned_first_is_forgotten_first():
    known = Incarnations()
    for number in range(MAX_REMEMBERED_WORKERS + 2):
        failed = msgspec.structs.replace(LISTED, id=f"w{number}")
        known.record_failure(failed, 1.0)
        known.judge(failed, None, 1.0)
        known.judge(failed, 7, 0.5)
    assert len(known._proved_s) == MAX_REMEMBERED_WORKERS
    assert len(known._failed_s) == MAX_REMEMBERED_WORKERS
    assert len(known._no_report_s) == MAX_REMEMBERED_WORKERS


async def add_models(world, count: int) -> None:
    """Add workers of the model service until there are `count`."""
    for number in range(3, count + 1):
        await world.platform.add_worker(f"model-{number}", "model", kind="stream")
    catalogue = world.gateways[0].catalogue
    await world.until(lambda: len(catalogue.workers_of(MODEL)) == count)


async def begin_stream(world, attempt: str = "a1"):
    """Begin a stream; return its caller and the name of its worker."""
    for worker in world.platform.workers.values():
        worker.faults.pause_s = 0.4
    caller = world.caller()
    await caller.send("POST", "/mail/1", b"{}", Attempt_Id=attempt)
    await world.until(lambda: world.platform.run_log.runs_of(attempt))
    await trio.sleep(0.1)
    return caller, world.platform.run_log.runs_of(attempt)[0].worker


async def restart_others(world, first: str, spared: int = 0) -> list[str]:
    """Restart the model workers but `first` and `spared` others; return their names."""
    others = [
        name
        for name in sorted(world.platform.workers)
        if name.startswith("model-") and name != first
    ]
    restarted = others[: len(others) - spared]
    for name in restarted:
        await world.platform.restart(name)
    return restarted


def incarnations(world, attempt: str = "a1") -> list[tuple[str, int]]:
    return [
        (run.worker, run.started_ms) for run in world.platform.run_log.runs_of(attempt)
    ]


async def test_a_stream_is_not_resumed_at_a_worker_that_restarted_with_other_software():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        await restart_others(world, first)
        world.platform.crash(first)
        answer = await caller.receive()
        assert [worker for worker, _ in incarnations(world)] == [first]
        assert not answer.complete
        assert EVENTS.startswith(answer.body)


async def test_a_stream_is_resumed_at_the_worker_that_did_not_restart():
    async with deployment() as world:
        await add_models(world, 4)
        caller, first = await begin_stream(world)
        restarted = await restart_others(world, first, spared=1)
        world.platform.crash(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        workers = [worker for worker, _ in incarnations(world)]
        assert len(workers) == 2
        assert not set(workers) & set(restarted)


async def test_a_pooled_connection_to_a_restarted_worker_does_not_resume_a_stream():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        (other,) = await restart_others(world, first)
        while not world.platform.workers[other].requests:
            attempt = f"other-{trio.current_time()}"
            await world.caller().request("POST", "/chat/1", b"{}", Attempt_Id=attempt)
        world.platform.crash(first)
        answer = await caller.receive()
        assert [worker for worker, _ in incarnations(world)] == [first]
        assert not answer.complete


async def test_a_stream_that_begins_at_a_restarted_worker_is_not_joined_to_others():
    async with deployment() as world:
        world.platform.register("model-1", version="v1")
        world.platform.register("model-2", version="v2")
        await add_models(world, 4)
        catalogue = world.gateways[0].catalogue
        await world.until(
            lambda: (
                {worker.software_version for worker in catalogue.workers_of(MODEL)}
                == {"v1", "v2"}
            )
        )
        started = {}
        for number in (1, 2):
            name = f"model-{number}"
            started[name] = world.platform.workers[name].started_ms
            await world.platform.restart(name)
        answers = []

        async def request(number: int) -> None:
            caller = world.caller()
            await caller.send("POST", "/mail/1", b"{}", Attempt_Id=f"b{number}")
            answers.append(await caller.receive())

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(request, number)
        assert all(answer.complete for answer in answers)
        assert not [run for run in world.platform.run_log.runs if run.worker in started]


@pytest.mark.parametrize("restarts", [1, 2])
async def test_a_restarted_worker_serves_again_as_soon_as_its_entry_changes(restarts):
    async with deployment() as world:
        caller, first = await begin_stream(world)
        for _ in range(restarts):
            (other,) = await restart_others(world, first)
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        started_ms = world.platform.workers[other].started_ms
        world.platform.register(other, version="v2", born=started_ms)
        world.platform.deregister(first)
        catalogue = world.gateways[0].catalogue
        await world.until(
            lambda: (
                [worker.started_ms for worker in catalogue.workers_of(MODEL)]
                == [started_ms]
            )
        )
        answer = await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id="a2")
        assert answer.complete
        assert incarnations(world, "a2") == [(other, started_ms)]


def reports(world) -> int:
    return sum(worker.reports for worker in world.platform.workers.values())


async def list_two_versions(world) -> None:
    world.platform.register("model-2", version="v2")
    catalogue = world.gateways[0].catalogue
    await world.until(
        lambda: (
            {worker.software_version for worker in catalogue.workers_of(MODEL)}
            == {"v1", "v2"}
        )
    )


async def stream(world, attempt: str):
    return await world.caller().request("POST", "/mail/1", b"{}", Attempt_Id=attempt)


async def test_only_streams_that_may_be_resumed_are_checked():
    async with deployment() as world:
        await list_two_versions(world)
        for path in ("/chat/1", "/confirm/1", "/staged/1"):
            attempt = path.replace("/", "-")
            answer = await world.caller().request(
                "POST", path, b"{}", Attempt_Id=attempt
            )
            assert answer.status == 200
        assert reports(world) == 0


async def test_a_connection_is_checked_once():
    async with deployment() as world:
        await list_two_versions(world)
        for number in range(6):
            assert (await stream(world, f"a{number}")).complete
        opened = world.gateways[0].relay._workers._connections.opened
        assert 1 <= reports(world) <= opened <= 3


async def test_a_worker_whose_connection_broke_is_checked_before_the_next_stream():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        await world.platform.restart(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        _, (other, _) = incarnations(world)
        assert other != first
        world.platform.register(other, state="draining")
        catalogue = world.gateways[0].catalogue
        await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
        restarted = world.platform.workers[first]
        with trio.fail_after(5.0):
            while not restarted.reports:
                assert (await stream(world, f"b{trio.current_time()}")).status == 503
        assert restarted.reports == 1
        assert not catalogue.workers_of(MODEL)
        assert not [
            run
            for run in world.platform.run_log.runs
            if run.started_ms == restarted.started_ms and run.worker == first
        ]


async def test_a_broken_stream_is_not_resumed_at_its_own_worker_after_a_restart():
    async with deployment() as world:
        world.platform.register("model-2", state="draining")
        catalogue = world.gateways[0].catalogue
        await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
        caller, first = await begin_stream(world)
        await world.platform.restart(first)
        assert not (await caller.receive()).complete
        assert len(incarnations(world)) == 1


async def test_a_broken_stream_is_resumed_at_its_own_worker_without_a_restart():
    async with deployment() as world:
        world.platform.register("model-2", state="draining")
        catalogue = world.gateways[0].catalogue
        await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
        world.platform.workers["model-1"].faults.cut_after = 2
        answer = await stream(world, "a1")
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert len(set(incarnations(world))) == 1
        assert reports(world) == 2, "one for each of its two connections"


@pytest.mark.parametrize("report", ["silent", "error", "without_start"])
async def test_a_stream_goes_on_only_at_a_worker_that_reports_its_start(report):
    async with deployment() as world:
        await add_models(world, 3)
        caller, first = await begin_stream(world)
        others = {f"model-{number}" for number in (1, 2, 3)} - {first}
        for name in others:
            world.platform.workers[name].faults.report = report
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        assert [name for name, _ in incarnations(world)] == [first]


@pytest.mark.parametrize("report", ["silent", "error", "without_start"])
async def test_a_stream_begins_at_a_worker_that_does_not_report_its_start(report):
    async with deployment() as world:
        await list_two_versions(world)
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.report = report
        answers = [await stream(world, f"a{number}") for number in range(4)]
        assert [answer.body for answer in answers] == [
            EVENTS.replace(b"a1", f"a{number}".encode()) for number in range(4)
        ]
        assert 1 <= reports(world) <= 2
        assert len(world.platform.run_log.runs) == 4


@pytest.mark.parametrize("versions", [1, 2])
async def test_a_copy_of_a_report_is_not_taken_for_the_answer_to_the_request(versions):
    async with deployment() as world:
        if versions == 2:
            await list_two_versions(world)
        for number in (1, 2):
            world.platform.workers[f"model-{number}"].faults.report = "twice"
        for number in range(4):
            answer = await stream(world, f"a{number}")
            expected = EVENTS.replace(b"a1", f"a{number}".encode())
            assert (answer.status, answer.body, answer.complete) == (
                200,
                expected,
                True,
            )
        assert reports(world) > 0
        assert len(world.platform.run_log.runs) == 4


async def test_a_report_at_an_address_of_another_worker_is_not_taken_for_its_own():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        (other,) = await restart_others(world, first)
        world.platform.workers[other].name = "another"
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        assert [name for name, _ in incarnations(world)] == [first]
        catalogue = world.gateways[0].catalogue
        assert not catalogue.usable(catalogue.workers[other])


async def test_other_instances_learn_that_an_incarnation_has_ended():
    async with deployment(gateways=2) as world:
        caller, first = await begin_stream(world)
        (other,) = await restart_others(world, first)
        world.platform.crash(first)
        assert not (await caller.receive()).complete
        catalogue = world.gateways[1].catalogue
        listed = catalogue.workers[other]
        await world.until(lambda: catalogue.is_leaving(listed))


async def test_the_log_names_both_starts_of_a_worker_that_differs(capfd):
    async with deployment() as world:
        caller, first = await begin_stream(world)
        listed = {
            name: worker.started_ms for name, worker in world.platform.workers.items()
        }
        (other,) = await restart_others(world, first)
        world.platform.crash(first)
        await caller.receive()
        await trio.sleep(0.2)
        lines = list(map(json.loads, capfd.readouterr().out.splitlines()))
    (line,) = [line for line in lines if line["event"] == "worker_incarnation_differs"]
    assert line["worker"] == other
    assert line["listed"] == listed[other]
    assert line["reported"] == world.platform.workers[other].started_ms


async def begin_at_restarted(world, version: str):
    """Begin a stream at a worker whose new entry then comes; return its caller."""
    catalogue = world.gateways[0].catalogue
    world.platform.register("model-2", state="draining")
    await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
    started_ms = await world.platform.restart("model-1")
    caller, first = await begin_stream(world)
    assert incarnations(world) == [("model-1", started_ms)]
    world.platform.register("model-1", version=version, born=started_ms)
    world.platform.register("model-2", state="ready")
    await world.until(
        lambda: (
            {(listed.id, listed.started_ms) for listed in catalogue.workers_of(MODEL)}
            >= {("model-1", started_ms)}
            and len(catalogue.workers_of(MODEL)) == 2
        )
    )
    world.platform.crash(first)
    return caller


async def test_a_stream_begun_before_a_new_entry_came_stays_off_the_former_version():
    async with deployment() as world:
        caller = await begin_at_restarted(world, "v2")
        assert not (await caller.receive()).complete
        assert [name for name, _ in incarnations(world)] == ["model-1"]


async def test_a_stream_begun_before_a_new_entry_came_is_resumed_at_the_same_version():
    async with deployment() as world:
        caller = await begin_at_restarted(world, "v1")
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert [name for name, _ in incarnations(world)] == ["model-1", "model-2"]


async def test_a_draining_worker_of_another_version_lets_streams_be_checked():
    async with deployment() as world:
        world.platform.register("model-2", version="v2", state="draining")
        catalogue = world.gateways[0].catalogue
        await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
        await world.platform.restart("model-1")
        assert (await stream(world, "a1")).status == 503
        assert incarnations(world) == []


async def test_a_stream_begun_at_a_restarted_worker_that_nobody_missed_is_not_mixed():
    async with deployment() as world:
        catalogue = world.gateways[0].catalogue
        world.platform.register("model-2", state="draining")
        await world.until(lambda: len(catalogue.workers_of(MODEL)) == 1)
        await world.platform.restart("model-1")
        world.platform.workers["model-1"].faults.pause_s = 0.4
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await trio.sleep(0.1)
        world.platform.register("model-2", state="ready")
        await trio.sleep(0.2)
        world.platform.crash("model-1")
        await caller.receive()
        assert len(incarnations(world)) <= 1
