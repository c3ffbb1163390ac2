"""The shared allowance of the weight store: who may load now.

One object holds the permits of all loads. It is changed by conditional update, so
the limits hold whoever grants. Permits of dead holders are taken over with the
engine's lease, dropped when the engine is seen to have arrived, or ignored when
they were seen unchanged for `permit_ms` on the observer's own clock. A permit
limits load, not correctness: losing one too early costs only more loads at once.
"""

from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from ..core.clock import Clock, to_s
from .models import ControlLimits

ALLOWANCE_KIND = "load-allowances"
ALLOWANCE_NAME = "weight-store"
PERCENT = 100.0


class Permit(msgspec.Struct, frozen=True):
    """Leave of one engine to load.

    Parameters
    ----------
    engine, pool : str
        The engine and its pool.
    holder : str
        Who orders the load.
    fencing_number : int
        Fencing number of the engine's lease.
    configuration_number : int
        Configuration whose weights are loaded.
    """

    engine: str
    pool: str
    holder: str
    fencing_number: int
    configuration_number: int


class AllowanceBody(msgspec.Struct, frozen=True):
    """Value of the allowance object."""

    permits: tuple[Permit, ...] = ()


@dataclass(frozen=True)
class PoolSituation:
    """A pool as a granting holder sees it.

    Parameters
    ----------
    name : str
        Name of the pool.
    size : int
        Engines that are listed as live.
    out_of_service : collection of str
        Engines that cannot serve now, whether they load or fail.
    """

    name: str
    size: int
    out_of_service: Collection[str] = ()


def most_out_of_service(size: int, share_percent: float) -> int:
    """Return how many of `size` engines may be out of service; at least one."""
    return max(1, int(size * share_percent / PERCENT))


class LoadAllowance:
    """Grants and ends permits over the value of the allowance object.

    Parameters
    ----------
    limits : ControlLimits
        Limits of loads.
    clock : Clock
        Source of the observer's own time.
    """

    def __init__(self, limits: ControlLimits, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._seen_s: dict[Permit, float] = {}
        self._started_s: dict[str, float] = {}

    def observe(self, body: AllowanceBody) -> None:
        """Note since when each permit has been seen, and when each pool started."""
        now_s = self._clock.monotonic_s()
        for permit in body.permits:
            if permit not in self._seen_s:
                self._started_s[permit.pool] = now_s
        self._seen_s = {
            permit: self._seen_s.get(permit, now_s) for permit in body.permits
        }

    def fleet_room(self, body: AllowanceBody) -> int:
        """Return how many further loads the weight store's allowance admits."""
        return max(0, self._limits.max_loads - len(self._live(body)))

    def loading(self, body: AllowanceBody, pool: str) -> set[str]:
        """Return the engines of `pool` that have a permit."""
        return {one.engine for one in self._live(body) if one.pool == pool}

    def grant(
        self, body: AllowanceBody, pool: PoolSituation, permit: Permit
    ) -> AllowanceBody | None:
        """Return the value with `permit` added, or None if there is no room.

        An earlier permit of the same engine is replaced, whoever held it. The share
        of the pool does not bind an engine that is out of service already.
        """
        others = tuple(one for one in self._live(body) if one.engine != permit.engine)
        took_over = any(one.engine == permit.engine for one in body.permits)
        if not took_over and not self._admits(others, pool, permit.engine):
            return None
        return AllowanceBody((*others, permit))

    def without_arrived(
        self, body: AllowanceBody, arrived: Collection[str], configuration_number: int
    ) -> AllowanceBody:
        """Return the value without old permits of engines that have arrived.

        A young permit stays, since its order may not have reached the engine yet, and
        so does one for a newer configuration than `configuration_number`, which is
        the one that the engines were compared with.
        """
        limit_s = self._clock.monotonic_s() - to_s(self._limits.lease_ms)
        kept = (
            one
            for one in body.permits
            if one.engine not in arrived
            or one.configuration_number > configuration_number
            or self._seen_s.get(one, limit_s) > limit_s
        )
        return AllowanceBody(tuple(kept))

    def without(self, body: AllowanceBody, engine: str) -> AllowanceBody:
        """Return the value without the permit of `engine`."""
        return AllowanceBody(tuple(one for one in body.permits if one.engine != engine))

    def _admits(
        self, others: Collection[Permit], pool: PoolSituation, engine: str
    ) -> bool:
        if len(others) >= self._limits.max_loads or not self._staggered(pool.name):
            return False
        if engine in pool.out_of_service:
            return True
        loading = {one.engine for one in others if one.pool == pool.name}
        out = loading | set(pool.out_of_service)
        share = self._limits.pool_share_percent
        return len(out) < most_out_of_service(pool.size, share)

    def _live(self, body: AllowanceBody) -> list[Permit]:
        limit_s = self._clock.monotonic_s() - to_s(self._limits.permit_ms)
        return [
            one for one in body.permits if self._seen_s.get(one, limit_s) >= limit_s
        ]

    def _staggered(self, pool: str) -> bool:
        started_s = self._started_s.get(pool, float("-inf"))
        elapsed_s = self._clock.monotonic_s() - started_s
        return elapsed_s >= to_s(self._limits.stagger_ms)
