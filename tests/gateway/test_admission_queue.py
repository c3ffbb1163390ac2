"""Which requests start their stages, and which answers callers get in bursts."""

import random
from copy import copy
from functools import cache

import pytest

from acaciapier.gateway.dispatch.admission_explanations import explain_admission
from acaciapier.gateway.dispatch.admission_queue import AdmissionEntry, AdmissionQueue
from acaciapier.gateway.models import AttemptId, RequestMetadata

from .stage_load import boards_load, order_load, vetting_load

ANSWER_VALUES = {
    "quote": (3.4, 0.51),
    "mail": (1.9, 0.28),
    "chat": (0.78, 0.12),
    "dossier": (3.4, 0.51),
    "summary": (1.9, 0.28),
}
"""Value of an answer in time and of a late one, by the users' sheets."""

MAX_CREDIT_GAP = 0.15
"""Users' rule: an urgent kind may earn less of its credit than a less urgent one by 15
in 100."""


def make_entry(attempt: str, due_s: float = 1.0, **fields) -> AdmissionEntry:
    fields = {
        "owner": "edge-1",
        "stage": 2,
        "pieces": 10,
        "expires_s": 4.0,
        "average_ms": 500.0,
        "priority": 0,
    } | fields
    return AdmissionEntry(attempt, due_s=due_s, **fields)


def admitted(
    queue: AdmissionQueue, now_s: float = 0.0, capacity: float = 0.1
) -> list[str]:
    return [entry.attempt for entry in queue.pop_admitted(capacity, now_s)]


def add_entries(queue: AdmissionQueue, count: int) -> list[str]:
    """Add `count` requests; return the attempts that were admitted."""
    for number in range(count):
        queue.add(make_entry(f"a{number}"), 0.0)
    return admitted(queue)


def test_as_many_requests_start_as_can_finish_in_time():
    queue = AdmissionQueue()
    # 10 pieces take 100 ms: with 150 ms of margin, 8 are done within 850 ms.
    assert len(add_entries(queue, 20)) == 9
    assert queue.waiting == 11


@pytest.mark.parametrize("seed", range(5))
def test_an_explanation_agrees_with_the_admission_and_changes_nothing(seed):
    """Guards against an explanation by other rules than those of the queue."""
    chance, queue, outcomes = random.Random(seed), AdmissionQueue(), set()
    for number in range(300):
        now_s, capacity = number * 0.02, chance.choice([0.05, 0.5])
        entry = make_entry(
            f"a{number}",
            now_s + chance.uniform(0.3, 2.0),
            expires_s=now_s + chance.uniform(0.4, 4.0),
            priority=chance.randrange(3),
            workspace=chance.choice(["small", "large", "large"]),
            fingerprint=f"f{number % 40}",
        )
        before = repr(vars(queue) | {"_shares": vars(queue._shares)})
        told = explain_admission(queue, copy(entry), capacity, now_s)
        assert repr(vars(queue) | {"_shares": vars(queue._shares)}) == before
        queue.add(entry, now_s)
        outcome = "admitted" if entry in queue.pop_admitted(capacity, now_s) else ""
        refused = entry in queue.pop_infeasible(capacity, now_s)
        outcome = outcome or ("refused" if refused else "waits")
        assert told.outcome == outcome
        outcomes.add(outcome)
        for attempt in [one for one in queue._started if chance.random() < 0.1]:
            queue.finish(attempt, 2, capacity, now_s)
    assert outcomes == {"admitted", "waits", "refused"}


def test_a_request_starts_when_another_one_is_done():
    queue = AdmissionQueue()
    add_entries(queue, 9)
    queue.add(make_entry("next", due_s=1.1), 0.0)
    assert admitted(queue, 0.1) == []
    queue.finish("a0", 2, 0.1, 0.1)
    assert admitted(queue, 0.1) == ["next"]


def test_an_earlier_stage_of_the_same_service_does_not_finish_a_request():
    queue = AdmissionQueue()
    add_entries(queue, 1)
    queue.finish("a0", 0, 0.1, 0.1)
    assert queue.started_pieces == 10


