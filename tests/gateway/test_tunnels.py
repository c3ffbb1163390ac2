"""Connections to workers through another instance."""

import random
import socket
import struct
from contextlib import asynccontextmanager, contextmanager, suppress

import pytest
import trio

from acaciapier.core.clock import SystemClock
from acaciapier.gateway import tunnel_server, tunnels
from acaciapier.gateway.models import PeerRecord, Worker, WorkerState
from acaciapier.gateway.supervision import TaskSupervisor
from acaciapier.gateway.tunnel_server import TunnelServer
from acaciapier.gateway.tunnels import TunnelClient, WorkerUnreachable
from acaciapier.http.client import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    OutgoingRequest,
)
from acaciapier.wire import FleetKeys, PeerIdentity, PeerNetwork
from acaciapier.wire.messages.tunnels import OpenTunnel, WriteTunnel

LOOPBACK = "127.0.0.1"
KEY = b"a fleet key of 32 bytes for tests"
LONG = 3_000_000
GET = OutgoingRequest(b"GET", b"/", [(b"Host", b"w")])


def make_network(name: str) -> PeerNetwork:
    identity = PeerIdentity(name, 1, "zone-a", "region-1")
    return PeerNetwork(
        identity, FleetKeys([KEY]), SystemClock(), random.Random(sum(name.encode()))
    )


class Counts:
    """Counts tunnels as `Metrics` does."""

    def __init__(self):
        self.kinds = []

    def worker_tunnel(self, kind):
        self.kinds.append(kind)


class Helper:
    """An instance that serves tunnels to the worker of a test."""

    def __init__(self, name: str):
        self.name = name
        self.network = make_network(name)
        self.workers: dict[str, Worker] = {}
        self.failures = 0
        self.partitioned = False
        self.log = []
        self.counts = Counts()
        self.server = TunnelServer(
            self,
            self._open,
            lambda worker: self.partitioned,
            lambda *event, **fields: self.log.append(fields),
            self.counts,
        )
        self.network.register_stream(OpenTunnel, self.server.serve)
        self.network.register(WriteTunnel, self.server.write)

    def find(self, key):
        return self.workers.get(key)

    async def _open(self, worker: Worker) -> HttpConnection:
        if self.failures:
            self.failures -= 1
            raise ConnectFailed("planted")
        return await HttpConnection.open(worker.host, worker.port, 300.0)


class PeersOfTest:
    """The helpers as the requesting instance sees them."""

    def __init__(self, network):
        self.network = network
        self.names = []
        self.scopes = set()

    def tunnel_helpers(self):
        return [PeerRecord(name, "h", 1, "zone-a", 1) for name in self.names]

    def is_up(self, instance):
        return instance in self.names

    async def call(self, instance, message, timeout_ms):
        return await self.network.call(instance, message, timeout_ms)

    @contextmanager
    def fails_when_down(self, instance):
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            yield scope


class World:
    """A requesting instance, helpers and one worker that `serve` plays."""

    def __init__(self):
        self.own = make_network("own")
        self.peers = PeersOfTest(self.own)
        self.helpers = [Helper("helper-1"), Helper("helper-2")]
        self.counts = Counts()
        self.failures = []
        self.log = []

    @property
    def served(self) -> int:
        return sum(helper.server.count for helper in self.helpers)

    async def until(self, condition, timeout_s: float = 0.5) -> None:
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.005)


@asynccontextmanager
async def running(serve, helpers: int = 2):
    """Run a world whose worker answers each connection by `serve`."""
    world = World()
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        world.worker = Worker(
            "w-1", "book", LOOPBACK, port, "zone-a", 4, WorkerState.READY, 7
        )
        addresses = {}
        await nursery.start(world.own.serve)
        for helper in world.helpers[:helpers]:
            addresses[helper.name] = (
                LOOPBACK,
                await nursery.start(helper.network.serve, LOOPBACK, 0),
            )
            helper.workers[world.worker.key] = world.worker
            world.peers.names.append(helper.name)
        world.own.set_addresses(addresses)
        world.tasks = TaskSupervisor(nursery, world.failures.append)
        world.client = TunnelClient(
            world.own,
            world.peers,
            "zone-a",
            random.Random(3),
            world.tasks,
            lambda kind, **fields: world.log.append((kind, fields)),
            world.counts,
        )
        yield world
        assert not world.failures
        nursery.cancel_scope.cancel()


async def read_request(stream, body_bytes: int = 0) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(65_536)
    _, _, body = data.partition(b"\r\n\r\n")
    while len(body) < body_bytes:
        body += await stream.receive_some(65_536)
    return body


