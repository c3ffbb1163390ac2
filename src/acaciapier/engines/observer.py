"""Polls engines and records which ones differ from their wanted state."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

import trio

from ..core.clock import Clock, to_s
from ..core.ids import TargetId
from .allowance import PoolStatus
from .client import Engines
from .models import ControlLimits, EngineRecord, EngineState, WantedPools
from .ranking import Ranking

DELAY_PER_RANK_POLLS = 5
MAX_BACKUP_RANK = 2
BACKUP_POLL_INTERVAL_ROUNDS = 5


@dataclass
class EngineWatch:
    """Observed state of one engine.

    Parameters
    ----------
    record : EngineRecord
        The engine.
    rank : int
        Number of holders that act on the engine before this one.
    state : EngineState or None
        State it reported in the last poll, or None if it was unreachable.
    polled : bool
        Whether it has been polled.
    compared_configuration : int
        Number of the configuration that the state was compared with.
    differs_since_s : float or None
        Time since which the state has differed from the configuration, if it does.
    """

    record: EngineRecord
    rank: int
    state: EngineState | None = None
    polled: bool = False
    compared_configuration: int = 0
    differs_since_s: float | None = None

    @property
    def in_service(self) -> bool:
        """Return whether the engine serves, which is assumed until the first poll."""
        if not self.polled:
            return True
        return self.state is not None and not self.state.loading


class EngineObserver:
    """Polls the engines for which this holder has one of the first ranks.

    Parameters
    ----------
    engines : Engines
        Lists and calls the engines.
    pools : callable
        Returns the target pools in force with their configuration number.
    clock : Clock
        Source of the monotonic time.
    holder : str
        Name of this holder.
    limits : ControlLimits
        Intervals and limits.
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
        self._live_engines: Collection[EngineRecord] = ()
        self._controllers: Collection[str] = ()
        self._round = 0

    @property
    def holder_count(self) -> int:
        """Return the number of live holders, at least 1."""
        return max(1, len(self._controllers))

    async def poll(self) -> None:
        """Update the watched engines if the lists changed, then poll those due."""
        live, controllers = self._engines.live(), self._engines.controllers()
        if live is not self._live_engines or controllers is not self._controllers:
            self._live_engines, self._controllers = live, controllers
            await self._update_watches()
        limiter = trio.CapacityLimiter(self._limits.max_polls)
        async with trio.open_nursery() as nursery:
            for watch in self.watches.values():
                if self._is_poll_due(watch):
                    nursery.start_soon(self._poll_engine, watch, limiter)
        self._round += 1

    def pool_status(self, pool: str) -> PoolStatus:
        """Return the size of `pool` and which watched engines are out of service."""
        out = frozenset(
            key
            for key, watch in self.watches.items()
            if watch.record.pool == pool and not watch.in_service
        )
        return PoolStatus(pool, self._sizes[pool], out)

    def is_due(self, watch: EngineWatch) -> bool:
        """Return whether this holder acts on the engine now.

        It acts on an engine that differs, after a delay that grows with its rank, so
        that the holders ranked before it act first.
        """
        if watch.differs_since_s is None:
            return False
        delay_s = watch.rank * DELAY_PER_RANK_POLLS * to_s(self._limits.poll_ms)
        return self._clock.monotonic_s() - watch.differs_since_s >= delay_s

    def converged(self, configuration_number: int) -> set[TargetId]:
        """Return the engines that run what the given configuration wants."""
        return {
            key
            for key, watch in self.watches.items()
            if watch.state is not None
            and watch.differs_since_s is None
            and watch.compared_configuration == configuration_number
        }

    def needs_load(self, watch: EngineWatch) -> bool:
        """Return whether an engine needs other weights than those in memory."""
        wanted = self._pools().wanted_for(watch.record.pool)
        if wanted is None or watch.state is None:
            return False
        return watch.state.needs_load(wanted)

    async def _update_watches(self) -> None:
        records = {record.id: record for record in self._live_engines}
        for _ in self._ranking.follow(self._controllers, records):
            await trio.lowlevel.checkpoint()
        self._sizes = Counter(record.pool for record in records.values())
        watches = {}
        for key, record in records.items():
            rank = self._ranking.rank(key)
            if rank <= MAX_BACKUP_RANK:
                watches[key] = self._watch_for(record, rank)
        self.watches = watches

    def _watch_for(self, record: EngineRecord, rank: int) -> EngineWatch:
        existing = self.watches.get(record.id)
        if existing is None or existing.record != record:
            return EngineWatch(record, rank)
        existing.rank = rank
        return existing

    def _is_poll_due(self, watch: EngineWatch) -> bool:
        """Return whether to poll an engine in this round.

        The holder ranked first polls in every round, the backups less often.
        """
        return watch.rank == 0 or self._round % BACKUP_POLL_INTERVAL_ROUNDS == 0

    async def _poll_engine(
        self, watch: EngineWatch, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            watch.state = await self._engines.read_state(watch.record)
        watch.polled = True
        pools = self._pools()
        watch.compared_configuration = pools.configuration_number
        wanted = pools.wanted_for(watch.record.pool)
        if wanted is None or watch.state is None or watch.state.matches(wanted):
            watch.differs_since_s = None
        elif watch.differs_since_s is None:
            watch.differs_since_s = self._clock.monotonic_s()
