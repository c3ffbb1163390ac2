"""Watches the head in the object API and publishes new changes to other instances."""

from random import Random

import msgspec
import trio

from ..core.clock import Clock, to_ms, to_s
from ..exceptions import AcaciapierError, StoreUnavailable
from ..objects import Change
from ..wire.messages.configuration import ChangeGossip, NumberGossip
from .archive import Archive, ArchiveObjectMissing
from .catchup import catch_up
from .interfaces import PURPOSE, Gossip, Store, StoredValue
from .records import HEAD_KIND, HEAD_NAME, Head, from_value
from .replica import ConfigurationReplica

WATCH_WAIT_MS = 2_000
PUBLISH_DELAY_PER_RANK_MS = 50.0
"""Additional delay per rank, in which a lower rank can publish a change first."""

MAX_GOSSIP_BYTES = 8 * 1024
MAX_HEAD_READS = 3


class HeadReader:
    """Reads and watches the head, and brings the replica up to it.

    Parameters
    ----------
    store : Store
        Client of the object API.
    replica : ConfigurationReplica
        This instance's copy.
    clock : Clock
        Measures the duration of calls.
    random : Random
        Source of randomness for the archive.
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
        """Read the head, and the revision from which to watch it.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        for _ in range(MAX_HEAD_READS):
            sent_s = self._clock.monotonic_s()
            listing = await self._store.list(HEAD_KIND, HEAD_NAME, purpose=PURPOSE)
            try:
                for stored in listing.items:
                    await self._apply_head(stored, sent_s)
            except ArchiveObjectMissing:
                continue
            self._revision = listing.revision
            if not listing.items and self._replica.number == 0:
                self._replica.confirm(0, self._elapsed_ms(sent_s))
            return
        raise StoreUnavailable("the configuration's archive is behind its head")

    async def watch(self) -> bool:
        """Wait a bounded time for the next change of the head.

        A watch without events confirms the head that was read before. It confirms
        nothing if the replica is ahead of that head, since the store then answers
        from a stale copy.

        Returns
        -------
        bool
            False if events arrived without a newer head; the caller should then
            pause before the next watch.

        Raises
        ------
        StoreUnavailable
            If the store did not answer.
        """
        sent_s = self._clock.monotonic_s()
        previous_number = self._head_number
        answer = await self._store.watch(
            HEAD_KIND, self._revision, WATCH_WAIT_MS, purpose=PURPOSE
        )
        found = [
            event.object for event in answer.events if event.object.name == HEAD_NAME
        ]
        received_s = self._clock.monotonic_s()
        for stored in found:
            await self._apply_head(stored, received_s)
        self._revision = max(self._revision, answer.revision)
        if not found and self._head_number >= self._replica.number:
            age_ms = max(0.0, self._elapsed_ms(sent_s) - WATCH_WAIT_MS)
            self._replica.confirm(self._head_number, age_ms)
        return not found or self._head_number > previous_number

    async def _apply_head(self, stored: StoredValue, sent_s: float) -> None:
        """Bring the replica up to a head; ignore a head older than the replica."""
        if stored.value is None:
            return
        head = from_value(stored.value, Head)
        if head.number < self._replica.number:
            return
        await catch_up(self._replica, head, self._archive)
        self._head_number = max(self._head_number, head.number)
        self._replica.confirm(head.number, self._elapsed_ms(sent_s))

    def _elapsed_ms(self, start_s: float) -> float:
        return to_ms(self._clock.monotonic_s() - start_s)


class ChangePublisher:
    """Publishes new changes by gossip, unless a lower rank has done so already.

    Parameters
    ----------
    gossip : Gossip
        Broadcasts to every instance.
    """

    def __init__(self, gossip: Gossip):
        self._gossip = gossip
        self._published_number = 0

    def record_published(self, number: int) -> None:
        """Record that the change with this number is already published."""
        self._published_number = max(self._published_number, number)

    async def publish_after(self, rank: int, changes: tuple[Change, ...]) -> None:
        """Publish the changes that no instance of a lower rank has published."""
        await trio.sleep(to_s(rank * PUBLISH_DELAY_PER_RANK_MS))
        for change in changes:
            if change.number <= self._published_number:
                continue
            self.record_published(change.number)
            if change.encoded_bytes <= MAX_GOSSIP_BYTES:
                self._gossip.publish(ChangeGossip(change))
            else:
                self._gossip.publish(NumberGossip(change.number))


RECOVERABLE_ERRORS = (AcaciapierError, msgspec.ValidationError)
"""Errors of a read that leave the replica consistent and can be retried."""
