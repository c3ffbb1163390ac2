"""Links between gateways and workers that can be cut, for gateways in one process."""

from contextvars import ContextVar

import trio

from acaciapier.http.client import ConnectFailed, HttpConnection

from .support import Deployment

REFUSED, SILENT, OLD_ONLY = "refused", "silent", "old_only"
"""How links are cut: connections are reset and refused; or all are silent; or open
connections live on while new ones are refused."""

_gateway: ContextVar[str | None] = ContextVar("gateway", default=None)


class SilentStream:
    """Replaces the transport of a connection whose link is cut without an error."""

    def __init__(self, stream: trio.SocketStream):
        self.socket = stream.socket

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int) -> bytes:
        await trio.sleep_forever()


class WorkerLinks:
    """Cuts single gateways off from workers.

    The tasks of a gateway are known by a context variable, which they inherit.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces `HttpConnection.open`.
    """

    def __init__(self, monkeypatch):
        self.opened: list[tuple[str, int]] = []
        """Gateway and port of each attempt to connect to a worker."""
        self._cuts: dict[str, tuple[str, frozenset[str] | None]] = {}
        self._connections: dict[str, list[tuple[int, HttpConnection]]] = {}
        self._ports: dict[int, str] = {}
        self._world: Deployment | None = None
        self._open = HttpConnection.open
        monkeypatch.setattr(HttpConnection, "open", self._open_unless_cut)

    async def add_gateways(self, world: Deployment, count: int) -> None:
        """Start gateways whose links can be cut, and wait until they know all."""
        self._world = world
        for _ in range(count):
            token = _gateway.set(f"edge-{len(world.gateways) + 1}")
            try:
                await world.add_gateway()
            finally:
                _gateway.reset(token)
        for gateway in world.gateways:
            await world.until(lambda gateway=gateway: self._knows_all(gateway))

    def _knows_all(self, gateway) -> bool:
        workers, peers = gateway.catalogue.workers, gateway.peers
        return len(workers) == len(self._world.platform.workers) and (
            peers.live_count == len(self._world.gateways)
        )

    def cut(self, gateway, how: str, service: str | None = None) -> None:
        """Cut a gateway off from all workers, or from those of one service."""
        name = gateway.settings.instance
        ports = {
            int(worker.address.rpartition(":")[2])
            for key, worker in self._world.platform.workers.items()
            if service is None or key.startswith(service)
        }
        self._cuts[name] = (how, frozenset(ports))
        for port, connection in self._connections.get(name, ()):
            if port not in ports:
                continue
            if how == REFUSED:
                connection.close()
            elif how == SILENT:
                connection._stream = SilentStream(connection._stream)

    def restore(self, gateway) -> None:
        """Restore the links of a gateway; silent connections remain silent."""
        del self._cuts[gateway.settings.instance]

    async def _open_unless_cut(self, host: str, port: int, timeout_ms: float):
        name = _gateway.get()
        ports = {
            int(worker.address.rpartition(":")[2])
            for worker in self._world.platform.workers.values()
        }
        if name is None or port not in ports:
            return await self._open(host, port, timeout_ms)
        self.opened.append((name, port))
        how, cut_ports = self._cuts.get(name, (None, frozenset()))
        if port in cut_ports:
            if how == SILENT:
                await trio.sleep(timeout_ms / 1_000.0)
            raise ConnectFailed(f"{host}:{port}: cut")
        connection = await self._open(host, port, timeout_ms)
        self._connections.setdefault(name, []).append((port, connection))
        return connection
