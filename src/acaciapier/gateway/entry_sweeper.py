"""Removal of the entries of dead instances from the platform's store."""

from collections.abc import Callable, Iterable

import trio

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import StoreError
from ..platform import workers as worker_format
from ..platform.store import PlatformStore
from .models import PeerRecord, StorePosition
from .peers import Peers

SWEEPER_COUNT = 2
"""Instances that remove the entry of a dead one: the first in rank, and one more."""

DEAD_AFTER_MS = 12_000.0
"""Time after which an unreachable instance is removed from the list: longer than a
restart, a process freeze or a network partition usually lasts."""

SWEEP_PERIOD_MS = 2_000.0
"""Period of checking for entries of dead instances."""


class EntrySweeper:
    """Removes the entries of instances that have been down for `DEAD_AFTER_MS`.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    peers : Peers
        Tells which instances are up.
    own : InstanceId
        This instance.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor around 1.
    log : callable
        Called with an event name and its fields.
    entries : callable
        Returns the entries of all instances with their positions in the store.
    reachable : callable
        Returns whether the store answers.
    """

    def __init__(
        self,
        store: PlatformStore,
        peers: Peers,
        own: InstanceId,
        clock: Clock,
        jitter: Callable[[], float],
        log: Callable[..., None],
        entries: Callable[[], Iterable[tuple[StorePosition, PeerRecord]]],
        reachable: Callable[[], bool],
    ):
        self.stopping = False
        self._store = store
        self._peers = peers
        self._own = own
        self._clock = clock
        self._jitter = jitter
        self._log = log
        self._entries = entries
        self._reachable = reachable

    async def run(self) -> None:
        """Remove entries until cancelled."""
        down_since_s: dict[InstanceId, float] = {}
        while True:
            await trio.sleep(to_s(SWEEP_PERIOD_MS) * self._jitter())
            now_s = self._clock.monotonic_s()
            for position, record in list(self._entries()):
                name = record.instance
                if name == self._own or self._peers.is_up(name):
                    down_since_s.pop(name, None)
                    continue
                since_s = down_since_s.setdefault(name, now_s)
                if now_s - since_s < to_s(DEAD_AFTER_MS) or not self._reachable():
                    continue
                if not self._removes_entry_of(name):
                    continue
                down_since_s.pop(name, None)
                try:
                    await self._store.delete(worker_format.PEER_KIND, name, position)
                    self._log("entry_of_dead_peer_removed", peer=name)
                except StoreError as error:
                    self._log("entry_not_removed", peer=name, reason=str(error))

    def _removes_entry_of(self, name: InstanceId) -> bool:
        """Return whether this instance removes the entry of a dead one.

        In a large fleet only its neighbours observe an instance.
        """
        if self._peers.large_fleet:
            return name in self._peers.neighbours()
        sweepers = self._peers.rank(name, not self.stopping)[:SWEEPER_COUNT]
        return self._own in sweepers
