"""Table of the targets, merged from the list, peers and the targets' own words."""

from collections.abc import Iterable

import msgspec

from ..core.clock import Clock
from ..core.ids import PoolName, TargetId
from ..wire.messages.membership import TargetRecord, TargetState
from .digests import BucketDigests, hash_text

BUCKETS = 128
OFFER_GONE_S = 7_200.0
KEEP_GONE_S = 14_400.0


def precedence(record: TargetRecord) -> tuple:
    """Return the key by which the highest word about a target wins."""
    return msgspec.structs.astuple(record)[1:]


class TargetTable:
    """Newest word about every target.

    The highest incarnation wins, and within it the last state: live, leaving,
    gone. So a late "live" does not undo "leaving", and a restarted target, which
    has a higher incarnation, is used again.

    Parameters
    ----------
    clock : Clock
        Dates changes, to forget targets that went long ago.
    """

    def __init__(self, clock: Clock):
        self.revision = 0
        self._clock = clock
        self._records: dict[TargetId, TargetRecord] = {}
        self._gone_s: dict[TargetId, float] = {}
        self._not_offered: set[TargetId] = set()
        self._buckets: list[set[TargetId]] = [set() for _ in range(BUCKETS)]
        self._digests = BucketDigests()
        self._pools: dict[PoolName, set[TargetId]] = {}
        self._usable: dict[PoolName, tuple[TargetRecord, ...]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, target_id: TargetId) -> TargetRecord | None:
        """Return the newest word about a target."""
        return self._records.get(target_id)

    def records(self) -> Iterable[TargetRecord]:
        """Return all words, in no order."""
        return self._records.values()

    def usable(self, pool: PoolName) -> tuple[TargetRecord, ...]:
        """Return the live targets of a pool, ordered by id."""
        view = self._usable.get(pool)
        if view is None:
            records = (self._records[key] for key in self._pools.get(pool, ()))
            live = [r for r in records if r.state is TargetState.LIVE]
            view = tuple(sorted(live, key=lambda record: record.target_id))
            self._usable[pool] = view
        return view

    def merge(self, record: TargetRecord) -> bool:
        """Take `record` if it is newer; tell whether it changed the table."""
        target_id = TargetId(record.target_id)
        present = self._records.get(target_id)
        if present is not None:
            if precedence(present) >= precedence(record):
                return False
            self._remove(target_id, present)
        self._add(target_id, record)
        self.revision += 1
        return True

    def word(
        self, target_id: TargetId, incarnation: int, leaving: bool
    ) -> TargetRecord | None:
        """Return the record that a target's own word amounts to, if it is news.

        Parameters
        ----------
        target_id : TargetId
            Who spoke, in an answer.
        incarnation : int
            The incarnation that it named.
        leaving : bool
            Whether it said that it is leaving.
        """
        present = self._records.get(target_id)
        if present is None or incarnation < present.incarnation:
            return None
        state = TargetState.LEAVING if leaving else TargetState.LIVE
        if incarnation == present.incarnation and state <= present.state:
            return None
        return msgspec.structs.replace(present, incarnation=incarnation, state=state)

    def digests(self) -> tuple[int, ...]:
        """Return one digest of the offered words for each bucket."""
        return tuple(self._digests.get(bucket) for bucket in range(BUCKETS))

    def offered(self, buckets: Iterable[int]) -> tuple[TargetRecord, ...]:
        """Return the words in some buckets, for peers."""
        return tuple(
            self._records[target_id]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for target_id in self._buckets[bucket]
        )

    def expire(self) -> None:
        """Stop to offer, later forget, targets that went long ago."""
        now_s = self._clock.monotonic_s()
        for target_id, gone_s in list(self._gone_s.items()):
            age_s = now_s - gone_s
            if age_s > OFFER_GONE_S and target_id not in self._not_offered:
                self._withdraw(target_id, self._records[target_id])
                self._not_offered.add(target_id)
            if age_s > KEEP_GONE_S:
                self._remove(target_id, self._records.pop(target_id))
                self.revision += 1

    def _add(self, target_id: TargetId, record: TargetRecord) -> None:
        self._records[target_id] = record
        bucket = bucket_of(target_id)
        self._buckets[bucket].add(target_id)
        self._digests.toggle(bucket, record)
        self._pools.setdefault(PoolName(record.pool), set()).add(target_id)
        self._usable.pop(PoolName(record.pool), None)
        if record.state is TargetState.GONE:
            self._gone_s[target_id] = self._clock.monotonic_s()

    def _remove(self, target_id: TargetId, record: TargetRecord) -> None:
        if target_id in self._not_offered:
            self._not_offered.discard(target_id)
        else:
            self._withdraw(target_id, record)
        self._gone_s.pop(target_id, None)
        self._pools[PoolName(record.pool)].discard(target_id)
        self._usable.pop(PoolName(record.pool), None)

    def _withdraw(self, target_id: TargetId, record: TargetRecord) -> None:
        bucket = bucket_of(target_id)
        self._buckets[bucket].discard(target_id)
        self._digests.toggle(bucket, record)


def bucket_of(target_id: TargetId) -> int:
    """Return the bucket that a target's words are compared in."""
    return hash_text(target_id) % BUCKETS
