"""Partitions of gateways from all workers, and the check of what callers notice."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from acaciapier_bench.soak.callers import Received
from acaciapier_bench.soak.partitions import (
    Partition,
    PartitionLink,
    Way,
    check_partitions,
)
from acaciapier_bench.soak.plan import PARTITION_FAULTS, SoakPlan
from acaciapier_bench.soak.run import run_soak
from acaciapier_standins.ports import free_ports

HOST = "127.0.0.1"
FRONT = "127.0.1.1"


async def echo(stream: trio.SocketStream) -> None:
    with suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)


async def outcome(stream: trio.SocketStream | None, port: int) -> str:
    """Return what comes of bytes sent on a connection, or on a new one."""
    try:
        with trio.fail_after(0.2):
            if stream is None:
                stream = await trio.open_tcp_stream(FRONT, port)
            await stream.send_all(b"x")
            return "echo" if await stream.receive_some(1) else "end"
    except trio.TooSlowError:
        return "nothing"
    except trio.BrokenResourceError:
        return "reset"
    except OSError:
        return "refused"


@pytest.mark.parametrize(
    ("way", "old", "new"),
    [
        (Way.SILENT, "nothing", "nothing"),
        (Way.RESET, "reset", "reset"),
        (Way.REFUSED, "reset", "refused"),
        (Way.OLD_LIVE, "echo", "refused"),
    ],
)
async def test_a_cut_link_treats_old_and_new_connections_in_its_way(way, old, new):
    port = free_ports(HOST, 1)[0]
    link = PartitionLink(FRONT, port)
    async with trio.open_nursery() as nursery:
        await nursery.start(partial(trio.serve_tcp, echo, port, host=HOST))
        await nursery.start(link.run)
        kept = await trio.open_tcp_stream(FRONT, port)
        assert await outcome(kept, port) == "echo"
        nursery.start_soon(link.cut, way, 1.0)
        await trio.sleep(0.2)
        assert await outcome(kept, port) == old
        assert await outcome(None, port) == new
        await trio.sleep(1.0)
        assert await outcome(None, port) == "echo"
        nursery.cancel_scope.cancel()


def test_new_connections_are_not_established_while_a_link_is_silent():
    async def connects() -> bool:
        port = free_ports(HOST, 1)[0]
        link = PartitionLink(FRONT, port)
        async with trio.open_nursery() as nursery:
            await nursery.start(link.run)
            nursery.start_soon(link.cut, Way.SILENT, 5.0)
            await trio.sleep(0.2)
            with trio.move_on_after(0.3) as scope:
                await trio.open_tcp_stream(FRONT, port)
            nursery.cancel_scope.cancel()
        return not scope.cancelled_caught

    assert trio.run(connects) is False


def tries(gateway: str, at_s: float, count: int, done: int, **fields):
    """Return tries at a gateway, of which the first `done` are served."""
    return [
        Received(
            f"{gateway}-{at_s}-{number}",
            "lookup",
            gateway,
            at_s,
            at_s + 0.1,
            status=200 if number < done else 503,
            whole=True,
            **fields,
        )
        for number in range(count)
    ]


CUT = Partition(["edge-1"], Way.RESET, 10.0, 16.0)
SOUND = [
    *tries("edge-1", 9.0, 30, 30),
    *tries("edge-2", 9.0, 30, 30),
    *tries("edge-1", 14.0, 30, 25),
    *tries("edge-2", 14.0, 60, 60),
    *tries("edge-1", 18.5, 10, 10),
    *tries("edge-2", 18.5, 10, 10),
]


def findings(records, remembers=lambda *times: True) -> int:
    found, figures = check_partitions(records, [CUT], remembers)
    assert len(figures) == 1
    return len(found)


def test_a_partition_that_callers_hardly_notice_has_no_findings():
    assert findings(SOUND) == 0


@pytest.mark.parametrize(
    ("more", "count"),
    [
        (tries("edge-1", 14.0, 30, 0), 1),
        (tries("edge-2", 14.0, 60, 0), 1),
        (tries("edge-1", 18.5, 20, 0), 1),
        (tries("edge-2", 18.5, 20, 0), 1),
        (tries("edge-1", 12.0, 30, 0), 0),
        (tries("edge-1", 17.0, 30, 0), 0),
        (tries("edge-1", 14.0, 30, 0, resumes="a"), 0),
        (tries("edge-1", 14.0, 30, 0, left=True), 0),
    ],
    ids=[
        "fails where partitioned",
        "fails at the others",
        "is not back",
        "others are not back",
        "just cut",
        "just over",
        "resumed",
        "left",
    ],
)
def test_failures_from_a_partition_are_found(more, count):
    assert findings(SOUND + more) == count


@pytest.mark.parametrize(("failed", "count"), [(11, 0), (12, 1)])
def test_ten_and_one_in_fifty_tries_may_fail(failed, count):
    records = [
        *tries("edge-1", 14.0, failed, 0),
        *tries("edge-2", 14.0, 40, 40),
    ]
    assert findings(records) == count


def test_tries_at_gateways_that_were_disturbed_do_not_count():
    more = tries("edge-1", 14.0, 30, 0)
    assert findings(SOUND + more, lambda gateway, *times: gateway != "edge-1") == 0


def test_partitioned_gateways_serve_nearly_as_many_first_tries_as_the_others():
    plan = SoakPlan(seed=19, seconds=8.0, callers=24, faults=PARTITION_FAULTS)
    report = run_soak(plan)
    assert report.broken == []
    assert report.partitions
