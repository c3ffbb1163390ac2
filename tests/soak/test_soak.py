"""The soak's checker catches planted faults, and a short seeded run passes."""

import random

import pytest

from acaciapier_bench.soak.callers import Received
from acaciapier_bench.soak.changes import Changes
from acaciapier_bench.soak.checker import (
    Announcements,
    check,
    check_answered,
    check_planned_work,
)
from acaciapier_bench.soak.plan import (
    ANNOUNCEMENT_FAULTS,
    ENDLESS_FAULTS,
    FAULTS,
    FLEET_FAULTS,
    FRAMING_FAULTS,
    LIMIT_FAULTS,
    VERSION_FAULTS,
    SoakPlan,
)
from acaciapier_bench.soak.run import SERVICES, run_soak
from acaciapier_bench.soak.streams import Lifetime, check_streams
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.run_log import Arrival, Run, RunLog, TurnedAway

STREAM = "".join(f"id: {n}\ndata: a {n}\n\n" for n in range(1, 5)).encode()


def received(kind="lookup", **fields) -> Received:
    known = {
        "ended_s": 1.0,
        "status": 200,
        "whole": True,
        "body": b"w did a",
        "seal": "s",
    }
    return Received("a", kind, "edge-1", 0.0, **(known | fields))


def ran(kind="lookup", worker="w", started_s=0.1, ended_s=0.5) -> Run:
    return Run(worker, "a", f"/{kind}/1", b"", {}, started_s, ended_s)


def broken(record, *runs, drained_s=None, calm_from_s=1e9) -> list[str]:
    return check([record], RunLog(list(runs)), drained_s or {}, calm_from_s)


def test_a_good_history_has_no_findings():
    assert broken(received(), ran()) == []
    assert broken(received("chat", body=STREAM), ran("chat")) == []
    assert broken(received("confirm", status=503, body=b"")) == []


@pytest.mark.parametrize(
    ("record", "runs", "kwargs"),
    [
        (received("confirm"), (ran("confirm"), ran("confirm")), {}),
        (received("chat", status=503, body=b""), (ran("chat"),), {}),
        (received(body=b"w did b"), (ran(),), {}),
        (received(seal=""), (ran(),), {}),
        (received("mail", body=STREAM[:-20]), (ran("mail"),), {}),
        (received("mail", body=STREAM + STREAM[-20:]), (ran("mail"),), {}),
        (received(), (ran("other"),), {}),
        (received(), (ran(started_s=9.0),), {"drained_s": {"w": 5.0}}),
        (received(status=502, body=b""), (), {"calm_from_s": -1.0}),
    ],
    ids=[
        "ran twice",
        "said not to have run",
        "answer of another",
        "no mark",
        "cut stream that looks whole",
        "doubled event",
        "changed path",
        "run after the drain",
        "no recovery",
    ],
)
def test_a_planted_fault_is_found(record, runs, kwargs):
    assert len(broken(record, *runs, **kwargs)) == 1


def test_a_run_that_nobody_sent_is_found():
    assert len(check([], RunLog([ran()]), {}, 1e9)) == 1


def test_work_for_callers_who_left_is_found():
    records, runs = [], []
    for number in range(5):
        record = received(left=True, whole=False, status=0, ended_s=1.0)
        record.attempt = f"a{number}"
        run = ran(ended_s=5.0)
        run.attempt = record.attempt
        records.append(record)
        runs.append(run)
    assert len(check(records, RunLog(runs), {}, 1e9)) == 1


def sent(attempt: str, sent_s: float) -> Received:
    return Received(attempt, "lookup", "edge-1", sent_s, left=True)


def ran_at(attempt: str, start_s: float) -> Run:
    return Run("w", attempt, "/lookup/1", b"", {}, start_s, start_s + 0.1, True)


@pytest.mark.parametrize(("disturbed_s", "findings"), [({}, 1), ({"edge-1": [2.0]}, 0)])
def test_requests_to_a_worker_that_announced_its_shutdown_are_found(
    disturbed_s, findings
):
    records = [sent("a1", 1.0), sent("a2", 2.5), sent("a3", 5.0)]
    runs = [ran_at("a1", 1.0), ran_at("a2", 2.5), ran_at("a3", 5.0)]
    announcements = Announcements({"w": 0.5}, disturbed_s)
    found = check(records, RunLog(runs), {}, 1e9, announcements)
    assert len(found) == findings


