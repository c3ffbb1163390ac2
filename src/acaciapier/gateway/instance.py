"""One gateway process: its parts, their start and their stop."""

import random as random_module
import signal
import time
from collections.abc import Callable
from dataclasses import fields
from datetime import UTC, datetime

import trio

from ..app.application import Application
from ..core.clock import epoch_ms, to_s
from ..core.ids import Incarnation, InstanceId
from ..exceptions import FindingsError
from ..http.caller import CallerConnection, ConnectionLimits
from ..observability.metrics import Metrics
from ..platform.configuration import decode_configuration
from ..platform.store import PlatformStore
from ..wire.handshake import PeerIdentity
from ..wire.keys import FleetKeys
from ..wire.messages.gateway import (
    AcquireWorker,
    Beat,
    CancelWork,
    EnterStages,
    FetchNews,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    RunPieces,
)
from ..wire.messages.quarantine import Strikes
from ..wire.network import PeerNetwork
from .catalogue import Catalogue
from .dispatch.desk import Desk
from .dispatch.dispatcher import Dispatcher
from .followers import StoreFollowers
from .models import InputLimits, PeerRecord
from .observing import RequestObserver, StructuredLog
from .peers import Peers
from .relay import Relay
from .settings import GatewaySettings
from .stage_client import StageClient
from .status_server import StatusServer
from .supervision import TaskSupervisor, run_forever
from .suspects import Suspects
from .sync import PeerSync, StoreSync
from .worker_exchange import WorkerExchange
from .worker_pool import WorkerConnections, sweep_idle

BACKLOG = 1_024
"""New connections that may wait; a burst of all callers at once fits."""

ROTATION_MS = 2_500.0
"""Two missed readiness questions, a second apart, end the flow of new callers."""

STOP_MARGIN_MS = 900.0
"""Part of the grace time that is kept for final answers and closing."""

STOP_POLL_S = 0.05
"""Period in which the end of the last connection is looked for."""

FINAL_ANSWERS_S = 0.2
"""Time in which final answers reach callers: a round trip and the loop's delay."""

SETTINGS_PERIOD_S = 2.0
"""Period in which the settings file is read again: the operators' own bound on
configuration."""

FREEZE_GAP_MS = 600.0
"""A loop that stood still for longer has a picture of the past."""

FREEZE_CHECK_MS = 100.0
"""Period in which a standstill is looked for."""


