"""Readiness and metrics endpoints, served on an address of their own."""

import time
from collections.abc import Callable
from functools import partial

import trio

from ..core.tasks import run_reported
from ..http.caller import (
    CallerConnection,
    CloseReason,
    ConnectionLimits,
    Exchange,
    IncomingRequest,
)
from ..http.caller_input import UncountedInput
from ..platform.requests import READY_PATH
from .caller_connections import peer_address
from .connection_bound import longest_waiting
from .observing import RequestObserver
from .settings import Address

METRICS_PATH = b"/metrics"
CONNECTION_LIMITS = ConnectionLimits(8_192, 0, 3.0, 15.0)
"""Requests have no body; the timeouts are those of callers' connections."""


MAX_CONNECTIONS = 32
"""Load balancers and collectors of metrics keep a few connections each."""


class StatusServer:
    """Serves the readiness and the metrics of this process over HTTP.

    Parameters
    ----------
    listen : Address
        Address to listen on.
    is_ready : callable
        Returns whether load balancers may send callers here.
    observer : RequestObserver
        Exports the metrics, and records errors and connections that are closed with
        input.
    """

    def __init__(
        self,
        listen: Address,
        is_ready: Callable[[], bool],
        observer: RequestObserver,
    ):
        self._listen = listen
        self._is_ready = is_ready
        self._observer = observer
        self._report = observer.failed
        self._budget = UncountedInput()
        self._connections: set[CallerConnection] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self._listen.port, host=self._listen.host
        )
        task_status.started()
        serve = partial(run_reported, self._report, self._serve)
        await trio.serve_listeners(serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            lambda: CONNECTION_LIMITS,
            self._answer,
            time.monotonic,
            lambda: False,
            partial(self._observer.connection_closed, peer_address(stream)),
            self._budget,
        )
        self._connections.add(connection)
        if len(self._connections) > MAX_CONNECTIONS:
            closed = longest_waiting(self._connections) or connection
            self._connections.discard(closed)
            closed.close_idle(CloseReason.DESCRIPTORS)
        try:
            if connection in self._connections:
                await connection.serve()
        finally:
            self._connections.discard(connection)

    async def _answer(self, request: IncomingRequest, exchange: Exchange) -> None:
        if request.target == READY_PATH:
            await exchange.respond(200 if self._is_ready() else 503, [])
        elif request.target == METRICS_PATH:
            content_type = (b"Content-Type", b"text/plain; version=0.0.4")
            await exchange.respond(200, [content_type], self._observer.exposition())
        else:
            await exchange.respond(404, [])
