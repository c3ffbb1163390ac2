"""Which failed connections exclude a worker for one instance, and which for all."""

from acaciapier.gateway.dispatch.health import FIRST_EXCLUSION_MS, MAX_EXCLUSION_MS
from acaciapier.gateway.dispatch.outcomes import record_outcome
from acaciapier.gateway.dispatch.reachability import (
    OVERRIDING_WITNESSES,
    PARTITION_PROBE_S,
    Reachability,
)
from acaciapier.gateway.dispatch.slot_requests import SlotRequest, SlotReservation
from acaciapier.gateway.dispatch.slots import SlotAllocator
from acaciapier.gateway.models import ServiceName, ServiceRule, Worker, WorkerState
from acaciapier.wire.messages.gateway import PermitEnded

WORKERS = [
    Worker(f"w{number}", "book", "10.0.0.1", number, "a", 4, WorkerState.READY, 1)
    for number in (1, 2, 3)
]
KEYS = [worker.key for worker in WORKERS]
FIRST, SECOND, THIRD = KEYS


class Events:
    """Collects log events."""

    def __init__(self):
        self.fields: list[dict] = []

    def __call__(self, kind: str, **fields) -> None:
        self.fields.append({"kind": kind, **fields})

    def instances(self) -> list[str]:
        return [fields["instance"] for fields in self.fields]


def wait_ms(reachability, instance: str, key: str, now_s: float) -> float:
    return reachability.wait_ms(instance, key, [], now_s)


def fail(reachability, instance: str, key: str, now_s: float) -> None:
    reachability.record_unreachable(instance, key, now_s, now_s)


def reach(reachability, instance: str, key: str, now_s: float) -> bool:
    return reachability.record_reached(instance, key, now_s, now_s)


def confirm(reachability, instance: str, key: str, now_s: float) -> None:
    """Fail at a worker and reach another one after it."""
    fail(reachability, instance, key, now_s)
    reach(reachability, instance, THIRD, now_s + 0.01)


def test_a_failure_excludes_a_worker_for_its_instance_only():
    events = Events()
    reachability = Reachability(events)
    fail(reachability, "edge-1", FIRST, 0.0)
    assert wait_ms(reachability, "edge-1", FIRST, 0.0) == FIRST_EXCLUSION_MS
    assert wait_ms(reachability, "edge-1", SECOND, 0.0) == 0.0
    assert wait_ms(reachability, "edge-2", FIRST, 0.0) == 0.0
    (event,) = events.fields
    assert event == {
        "kind": "worker_excluded",
        "worker": FIRST,
        "instance": "edge-1",
        "reason": "unreachable",
        "excluded_ms": FIRST_EXCLUSION_MS,
    }


def test_exclusions_double_up_to_the_longest_one():
    reachability = Reachability()
    now_s, durations = 0.0, []
    for _ in range(6):
        fail(reachability, "edge-1", FIRST, now_s)
        reach(reachability, "edge-1", SECOND, now_s)
        durations.append(wait_ms(reachability, "edge-1", FIRST, now_s))
        now_s += 10.0
    assert [round(duration) for duration in durations] == [
        400,
        800,
        1_600,
        3_200,
        MAX_EXCLUSION_MS,
        MAX_EXCLUSION_MS,
    ]
    reach(reachability, "edge-1", FIRST, now_s)
    assert wait_ms(reachability, "edge-1", FIRST, now_s) == 0.0


def test_failures_of_slots_granted_before_an_exclusion_do_not_double_it():
    reachability = Reachability()
    for end_s in (0.4, 0.41, 0.42):
        reachability.record_unreachable("edge-1", FIRST, end_s - 0.4, end_s)
    assert wait_ms(reachability, "edge-1", FIRST, 0.4) == FIRST_EXCLUSION_MS


