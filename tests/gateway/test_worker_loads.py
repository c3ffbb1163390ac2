"""Slowdowns that workers report: from their answers to the dispatcher."""

import pytest
import trio

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.worker_load import WorkerLoads
from acaciapier.gateway.models import WorkerLoad
from acaciapier.gateway.worker_limits import WorkerLimits
from acaciapier.wire.codec import MessageRegistry, encode_message
from acaciapier.wire.messages.gateway import (
    CostEntry,
    Heartbeat,
    PermitEnded,
    PermitStarted,
    ReportedLoad,
    ServiceCosts,
    WorkerGranted,
)

from .test_instance_state import worker
from .test_limit_pacing import OTHER, ask, make_client, make_dispatcher
from .test_worker_notices import answer, make_notices

SLOW = ReportedLoad(1, 0, 4, 3.0)


def test_a_stale_report_counts_less_than_the_average_over_seconds():
    # The figure changes many times a second: an old one is noise.
    loads = WorkerLoads()
    for number in range(100):
        slowdown = 2.0 if number % 2 else 4.0
        loads.record("w", WorkerLoad(1, 0, 4, slowdown), number * 0.05)
    assert loads.slowdown("w", 4.95) == 2.0
    assert loads.slowdown("w", 5.45) == pytest.approx(2.75, abs=0.2)
    assert loads.slowdown("w", 60.0) == pytest.approx(1.0, abs=0.01)
    assert loads.slowdown("unknown", 0.0) is None


def test_an_instance_records_the_loads_in_all_answers_and_logs_odd_ones_once():
    notices, _, clock, events, _ = make_notices(worker("w1"))
    now_s = clock.monotonic_s()
    notices.observe(worker("w1"), answer(server_load="1,0,4,300"))
    for _ in range(3):
        notices.observe(worker("w1"), answer(server_load="1,0,4,-1"))
    assert notices.loads.slowdown(worker("w1").key, now_s) == 3.0
    assert [kind for kind, _ in events] == ["load_ignored"]
    listed = [worker("w1"), worker("w2")]
    assert list(notices.loads.named_by(listed)) == [("book", "w1", 3.0)]


async def test_a_dispatcher_learns_slowdowns_from_the_ends_and_starts_of_permits():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        dispatcher = make_dispatcher(nursery, clock, WorkerLimits())
        grant = await dispatcher.acquire(OTHER, ask("p1"))
        key = f"{grant.worker}/{grant.started_ms}"
        unknown = PermitStarted("book", "unknown", 5.0, load=ReportedLoad(0, 0, 4, 9.0))
        await dispatcher.permit_started(OTHER, unknown)
        assert not dispatcher.loads
        await dispatcher.permit_started(
            OTHER, PermitStarted("book", "p1", 5, load=SLOW)
        )
        assert dispatcher.loads.slowdown(key, clock.monotonic_s()) == 3.0
        refused = PermitEnded(
            "book", "p1", "full", 5.0, load=ReportedLoad(4, 0, 4, 5.0)
        )
        await dispatcher.permit_ended(OTHER, refused)
        assert dispatcher.loads.slowdown(key, clock.monotonic_s()) == 5.0


async def test_an_instance_passes_a_load_on_once_with_messages_sent_anyway():
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        grant = WorkerGranted("w1", 1, True, brittle_considered=True)
        client, peers = make_client(nursery, clock, WorkerLimits(), lambda _: grant)
        permit = await client.acquire(ask())
        permit.load = WorkerLoad(1, 0, 4, 3.0)
        client.report_started(permit)
        client.release_permit(permit, "done")
        assert [message.load for message in peers.sent] == [SLOW, None]
        nursery.cancel_scope.cancel()


async def test_a_new_dispatcher_starts_with_the_costs_in_heartbeats():
    # It would take each request for an average one, and fill workers with dear ones.
    async with trio.open_nursery() as nursery:
        clock = ManualClock()
        former = make_dispatcher(nursery, clock, WorkerLimits())
        for number in range(200):
            await former.acquire(OTHER, ask(f"p{number}"))
            elapsed_ms = 10.0 if number % 10 else 500.0
            ended = PermitEnded("book", f"p{number}", "done", elapsed_ms)
            await former.permit_ended(OTHER, ended)
        (shared,) = former.shared_costs()
        beat = Heartbeat(1, 1, 1, False, service_costs=(shared,))
        assert MessageRegistry().decode(encode_message(beat)) == beat
        assert len(encode_message(beat)) < 500
        odd = ServiceCosts("book", (CostEntry((), (float("nan"),) * 5),))
        unknown = ServiceCosts("unknown", shared.entries)
        successor = make_dispatcher(nursery, clock, WorkerLimits())
        successor.merge_costs((odd, unknown, shared))
        await successor.acquire(OTHER, ask("first"))
        reservation = successor.allocators["book"].reservation("first")
        assert reservation.cost.mean_ms == pytest.approx(59.0, rel=0.3)
        assert reservation.cost.remaining_ms(100.0) > 200.0
        clock.advance(11.0)
        assert former.shared_costs() == ()
