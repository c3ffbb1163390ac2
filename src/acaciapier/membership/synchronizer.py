"""Comparison of the member and target tables with a peer."""

from collections.abc import Callable, Sequence
from random import Random

from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire import PeerNetwork
from ..wire.messages.membership import (
    MemberRecord,
    SyncAnswer,
    SyncRecords,
    SyncRequest,
    TargetRecord,
)
from .roster import Roster
from .target_table import BUCKETS, TargetTable

SYNC_TIMEOUT_MS = 2_000.0
MAX_SYNC_BUCKETS = 16
MAX_SYNC_RECORDS = 2_048


class Synchronizer:
    """Brings two tables together by sending only the parts that differ.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    roster : Roster
        Own table of instances, and judgements about them.
    targets : TargetTable
        Own table of targets.
    random : random.Random
        Chooses parts when many differ.
    take_members, take_targets : callable
        Take received records.
    """

    def __init__(
        self,
        network: PeerNetwork,
        roster: Roster,
        targets: TargetTable,
        random: Random,
        take_members: Callable[[Sequence[MemberRecord]], None],
        take_targets: Callable[[Sequence[TargetRecord]], None],
    ):
        self._network = network
        self._roster = roster
        self._members = roster.table
        self._targets = targets
        self._random = random
        self._take_members = take_members
        self._take_targets = take_targets
        network.register(SyncRequest, self._answer)
        network.register(SyncRecords, self._take)

    async def sync_with(self, peer: InstanceId) -> bool:
        """Compare tables with `peer`; tell whether it answered."""
        request = SyncRequest(
            self._members.digests(),
            self._targets.digests(),
            self._roster.doubt_about(peer),
        )
        try:
            answer = await self._network.call(peer, request, SYNC_TIMEOUT_MS)
        except PeerUnavailable:
            return False
        if not isinstance(answer, SyncAnswer):
            return False
        self._refute(answer.doubted)
        wanted = SyncRecords(
            self._offer_members(answer.wanted_data_centres),
            self._targets.offered(answer.wanted_buckets)[:MAX_SYNC_RECORDS],
        )
        self._take_members(answer.members)
        self._take_targets(answer.targets)
        if wanted.members or wanted.targets:
            self._network.send_soon(peer, wanted)
        return True

    async def _answer(self, peer: InstanceId, request: SyncRequest) -> SyncAnswer:
        self._refute(request.doubted)
        own = self._members.digests()
        data_centres = tuple(
            data_centre
            for data_centre in sorted(own.keys() | request.members.keys())
            if own.get(data_centre) != request.members.get(data_centre)
        )
        buckets = self._differing_buckets(request.targets)
        return SyncAnswer(
            self._offer_members(data_centres),
            self._targets.offered(buckets)[:MAX_SYNC_RECORDS],
            data_centres,
            buckets,
            self._roster.doubt_about(peer),
        )

    async def _take(self, peer: InstanceId, message: SyncRecords) -> None:
        self._take_members(message.members)
        self._take_targets(message.targets)

    def _refute(self, doubted: int) -> None:
        if doubted >= 0:
            self._roster.refute(doubted)

    def _offer_members(self, data_centres: Sequence[str]) -> tuple[MemberRecord, ...]:
        return self._members.offered(data_centres)[:MAX_SYNC_RECORDS]

    def _differing_buckets(self, theirs: Sequence[int]) -> tuple[int, ...]:
        if len(theirs) != BUCKETS:
            return ()
        own = self._targets.digests()
        differing = [
            bucket for bucket in range(BUCKETS) if own[bucket] != theirs[bucket]
        ]
        if len(differing) > MAX_SYNC_BUCKETS:
            differing = self._random.sample(differing, MAX_SYNC_BUCKETS)
        return tuple(differing)
