"""Compares wanted and present state of all engines and brings them together."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio

from ..core.clock import Clock, to_s
from ..core.ids import TargetId
from ..exceptions import StoreUnavailable, VersionConflict
from ..observability import get_logger
from ..store import ObjectStore
from .allowance import AllowanceBody, LoadAllowance, PoolSituation
from .client import Engines
from .convergence import ControlContext, Convergence, ConvergenceResult
from .leases import LeaseKeeper
from .models import ControlLimits, EngineRecord, EngineState, Holder, WantedPools
from .objects import ControlObjects, ReadAllowance
from .rollout import EngineStatus, choose_by_cap, rank_of

log = get_logger("acaciapier.engines")

RANK_DELAY_POLLS = 5
MIN_JITTER, MAX_JITTER = 0.75, 1.25


@dataclass
class EngineWatch:
    """What this controller knows about one engine."""

    record: EngineRecord
    state: EngineState | None = None
    polled: bool = False
    differs_since_s: float | None = None
    last_result: ConvergenceResult | None = None


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
        self._pools = pools
        self._engines = engines
        self._clock = clock
        self._random = random
        self._holder = holder
        self._limits = limits or ControlLimits()
        self._objects = ControlObjects(store)
        self._allowance = LoadAllowance(self._limits, clock)
        self._watches: dict[TargetId, EngineWatch] = {}
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
            situation=self._situation,
        )

    @property
    def watches(self) -> dict[TargetId, EngineWatch]:
        """What this controller knows about each live engine."""
        return dict(self._watches)

    async def run(self) -> None:
        """Compare and order for ever; on cancellation give all rights back."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._poll_all()
                await self._start_convergences(nursery)
                pause_s = to_s(self._limits.poll_ms)
                jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
                await trio.sleep(pause_s * jitter)

    # -- comparing -----------------------------------------------------------

    async def _poll_all(self) -> None:
        live = {one.id: one for one in self._engines.live()}
        self._watches = {key: self._watch_of(record) for key, record in live.items()}
        self._keepers = {k: v for k, v in self._keepers.items() if k in live}
        limiter = trio.CapacityLimiter(self._limits.max_polls)
        async with trio.open_nursery() as nursery:
            for watch in self._watches.values():
                nursery.start_soon(self._poll, watch, limiter)

    def _watch_of(self, record: EngineRecord) -> EngineWatch:
        known = self._watches.get(record.id)
        if known is None or known.record != record:
            return EngineWatch(record)
        return known

    async def _poll(self, watch: EngineWatch, limiter: trio.CapacityLimiter) -> None:
        async with limiter:
            watch.state = await self._engines.read_state(watch.record)
        watch.polled = True
        wanted = self._pools().wanted_for(watch.record.pool)
        if wanted is None or watch.state is None or watch.state.matches(wanted):
            watch.differs_since_s = None
        elif watch.differs_since_s is None:
            watch.differs_since_s = self._clock.monotonic_s()

    def _situation(self, pool: str) -> PoolSituation:
        watches = [one for one in self._watches.values() if one.record.pool == pool]
        out = frozenset(one.record.id for one in watches if not _in_service(one))
        return PoolSituation(pool, len(watches), out)

    # -- ordering ------------------------------------------------------------

    async def _start_convergences(self, nursery: trio.Nursery) -> None:
        due = [watch for watch in self._watches.values() if self._is_due(watch)]
        if not due:
            return
        room = await self._fleet_room()
        for pool in sorted({watch.record.pool for watch in due}):
            chosen = self._choose(pool, due, room)
            room -= len(chosen)
            for watch in chosen:
                self._busy.add(watch.record.id)
                nursery.start_soon(self._converge, watch)
        for watch in due:
            if not self._needs_load(watch) and watch.record.id not in self._busy:
                self._busy.add(watch.record.id)
                nursery.start_soon(self._converge, watch)

    async def _fleet_room(self) -> int:
        try:
            read = await self._objects.read_allowance()
        except StoreUnavailable as problem:
            log.warning("the load allowance cannot be read: {}", problem)
            return 0
        self._allowance.observe(read.body)
        body = await self._drop_arrived(read)
        return self._allowance.fleet_room(body)

    async def _drop_arrived(self, read: ReadAllowance) -> AllowanceBody:
        """Drop the permits that holders left behind; returns what is left."""
        arrived = {
            key
            for key, watch in self._watches.items()
            if watch.state is not None
            and watch.differs_since_s is None
            and key not in self._busy
        }
        rest = self._allowance.without_arrived(read.body, arrived)
        if rest == read.body:
            return rest
        try:
            await self._objects.write_allowance(rest, read.version)
        except (StoreUnavailable, VersionConflict) as problem:
            log.info("old permits are kept for now: {}", problem)
            return read.body
        return rest

    def _choose(
        self, pool: str, due: list[EngineWatch], room: int
    ) -> list[EngineWatch]:
        """Return the engines of `pool` that start to load now."""
        due_ids = {watch.record.id for watch in due}
        statuses = [
            EngineStatus(
                key, key in due_ids and self._needs_load(watch), _in_service(watch)
            )
            for key, watch in self._watches.items()
            if watch.record.pool == pool
        ]
        chosen = choose_by_cap(statuses, room, self._limits.pool_share_percent)
        return [self._watches[key] for key in chosen]

    def _is_due(self, watch: EngineWatch) -> bool:
        """Return whether this holder shall act on an engine that differs."""
        if watch.differs_since_s is None or watch.record.id in self._busy:
            return False
        rank = rank_of(self._holder.name, watch.record.id, self._engines.controllers())
        delay_s = rank * RANK_DELAY_POLLS * to_s(self._limits.poll_ms)
        return self._clock.monotonic_s() - watch.differs_since_s >= delay_s

    def _needs_load(self, watch: EngineWatch) -> bool:
        wanted = self._pools().wanted_for(watch.record.pool)
        if wanted is None or watch.state is None:
            return False
        return watch.state.needs_load(wanted)

    async def _converge(self, watch: EngineWatch) -> None:
        key = watch.record.id
        keeper = self._keepers.get(key)
        if keeper is None:
            keeper = LeaseKeeper(self._holder, self._limits, self._clock)
            self._keepers[key] = keeper
        keeper.forget_version()
        try:
            convergence = Convergence(self._context, watch.record, keeper)
            watch.last_result = await convergence.run()
            log.info("engine {}: {}", key, watch.last_result.value)
        finally:
            self._busy.discard(key)


def _in_service(watch: EngineWatch) -> bool:
    return watch.state is not None and not watch.state.loading
