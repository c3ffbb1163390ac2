"""Group commit of one partition's claims by conditional update."""

from collections import OrderedDict
from random import Random

import trio

from ..core.clock import Clock, to_s
from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from ..store import Purpose
from ..wire.messages.claims import CommitAnswer, CommitVerdict, Settlement
from .bucket import ClaimBucket, KnownBucket, Placement
from .partition import CLAIM_KIND, bucket_name
from .peers import ClaimStore

COMMIT_INTERVAL_MS = 100.0
SETTLE_DELAY_MS = 3_000.0
RETRY_PAUSE_MS = 20.0
MAX_KNOWN_BUCKETS = 32
MAX_SETTLEMENTS = 50_000


class _Waiting:
    """A placement that waits for its commit."""

    def __init__(self, placement: Placement, expires_s: float):
        self.placement = placement
        self.expires_s = expires_s
        self.answer: CommitAnswer | None = None
        self.answered = trio.Event()

    def resolve(self, answer: CommitAnswer) -> None:
        if self.answer is None:
            self.answer = answer
            self.answered.set()


class PartitionCommitter:
    """Collects the operations on one partition and commits them in groups.

    At most one commit starts in `COMMIT_INTERVAL_MS`; after a pause, the first
    starts at once. Outcomes ride along with claims of the same bucket, or are
    written by themselves after `SETTLE_DELAY_MS`.

    Parameters
    ----------
    partition : int
        Number of the partition.
    store : ClaimStore
        The object API.
    clock : Clock
        Source of the monotonic time.
    random : Random
        Source of the jitter between retries.
    """

    def __init__(self, partition: int, store: ClaimStore, clock: Clock, random: Random):
        self._partition = partition
        self._store = store
        self._clock = clock
        self._random = random
        self._known: OrderedDict[int, KnownBucket] = OrderedDict()
        self._waiting: OrderedDict[int, list[_Waiting]] = OrderedDict()
        self._settlements: OrderedDict[int, dict[str, Settlement]] = OrderedDict()
        self._due_s: dict[int, float] = {}
        self._next_commit_s = 0.0
        self._work = trio.Event()

    async def place(
        self, bucket: int, placement: Placement, timeout_ms: float
    ) -> CommitAnswer:
        """Commit a claim with the next group and return what came of it."""
        expires_s = self._clock.monotonic_s() + to_s(timeout_ms)
        waiting = _Waiting(placement, expires_s)
        self._waiting.setdefault(bucket, []).append(waiting)
        self._work.set()
        with trio.move_on_after(to_s(timeout_ms)):
            await waiting.answered.wait()
        waiting.resolve(self._unavailable())
        return waiting.answer

    def settle(self, bucket: int, settlement: Settlement) -> None:
        """Keep an outcome to be written soon; the oldest give way under overload."""
        settlements = self._settlements.setdefault(bucket, {})
        settlements[settlement.nonce] = settlement
        now_s = self._clock.monotonic_s()
        self._due_s.setdefault(bucket, now_s + to_s(SETTLE_DELAY_MS))
        if sum(map(len, self._settlements.values())) > MAX_SETTLEMENTS:
            dropped, _ = self._settlements.popitem(last=False)
            self._due_s.pop(dropped, None)
        self._work.set()

    async def run(self) -> None:
        """Commit groups until cancelled."""
        while True:
            bucket = await self._next_bucket()
            await trio.sleep(max(0.0, self._next_commit_s - self._clock.monotonic_s()))
            interval_s = to_s(COMMIT_INTERVAL_MS)
            self._next_commit_s = self._clock.monotonic_s() + interval_s
            await self._commit(bucket)

    async def flush(self) -> None:
        """Write all outcomes now, as far as the store answers."""
        for bucket in list(self._settlements):
            await self._commit(bucket)

    async def _next_bucket(self) -> int:
        """Wait for work and return the bucket that has waited longest."""
        while True:
            if self._waiting:
                return next(iter(self._waiting))
            due_s = min(self._due_s.values(), default=float("inf"))
            now_s = self._clock.monotonic_s()
            if due_s <= now_s:
                return min(self._due_s, key=self._due_s.get)
            self._work = trio.Event()
            with trio.move_on_after(due_s - now_s):
                await self._work.wait()

    async def _commit(self, bucket: int) -> None:
        """Commit everything that waits for `bucket`."""
        group = self._waiting.pop(bucket, [])
        settlements = self._settlements.pop(bucket, {})
        self._due_s.pop(bucket, None)
        try:
            settled = await self._commit_group(bucket, group, settlements)
        except StoreError:
            settled = False
        for waiting in group:
            waiting.resolve(self._unavailable())
        if not settled:
            for settlement in settlements.values():
                self.settle(bucket, settlement)

    async def _commit_group(
        self, bucket: int, group: list[_Waiting], settlements: dict[str, Settlement]
    ) -> bool:
        """Try until the group is committed, has expired or the store is out."""
        known = self._known_bucket(bucket)
        while True:
            now_s = self._clock.monotonic_s()
            live = [w for w in group if w.answer is None and w.expires_s > now_s]
            operations = [waiting.placement for waiting in live]
            staged, answers = known.bucket.stage([*operations, *settlements.values()])
            if not live and not settlements:
                return True
            if not staged.changed or await self._put(bucket, known, staged):
                for waiting, answer in zip(live, answers, strict=False):
                    waiting.resolve(answer)
                return True
            if not live and group:
                return False

    async def _put(self, bucket: int, known: KnownBucket, staged: ClaimBucket) -> bool:
        """Write a staged bucket; if that fails, read it again and return False."""
        name = bucket_name(self._partition, bucket)
        oldest_version = known.version
        try:
            version = await self._store.put(
                CLAIM_KIND,
                name,
                staged.to_value(),
                known.version,
                purpose=Purpose.CLAIMS,
            )
        except VersionConflict as conflict:
            oldest_version = conflict.present_version
        except StoreUnavailable as lost:
            await self._pause()
            if not lost.may_have_landed:
                return self._require_reachable()
        else:
            known.accept(version, staged)
            return True
        return await self._read(name, known, oldest_version)

    async def _read(self, name: str, known: KnownBucket, oldest_version: int) -> bool:
        """Read a bucket again after a conflict or a lost answer; return False."""
        try:
            stored = await self._store.get(CLAIM_KIND, name, purpose=Purpose.CLAIMS)
        except StoreUnavailable:
            await self._pause()
            return self._require_reachable()
        if not known.observe(stored, oldest_version):
            await self._pause()
        return False

    def _require_reachable(self) -> bool:
        """Return False, or raise if a retry has no prospect."""
        if not self._store.reachable:
            raise StoreUnavailable("the object API is unreachable")
        return False

    async def _pause(self) -> None:
        await trio.sleep(to_s(RETRY_PAUSE_MS * self._random.uniform(0.5, 1.5)))

    def _known_bucket(self, bucket: int) -> KnownBucket:
        known = self._known.setdefault(bucket, KnownBucket())
        self._known.move_to_end(bucket)
        if len(self._known) > MAX_KNOWN_BUCKETS:
            self._known.popitem(last=False)
        return known

    def _unavailable(self) -> CommitAnswer:
        retry_after_ms = max(self._store.pause_ms, COMMIT_INTERVAL_MS)
        return CommitAnswer(CommitVerdict.UNAVAILABLE, None, retry_after_ms)
