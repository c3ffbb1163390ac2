"""Tests of the call budget and the circuit breaker."""

from random import Random

import trio

from acaciapier.core.clock import ManualClock, TrioClock
from acaciapier.store import Purpose, StoreBudget
from acaciapier.store.budget import PriorityLimiter
from acaciapier.store.circuit import MAX_PAUSE_MS, CircuitBreaker


async def test_calls_of_a_higher_priority_go_first(autojump_clock):
    budget = StoreBudget(rate_per_s=10.0, burst=1)
    limiter = PriorityLimiter(budget, TrioClock())
    order = []

    async def call(purpose):
        await limiter.acquire(purpose)
        order.append(purpose)

    await limiter.acquire(Purpose.CLAIMS)
    async with trio.open_nursery() as nursery:
        for purpose in reversed(Purpose):
            nursery.start_soon(call, purpose)
            await trio.testing.wait_all_tasks_blocked()
    assert order == list(Purpose)
    assert 0.45 < trio.current_time() < 0.55


async def test_a_cancelled_waiter_leaves_the_queue(autojump_clock):
    budget = StoreBudget(rate_per_s=10.0, burst=1)
    limiter = PriorityLimiter(budget, TrioClock())
    await limiter.acquire(Purpose.CLAIMS)
    with trio.move_on_after(0.01):
        await limiter.acquire(Purpose.CLAIMS)
    with trio.fail_after(0.2):
        await limiter.acquire(Purpose.ACCOUNTS)


def test_the_circuit_probes_once_after_jittered_growing_pauses():
    clock = ManualClock()
    circuit = CircuitBreaker(clock, Random(3))
    pauses_ms = []
    for _ in range(12):
        assert circuit.try_enter()
        circuit.record_failure()
        pauses_ms.append(circuit.pause_ms())
        clock.advance(circuit.pause_ms() / 1000 + 1e-6)
    assert pauses_ms[:2] == [0.0, 0.0]
    assert 50.0 <= pauses_ms[2] <= 100.0
    assert MAX_PAUSE_MS / 2 <= pauses_ms[-1] <= MAX_PAUSE_MS
    assert circuit.try_enter()
    assert not circuit.try_enter()
    circuit.record_success()
    assert circuit.try_enter()
    assert circuit.try_enter()
