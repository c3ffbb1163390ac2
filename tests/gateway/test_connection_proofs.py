"""A report in the background proves which incarnation connections lead to."""

import msgspec
import pytest
import trio

from acaciapier.gateway.dispatch.refusal import Refused
from acaciapier.gateway.incarnations import (
    NO_REPORT_PERIOD_MS,
    Incarnations,
    Verdict,
)
from acaciapier.gateway.models import AttemptId, ServiceName
from acaciapier.gateway.software_versions import UNKNOWN_VERSION

from .support import deployment
from .test_broken_streams import EVENTS
from .test_incarnations import LISTED, begin_stream, incarnations, reports, stream
from .test_resumed_streams import VERSIONS, mix_versions, take_one_event, version_of
from .test_tunneled_requests import partitioned
from .worker_links import REFUSED

MODEL = ServiceName("model")


def test_a_report_proves_the_connections_that_were_opened_before_it_was_asked_for():
    known = Incarnations()
    assert not known.is_proved(LISTED, 1.0)
    assert known.judge(LISTED, 7, 2.0) is Verdict.SAME
    assert known.is_proved(LISTED, 1.0)
    assert known.is_proved(LISTED, 2.0)
    assert not known.is_proved(LISTED, 2.1)
    assert known.judge(LISTED, 7, 1.5) is Verdict.SAME
    assert known.is_proved(LISTED, 2.0), "an earlier question answered later"


@pytest.mark.parametrize("started_ms", [None, 6, 8])
def test_a_report_of_another_start_or_without_one_proves_nothing(started_ms):
    known = Incarnations()
    assert known.judge(LISTED, started_ms, 2.0) is not Verdict.SAME
    assert not known.is_proved(LISTED, 1.0)


def test_what_a_report_proved_holds_after_the_incarnation_has_ended():
    known = Incarnations()
    known.judge(LISTED, 7, 2.0)
    assert known.judge(LISTED, 8, 4.0) is Verdict.DIFFERENT
    assert known.is_proved(LISTED, 1.0)
    assert not known.is_proved(LISTED, 3.0)


def test_a_report_of_one_incarnation_proves_nothing_of_the_next():
    known = Incarnations()
    known.judge(LISTED, 7, 2.0)
    again = msgspec.structs.replace(LISTED, started_ms=8)
    assert not known.is_proved(again, 1.0)


@pytest.mark.parametrize("born_ms", [5, 9])
def test_a_start_is_compared_whatever_the_clock_of_the_worker_did(born_ms):
    known = Incarnations()
    again = msgspec.structs.replace(LISTED, started_ms=born_ms)
    known.judge(LISTED, 7, 2.0)
    assert known.judge(again, 7, 3.0) is Verdict.DIFFERENT
    assert known.judge(again, born_ms, 4.0) is Verdict.SAME
    assert known.is_proved(again, 4.0)


def test_one_report_is_in_progress_for_a_worker_and_another_one_follows_if_needed():
    known = Incarnations()
    assert known.wants_report(LISTED, 1.0, 1.0)
    assert not known.wants_report(LISTED, 1.1, 1.1)
    known.judge(LISTED, 7, 1.2)
    assert not known.wants_report(LISTED, 1.3, 1.3)
    assert known.end_report(LISTED, Verdict.SAME), "opened after the question"
    known.judge(LISTED, 7, 1.4)
    assert not known.end_report(LISTED, Verdict.SAME)
    assert not known.wants_report(LISTED, 1.3, 1.5)
    assert known.wants_report(LISTED, 1.6, 1.6)


@pytest.mark.parametrize("verdict", [Verdict.DIFFERENT, Verdict.UNKNOWN])
def test_a_report_that_proves_nothing_is_not_asked_for_again_at_once(verdict):
    known = Incarnations()
    assert known.wants_report(LISTED, 1.0, 1.0)
    assert not known.end_report(LISTED, verdict)
    known.judge(LISTED, None, 2.0)
    ended_s = 2.0 + NO_REPORT_PERIOD_MS / 1_000.0
    assert not known.wants_report(LISTED, 1.0, ended_s - 0.1)
    assert known.wants_report(LISTED, 1.0, ended_s)


