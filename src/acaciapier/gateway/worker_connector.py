"""Opens connections to workers: directly, or through another instance."""

import random as random_module
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

import trio

from ..core.clock import to_s
from ..core.ids import InstanceId
from ..http.client import ConnectFailed, HttpConnection
from .models import ServiceName, Worker, WorkerKey
from .supervision import TaskSupervisor
from .tunnels import TunnelClient, TunneledConnection, WorkerUnreachable
from .worker_paths import WorkerPath, WorkerPaths

CONNECT_TIMEOUT_MS = 400.0
"""Opening a connection takes one round trip and about a millisecond; an unreachable
worker never accepts one."""

MIN_PROBE_PERIOD_MS, MAX_PROBE_PERIOD_MS = 400.0, 600.0
"""Bounds of the period of probes while this instance is partitioned from workers."""


class Connector(Protocol):
    """Opens connections to workers."""

    async def open(
        self, worker: Worker, request: str = "", allowed_regions: Collection[str] = ()
    ) -> HttpConnection:
        """Open a connection for a request, which may be unnamed."""
        ...

    def is_current(self, worker: Worker, connection: HttpConnection) -> bool:
        """Return whether an idle connection may be used for another request."""
        ...

    def record_reuse(
        self, worker: Worker, connection: HttpConnection, request: str
    ) -> None:
        """Record that an idle connection is used for another request."""
        ...

    def record_silence(self, worker: Worker, connection: HttpConnection | None) -> None:
        """Record that an exchange ended without an answer in time."""
        ...

    def check_one_of(self, workers: Sequence[Worker]) -> None:
        """Check one of the workers whose connections have been silent for a while."""
        ...

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this instance does not reach a service's workers itself."""
        ...

    def is_allowed(
        self, connection: HttpConnection, allowed_regions: Collection[str]
    ) -> bool:
        """Return whether a connection leads through no instance outside regions."""
        ...


