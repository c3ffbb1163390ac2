"""Driver that claims requests, answers peers, and settles and collects claims."""

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
from .bucket import Placement
from .collector import ClaimCollector
from .committer import PartitionCommitter
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
from .peers import ClaimStore, MembershipView, PeerNetwork
from .routes import OwnerRoutes
from .submission import ASK_TIMEOUT_MS, ClaimSubmitter
from .table import ClaimTable, OwnClaim
from .window import ClaimWindow, WindowState, uuid7_ms

SETTLE_INTERVAL_MS = 1_000.0
COLLECT_INTERVAL_MS = 60_000.0
LOOK_BACK_PASSES = 60
MAX_REPLACEMENTS = 8
NONCE_BITS = 96


class ClaimService:
    """Lets each request that may not be repeated run at most once in the fleet.

    Safety rests on the conditional update of a bucket, and on the rule that an
    abandoned claim never runs. Owners, leases and time-outs only spare conflicts.

    Parameters
    ----------
    instance, incarnation : InstanceId, Incarnation
        This process.
    store : ClaimStore
        The object API.
    peers : PeerNetwork
        Calls to the other entries.
    membership : MembershipView
        The live entries.
    clock : Clock
        Source of time, within the window's error bound.
    random : Random
        Source of nonces and jitter; seeded apart in each process.
    window : ClaimWindow, optional
        Life of ids and claims; the same on all instances.
    partitioner : Partitioner, optional
        Partitions; the same on all instances.

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
        self._routes = OwnerRoutes(instance, self._partitioner, membership, clock)
        self._table = ClaimTable()
        self._collector = ClaimCollector(store, self._window, clock)
        self._outbox: dict[int, list[tuple[int, Settlement]]] = defaultdict(list)
        self._committers = [
            PartitionCommitter(partition, store, clock, random)
            for partition in range(self._partitioner.partitions)
        ]
        self._submitter = ClaimSubmitter(
            store, peers, clock, self._routes, self._committers
        )
        peers.register(CommitClaim, self._on_commit)
        peers.register(AskClaim, self._on_ask)
        peers.register(SettleClaims, self._on_settle)

    async def run(self) -> None:
        """Commit, settle and collect claims until cancelled."""
        async with trio.open_nursery() as nursery:
            for committer in self._committers:
                nursery.start_soon(committer.run)
            nursery.start_soon(self._settle_regularly)
            nursery.start_soon(self._collect_regularly)

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Try to become the one instance that runs `request`.

        Work may go out only after `Granted` was returned. When this is cancelled
        or runs out of time, the claim is abandoned and this instance never runs it.
        """
        id_ms = uuid7_ms(request.request_id)
        if id_ms is None:
            return Invalid()
        refusal = self._check_window(id_ms)
        if refusal is not None:
            return refusal
        key = claim_key(request.workspace, request.request_id)
        own = self._table.find(key)
        if own is not None:
            return self._result_of(self._as_held(own), own.claim, request)
        return await self._claim_new(key, id_ms, request)

    def record_outcome(
        self, granted: Granted, outcome: Outcome, count: int = 0, digest: str = ""
    ) -> None:
        """Record how a granted request ended; NOT_RUN lets a resend run.

        NOT_RUN promises that nothing ran and that nothing will.
        """
        own = self._table.finish(granted.claim.nonce, outcome, count, digest)
        if own is not None:
            self._outbox[own.partition].append((own.bucket, own.settlement()))

    async def flush(self) -> None:
        """Hand over and write all outcomes that are known here, for a shutdown."""
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
        own = OwnClaim(claim, self._partitioner.partition_of(key), bucket, id_ms)
        self._table.open(own)
        result: ClaimResult = Unavailable(max(self._store.pause_ms, SETTLE_INTERVAL_MS))
        try:
            with trio.move_on_after(to_s(request.timeout_ms)):
                result = await self._place(own, request)
        finally:
            abandoned = self._table.abandon(nonce)
            may_stand = isinstance(result, Unavailable | Expired | Early)
            if abandoned is not None and may_stand:
                settled = (bucket, abandoned.settlement())
                self._outbox[own.partition].append(settled)
        return result

    async def _place(self, own: OwnClaim, request: ClaimRequest) -> ClaimResult:
        """Commit a claim; where an abandoned one stands, replace it."""
        deadline_s = self._clock.monotonic_s() + to_s(request.timeout_ms)
        replaces = ""
        for _ in range(MAX_REPLACEMENTS):
            answer = await self._submitter.commit(own, replaces, deadline_s)
            if answer.verdict is CommitVerdict.GRANTED:
                return self._accept(own)
            if answer.verdict is CommitVerdict.UNAVAILABLE or answer.holder is None:
                return Unavailable(answer.retry_after_ms)
            status = await self._ask(answer.holder)
            if status.state is not ClaimState.ABANDONED:
                return self._result_of(status, answer.holder, request)
            replaces = answer.holder.nonce
        return Unavailable(SETTLE_INTERVAL_MS)

    def _accept(self, own: OwnClaim) -> ClaimResult:
        """Let a committed claim run, unless its bucket may have been collected.

        A commit that took long may have created a collected bucket anew, so the
        window is checked after the commit is known.
        """
        refusal = self._check_window(own.id_ms)
        if refusal is not None:
            return refusal
        if not self._table.grant(own.claim.nonce):
            return Unavailable(SETTLE_INTERVAL_MS)
        return Granted(own.claim, own.partition, own.bucket, own.id_ms)

    async def _ask(self, holder: Claim) -> ClaimStatus:
        """Find out what became of the claim that stands."""
        if holder.state is not ClaimState.RUNNING:
            return ClaimStatus(
                holder.incarnation, holder.state, holder.count, holder.digest
            )
        forgotten = ClaimStatus(holder.incarnation, ClaimState.FORGOTTEN)
        question = AskClaim(holder.nonce)
        if holder.instance == self._instance:
            answer = await self._on_ask(self._instance, question)
        else:
            try:
                answer = await self._peers.call(
                    holder.instance, question, ASK_TIMEOUT_MS
                )
            except PeerUnavailable:
                return forgotten
        if not isinstance(answer, ClaimStatus):
            return forgotten
        if answer.incarnation != holder.incarnation:
            return forgotten
        return answer

    def _result_of(
        self, status: ClaimStatus, holder: Claim, request: ClaimRequest
    ) -> ClaimResult:
        if holder.fingerprint != request.fingerprint:
            return Reused()
        place = (holder.instance, holder.incarnation)
        if status.state is ClaimState.DONE:
            return Done(*place, status.count, status.digest)
        if status.state in (ClaimState.PENDING, ClaimState.RUNNING):
            return Running(*place)
        return MayHaveRun(*place)

    def _as_held(self, own: OwnClaim) -> ClaimStatus:
        return ClaimStatus(self._incarnation, own.state, own.count, own.digest)

    def _check_window(self, id_ms: int) -> Expired | Early | None:
        state = self._window.state(id_ms, epoch_ms(self._clock.now()))
        if state is WindowState.VALID:
            return None
        if state is WindowState.EXPIRED:
            return Expired()
        return Early(not_run=state is WindowState.EARLY)

    async def _on_commit(self, peer: InstanceId, message: CommitClaim) -> CommitAnswer:
        placement = Placement(message.claim, message.replaces)
        if not 0 <= message.partition < len(self._committers):
            return CommitAnswer(CommitVerdict.UNAVAILABLE)
        return await self._submitter.place_here(
            message.partition, message.bucket, placement, message.timeout_ms
        )

    async def _on_ask(self, peer: InstanceId, message: AskClaim) -> ClaimStatus:
        own = self._table.status(message.nonce)
        if own is None:
            return ClaimStatus(self._incarnation, ClaimState.FORGOTTEN)
        return self._as_held(own)

    async def _on_settle(self, peer: InstanceId, message: SettleClaims) -> SettleAnswer:
        for bucket, settlement in message.settlements:
            self._committers[message.partition].settle(bucket, settlement)
        return SettleAnswer()

    async def _settle_regularly(self) -> None:
        while True:
            await trio.sleep(to_s(SETTLE_INTERVAL_MS * self._random.uniform(0.8, 1.2)))
            await self._settle_once()
            now_ms = epoch_ms(self._clock.now())
            self._table.forget_before(self._window.first_kept_bucket(now_ms))

    async def _settle_once(self) -> None:
        """Hand outcomes to the owners; where one is out of reach, keep them here."""
        outbox, self._outbox = self._outbox, defaultdict(list)
        for partition, settlements in outbox.items():
            if not await self._hand_over(partition, settlements):
                for bucket, settlement in settlements:
                    self._committers[partition].settle(bucket, settlement)

    async def _hand_over(
        self, partition: int, settlements: list[tuple[int, Settlement]]
    ) -> bool:
        message = SettleClaims(partition, tuple(settlements))
        for peer in self._routes.committers_of(partition)[:1]:
            try:
                answer = await self._peers.call(peer, message, ASK_TIMEOUT_MS)
            except PeerUnavailable:
                self._routes.suspect(peer)
                continue
            return isinstance(answer, SettleAnswer)
        return False

    async def _collect_regularly(self) -> None:
        passes = 0
        while True:
            await trio.sleep(to_s(COLLECT_INTERVAL_MS * self._random.uniform(0.8, 1.2)))
            passes += 1
            for partition in range(self._partitioner.partitions):
                if passes % LOOK_BACK_PASSES == 0 or not self._routes.owns(partition):
                    self._collector.look_back(partition)
                if self._routes.owns(partition):
                    await self._collector.collect(partition)
