"""Reconciles the engines with the wanted state of their pools."""

from collections.abc import Callable
from random import Random

import trio

from ..core.clock import Clock, to_s
from ..core.ids import TargetId
from ..exceptions import StoreUnavailable, VersionConflict
from ..observability import get_logger
from ..store import ObjectStore
from .allowance import AllowanceBody, LoadAllowance, max_out_of_service
from .client import Engines
from .convergence import ControlContext, Convergence, ConvergenceResult
from .leases import LeaseKeeper
from .models import ControlLimits, Holder, WantedPools
from .objects import ControlObjects, VersionedAllowance
from .observer import EngineObserver, EngineWatch
from .rollout import AttemptPacer, EngineStatus, choose_by_cap

log = get_logger("acaciapier.engines")

MIN_JITTER, MAX_JITTER = 0.75, 1.25


class EngineController:
    """Rolls the wanted state of pools out to their engines, each under a lease.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    pools : callable
        Returns the target pools in force with their configuration number.
    engines : Engines
        Lists and calls the engines.
    clock : Clock
        Source of the monotonic time.
    random : Random
        Source of jitter.
    holder : Holder
        Identity of this controller process in leases and permits.
    limits : ControlLimits, optional
        Intervals and limits.

    Examples
    --------
    >>> controller = EngineController(
    ...     store, pools, HttpEngines(live, names), clock, random, holder
    ... )
    >>> await controller.run()
    """

    def __init__(
        self,
        store: ObjectStore,
        pools: Callable[[], WantedPools],
        engines: Engines,
        clock: Clock,
        random: Random,
        holder: Holder,
        limits: ControlLimits | None = None,
    ):
        self._random = random
        self._limits = limits or ControlLimits()
        self._clock = clock
        self._holder = holder
        self._objects = ControlObjects(store)
        self._allowance = LoadAllowance(self._limits, clock)
        self._observer = EngineObserver(
            engines, pools, clock, holder.name, self._limits
        )
        self._pacer = AttemptPacer(random)
        self._keepers: dict[TargetId, LeaseKeeper] = {}
        self._busy: set[TargetId] = set()
        self._context = ControlContext(
            holder=holder,
            objects=self._objects,
            engines=engines,
            allowance=self._allowance,
            limits=self._limits,
            clock=clock,
            pools=pools,
            pool_status=self._observer.pool_status,
        )

    async def run(self) -> None:
        """Poll and update engines until cancelled, then release leases and permits."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._observer.poll()
                self._remove_unused_keepers()
                await self._start_convergences(nursery)
                pause_s = to_s(self._limits.poll_ms)
                jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
                await trio.sleep(pause_s * jitter)

    def _remove_unused_keepers(self) -> None:
        """Remove the keepers of engines that are no longer watched."""
        for key in set(self._keepers) - set(self._observer.watches) - self._busy:
            del self._keepers[key]

    async def _start_convergences(self, nursery: trio.Nursery) -> None:
        due = [
            watch
            for key, watch in self._observer.watches.items()
            if key not in self._busy and self._observer.is_due(watch)
        ]
        if not due:
            return
        loads = [watch for watch in due if self._observer.needs_load(watch)]
        chosen = [watch for watch in due if not self._observer.needs_load(watch)]
        if loads:
            chosen += await self._select_loads(loads)
        for watch in chosen:
            self._busy.add(watch.record.id)
            nursery.start_soon(self._converge, watch)

    async def _select_loads(self, due: list[EngineWatch]) -> list[EngineWatch]:
        """Return the engines that start to load now.

        An engine that already has a permit is always selected: if the permit's holder
        is dead, the next holder of the lease takes the permit over.
        """
        try:
            read = await self._objects.read_allowance()
        except StoreUnavailable as error:
            log.warning("cannot read the load allowance: {}", error)
            return []
        self._allowance.observe(read.body)
        body = await self._remove_converged_permits(read)
        permitted = {permit.engine for permit in body.permits}
        chosen = [watch for watch in due if watch.record.id in permitted]
        due = [watch for watch in due if watch.record.id not in permitted]
        remaining = self._allowance.remaining_loads(body)
        for pool in sorted({watch.record.pool for watch in due}):
            selected = self._select_in_pool(pool, due, remaining, body)
            if selected and self._pacer.should_attempt(
                len(selected), self._observer.holder_count
            ):
                chosen += selected
                remaining -= len(selected)
        return chosen

    def _select_in_pool(
        self, pool: str, due: list[EngineWatch], remaining: int, body: AllowanceBody
    ) -> list[EngineWatch]:
        watches = self._observer.watches
        due_ids = {watch.record.id for watch in due}
        loading = self._allowance.loading(body, pool)
        statuses = [
            EngineStatus(key, key in due_ids, watch.in_service and key not in loading)
            for key, watch in watches.items()
            if watch.record.pool == pool
        ]
        size = self._observer.pool_status(pool).size
        max_out = max_out_of_service(size, self._limits.pool_share_percent)
        chosen = choose_by_cap(
            statuses, remaining, max_out - len(loading - set(watches))
        )
        return [watches[key] for key in chosen]

    async def _remove_converged_permits(
        self, read: VersionedAllowance
    ) -> AllowanceBody:
        """Remove leftover permits of converged engines; return the remaining value."""
        number = self._context.pools().configuration_number
        converged = self._observer.converged(number) - self._busy
        rest = self._allowance.without_converged(read.body, converged, number)
        if rest == read.body:
            return rest
        try:
            await self._objects.write_allowance(rest, read.version)
        except (StoreUnavailable, VersionConflict) as error:
            log.info("could not remove old permits, will retry: {}", error)
            return read.body
        return rest

    async def _converge(self, watch: EngineWatch) -> None:
        key = watch.record.id
        keeper = self._keepers.get(key)
        if keeper is None:
            keeper = LeaseKeeper(self._holder, self._limits, self._clock)
            self._keepers[key] = keeper
        keeper.forget_version()
        try:
            result = await Convergence(self._context, watch.record, keeper).run()
            log.info("convergence of engine {} ended: {}", key, result.value)
            if result is ConvergenceResult.REACHED:
                watch.differs_since_s = None
            elif result is ConvergenceResult.NO_PERMIT:
                self._pacer.record_refusal()
        finally:
            self._busy.discard(key)
