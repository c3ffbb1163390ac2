"""Composition, start-up and shutdown of one gateway process."""

import random as random_module
from collections.abc import Callable
from functools import partial

import trio

from ..app.application import Application
from ..core.build import build_name
from ..core.clock import BootClock, epoch_ms, to_s
from ..core.ids import Incarnation, InstanceId
from ..observability.metrics import Metrics
from ..platform.configuration import decode_configuration
from ..platform.store import PlatformStore
from ..wire.handshake import PeerIdentity
from ..wire.keys import FleetKeys
from ..wire.messages.gateway import Heartbeat
from ..wire.network import PeerNetwork
from .builds import Builds
from .caller_connections import CallerConnections
from .catalogue import Catalogue
from .cold_workers import ColdWorkers
from .connection_pool import WorkerConnectionPool, sweep_idle
from .dispatch.dispatch_client import DispatchClient
from .dispatch.dispatcher import Dispatcher
from .dispatch.version_preference import KeptVersions
from .earlier_builds import EarlierBuilds
from .explaining import RequestExplainer
from .followers import StoreFollowers
from .freezes import detect_freezes
from .heartbeat_schedule import pacing_period_ms
from .incarnation_check import CheckedConnections
from .incarnations import Incarnations
from .message_handlers import register_handlers
from .models import PeerRecord, Worker
from .observing import RequestObserver, StructuredLog
from .peer_sync import PeerSync
from .peers import Peers
from .relay import Relay
from .request_quarantine import RequestQuarantine
from .response_memory import ResponseMemory
from .settings import GatewaySettings
from .settings_reload import SettingsReloader
from .split_exceptions import SplitExceptions
from .stage_client import StageClient
from .status_server import StatusServer
from .stored_records import make_stored_records
from .stream_records import StreamRecords
from .supervision import TaskSupervisor, run_forever
from .sync import StoreSync
from .version_assignment import VersionAssignment
from .worker_access import make_worker_access
from .worker_exchange import WorkerExchange
from .worker_limits import WorkerLimits
from .worker_notices import WorkerNotices

LISTEN_BACKLOG = 1_024
"""Connections that may wait for accept; enough for all callers connecting at once."""

DEREGISTRATION_DELAY_MS = 2_500.0
"""Time from failing readiness until no new callers are routed here: two failed checks,
a second apart."""

ACCEPT_PENDING_MS = 50.0
"""Time for which connections that callers have opened are still accepted then."""

STOP_MARGIN_MS = 900.0
"""Part of the shutdown grace period that is reserved for final answers and closing."""

STOP_POLL_S = 0.05
"""Period of checking whether the last connection has closed."""

FINAL_ANSWER_FLUSH_S = 0.2
"""Time for final answers to reach callers: a round trip plus event loop delay."""