def test_late_requests_start_only_when_there_is_time_to_spare():
    queue = AdmissionQueue()
    add_entries(queue, 9)
    queue.add(make_entry("late", due_s=0.3), 0.0)
    assert admitted(queue, 0.1) == []
    for number in range(4):
        queue.finish(f"a{number}", 2, 0.1, 0.2)
    assert admitted(queue, 0.2) == ["late"]


def test_requests_of_lower_priority_are_held_back_first():
    queue = AdmissionQueue()
    add_entries(queue, 8)
    queue.add(make_entry("chat", priority=2), 0.0)
    queue.add(make_entry("mail"), 0.0)
    assert admitted(queue) == ["mail"]


def test_infeasible_requests_are_found_at_once():
    queue = AdmissionQueue()
    for number in range(100):
        queue.add(make_entry(f"a{number}", due_s=0.1, expires_s=3.0), 0.0)
    infeasible = queue.pop_infeasible(0.1, 0.0)
    assert 50 < len(infeasible) < 75


def test_a_cancelled_request_is_removed():
    queue = AdmissionQueue()
    add_entries(queue, 12)
    assert [entry.attempt for entry in queue.remove("a11")] == ["a11"]
    assert queue.remove("a0") == []
    assert (queue.waiting, queue.started_pieces) == (2, 80)


def test_requests_of_an_instance_that_went_down_are_removed():
    queue = AdmissionQueue()
    add_entries(queue, 12)
    assert len(queue.remove_owner("edge-1")) == 3
    assert (queue.waiting, queue.started_pieces) == (0, 0)


def test_requests_never_reported_as_done_are_removed_after_their_expiry():
    queue = AdmissionQueue()
    add_entries(queue, 9)
    queue.add(make_entry("next", due_s=7.0, expires_s=9.0), 0.0)
    queue.pop_infeasible(0.1, 5.5)
    assert admitted(queue, 5.5) == ["next"]
    assert queue.started_pieces == 10


def test_a_retried_request_starts_first_when_there_is_time_to_spare():
    queue = AdmissionQueue()
    queue.add(make_entry("first", due_s=0.1, expires_s=0.2, fingerprint="f"), 0.0)
    assert [entry.attempt for entry in queue.pop_infeasible(0.1, 0.0)] == ["first"]
    add_entries(queue, 9)
    queue.add(make_entry("late", due_s=0.3), 0.5)
    queue.add(make_entry("again", due_s=1.6, priority=2, fingerprint="f"), 0.5)
    assert admitted(queue, 0.5) == []
    for number in range(4):
        queue.finish(f"a{number}", 2, 0.1, 0.6)
    assert admitted(queue, 0.6) == ["again"]


def test_a_refusal_is_remembered_for_a_limited_time():
    queue = AdmissionQueue()
    queue.add(make_entry("first", due_s=0.1, expires_s=0.2, fingerprint="f"), 0.0)
    queue.pop_infeasible(0.1, 0.0)
    retry = make_entry("again", due_s=21.0, expires_s=25.0, fingerprint="f")
    queue.add(retry, 20.0)
    assert not retry.retried


@cache
def simulate(make, burst, seed: int, workers=(), with_admission: bool = True):
    """Return the callers' outcomes; `workers` limits the workers of some services."""
    load = make(seed=seed)
    load.callers_retry = True
    load.bursts = [burst] if burst else []
    for service, count in workers:
        load.workers[service] = load.workers[service][:count]
    if with_admission:
        load.add_admission_queues()
    return load.run(10)


def credit(outcomes) -> float:
    """Return the share of the callers' credit that was earned."""
    earned = sum(
        outcome.in_time * ANSWER_VALUES[kind][0] + outcome.late * ANSWER_VALUES[kind][1]
        for kind, outcome in outcomes.items()
    )
    return earned / sum(
        outcome.requests * ANSWER_VALUES[kind][0] for kind, outcome in outcomes.items()
    )


