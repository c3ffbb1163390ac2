"""Workers that fall over when they have to reject too many requests in a second."""

import pytest
import trio

from acaciapier_standins.platform.worker_faults import Brittleness

from .support import deployment
from .test_limits_of_several_dispatchers import dispatch_alone
from .test_worker_limits import load

STABLE_S = 1.0
WARM_UP_S = 3.0
"""Time in which the instances agree on dispatchers, before the notice."""
LEARN_S = 2.0
CALLERS = 24
PAUSE_S = 0.03
SLOTS = {"book": 8, "model": 16}
LOAD_S = 7.0
SERVICE_TIME_S = 0.1
RUN_S = 0.15
"""Longest time that a request takes at a worker: a stream has four events."""
PROMPT_RUN_S = {"book": 0.115, "model": 0.15}
"""Time that a request takes at a worker of a service while its process is not late."""
USED_SHARE = 2 / 3
"""Share of the room that the service's workers must be given."""


def delay_workers(world, service: str) -> None:
    """Let the workers of a service take their time."""
    for name, running in world.platform.workers.items():
        if name.startswith(service):
            running.faults.delay_s = SERVICE_TIME_S


def brittle_workers(world, service: str, rejections: int, room: int) -> float:
    """Make the workers of a service brittle; return when their room shrinks."""
    from_s = trio.current_time() + STABLE_S
    for name, running in world.platform.workers.items():
        if name.startswith(service):
            running.faults.brittle = Brittleness(rejections, room, from_s)
    return from_s


def allowed_falls(workers: int) -> float:
    """Return the falls of a service's workers that the users' rule allows."""
    return 2 + workers / 10


def completed_per_s(world, service: str, from_s: float, to_s: float) -> float:
    """Return the requests a second that the workers of a service completed.

    Each counts by the time that it took there, since a worker whose process is late
    completes fewer in the same room.
    """
    run_s = sum(
        run.ended_s - run.started_s
        for run in world.platform.run_log.runs
        if run.worker.startswith(service)
        and run.complete
        and from_s <= run.ended_s < to_s
    )
    return run_s / PROMPT_RUN_S[service] / (to_s - from_s)


@pytest.mark.parametrize("rejections, room", [(0, 3), (1, 3), (3, 3), (0, None)])
@pytest.mark.parametrize(
    "service, method, path",
    [
        ("book", "GET", "/lookup/{}"),
        ("book", "POST", "/confirm/{}"),
        ("model", "POST", "/mail/{}"),
    ],
)
async def test_brittle_workers_do_not_fall_over_under_the_load_of_all_instances(
    service, method, path, rejections, room
):
    async with deployment(gateways=3) as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load, world, method, path, WARM_UP_S + LOAD_S, CALLERS)
            delay_workers(world, service)
            await trio.sleep(WARM_UP_S)
            shrunk = room or SLOTS[service]
            from_s = brittle_workers(world, service, rejections, shrunk)
        end_s = trio.current_time()
        assert len(world.platform.run_log.falls) <= allowed_falls(2)
        room = room or SLOTS[service]
        possible = min(2 * room / RUN_S, CALLERS / (RUN_S + PAUSE_S))
        used = completed_per_s(world, service, from_s + LEARN_S, end_s)
        assert used >= USED_SHARE * possible


async def test_calls_that_timed_out_do_not_make_brittle_stage_workers_fall_over():
    async with deployment(gateways=3) as world:
        brittle_workers(world, "encode", 0, room=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load, world, "POST", "/staged/{}", LOAD_S, 12)
            await trio.sleep(STABLE_S)
            for name in ("encode-1", "encode-2"):
                world.platform.workers[name].faults.delay_s = 1.0
        assert len(world.platform.run_log.falls) <= allowed_falls(2)


async def test_dispatchers_that_disagree_do_not_make_brittle_workers_fall_over():
    async with deployment(gateways=3) as world:
        async with trio.open_nursery() as nursery:
            until_s = WARM_UP_S + LOAD_S
            nursery.start_soon(load, world, "GET", "/lookup/{}", until_s, CALLERS)
            delay_workers(world, "book")
            await trio.sleep(WARM_UP_S)
            brittle_workers(world, "book", 1, 3)
            await trio.sleep(LEARN_S)
            for gateway in world.gateways:
                dispatch_alone(gateway)
        assert len(world.platform.run_log.falls) <= allowed_falls(2)
