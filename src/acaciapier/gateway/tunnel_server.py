"""Serves tunnels: connects to workers for other instances, and forwards bytes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import trio

from ..core.ids import InstanceId
from ..http.client import ConnectFailed, HttpConnection
from ..observability.metrics import Metrics
from ..wire.messages.base import Message
from ..wire.messages.tunnels import (
    OpenTunnel,
    TunnelData,
    TunnelEnded,
    TunnelOpened,
    TunnelRefused,
    TunnelWritten,
    WriteTunnel,
)
from .catalogue import Catalogue
from .models import Worker, WorkerKey
from .tunnels import EVACUATED, OVERLOADED, PARTITIONED, UNKNOWN_WORKER, UNREACHABLE

READ_BYTES = 4_096
"""Maximum number of bytes in a message from a worker. A stream's window of messages may
be ahead of a heartbeat on the same connection."""

MAX_TUNNELS = 256
MAX_TUNNELS_PER_PEER = 64
"""Bounds of the tunnels that an instance serves. Each takes a descriptor, and one of
the calls that a peer may have in progress."""


@dataclass(eq=False)
class _Tunnel:
    """An open connection to a worker for another instance."""

    connection: HttpConnection
    writing: trio.Lock = field(default_factory=trio.Lock)
    write_failed: bool = False


class TunnelServer:
    """Connects to workers for other instances, and forwards bytes.

    Parameters
    ----------
    catalogue : Catalogue
        The workers that may be connected to.
    open_direct : callable
        Coroutine that opens a direct connection to a worker.
    is_partitioned : callable
        Returns whether this instance is partitioned from a worker's service.
    log : callable
        Logs an event with its fields.
    metrics : Metrics
        Counts tunnels.
    may_connect : callable, optional
        Returns whether a worker may be connected to at all.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        open_direct: Callable[[Worker], Awaitable[HttpConnection]],
        is_partitioned: Callable[[Worker], bool],
        log: Callable[..., None],
        metrics: Metrics,
        may_connect: Callable[[Worker], bool] = lambda worker: True,
    ):
        self._may_connect = may_connect
        self._catalogue = catalogue
        self._open_direct = open_direct
        self._is_partitioned = is_partitioned
        self._log = log
        self._metrics = metrics
        self._opening = 0
        self._tunnels: dict[tuple[InstanceId, int], _Tunnel] = {}

    @property
    def count(self) -> int:
        """Number of tunnels that are open or being opened."""
        return self._opening + len(self._tunnels)

    async def serve(
        self, peer: InstanceId, message: OpenTunnel
    ) -> AsyncIterator[Message]:
        """Connect to a worker and yield what it sends."""
        worker = self._catalogue.find(WorkerKey(message.worker))
        refusal = self._refusal(peer, worker)
        if refusal is None:
            self._opening += 1
            try:
                connection = await self._open_direct(worker)
            except ConnectFailed as error:
                partitioned = self._is_partitioned(worker)
                cause = PARTITIONED if partitioned else UNREACHABLE
                refusal = TunnelRefused(cause, str(error))
            finally:
                self._opening -= 1
            if refusal is None and not self._may_connect(worker):
                connection.close()
                refusal = TunnelRefused(EVACUATED)
        fields = {
            "request": message.request,
            "worker": message.worker,
            "peer": peer,
            "tunnel": message.tunnel,
        }
        if refusal is not None:
            self._metrics.worker_tunnel("refused")
            self._log(
                "tunnel_not_served",
                cause=refusal.cause,
                reason=refusal.reason,
                **fields,
            )
            yield refusal
            return
        self._metrics.worker_tunnel("served")
        self._log("tunnel_served", **fields)
        key = peer, message.tunnel
        tunnel = self._tunnels[key] = _Tunnel(connection)
        try:
            yield TunnelOpened()
            async for item in _received(tunnel):
                yield item
        finally:
            del self._tunnels[key]
            connection.close()

    def _refusal(self, peer: InstanceId, worker: Worker | None) -> TunnelRefused | None:
        if worker is None:
            return TunnelRefused(UNKNOWN_WORKER)
        if not self._may_connect(worker):
            return TunnelRefused(EVACUATED)
        of_peer = sum(owner == peer for owner, _ in self._tunnels)
        if self.count >= MAX_TUNNELS or of_peer >= MAX_TUNNELS_PER_PEER:
            return TunnelRefused(OVERLOADED, f"{self.count} tunnels")
        return None

    async def write(self, peer: InstanceId, message: WriteTunnel) -> TunnelWritten:
        """Write bytes to the worker of a tunnel."""
        tunnel = self._tunnels.get((peer, message.tunnel))
        if tunnel is None:
            return TunnelWritten(False)
        async with tunnel.writing:
            try:
                await tunnel.connection.stream.send_all(message.data)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                tunnel.write_failed = True
        return TunnelWritten(not tunnel.write_failed)


async def _received(tunnel: _Tunnel) -> AsyncIterator[Message]:
    """Yield the bytes from a worker and the end of its connection."""
    while True:
        try:
            data = await tunnel.connection.stream.receive_some(READ_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            yield TunnelEnded(False, repr(error))
            return
        if not data:
            # The kernel reports a reset once, perhaps to the writing task.
            async with tunnel.writing:
                clean = not tunnel.write_failed
            yield TunnelEnded(clean, "" if clean else "reset during the request")
            return
        yield TunnelData(data)