class BootClock:
    """The system's clocks; the monotonic one counts the time of a suspension."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayInstance:
    """All parts of one gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        What the deployment says.
    random : random.Random
        Source of jitter and choices.
    reread : callable
        Reads the settings again; raises `FindingsError`.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        random: random_module.Random,
        reread: Callable[[], GatewaySettings],
    ):
        self.settings = settings
        self._reread = reread
        self.clock = BootClock()
        self.log = StructuredLog(self.clock)
        self.metrics = Metrics(settings.instance)
        self._random = random
        self._stopping = False
        self._connections: set[CallerConnection] = set()

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all parts in `nursery` and add the stop hooks to `app`."""
        settings = self.settings
        nursery.start_soon(self.log.run)
        self.observer = RequestObserver(self.log, self.metrics)
        report = self.observer.failed
        tasks = TaskSupervisor(nursery, report)
        self.catalogue = Catalogue(self.clock, decode_configuration, self.log.write)
        own = PeerRecord(
            settings.instance,
            settings.control.host,
            settings.control.port,
            settings.data_centre,
            epoch_ms(self.clock.now()),
            settings.link_mbps * settings.cores,
        )
        identity = PeerIdentity(
            settings.instance,
            Incarnation(own.started_ms),
            settings.data_centre,
            settings.region,
        )
        self.network = PeerNetwork(
            identity, FleetKeys([settings.fleet_key]), self.clock, self._random
        )
        self.peers = Peers(
            own,
            self.network,
            self.clock,
            self._random,
            self._make_beat,
            self.log.write,
        )
        self.followers = StoreFollowers(self.peers)
        worker_connections = WorkerConnections(self.clock)
        client = StageClient(worker_connections, tasks)
        self.dispatcher = Dispatcher(
            self.catalogue,
            client,
            self.clock,
            self.log.write,
            tasks,
            settings.bounds,
            settings.instance,
        )
        self.suspects = Suspects(
            self.clock, self._random, self.peers, self.log.write, tasks
        )
        self.desk = Desk(
            self.peers, self.dispatcher, self.catalogue, self.clock, self.log.write
        )
        workers = WorkerExchange(
            self.catalogue,
            self.desk,
            worker_connections,
            self.suspects,
            self.clock,
            self.observer,
            tasks,
        )
        self.relay = Relay(
            self.catalogue,
            self.desk,
            workers,
            self.suspects,
            self.clock,
            self._random,
            self.observer,
        )
        self.store = PlatformStore(settings.store.address, self.metrics.gateway_store)
        self.sync = StoreSync(
            self.store,
            self.catalogue,
            self.peers,
            own,
            self.clock,
            lambda: self._random.uniform(0.7, 1.3),
            self.log.write,
            self.dispatcher.workers_changed,
            self.followers,
        )
        peer_sync = PeerSync(
            self.catalogue,
            self.peers,
            tasks,
            self.log.write,
            self.dispatcher.workers_changed,
            own,
            self.clock,
        )
        self.peers.on_beat = peer_sync.note_beat
        self.peers.wanted = self._wanted_peers
        self.peers.on_down = self.dispatcher.drop_owner
        self._register_handlers(peer_sync)
        await nursery.start(
            self.network.serve, settings.control.host, settings.control.port
        )
        tasks.start_soon(peer_sync.join, settings.seeds)
        nursery.start_soon(self._watch_reload_signal)
        for loop in (self.sync.run, self._watch_freezes, self._watch_settings):
            nursery.start_soon(run_forever, loop, report)
        nursery.start_soon(run_forever, self.peers.run, report, tasks)
        nursery.start_soon(run_forever, sweep_idle, report, worker_connections)
        status = StatusServer(settings.ready, self._is_ready, self.metrics.exposition)
        await nursery.start(status.run)
        listeners = await trio.open_tcp_listeners(
            settings.front.port, host=settings.front.host, backlog=BACKLOG
        )
        self._front_scope = trio.CancelScope()
        self._listening_scope = trio.CancelScope()
        nursery.start_soon(self._serve_front, listeners)
        app.on_stop("stop serving", self._stop)
        self.log.write(
            "started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            front=f"{settings.front.host}:{settings.front.port}",
        )

    def _register_handlers(self, peer_sync: PeerSync) -> None:
        register = self.network.register
        register(Beat, self._answer_beat)
        register(Strikes, self.suspects.hear)
        register(FetchNews, peer_sync.answer)
        register(EnterStages, self.dispatcher.enter_stages)
        register(RunPieces, self.dispatcher.run_pieces)
        register(AcquireWorker, self.dispatcher.acquire)
        register(PermitStarted, self.dispatcher.permit_started)
        register(PermitEnded, self.dispatcher.permit_ended)
        register(FreeResults, self.dispatcher.free_results)
        register(CancelWork, self.dispatcher.cancel_work)
        register(HeldPermits, self.dispatcher.held_permits)
        register(HeldResults, self.dispatcher.held_results)

    def _wanted_peers(self) -> set[InstanceId]:
        """Return the instances that decide, the next in rank, and store followers."""
        configuration = self.catalogue.configuration
        services = configuration.services if configuration else ()
        usable = not self._stopping
        deciding = {
            one for service in services for one in self.peers.rank(service, usable)[:2]
        }
        return deciding.union(self.followers.chosen())

    def _make_beat(self) -> Beat:
        return Beat(
            self.catalogue.configuration_revision,
            self.catalogue.workers_revision,
            self.catalogue.workers_digest,
            self._stopping,
            self.dispatcher.service_waits(),
            self._follows_store(),
            self.peers.uptime_ms,
        )

    def _follows_store(self) -> bool:
        """Return whether peers may rely on what this instance knows."""
        known = self.catalogue.complete and self.sync.reachable
        return known and self.followers.follow_closely()

    async def _answer_beat(self, peer: InstanceId, beat: Beat) -> Beat:
        self.peers.note_beat(peer, beat)
        return self._make_beat()

    def _is_ready(self) -> bool:
        return self.catalogue.complete and not self._stopping

    async def _serve_front(self, listeners: list[trio.SocketListener]) -> None:
        with self._front_scope:
            async with trio.open_nursery() as nursery:
                with self._listening_scope:
                    await trio.serve_listeners(
                        self._serve_caller, listeners, handler_nursery=nursery
                    )
                for listener in listeners:
                    await listener.aclose()

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._limits,
            self.relay.handle,
            self.clock.monotonic_s,
            lambda: self._stopping,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            self.observer.failed(error)
        finally:
            self._connections.discard(connection)

    def _limits(self) -> ConnectionLimits:
        configuration = self.catalogue.configuration
        limits = configuration.limits if configuration else InputLimits()
        return ConnectionLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            to_s(limits.header_timeout_ms),
            to_s(limits.idle_timeout_ms),
        )

    async def _stop(self) -> None:
        """Finish what is in flight, for as long as the operators allow."""
        self._stopping = True
        self.log.write("stopping", in_flight=self.relay.in_flight)
        self.dispatcher.stopping = True
        self.dispatcher.hand_over()
        self.peers.send_to_all(self._make_beat())
        grace_ms = self.settings.bounds.stop_grace_ms - STOP_MARGIN_MS
        with trio.move_on_after(to_s(grace_ms)):
            await trio.sleep(to_s(ROTATION_MS))
            self.relay.closing = True
            self._listening_scope.cancel()
            for connection in list(self._connections):
                if connection.idle:
                    connection.close()
            while self._connections:
                await trio.sleep(STOP_POLL_S)
        self.relay.end_all()
        await trio.sleep(FINAL_ANSWERS_S)
        with trio.move_on_after(0.3):
            await self.sync.leave()
        self._front_scope.cancel()
        self.log.write("stopped", in_flight=self.relay.in_flight)
        self.log.flush()

    async def _watch_reload_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload("signal")

    async def _watch_settings(self) -> None:
        """Notice settings that change without a signal."""
        while True:
            await trio.sleep(SETTINGS_PERIOD_S)
            self._reload("period")

    def _reload(self, reason: str) -> None:
        """Take over changed settings; addresses hold until the next start."""
        try:
            settings = self._reread()
        except FindingsError as problem:
            self.log.write("settings_rejected", reason=reason, error=str(problem))
            return
        changed = [
            one.name
            for one in fields(settings)
            if getattr(settings, one.name) != getattr(self.settings, one.name)
        ]
        if reason == "signal" or changed:
            self.log.write("settings_reloaded", reason=reason, changed=changed)
        self.settings = settings
        self.dispatcher.set_bounds(settings.bounds)

    async def _watch_freezes(self) -> None:
        """Drop what was decided before the machine stood still."""
        last_s = self.clock.monotonic_s()
        while True:
            await trio.sleep(to_s(FREEZE_CHECK_MS))
            now_s = self.clock.monotonic_s()
            gap_ms = (now_s - last_s) * 1_000.0
            if gap_ms > FREEZE_GAP_MS:
                self.log.write("stood_still", gap_ms=round(gap_ms))
                self.dispatcher.hand_over()
            last_s = now_s
