"""Connections to workers, kept while their workers keep them."""

from contextlib import asynccontextmanager

import trio

from ..core.clock import Clock
from ..http.client import HttpConnection
from .models import Worker

CONNECT_TIMEOUT_MS = 400.0
"""A new connection takes a round trip and a millisecond; a dark worker never."""

KEEP_ALIVE_MARGIN_MS = 500.0
"""A connection is not used in the last part of the time that its worker named."""

DEFAULT_KEEP_ALIVE_MS = 4_000.0
"""Longest idle time of a connection whose worker named none."""

UNREPEATABLE_IDLE_MS = 1_500.0
"""A request that may run only once avoids connections that were idle for longer,
since a reset on them leaves open whether it ran."""

SHRINK = 0.6
"""Share of an idle time at which a connection was reset that still is trusted."""

MAX_IDLE_PER_WORKER = 4
"""Idle connections kept to one worker; workers bound those of all instances."""


class WorkerConnections:
    """Idle connections by incarnation of a worker.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.opened = 0
        self._clock = clock
        self._idle: dict[str, list[HttpConnection]] = {}
        self._longest_idle_ms: dict[str, float] = {}

    @asynccontextmanager
    async def lease(self, worker: Worker, repeatable: bool, fresh: bool = False):
        """Lend a connection to a worker; a whole exchange lets it be kept.

        Raises
        ------
        ConnectFailed
            If a new one is needed and cannot be opened.
        """
        connection = None if fresh else self._take(worker, repeatable)
        if connection is None:
            connection = await HttpConnection.open(
                worker.host, worker.port, CONNECT_TIMEOUT_MS
            )
            self.opened += 1
        try:
            yield connection
        finally:
            self._give_back(worker, connection)

    def note_reset_on_reuse(self, worker: Worker, idle_ms: float) -> None:
        """Trust idle connections to a service for less time than this one's."""
        known = self._longest_idle_ms.get(worker.service, DEFAULT_KEEP_ALIVE_MS)
        self._longest_idle_ms[worker.service] = min(known, SHRINK * idle_ms)

    def close_idle(self) -> None:
        """Close connections that are too old to be used, or of no use."""
        for key in list(self._idle):
            kept = []
            for connection in self._idle[key]:
                if connection.has_unread_input() or self._idle_ms(connection) > max(
                    DEFAULT_KEEP_ALIVE_MS, connection.keep_alive_ms or 0.0
                ):
                    connection.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def idle_ms(self, connection: HttpConnection) -> float:
        """Return for how long a reused connection had been idle."""
        return self._idle_ms(connection) if connection.exchanges else 0.0

    def _take(self, worker: Worker, repeatable: bool) -> HttpConnection | None:
        idle = self._idle.get(worker.key, [])
        while idle:
            connection = idle.pop()
            limit_ms = self._limit_ms(worker, connection)
            if not repeatable:
                limit_ms = min(limit_ms, UNREPEATABLE_IDLE_MS)
            too_old = self._idle_ms(connection) > limit_ms
            if connection.has_unread_input() or too_old:
                connection.close()
            else:
                return connection
        return None

    def _limit_ms(self, worker: Worker, connection: HttpConnection) -> float:
        limit_ms = self._longest_idle_ms.get(worker.service, DEFAULT_KEEP_ALIVE_MS)
        if connection.keep_alive_ms is None:
            return limit_ms
        named_ms = max(
            connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS,
            connection.keep_alive_ms / 2,
        )
        if worker.service in self._longest_idle_ms:
            return min(limit_ms, named_ms)
        return named_ms

    def _idle_ms(self, connection: HttpConnection) -> float:
        return (self._clock.monotonic_s() - connection.idle_since_s) * 1_000.0

    def _give_back(self, worker: Worker, connection: HttpConnection) -> None:
        idle = self._idle.setdefault(worker.key, [])
        if connection.reusable and len(idle) < MAX_IDLE_PER_WORKER:
            connection.idle_since_s = self._clock.monotonic_s()
            idle.append(connection)
        else:
            connection.close()


async def sweep_idle(connections: WorkerConnections, period_s: float = 1.0) -> None:
    """Close useless connections from time to time, until cancelled."""
    while True:
        await trio.sleep(period_s)
        connections.close_idle()
