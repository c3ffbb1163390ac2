"""Watching the head in the object API on behalf of a region."""

from random import Random

import msgspec
import trio

from ..core.clock import Clock, to_ms, to_s
from ..exceptions import AcaciapierError, StoreUnavailable
from ..objects import Change
from ..wire.messages.configuration import ChangeRumour, NumberRumour
from .archive import Archive, ArchiveObjectMissing
from .catchup import catch_up
from .interfaces import PURPOSE, Rumours, Store, StoredValue
from .records import HEAD_KIND, HEAD_NAME, Head, from_value
from .replica import ConfigurationReplica

WATCH_WAIT_MS = 2_000
PUBLISH_STEP_MS = 50.0
"""Time by which each rank waits for the one before it to spread a change."""

MAX_RUMOUR_BYTES = 8 * 1024
MAX_GAP_READS = 3


class HeadReader:
    """Reads the head and brings the replica to it.

    Parameters
    ----------
    store : Store
        Client of the object API.
    replica : ConfigurationReplica
        This instance's copy.
    clock : Clock
        Measures the time of calls.
    random : Random
        Source of jitter.
    """

    def __init__(
        self,
        store: Store,
        replica: ConfigurationReplica,
        clock: Clock,
        random: Random,
    ):
        self._store = store
        self._replica = replica
        self._clock = clock
        self._archive = Archive(store, random)
        self._head_number = 0
        self._revision = 0

    async def read(self) -> None:
        """Read the head now, and the revision to watch from.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        for _ in range(MAX_GAP_READS):
            asked_s = self._clock.monotonic_s()
            listing = await self._store.list(HEAD_KIND, HEAD_NAME, purpose=PURPOSE)
            try:
                for stored in listing.items:
                    await self._take_in(stored, asked_s)
            except ArchiveObjectMissing:
                continue
            self._revision = listing.revision
            if not listing.items and self._replica.number == 0:
                self._replica.confirm(0, self._age_ms(asked_s))
            return
        raise StoreUnavailable("the configuration's archive is behind its head")

    async def watch(self) -> bool:
        """Wait a bounded time for the next change of the head.

        Silence confirms the head that was read before, unless the replica holds
        more: then the store answers from an older copy.

        Returns
        -------
        bool
            False if what came was no news, so that the caller should pause.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        asked_s = self._clock.monotonic_s()
        before = self._head_number
        answer = await self._store.watch(
            HEAD_KIND, self._revision, WATCH_WAIT_MS, purpose=PURPOSE
        )
        found = [one.object for one in answer.events if one.object.name == HEAD_NAME]
        answered_s = self._clock.monotonic_s()
        for stored in found:
            await self._take_in(stored, answered_s)
        self._revision = max(self._revision, answer.revision)
        if not found and self._head_number >= self._replica.number:
            age_ms = max(0.0, self._age_ms(asked_s) - WATCH_WAIT_MS)
            self._replica.confirm(self._head_number, age_ms)
        return not found or self._head_number > before

    async def _take_in(self, stored: StoredValue, asked_s: float) -> None:
        """Take in a head; one older than what is held confirms nothing."""
        if stored.value is None:
            return
        head = from_value(stored.value, Head)
        if head.number < self._replica.number:
            return
        await catch_up(self._replica, head, self._archive)
        self._head_number = max(self._head_number, head.number)
        self._replica.confirm(head.number, self._age_ms(asked_s))

    def _age_ms(self, moment_s: float) -> float:
        return to_ms(self._clock.monotonic_s() - moment_s)


class Publisher:
    """Spreads changes that a watcher saw, unless a lower rank did so before.

    Parameters
    ----------
    rumours : Rumours
        Reaches every instance.
    """

    def __init__(self, rumours: Rumours):
        self._rumours = rumours
        self._spread_number = 0

    def note_spread(self, number: int) -> None:
        """Remember that a rumour about this number is already going round."""
        self._spread_number = max(self._spread_number, number)

    async def publish_after(self, rank: int, changes: tuple[Change, ...]) -> None:
        """Publish the changes that nobody of a lower rank has published."""
        await trio.sleep(to_s(rank * PUBLISH_STEP_MS))
        for change in changes:
            if change.number <= self._spread_number:
                continue
            self.note_spread(change.number)
            if change.encoded_bytes <= MAX_RUMOUR_BYTES:
                self._rumours.publish(ChangeRumour(change))
            else:
                self._rumours.publish(NumberRumour(change.number))


RECOVERABLE = (AcaciapierError, msgspec.ValidationError)
"""Errors of a read that leave the replica as it is and are worth a retry."""
