"""Submission of claims to the entry that commits them."""

from collections.abc import Sequence

from ..core.clock import Clock, to_ms
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire.messages.claims import AskClaim, CommitAnswer, CommitClaim, CommitVerdict
from .bucket import Placement
from .committer import PartitionCommitter
from .peers import ClaimStore, PeerNetwork
from .routes import OwnerRoutes
from .table import OwnClaim

COMMITTER_TIMEOUT_MS = 400.0
MAX_CALLS_TO_COMMITTER = 8
ASK_TIMEOUT_MS = 300.0


class ClaimSubmitter:
    """Commits this instance's claims through owners, or else directly.

    Parameters
    ----------
    store : ClaimStore
        The object API.
    peers : PeerNetwork
        Calls to the other entries.
    clock : Clock
        Source of the monotonic time.
    routes : OwnerRoutes
        Which entries to try.
    committers : sequence of PartitionCommitter
        This instance's own, by partition.
    """

    def __init__(
        self,
        store: ClaimStore,
        peers: PeerNetwork,
        clock: Clock,
        routes: OwnerRoutes,
        committers: Sequence[PartitionCommitter],
    ):
        self._store = store
        self._peers = peers
        self._clock = clock
        self._routes = routes
        self._committers = committers

    async def commit(
        self, own: OwnClaim, replaces: str, deadline_s: float
    ) -> CommitAnswer:
        """Commit through the partition's owner; if it is out of reach, directly."""
        for peer in self._routes.committers_of(own.partition):
            answer = await self._commit_at(peer, own, replaces, deadline_s)
            if answer is None:
                self._routes.suspect(peer)
            elif answer.verdict is CommitVerdict.UNAVAILABLE:
                break
            else:
                return answer
        placement = Placement(own.claim, replaces)
        left_ms = to_ms(deadline_s - self._clock.monotonic_s())
        return await self.place_here(own.partition, own.bucket, placement, left_ms)

    async def _commit_at(
        self, peer: InstanceId, own: OwnClaim, replaces: str, deadline_s: float
    ) -> CommitAnswer | None:
        """Commit through a peer; None once it does not even answer a question.

        An owner that waits for a slow store is waited for, lest every entry
        write by itself and slow the store further.
        """
        for _ in range(MAX_CALLS_TO_COMMITTER):
            left_ms = max(1.0, to_ms(deadline_s - self._clock.monotonic_s()))
            message = CommitClaim(
                own.partition, own.bucket, own.claim, replaces, left_ms
            )
            try:
                answer = await self._peers.call(
                    peer, message, min(COMMITTER_TIMEOUT_MS, left_ms)
                )
            except PeerUnavailable:
                if not await self._answers(peer, own.claim.nonce):
                    return None
            else:
                return answer if isinstance(answer, CommitAnswer) else None
        return CommitAnswer(CommitVerdict.UNAVAILABLE)

    async def _answers(self, peer: InstanceId, nonce: str) -> bool:
        try:
            await self._peers.call(peer, AskClaim(nonce), ASK_TIMEOUT_MS)
        except PeerUnavailable:
            return False
        return True

    async def place_here(
        self, partition: int, bucket: int, placement: Placement, timeout_ms: float
    ) -> CommitAnswer:
        """Commit directly, or refuse at once while the store is out."""
        if not self._store.reachable:
            return CommitAnswer(CommitVerdict.UNAVAILABLE, None, self._store.pause_ms)
        committer = self._committers[partition]
        return await committer.place(bucket, placement, max(0.0, timeout_ms))
