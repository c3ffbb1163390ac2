"""A node of the fleet: the components shared by all binaries."""

import random
from functools import partial

import httpcore
import trio

from ..configuration import ConfigurationState
from ..configuration.distribution import Distribution, InstanceLocation
from ..configuration.replica import ConfigurationReplica, Freshness
from ..core.clock import Clock, epoch_ms, to_s
from ..core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from ..membership import InstanceListClient, ListedInstance, Membership, Seed
from ..membership.instance_list import InstanceListUnavailable
from ..observability import get_logger
from ..settings import FleetSettings
from ..store import ObjectStore, StoreBudget
from ..wire import (
    Acknowledgement,
    FleetKeys,
    Message,
    PeerAddress,
    PeerIdentity,
    PeerNetwork,
)
from ..wire.messages.operations import DrainInstance, FetchStatus, StatusAnswer
from .application import Application
from .tls import inner_contexts

log = get_logger("acaciapier.node")

STATUS_INTERVAL_MS = 500.0
ANNOUNCE_INTERVAL_MS = 10_000.0
DIGEST_BY_FRESHNESS = {
    freshness: number for number, freshness in enumerate(Freshness, 1)
}
FRESHNESS_BY_DIGEST = {
    number: freshness.value for freshness, number in DIGEST_BY_FRESHNESS.items()
}
LIVE = "live"
LEAVING = "leaving"


class FleetNode:
    """Identity, peers, membership, store and configuration of one process.

    Parameters
    ----------
    settings : FleetSettings
        Validated settings.
    role : str
        ``entry``, ``admin`` or ``controller``.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self, settings: FleetSettings, role: str, clock: Clock, rng: random.Random
    ):
        self.settings = settings
        self.role = role
        self.clock = clock
        self.random = rng
        self.identity = PeerIdentity(
            InstanceId(settings.instance.id),
            Incarnation(epoch_ms(clock.now())),
            DataCentreId(settings.instance.data_centre),
            RegionId(settings.instance.region),
        )
        self.keys = [key.encode() for key in settings.fleet_keys]
        self.network = PeerNetwork(
            self.identity,
            FleetKeys(self.keys),
            clock,
            rng,
            tls=inner_contexts(settings.inner.tls),
        )
        self.store = ObjectStore(
            settings.platform.object_api_url,
            StoreBudget(rate_per_s=settings.platform.store_calls_per_s),
            clock,
            rng,
        )
        self._http = httpcore.AsyncConnectionPool(keepalive_expiry=4.0)
        self.instance_list = InstanceListClient(
            self._http, settings.platform.instance_list_url
        )
        self.replica = ConfigurationReplica(clock)
        self.membership: Membership | None = None
        self.distribution: Distribution | None = None

    def configuration(self) -> ConfigurationState:
        """Return the configuration in force at this instance."""
        return self.replica.state

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Join the fleet and load the configuration.

        Resources are registered with `app`, which closes them on exit.
        """
        app.resources.push_async_callback(self._http.aclose)
        app.resources.push_async_callback(self.store.aclose)
        inner = self.settings.inner
        serve = partial(self.network.serve, inner.host, inner.port)
        port = await nursery.start(serve)
        self.membership = Membership(
            self.network,
            self.instance_list,
            self.clock,
            self.random,
            PeerAddress(inner.host, port),
            role=self.role,
            seeds=self._seeds(),
        )
        self.distribution = Distribution(
            self.replica,
            self.store,
            self.network,
            self.membership.gossip,
            self.membership,
            InstanceLocation(self.identity.instance_id, self.identity.region),
            self.clock,
            self.random,
        )
        self.network.register(FetchStatus, self._handle_status_request)
        await nursery.start(self.membership.run)
        await nursery.start(self.distribution.run)
        nursery.start_soon(self._publish_status)

    async def announce(self, url: str, state: str = LIVE) -> None:
        """Write this instance's record to the platform's instance list."""
        inner = self.settings.inner
        record = ListedInstance(
            id=self.identity.instance_id,
            incarnation=self.identity.incarnation,
            role=self.role,
            data_centre=self.identity.data_centre,
            region=self.identity.region,
            url=url,
            inner_host=inner.host,
            inner_port=inner.port,
            state=state,
        )
        try:
            await self.instance_list.put(record)
        except InstanceListUnavailable as error:
            log.warning("could not update the instance list: {}", error)

    async def announce_periodically(self, url: str, app: Application) -> None:
        """Announce this instance periodically until a stop is requested."""
        while not app.stop_requested.is_set():
            await self.announce(url)
            await trio.sleep(to_s(ANNOUNCE_INTERVAL_MS))

    async def leave(self, url: str) -> None:
        """Announce to the platform and the peers that this instance leaves."""
        await self.announce(url, LEAVING)
        await self.membership.leave()

    async def _handle_status_request(
        self, peer: InstanceId, message: FetchStatus
    ) -> Message:
        return self.own_status()

    def own_status(self) -> StatusAnswer:
        """Return the number and freshness of this instance's configuration."""
        return StatusAnswer(self.replica.number, self.replica.freshness.value)

    def register_drain_handler(self, app: Application) -> None:
        """Accept requests from operators to drain, which stop the instance."""

        async def drain(peer: InstanceId, message: DrainInstance) -> Message:
            log.info("operator {} requested a drain of this instance", message.author)
            app.stop()
            return Acknowledgement()

        self.network.register(DrainInstance, drain)

    async def _publish_status(self) -> None:
        while True:
            digest = DIGEST_BY_FRESHNESS[self.replica.freshness]
            self.membership.set_status(self.replica.number, digest)
            await trio.sleep(to_s(STATUS_INTERVAL_MS))

    def _seeds(self) -> tuple[Seed, ...]:
        return tuple(
            Seed(InstanceId(seed.instance), PeerAddress(seed.host, seed.port))
            for seed in self.settings.seeds
        )