class GatewayInstance:
    """Creates, connects and runs the components of one gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    random : random.Random
        Source of jitter and random choices.
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
        self.metrics = Metrics(settings.instance)
        self.log = StructuredLog(self.clock, record_lag=self.metrics.loop_lag)
        self._random = random
        self._stopping = False

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all components in `nursery` and register the stop hook with `app`."""
        settings = self.settings
        nursery.start_soon(self.log.run)
        self.observer = RequestObserver(self.log, self.metrics)
        report, log = self.observer.failed, self.log.write
        tasks = TaskSupervisor(nursery, report)
        self.catalogue = Catalogue(
            self.clock,
            decode_configuration,
            log,
            settings.worker_heartbeat_ms,
            settings.bounds.evacuate_ms is not None,
            settings.regions,
        )
        self.catalogue.evacuations.on_change = self._evacuations_changed
        own = PeerRecord(
            settings.instance,
            settings.control.host,
            settings.control.port,
            settings.data_centre,
            epoch_ms(self.clock.now()),
            settings.link_mbps * settings.cores,
        )
        self._started_ms = own.started_ms
        incarnation, place = Incarnation(own.started_ms), settings.data_centre
        identity = PeerIdentity(settings.instance, incarnation, place, settings.region)
        keys, clock = FleetKeys([settings.fleet_key]), self.clock
        self.network = PeerNetwork(identity, keys, clock, self._random, report=report)
        self.peers = Peers(own, self.network, self.clock, self._make_heartbeat, log)
        self.builds = Builds(build_name(), self.peers.builds, self.clock, log)
        self.metrics.watch_builds(self.builds.counts)
        self.metrics.watch_evacuations(lambda: self.catalogue.evacuations.data_centres)
        self.earlier_builds = EarlierBuilds(self.peers)
        without_records = self.earlier_builds.without_records
        self.followers = StoreFollowers(self.peers)
        access = make_worker_access(
            self.catalogue,
            self.network,
            self.peers,
            settings.data_centre,
            self.clock,
            self._random,
            log,
            tasks,
            self.metrics,
        )
        self.paths, self.tunnel_server = access.paths, access.tunnel_server
        connector = access.connector
        worker_connections = WorkerConnectionPool(self.clock, connector)
        period_ms = partial(pacing_period_ms, self.peers)
        self.cold_workers = ColdWorkers(
            self.clock,
            self.catalogue.rule,
            lambda: self.settings.bounds,
            log,
            settings.worker_heartbeat_ms,
            period_ms,
        )
        self.metrics.watch_cold_workers(self.cold_workers.count_by_service)
        self.catalogue.evacuations.on_readmitted = self.cold_workers.readmit
        limits = self.limits = WorkerLimits(
            self.log.write,
            lambda: self.peers.reachable_share,
            f"{settings.instance}/{own.started_ms}",
            self.cold_workers,
            period_ms,
        )
        listed, changed = self._listed_workers, self._workers_changed
        self.metrics.watch_worker_limits(lambda: limits.named_by(listed()))
        self.metrics.watch_brittle_workers(lambda: limits.brittle.named_by(listed()))
        self.notices = WorkerNotices(self.catalogue, clock, log, changed, limits)
        loads = self.notices.loads
        self.metrics.watch_slowdowns(lambda: loads.named_by(listed()))
        self.memory = ResponseMemory(settings.memory_mb, self.clock, log)
        self.metrics.watch_response_memory(lambda: self.memory.used_bytes)
        check = self.catalogue.ineligibility
        client = StageClient(
            worker_connections, tasks, self.notices, clock, log, self.memory, check
        )
        self.dispatcher = Dispatcher(
            self.catalogue,
            client,
            self.clock,
            self.log.write,
            tasks,
            settings.bounds,
            settings.instance,
            self.limits,
            KeptVersions(self.catalogue, without_records, self.log.write),
            loads,
        )
        self.quarantine = RequestQuarantine(
            self.clock,
            self._random,
            self.peers,
            self.log.write,
            tasks,
            connector.is_reachable,
        )
        count_call = self.metrics.gateway_store
        self.store = PlatformStore(settings.store.address, count_call, log)
        reachable = lambda: self.sync.reachable
        self.assignment = VersionAssignment(
            self.catalogue, clock, log, lambda: bool(without_records()), reachable
        )
        exceptions = SplitExceptions(self.store, self.peers, clock, log)
        self.streams = StreamRecords(
            self.peers,
            self.catalogue.serving,
            self.clock,
            self.log.write,
            tasks,
            lambda: self.sync.reachable,
            self.followers.chosen,
            without_records,
            self.catalogue.former_routes.services_with_current,
            lambda: self.catalogue.former_routes.known_ms,
            self.assignment,
            exceptions,
        )
        self.dispatch_client = DispatchClient(
            self.peers, self.dispatcher, self.catalogue, self.clock, log
        )
        self.metrics.watch_dispatchers(self.dispatch_client.dispatchers)
        self.metrics.watch_reserved(
            lambda: self.dispatcher.reserved_counts(self.dispatch_client.held_permits)
        )
        workers = WorkerExchange(
            self.catalogue,
            self.dispatch_client,
            worker_connections,
            self.quarantine,
            self.clock,
            self.observer,
            tasks,
            self.notices,
            self.streams,
            CheckedConnections(
                worker_connections,
                Incarnations(),
                self.catalogue,
                self.notices,
                self.clock,
                self.observer,
                tasks,
                self.streams.invalidate,
                self.memory,
            ),
            self.memory,
        )
        self.relay = Relay(
            self.catalogue,
            self.dispatch_client,
            workers,
            self.quarantine,
            self.streams,
            self.assignment,
            self.clock,
            self._random,
            self.observer,
        )
        self.connections = CallerConnections(
            self.catalogue, self.relay.handle, self.clock, self.observer, settings
        )
        self.sync = StoreSync(
            self.store,
            self.catalogue,
            self.peers,
            own,
            self.clock,
            self._jitter,
            log,
            changed,
            self.followers,
        )
        self._stored = make_stored_records(
            self.store,
            self.catalogue,
            self.streams,
            self.assignment,
            self.peers,
            self.earlier_builds,
            own,
            settings,
            clock,
            self._jitter,
            log,
            lambda: self.sync.reachable and not self._stopping,
            self.dispatcher,
        )
        peer_sync = self._peer_sync = PeerSync(
            self.catalogue,
            self.peers,
            tasks,
            log,
            changed,
            own,
            self.clock,
            self.cold_workers.all_left_ms,
        )
        self.peers.on_heartbeat = self._handle_heartbeat
        self.peers.required_peers = self._required_peers
        self.peers.paces_limits = lambda: self.limits.is_pacing(
            self.clock.monotonic_s()
        )
        self.peers.standby_peers = lambda: self._dispatchers(1).union(
            connector.observed_peers()
        )
        self.peers.on_down = self.dispatcher.remove_owner
        self.peers.on_lost = self.streams.holder_lost
        self.peers.on_up = self.dispatcher.restore_owner
        self.network.register(Heartbeat, self._answer_heartbeat)
        register_handlers(
            self.network,
            peer_sync,
            self.dispatcher,
            self.quarantine,
            self.streams,
            self._stored.splits,
            self.tunnel_server,
            self.dispatch_client,
            RequestExplainer(
                self.relay, self.dispatcher, self.network, lambda: self.sync.reachable
            ),
        )
        await nursery.start(
            self.network.serve, settings.control.host, settings.control.port
        )
        tasks.start_soon(peer_sync.join, settings.seeds)
        apply = self._apply_settings
        reloader = SettingsReloader(settings, self._reread, apply, log, report)
        nursery.start_soon(reloader.watch_signal)
        for loop in (
            self.sync.run,
            *self._stored.loops,
            exceptions.sweep,
            partial(detect_freezes, self.clock, log, self.dispatcher.hand_over),
            reloader.reload_periodically,
            connector.probe_periodically,
            self.memory.revoke_periodically,
        ):
            nursery.start_soon(run_forever, loop, report)
        nursery.start_soon(run_forever, self.peers.run, report, tasks)
        nursery.start_soon(run_forever, sweep_idle, report, worker_connections)
        status = StatusServer(settings.ready, self._is_ready, self.observer)
        await nursery.start(status.run)
        listeners = await trio.open_tcp_listeners(
            settings.front.port, host=settings.front.host, backlog=LISTEN_BACKLOG
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
            build=self.builds.own,
        )

    def _jitter(self) -> float:
        return self._random.uniform(0.7, 1.3)

    def _listed_workers(self) -> list[Worker]:
        return list(self.catalogue.workers.values())

    def _required_peers(self) -> set[InstanceId]:
        """Return the dispatchers of all services and the followers of the store."""
        return self._dispatchers(0).union(self.followers.chosen())

    def _dispatchers(self, place: int) -> set[InstanceId]:
        """Return the first, or the next, dispatchers of all services by their place."""
        configuration = self.catalogue.configuration
        services = configuration.services if configuration else ()
        usable = not self._stopping
        return {
            instance
            for service in services
            for instance in self.peers.rank(service, usable)[place : place + 1]
        }

    def _make_heartbeat(self) -> Heartbeat:
        now_s = self.clock.monotonic_s()
        return Heartbeat(
            self.catalogue.configuration_position.revision,
            self.catalogue.workers_position.revision,
            self.catalogue.workers_digest,
            self._stopping,
            self.dispatcher.service_waits(),
            self._follows_store(),
            self.peers.uptime_ms,
            self.catalogue.configuration_position.term,
            self.catalogue.workers_position.term,
            self.catalogue.version,
            self.notices.shared_leaving(),
            self.dispatcher.engine_times(),
            self.quarantine.crashes_digest,
            self.catalogue.complete and not self.paths.partitioned_from_all,
            build=self.builds.own,
            keeps_stream_records=True,
            partitioned_lately=self.paths.partitioned_lately,
            limited_sends=self.limits.reported_sends(now_s),
            started_ms=self._started_ms,
            evacuated=self.catalogue.evacuations.shared(),
            cold_workers=self.cold_workers.told_lately(),
            service_costs=self.dispatcher.shared_costs(),
            brittle_use=self.limits.brittle.reported_use(self._stopping, now_s),
            retry_use=self.dispatcher.budgets.reports(now_s),
            splits=self.assignment.record.generation,
        )

    def _handle_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        self.builds.update()
        self.earlier_builds.record_heartbeat(peer, heartbeat)
        self._stored.splits.handle_heartbeat(peer, heartbeat)
        self._peer_sync.handle_heartbeat(peer, heartbeat)
        self.notices.merge(peer, heartbeat.leaving)
        self.cold_workers.merge(peer, heartbeat.cold_workers)
        self.dispatcher.merge_costs(heartbeat.service_costs)
        now_s = self.clock.monotonic_s()
        self.limits.merge_heartbeat(peer, heartbeat, now_s)
        services = self.catalogue.services
        self.dispatcher.budgets.merge(heartbeat.retry_use, services, now_s)
        self.quarantine.handle_heartbeat(peer, heartbeat)

    def _evacuations_changed(self, from_store: bool) -> None:
        """Apply a change at once, and hand it on if it came from the store."""
        self._workers_changed()
        if from_store:
            self.peers.send_to_all(self._make_heartbeat())

    def _workers_changed(self) -> None:
        self.cold_workers.update(self.catalogue.workers.values())
        self.dispatcher.workers_changed()
        self.streams.workers_changed()
        self.assignment.workers_changed()

    def _follows_store(self) -> bool:
        """Return whether peers may rely on this instance for updates from the store."""
        known = self.catalogue.complete and self.sync.reachable
        return known and self.followers.should_follow()

    async def _answer_heartbeat(
        self, peer: InstanceId, heartbeat: Heartbeat
    ) -> Heartbeat:
        self.peers.record_heartbeat(peer, heartbeat)
        return self._make_heartbeat()

    def _is_ready(self) -> bool:
        return self.catalogue.complete and not self._stopping

    async def _serve_front(self, listeners: list[trio.SocketListener]) -> None:
        with self._front_scope:
            async with trio.open_nursery() as nursery:
                with self._listening_scope:
                    await trio.serve_listeners(
                        self.connections.serve, listeners, handler_nursery=nursery
                    )
                for listener in listeners:
                    await listener.aclose()

    async def _stop(self) -> None:
        """Finish requests in flight within the shutdown grace period."""
        self._stopping = self.connections.stopping = True
        self.log.write("stopping", in_flight=self.relay.in_flight)
        self.dispatcher.stopping = True
        self.dispatcher.hand_over()
        self.peers.send_to_all(self._make_heartbeat())
        self.streams.hand_over()
        grace_ms = self.settings.bounds.stop_grace_ms - STOP_MARGIN_MS
        with trio.move_on_after(to_s(grace_ms)):
            await trio.sleep(to_s(DEREGISTRATION_DELAY_MS))
            self.relay.closing = True
            # Closing a listener resets the connections that were not accepted.
            await trio.sleep(to_s(ACCEPT_PENDING_MS))
            self._listening_scope.cancel()
            while self.connections.count or self.tunnel_server.count:
                self.connections.close_idle()
                await trio.sleep(STOP_POLL_S)
        self.relay.cancel_all()
        await trio.sleep(FINAL_ANSWER_FLUSH_S)
        with trio.move_on_after(0.3):
            await self.sync.leave()
        self._front_scope.cancel()
        self.connections.close_all()
        self.log.write("stopped", in_flight=self.relay.in_flight)
        self.log.flush()

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed addresses take effect at the next start."""
        self.settings = settings
        self.dispatcher.set_bounds(settings.bounds)
