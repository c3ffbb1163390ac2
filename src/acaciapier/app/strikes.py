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
PUBLISH_INTERVAL_MS = 20.0
ASK_TIMEOUT_MS = 500.0
PEERS_ASKED = 3


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

    async def run(self) -> None:
        """Ask peers once, then publish what is new, for ever."""
        await self._ask_peers()
        while True:
            self.publish_new()
            await trio.sleep(to_s(PUBLISH_INTERVAL_MS))

    def publish_new(self) -> None:
        """Spread the records made here since the last call."""
        records = [_to_record(strike) for strike in self._policy.take_new_strikes()]
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = records[start : start + MAX_RECORDS_PER_MESSAGE]
            self._membership.rumours.publish(Strikes(tuple(part)))

    async def _ask_peers(self) -> None:
        own = self._network.identity.instance_id
        peers = [one.instance for one in self._membership.members()]
        for peer in [one for one in peers if one != own][:PEERS_ASKED]:
            try:
                answer = await self._network.call(peer, AskStrikes(), ASK_TIMEOUT_MS)
            except PeerUnavailable:
                continue
            if isinstance(answer, AllStrikes):
                self._policy.merge_strikes(_to_strikes(answer.records))

    async def _answer(self, peer: InstanceId, message: AskStrikes) -> AllStrikes:
        return AllStrikes(tuple(map(_to_record, self._policy.strikes())))

    def _merge(self, message: Strikes) -> None:
        self._policy.merge_strikes(_to_strikes(message.records))


def _to_record(strike: Strike) -> StrikeRecord:
    return StrikeRecord(
        strike.record_id,
        strike.kind.value,
        strike.fingerprint,
        strike.pool,
        strike.target,
        strike.incarnation,
        strike.at_ms,
    )


def _to_strikes(records: Iterable[StrikeRecord]) -> list[Strike]:
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