class DirectConnector:
    """Opens direct connections only."""

    async def open(
        self, worker: Worker, request: str = "", allowed_regions: Collection[str] = ()
    ) -> HttpConnection:
        """Open a connection, or raise `ConnectFailed`."""
        return await HttpConnection.open(worker.host, worker.port, CONNECT_TIMEOUT_MS)

    def is_current(self, worker: Worker, connection: HttpConnection) -> bool:
        """Return True: the path to a worker is always the same."""
        return True

    def record_reuse(
        self, worker: Worker, connection: HttpConnection, request: str
    ) -> None:
        """Do nothing: the path to a worker is always the same."""

    def record_silence(self, worker: Worker, connection: HttpConnection | None) -> None:
        """Do nothing: the path to a worker is always the same."""

    def check_one_of(self, workers: Sequence[Worker]) -> None:
        """Do nothing: the path to a worker is always the same."""

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return False: the path to a worker is always the same."""
        return False

    def is_allowed(
        self, connection: HttpConnection, allowed_regions: Collection[str]
    ) -> bool:
        """Return True: connections lead through no other instance."""
        return True


class WorkerConnector:
    """Opens connections on the path that `WorkerPaths` chooses.

    Parameters
    ----------
    paths : WorkerPaths
        Chooses the path, and is told of the outcomes of direct connections.
    tunnels : TunnelClient
        Opens connections through other instances.
    workers : callable
        Returns the listed workers.
    random : random.Random
        Source of jitter and of the choice of probed workers.
    log : callable
        Logs an event with its fields.
    tasks : TaskSupervisor
        Runs checks of single workers.
    may_connect : callable, optional
        Returns whether a worker may be connected to at all.
    """

    def __init__(
        self,
        paths: WorkerPaths,
        tunnels: TunnelClient,
        workers: Callable[[], list[Worker]],
        random: random_module.Random,
        log: Callable[..., None],
        tasks: TaskSupervisor,
        may_connect: Callable[[Worker], bool] = lambda worker: True,
    ):
        self._may_connect = may_connect
        self._paths = paths
        self._tunnels = tunnels
        self._workers = workers
        self._random = random
        self._log = log
        self._tasks = tasks
        self._observed: list[InstanceId] = []
        self._checked: set[WorkerKey] = set()
        self._comparison: trio.Event | None = None
        """Set at the end of the comparison that runs at present."""

    async def open(
        self, worker: Worker, request: str = "", allowed_regions: Collection[str] = ()
    ) -> HttpConnection:
        """Open a connection to a worker.

        Raises
        ------
        ConnectFailed
            If neither this instance nor one that it asked could connect.
        """
        if not self._may_connect(worker):
            raise ConnectFailed(f"{worker.address}: must not be connected to")
        if self._paths.choose(worker) is WorkerPath.DIRECT:
            try:
                return await self.open_direct(worker)
            except ConnectFailed:
                await self._wait_for_comparison()
                if self._paths.choose(worker) is WorkerPath.DIRECT:
                    raise
        elif not self._tunnels.helpers(allowed_regions):
            return await self.open_direct(worker)
        if self._paths.choose(worker) is WorkerPath.UNREACHABLE:
            raise ConnectFailed(f"{worker.address}: unreachable for others, too")
        try:
            return await self._tunnels.open(worker, request, allowed_regions)
        except WorkerUnreachable:
            self._paths.record_unreachable(worker)
            raise

    async def open_for_peer(self, worker: Worker) -> HttpConnection:
        """Open a direct connection for another instance, or raise `ConnectFailed`.

        After a failure it is known whether this instance is partitioned.
        """
        try:
            return await self.open_direct(worker)
        except ConnectFailed:
            await self._wait_for_comparison()
            raise

    async def open_direct(
        self, worker: Worker, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> HttpConnection:
        """Open a direct connection, or raise `ConnectFailed`."""
        try:
            return await self._connect(worker, timeout_ms)
        except trio.Cancelled:
            # Calls may have shorter timeouts than connecting.
            self.check(worker)
            raise

    async def _connect(
        self, worker: Worker, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> HttpConnection:
        if not self._may_connect(worker):
            raise ConnectFailed(f"{worker.address}: must not be connected to")
        try:
            connection = await HttpConnection.open(worker.host, worker.port, timeout_ms)
        except ConnectFailed as error:
            self._paths.record_failure(worker, str(error))
            self._compare(worker)
            raise
        self._paths.record_success(worker)
        return connection

    def check(self, worker: Worker) -> None:
        """Check in the background whether a worker accepts direct connections."""
        if worker.key not in self._checked:
            self._checked.add(worker.key)
            self._tasks.start_soon(self._check, worker)

    def record_silence(self, worker: Worker, connection: HttpConnection | None) -> None:
        """Record that an exchange ended without an answer in time."""
        if isinstance(connection, TunneledConnection):
            self._tunnels.avoid(connection.tunnel.helper)
        else:
            self.check_one_of([worker])

    def check_one_of(self, workers: Sequence[Worker]) -> None:
        """Check one of the workers whose connections have been silent for a while."""
        direct = [
            worker
            for worker in workers
            if self._paths.choose(worker) is WorkerPath.DIRECT
        ]
        if direct:
            self.check(self._random.choice(direct))

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this instance does not reach a service's workers itself."""
        return self._paths.since_s(service) is not None

    def _compare(self, failed: Worker) -> None:
        """Check another worker, preferably of another service, in the background.

        It tells the fault of one worker from a partition of this instance.
        """
        if self._comparison is not None or self._paths.partitioned_from_all:
            return
        others = [worker for worker in self._workers() if worker.key != failed.key]
        if others:
            elsewhere = [item for item in others if item.service != failed.service]
            other = self._random.choice(elsewhere or others)
            self._comparison = trio.Event()
            self._tasks.start_soon(self._run_comparison, other, self._comparison)

    async def _wait_for_comparison(self) -> None:
        if self._comparison is not None:
            await self._comparison.wait()

    async def _run_comparison(self, worker: Worker, ended: trio.Event) -> None:
        try:
            await self._check(worker)
        finally:
            self._comparison = None
            ended.set()

    async def _check(self, worker: Worker) -> None:
        try:
            connection = await self._connect(worker)
            connection.close()
        except ConnectFailed:
            return  # recorded as a failure of the path
        finally:
            self._checked.discard(worker.key)

    async def is_reachable(self, worker: Worker, timeout_ms: float) -> bool:
        """Return whether this instance or another one can connect to a worker.

        It is also True if those that were asked cannot tell and this one is
        partitioned, or if the worker must not be connected to.
        """
        if not self._may_connect(worker):
            return True
        try:
            connection = await self.open_direct(worker, timeout_ms)
        except ConnectFailed:
            if not self._tunnels.helpers():
                return False
        else:
            connection.close()
            return True
        try:
            connection = await self._tunnels.open(worker)
        except WorkerUnreachable:
            self._paths.record_unreachable(worker)
            return False
        except ConnectFailed:
            return self._paths.choose(worker) is not WorkerPath.DIRECT
        connection.close()
        return True

    def is_current(self, worker: Worker, connection: HttpConnection) -> bool:
        """Return whether an idle connection leads over the path chosen at present.

        While this instance is partitioned, a direct connection that has completed an
        exchange since then may be used on.
        """
        since_s = self._paths.since_s(worker.service)
        if isinstance(connection, TunneledConnection):
            return since_s is not None and self._tunnels.is_usable(connection)
        return since_s is None or connection.idle_since_s > since_s

    def is_allowed(
        self, connection: HttpConnection, allowed_regions: Collection[str]
    ) -> bool:
        """Return whether a connection leads through no instance outside regions."""
        if not isinstance(connection, TunneledConnection):
            return True
        return connection.tunnel.helper in self._tunnels.helpers(allowed_regions)

    def record_reuse(
        self, worker: Worker, connection: HttpConnection, request: str
    ) -> None:
        """Log which tunnel a request uses if it was opened for another one."""
        if isinstance(connection, TunneledConnection):
            self._log(
                "tunnel_reused",
                request=request,
                worker=worker.id,
                helper=connection.tunnel.helper,
                tunnel=connection.tunnel.number,
            )

    def observed_peers(self) -> list[InstanceId]:
        """Return peers whose heartbeats are needed to know who serves tunnels."""
        if not self._paths.partitioned:
            self._observed = []
        elif not self._observed:
            self._observed = self._tunnels.sample_peers()
        return self._observed

    async def probe_periodically(self) -> None:
        """Detect that workers can be reached again, until cancelled."""
        while True:
            period_ms = self._random.uniform(MIN_PROBE_PERIOD_MS, MAX_PROBE_PERIOD_MS)
            await trio.sleep(to_s(period_ms))
            await self._probe()

    async def _probe(self) -> None:
        """Connect to one worker of each unreachable service, until one fails."""
        services = self._paths.partitioned_services()
        self._random.shuffle(services)
        for service in services:
            if self._paths.since_s(service) is None:
                continue
            workers = [item for item in self._workers() if item.service == service]
            try:
                connection = await self.open_direct(self._random.choice(workers))
            except ConnectFailed:
                return
            connection.close()
