"""Table of the targets, merged from the instance list, peers and target reports."""

from collections.abc import Iterable

import msgspec

from ..core.clock import Clock
from ..core.ids import PoolName, TargetId
from ..wire.messages.membership import TargetRecord, TargetState
from .digests import BucketDigests, hash_text

BUCKET_COUNT = 128
TOMBSTONE_SYNC_S = 7_200.0
TOMBSTONE_RETENTION_S = 14_400.0


def precedence(record: TargetRecord) -> tuple:
    """Return the sort key of `record`; the record with the highest key wins."""
    return msgspec.structs.astuple(record)[1:]


class TargetTable:
    """The newest record of every target.

    The highest incarnation wins, and within an incarnation the last state in the
    order live, leaving, gone. So a late "live" does not undo "leaving", and a
    restarted target, which has a higher incarnation, is used again. Records of gone
    targets are kept as tombstones for a while.

    Parameters
    ----------
    clock : Clock
        Source of time, for the expiry of tombstones.
    """

    def __init__(self, clock: Clock):
        self.revision = 0
        self._clock = clock
        self._records: dict[TargetId, TargetRecord] = {}
        self._gone_s: dict[TargetId, float] = {}
        self._not_synced: set[TargetId] = set()
        self._buckets: list[set[TargetId]] = [set() for _ in range(BUCKET_COUNT)]
        self._digests = BucketDigests()
        self._pools: dict[PoolName, set[TargetId]] = {}
        self._usable: dict[PoolName, tuple[TargetRecord, ...]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, target_id: TargetId) -> TargetRecord | None:
        """Return the newest record of a target."""
        return self._records.get(target_id)

    def records(self) -> Iterable[TargetRecord]:
        """Return all records, in no particular order."""
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
        """Store `record` if it is newer; return whether it changed the table."""
        target_id = TargetId(record.target_id)
        current = self._records.get(target_id)
        if current is not None:
            if precedence(current) >= precedence(record):
                return False
            self._remove(target_id, current)
        self._add(target_id, record)
        self.revision += 1
        return True

    def record_from_report(
        self, target_id: TargetId, incarnation: int, leaving: bool
    ) -> TargetRecord | None:
        """Convert the report of a target to a record.

        The result is None if the target is unknown or the report is not newer than
        the table.

        Parameters
        ----------
        target_id : TargetId
            Target that reported its state in an answer.
        incarnation : int
            Incarnation in the report.
        leaving : bool
            Whether the target reported that it is leaving.
        """
        current = self._records.get(target_id)
        if current is None or incarnation < current.incarnation:
            return None
        state = TargetState.LEAVING if leaving else TargetState.LIVE
        if incarnation == current.incarnation and state <= current.state:
            return None
        return msgspec.structs.replace(current, incarnation=incarnation, state=state)

    def digests(self) -> tuple[int, ...]:
        """Return a digest for each bucket of its records to synchronize."""
        return tuple(self._digests.get(bucket) for bucket in range(BUCKET_COUNT))

    def records_to_sync(self, buckets: Iterable[int]) -> tuple[TargetRecord, ...]:
        """Return the records of some buckets that are synchronized with peers."""
        return tuple(
            self._records[target_id]
            for bucket in buckets
            if 0 <= bucket < BUCKET_COUNT
            for target_id in self._buckets[bucket]
        )

    def expire(self) -> None:
        """Expire tombstones: first stop synchronizing them, later remove them."""
        now_s = self._clock.monotonic_s()
        for target_id, gone_s in list(self._gone_s.items()):
            age_s = now_s - gone_s
            if age_s > TOMBSTONE_SYNC_S and target_id not in self._not_synced:
                self._remove_from_sync(target_id, self._records[target_id])
                self._not_synced.add(target_id)
            if age_s > TOMBSTONE_RETENTION_S:
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
        if target_id in self._not_synced:
            self._not_synced.discard(target_id)
        else:
            self._remove_from_sync(target_id, record)
        self._gone_s.pop(target_id, None)
        self._pools[PoolName(record.pool)].discard(target_id)
        self._usable.pop(PoolName(record.pool), None)

    def _remove_from_sync(self, target_id: TargetId, record: TargetRecord) -> None:
        bucket = bucket_of(target_id)
        self._buckets[bucket].discard(target_id)
        self._digests.toggle(bucket, record)


def bucket_of(target_id: TargetId) -> int:
    """Return the synchronization bucket of a target."""
    return hash_text(target_id) % BUCKET_COUNT
