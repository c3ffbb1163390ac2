"""Allocation of worker slots: which worker gets a request, and what is recorded."""

import heapq
import math
from collections import Counter

from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.models import (
    EngineSpec,
    ServiceName,
    ServiceRule,
    Worker,
    WorkerState,
)

ENGINE = ServiceRule(ServiceName("model"), 500, EngineSpec(4, 100_000))
LARGE_ENGINE = ServiceRule(ServiceName("model"), 500, EngineSpec(96, 600_000))
PLAIN = ServiceRule(ServiceName("book"), 110)


def make_worker(number: int, slots: int = 4, data_centre: str = "a") -> Worker:
    return Worker(
        f"w{number}",
        "model",
        "10.0.0.1",
        8_000 + number,
        data_centre,
        slots,
        WorkerState.READY,
        1,
    )


def make_request(permit: str, **fields) -> SlotRequest:
    fields = {"owner": "edge-1", "due_s": 1.0, "expires_s": 5.0} | fields
    return SlotRequest(permit, **fields)


def test_a_permit_granted_twice_releases_its_first_slot():
    allocator, workers = SlotAllocator(ENGINE), [make_worker(1), make_worker(2)]
    allocator.add(make_request("p", prompt_tokens=10))
    (_, first) = allocator.assign(workers, 0.0)[0]
    others = [worker for worker in workers if worker is not first]
    allocator.add(make_request("p", prompt_tokens=10))
    allocator.assign(others, 0.1)
    allocator.release("p")
    allocator.add(make_request("q", prompt_tokens=10))
    assert len(allocator.assign(workers, 0.2)) == 1
    assert allocator.reserved == 1


def test_no_worker_gets_more_than_its_slots():
    allocator, workers = (
        SlotAllocator(PLAIN),
        [make_worker(1, slots=2), make_worker(2, slots=2)],
    )
    for number in range(6):
        allocator.add(make_request(f"p{number}"))
    assert len(allocator.assign(workers, 0.0)) == 4
    assert allocator.waiting == 2
    allocator.release("p0")
    assert len(allocator.assign(workers, 0.0)) == 1


def test_requests_of_higher_priority_get_scarce_slots_first():
    allocator, workers = SlotAllocator(PLAIN), [make_worker(1, slots=1)]
    allocator.add(make_request("chat", priority=2, due_s=0.5))
    allocator.add(make_request("mail", priority=0, due_s=1.0))
    assert [request.permit for request, _ in allocator.assign(workers, 0.0)] == ["mail"]


def test_a_request_with_a_shared_prefix_goes_to_the_worker_that_cached_it():
    allocator, workers = (
        SlotAllocator(ENGINE),
        [make_worker(1), make_worker(2), make_worker(3)],
    )
    parts = (("tools", 2_000), ("customer", 3_000), ("own", 500))
    allocator.add(make_request("p1", prompt_tokens=5_500, parts=parts))
    (_, first) = allocator.assign(workers, 0.0)[0]
    allocator.record_start("p1", 60.0, 0.1)
    allocator.add(make_request("p2", prompt_tokens=5_500, parts=parts))
    (_, second) = allocator.assign(workers, 1.0)[0]
    assert second is first


def test_an_unreachable_worker_is_excluded_for_a_while():
    allocator, workers = SlotAllocator(PLAIN), [make_worker(1), make_worker(2)]
    allocator.health.exclude(workers[0].key, 0.0)
    for number in range(3):
        allocator.add(make_request(f"p{number}"))
    assert {worker.id for _, worker in allocator.assign(workers, 0.1)} == {"w2"}


def test_slots_of_an_instance_that_is_gone_are_released():
    allocator, workers = SlotAllocator(PLAIN), [make_worker(1, slots=1)]
    allocator.add(make_request("p1", owner="edge-1"))
    allocator.assign(workers, 0.0)
    allocator.release_owner("edge-1")
    allocator.add(make_request("p2", owner="edge-2"))
    assert len(allocator.assign(workers, 0.0)) == 1


def test_slots_that_an_instance_no_longer_lists_are_released():
    allocator, workers = SlotAllocator(PLAIN), [make_worker(1)]
    for permit, now_s in (("over", 0.0), ("held", 0.0), ("fresh", 5.0)):
        allocator.add(make_request(permit, expires_s=9.0))
        allocator.assign(workers, now_s)
    assert set(allocator.release_owner("edge-1", {"held"}, 4.0)) == {"over"}
    assert allocator.reserved == 2


def test_expired_requests_are_removed():
    allocator = SlotAllocator(PLAIN)
    allocator.add(make_request("p1", expires_s=0.5))
    assert [request.permit for request in allocator.pop_expired(0.6)] == ["p1"]
    assert allocator.waiting == 0


def simulate_requests(
    allocator, workers, first_ms, from_s: float, count: int
) -> Counter:
    """Assign `count` quotes and chats; return how many each worker got."""
    chosen: Counter[str] = Counter()
    events: list[tuple[float, str, Worker, float]] = []

    def simulate_until(until_s: float) -> None:
        while events and events[0][0] <= until_s:
            now_s, name, worker, output_ms = heapq.heappop(events)
            if name.endswith("/first"):
                permit = name.removesuffix("/first")
                allocator.record_start(permit, first_ms(worker.id), now_s)
            else:
                allocator.release(name)
                total_ms = first_ms(worker.id) + output_ms
                allocator.record_duration(worker.key, total_ms, now_s)

    for number in range(count):
        now_s = from_s + 0.02 * number
        simulate_until(now_s)
        name = f"p{from_s}/{number}"
        allocator.add(
            make_request(name, prompt_tokens=1_000, due_s=now_s, expires_s=now_s + 5)
        )
        (_, worker) = allocator.assign(workers, now_s)[0]
        chosen[worker.id] += 1
        first_s = now_s + first_ms(worker.id) / 1_000.0
        output_ms = 600.0 if number % 3 == 0 else 20.0
        end_s = first_s + output_ms / 1_000.0
        heapq.heappush(events, (first_s, f"{name}/first", worker, output_ms))
        heapq.heappush(events, (end_s, name, worker, output_ms))
    simulate_until(math.inf)
    return chosen


def test_a_slow_engine_is_detected_although_answers_differ_in_length():
    """Guards against slow engines that stay in use since answers differ in length."""
    allocator, workers = (
        SlotAllocator(LARGE_ENGINE),
        [make_worker(1), make_worker(2), make_worker(3)],
    )
    simulate_requests(allocator, workers, lambda _: 115.0, 0.0, 60)
    slow_ms = {"w2": 500.0}
    simulate_requests(
        allocator, workers, lambda worker_id: slow_ms.get(worker_id, 115.0), 2.0, 60
    )
    chosen = simulate_requests(
        allocator, workers, lambda worker_id: slow_ms.get(worker_id, 115.0), 4.0, 100
    )
    assert chosen["w2"] <= 5
    assert min(chosen["w1"], chosen["w3"]) >= 25


def test_an_engine_that_recovered_is_used_again():
    allocator, workers = SlotAllocator(LARGE_ENGINE), [make_worker(1), make_worker(2)]
    for _ in range(6):
        allocator.health.record_slowdown(workers[0].key, 4.0, 0.0)
    early = simulate_requests(allocator, workers, lambda _: 115.0, 0.1, 30)
    assert early["w1"] == 0
    later = simulate_requests(allocator, workers, lambda _: 115.0, 2.0, 60)
    assert later["w1"] >= 20
