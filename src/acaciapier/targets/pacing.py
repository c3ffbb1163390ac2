"""Paced reading of streams, so that they leave room for what is urgent.

Streams of tokens from one engine become readable in the same moment. Read at
once, they would keep the loop busy for many milliseconds, and each step of a new
request would wait that long. Paced streams are read at intervals, a few in each
pass of the loop; what gathers in a socket in the meantime is read together.
"""

import ssl
from typing import Any

import httpcore
import trio

from ..core.clock import to_s

FLOOR_MS = 15.0
MS_PER_STREAM = 0.5
CEILING_MS = 40.0
READS_PER_PASS = 3
PACED_STREAM = "acaciapier.paced_stream"


class Pace:
    """Interval between two reads of a stream, and the turns of those that wait.

    Parameters
    ----------
    floor_ms : float
        Shortest interval.
    """

    def __init__(self, floor_ms: float = FLOOR_MS):
        self.streams = 0
        self._floor_ms = floor_ms
        self._waiting = trio.lowlevel.ParkingLot()
        self._is_serving = False

    @property
    def interval_ms(self) -> float:
        """The present interval, longer the more streams are open."""
        by_load_ms = self.streams * MS_PER_STREAM
        return min(CEILING_MS, max(self._floor_ms, by_load_ms))

    async def turn(self, last_read_s: float) -> None:
        """Wait until a stream that was last read at `last_read_s` may be read."""
        due_s = last_read_s + to_s(self.interval_ms)
        await trio.sleep_until(due_s)
        if self._is_serving:
            await self._waiting.park()
            return
        self._is_serving = True
        trio.lowlevel.spawn_system_task(self._serve)

    async def _serve(self) -> None:
        """Let a few streams go on in each pass of the loop."""
        try:
            await trio.lowlevel.checkpoint()
            while self._waiting:
                self._waiting.unpark(count=READS_PER_PASS)
                await trio.lowlevel.checkpoint()
        finally:
            self._is_serving = False
            self._waiting.unpark_all()


class PacedStream(httpcore.AsyncNetworkStream):
    """A connection whose reads can be paced."""

    def __init__(self, inner: httpcore.AsyncNetworkStream, pace: Pace):
        self._inner = inner
        self._pace = pace
        self._paced = False
        self._last_read_s = 0.0

    def start_pacing(self) -> None:
        """Pace all further reads until `stop_pacing`."""
        if not self._paced:
            self._paced = True
            self._pace.streams += 1
            self._last_read_s = trio.current_time()

    def stop_pacing(self) -> None:
        """Read without waiting again."""
        if self._paced:
            self._paced = False
            self._pace.streams -= 1

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read at most `max_bytes`."""
        if self._paced:
            await self._pace.turn(self._last_read_s)
            self._last_read_s = trio.current_time()
        return await self._inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of `buffer`."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        self.stop_pacing()
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS on top."""
        inner = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return PacedStream(inner, self._pace)

    def get_extra_info(self, info: str) -> Any:
        """Return this stream itself for `PACED_STREAM`, else what lies below."""
        if info == PACED_STREAM:
            return self
        return self._inner.get_extra_info(info)


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads can be paced.

    Parameters
    ----------
    pace : Pace
        Shared by all connections.
    """

    def __init__(self, pace: Pace):
        self._pace = pace
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options=None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return PacedStream(stream, self._pace)

    async def sleep(self, seconds: float) -> None:
        """Sleep between attempts to connect."""
        await trio.sleep(seconds)


def paced_stream_of(response: httpcore.Response) -> PacedStream | None:
    """Return the connection of `response` if its reads can be paced."""
    stream = response.extensions.get("network_stream")
    if stream is None:
        return None
    return stream.get_extra_info(PACED_STREAM)
