"""Places at workers: who is sent where, and what is kept of it."""

import heapq
import math
from collections import Counter

from acaciapier.gateway.dispatch.places import PlaceBook, PlaceRequest
from acaciapier.gateway.models import (
    EngineSpec,
    ServiceName,
    ServiceRule,
    Worker,
    WorkerState,
)

ENGINE = ServiceRule(ServiceName("model"), 500, EngineSpec(4, 100_000))
ROOMY = ServiceRule(ServiceName("model"), 500, EngineSpec(96, 600_000))
PLAIN = ServiceRule(ServiceName("book"), 110)


def worker(number: int, slots: int = 4, zone: str = "a") -> Worker:
    return Worker(
        f"w{number}",
        "model",
        "10.0.0.1",
        8_000 + number,
        zone,
        slots,
        WorkerState.READY,
        1,
    )


def request(permit: str, **fields) -> PlaceRequest:
    fields = {"owner": "edge-1", "due_s": 1.0, "expires_s": 5.0} | fields
    return PlaceRequest(permit, **fields)


def test_a_permit_granted_twice_leaves_no_trace_at_the_first_worker():
    book, workers = PlaceBook(ENGINE), [worker(1), worker(2)]
    book.add(request("p", prompt_tokens=10))
    (_, first) = book.assign(workers, 0.0)[0]
    others = [one for one in workers if one is not first]
    book.add(request("p", prompt_tokens=10))
    book.assign(others, 0.1)
    book.ended("p")
    book.add(request("q", prompt_tokens=10))
    assert len(book.assign(workers, 0.2)) == 1
    assert book.held == 1


def test_no_worker_gets_more_than_its_slots():
    book, workers = PlaceBook(PLAIN), [worker(1, slots=2), worker(2, slots=2)]
    for number in range(6):
        book.add(request(f"p{number}"))
    assert len(book.assign(workers, 0.0)) == 4
    assert book.waiting == 2
    book.ended("p0")
    assert len(book.assign(workers, 0.0)) == 1


def test_urgent_requests_come_first_when_places_are_short():
    book, workers = PlaceBook(PLAIN), [worker(1, slots=1)]
    book.add(request("chat", priority=2, due_s=0.5))
    book.add(request("mail", priority=0, due_s=1.0))
    assert [one.permit for one, _ in book.assign(workers, 0.0)] == ["mail"]


def test_a_shared_part_is_read_again_where_it_was_read_before():
    book, workers = PlaceBook(ENGINE), [worker(1), worker(2), worker(3)]
    parts = (("tools", 2_000), ("customer", 3_000), ("own", 500))
    book.add(request("p1", prompt_tokens=5_500, parts=parts))
    (_, first) = book.assign(workers, 0.0)[0]
    book.started("p1", 60.0, 0.1)
    book.add(request("p2", prompt_tokens=5_500, parts=parts))
    (_, second) = book.assign(workers, 1.0)[0]
    assert second is first


def test_a_worker_that_was_unreachable_is_left_alone_for_a_while():
    book, workers = PlaceBook(PLAIN), [worker(1), worker(2)]
    book.health.exclude(workers[0].key, 0.0)
    for number in range(3):
        book.add(request(f"p{number}"))
    assert {one.id for _, one in book.assign(workers, 0.1)} == {"w2"}


def test_places_of_an_instance_that_is_gone_are_free_again():
    book, workers = PlaceBook(PLAIN), [worker(1, slots=1)]
    book.add(request("p1", owner="edge-1"))
    book.assign(workers, 0.0)
    book.drop_owner("edge-1")
    book.add(request("p2", owner="edge-2"))
    assert len(book.assign(workers, 0.0)) == 1


def test_expired_requests_are_taken_out():
    book = PlaceBook(PLAIN)
    book.add(request("p1", expires_s=0.5))
    assert [one.permit for one in book.take_expired(0.6)] == ["p1"]
    assert book.waiting == 0


def play_requests(book, workers, first_ms, from_s: float, count: int) -> Counter:
    """Place `count` quotes and chats; return how many each worker got."""
    chosen: Counter[str] = Counter()
    events: list[tuple[float, str, Worker, float]] = []

    def play_until(until_s: float) -> None:
        while events and events[0][0] <= until_s:
            now_s, name, worker, output_ms = heapq.heappop(events)
            if name.endswith("/first"):
                permit = name.removesuffix("/first")
                book.started(permit, first_ms(worker.id), now_s)
            else:
                book.ended(name)
                whole_ms = first_ms(worker.id) + output_ms
                book.note_time(worker.key, whole_ms, now_s)

    for number in range(count):
        now_s = from_s + 0.02 * number
        play_until(now_s)
        name = f"p{from_s}/{number}"
        book.add(request(name, prompt_tokens=1_000, due_s=now_s, expires_s=now_s + 5))
        (_, worker) = book.assign(workers, now_s)[0]
        chosen[worker.id] += 1
        first_s = now_s + first_ms(worker.id) / 1_000.0
        output_ms = 600.0 if number % 3 == 0 else 20.0
        end_s = first_s + output_ms / 1_000.0
        heapq.heappush(events, (first_s, f"{name}/first", worker, output_ms))
        heapq.heappush(events, (end_s, name, worker, output_ms))
    play_until(math.inf)
    return chosen


def test_a_slow_engine_is_told_apart_though_answers_differ_in_length():
    """Answers engines that turn slow among requests of all lengths."""
    book, workers = PlaceBook(ROOMY), [worker(1), worker(2), worker(3)]
    play_requests(book, workers, lambda _: 115.0, 0.0, 60)
    slow_ms = {"w2": 500.0}
    play_requests(book, workers, lambda one: slow_ms.get(one, 115.0), 2.0, 60)
    chosen = play_requests(book, workers, lambda one: slow_ms.get(one, 115.0), 4.0, 100)
    assert chosen["w2"] <= 5
    assert min(chosen["w1"], chosen["w3"]) >= 25


def test_an_engine_that_recovered_is_used_again():
    book, workers = PlaceBook(ROOMY), [worker(1), worker(2)]
    for _ in range(6):
        book.health.note_pace(workers[0].key, 4.0, 0.0)
    early = play_requests(book, workers, lambda _: 115.0, 0.1, 30)
    assert early["w1"] == 0
    later = play_requests(book, workers, lambda _: 115.0, 2.0, 60)
    assert later["w1"] >= 20