def reset(stream) -> None:
    """Close a connection by a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


def pattern(size: int) -> bytes:
    return random.Random(5).randbytes(size)


async def exchange(connection, tasks, request=GET) -> tuple[int, bytes]:
    await connection.send(request, tasks)
    head = await connection.receive_head()
    return head.status, await connection.receive_full_body(2 * LONG)


async def test_long_bodies_pass_in_both_directions():
    sent, answered = pattern(LONG), pattern(LONG)[::-1]
    received = []

    async def serve(stream):
        received.append(await read_request(stream, LONG))
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n"
        await stream.send_all(head.encode() + answered)
        await trio.sleep_forever()

    async with running(serve) as world:
        connection = await world.client.open(world.worker, "r1")
        request = OutgoingRequest(b"POST", b"/", [(b"Host", b"w")], sent)
        with trio.fail_after(10):
            status, body = await exchange(connection, world.tasks, request)
        assert (status, body == answered, received == [sent]) == (200, True, True)
        assert connection.reusable and not connection.has_unread_input()
        helper = next(item for item in world.helpers if item.server.count)
        assert helper.log[0]["request"] == "r1"
        assert world.log[0][0] == "tunnel_opened"
        assert world.log[0][1]["helper"] == helper.name
        assert (world.counts.kinds, helper.counts.kinds) == (["opened"], ["served"])
        connection.close()
        await world.until(lambda: not world.served)


async def test_a_reader_that_does_not_read_slows_the_worker_down():
    written = 0

    async def serve(stream):
        nonlocal written
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"x" * 65_536)
                written += 65_536

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        await connection.send(GET, world.tasks)
        await connection.receive_head()
        await trio.sleep(0.5)
        before = written
        await trio.sleep(0.3)
        assert written == before
        # A window of messages, and the socket buffers of one connection.
        assert written < 32 * tunnel_server.READ_BYTES + 12_000_000
        connection.close()
        await world.until(lambda: not world.served)


async def test_a_worker_that_does_not_read_slows_the_sender_down():
    release = trio.Event()

    async def serve(stream):
        await release.wait()
        await read_request(stream, 4 * LONG)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await trio.sleep_forever()

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        body = bytes(4 * LONG)
        request = OutgoingRequest(b"POST", b"/", [(b"Host", b"w")], body)
        await connection.send(request, world.tasks)
        await trio.sleep(0.4)
        queued = world.own._connections
        waiting = [item for items in queued.values() for item in items]
        assert all(item._queue.statistics().current_buffer_used < 4 for item in waiting)
        release.set()
        with trio.fail_after(10):
            assert (await connection.receive_head()).status == 200


@pytest.mark.parametrize("clean", [True, False])
async def test_an_answer_without_framing_ends_only_if_the_worker_closes_cleanly(clean):
    async def serve(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await trio.sleep(0.05)
        if clean:
            await stream.aclose()
        else:
            reset(stream)

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        if clean:
            assert await exchange(connection, world.tasks) == (200, b"half")
        else:
            with pytest.raises(ConnectionBroken):
                await exchange(connection, world.tasks)
        await world.until(lambda: not world.served)


@pytest.mark.parametrize("way", ["connection", "heartbeats"])
async def test_a_broken_hop_is_no_end_of_an_answer(way):
    async def serve(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await trio.sleep_forever()

    async with running(serve, helpers=1) as world:
        connection = await world.client.open(world.worker)
        await connection.send(GET, world.tasks)
        await connection.receive_head()
        if way == "connection":
            await world.helpers[0].network.close_connections("own")
        else:
            for scope in world.peers.scopes:
                scope.cancel()
        with pytest.raises(ConnectionBroken), trio.fail_after(0.5):
            await connection.receive_full_body(100)
        await world.until(lambda: not world.served)


async def test_the_worker_sees_the_end_soon_after_the_requester_closes():
    ended_s = []

    async def serve(stream):
        await read_request(stream)
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        ended_s.append(trio.current_time())

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        await connection.send(GET, world.tasks)
        await trio.sleep(0.1)
        start_s = trio.current_time()
        connection.close()
        await world.until(lambda: ended_s)
        assert ended_s[0] - start_s < 0.5
        with pytest.raises(ConnectionBroken):
            await connection.receive_head()


async def test_a_close_wakes_a_reader_and_a_writer():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world, trio.open_nursery() as nursery:
        connection = await world.client.open(world.worker)
        body = bytes(8 * LONG)
        request = OutgoingRequest(b"POST", b"/", [(b"Host", b"w")], body)
        await connection.send(request, nursery)
        broken = trio.Event()

        async def read():
            with pytest.raises(ConnectionBroken):
                await connection.receive_head()
            broken.set()

        nursery.start_soon(read)
        await trio.sleep(0.2)
        connection.close()
        with trio.fail_after(0.5):
            await broken.wait()


async def test_an_idle_tunnel_shows_that_the_worker_has_closed():
    async def serve(stream):
        await read_request(stream)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await trio.sleep(0.1)
        await stream.aclose()

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        assert await exchange(connection, world.tasks) == (200, b"ok")
        assert not connection.has_unread_input()
        await world.until(connection.has_unread_input)


async def test_another_helper_is_asked_if_the_first_one_refuses():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        asked = random.Random(3)
        order = list(world.peers.tunnel_helpers())
        asked.shuffle(order)
        first = next(item for item in world.helpers if item.name == order[0].instance)
        for cause in ("unknown", "unreachable", "overloaded"):
            first.workers.clear()
            if cause != "unknown":
                first.workers[world.worker.key] = world.worker
            first.failures = 1 if cause == "unreachable" else 0
            first.server._opening = (
                tunnel_server.MAX_TUNNELS if cause == "overloaded" else 0
            )
            world.client._random = random.Random(3)
            world.client._avoided_until_s.clear()
            connection = await world.client.open(world.worker)
            assert connection.tunnel.helper != first.name
            connection.close()
        assert world.counts.kinds == ["refused_by_helper", "opened"] * 3


async def test_a_worker_that_two_helpers_cannot_reach_is_unreachable():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        for helper in world.helpers:
            helper.failures = 1
        with pytest.raises(WorkerUnreachable):
            await world.client.open(world.worker)
        for helper in world.helpers:
            helper.workers.clear()
        with pytest.raises(ConnectFailed) as raised:
            await world.client.open(world.worker)
        assert not isinstance(raised.value, WorkerUnreachable)
        assert not world.served


async def test_helpers_without_links_are_believed_only_if_all_say_the_same():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        first, second = world.helpers
        first.partitioned = second.partitioned = True
        first.failures = 9
        for _ in range(4):
            connection = await world.client.open(world.worker)
            assert connection.tunnel.helper == second.name
            connection.close()
        first.failures = second.failures = 1
        with pytest.raises(WorkerUnreachable):
            await world.client.open(world.worker)


async def test_some_helpers_without_links_say_nothing_about_a_worker(monkeypatch):
    monkeypatch.setattr(tunnels, "MAX_HELPERS_ASKED", 1)

    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        for helper in world.helpers:
            helper.partitioned = True
            helper.failures = 1
        with pytest.raises(ConnectFailed) as raised:
            await world.client.open(world.worker)
        assert not isinstance(raised.value, WorkerUnreachable)


async def test_a_helper_that_opened_no_tunnel_is_asked_last():
    """Guards against asking again and again a helper that has lost its own links."""

    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        first, second = world.helpers
        first.partitioned = True
        first.failures = 99
        for _ in range(8):
            connection = await world.client.open(world.worker)
            assert connection.tunnel.helper == second.name
            connection.close()
        assert first.failures >= 98


async def test_a_helper_that_cannot_reach_one_worker_is_asked_for_others():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve, helpers=1) as world:
        (helper,) = world.helpers[:1]
        connection = await world.client.open(world.worker)
        helper.failures = 1
        with pytest.raises(WorkerUnreachable):
            await world.client.open(world.worker)
        assert world.client.is_usable(connection)
        connection.close()


async def test_a_tunnel_through_a_helper_that_was_silent_is_not_reused():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve) as world:
        connection = await world.client.open(world.worker)
        assert world.client.is_usable(connection)
        world.client.avoid(connection.tunnel.helper)
        assert not world.client.is_usable(connection)
        connection.close()


async def test_an_instance_of_an_earlier_release_fails_only_the_call():
    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve, helpers=1) as world:
        helper = world.helpers[0]
        helper.network._dispatcher._stream_handlers.clear()
        with pytest.raises(ConnectFailed):
            await world.client.open(world.worker)
        assert helper.network.connection_count == 1


async def test_a_helper_bounds_the_tunnels_of_one_peer(monkeypatch):
    monkeypatch.setattr(tunnel_server, "MAX_TUNNELS_PER_PEER", 2)

    async def serve(stream):
        await trio.sleep_forever()

    async with running(serve, helpers=1) as world:
        kept = [await world.client.open(world.worker) for _ in range(2)]
        with pytest.raises(ConnectFailed):
            await world.client.open(world.worker)
        kept[0].close()
        await world.until(lambda: world.served == 1)
        await world.client.open(world.worker)
