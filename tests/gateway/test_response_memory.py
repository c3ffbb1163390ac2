"""Memory of all responses in progress, beside workers that send without end."""

import pytest
import trio
import trio.testing

from acaciapier.gateway.response_memory import HELD_MS, ResponseMemory
from acaciapier_standins.platform.example import ROUTES
from acaciapier_standins.platform.platform import HOST

from .gateway_processes import gateway_processes
from .support import SERVICES, Answer, deployment

MB = 1_000_000
LIMIT_MB = 40
"""Memory of which large responses may take a quarter."""

BODY_BYTES = 2 * MB
PROCESS_MB = 100
SLOW_CALLERS = 16
MAX_GROWTH_BYTES = 100 * MB
PATIENT_ROUTES = [dict(one, timeout_ms=10_000) for one in ROUTES]
MANY_SERVICES = [dict(one, max_conns=500) for one in SERVICES]


class ManualClock:
    """Clock that advances only by hand."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s


class Connection:
    """Connection that is only closed."""

    def __init__(self):
        self.closed = False

    def close(self) -> None:
        self.closed = True


@pytest.fixture
def memory() -> ResponseMemory:
    return ResponseMemory(LIMIT_MB, ManualClock(), lambda event, **fields: None)


async def reserve(memory, worker: str, size_bytes: int, nursery):
    """Return a reservation and its connection, after it was granted or has to wait."""
    connection = Connection()
    reservation = memory.reservation(worker, connection)
    nursery.start_soon(reservation.reserve, size_bytes)
    await trio.testing.wait_all_tasks_blocked()
    return reservation, connection


async def test_responses_wait_for_memory_in_order(memory):
    async with trio.open_nursery() as nursery:
        first, _ = await reserve(memory, "a", 5 * MB, nursery)
        second, _ = await reserve(memory, "a", 5 * MB, nursery)
        third, _ = await reserve(memory, "a", 1 * MB, nursery)
        assert first.granted.is_set()
        assert not second.granted.is_set()
        assert not third.granted.is_set()
        first.release()
        assert second.granted.is_set()
        second.release()
        await third.granted.wait()
        third.release()
    assert (memory.used_bytes, memory.waiting) == (0, 0)


async def test_a_worker_gets_at_most_its_share(memory):
    async with trio.open_nursery() as nursery:
        faulty = [await reserve(memory, "a", 4 * MB, nursery) for _ in range(4)]
        assert [one.granted.is_set() for one, _ in faulty] == [
            True,
            *[False] * 3,
        ]
        sound, _ = await reserve(memory, "b", 5 * MB, nursery)
        assert sound.granted.is_set()
        nursery.cancel_scope.cancel()


async def test_workers_with_less_are_served_first(memory):
    async with trio.open_nursery() as nursery:
        held = [await reserve(memory, name, 4 * MB, nursery) for name in "ab"]
        waiting = [await reserve(memory, name, 4 * MB, nursery) for name in "abc"]
        held[0][0].release()
        assert [one.granted.is_set() for one, _ in waiting] == [
            True,
            False,
            False,
        ]
        waiting[0][0].release()
        assert waiting[2][0].granted.is_set()
        nursery.cancel_scope.cancel()


async def test_a_response_larger_than_the_limit_is_received_alone(memory):
    async with trio.open_nursery() as nursery:
        large, _ = await reserve(memory, "a", 50 * MB, nursery)
        assert large.granted.is_set()
        small, _ = await reserve(memory, "b", 1 * MB, nursery)
        assert not small.granted.is_set()
        large.release()
        nursery.cancel_scope.cancel()


async def test_slow_responses_end_for_those_of_workers_with_less(memory):
    async with trio.open_nursery() as nursery:
        held = [await reserve(memory, name, 4 * MB, nursery) for name in "ab"]
        waiting, _ = await reserve(memory, "c", 4 * MB, nursery)
        memory.revoke_overdue()
        assert not any(connection.closed for _, connection in held)
        memory._clock.now_s += HELD_MS / 1_000.0
        memory.revoke_overdue()
        assert [connection.closed for _, connection in held] == [True, False]
        held[0][0].release()
        assert waiting.granted.is_set()
        nursery.cancel_scope.cancel()


async def test_slow_responses_of_the_same_worker_go_on(memory):
    async with trio.open_nursery() as nursery:
        _, connection = await reserve(memory, "a", 5 * MB, nursery)
        await reserve(memory, "a", 5 * MB, nursery)
        memory._clock.now_s += 10 * HELD_MS / 1_000.0
        memory.revoke_overdue()
        assert not connection.closed
        nursery.cancel_scope.cancel()


async def test_callers_that_read_slowly_lose_their_memory_to_those_that_wait(memory):
    async with trio.open_nursery() as nursery:
        reservations = [await reserve(memory, name, 5 * MB, nursery) for name in "ab"]
        ended = []
        for reservation, _ in reservations:
            reservation.complete(b"x" * 4 * MB)
            reservation.pass_on(lambda: ended.append(1))
        assert memory.used_bytes == 8 * MB
        await reserve(memory, "c", 4 * MB, nursery)
        memory._clock.now_s += HELD_MS / 1_000.0
        memory.revoke_overdue()
        assert len(ended) == 1
        nursery.cancel_scope.cancel()


async def test_a_worker_at_its_share_loses_responses_to_slow_callers(memory):
    async with trio.open_nursery() as nursery:
        reservation, _ = await reserve(memory, "a", 5 * MB, nursery)
        ended = []
        reservation.complete(b"x" * 4 * MB)
        reservation.pass_on(lambda: ended.append(1))
        await reserve(memory, "a", 4 * MB, nursery)
        memory._clock.now_s += HELD_MS / 1_000.0
        memory.revoke_overdue()
        assert ended == [1]
        nursery.cancel_scope.cancel()


async def request_often(
    gateway, callers: int, path: str, prefix: str, count: int = 1
) -> list[Answer]:
    """Return the answers to requests of several callers at once."""
    answers = []

    async def call(number: int) -> None:
        for index in range(count):
            caller = gateway.caller()
            attempt = f"{prefix}{number}-{index}"
            answers.append(
                await caller.request("POST", path, b"{}", Attempt_Id=attempt)
            )
            await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(call, number)
    return answers


async def measure_growth(gateway, task) -> int:
    """Return by how much the memory of a gateway grew while `task` ran."""
    before = peak = gateway.resident_bytes

    async def sample() -> None:
        nonlocal peak
        while True:
            peak = max(peak, gateway.resident_bytes)
            await trio.sleep(0.005)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample)
        await task()
        nursery.cancel_scope.cancel()
    return peak - before


async def allow_many(world) -> None:
    """Let the workers take many requests at once."""
    for name in list(world.platform.workers):
        world.platform.register(name, slots=100)
    await trio.sleep(0.5)


@pytest.mark.parametrize("kind", ["large_chunks", "body", "long"])
async def test_memory_is_bounded_beside_many_answers_without_end(kind, tmp_path):
    """A worker that sent without end took the memory of the whole process."""
    async with gateway_processes(
        tmp_path, memory_mb=PROCESS_MB, routes=PATIENT_ROUTES, services=MANY_SERVICES
    ) as world:
        await allow_many(world)
        gateway = world.gateways[0]
        world.platform.workers["book-1"].faults.endless = kind
        world.platform.workers["book-2"].faults.body_bytes = BODY_BYTES
        answers = []

        async def play() -> None:
            answers.extend(await request_often(gateway, 120, "/lookup/1", "e", 2))

        growth_bytes = await measure_growth(gateway, play)
    assert growth_bytes < MAX_GROWTH_BYTES
    done = [answer for answer in answers if answer.status == 200]
    assert all(one.complete and len(one.body) == BODY_BYTES for one in done)
    at_sound_worker = {
        run.attempt for run in world.platform.run_log.runs if run.worker == "book-2"
    }
    assert len(at_sound_worker) >= 100
    assert {one.headers["attempt-id"] for one in done} == at_sound_worker


async def test_memory_is_bounded_beside_streams_with_events_without_end(tmp_path):
    async with gateway_processes(
        tmp_path, memory_mb=PROCESS_MB, routes=PATIENT_ROUTES, services=MANY_SERVICES
    ) as world:
        await allow_many(world)
        gateway = world.gateways[0]
        for name in ("model-1", "model-2"):
            world.platform.workers[name].faults.endless = "event"

        async def play() -> None:
            await request_often(gateway, 150, "/chat/1", "s")

        growth_bytes = await measure_growth(gateway, play)
    assert growth_bytes < MAX_GROWTH_BYTES


async def test_memory_is_bounded_beside_callers_that_read_slowly(tmp_path):
    """Whole answers are kept until their callers have read them."""
    async with gateway_processes(
        tmp_path, memory_mb=PROCESS_MB, routes=PATIENT_ROUTES, services=MANY_SERVICES
    ) as world:
        await allow_many(world)
        gateway = world.gateways[0]
        for name in ("book-1", "book-2"):
            world.platform.workers[name].faults.body_bytes = 6 * MB
        slow, sound = [], []

        async def play() -> None:
            for number in range(SLOW_CALLERS):
                stream = await trio.open_tcp_stream(HOST, gateway.front)
                await stream.send_all(
                    f"GET /lookup/1 HTTP/1.1\r\nHost: orders.example\r\n"
                    f"Attempt-Id: slow{number}\r\n\r\n".encode()
                )
                slow.append(stream)
            await trio.sleep(2.5)
            sound.extend(await request_often(gateway, 8, "/lookup/1", "q"))

        growth_bytes = await measure_growth(gateway, play)
        for stream in slow:
            await trio.aclose_forcefully(stream)
    assert growth_bytes < MAX_GROWTH_BYTES
    assert [answer.status for answer in sound] == [200] * 8


async def test_memory_is_bounded_beside_a_store_that_answers_without_end(tmp_path):
    async with gateway_processes(tmp_path, memory_mb=PROCESS_MB) as world:
        gateway = world.gateways[0]
        world.platform.store.faults.endless = True
        world.platform.store.put("config", "main", {})
        answers = []

        async def play() -> None:
            for number in range(20):
                answers.extend(
                    await request_often(gateway, 1, "/lookup/1", f"w{number}")
                )
                await trio.sleep(0.2)

        growth_bytes = await measure_growth(gateway, play)
    assert growth_bytes < MAX_GROWTH_BYTES
    assert [answer.status for answer in answers] == [200] * 20


async def test_stage_answers_without_end_use_the_same_memory():
    async with deployment(memory_mb=4) as world:
        for name in ("encode-1", "search-1"):
            world.platform.workers[name].faults.endless = "large_chunks"
        for number in range(6):
            answer = await world.caller().request(
                "POST",
                "/staged/1",
                b"{}",
                Attempt_Id=f"t{number}",
                Chunk_Count="1,1",
                Chunk_Key="k",
            )
            assert (answer.status, answer.complete) == (200, True)
        assert world.gateways[0].memory.used_bytes == 0
