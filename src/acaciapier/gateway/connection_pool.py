"""Pool of persistent connections to workers."""

from collections.abc import Collection
from contextlib import asynccontextmanager

import trio

from ..core.clock import Clock
from ..http.client import HttpConnection
from .models import ServiceName, Worker
from .worker_connector import Connector, DirectConnector

KEEP_ALIVE_MARGIN_MS = 500.0
"""A connection is not reused in the last part of its worker's keep-alive time."""

DEFAULT_KEEP_ALIVE_MS = 4_000.0
"""Maximum idle time of a connection whose worker advertises no keep-alive time."""

UNREPEATABLE_MAX_IDLE_MS = 1_500.0
"""Maximum idle time of a connection for a request that may run only once. A reset of a
reused connection leaves unknown whether the request ran."""

RESET_IDLE_FACTOR = 0.6
"""After a reset of a reused connection, the idle limit of its service becomes this
share of the connection's idle time."""

SWEEP_PERIOD_S = 0.7
"""Period of closing unusable idle connections, and of checking the workers of exchanges
in which nothing was received for a whole period. The connection itself does not show
whether its worker takes long or its link is cut."""

MAX_IDLE_PER_WORKER = 4
"""Maximum number of idle connections to one worker. Workers limit the connections of
all instances together."""


class WorkerConnectionPool:
    """Pool of idle connections, keyed by the incarnation of a worker.

    Parameters
    ----------
    clock : Clock
        Source of time.
    connector : Connector, optional
        Opens connections; direct ones by default.
    """

    def __init__(self, clock: Clock, connector: Connector | None = None):
        self.opened = 0
        self._connector = connector or DirectConnector()
        self._clock = clock
        self._idle: dict[str, list[HttpConnection]] = {}
        self._workers: dict[str, Worker] = {}
        """Workers of idle connections by key."""
        self._in_use: dict[HttpConnection, Worker] = {}
        self._progress: dict[HttpConnection, tuple[int, int]] = {}
        """What the connections in use had received at the last sweep."""
        self._max_idle_ms: dict[str, float] = {}

    @asynccontextmanager
    async def acquire(
        self,
        worker: Worker,
        repeatable: bool,
        force_new: bool = False,
        request: str = "",
        allowed_regions: Collection[str] = (),
    ):
        """Provide a connection to a worker for one exchange.

        The connection returns to the pool if the exchange was complete, and is closed
        otherwise. `request` is the id of the request that it is for, for logs. It leads
        through no instance outside `allowed_regions`, unless these are empty.

        Raises
        ------
        ConnectFailed
            If no idle connection is usable and a new one cannot be opened.
        """
        connection = None
        if not force_new:
            connection = self._pop_idle(worker, repeatable, allowed_regions)
        if connection is None:
            connection = await self._open(worker, request, allowed_regions)
            connection.opened_s = self._clock.monotonic_s()
            self.opened += 1
        else:
            self._connector.record_reuse(worker, connection, request)
        self._in_use[connection] = worker
        try:
            yield connection
        finally:
            del self._in_use[connection]
            self._release(worker, connection)

    def record_reset_on_reuse(self, worker: Worker, idle_ms: float) -> None:
        """Lower the idle limit of a service after a reset of a reused connection."""
        current_ms = self._max_idle_ms.get(worker.service, DEFAULT_KEEP_ALIVE_MS)
        self._max_idle_ms[worker.service] = min(current_ms, RESET_IDLE_FACTOR * idle_ms)

    def check_silent(self) -> None:
        """Have one of the workers checked that sent nothing since the last call."""
        before = self._progress
        self._progress = {
            connection: connection.progress for connection in self._in_use
        }
        self._connector.check_one_of(
            [
                self._in_use[connection]
                for connection, progress in self._progress.items()
                if before.get(connection) == progress
            ]
        )

    def record_silence(self, worker: Worker, connection: HttpConnection | None) -> None:
        """Record that an exchange ended without an answer in time."""
        self._connector.record_silence(worker, connection)

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this instance does not reach a service's workers itself."""
        return self._connector.is_partitioned(service)

    def close_expired(self) -> None:
        """Close idle connections that are too old, or that the worker has closed."""
        for key in list(self._idle):
            usable = []
            worker = self._workers[key]
            for connection in self._idle[key]:
                too_old = self._idle_ms(connection) > max(
                    DEFAULT_KEEP_ALIVE_MS, connection.keep_alive_ms or 0.0
                )
                outdated = too_old or not self._connector.is_current(worker, connection)
                if connection.has_unread_input() or outdated:
                    connection.close()
                else:
                    usable.append(connection)
            if usable:
                self._idle[key] = usable
            else:
                del self._idle[key], self._workers[key]

    def idle_ms(self, connection: HttpConnection) -> float:
        """Return how long a reused connection was idle; 0 for a new connection."""
        return self._idle_ms(connection) if connection.exchanges else 0.0

    async def _open(
        self, worker: Worker, request: str, allowed_regions: Collection[str]
    ) -> HttpConnection:
        if not allowed_regions:
            return await self._connector.open(worker, request)
        return await self._connector.open(worker, request, allowed_regions)

    def _pop_idle(
        self, worker: Worker, repeatable: bool, allowed_regions: Collection[str] = ()
    ) -> HttpConnection | None:
        idle = self._idle.get(worker.key, [])
        while idle:
            if allowed_regions and not self._connector.is_allowed(
                idle[-1], allowed_regions
            ):
                # It leads through another region; other requests may use it.
                return None
            connection = idle.pop()
            limit_ms = self._idle_limit_ms(worker, connection)
            if not repeatable:
                limit_ms = min(limit_ms, UNREPEATABLE_MAX_IDLE_MS)
            too_old = self._idle_ms(connection) > limit_ms
            outdated = too_old or not self._connector.is_current(worker, connection)
            if connection.has_unread_input() or outdated:
                connection.close()
            else:
                return connection
        return None

    def _idle_limit_ms(self, worker: Worker, connection: HttpConnection) -> float:
        limit_ms = self._max_idle_ms.get(worker.service, DEFAULT_KEEP_ALIVE_MS)
        if connection.keep_alive_ms is None:
            return limit_ms
        advertised_ms = max(
            connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS,
            connection.keep_alive_ms / 2,
        )
        if worker.service in self._max_idle_ms:
            return min(limit_ms, advertised_ms)
        return advertised_ms

    def _idle_ms(self, connection: HttpConnection) -> float:
        return (self._clock.monotonic_s() - connection.idle_since_s) * 1_000.0

    def _release(self, worker: Worker, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(worker.key, [])
        self._workers[worker.key] = worker
        if connection.reusable and len(idle) < MAX_IDLE_PER_WORKER:
            connection.idle_since_s = self._clock.monotonic_s()
            idle.append(connection)
        else:
            connection.close()


async def sweep_idle(
    connections: WorkerConnectionPool, period_s: float = SWEEP_PERIOD_S
) -> None:
    """Close unusable idle connections and check workers, until cancelled."""
    while True:
        await trio.sleep(period_s)
        connections.close_expired()
        connections.check_silent()
