"""An entry instance: its parts, started and stopped in order."""

import random

import trio

from ..accounts import CostEntry
from ..app import Application
from ..configuration import ConfigurationState
from ..core.clock import SystemClock, epoch_ms
from ..core.ids import DataCentreId, WorkspaceId
from ..http import serve_app
from ..objects import load_bundle
from ..observability import Metrics
from ..pipeline import Executor, ExecutorServices, ResumeTokens, StreamPace
from ..policy import PathPolicy, PolicySettings
from ..settings import EntrySettings
from ..targets import HttpTransport
from ..targets.directory import InstanceBody, InstanceListClient, TargetDirectory
from .http import EntryHttp
from .resuming import StreamResumer
from .service import RequestService, ServiceParts


class EntryInstance:
    """Everything that one `acaciapier-entry` process is made of.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings: EntrySettings, rng: random.Random):
        self.settings = settings
        self.clock = SystemClock()
        self.url = ""
        self._random = rng
        self._metrics = Metrics(settings.instance.id)
        objects = load_bundle(settings.bundle_path) if settings.bundle_path else []
        self._state = ConfigurationState.of_objects(objects)
        self._transport = HttpTransport()
        self._tokens = ResumeTokens([key.encode() for key in settings.fleet_keys])
        self._policy = PathPolicy(
            self.clock,
            rng,
            PolicySettings(instance=settings.instance.id),
            DataCentreId(settings.instance.data_centre),
        )
        self._list = InstanceListClient(settings.platform.instance_list_url)
        self._directory = TargetDirectory(self._list, self._policy, self._configuration)

    def knows_targets_of(self, pool: str) -> bool:
        """Tell whether at least one live target of `pool` is known."""
        return self._directory.has_targets(pool)

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all parts in `nursery` and add the stop hooks to `app`."""
        app.resources.push_async_callback(self._transport.close)
        app.resources.push_async_callback(self._list.close)
        service = self._make_service(nursery)
        http = EntryHttp(
            service,
            self._workspace_of_token,
            self.settings.path,
            self.clock,
            self._metrics,
        )
        nursery.start_soon(self._directory.run)
        nursery.start_soon(service.run_collector)
        binds = await nursery.start(
            serve_app, http, self.settings.listen, app.stopped.wait
        )
        self.url = binds[0]
        await self._list.put(self._own_record("live"))

        async def leave() -> None:
            await self._list.put(self._own_record("leaving"))

        async def drain() -> None:
            await service.drain(self.settings.max_drain_ms)

        app.on_stop("leave the list of instances", leave)
        app.on_stop("drain requests", drain)

    def _make_service(self, nursery: trio.Nursery) -> RequestService:
        services = ExecutorServices(
            policy=self._policy,
            transport=self._transport,
            record_cost=self._record_cost,
            hear_target=self._directory.hear_target,
            tokens=self._tokens,
            instance=self.settings.instance.id,
            clock=self.clock,
            random=self._random,
            background=nursery,
            pace=StreamPace(self.clock, self.settings.path.flush_interval_ms),
        )
        parts = ServiceParts(
            executor=Executor(services),
            resumer=StreamResumer(self._transport, self._tokens, self.clock),
            configuration=self._configuration,
            claimed=None,
            metrics=self._metrics,
            clock=self.clock,
            random=self._random,
            settings=self.settings.path,
        )
        return RequestService(parts, nursery)

    def _configuration(self) -> ConfigurationState:
        return self._state

    def _workspace_of_token(self, token: str) -> WorkspaceId | None:
        workspace = self._configuration().workspace_of_token(token)
        return WorkspaceId(workspace.name) if workspace else None

    def _record_cost(self, entry: CostEntry) -> None:
        self._metrics.stage_cost(
            entry.workspace,
            entry.stage_kind.value,
            entry.attempt_class.value,
            entry.outcome_class.value,
            entry.service_ms,
            entry.units,
        )

    def _own_record(self, state: str) -> InstanceBody:
        settings = self.settings
        return InstanceBody(
            id=settings.instance.id,
            incarnation=epoch_ms(self.clock.now()),
            role="entry",
            data_centre=settings.instance.data_centre,
            region=settings.instance.region,
            state=state,
            url=self.url,
            inner_host=settings.inner.host,
            inner_port=settings.inner.port,
        )
