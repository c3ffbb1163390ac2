"""Asks the engines of this holder what they run, and notes which ones differ."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

import trio

from ..core.clock import Clock, to_s
from ..core.ids import TargetId
from .allowance import PoolSituation
from .client import Engines
from .models import ControlLimits, EngineRecord, EngineState, WantedPools
from .ranking import Ranking

RANK_DELAY_POLLS = 5
BACKUP_RANKS = 2
BACKUP_POLL_EVERY = 5


@dataclass
class EngineWatch:
    """What this holder knows about one engine.

    Parameters
    ----------
    record : EngineRecord
        The engine.
    rank : int
        How many holders come before this one.
    state : EngineState or None
        What it reported; None if it could not be reached.
    polled : bool
        Whether it was asked yet.
    compared_with : int
        Configuration number that the state was compared with.
    differs_since_s : float or None
        When it was first seen to differ from that configuration.
    """

    record: EngineRecord
    rank: int
    state: EngineState | None = None
    polled: bool = False
    compared_with: int = 0
    differs_since_s: float | None = None

    @property
    def in_service(self) -> bool:
        """Return whether the engine serves; one that was not asked yet counts so."""
        if not self.polled:
            return True
        return self.state is not None and not self.state.loading


class EngineObserver:
    """Keeps watch over the engines for which this holder is among the first.

    Parameters
    ----------
    engines : Engines
        The live engines and how to reach them.
    pools : callable
        Returns the target pools in force with their configuration number.
    clock : Clock
        Source of this holder's time.
    holder : str
        Name of this holder.
    limits : ControlLimits
        Times and limits.
    """

    def __init__(
        self,
        engines: Engines,
        pools: Callable[[], WantedPools],
        clock: Clock,
        holder: str,
        limits: ControlLimits,
    ):
        self.watches: dict[TargetId, EngineWatch] = {}
        self._engines = engines
        self._pools = pools
        self._clock = clock
        self._limits = limits
        self._ranking = Ranking(holder)
        self._sizes: Counter[str] = Counter()
        self._live: Collection[EngineRecord] = ()
        self._controllers: Collection[str] = ()
        self._rounds = 0

    @property
    def holders(self) -> int:
        """Return how many holders share the engines, this one included."""
        return max(1, len(self._controllers))

    async def poll(self) -> None:
        """Follow the lists, then ask the engines whose turn it is."""
        live, controllers = self._engines.live(), self._engines.controllers()
        if live is not self._live or controllers is not self._controllers:
            self._live, self._controllers = live, controllers
            await self._follow_lists()
        limiter = trio.CapacityLimiter(self._limits.max_polls)
        async with trio.open_nursery() as nursery:
            for watch in self.watches.values():
                if self._is_polled(watch):
                    nursery.start_soon(self._ask, watch, limiter)
        self._rounds += 1

    def situation(self, pool: str) -> PoolSituation:
        """Return the size of `pool` and which watched engines are out of service."""
        out = frozenset(
            key
            for key, watch in self.watches.items()
            if watch.record.pool == pool and not watch.in_service
        )
        return PoolSituation(pool, self._sizes[pool], out)

    def is_due(self, watch: EngineWatch) -> bool:
        """Return whether this holder shall act on an engine that differs."""
        if watch.differs_since_s is None:
            return False
        delay_s = watch.rank * RANK_DELAY_POLLS * to_s(self._limits.poll_ms)
        return self._clock.monotonic_s() - watch.differs_since_s >= delay_s

    def arrived(self, configuration_number: int) -> set[TargetId]:
        """Return the engines that were seen to run what that configuration wants."""
        return {
            key
            for key, watch in self.watches.items()
            if watch.state is not None
            and watch.differs_since_s is None
            and watch.compared_with == configuration_number
        }

    def needs_load(self, watch: EngineWatch) -> bool:
        """Return whether an engine needs other weights than it has in memory."""
        wanted = self._pools().wanted_for(watch.record.pool)
        if wanted is None or watch.state is None:
            return False
        return watch.state.needs_load(wanted)

    async def _follow_lists(self) -> None:
        records = {record.id: record for record in self._live}
        for _ in self._ranking.follow(self._controllers, records):
            await trio.lowlevel.checkpoint()
        self._sizes = Counter(record.pool for record in records.values())
        watches = {}
        for key, record in records.items():
            rank = self._ranking.rank(key)
            if rank <= BACKUP_RANKS:
                watches[key] = self._watch_of(record, rank)
        self.watches = watches

    def _watch_of(self, record: EngineRecord, rank: int) -> EngineWatch:
        known = self.watches.get(record.id)
        if known is None or known.record != record:
            return EngineWatch(record, rank)
        known.rank = rank
        return known

    def _is_polled(self, watch: EngineWatch) -> bool:
        """Return whether to ask an engine now: often as the first, else seldom."""
        return watch.rank == 0 or self._rounds % BACKUP_POLL_EVERY == 0

    async def _ask(self, watch: EngineWatch, limiter: trio.CapacityLimiter) -> None:
        async with limiter:
            watch.state = await self._engines.read_state(watch.record)
        watch.polled = True
        pools = self._pools()
        watch.compared_with = pools.configuration_number
        wanted = pools.wanted_for(watch.record.pool)
        if wanted is None or watch.state is None or watch.state.matches(wanted):
            watch.differs_since_s = None
        elif watch.differs_since_s is None:
            watch.differs_since_s = self._clock.monotonic_s()
