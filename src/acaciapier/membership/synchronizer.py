"""Anti-entropy: synchronization of the member and target tables with a peer."""

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
from .member_tracker import MemberTracker
from .target_table import BUCKET_COUNT, TargetTable

SYNC_TIMEOUT_MS = 2_000.0
MAX_SYNC_BUCKETS = 16
MAX_SYNC_RECORDS = 2_048


class Synchronizer:
    """Synchronizes the tables with those of a peer; only differing parts are sent.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    member_tracker : MemberTracker
        Table of instances, and the suspicions of them.
    targets : TargetTable
        Table of targets.
    random : random.Random
        Selects the buckets to synchronize when too many differ.
    merge_members, merge_targets : callable
        Called with received records.
    """

    def __init__(
        self,
        network: PeerNetwork,
        member_tracker: MemberTracker,
        targets: TargetTable,
        random: Random,
        merge_members: Callable[[Sequence[MemberRecord]], None],
        merge_targets: Callable[[Sequence[TargetRecord]], None],
    ):
        self._network = network
        self._member_tracker = member_tracker
        self._members = member_tracker.table
        self._targets = targets
        self._random = random
        self._merge_members = merge_members
        self._merge_targets = merge_targets
        network.register(SyncRequest, self._handle_request)
        network.register(SyncRecords, self._handle_records)

    async def sync_with(self, peer: InstanceId) -> bool:
        """Synchronize the tables with `peer`; return whether it answered."""
        request = SyncRequest(
            self._members.digests(),
            self._targets.digests(),
            self._member_tracker.suspected_refutation(peer),
        )
        try:
            answer = await self._network.call(peer, request, SYNC_TIMEOUT_MS)
        except PeerUnavailable:
            return False
        if not isinstance(answer, SyncAnswer):
            return False
        self._refute(answer.suspected_refutation)
        records = SyncRecords(
            self._members_to_sync(answer.wanted_data_centres),
            self._targets.records_to_sync(answer.wanted_buckets)[:MAX_SYNC_RECORDS],
        )
        self._merge_members(answer.members)
        self._merge_targets(answer.targets)
        if records.members or records.targets:
            self._network.send_soon(peer, records)
        return True

    async def _handle_request(
        self, peer: InstanceId, request: SyncRequest
    ) -> SyncAnswer:
        self._refute(request.suspected_refutation)
        own_digests = self._members.digests()
        data_centres = tuple(
            data_centre
            for data_centre in sorted(own_digests.keys() | request.members.keys())
            if own_digests.get(data_centre) != request.members.get(data_centre)
        )
        buckets = self._differing_buckets(request.targets)
        return SyncAnswer(
            self._members_to_sync(data_centres),
            self._targets.records_to_sync(buckets)[:MAX_SYNC_RECORDS],
            data_centres,
            buckets,
            self._member_tracker.suspected_refutation(peer),
        )

    async def _handle_records(self, peer: InstanceId, message: SyncRecords) -> None:
        self._merge_members(message.members)
        self._merge_targets(message.targets)

    def _refute(self, suspected_refutation: int) -> None:
        if suspected_refutation >= 0:
            self._member_tracker.refute(suspected_refutation)

    def _members_to_sync(self, data_centres: Sequence[str]) -> tuple[MemberRecord, ...]:
        return self._members.records_to_sync(data_centres)[:MAX_SYNC_RECORDS]

    def _differing_buckets(self, peer_digests: Sequence[int]) -> tuple[int, ...]:
        if len(peer_digests) != BUCKET_COUNT:
            return ()
        own_digests = self._targets.digests()
        differing = [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own_digests[bucket] != peer_digests[bucket]
        ]
        if len(differing) > MAX_SYNC_BUCKETS:
            differing = self._random.sample(differing, MAX_SYNC_BUCKETS)
        return tuple(differing)
