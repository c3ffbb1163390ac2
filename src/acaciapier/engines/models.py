"""What engines run, what they are told to run, and the limits of control."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core.ids import DataCentreId, Incarnation, InstanceId, PoolName, TargetId
from ..objects import FencingMode, StageKind, TargetPool


class Wanted(msgspec.Struct, frozen=True):
    """The whole state that an engine is told to reach."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"

    @classmethod
    def of_pool(cls, pool: TargetPool) -> "Wanted | None":
        """Return what the engines of `pool` shall run, or None if it says nothing."""
        if pool.serves is not StageKind.GENERATE or not pool.model:
            return None
        return cls(pool.model, pool.model_version or "", pool.adapters, pool.role)


class EngineState(msgspec.Struct, frozen=True):
    """What an engine reports about itself."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    loading: bool = False
    highest_fencing_number: int = 0

    def matches(self, wanted: Wanted) -> bool:
        """Return whether the engine runs `wanted` and loads nothing."""
        return not self.loading and self._running == wanted

    def needs_load(self, wanted: Wanted) -> bool:
        """Return whether other weights are needed than are in memory."""
        return (self.model, self.model_version) != (wanted.model, wanted.model_version)

    @property
    def _running(self) -> Wanted:
        return Wanted(self.model, self.model_version, self.adapters, self.role)


@dataclass(frozen=True)
class EngineRecord:
    """A live engine, as the platform's list shows it."""

    id: TargetId
    incarnation: Incarnation
    pool: PoolName
    data_centre: DataCentreId
    url: str


@dataclass(frozen=True)
class WantedPools:
    """The target pools of one configuration number."""

    configuration_number: int
    pools: tuple[TargetPool, ...]

    def wanted_for(self, pool: PoolName) -> Wanted | None:
        """Return what the engines of `pool` shall run, or None."""
        found = self._find(pool)
        return Wanted.of_pool(found) if found else None

    def checks_fencing(self, pool: PoolName) -> bool:
        """Return whether the engines of `pool` refuse orders with old numbers."""
        found = self._find(pool)
        return found is not None and found.fencing is FencingMode.CHECKS

    def _find(self, pool: PoolName) -> TargetPool | None:
        return next((one for one in self.pools if one.name == pool), None)


class OrderStatus(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class OrderAnswer:
    """An engine's answer to an order.

    Parameters
    ----------
    status : OrderStatus
        What became of it; an unreachable engine may have taken it.
    highest : int
        Highest number that the engine has taken, if it refused.
    """

    status: OrderStatus
    highest: int = 0


@dataclass(frozen=True)
class ControlLimits:
    """Times and limits of the control of engines.

    Parameters
    ----------
    poll_ms : float
        Pause between two comparisons of wanted and present state.
    lease_ms : float
        How long a lease must be seen unchanged before another holder takes it.
    renew_ms : float
        Age at which a holder writes its lease again.
    load_ms : float
        Longest time for one engine to reach its wanted state.
    permit_ms : float
        How long a permit counts that is seen unchanged; not less than `load_ms`.
    stagger_ms : float
        Least time between two starts of loads in one pool.
    max_loads : int
        Most loads at once in the whole fleet, from the weight store's allowance.
    pool_share_percent : float
        Most engines of a pool that are out of service at once.
    max_polls : int
        Most engines asked at once.
    """

    poll_ms: float = 2_000.0
    lease_ms: float = 10_000.0
    renew_ms: float = 3_000.0
    load_ms: float = 600_000.0
    permit_ms: float = 600_000.0
    stagger_ms: float = 0.0
    max_loads: int = 8
    pool_share_percent: float = 25.0
    max_polls: int = 16


@dataclass(frozen=True)
class Holder:
    """One start of a controller; a restart is another holder."""

    instance: InstanceId
    incarnation: Incarnation

    @property
    def name(self) -> str:
        """Return the name that leases and permits carry."""
        return f"{self.instance}.{self.incarnation}"