def test_two_instances_that_reach_other_workers_exclude_a_worker_for_all():
    events = Events()
    reachability = Reachability(events)
    confirm(reachability, "edge-1", FIRST, 0.0)
    assert wait_ms(reachability, "edge-3", FIRST, 0.1) == 0.0
    confirm(reachability, "edge-2", FIRST, 0.1)
    assert wait_ms(reachability, "edge-3", FIRST, 0.2) > 0.0
    assert events.instances() == ["edge-1", "edge-2", "all"]
    reach(reachability, "edge-4", FIRST, 0.2)
    assert wait_ms(reachability, "edge-3", FIRST, 0.2) == 0.0


def test_instances_that_reach_no_worker_exclude_none_for_others():
    reachability = Reachability()
    for number in range(1, 6):
        for key in KEYS:
            fail(reachability, f"edge-{number}", key, 0.0)
    assert [wait_ms(reachability, "edge-9", key, 0.1) for key in KEYS] == [0.0] * 3


def test_failures_during_a_partition_tell_nothing_of_workers_that_others_reached():
    reachability = Reachability()
    for instance in ("edge-1", "edge-2"):
        fail(reachability, instance, FIRST, 0.0)
        fail(reachability, instance, SECOND, 0.0)
    reach(reachability, "edge-9", FIRST, 1.0)
    for instance in ("edge-1", "edge-2"):
        reach(reachability, instance, THIRD, 4.0)
    assert wait_ms(reachability, "edge-3", FIRST, 4.1) == 0.0
    assert wait_ms(reachability, "edge-1", FIRST, 4.1) == 0.0


def test_an_instance_that_just_reached_a_worker_trusts_itself_against_two():
    reachability = Reachability()
    reach(reachability, "edge-9", FIRST, 0.0)
    for number in range(1, OVERRIDING_WITNESSES):
        confirm(reachability, f"edge-{number}", FIRST, 0.1)
    assert wait_ms(reachability, "edge-9", FIRST, 0.2) == 0.0
    confirm(reachability, "edge-8", FIRST, 0.15)
    assert wait_ms(reachability, "edge-9", FIRST, 0.2) > 0.0


def test_one_request_at_a_time_probes_a_worker_after_an_exclusion():
    reachability = Reachability()
    fail(reachability, "edge-1", FIRST, 0.0)
    probe = SlotReservation(FIRST, "edge-1", 0, 0, 0.0, 9.0, granted_s=0.5)
    other = SlotReservation(FIRST, "edge-2", 0, 0, 0.0, 9.0, granted_s=0.5)
    old = SlotReservation(FIRST, "edge-1", 0, 0, 0.0, 9.0, granted_s=-0.5)
    assert reachability.wait_ms("edge-1", FIRST, [other, old], 0.6) == 0.0
    assert reachability.wait_ms("edge-1", FIRST, [probe], 0.6) > 0.0
    assert reachability.wait_ms("edge-2", FIRST, [probe], 0.6) == 0.0


def test_an_instance_that_reaches_no_worker_probes_one_a_second():
    reachability = Reachability()
    for now_s in (0.0, 5.0, 15.0, 25.0):
        for key in KEYS:
            fail(reachability, "edge-1", key, now_s)
    assert all(wait_ms(reachability, "edge-1", key, 27.9) > 0 for key in KEYS)
    now_s = 25.0 + len(KEYS) * PARTITION_PROBE_S
    assert wait_ms(reachability, "edge-1", FIRST, now_s) == 0.0
    reachability.record_granted("edge-1", FIRST, now_s)
    assert wait_ms(reachability, "edge-1", SECOND, now_s + 0.9) > 0.0
    assert wait_ms(reachability, "edge-1", SECOND, now_s + 1.0) == 0.0


def test_an_instance_is_partitioned_if_others_reach_workers_while_it_fails():
    reachability = Reachability()
    reach(reachability, "edge-9", FIRST, 0.0)
    fail(reachability, "edge-1", FIRST, 0.1)
    reach(reachability, "edge-9", FIRST, 0.2)
    assert not reachability.is_partitioned("edge-1")
    fail(reachability, "edge-1", SECOND, 0.3)
    assert reachability.is_partitioned("edge-1")
    assert not reachability.is_partitioned("edge-9")
    reach(reachability, "edge-1", SECOND, 0.4)
    assert not reachability.is_partitioned("edge-1")


