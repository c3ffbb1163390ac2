"""An entry instance: builds, starts and stops its components."""

import random

import trio

from ..accounts import AccountService, CostEntry, Ledger
from ..app import Application
from ..app.crash_records import CrashRecordSharing
from ..app.node import FleetNode
from ..claims import ClaimService
from ..core.clock import SystemClock
from ..core.ids import DataCentreId, WorkspaceId
from ..http.server import HttpListener
from ..observability import Metrics
from ..pipeline import Executor, ExecutorServices, ReadCoalescer, ResumeTokenSigner
from ..policy import PathPolicy, PolicySettings
from ..settings import EntrySettings
from ..targets import HttpTransport
from ..targets.directory import TargetDirectory
from ..wire.messages.requests import JoinRun
from .claimed import ClaimedRuns
from .http import EntryHttp
from .joining import JoinServer, RunJoiner
from .resuming import StreamResumer
from .service import RequestService, ServiceDependencies


class EntryInstance:
    """All components of one `acaciapier-entry` process.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings: EntrySettings, rng: random.Random):
        self.settings = settings
        self.clock = SystemClock()
        self.node = FleetNode(settings, "entry", self.clock, rng)
        self.url = ""
        self.directory: TargetDirectory | None = None
        identity = self.node.identity
        self.ledger = Ledger(identity.instance_id, identity.incarnation, self.clock)
        self._random = rng
        self._listener: HttpListener | None = None
        self._crash_record_sharing: CrashRecordSharing | None = None
        self._claims: ClaimService | None = None
        self._accounts: AccountService | None = None
        self._metrics = Metrics(settings.instance.id)
        self._metrics.watch_store(lambda: self.node.store.counts)
        self._transport = HttpTransport()
        self._tokens = ResumeTokenSigner(self.node.keys)
        self._policy = PathPolicy(
            self.clock,
            rng,
            PolicySettings(instance=settings.instance.id),
            DataCentreId(settings.instance.data_centre),
        )

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all components in `nursery` and add the stop hooks to `app`."""
        app.resources.push_async_callback(self._transport.close)
        await self.node.start(app, nursery)
        self.directory = TargetDirectory(
            self.node.membership, self._policy, self.node.configuration
        )
        self._crash_record_sharing = CrashRecordSharing(
            self._policy, self.node.network, self.node.membership
        )
        self._accounts = self._make_accounts()
        self._claims = self._make_claims()
        service = self._make_service(nursery)
        join_server = JoinServer(service.find_for_peer, service.track_exchange)
        self.node.network.register_stream(JoinRun, join_server.serve)
        http = EntryHttp(
            service,
            self._workspace_of_token,
            self.settings.path,
            self.clock,
            self._metrics,
        )
        nursery.start_soon(self.directory.run)
        nursery.start_soon(service.run_housekeeping)
        nursery.start_soon(self._claims.run)
        nursery.start_soon(self._crash_record_sharing.run)
        nursery.start_soon(self._accounts.run)
        self._listener = HttpListener(http, self.settings.listen)
        self.url = await nursery.start(self._listener.run)
        nursery.start_soon(self.node.announce_periodically, self.url, app)
        self._add_stop_hooks(app, service)

    def _add_stop_hooks(self, app: Application, service: RequestService) -> None:
        async def announce_leaving() -> None:
            await self.node.announce(self.url, "leaving")

        async def drain() -> None:
            await service.drain(self.settings.max_drain_ms)

        async def leave() -> None:
            await self.node.leave(self.url)

        service.refuse_new_after(app.stop_requested)
        self.node.register_drain_handler(app)
        app.on_stop("announce that the instance leaves", announce_leaving)
        app.on_stop("drain requests", drain)
        app.on_stop("close the listener", self._listener.stop)
        app.on_stop("write the outcomes of claims", self._claims.flush)
        app.on_stop("write the accounts", self._accounts.flush)
        app.on_stop("leave the fleet", leave)

    def _make_service(self, nursery: trio.Nursery) -> RequestService:
        executor = Executor(self._executor_services(nursery))
        joiner = RunJoiner(self.node.network)
        dependencies = ServiceDependencies(
            executor=executor,
            resumer=StreamResumer(self._transport, self._tokens, self.clock),
            joiner=joiner,
            configuration=self.node.configuration,
            claimed=ClaimedRuns(self._claims, executor, joiner, self.clock),
            metrics=self._metrics,
            clock=self.clock,
            random=self._random,
            settings=self.settings.path,
        )
        return RequestService(dependencies, nursery)

    def _make_claims(self) -> ClaimService:
        identity = self.node.identity
        return ClaimService(
            identity.instance_id,
            identity.incarnation,
            self.node.store,
            self.node.network,
            self.node.membership,
            self.clock,
            self._random,
        )

    def _make_accounts(self) -> AccountService:
        return AccountService(
            self.node.identity.instance_id,
            self.ledger,
            self.node.store,
            self.node.network,
            self.node.membership,
            self.clock,
            self._random,
        )

    def _executor_services(self, nursery: trio.Nursery) -> ExecutorServices:
        return ExecutorServices(
            policy=self._policy,
            transport=self._transport,
            record_cost=self._record_cost,
            record_target_status=self.directory.record_target_status,
            tokens=self._tokens,
            instance=self.settings.instance.id,
            clock=self.clock,
            random=self._random,
            background=nursery,
            read_coalescer=ReadCoalescer(
                self.clock, self.settings.path.flush_interval_ms
            ),
            after_crash=self._crash_record_sharing.publish_new,
        )

    def _workspace_of_token(self, token: str) -> WorkspaceId | None:
        workspace = self.node.configuration().workspace_of_token(token)
        return WorkspaceId(workspace.name) if workspace else None

    def _record_cost(self, entry: CostEntry) -> None:
        self.ledger.record(entry)
        self._metrics.stage_cost(
            entry.workspace,
            entry.stage_kind.value,
            entry.attempt_class.value,
            entry.outcome_class.value,
            entry.service_ms,
            entry.units,
        )
