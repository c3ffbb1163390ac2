"""An administration instance, and the start and stop of its components."""

import random

import trio

from ..app import Application
from ..app.crash_records import CrashRecordSharing
from ..app.node import FleetNode
from ..configuration import ConfigurationLog
from ..core.clock import SystemClock
from ..core.ids import DataCentreId
from ..http.server import HttpListener
from ..policy import PathPolicy, PolicySettings
from ..settings import AdminSettings
from .application import AdminApplication
from .controls import FleetDrains, MemberStatus, QuarantineReleases, StoredCosts
from .operations import FleetControls

ROLE = "admin"


class AdminInstance:
    """Creates, starts and stops the components of an `acaciapier-admin` process.

    Parameters
    ----------
    settings : AdminSettings
        Validated settings.
    rng : random.Random
        Random number generator.
    """

    def __init__(self, settings: AdminSettings, rng: random.Random):
        self.settings = settings
        self.clock = SystemClock()
        self.node = FleetNode(settings, ROLE, self.clock, rng)
        self.url = ""
        self._log = ConfigurationLog(self.node.store, self.clock, rng)
        self._policy = PathPolicy(
            self.clock,
            rng,
            PolicySettings(instance=settings.instance.id),
            DataCentreId(settings.instance.data_centre),
        )

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all components in `nursery` and add the stop hooks to `app`."""
        await self.node.start(app, nursery)
        sharing = CrashRecordSharing(
            self._policy, self.node.network, self.node.membership
        )
        nursery.start_soon(sharing.run)
        application = AdminApplication(
            self._log, self.settings.operators, self.clock, self._controls(sharing)
        )
        listener = HttpListener(application, self.settings.listen)
        self.url = await nursery.start(listener.run)
        nursery.start_soon(self.node.announce_periodically, self.url, app)
        self.node.register_drain_handler(app)
        app.on_stop("close the listener", listener.stop)
        app.on_stop("leave the fleet", self._leave)

    async def _leave(self) -> None:
        await self.node.leave(self.url)

    def _controls(self, sharing: CrashRecordSharing) -> FleetControls:
        return FleetControls(
            status=MemberStatus(self.node),
            drains=FleetDrains(self.node),
            releases=QuarantineReleases(self._policy, sharing),
            costs=StoredCosts(self.node, self.clock),
        )