@pytest.mark.parametrize(
    ("times_s", "findings"), [((0.0, 0.6, 0.7, 0.8), 1), ((0.0, 0.3, 0.4, 0.8), 0)]
)
def test_requests_to_a_worker_that_turns_them_away_are_found(times_s, findings):
    records = [sent(f"a{n}", at_s) for n, at_s in enumerate(times_s)]
    refusals = [
        TurnedAway("w", f"a{n}", at_s, at_s + 2.0) for n, at_s in enumerate(times_s)
    ]
    found = check(records, RunLog(turned_away=refusals), {}, 1e9)
    assert len(found) == findings


def test_an_incomplete_answer_after_planned_work_is_found():
    cut = received("chat", whole=False)
    assert len(check_planned_work([cut], RunLog([ran("chat")]))) == 1
    assert check_planned_work([cut], RunLog()) == []
    assert check_planned_work([received()], RunLog([ran()])) == []


@pytest.mark.parametrize(
    ("changed", "findings"),
    [
        ({}, 1),
        ({"ended_s": 0.1}, 1),
        ({"ended_s": 0.1, "gateway": "edge-3"}, 0),
        ({"gateway": "edge-3"}, 1),
        ({"status": 502}, 0),
        ({"left": True}, 0),
        ({"never_sent": True}, 0),
        ({"gateway": "edge-2"}, 0),
    ],
    ids=[
        "unanswered",
        "closed under its caller",
        "crosses the close of a stop",
        "unanswered at a stop",
        "answered",
        "left",
        "unsent",
        "killed",
    ],
)
def test_a_request_without_an_answer_is_found(changed, findings):
    record = received("confirm", whole=False, status=0, body=b"", ended_s=1.0)
    for name, value in changed.items():
        setattr(record, name, value)
    announcements = Announcements(
        struck_s={"edge-2": [0.5]}, stopped_s={"edge-3": [-3.0]}
    )
    assert len(check_answered([record], RunLog(), announcements)) == findings


def test_a_request_that_a_worker_had_is_found_without_an_answer_at_once():
    record = received("confirm", whole=False, status=0, body=b"", ended_s=0.1)
    runs = RunLog([ran("confirm")])
    assert len(check_answered([record], runs, Announcements())) == 1


@pytest.mark.parametrize(("took_s", "findings"), [(0.5, 1), (1.0, 0)])
def test_a_cut_answer_beside_changes_is_found_before_its_timeout(took_s, findings):
    changes = Changes(SERVICES)
    changes.first(0.0)
    made = changes.changed(1.0, random.Random(1))
    made["routes"] = [one | {"timeout_ms": 1_000} for one in ROUTES]
    cut = received("chat", whole=False, ended_s=2.0 + took_s)
    cut.sent_s = 2.0
    found = check_planned_work([cut], RunLog([ran("chat")]), changes.reached_timeout)
    assert len(found) == findings


def test_changes_beside_signals_and_silence_leave_no_request_unanswered():
    faults = ("change", "term", "hup", "silence")
    report = run_soak(SoakPlan(seed=1, seconds=10.0, callers=12, faults=faults))
    assert report.broken == []
    assert report.records


def test_instances_that_get_several_stop_signals_lose_no_request():
    plan = SoakPlan(seed=1, seconds=12.0, callers=16, faults=("term",))
    report = run_soak(plan)
    assert report.broken == []
    assert report.records


def test_a_short_soak_with_restores_and_announcements_keeps_all_promises():
    faults = FAULTS + ANNOUNCEMENT_FAULTS
    report = run_soak(SoakPlan(seed=5, seconds=6.0, callers=6, faults=faults))
    assert report.broken == []
    assert report.records


def test_streams_that_end_early_with_their_connection_keep_all_promises():
    plan = SoakPlan(seed=6, seconds=8.0, callers=12, faults=FRAMING_FAULTS)
    report = run_soak(plan)
    assert report.broken == []
    assert report.records


def test_a_short_seeded_soak_keeps_all_promises():
    report = run_soak(SoakPlan(seed=4, seconds=5.0, gateways=3, callers=5))
    assert report.broken == []
    assert report.records


@pytest.mark.parametrize(
    "seed",
    [
        # Watches that an outage of the store swallowed were not started again when
        # it was back: a draining worker got requests for 5.5 s.
        141,
    ],
)
def test_seeds_that_failed_before_keep_all_promises(seed):
    report = run_soak(SoakPlan(seed))
    assert report.broken == []


