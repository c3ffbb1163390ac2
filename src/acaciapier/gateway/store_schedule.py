"""When an instance calls the store, and for how long it waits for changes."""

import math
from collections.abc import Callable

import trio

from ..core.clock import Clock, to_s
from ..platform import configuration as configuration_format
from ..platform import workers as worker_format
from ..platform.evacuations import EVACUATION_KIND
from .catalogue import Catalogue
from .followers import StoreFollowers

WATCH_WAIT_MS = 3_000
"""Time for which the store may hold a watch open; longer watches save calls, each of
which is charged. A watch that an unresponsive store never answers is detected after
this time and that of a call. Even if it began in the last moment of an outage, this is
within the operators' limits: 3,000 ms until the store counts as stable, and 2,000 ms
until a version is in force or a leaving worker gets no more requests."""

FOLLOWER_WATCH_WAIT_MS = 1_500
"""The same for a follower in a large fleet. Peers that rely on it must learn sooner
that the store no longer answers it."""

RELYING_WATCH_WAIT_MS = 10_000
"""The same for the configuration, at an instance that relies on followers. Heartbeats
tell it about a newer one, which it then fetches from a peer if its watch is silent."""

WORKER_POLL_PERIOD_MS = 9_000.0
"""Period of polling the store for workers, at an instance that relies on followers. Two
polls fit into the 20 s of history that the store keeps."""

PEER_POLL_PERIOD_MS = 5_000.0
"""The same for the list of instances, of which heartbeats hand on nothing."""

POLL_PERIODS_MS = {
    worker_format.WORKER_KIND: WORKER_POLL_PERIOD_MS,
    worker_format.PEER_KIND: PEER_POLL_PERIOD_MS,
}

POLL_WAIT_MS = 50
"""Watch time of such a poll, which only reads changes that have happened already."""

FOLLOWER_CHECK_PERIOD_MS = 200.0
"""Period of checking whether enough followers reach the store: that of heartbeats."""

WORKER_CHANGES_PAUSE_MS = 250.0
"""Pause after a change of workers, so that further changes share the next call: an
eighth of the time after which a leaving worker must get no more requests."""

PEER_CHANGES_PAUSE_MS = 2_000.0
"""The same for instances. It is longer since the list only tells which instances exist;
heartbeats detect which of them are up."""

CONFIGURATION_CHANGES_PAUSE_MS = 700.0
"""The same for the configuration, at an instance that relies on followers. Each version
of a quick succession would cost each machine a call and a transfer. The pause ends
before the instance would fetch the version from a peer instead."""

SMALL_CONFIGURATION_BYTES = 65_536
"""Size up to which a configuration is paused for. A larger one takes a good part of the
time until it must be in force to cross a slow link."""

RETRY_DELAYS_MS = (100.0, 200.0, 400.0, 800.0)
"""Delays after consecutive failures of the store, jittered so that the instances of a
fleet do not retry at the same time."""

RELYING_RETRY_DELAYS_MS = (*RETRY_DELAYS_MS, 1_600.0, 2_500.0)
"""The same for instances that rely on followers, which find out sooner when the store
answers again. It is tried within the time after which it counts as stable."""


class StoreSchedule:
    """Decides when the next call for a kind of objects is due.

    Calls are charged and rate-limited for the whole fleet. In a large one only a few
    followers learn of each change at once; the others save calls.

    Parameters
    ----------
    followers : StoreFollowers
        Decides whether this instance follows the store itself.
    catalogue : Catalogue
        Configuration and workers that are known.
    clock : Clock
        Source of time.
    jitter : callable
        Returns a random factor around 1.
    """

    def __init__(
        self,
        followers: StoreFollowers,
        catalogue: Catalogue,
        clock: Clock,
        jitter: Callable[[], float],
    ):
        self._followers = followers
        self._catalogue = catalogue
        self._clock = clock
        self._jitter = jitter

    async def wait_until_due(self, kind: str, is_due: Callable[[], bool]) -> None:
        """Wait until the next poll is due or this instance must follow the store.

        The configuration is watched without a pause between watches. Evacuations are
        never polled: heartbeats carry all of them.
        """
        if kind == configuration_format.OBJECT_KIND:
            return
        must_follow = self._followers.should_follow
        period_ms = POLL_PERIODS_MS.get(kind, math.inf)
        if kind == EVACUATION_KIND:
            must_follow = self._followers.should_follow_evacuations
        end_s = self._clock.monotonic_s() + to_s(period_ms) * self._jitter()
        while not must_follow() and not is_due():
            if self._clock.monotonic_s() >= end_s:
                break
            await trio.sleep(to_s(FOLLOWER_CHECK_PERIOD_MS))

    def polls(self, kind: str) -> bool:
        """Return whether this instance only polls a kind and gets changes from peers.

        Old data does no harm then: an older position than the known one is ignored.
        """
        return (
            kind in (worker_format.WORKER_KIND, worker_format.PEER_KIND)
            and not self._followers.should_follow()
        )

    def watch_wait_ms(self, kind: str) -> int:
        """Return for how long the store may hold a watch of `kind` open."""
        if not self._followers.large_fleet:
            return WATCH_WAIT_MS
        if self._followers.should_follow() or kind == EVACUATION_KIND:
            return FOLLOWER_WATCH_WAIT_MS
        if kind == configuration_format.OBJECT_KIND:
            return RELYING_WATCH_WAIT_MS
        return POLL_WAIT_MS

    def pause_after_change_ms(self, kind: str) -> float:
        """Return the pause in which further changes of `kind` are gathered."""
        if kind == worker_format.WORKER_KIND:
            return WORKER_CHANGES_PAUSE_MS
        if kind == worker_format.PEER_KIND:
            return PEER_CHANGES_PAUSE_MS
        small = len(self._catalogue.configuration_source) <= SMALL_CONFIGURATION_BYTES
        if kind != configuration_format.OBJECT_KIND or not small:
            return 0.0
        if self._followers.should_follow():
            return 0.0
        return CONFIGURATION_CHANGES_PAUSE_MS

    def retry_delay_ms(self, failures: int) -> float:
        """Return the delay after so many consecutive failures before this one."""
        relies = self._catalogue.complete and self._followers.relies_on_others
        delays_ms = RELYING_RETRY_DELAYS_MS if relies else RETRY_DELAYS_MS
        return delays_ms[min(failures, len(delays_ms) - 1)]
