"""Service that claims requests and manages the claims of an instance."""

from collections import defaultdict
from random import Random

import trio

from ..core.clock import Clock, epoch_ms, to_s
from ..core.ids import Incarnation, InstanceId
from ..core.outcomes import Outcome
from ..exceptions import PeerUnavailable
from ..wire.messages.claims import (
    AskClaim,
    Claim,
    ClaimState,
    ClaimStatus,
    CommitAnswer,
    CommitClaim,
    CommitVerdict,
    SettleAnswer,
    SettleClaims,
    Settlement,
)
from .bucket import Insertion
from .collector import ClaimCollector
from .committer import PartitionCommitter
from .committer_selector import CommitterSelector
from .interfaces import ClaimStore, MembershipView, PeerNetwork
from .models import (
    ClaimRequest,
    ClaimResult,
    Done,
    Early,
    Expired,
    Granted,
    Invalid,
    MayHaveRun,
    Reused,
    Running,
    Unavailable,
)
from .partition import Partitioner, claim_key
from .submission import PEER_CALL_TIMEOUT_MS, ClaimSubmitter
from .table import ClaimTable, LocalClaim
from .window import ClaimWindow, WindowState, uuid7_ms

SETTLE_INTERVAL_MS = 1_000.0
COLLECT_INTERVAL_MS = 60_000.0
RESCAN_PASSES = 60
MAX_REPLACEMENTS = 8
NONCE_BITS = 96


