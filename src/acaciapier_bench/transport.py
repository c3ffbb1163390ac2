"""Processor time and bytes per message of the candidates for the inner protocol.

Client and server run in one process on loopback, so a figure holds both sides.
"""

import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Annotated

import cappa
import httpcore
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from result import Err, Ok, Result

from acaciapier.core.clock import SystemClock
from acaciapier.wire import FleetKeys, Message, PeerIdentity, PeerNetwork

LOOPBACK = "127.0.0.1"
TIMEOUT_MS = 10_000.0
WARM_UP_MESSAGES = 200
MAX_REQUESTS = 10_000_000
MICROSECONDS_PER_SECOND = 1e6
_KEY = b"key of the transport benchmark"

Call = Callable[[], Awaitable[None]]


class TransportEcho(Message, frozen=True):
    """Message of the benchmark, about as large as a rumour."""

    request_id: str
    payload: bytes


@dataclass
class ByteCount:
    """Bytes that crossed the sockets of the client, both ways."""

    total: int = 0


@dataclass(frozen=True)
class TransportCost:
    """Measured cost of one request with its answer."""

    name: str
    concurrency: int
    messages: int
    cpu_us: float
    wall_us: float
    size_bytes: float

    def __str__(self) -> str:
        return (
            f"| {self.name} | {self.concurrency} | {self.messages} "
            f"| {self.cpu_us:.0f} | {self.wall_us:.0f} | {self.size_bytes:.0f} |"
        )


class CountingStream(httpcore.AsyncNetworkStream):
    """Stream of httpcore that counts its bytes."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, count: ByteCount):
        self._stream = stream
        self._count = count

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read and count."""
        data = await self._stream.read(max_bytes, timeout)
        self._count.total += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write and count."""
        self._count.total += len(buffer)
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Return what the stream knows about itself."""
        return self._stream.get_extra_info(info)


class CountingBackend(httpcore.TrioBackend):
    """Backend of httpcore whose connections count their bytes."""

    def __init__(self, count: ByteCount):
        self._count = count

    async def connect_tcp(self, *arguments, **options):
        """Connect and count."""
        stream = await super().connect_tcp(*arguments, **options)
        return CountingStream(stream, self._count)


@asynccontextmanager
async def open_streams(payload: bytes):
    """Yield a call over the inner protocol, and its byte count."""
    networks = [_make_network(name) for name in ("client", "server")]
    client, server = networks
    message = TransportEcho("request-1", payload)
    count = ByteCount()

    async def echo(peer, received):
        return received

    async def call():
        await client.call(server.identity.instance_id, message, TIMEOUT_MS)
        sent = client.counters.sent_bytes.total()
        count.total = sent + client.counters.received_bytes.total()

    server.register(TransportEcho, echo)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, LOOPBACK, 0)
        await nursery.start(client.serve)
        client.set_addresses({server.identity.instance_id: (LOOPBACK, port)})
        yield call, count
        await client.aclose()
        await server.aclose()


def _make_network(name: str) -> PeerNetwork:
    identity = PeerIdentity(name, 1, "dc1", "region1")
    return PeerNetwork(identity, FleetKeys((_KEY,)), SystemClock(), Random(name))


@asynccontextmanager
async def open_http(payload: bytes, http2: bool):
    """Yield a call over httpcore to hypercorn, and its byte count."""
    count = ByteCount()
    config = Config()
    config.bind = [f"{LOOPBACK}:0"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_max_requests = MAX_REQUESTS
    async with trio.open_nursery() as nursery:
        (address,) = await nursery.start(serve, _echo_application, config)
        pool = httpcore.AsyncConnectionPool(
            http1=not http2, http2=http2, network_backend=CountingBackend(count)
        )

        async def call():
            answer = await pool.request("POST", f"{address}/echo", content=payload)
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")

        async with pool:
            yield call, count
        nursery.cancel_scope.cancel()


async def _echo_application(scope, receive, send):
    """Return a request's body; an ASGI application."""
    if scope["type"] == "lifespan":
        while True:
            event = await receive()
            await send({"type": f"{event['type']}.complete"})
    body = b""
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            break
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def measure(name: str, opened, messages: int, concurrency: int) -> TransportCost:
    """Return the cost of `messages` calls by `concurrency` tasks."""
    async with opened as (call, count):
        await _repeat(call, WARM_UP_MESSAGES, concurrency)
        before_bytes = count.total
        cpu_s, wall_s = time.process_time(), time.perf_counter()
        done = await _repeat(call, messages, concurrency)
        cpu_s, wall_s = time.process_time() - cpu_s, time.perf_counter() - wall_s
        size_bytes = count.total - before_bytes
    return TransportCost(
        name,
        concurrency,
        done,
        cpu_s / done * MICROSECONDS_PER_SECOND,
        wall_s / done * MICROSECONDS_PER_SECOND,
        size_bytes / done,
    )


async def _repeat(call: Call, messages: int, concurrency: int) -> int:
    share = max(1, messages // concurrency)

    async def work():
        for _ in range(share):
            await call()

    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(work)
    return share * concurrency


async def measure_all(
    messages: int, payload_bytes: int, concurrencies: tuple[int, ...] = (1, 16)
) -> list[TransportCost]:
    """Return the cost of every candidate that can be had here."""
    payload = b"x" * payload_bytes
    costs = []
    for concurrency in concurrencies:
        candidates = {
            "msgspec on trio streams": open_streams(payload),
            "HTTP/1.1, httpcore to hypercorn": open_http(payload, http2=False),
            "HTTP/2, httpcore to hypercorn": open_http(payload, http2=True),
        }
        for name, opened in candidates.items():
            costs.append(await measure(name, opened, messages, concurrency))
    return costs


@cappa.command(name="transport")
@dataclass
class TransportCommand:
    """Measure processor time and bytes per message of inner transports."""

    messages: Annotated[int, cappa.Arg(long=True)] = 3_000
    payload_bytes: Annotated[int, cappa.Arg(long=True)] = 120

    def __call__(self) -> None:
        """Print a table in Markdown."""
        checked = self.check()
        if isinstance(checked, Err):
            raise cappa.Exit(checked.err_value, code=2)
        print("| transport | concurrency | messages | CPU µs | wall µs | bytes |")
        print("|---|---|---|---|---|---|")
        for cost in trio.run(measure_all, self.messages, self.payload_bytes):
            print(cost)

    def check(self) -> Result[None, str]:
        """Return what is wrong with the arguments, if anything is."""
        if self.messages < 1 or self.payload_bytes < 0:
            return Err("messages must be positive and payload bytes not negative")
        return Ok(None)


if __name__ == "__main__":
    cappa.invoke(TransportCommand)
