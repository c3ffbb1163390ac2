"""A controller instance: creates, starts and stops its components."""

import random
from collections.abc import Collection, Iterable

import trio

from ..app import Application
from ..app.node import FleetNode
from ..core.clock import SystemClock
from ..core.ids import DataCentreId, Incarnation, PoolName, TargetId
from ..objects.models import StageKind
from ..settings import ControllerSettings
from ..wire.messages.membership import MemberRecord, TargetRecord
from .client import HttpEngines
from .controller import EngineController
from .models import ControlLimits, EngineRecord, Holder, WantedPools

ROLE = "controller"


class ControllerInstance:
    """All components of one `acaciapier-controller` process.

    Parameters
    ----------
    settings : ControllerSettings
        Validated settings.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings: ControllerSettings, rng: random.Random):
        self.settings = settings
        self.clock = SystemClock()
        self.node = FleetNode(settings, ROLE, self.clock, rng)
        self._random = rng
        self._engine_lists = _EngineListCache(self.node)
        self._engines = HttpEngines(
            self._engine_lists.live, self._engine_lists.controllers
        )

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all components in `nursery` and register the stop hook with `app`."""
        app.resources.push_async_callback(self._engines.aclose)
        await self.node.start(app, nursery)
        self.node.membership.subscribe(self._engine_lists.invalidate)
        identity = self.node.identity
        controller = EngineController(
            self.node.store,
            self._pools,
            self._engines,
            self.clock,
            self._random,
            Holder(identity.instance_id, identity.incarnation),
            ControlLimits(pool_share_percent=self.settings.rollout_share_percent),
        )
        nursery.start_soon(controller.run)
        nursery.start_soon(self.node.announce_periodically, "", app)
        app.on_stop("leave the fleet", self._leave)

    async def _leave(self) -> None:
        await self.node.leave("")

    def _pools(self) -> WantedPools:
        state = self.node.configuration()
        return WantedPools(state.number, tuple(state.pools))


class _EngineListCache:
    """Caches the lists of live engines and controllers.

    Returns the same objects until the membership changes, or for the engines, until
    the pools of the configuration change.
    """

    def __init__(self, node: FleetNode):
        self._node = node
        self._live_engines: list[EngineRecord] | None = None
        self._pools: tuple[str, ...] = ()
        self._controllers: list[str] | None = None

    def invalidate(self, change) -> None:
        """Discard the cached lists, so that the next calls rebuild them."""
        self._live_engines = None
        self._controllers = None

    def live(self) -> Iterable[EngineRecord]:
        """Return the engines of all pools that serve the generate stage."""
        pools = self._generating_pools()
        if self._live_engines is None or pools != self._pools:
            self._pools = pools
            self._live_engines = [_engine(record) for record in self._records()]
        return self._live_engines

    def controllers(self) -> Collection[str]:
        """Return the holder names of the running controllers."""
        if self._controllers is None:
            members = self._node.membership.members()
            self._controllers = [_holder(m) for m in members if m.role == ROLE]
        return self._controllers

    def _records(self) -> Iterable[TargetRecord]:
        for pool in self._pools:
            yield from self._node.membership.targets.usable(PoolName(pool))

    def _generating_pools(self) -> tuple[str, ...]:
        pools = self._node.configuration().pools
        return tuple(p.name for p in pools if p.serves is StageKind.GENERATE)


def _holder(member: MemberRecord) -> str:
    return Holder(member.instance, member.incarnation).name


def _engine(record: TargetRecord) -> EngineRecord:
    return EngineRecord(
        id=TargetId(record.target_id),
        incarnation=Incarnation(record.incarnation),
        pool=PoolName(record.pool),
        data_centre=DataCentreId(record.data_centre),
        url=record.url,
    )
