"""Sharing of crash records between instances."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import trio

from ..core.clock import to_s
from ..core.ids import Fingerprint, Incarnation, InstanceId, PoolName, TargetId
from ..exceptions import PeerUnavailable
from ..policy import CrashRecord, CrashRecordKind, PathPolicy
from ..wire import PeerNetwork
from ..wire.messages.operations import CrashRecordList, FetchCrashRecords
from ..wire.messages.quarantine import CrashRecordEntry, Strikes

if TYPE_CHECKING:
    from ..membership import Membership

MAX_RECORDS_PER_MESSAGE = 64
PUBLISH_INTERVAL_MS = 500.0
REQUEST_TIMEOUT_MS = 500.0
STARTUP_PEERS = 3
MAX_DIRECT_PEERS = 64


class CrashRecordSharing:
    """Publishes new crash records by gossip, and merges those of other instances.

    At startup, it requests all records from a few peers.

    Parameters
    ----------
    policy : PathPolicy
        Holds the records.
    network : PeerNetwork
        Sends messages to peers.
    membership : Membership
        Lists the peers, and distributes gossip to all of them.
    """

    def __init__(
        self, policy: PathPolicy, network: PeerNetwork, membership: "Membership"
    ):
        self._policy = policy
        self._network = network
        self._membership = membership
        membership.gossip.on_new(Strikes, self._merge)
        network.register(FetchCrashRecords, self._answer)
        network.register(Strikes, self._receive)

    async def run(self) -> None:
        """Request all records from peers once, then publish new ones periodically."""
        await self._request_from_peers()
        while True:
            self.publish_new()
            await trio.sleep(to_s(PUBLISH_INTERVAL_MS))

    def publish_new(self) -> None:
        """Publish the records created here since the last call.

        In a small fleet they are also sent to all members directly, since suspects
        wait only for a short time before they run again.
        """
        records = [to_entry(record) for record in self._policy.pop_new_crash_records()]
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            batch = records[start : start + MAX_RECORDS_PER_MESSAGE]
            self._publish(Strikes(tuple(batch)))

    def _publish(self, message: Strikes) -> None:
        self._membership.gossip.publish(message)
        peers = self._peers()
        if len(peers) <= MAX_DIRECT_PEERS:
            for peer in peers:
                self._network.send_soon(peer, message)

    def _peers(self) -> list[InstanceId]:
        own = self._network.identity.instance_id
        members = self._membership.members()
        return [member.instance for member in members if member.instance != own]

    async def _request_from_peers(self) -> None:
        for peer in self._peers()[:STARTUP_PEERS]:
            try:
                answer = await self._network.call(
                    peer, FetchCrashRecords(), REQUEST_TIMEOUT_MS
                )
            except PeerUnavailable:
                continue
            if isinstance(answer, CrashRecordList):
                self._policy.merge_crash_records(from_entries(answer.records))

    async def _answer(
        self, peer: InstanceId, message: FetchCrashRecords
    ) -> CrashRecordList:
        return CrashRecordList(tuple(map(to_entry, self._policy.crash_records())))

    async def _receive(self, peer: InstanceId, message: Strikes) -> None:
        self._merge(message)

    def _merge(self, message: Strikes) -> None:
        self._policy.merge_crash_records(from_entries(message.records))


def to_entry(record: CrashRecord) -> CrashRecordEntry:
    """Return the wire form of a crash record."""
    return CrashRecordEntry(
        record.record_id,
        record.kind.value,
        record.fingerprint,
        record.pool,
        record.target,
        record.incarnation,
        record.at_ms,
    )


def from_entries(records: Iterable[CrashRecordEntry]) -> list[CrashRecord]:
    """Return the crash records of a message."""
    return [
        CrashRecord(
            record_id=record.record_id,
            kind=CrashRecordKind(record.kind),
            fingerprint=Fingerprint(record.fingerprint),
            pool=PoolName(record.pool) if record.pool is not None else None,
            target=TargetId(record.target) if record.target is not None else None,
            incarnation=(
                Incarnation(record.incarnation)
                if record.incarnation is not None
                else None
            ),
            at_ms=record.at_ms,
        )
        for record in records
    ]
