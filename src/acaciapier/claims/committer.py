"""Group commit of one partition's claims by conditional update."""

from collections import OrderedDict
from random import Random

import trio

from ..core.clock import Clock, to_s
from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from ..store import Purpose
from ..wire.messages.claims import CommitAnswer, CommitVerdict, Settlement
from .bucket import CachedBucket, ClaimBucket, Insertion
from .interfaces import ClaimStore
from .partition import CLAIM_KIND, bucket_name

COMMIT_INTERVAL_MS = 100.0
SETTLE_DELAY_MS = 3_000.0
RETRY_DELAY_MS = 20.0
MAX_CACHED_BUCKETS = 32
MAX_PENDING_SETTLEMENTS = 50_000


class _PendingInsertion:
    """An insertion that waits for its commit."""

    def __init__(self, insertion: Insertion, expires_s: float):
        self.insertion = insertion
        self.expires_s = expires_s
        self.answer: CommitAnswer | None = None
        self.answered = trio.Event()

    def resolve(self, answer: CommitAnswer) -> None:
        if self.answer is None:
            self.answer = answer
            self.answered.set()


class PartitionCommitter:
    """Collects the operations on one partition and commits them in groups.

    At most one commit starts per `COMMIT_INTERVAL_MS`; the first one after an idle
    period starts immediately. Settlements are written together with the next
    insertion into the same bucket, or separately after `SETTLE_DELAY_MS`.

    Parameters
    ----------
    partition : int
        Number of the partition.
    store : ClaimStore
        The object API.
    clock : Clock
        Source of the monotonic time.
    random : Random
        Source of the jitter of retry delays.
    """

    def __init__(self, partition: int, store: ClaimStore, clock: Clock, random: Random):
        self._partition = partition
        self._store = store
        self._clock = clock
        self._random = random
        self._cached: OrderedDict[int, CachedBucket] = OrderedDict()
        self._pending: OrderedDict[int, list[_PendingInsertion]] = OrderedDict()
        self._settlements: OrderedDict[int, dict[str, Settlement]] = OrderedDict()
        self._settlements_due_s: dict[int, float] = {}
        self._next_commit_s = 0.0
        self._work_added = trio.Event()

    async def insert(
        self, bucket: int, insertion: Insertion, timeout_ms: float
    ) -> CommitAnswer:
        """Commit a claim with the next group of its bucket and return the answer.

        The answer is UNAVAILABLE if the commit is not confirmed in time.
        """
        expires_s = self._clock.monotonic_s() + to_s(timeout_ms)
        pending = _PendingInsertion(insertion, expires_s)
        self._pending.setdefault(bucket, []).append(pending)
        self._work_added.set()
        with trio.move_on_after(to_s(timeout_ms)):
            await pending.answered.wait()
        pending.resolve(self._unavailable_answer())
        return pending.answer

    def settle(self, bucket: int, settlement: Settlement) -> None:
        """Queue an outcome to be written.

        Beyond `MAX_PENDING_SETTLEMENTS`, all settlements of the bucket that was
        queued first are discarded.
        """
        settlements = self._settlements.setdefault(bucket, {})
        settlements[settlement.nonce] = settlement
        now_s = self._clock.monotonic_s()
        self._settlements_due_s.setdefault(bucket, now_s + to_s(SETTLE_DELAY_MS))
        if sum(map(len, self._settlements.values())) > MAX_PENDING_SETTLEMENTS:
            discarded_bucket, _ = self._settlements.popitem(last=False)
            self._settlements_due_s.pop(discarded_bucket, None)
        self._work_added.set()

    async def run(self) -> None:
        """Commit groups until cancelled."""
        while True:
            bucket = await self._next_bucket()
            await trio.sleep(max(0.0, self._next_commit_s - self._clock.monotonic_s()))
            interval_s = to_s(COMMIT_INTERVAL_MS)
            self._next_commit_s = self._clock.monotonic_s() + interval_s
            await self._commit(bucket)

    async def flush(self) -> None:
        """Write all queued settlements, as far as the store is reachable."""
        for bucket in list(self._settlements):
            await self._commit(bucket)

    async def _next_bucket(self) -> int:
        """Wait for work and return the bucket to commit next.

        Buckets with pending insertions come first, in the order of their arrival,
        followed by the bucket whose settlements have been due for longest.
        """
        while True:
            if self._pending:
                return next(iter(self._pending))
            due_s = min(self._settlements_due_s.values(), default=float("inf"))
            now_s = self._clock.monotonic_s()
            if due_s <= now_s:
                return min(self._settlements_due_s, key=self._settlements_due_s.get)
            self._work_added = trio.Event()
            with trio.move_on_after(due_s - now_s):
                await self._work_added.wait()

    async def _commit(self, bucket: int) -> None:
        """Commit all pending operations on `bucket`."""
        group = self._pending.pop(bucket, [])
        settlements = self._settlements.pop(bucket, {})
        self._settlements_due_s.pop(bucket, None)
        try:
            settled = await self._commit_group(bucket, group, settlements)
        except StoreError:
            settled = False
        for pending in group:
            pending.resolve(self._unavailable_answer())
        if not settled:
            for settlement in settlements.values():
                self.settle(bucket, settlement)

    async def _commit_group(
        self,
        bucket: int,
        group: list[_PendingInsertion],
        settlements: dict[str, Settlement],
    ) -> bool:
        """Retry until the group is committed, has expired or the store is unreachable.

        Returns whether the settlements need no further attempt.
        """
        cached = self._cached_bucket(bucket)
        while True:
            now_s = self._clock.monotonic_s()
            live = [p for p in group if p.answer is None and p.expires_s > now_s]
            operations = [pending.insertion for pending in live]
            staged, answers = cached.bucket.stage([*operations, *settlements.values()])
            if not live and not settlements:
                return True
            if not staged.changed or await self._put(bucket, cached, staged):
                for pending, answer in zip(live, answers, strict=False):
                    pending.resolve(answer)
                return True
            if not live and group:
                return False

    async def _put(
        self, bucket: int, cached: CachedBucket, staged: ClaimBucket
    ) -> bool:
        """Write a staged bucket; on failure, read it again and return False."""
        name = bucket_name(self._partition, bucket)
        min_version = cached.version
        try:
            version = await self._store.put(
                CLAIM_KIND,
                name,
                staged.to_value(),
                cached.version,
                purpose=Purpose.CLAIMS,
            )
        except VersionConflict as conflict:
            min_version = conflict.present_version
        except StoreUnavailable as error:
            await self._wait_before_retry()
            if not error.may_have_landed:
                return self._require_reachable()
        else:
            cached.record_write(version, staged)
            return True
        return await self._read(name, cached, min_version)

    async def _read(self, name: str, cached: CachedBucket, min_version: int) -> bool:
        """Read a bucket again after a conflict or a lost response; return False."""
        try:
            stored = await self._store.get(CLAIM_KIND, name, purpose=Purpose.CLAIMS)
        except StoreUnavailable:
            await self._wait_before_retry()
            return self._require_reachable()
        if not cached.record_read(stored, min_version):
            await self._wait_before_retry()
        return False

    def _require_reachable(self) -> bool:
        """Return False; raise `StoreUnavailable` if the store is unreachable."""
        if not self._store.reachable:
            raise StoreUnavailable("the object API is unreachable")
        return False

    async def _wait_before_retry(self) -> None:
        await trio.sleep(to_s(RETRY_DELAY_MS * self._random.uniform(0.5, 1.5)))

    def _cached_bucket(self, bucket: int) -> CachedBucket:
        cached = self._cached.setdefault(bucket, CachedBucket())
        self._cached.move_to_end(bucket)
        if len(self._cached) > MAX_CACHED_BUCKETS:
            self._cached.popitem(last=False)
        return cached

    def _unavailable_answer(self) -> CommitAnswer:
        retry_after_ms = max(self._store.pause_ms, COMMIT_INTERVAL_MS)
        return CommitAnswer(CommitVerdict.UNAVAILABLE, None, retry_after_ms)
