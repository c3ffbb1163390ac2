"""Tests of the HTTP client of targets."""

import trio

from acaciapier.core.ids import DataCentreId, Incarnation, PoolName, RegionId, TargetId
from acaciapier.policy import TargetView
from acaciapier.targets import HttpTransport


def target_view(port):
    return TargetView(
        TargetId("t"),
        Incarnation(1),
        PoolName("p"),
        DataCentreId("d"),
        RegionId("r"),
        f"http://127.0.0.1:{port}",
    )


async def test_target_that_stops_during_a_probe_counts_as_crashed():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]

    async def close_listener_and_connection(stream):
        await stream.receive_some()
        await listeners[0].aclose()
        await stream.aclose()

    async with HttpTransport() as transport, trio.open_nursery() as nursery:
        nursery.start_soon(accept_once, listeners[0], close_listener_and_connection)
        assert await transport.has_crashed(target_view(port))


async def accept_once(listener, handler):
    stream = await listener.accept()
    await handler(stream)


async def test_target_that_does_not_answer_does_not_count_as_crashed():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with HttpTransport() as transport, listeners[0]:
        assert not await transport.has_crashed(target_view(port))