def test_one_report_follows_a_check_that_got_none_in_time():
    known = Incarnations()
    known.judge(LISTED, None, 1.0)
    assert not known.wants_report(LISTED, 1.3, 1.3)
    assert known.wants_report(LISTED, 1.4, 1.4, after_check=True)
    assert not known.wants_report(LISTED, 1.5, 1.5), "in progress"
    assert known.judge(LISTED, 7, 1.4) is Verdict.SAME
    assert known.end_report(LISTED, Verdict.SAME), "opened after the question"
    known.judge(LISTED, 7, 1.6)
    assert not known.end_report(LISTED, Verdict.SAME)
    assert known.wants_report(LISTED, 1.7, 1.7), "reports come again"


def test_an_earlier_report_that_comes_late_does_not_end_the_pause_after_a_check():
    known = Incarnations()
    known.judge(LISTED, None, 2.0)
    known.judge(LISTED, 7, 1.5)
    assert not known.wants_report(LISTED, 2.1, 2.1)


def test_only_the_start_that_was_reported_is_a_successor():
    known = Incarnations()
    third = msgspec.structs.replace(LISTED, started_ms=9)
    second = msgspec.structs.replace(LISTED, started_ms=8)
    assert not known.is_successor(LISTED, second)
    known.judge(LISTED, 8, 1.0)
    assert known.is_successor(LISTED, second)
    assert not known.is_successor(LISTED, third)
    assert not known.is_successor(LISTED, LISTED)


def test_a_worker_without_a_start_is_not_asked():
    known = Incarnations()
    without_start = msgspec.structs.replace(LISTED, started_ms=0)
    assert not known.wants_report(without_start, 1.0, 1.0)
    assert known.is_proved(without_start, 1.0)


def opened(world) -> int:
    return sum(gateway.relay._workers._connections.opened for gateway in world.gateways)


async def test_where_one_version_serves_one_report_proves_all_connections():
    async with deployment() as world:
        for number in range(3):
            assert (await stream(world, f"a{number}")).complete
        after_first = opened(world)
        assert 1 <= reports(world) <= 2, "one for each worker"
        for number in range(3, 9):
            assert (await stream(world, f"a{number}")).complete
        assert 1 <= reports(world) <= opened(world) <= max(after_first, 4)


async def drain(world, name: str) -> None:
    """Leave one worker of the model service."""
    world.platform.register(name, state="draining")
    for gateway in world.gateways:
        await world.until(
            lambda gateway=gateway: len(gateway.catalogue.workers_of(MODEL)) == 1
        )


def recorded(gateway, attempt: str = "a1"):
    """Return the version that an instance holds for a stream; None if it has none."""
    found = gateway.streams._streams.find("", AttemptId(attempt))
    return None if found is None else found.software_version


async def test_a_burst_of_new_connections_is_proved_by_few_reports():
    async with deployment() as world:
        await drain(world, "model-2")
        worker = world.platform.workers["model-1"]
        worker.faults.pause_s = worker.faults.report_delay_s = 0.05
        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(stream, world, f"a{number}")
        checked = world.gateways[0].relay._workers._checked_connections
        await world.until(lambda: not checked._reports and not checked._streams)
        assert worker.reports <= 2
        assert opened(world) >= 8
        for number in range(8):
            assert recorded(world.gateways[0], f"a{number}") == "v1"


async def test_the_version_of_a_stream_is_withdrawn_when_a_late_report_differs():
    async with deployment(gateways=2) as world:
        await drain(world, "model-2")
        await world.platform.restart("model-1")
        worker = world.platform.workers["model-1"]
        worker.faults.pause_s, worker.faults.report_delay_s = 0.5, 0.15
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        for version in ("v1", UNKNOWN_VERSION):
            for gateway in world.gateways:
                await world.until(
                    lambda gateway=gateway, version=version: (
                        recorded(gateway) == version
                    )
                )
        for gateway in world.gateways:
            with pytest.raises(Refused, match="software_version_unknown"):
                await gateway.streams.find("", AttemptId("a1"), [MODEL])
        assert (await caller.receive()).complete


async def test_a_stream_whose_caller_leaves_before_its_proof_has_no_known_version():
    async with deployment(gateways=2) as world:
        await drain(world, "model-2")
        worker = world.platform.workers["model-1"]
        worker.faults.pause_s, worker.faults.report = 0.5, "silent"
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: recorded(world.gateways[0]) == "v1")
        await caller.aclose()
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) == UNKNOWN_VERSION, 0.4
            )


