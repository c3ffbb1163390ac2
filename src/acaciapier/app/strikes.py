"""Shares the quarantine's records between instances."""

from collections.abc import Iterable

import trio

from ..core.clock import to_s
from ..core.ids import Fingerprint, Incarnation, InstanceId, PoolName, TargetId
from ..exceptions import PeerUnavailable
from ..membership import Membership
from ..policy import PathPolicy, Strike, StrikeKind
from ..wire import PeerNetwork
from ..wire.messages.operations import AllStrikes, AskStrikes
from ..wire.messages.quarantine import StrikeRecord, Strikes

MAX_RECORDS_PER_MESSAGE = 64
PUBLISH_INTERVAL_MS = 500.0
ASK_TIMEOUT_MS = 500.0
PEERS_ASKED = 3
MAX_PEERS_TOLD = 64


class StrikeSharing:
    """Spreads new records as rumours, and merges those of other instances.

    An instance that starts asks some peers for all records.

    Parameters
    ----------
    policy : PathPolicy
        Keeps the records.
    network : PeerNetwork
        Calls to peers.
    membership : Membership
        The peers, and rumours to all of them.
    """

    def __init__(
        self, policy: PathPolicy, network: PeerNetwork, membership: Membership
    ):
        self._policy = policy
        self._network = network
        self._membership = membership
        membership.rumours.on_new(Strikes, self._merge)
        network.register(AskStrikes, self._answer)
        network.register(Strikes, self._hear)

    async def run(self) -> None:
        """Ask peers once, then publish what is new, for ever."""
        await self._ask_peers()
        while True:
            self.publish_new()
            await trio.sleep(to_s(PUBLISH_INTERVAL_MS))

    def publish_new(self) -> None:
        """Spread the records made here since the last call.

        The members of a small fleet are told directly as well, since suspects
        wait only for a short time before they run again.
        """
        records = [to_record(strike) for strike in self._policy.take_new_strikes()]
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = records[start : start + MAX_RECORDS_PER_MESSAGE]
            self._publish(Strikes(tuple(part)))

    def _publish(self, message: Strikes) -> None:
        self._membership.rumours.publish(message)
        peers = self._peers()
        if len(peers) <= MAX_PEERS_TOLD:
            for peer in peers:
                self._network.send_soon(peer, message)

    def _peers(self) -> list[InstanceId]:
        own = self._network.identity.instance_id
        members = self._membership.members()
        return [one.instance for one in members if one.instance != own]

    async def _ask_peers(self) -> None:
        for peer in self._peers()[:PEERS_ASKED]:
            try:
                answer = await self._network.call(peer, AskStrikes(), ASK_TIMEOUT_MS)
            except PeerUnavailable:
                continue
            if isinstance(answer, AllStrikes):
                self._policy.merge_strikes(to_strikes(answer.records))

    async def _answer(self, peer: InstanceId, message: AskStrikes) -> AllStrikes:
        return AllStrikes(tuple(map(to_record, self._policy.strikes())))

    async def _hear(self, peer: InstanceId, message: Strikes) -> None:
        self._merge(message)

    def _merge(self, message: Strikes) -> None:
        self._policy.merge_strikes(to_strikes(message.records))


def to_record(strike: Strike) -> StrikeRecord:
    """Return the form of a record in messages."""
    return StrikeRecord(
        strike.record_id,
        strike.kind.value,
        strike.fingerprint,
        strike.pool,
        strike.target,
        strike.incarnation,
        strike.at_ms,
    )


def to_strikes(records: Iterable[StrikeRecord]) -> list[Strike]:
    """Return the records of a message."""
    return [
        Strike(
            record_id=record.record_id,
            kind=StrikeKind(record.kind),
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
