"""The fleet-wide limit on weight loads, shared through one stored object.

The object holds the permits of all loads. It is changed by conditional update, so
the limits hold whichever controller grants a permit. The permit of a dead holder is
replaced by the next holder of the engine's lease, removed once the engine runs its
wanted state, or ignored once it has been unchanged for `permit_ms` on the observer's
own clock. Permits limit load and are not needed for correctness: one that ends too
early only lets more loads run at once.
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
    """Permission for one engine to load weights.

    Parameters
    ----------
    engine, pool : str
        The engine and its pool.
    holder : str
        Name of the controller that orders the load.
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
    """Value of the object that holds the permits."""

    permits: tuple[Permit, ...] = ()


@dataclass(frozen=True)
class PoolStatus:
    """State of a pool, as observed by the controller that grants a permit.

    Parameters
    ----------
    name : str
        Name of the pool.
    size : int
        Number of engines listed as live.
    out_of_service : collection of str
        Engines that cannot serve, because they are loading or unreachable.
    """

    name: str
    size: int
    out_of_service: Collection[str] = ()


def max_out_of_service(size: int, share_percent: float) -> int:
    """Return how many of `size` engines may be out of service, at least one."""
    return max(1, int(size * share_percent / PERCENT))


class LoadAllowance:
    """Adds permits to the value of the allowance object, and removes them.

    The methods return new values; the caller writes them.

    Parameters
    ----------
    limits : ControlLimits
        Limits on concurrent loads.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(self, limits: ControlLimits, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._first_seen_s: dict[Permit, float] = {}
        self._last_start_s: dict[str, float] = {}

    def observe(self, body: AllowanceBody) -> None:
        """Record when each permit was first seen, and each pool's latest new one."""
        now_s = self._clock.monotonic_s()
        for permit in body.permits:
            if permit not in self._first_seen_s:
                self._last_start_s[permit.pool] = now_s
        self._first_seen_s = {
            permit: self._first_seen_s.get(permit, now_s) for permit in body.permits
        }

    def remaining_loads(self, body: AllowanceBody) -> int:
        """Return how many more loads may start in the fleet."""
        return max(0, self._limits.max_loads - len(self._valid_permits(body)))

    def loading(self, body: AllowanceBody, pool: str) -> set[str]:
        """Return the engines of `pool` that have a valid permit."""
        return {
            permit.engine for permit in self._valid_permits(body) if permit.pool == pool
        }

    def grant(
        self, body: AllowanceBody, pool: PoolStatus, permit: Permit
    ) -> AllowanceBody | None:
        """Return the value with `permit` added, or None if a limit is reached.

        An earlier permit of the same engine is replaced, whoever held it. The share
        of the pool does not limit an engine that is already out of service.
        """
        others = tuple(
            other
            for other in self._valid_permits(body)
            if other.engine != permit.engine
        )
        replaces_permit = any(other.engine == permit.engine for other in body.permits)
        if not replaces_permit and not self._admits(others, pool, permit.engine):
            return None
        return AllowanceBody((*others, permit))

    def without_converged(
        self, body: AllowanceBody, converged: Collection[str], configuration_number: int
    ) -> AllowanceBody:
        """Return the value without old permits of engines that run the wanted state.

        A permit first seen less than `lease_ms` ago stays, since its order may not
        have reached the engine yet. So does a permit for a newer configuration than
        `configuration_number`, which is the one the engines were compared with.
        """
        limit_s = self._clock.monotonic_s() - to_s(self._limits.lease_ms)
        remaining = (
            permit
            for permit in body.permits
            if permit.engine not in converged
            or permit.configuration_number > configuration_number
            or self._first_seen_s.get(permit, limit_s) > limit_s
        )
        return AllowanceBody(tuple(remaining))

    def without_engine(self, body: AllowanceBody, engine: str) -> AllowanceBody:
        """Return the value without the permit of `engine`."""
        return AllowanceBody(
            tuple(permit for permit in body.permits if permit.engine != engine)
        )

    def _admits(
        self, others: Collection[Permit], pool: PoolStatus, engine: str
    ) -> bool:
        if len(others) >= self._limits.max_loads or not self._stagger_elapsed(
            pool.name
        ):
            return False
        if engine in pool.out_of_service:
            return True
        loading = {permit.engine for permit in others if permit.pool == pool.name}
        out = loading | set(pool.out_of_service)
        share = self._limits.pool_share_percent
        return len(out) < max_out_of_service(pool.size, share)

    def _valid_permits(self, body: AllowanceBody) -> list[Permit]:
        limit_s = self._clock.monotonic_s() - to_s(self._limits.permit_ms)
        return [
            permit
            for permit in body.permits
            if self._first_seen_s.get(permit, limit_s) >= limit_s
        ]

    def _stagger_elapsed(self, pool: str) -> bool:
        started_s = self._last_start_s.get(pool, float("-inf"))
        elapsed_s = self._clock.monotonic_s() - started_s
        return elapsed_s >= to_s(self._limits.stagger_ms)