async def test_a_report_slower_than_its_check_still_proves_the_version_of_a_stream():
    async with deployment(gateways=2) as world:
        world.platform.register("model-2", version="v2")
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: (
                    gateway.catalogue.serving.of("model") == {"v1", "v2"}
                )
            )
        for name in ("model-1", "model-2"):
            faults = world.platform.workers[name].faults
            faults.pause_s, faults.report_delay_s = 1.2, 0.4
        for number in range(2):
            caller, attempt = world.caller(), f"a{number}"
            await caller.send("POST", "/mail/1", b"{}", Attempt_Id=attempt)
            await world.until(lambda: recorded(world.gateways[0], attempt) is not None)
            began = recorded(world.gateways[0], attempt)
            await trio.sleep(0.6)
            await caller.aclose()
            await trio.sleep(0.2)
            for gateway in world.gateways:
                assert recorded(gateway, attempt) == began != UNKNOWN_VERSION


async def test_a_caller_that_leaves_after_one_slow_report_resumes_its_stream():
    async with deployment(gateways=2) as world:
        await mix_versions(world)
        for name in VERSIONS:
            world.platform.workers[name].faults.report_delay_s = 0.35
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_one_event, world, "a1", 0)
            await trio.sleep(0.15)
            for name in VERSIONS:
                world.platform.workers[name].faults.report_delay_s = 0.0
        answer = await world.caller(1).request(
            "POST",
            "/mail/1",
            b"{}",
            Attempt_Id="a2",
            Resumes="a1",
            Last_Event_Id="1",
        )
        assert (answer.status, answer.complete) == (200, True)
        assert version_of(world, "a2") == version_of(world, "a1")


async def test_a_finished_stream_that_no_report_proves_has_no_known_version():
    async with deployment(gateways=2) as world:
        await drain(world, "model-2")
        world.platform.workers["model-1"].faults.report = "silent"
        assert (await stream(world, "a1")).complete
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) == UNKNOWN_VERSION
            )


async def test_a_stream_on_a_proved_connection_keeps_its_version_at_a_restart():
    async with deployment(gateways=2) as world:
        caller, first = await begin_stream(world)
        await world.until(lambda: recorded(world.gateways[1]) == "v1")
        started_ms = await world.platform.restart(first)
        world.platform.register(first, version="v2", born=started_ms)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        workers = [worker for worker, _ in incarnations(world)]
        assert len(set(workers)) == 2
        assert {recorded(gateway) for gateway in world.gateways} == {"v1"}


async def test_a_stream_that_breaks_waits_for_its_proof():
    async with deployment() as world:
        for name in ("model-1", "model-2"):
            worker = world.platform.workers[name]
            worker.faults.report_delay_s = 0.1
            worker.faults.cut_after = 2
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: world.platform.run_log.runs_of("a1"))
        first = world.platform.run_log.runs_of("a1")[0].worker
        for name in {"model-1", "model-2"} - {first}:
            world.platform.workers[name].faults.cut_after = None
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)


@pytest.mark.parametrize("starts", [1, 2])
async def test_a_stream_at_a_worker_that_restarted_is_not_recorded_at_all(starts):
    async with deployment(gateways=2) as world:
        await drain(world, "model-2")
        for _ in range(starts):
            await world.platform.restart("model-1")
        assert (await stream(world, "a1")).complete
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) == UNKNOWN_VERSION
            )


async def test_a_stream_sent_after_its_check_broke_off_is_proved_as_well():
    async with deployment(gateways=2) as world:
        world.platform.register("model-2", version="v2")
        await drain(world, "model-2")
        await world.platform.restart("model-1")
        worker = world.platform.workers["model-1"]
        worker.faults.reset_reports = 1
        assert (await stream(world, "a1")).complete
        assert worker.reports == 2
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) == UNKNOWN_VERSION
            )


async def test_no_stream_begins_where_the_address_is_another_workers():
    async with deployment() as world:
        await drain(world, "model-2")
        await world.platform.restart("model-1")
        world.platform.workers["model-1"].name = "another"
        assert (await stream(world, "a1")).status in (502, 503)
        assert not world.platform.run_log.runs_of("a1")
        assert recorded(world.gateways[0]) is None


