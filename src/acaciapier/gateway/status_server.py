"""Readiness and metrics, served beside the callers' address."""

import time
from collections.abc import Callable

import trio

from ..http.caller import (
    CallerConnection,
    ConnectionLimits,
    Exchange,
    IncomingRequest,
)
from ..platform.requests import READY_PATH
from .settings import Address

METRICS_PATH = b"/metrics"
LIMITS = ConnectionLimits(8_192, 0, 3.0, 15.0)
"""Questions have no body; the times are those of callers."""


class StatusServer:
    """Answers questions about this process.

    Parameters
    ----------
    listen : Address
        Where to listen.
    is_ready : callable
        Returns whether callers may be sent here.
    exposition : callable
        Returns all metrics as text.
    """

    def __init__(
        self,
        listen: Address,
        is_ready: Callable[[], bool],
        exposition: Callable[[], bytes],
    ):
        self._listen = listen
        self._is_ready = is_ready
        self._exposition = exposition

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self._listen.port, host=self._listen.host
        )
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream, lambda: LIMITS, self._answer, time.monotonic, lambda: False
        )
        await connection.serve()

    async def _answer(self, request: IncomingRequest, exchange: Exchange) -> None:
        if request.target == READY_PATH:
            await exchange.respond(200 if self._is_ready() else 503, [])
        elif request.target == METRICS_PATH:
            kind = (b"Content-Type", b"text/plain; version=0.0.4")
            await exchange.respond(200, [kind], self._exposition())
        else:
            await exchange.respond(404, [])
