"""Submission of claims to the entries that commit them."""

from collections.abc import Sequence

from ..core.clock import Clock, to_ms
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire.messages.claims import AskClaim, CommitAnswer, CommitClaim, CommitVerdict
from .bucket import Insertion
from .committer import PartitionCommitter
from .committer_selector import CommitterSelector
from .interfaces import ClaimStore, PeerNetwork
from .table import LocalClaim

COMMIT_CALL_TIMEOUT_MS = 400.0
MAX_COMMIT_CALLS = 8
PEER_CALL_TIMEOUT_MS = 300.0


class ClaimSubmitter:
    """Commits this instance's claims through the partitions' owners, or directly.

    Parameters
    ----------
    store : ClaimStore
        The object API.
    peers : PeerNetwork
        Calls to the other entries.
    clock : Clock
        Source of the monotonic time.
    selector : CommitterSelector
        Selects the entries to try.
    committers : sequence of PartitionCommitter
        Committers of this instance, indexed by partition.
    """

    def __init__(
        self,
        store: ClaimStore,
        peers: PeerNetwork,
        clock: Clock,
        selector: CommitterSelector,
        committers: Sequence[PartitionCommitter],
    ):
        self._store = store
        self._peers = peers
        self._clock = clock
        self._selector = selector
        self._committers = committers

    async def commit(
        self, local_claim: LocalClaim, replaces: str, deadline_s: float
    ) -> CommitAnswer:
        """Commit through the partition's owner; if that fails, commit directly."""
        for peer in self._selector.committers_of(local_claim.partition):
            answer = await self._commit_through(peer, local_claim, replaces, deadline_s)
            if answer is None:
                self._selector.suspect(peer)
            elif answer.verdict is CommitVerdict.UNAVAILABLE:
                break
            else:
                return answer
        insertion = Insertion(local_claim.claim, replaces)
        remaining_ms = to_ms(deadline_s - self._clock.monotonic_s())
        return await self.commit_locally(
            local_claim.partition, local_claim.bucket, insertion, remaining_ms
        )

    async def _commit_through(
        self,
        peer: InstanceId,
        local_claim: LocalClaim,
        replaces: str,
        deadline_s: float,
    ) -> CommitAnswer | None:
        """Commit through a peer; return None if it is unresponsive.

        If the call fails but the peer still answers a status request, the call is
        repeated: the peer may be waiting for a slow store, and direct writes by
        every entry would slow the store down further.
        """
        for _ in range(MAX_COMMIT_CALLS):
            remaining_ms = max(1.0, to_ms(deadline_s - self._clock.monotonic_s()))
            message = CommitClaim(
                local_claim.partition,
                local_claim.bucket,
                local_claim.claim,
                replaces,
                remaining_ms,
            )
            try:
                answer = await self._peers.call(
                    peer, message, min(COMMIT_CALL_TIMEOUT_MS, remaining_ms)
                )
            except PeerUnavailable:
                if not await self._is_responsive(peer, local_claim.claim.nonce):
                    return None
            else:
                return answer if isinstance(answer, CommitAnswer) else None
        return CommitAnswer(CommitVerdict.UNAVAILABLE)

    async def _is_responsive(self, peer: InstanceId, nonce: str) -> bool:
        try:
            await self._peers.call(peer, AskClaim(nonce), PEER_CALL_TIMEOUT_MS)
        except PeerUnavailable:
            return False
        return True

    async def commit_locally(
        self, partition: int, bucket: int, insertion: Insertion, timeout_ms: float
    ) -> CommitAnswer:
        """Commit through this instance's committer; fail fast during a store outage."""
        if not self._store.reachable:
            return CommitAnswer(CommitVerdict.UNAVAILABLE, None, self._store.pause_ms)
        committer = self._committers[partition]
        return await committer.insert(bucket, insertion, max(0.0, timeout_ms))