@pytest.mark.parametrize(
    ("count", "disturbed_s", "findings"),
    [(12, {}, 1), (11, {}, 0), (12, {"edge-1": [6.0]}, 0), (12, {"edge-2": [6.0]}, 1)],
)
def test_requests_beyond_the_limit_that_a_worker_named_are_found(
    count, disturbed_s, findings
):
    times_s = [1.0, *(7.0 + 0.1 * number for number in range(count))]
    records = [
        Received(f"a{n}", "lookup", "edge-1", at_s) for n, at_s in enumerate(times_s)
    ]
    log = RunLog([ran_at(f"a{n}", at_s) for n, at_s in enumerate(times_s)])
    log.arrivals = [Arrival("w", f"a{n}", at_s) for n, at_s in enumerate(times_s)]
    announcements = Announcements(limits={"w": (1.0, 0.5)}, disturbed_s=disturbed_s)
    assert len(check(records, log, {}, 1e9, announcements)) == findings


def test_a_soak_with_limits_and_answers_without_end_keeps_all_promises(tmp_path):
    faults = (*LIMIT_FAULTS, *ENDLESS_FAULTS, "term", "kill", "peer_reset")
    plan = SoakPlan(seed=31, seconds=10.0, gateways=3, callers=10, faults=faults)
    assert run_soak(plan, tmp_path).broken == []


def piece(attempt: str, sent_s: float, events: str, **fields) -> Received:
    """Return an attempt whose body has the events of `events`, as ``"1v1 2v2"``."""
    pairs = [event.split("v") for event in events.split()]
    body = "".join(f"id: {n}\ndata: {attempt} {n} v{v}\n\n" for n, v in pairs)
    known = {"ended_s": sent_s + 0.4, "status": 200, "body": body.encode()}
    return Received(attempt, "mail", "edge-1", sent_s, **(known | fields))


@pytest.mark.parametrize(
    ("last_id", "events", "findings"),
    [
        (2, "3v1 4v1", 0),
        (2, "3v2 4v2", 1),
        (2, "3v1 4v2", 1),
        (2, "2v1 3v1 4v1", 1),
        (2, "4v1", 1),
        (2, "", 0),
    ],
    ids=["good", "other version", "mixed within", "repeat", "gap", "nothing"],
)
def test_events_of_several_versions_gaps_and_repeats_are_found(
    last_id, events, findings
):
    first = piece("a", 1.0, "1v1 2v1")
    taken_up = piece("a.0", 1.5, events, resumes="a", last_id=last_id)
    found, counts = check_streams([first, taken_up], [], lambda *times: True)
    assert len(found) == findings
    assert counts.went_on.count == 1


def test_a_mix_over_a_chain_of_attempts_is_found_once():
    chain = [
        piece("a", 1.0, "1v1"),
        piece("a.0", 1.5, "2v1", resumes="a", last_id=1),
        piece("a.1", 2.0, "3v2 4v2", resumes="a", last_id=2),
    ]
    found, counts = check_streams(chain, [], lambda *times: True)
    assert (len(found), counts.mixed, counts.mixed_within) == (1, 1, 0)


def test_a_resumed_stream_has_the_rest_of_the_events():
    fields = {"whole": True, "seal": "s", "resumes": "a", "last_id": 2}
    whole = piece("a.0", 1.5, "3v1 4v1", **fields)
    assert check([whole], RunLog(), {}, 1e9) == []
    cut = piece("a.0", 1.5, "3v1", **fields)
    assert len(check([cut], RunLog(), {}, 1e9)) == 1


@pytest.mark.parametrize(
    ("workers", "in_touch", "findings"), [(2, True, 1), (1, True, 0), (2, False, 0)]
)
def test_refusals_of_streams_whose_version_serves_are_found(
    workers, in_touch, findings
):
    records = []
    for number in range(12):
        records.append(piece(f"a{number}", 5.0, "1v1 2v1"))
        fields = {"resumes": f"a{number}", "last_id": 2}
        if number >= 5:
            fields |= {"status": 503, "whole": True, "body": b""}
        records.append(piece(f"a{number}.0", 5.5, "3v1 4v1", **fields))
    lifetimes = [Lifetime(f"w{number}", "v1", 0.0) for number in range(workers)]
    found, counts = check_streams(records, lifetimes, lambda *times: in_touch)
    assert len(found) == findings
    assert (str(counts.went_on), counts.refused) == ("5 of 12", 7)


def test_streams_that_callers_take_up_hold_events_of_one_version():
    faults = (*VERSION_FAULTS, "kill", "break", "silence")
    report = run_soak(SoakPlan(seed=2, seconds=6.0, callers=6, faults=faults))
    assert report.broken == []
    assert report.streams.went_on.count


def test_streams_that_callers_take_up_after_all_gateways_were_killed_are_not_mixed():
    faults = (*FLEET_FAULTS, "release", "break")
    report = run_soak(SoakPlan(seed=2, seconds=6.0, callers=6, faults=faults))
    assert report.broken == []
    assert {"kill_all", "kill_all_store"} & set(report.faults)
    assert report.streams.went_on.count