@pytest.mark.parametrize("helpers", [1, 2])
async def test_a_stream_through_a_tunnel_to_a_restarted_worker_is_not_mixed(
    monkeypatch, helpers
):
    async with partitioned(monkeypatch, 1 + helpers, REFUSED) as world:
        world.platform.register("model-2", state="draining")
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: len(gateway.catalogue.workers_of(MODEL)) == 1
            )
        listed = world.gateways[0].catalogue.workers["model-1"].started_ms
        await world.platform.restart("model-1")
        world.platform.workers["model-1"].faults.pause_s = 0.3
        caller = world.caller()
        await caller.send("POST", "/mail/1", b"{}", Attempt_Id="a1")
        await world.until(lambda: recorded(world.gateways[0]) is not None)
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) in (None, UNKNOWN_VERSION)
            )
        assert recorded(world.gateways[0]) == UNKNOWN_VERSION
        assert world.platform.workers["model-1"].started_ms != listed
        await caller.receive()


async def test_a_report_through_a_tunnel_proves_a_stream(monkeypatch):
    async with partitioned(monkeypatch, 3, REFUSED) as world:
        assert (await stream(world, "a1")).complete
        assert recorded(world.gateways[0]) == "v1"


async def test_a_stream_begun_at_a_worker_that_restarted_while_the_store_was_away():
    async with deployment(gateways=2) as world:
        await drain(world, "model-2")
        world.platform.store.faults.down = True
        await world.platform.restart("model-1")
        assert (await stream(world, "a1")).complete
        for gateway in world.gateways:
            await world.until(
                lambda gateway=gateway: recorded(gateway) == UNKNOWN_VERSION
            )


async def test_an_entry_that_lapsed_and_came_back_leaves_versions_and_proofs():
    async with deployment() as world:
        caller, first = await begin_stream(world)
        entry = world.platform._entries[first]
        listed = world.gateways[0].catalogue.workers
        world.platform.deregister(first)
        await world.until(lambda: first not in listed)
        world.platform._entries[first] = entry
        world.platform.register(first)
        await world.until(lambda: first in listed)
        world.platform.crash(first)
        answer = await caller.receive()
        assert (answer.body, answer.complete) == (EVENTS, True)
        assert recorded(world.gateways[0]) == "v1"
        assert world.platform.workers[first].reports == 1


async def test_an_address_that_passed_to_another_worker_leads_to_the_version_of_that():
    async with deployment() as world:
        platform = world.platform
        await drain(world, "model-2")
        started_ms = await platform.restart("model-1")
        moved = platform.workers["model-9"] = platform.workers["model-1"]
        moved.name = "model-9"
        platform._entries["model-9"] = dict(platform._entries["model-1"])
        platform.register("model-9", version="v2", born=started_ms)
        listed = world.gateways[0].catalogue.workers
        await world.until(lambda: "model-9" in listed)
        answers = [await stream(world, f"a{number}") for number in range(4)]
        for number, answer in enumerate(answers):
            if answer.status == 200:
                assert incarnations(world, f"a{number}") == [("model-9", started_ms)]
                assert recorded(world.gateways[0], f"a{number}") == "v2"
        assert answers[-1].complete
        assert not [run for run in platform.run_log.runs if run.worker == "model-1"]


@pytest.mark.parametrize("step_ms", [-60_000, 60_000])
async def test_a_worker_whose_clock_stepped_before_its_restart_serves_its_version(
    step_ms,
):
    async with deployment() as world:
        await drain(world, "model-2")
        assert (await stream(world, "a1")).complete
        before_ms = world.platform.workers["model-1"].started_ms
        await world.platform.restart("model-1")
        born_ms = world.platform.workers["model-1"].started_ms = before_ms + step_ms
        world.platform.register("model-1", version="v2", born=born_ms)
        listed = world.gateways[0].catalogue.workers
        await world.until(lambda: listed["model-1"].started_ms == born_ms)
        assert (await stream(world, "a2")).complete
        assert recorded(world.gateways[0], "a1") == "v1"
        assert recorded(world.gateways[0], "a2") == "v2"


async def test_a_stream_of_an_incarnation_that_was_never_listed_is_not_resumed():
    async with deployment() as world:
        await drain(world, "model-2")
        second_ms = await world.platform.restart("model-1")
        caller, _ = await begin_stream(world)
        third_ms = second_ms + 50
        world.platform.register("model-1", version="v1", born=third_ms)
        world.platform.register("model-2", state="ready")
        listed = world.gateways[0].catalogue.workers
        await world.until(
            lambda: (
                listed["model-1"].started_ms == third_ms
                and len(world.gateways[0].catalogue.workers_of(MODEL)) == 2
            )
        )
        world.platform.crash("model-1")
        assert not (await caller.receive()).complete
        assert incarnations(world) == [("model-1", second_ms)]
