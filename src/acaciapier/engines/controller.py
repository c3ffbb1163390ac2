"""Compares wanted and present state of all engines and brings them together."""

from collections.abc import Callable
from random import Random

import trio

from ..core.clock import Clock, to_s
from ..core.ids import TargetId
from ..exceptions import StoreUnavailable, VersionConflict
from ..observability import get_logger
from ..store import ObjectStore
from .allowance import AllowanceBody, LoadAllowance, most_out_of_service
from .client import Engines
from .convergence import ControlContext, Convergence, ConvergenceResult
from .leases import LeaseKeeper
from .models import ControlLimits, Holder, WantedPools
from .objects import ControlObjects, ReadAllowance
from .observer import EngineObserver, EngineWatch
from .rollout import AttemptPacer, EngineStatus, choose_by_cap

log = get_logger("acaciapier.engines")

MIN_JITTER, MAX_JITTER = 0.75, 1.25


class EngineController:
    """Holds engines by lease and rolls the wanted state of pools out.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    pools : callable
        Returns the target pools in force with their configuration number.
    engines : Engines
        The live engines and how to reach them.
    clock : Clock
        Source of this holder's time.
    random : Random
        Source of jitter.
    holder : Holder
        This start of the controller.
    limits : ControlLimits, optional
        Times and limits.

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
            situation=self._observer.situation,
        )

    async def run(self) -> None:
        """Compare and order for ever; on cancellation give all rights back."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._observer.poll()
                self._forget_keepers()
                await self._start_convergences(nursery)
                pause_s = to_s(self._limits.poll_ms)
                jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
                await trio.sleep(pause_s * jitter)

    def _forget_keepers(self) -> None:
        """Drop what is known of leases whose engines are no longer watched."""
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
            chosen += await self._choose_loads(loads)
        for watch in chosen:
            self._busy.add(watch.record.id)
            nursery.start_soon(self._converge, watch)

    async def _choose_loads(self, due: list[EngineWatch]) -> list[EngineWatch]:
        """Return the engines that start to load now.

        An engine that has a permit already needs no room: its holder may be dead, and
        then its permit passes to whoever takes the lease over.
        """
        try:
            read = await self._objects.read_allowance()
        except StoreUnavailable as problem:
            log.warning("the load allowance cannot be read: {}", problem)
            return []
        self._allowance.observe(read.body)
        body = await self._drop_arrived(read)
        permitted = {permit.engine for permit in body.permits}
        chosen = [watch for watch in due if watch.record.id in permitted]
        due = [watch for watch in due if watch.record.id not in permitted]
        room = self._allowance.fleet_room(body)
        for pool in sorted({watch.record.pool for watch in due}):
            picked = self._choose_in_pool(pool, due, room, body)
            if picked and self._pacer.admits(len(picked), self._observer.holders):
                chosen += picked
                room -= len(picked)
        return chosen

    def _choose_in_pool(
        self, pool: str, due: list[EngineWatch], room: int, body: AllowanceBody
    ) -> list[EngineWatch]:
        watches = self._observer.watches
        due_ids = {watch.record.id for watch in due}
        loading = self._allowance.loading(body, pool)
        statuses = [
            EngineStatus(key, key in due_ids, watch.in_service and key not in loading)
            for key, watch in watches.items()
            if watch.record.pool == pool
        ]
        size = self._observer.situation(pool).size
        most = most_out_of_service(size, self._limits.pool_share_percent)
        chosen = choose_by_cap(statuses, room, most - len(loading - set(watches)))
        return [watches[key] for key in chosen]

    async def _drop_arrived(self, read: ReadAllowance) -> AllowanceBody:
        """Drop the permits that holders left behind; returns what is left."""
        number = self._context.pools().configuration_number
        arrived = self._observer.arrived(number) - self._busy
        rest = self._allowance.without_arrived(read.body, arrived, number)
        if rest == read.body:
            return rest
        try:
            await self._objects.write_allowance(rest, read.version)
        except (StoreUnavailable, VersionConflict) as problem:
            log.info("old permits are kept for now: {}", problem)
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
            log.info("engine {}: {}", key, result.value)
            if result is ConvergenceResult.REACHED:
                watch.differs_since_s = None
            elif result is ConvergenceResult.NO_PERMIT:
                self._pacer.slow_down()
        finally:
            self._busy.discard(key)
