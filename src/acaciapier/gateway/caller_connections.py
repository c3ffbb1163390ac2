"""Connections of callers to this instance."""

from functools import partial

import trio

from ..core.clock import Clock, to_s
from ..core.tasks import run_reported
from ..http.caller import (
    CallerConnection,
    CloseReason,
    ConnectionLimits,
    Handler,
)
from .catalogue import Catalogue
from .connection_bound import ClosingOrder, ConnectionBound
from .input_memory import InputMemory
from .models import InputLimits
from .observing import RequestObserver
from .settings import GatewaySettings


def peer_address(stream: trio.SocketStream) -> str:
    """Return the address of the other side, or nothing if it has disconnected."""
    try:
        host, port, *_ = stream.socket.getpeername()
    except OSError:
        return ""
    return f"{host}:{port}"


class CallerConnections:
    """Serves callers' connections within the limits of the configuration in force.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration in force.
    handler : callable
        Coroutine that answers a request.
    clock : Clock
        Source of time.
    observer : RequestObserver
        Records errors, and connections that are closed with input of a request.
    settings : GatewaySettings
        Limits on the memory and the descriptors of the process.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        handler: Handler,
        clock: Clock,
        observer: RequestObserver,
        settings: GatewaySettings,
    ):
        self.stopping = False
        """Whether connections are closed after their response."""
        self._catalogue = catalogue
        self._handler = handler
        self._clock = clock
        self._observer = observer
        self._memory = InputMemory(settings.memory_mb, clock)
        observer.watch_input_memory(lambda: self._memory.used_bytes)
        self._bound = ConnectionBound(settings.max_descriptors, clock)
        self._closing_order = ClosingOrder(clock)
        self._connections: set[CallerConnection] = set()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a new connection until either side closes it."""
        connection = CallerConnection(
            stream,
            self._limits,
            self._handler,
            self._clock.monotonic_s,
            lambda: self.stopping,
            partial(self._observer.connection_closed, peer_address(stream)),
            self._memory,
        )
        self._connections.add(connection)
        try:
            self._close_excess()
            if connection in self._connections:
                await run_reported(self._observer.failed, connection.serve)
        finally:
            self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close all connections on which no request has begun."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close_idle()

    def close_all(self) -> None:
        """Close all connections, also those on which a response is being sent."""
        for connection in list(self._connections):
            connection.close()

    def _limits(self) -> ConnectionLimits:
        configuration = self._catalogue.configuration
        limits = configuration.limits if configuration else InputLimits()
        return ConnectionLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            to_s(limits.header_timeout_ms),
            to_s(self._catalogue.idle_timeouts.longest_ms(limits.idle_timeout_ms)),
        )

    def _close_excess(self) -> None:
        """Close connections over the bound: at first the longest idle ones."""
        while self._bound.is_over(len(self._connections)):
            closed = self._closing_order.next(self._connections)
            if closed is None:
                return
            self._connections.discard(closed)
            closed.close_idle(CloseReason.DESCRIPTORS)
