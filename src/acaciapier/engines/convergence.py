"""Brings one engine to its wanted state under its lease."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from ..core.clock import Clock, to_s
from ..exceptions import StoreUnavailable, VersionConflict
from ..observability import get_logger
from .allowance import AllowanceBody, LoadAllowance, Permit, PoolSituation
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
    """How the work on one engine ended."""

    REACHED = "reached"
    HELD_BY_OTHER = "held_by_other"
    OUTDATED = "outdated"
    NO_PERMIT = "no_permit"
    FENCED = "fenced"
    TIMED_OUT = "timed_out"
    STORE_UNAVAILABLE = "store_unavailable"


@dataclass(frozen=True)
class ControlContext:
    """What all convergences of one controller share."""

    holder: Holder
    objects: ControlObjects
    engines: Engines
    allowance: LoadAllowance
    limits: ControlLimits
    clock: Clock
    pools: Callable[[], WantedPools]
    situation: Callable[[str], PoolSituation]


class Convergence:
    """One engine's way to its wanted state.

    Parameters
    ----------
    context : ControlContext
        What all convergences share.
    engine : EngineRecord
        The engine.
    keeper : LeaseKeeper
        What this holder knows about the engine's lease.
    """

    def __init__(
        self, context: ControlContext, engine: EngineRecord, keeper: LeaseKeeper
    ):
        self._context = context
        self._engine = engine
        self._keeper = keeper
        self._has_permit = False
        self._may_load = False

    async def run(self) -> ConvergenceResult:
        """Take the lease, order the wanted state and read it back until it is so."""
        try:
            with trio.move_on_after(to_s(self._context.limits.load_ms)):
                return await self._converge()
            return ConvergenceResult.TIMED_OUT
        except StoreUnavailable as problem:
            log.warning("engine {}: {}", self._engine.id, problem)
            return ConvergenceResult.STORE_UNAVAILABLE
        finally:
            with trio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._give_up_rights()

    async def _converge(self) -> ConvergenceResult:
        ordered: Wanted | None = None
        while True:
            pools = self._context.pools()
            wanted = pools.wanted_for(self._engine.pool)
            if wanted is None:
                return ConvergenceResult.REACHED
            step = await self._hold(pools.configuration_number)
            if step.action is LeaseAction.OUTDATED:
                return ConvergenceResult.OUTDATED
            if step.action is LeaseAction.WAIT:
                return ConvergenceResult.HELD_BY_OTHER
            state = await self._context.engines.read_state(self._engine)
            if ordered == wanted and state is not None and state.matches(wanted):
                self._may_load = False
                return ConvergenceResult.REACHED
            if ordered != wanted or (state and state.needs_load(wanted)):
                if state is None or state.needs_load(wanted):
                    if not await self._take_permit(pools, step.fencing_number):
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
        self._may_load = self._has_permit
        answer = await self._context.engines.order(self._engine, fencing_number, wanted)
        if answer.status is OrderStatus.STALE:
            log.warning(
                "engine {} refused fencing number {}: {} was taken before",
                self._engine.id,
                fencing_number,
                answer.highest,
            )
        return answer.status

    async def _hold(self, configuration_number: int) -> LeaseStep:
        """Follow the keeper's steps until the lease is held or cannot be."""
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

    async def _take_permit(self, pools: WantedPools, fencing_number: int) -> bool:
        """Add this engine to the loads in progress; False if there is no room."""
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
            if self._has_permit and _holds(read.body, permit):
                return True
            pool = context.situation(self._engine.pool)
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

    async def _give_up_rights(self) -> None:
        """Give the permit and the lease back; what fails here ends by its age.

        An engine that may still load keeps its permit, which then passes to the next
        holder or ends when the engine has arrived.
        """
        try:
            if self._has_permit and not self._may_load:
                await self._return_permit()
            step = self._keeper.release_step()
            if step.action is LeaseAction.WRITE:
                await self._write_lease(step)
        except StoreUnavailable as problem:
            log.warning("engine {}: rights are kept: {}", self._engine.id, problem)

    async def _return_permit(self) -> None:
        context = self._context
        for _ in range(MAX_CONFLICTS):
            read = await context.objects.read_allowance()
            rest = context.allowance.without(read.body, self._engine.id)
            if rest == read.body:
                return
            try:
                await context.objects.write_allowance(rest, read.version)
                return
            except VersionConflict:
                continue


def _holds(body: AllowanceBody, permit: Permit) -> bool:
    return any(
        one.engine == permit.engine
        and one.configuration_number >= permit.configuration_number
        for one in body.permits
    )