OVERLOADS = [
    (vetting_load, ("dossier", 3, 9, 3.1), ()),
    (vetting_load, ("summary", 3, 9, 3.1), ()),
    (
        vetting_load,
        ("*", 3, 8, 1.7),
        (("registry", 8), ("sanctions", 7), ("portal", 10)),
    ),
    (vetting_load, ("*", 3, 9, 1.4), (("sanctions", 5),)),
    (order_load, ("*", 3, 9, 1.7), (("desk", 2),)),
    (order_load, ("mail", 3, 9, 2.3), (("desk", 2),)),
]


@pytest.mark.parametrize("make, burst, workers", OVERLOADS)
def test_callers_earn_more_in_an_overload_than_without_admission(make, burst, workers):
    """Guards against bursts in which all requests are late together."""
    with_queue = simulate(make, burst, 1, workers)
    without_admission = simulate(make, burst, 1, workers, with_admission=False)
    assert credit(with_queue) > credit(without_admission)
    for kind, outcome in with_queue.items():
        assert outcome.share_in_time >= without_admission[kind].share_in_time


@pytest.mark.parametrize("make, burst, workers", OVERLOADS)
def test_few_callers_are_refused_twice(make, burst, workers):
    outcomes = simulate(make, burst, 1, workers).values()
    refused_twice = sum(outcome.refused_twice for outcome in outcomes)
    assert refused_twice <= 0.05 * sum(outcome.requests for outcome in outcomes)


@pytest.mark.parametrize("make, burst, workers", OVERLOADS[:3])
def test_in_an_overload_urgent_kinds_are_not_deprioritized(make, burst, workers):
    outcomes = simulate(make, burst, 1, workers)
    urgent = outcomes["summary"].share_in_time
    assert urgent >= outcomes["dossier"].share_in_time - MAX_CREDIT_GAP


@pytest.mark.parametrize("factor", [2.2, 3.0])
def test_urgent_requests_are_not_starved_by_those_with_more_time(factor):
    """Guards against a class that its service could serve and that is hardly served.

    Less urgent requests filled the chains for as long as they had time themselves.
    """
    outcomes = simulate(boards_load, ("sort", 1, 8, factor), 1)
    assert outcomes["draft"].share_in_time > 0.9
    assert outcomes["draft"].share_in_time >= outcomes["sort"].share_in_time - 0.05
    assert outcomes["sort"].share_in_time > 0.8


def test_an_urgent_request_does_not_wait_for_those_that_have_time_to_give_way():
    queue = AdmissionQueue()
    for number in range(40):
        queue.add(make_entry(f"relaxed{number}", due_s=3.0, route_priority=2), 0.0)
    assert len(admitted(queue)) >= 20
    queue.add(make_entry("urgent", due_s=1.0, route_priority=1), 0.1)
    assert admitted(queue, now_s=0.1)[0] == "urgent"
    queue.add(make_entry("equal", due_s=1.0, route_priority=2), 0.1)
    assert "equal" not in admitted(queue, now_s=0.1)


@pytest.mark.parametrize("make", [order_load, vetting_load])
def test_requests_are_not_delayed_at_low_load(make):
    outcomes = simulate(make, None, 3)
    for outcome in outcomes.values():
        assert outcome.share_in_time > 0.97
        assert outcome.refused == 0


def test_large_requests_are_admitted_like_average_ones_of_their_route():
    load = vetting_load()
    route = load.kinds[0].route
    metadata = [
        RequestMetadata(AttemptId("x"), None, None, n, 80) for n in (9_000, 40_000)
    ]
    average_ms = [
        load.times.average_engine_ms("model", route, request_metadata)
        for request_metadata in metadata
    ]
    assert average_ms[1] < 1.2 * average_ms[0]
    assert load.times.engine_ms("model", metadata[1]) > 2 * average_ms[1]


def test_requests_of_one_workspace_are_ordered_by_their_routes():
    queue = AdmissionQueue()
    add_entries(queue, 9)
    queue.add(make_entry("dossier", due_s=0.9, priority=1, route_priority=1), 0.0)
    queue.add(make_entry("summary", due_s=0.9, priority=1, route_priority=0), 0.0)
    queue.finish("a0", 2, 0.1, 0.0)
    for number in range(1, 5):
        queue.finish(f"a{number}", 2, 0.1, 0.0)
    assert admitted(queue)[0] == "summary"
