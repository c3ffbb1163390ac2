"""Brings one engine to its wanted state while holding its lease."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from ..core.clock import Clock, to_s
from ..exceptions import StoreUnavailable, VersionConflict
from ..observability import get_logger
from .allowance import AllowanceBody, LoadAllowance, Permit, PoolStatus
from .client import Engines
from .leases import LeaseAction, LeaseKeeper, LeaseStep
from .models import (
    ControlLimits,
    EngineRecord,
    Holder,
    OrderStatus,
    Wanted,
    WantedPools,
)
from .objects import ControlObjects

log = get_logger("acaciapier.engines")

MAX_CONFLICTS = 8
RELEASE_TIMEOUT_S = 5.0


class ConvergenceResult(Enum):
    """Outcome of one convergence."""

    REACHED = "reached"
    HELD_BY_OTHER = "held_by_other"
    OUTDATED = "outdated"
    NO_PERMIT = "no_permit"
    FENCED = "fenced"
    TIMED_OUT = "timed_out"
    STORE_UNAVAILABLE = "store_unavailable"


@dataclass(frozen=True)
class ControlContext:
    """Dependencies shared by all convergences of one controller."""

    holder: Holder
    objects: ControlObjects
    engines: Engines
    allowance: LoadAllowance
    limits: ControlLimits
    clock: Clock
    pools: Callable[[], WantedPools]
    pool_status: Callable[[str], PoolStatus]


class Convergence:
    """Orders one engine to its wanted state, and polls it until it is reached.

    Parameters
    ----------
    context : ControlContext
        Shared dependencies.
    engine : EngineRecord
        The engine.
    keeper : LeaseKeeper
        State of the engine's lease.
    """

    def __init__(
        self, context: ControlContext, engine: EngineRecord, keeper: LeaseKeeper
    ):
        self._context = context
        self._engine = engine
        self._keeper = keeper
        self._has_permit = False
        self._may_be_loading = False

    async def run(self) -> ConvergenceResult:
        """Acquire the lease, order the wanted state and poll until it is reached."""
        try:
            with trio.move_on_after(to_s(self._context.limits.load_ms)):
                return await self._converge()
            return ConvergenceResult.TIMED_OUT
        except StoreUnavailable as error:
            log.warning("convergence of engine {} failed: {}", self._engine.id, error)
            return ConvergenceResult.STORE_UNAVAILABLE
        finally:
            with trio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._release_lease_and_permit()

    async def _converge(self) -> ConvergenceResult:
        ordered: Wanted | None = None
        while True:
            pools = self._context.pools()
            wanted = pools.wanted_for(self._engine.pool)
            if wanted is None:
                return ConvergenceResult.REACHED
            step = await self._acquire_lease(pools.configuration_number)
            if step.action is LeaseAction.OUTDATED:
                return ConvergenceResult.OUTDATED
            if step.action is LeaseAction.WAIT:
                return ConvergenceResult.HELD_BY_OTHER
            state = await self._context.engines.read_state(self._engine)
            if ordered == wanted and state is not None and state.matches(wanted):
                self._may_be_loading = False
                return ConvergenceResult.REACHED
            if ordered != wanted or (state and state.needs_load(wanted)):
                if state is None or state.needs_load(wanted):
                    if not await self._acquire_permit(pools, step.fencing_number):
                        return ConvergenceResult.NO_PERMIT
                answer = await self._order(pools, step.fencing_number, wanted)
                if answer is OrderStatus.STALE:
                    return ConvergenceResult.FENCED
                if answer is OrderStatus.ACCEPTED:
                    ordered = wanted
            await trio.sleep(to_s(self._context.limits.poll_ms))

    async def _order(
        self, pools: WantedPools, fencing_number: int, wanted: Wanted
    ) -> OrderStatus:
        self._may_be_loading = self._has_permit
        answer = await self._context.engines.order(self._engine, fencing_number, wanted)
        if answer.status is OrderStatus.STALE:
            log.warning(
                "engine {} refused fencing number {}; it has accepted {}",
                self._engine.id,
                fencing_number,
                answer.highest_fencing_number,
            )
        return answer.status

    async def _acquire_lease(self, configuration_number: int) -> LeaseStep:
        """Perform the keeper's steps until the lease is held or unavailable."""
        for _ in range(MAX_CONFLICTS):
            step = self._keeper.next_step(configuration_number)
            if step.action is LeaseAction.READ:
                read = await self._context.objects.read_lease(self._engine.id)
                self._keeper.take_read(read.version, read.body)
            elif step.action is LeaseAction.WRITE:
                await self._write_lease(step)
            else:
                return step
        return LeaseStep(LeaseAction.WAIT)

    async def _write_lease(self, step: LeaseStep) -> None:
        try:
            version = await self._context.objects.write_lease(
                self._engine.id, step.body, step.if_version
            )
        except VersionConflict:
            self._keeper.take_conflict()
        except StoreUnavailable:
            self._keeper.take_unknown()
            raise
        except trio.Cancelled:
            self._keeper.take_unknown()
            raise
        else:
            self._keeper.take_written(version, step.body)

    async def _acquire_permit(self, pools: WantedPools, fencing_number: int) -> bool:
        """Acquire a load permit for this engine; return False if a limit is reached."""
        context = self._context
        permit = Permit(
            self._engine.id,
            self._engine.pool,
            context.holder.name,
            fencing_number,
            pools.configuration_number,
        )
        for _ in range(MAX_CONFLICTS):
            read = await context.objects.read_allowance()
            context.allowance.observe(read.body)
            if self._has_permit and _contains_permit(read.body, permit):
                return True
            pool = context.pool_status(self._engine.pool)
            granted = context.allowance.grant(read.body, pool, permit)
            if granted is None:
                return False
            self._has_permit = True
            try:
                await context.objects.write_allowance(granted, read.version)
                return True
            except VersionConflict:
                self._has_permit = False
        return False

    async def _release_lease_and_permit(self) -> None:
        """Release the permit and the lease; what cannot be released expires.

        An engine that may still be loading keeps its permit. The next holder takes the
        permit over, or it is removed once the engine runs the wanted state.
        """
        try:
            if self._has_permit and not self._may_be_loading:
                await self._release_permit()
            step = self._keeper.release_step()
            if step.action is LeaseAction.WRITE:
                await self._write_lease(step)
        except StoreUnavailable as error:
            log.warning(
                "could not release lease or permit of engine {}: {}",
                self._engine.id,
                error,
            )

    async def _release_permit(self) -> None:
        context = self._context
        for _ in range(MAX_CONFLICTS):
            read = await context.objects.read_allowance()
            rest = context.allowance.without_engine(read.body, self._engine.id)
            if rest == read.body:
                return
            try:
                await context.objects.write_allowance(rest, read.version)
                return
            except VersionConflict:
                continue


def _contains_permit(body: AllowanceBody, permit: Permit) -> bool:
    return any(
        other.engine == permit.engine
        and other.configuration_number >= permit.configuration_number
        for other in body.permits
    )