def test_an_instance_is_not_partitioned_if_no_other_reaches_a_worker_either():
    reachability = Reachability()
    reach(reachability, "edge-9", FIRST, 0.0)
    fail(reachability, "edge-1", FIRST, 0.1)
    reach(reachability, "edge-9", FIRST, 0.2)
    fail(reachability, "edge-1", SECOND, 5.0)
    assert not reachability.is_partitioned("edge-1")
    # The next success shows that the workers are back.
    reach(reachability, "edge-9", FIRST, 6.0)
    assert not reachability.is_partitioned("edge-1")
    assert wait_ms(reachability, "edge-1", FIRST, 6.0) == 0.0
    fail(reachability, "edge-1", FIRST, 6.1)
    assert reachability.is_partitioned("edge-1")


def test_answers_from_a_partition_make_no_worker_look_slow():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 100))
    # Granted before the failures, answered after the links were back.
    allocator.add(SlotRequest("late", "edge-1", 9.0, 9.0))
    ((_, worker),) = allocator.assign(WORKERS, 0.0)
    for key in KEYS:
        fail(allocator.reachability, "edge-1", key, 1.0)
    for key in KEYS:
        reach(allocator.reachability, "edge-1", key, 3.0)
    average_ms = allocator.average_ms
    reservation = allocator.release("late")
    ended = PermitEnded("book", "late", "done", 4_000.0)
    record_outcome(allocator, reservation, ended, 4.0, Events())
    assert allocator.health.slowdown(worker.key) == 1.0
    assert allocator.average_ms == average_ms


def test_broken_connections_of_a_partition_make_no_worker_look_faulty():
    allocator = SlotAllocator(ServiceRule(ServiceName("book"), 100))
    for key in KEYS:
        fail(allocator.reachability, "edge-1", key, 1.0)
    reservation = SlotReservation(FIRST, "edge-1", 0, 0, 0.0, 9.0, granted_s=0.0)
    ended = PermitEnded("book", "p", "failed", 3_000.0)
    record_outcome(allocator, reservation, ended, 3.0, Events())
    assert allocator.health.failure_rate(FIRST) == 0.0
    reservation.owner = "edge-2"
    record_outcome(allocator, reservation, ended, 3.0, Events())
    assert allocator.health.failure_rate(FIRST) > 0.0


def test_a_worker_that_turns_a_request_away_is_excluded_for_all():
    allocator, events = SlotAllocator(ServiceRule(ServiceName("book"), 100)), Events()
    reservation = SlotReservation(FIRST, "edge-1", 0, 0, 0.0, 9.0, granted_s=0.0)
    ended = PermitEnded("book", "p", "full", 3.0)
    record_outcome(allocator, reservation, ended, 1.0, events)
    allocator.add(SlotRequest("q", "edge-2", 9.0, 9.0))
    assert allocator.assign(WORKERS[:1], 1.1) == []
    assert events.instances() == ["all"]


def test_the_state_of_removed_workers_and_instances_is_dropped():
    reachability = Reachability()
    for instance in ("edge-1", "edge-2"):
        confirm(reachability, instance, FIRST, 0.0)
        fail(reachability, instance, SECOND, 1.0)
        reachability.turn_away(instance, FIRST, 5.0)
    reachability.keep_workers([SECOND])
    assert wait_ms(reachability, "edge-1", FIRST, 0.1) == 0.0
    reachability.remove_instance("edge-1")
    assert wait_ms(reachability, "edge-1", SECOND, 1.0) == 0.0
    assert wait_ms(reachability, "edge-2", SECOND, 1.0) > 0.0
    reachability.remove_instance("edge-2")
    reachability.keep_workers([])
    assert not vars(reachability)["_workers"]
    assert not vars(reachability)["_instances"]
    assert not vars(reachability)["_turned_away_until_s"]
