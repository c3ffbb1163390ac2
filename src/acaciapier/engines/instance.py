"""A controller instance: its parts, started and stopped in order."""

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
    """Everything that one `acaciapier-controller` process is made of.

    Parameters
    ----------
    settings : ControllerSettings
        Checked settings.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings: ControllerSettings, rng: random.Random):
        self.settings = settings
        self.clock = SystemClock()
        self.node = FleetNode(settings, ROLE, self.clock, rng)
        self._random = rng
        self._listed = _ListedEngines(self.node)
        self._engines = HttpEngines(self._listed.live, self._listed.controllers)

    async def start(self, app: Application, nursery: trio.Nursery) -> None:
        """Start all parts in `nursery` and add the stop hooks to `app`."""
        app.resources.push_async_callback(self._engines.aclose)
        await self.node.start(app, nursery)
        self.node.membership.subscribe(self._listed.forget)
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
        nursery.start_soon(self.node.keep_announced, "", app)
        app.on_stop("leave the fleet", self._leave)

    async def _leave(self) -> None:
        await self.node.leave("")

    def _pools(self) -> WantedPools:
        state = self.node.configuration()
        return WantedPools(state.number, tuple(state.pools))


class _ListedEngines:
    """Live engines and controllers; the same objects until something changes.

    What changes them is the membership, or the pools of the configuration.
    """

    def __init__(self, node: FleetNode):
        self._node = node
        self._live: list[EngineRecord] | None = None
        self._pools: tuple[str, ...] = ()
        self._controllers: list[str] | None = None

    def forget(self, change) -> None:
        """Make new lists at the next call."""
        self._live = None
        self._controllers = None

    def live(self) -> Iterable[EngineRecord]:
        """Return the engines of the pools that generate."""
        pools = self._generating_pools()
        if self._live is None or pools != self._pools:
            self._pools = pools
            self._live = [_engine(record) for record in self._records()]
        return self._live

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
