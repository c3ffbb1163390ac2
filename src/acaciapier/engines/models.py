"""Wanted and reported state of engines, orders, and the limits of control."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core.ids import DataCentreId, Incarnation, InstanceId, PoolName, TargetId
from ..objects import FencingMode, StageKind, TargetPool


class Wanted(msgspec.Struct, frozen=True):
    """The complete state that an engine is ordered to reach."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"

    @classmethod
    def of_pool(cls, pool: TargetPool) -> "Wanted | None":
        """Return the state wanted of a pool's engines, or None if none is declared."""
        if pool.serves is not StageKind.GENERATE or not pool.model:
            return None
        return cls(pool.model, pool.model_version or "", pool.adapters, pool.role)


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports."""

    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    loading: bool = False
    highest_fencing_number: int = 0

    def matches(self, wanted: Wanted) -> bool:
        """Return whether the engine runs `wanted` and is not loading."""
        return not self.loading and self._running == wanted

    def needs_load(self, wanted: Wanted) -> bool:
        """Return whether `wanted` needs other weights than those in memory."""
        return (self.model, self.model_version) != (wanted.model, wanted.model_version)

    @property
    def _running(self) -> Wanted:
        return Wanted(self.model, self.model_version, self.adapters, self.role)


@dataclass(frozen=True)
class EngineRecord:
    """A live engine, as listed by the platform."""

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
        """Return the state wanted of the engines of `pool`, or None."""
        found = self._find(pool)
        return Wanted.of_pool(found) if found else None

    def checks_fencing(self, pool: PoolName) -> bool:
        """Return whether the engines of `pool` refuse old fencing numbers."""
        found = self._find(pool)
        return found is not None and found.fencing is FencingMode.CHECKS

    def _find(self, pool: PoolName) -> TargetPool | None:
        return next(
            (candidate for candidate in self.pools if candidate.name == pool), None
        )


class OrderStatus(Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class OrderAnswer:
    """An engine's answer to an order.

    Parameters
    ----------
    status : OrderStatus
        Outcome; an unreachable engine may have accepted the order.
    highest_fencing_number : int
        Highest fencing number that the engine has accepted, if it refused the order.
    """

    status: OrderStatus
    highest_fencing_number: int = 0


@dataclass(frozen=True)
class ControlLimits:
    """Intervals and limits of the control of engines.

    Parameters
    ----------
    poll_ms : float
        Interval between polls of an engine.
    lease_ms : float
        Time for which a lease must be unchanged before another holder takes it over.
    renew_ms : float
        Age at which a holder renews its lease.
    load_ms : float
        Timeout for one engine to reach its wanted state.
    permit_ms : float
        Time after which an unchanged permit is ignored; not less than `load_ms`.
    stagger_ms : float
        Minimum interval between two starts of loads in one pool.
    max_loads : int
        Maximum number of concurrent loads in the whole fleet, as the weight store
        allows.
    pool_share_percent : float
        Maximum share of a pool's engines that may be out of service at once.
    max_polls : int
        Maximum number of engines polled concurrently.
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
    """A controller process; after a restart it is another holder."""

    instance: InstanceId
    incarnation: Incarnation

    @property
    def name(self) -> str:
        """Return the holder name written into leases and permits."""
        return f"{self.instance}.{self.incarnation}"