class ClaimService:
    """Ensures that each non-repeatable request runs at most once in the fleet.

    Safety depends only on the conditional update of a bucket, and on the rule that
    an abandoned claim never runs. Owners, leases and timeouts only reduce conflicts.

    Parameters
    ----------
    instance, incarnation : InstanceId, Incarnation
        Identity of this process.
    store : ClaimStore
        The object API.
    peers : PeerNetwork
        Calls to the other entries.
    membership : MembershipView
        The live entries.
    clock : Clock
        Source of time, accurate to the window's error bound.
    random : Random
        Source of nonces and jitter; seeded differently in each process.
    window : ClaimWindow, optional
        Lifetime of ids and claims; the same on all instances.
    partitioner : Partitioner, optional
        Mapping of keys to partitions and owners; the same on all instances.

    Examples
    --------
    >>> result = await claims.claim(request)
    >>> if isinstance(result, Granted):
    ...     ...  # run it
    ...     claims.record_outcome(result, Outcome.DONE, count, digest)
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        store: ClaimStore,
        peers: PeerNetwork,
        membership: MembershipView,
        clock: Clock,
        random: Random,
        window: ClaimWindow | None = None,
        partitioner: Partitioner | None = None,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._store = store
        self._peers = peers
        self._clock = clock
        self._random = random
        self._window = window or ClaimWindow()
        self._partitioner = partitioner or Partitioner()
        self._selector = CommitterSelector(
            instance, self._partitioner, membership, clock
        )
        self._table = ClaimTable()
        self._collector = ClaimCollector(store, self._window, clock)
        self._outbox: dict[int, list[tuple[int, Settlement]]] = defaultdict(list)
        self._committers = [
            PartitionCommitter(partition, store, clock, random)
            for partition in range(self._partitioner.partitions)
        ]
        self._submitter = ClaimSubmitter(
            store, peers, clock, self._selector, self._committers
        )
        peers.register(CommitClaim, self._on_commit)
        peers.register(AskClaim, self._on_status_request)
        peers.register(SettleClaims, self._on_settle)

    async def run(self) -> None:
        """Commit, settle and collect claims until cancelled."""
        async with trio.open_nursery() as nursery:
            for committer in self._committers:
                nursery.start_soon(committer.run)
            nursery.start_soon(self._settle_periodically)
            nursery.start_soon(self._collect_periodically)

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Try to become the only instance that runs `request`.

        The caller may start the request only if the result is `Granted`. If this
        call is cancelled or times out, the claim is abandoned, and this attempt
        never runs.
        """
        id_ms = uuid7_ms(request.request_id)
        if id_ms is None:
            return Invalid()
        refusal = self._check_window(id_ms)
        if refusal is not None:
            return refusal
        key = claim_key(request.workspace, request.request_id)
        local_claim = self._table.find_by_key(key)
        if local_claim is not None:
            return self._result_of(
                self._status_of(local_claim), local_claim.claim, request
            )
        return await self._claim_new(key, id_ms, request)

    def record_outcome(
        self, granted: Granted, outcome: Outcome, count: int = 0, digest: str = ""
    ) -> None:
        """Record the outcome of a granted request.

        NOT_RUN asserts that no part of the request ran or will run; it allows the
        request to be claimed again.
        """
        local_claim = self._table.finish(granted.claim.nonce, outcome, count, digest)
        if local_claim is not None:
            self._outbox[local_claim.partition].append(
                (local_claim.bucket, local_claim.settlement())
            )

    async def flush(self) -> None:
        """Send all recorded outcomes to the owners or the store, before a shutdown."""
        await self._settle_once()
        async with trio.open_nursery() as nursery:
            for committer in self._committers:
                nursery.start_soon(committer.flush)

    async def _claim_new(
        self, key: str, id_ms: int, request: ClaimRequest
    ) -> ClaimResult:
        nonce = f"{self._random.getrandbits(NONCE_BITS):x}"
        claim = Claim(
            key, request.fingerprint, self._instance, self._incarnation, nonce
        )
        bucket = self._window.bucket_of(id_ms)
        local_claim = LocalClaim(
            claim, self._partitioner.partition_of(key), bucket, id_ms
        )
        self._table.add(local_claim)
        result: ClaimResult = Unavailable(max(self._store.pause_ms, SETTLE_INTERVAL_MS))
        try:
            with trio.move_on_after(to_s(request.timeout_ms)):
                result = await self._commit_claim(local_claim, request)
        finally:
            abandoned = self._table.abandon(nonce)
            may_be_committed = isinstance(result, Unavailable | Expired | Early)
            if abandoned is not None and may_be_committed:
                settled = (bucket, abandoned.settlement())
                self._outbox[local_claim.partition].append(settled)
        return result

    async def _commit_claim(
        self, local_claim: LocalClaim, request: ClaimRequest
    ) -> ClaimResult:
        """Commit a claim, replacing an existing one if that was abandoned."""
        deadline_s = self._clock.monotonic_s() + to_s(request.timeout_ms)
        replaces = ""
        for _ in range(MAX_REPLACEMENTS):
            answer = await self._submitter.commit(local_claim, replaces, deadline_s)
            if answer.verdict is CommitVerdict.GRANTED:
                return self._grant(local_claim)
            if (
                answer.verdict is CommitVerdict.UNAVAILABLE
                or answer.existing_claim is None
            ):
                return Unavailable(answer.retry_after_ms)
            status = await self._fetch_status(answer.existing_claim)
            if status.state is not ClaimState.ABANDONED:
                return self._result_of(status, answer.existing_claim, request)
            replaces = answer.existing_claim.nonce
        return Unavailable(SETTLE_INTERVAL_MS)

    def _grant(self, local_claim: LocalClaim) -> ClaimResult:
        """Grant a committed claim, unless its bucket may have been deleted.

        A slow commit may have recreated a bucket after its deletion, so the window
        is checked again after the commit is confirmed.
        """
        refusal = self._check_window(local_claim.id_ms)
        if refusal is not None:
            return refusal
        if not self._table.grant(local_claim.claim.nonce):
            return Unavailable(SETTLE_INTERVAL_MS)
        return Granted(
            local_claim.claim,
            local_claim.partition,
            local_claim.bucket,
            local_claim.id_ms,
        )

    async def _fetch_status(self, existing_claim: Claim) -> ClaimStatus:
        """Return the state of an existing claim, from its claimant if still running."""
        if existing_claim.state is not ClaimState.RUNNING:
            return ClaimStatus(
                existing_claim.incarnation,
                existing_claim.state,
                existing_claim.count,
                existing_claim.digest,
            )
        no_record = ClaimStatus(existing_claim.incarnation, ClaimState.FORGOTTEN)
        query = AskClaim(existing_claim.nonce)
        if existing_claim.instance == self._instance:
            answer = await self._on_status_request(self._instance, query)
        else:
            try:
                answer = await self._peers.call(
                    existing_claim.instance, query, PEER_CALL_TIMEOUT_MS
                )
            except PeerUnavailable:
                return no_record
        if not isinstance(answer, ClaimStatus):
            return no_record
        if answer.incarnation != existing_claim.incarnation:
            return no_record
        return answer

    def _result_of(
        self, status: ClaimStatus, existing_claim: Claim, request: ClaimRequest
    ) -> ClaimResult:
        if existing_claim.fingerprint != request.fingerprint:
            return Reused()
        claimant = (existing_claim.instance, existing_claim.incarnation)
        if status.state is ClaimState.DONE:
            return Done(*claimant, status.count, status.digest)
        if status.state in (ClaimState.PENDING, ClaimState.RUNNING):
            return Running(*claimant)
        return MayHaveRun(*claimant)

    def _status_of(self, local_claim: LocalClaim) -> ClaimStatus:
        return ClaimStatus(
            self._incarnation, local_claim.state, local_claim.count, local_claim.digest
        )

    def _check_window(self, id_ms: int) -> Expired | Early | None:
        state = self._window.state(id_ms, epoch_ms(self._clock.now()))
        if state is WindowState.VALID:
            return None
        if state is WindowState.EXPIRED:
            return Expired()
        return Early(not_run=state is WindowState.EARLY)

    async def _on_commit(self, peer: InstanceId, message: CommitClaim) -> CommitAnswer:
        insertion = Insertion(message.claim, message.replaces)
        if not 0 <= message.partition < len(self._committers):
            return CommitAnswer(CommitVerdict.UNAVAILABLE)
        return await self._submitter.commit_locally(
            message.partition, message.bucket, insertion, message.timeout_ms
        )

    async def _on_status_request(
        self, peer: InstanceId, message: AskClaim
    ) -> ClaimStatus:
        local_claim = self._table.find_by_nonce(message.nonce)
        if local_claim is None:
            return ClaimStatus(self._incarnation, ClaimState.FORGOTTEN)
        return self._status_of(local_claim)

    async def _on_settle(self, peer: InstanceId, message: SettleClaims) -> SettleAnswer:
        for bucket, settlement in message.settlements:
            self._committers[message.partition].settle(bucket, settlement)
        return SettleAnswer()

    async def _settle_periodically(self) -> None:
        while True:
            await trio.sleep(to_s(SETTLE_INTERVAL_MS * self._random.uniform(0.8, 1.2)))
            await self._settle_once()
            now_ms = epoch_ms(self._clock.now())
            self._table.evict_before(self._window.first_kept_bucket(now_ms))

    async def _settle_once(self) -> None:
        """Send outcomes to the owners; queue them here if an owner is unreachable."""
        outbox, self._outbox = self._outbox, defaultdict(list)
        for partition, settlements in outbox.items():
            if not await self._send_to_owner(partition, settlements):
                for bucket, settlement in settlements:
                    self._committers[partition].settle(bucket, settlement)

    async def _send_to_owner(
        self, partition: int, settlements: list[tuple[int, Settlement]]
    ) -> bool:
        message = SettleClaims(partition, tuple(settlements))
        for peer in self._selector.committers_of(partition)[:1]:
            try:
                answer = await self._peers.call(peer, message, PEER_CALL_TIMEOUT_MS)
            except PeerUnavailable:
                self._selector.suspect(peer)
                continue
            return isinstance(answer, SettleAnswer)
        return False

    async def _collect_periodically(self) -> None:
        passes = 0
        while True:
            await trio.sleep(to_s(COLLECT_INTERVAL_MS * self._random.uniform(0.8, 1.2)))
            passes += 1
            for partition in range(self._partitioner.partitions):
                if passes % RESCAN_PASSES == 0 or not self._selector.owns(partition):
                    self._collector.rescan(partition)
                if self._selector.owns(partition):
                    await self._collector.collect(partition)
