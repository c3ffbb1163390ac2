"""Exchanges configuration with peers: sends queries and answers them."""

from collections import OrderedDict

from ..core.clock import Clock, to_ms
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire.messages.configuration import (
    ChangesAnswer,
    ChangesQuery,
    StateAnswer,
    StateQuery,
)
from .interfaces import PeerNetwork
from .log_state import split_snapshot
from .records import SnapshotPart
from .replica import ConfigurationReplica

CALL_TIMEOUT_MS = 1_000.0
MAX_ANSWER_BYTES = 128 * 1024
MAX_CACHED_STATES = 2
NEVER_CONFIRMED_AGE_MS = -1.0
"""Value of `ChangesAnswer.age_ms` for a state that was never confirmed."""


class PeerExchange:
    """Fetches missing changes from peers, and serves changes to peers.

    Parameters
    ----------
    replica : ConfigurationReplica
        This instance's copy.
    network : PeerNetwork
        Calls to peers.
    clock : Clock
        Measures round trips.
    """

    def __init__(
        self, replica: ConfigurationReplica, network: PeerNetwork, clock: Clock
    ):
        self._replica = replica
        self._network = network
        self._clock = clock
        self._cached_parts: OrderedDict[int, list[SnapshotPart]] = OrderedDict()
        network.register(ChangesQuery, self._handle_changes_query)
        network.register(StateQuery, self._handle_state_query)

    async def fetch(self, peer: InstanceId) -> None:
        """Bring the replica up to the peer's number, if that is higher.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer; changes applied so far stay applied.
        """
        while True:
            previous_number = self._replica.number
            answer = await self._request_changes(peer)
            if self._replica.number >= answer.number:
                return
            if not answer.changes:
                await self._fetch_state(peer)
            if self._replica.number <= previous_number:
                return

    async def _request_changes(self, peer: InstanceId) -> ChangesAnswer:
        sent_s = self._clock.monotonic_s()
        query = ChangesQuery(self._replica.number)
        answer = await self._network.call(peer, query, CALL_TIMEOUT_MS)
        round_trip_ms = to_ms(self._clock.monotonic_s() - sent_s)
        for change in answer.changes:
            self._replica.apply(change)
        self._replica.record_number(answer.number)
        if answer.age_ms >= 0:
            self._replica.confirm(answer.number, answer.age_ms + round_trip_ms)
        return answer

    async def _fetch_state(self, peer: InstanceId) -> None:
        first = await self._request_state_part(peer, 0, 0)
        answers = [first]
        for index in range(1, first.parts):
            answers.append(await self._request_state_part(peer, first.number, index))
        parts = [
            SnapshotPart(
                first.number, answer.version_floor, answer.objects, answer.deleted
            )
            for answer in answers
        ]
        self._replica.load(parts)

    async def _request_state_part(
        self, peer: InstanceId, number: int, index: int
    ) -> StateAnswer:
        query = StateQuery(number, index)
        answer = await self._network.call(peer, query, CALL_TIMEOUT_MS)
        if answer.parts == 0 or (number and answer.number != number):
            raise PeerUnavailable(f"{peer} no longer holds state {number}")
        return answer

    async def _handle_changes_query(
        self, peer: InstanceId, query: ChangesQuery
    ) -> ChangesAnswer:
        age_ms = self._replica.staleness_ms
        changes = self._replica.changes_after(query.number, MAX_ANSWER_BYTES)
        return ChangesAnswer(
            self._replica.number,
            NEVER_CONFIRMED_AGE_MS if age_ms is None else age_ms,
            changes,
        )

    async def _handle_state_query(
        self, peer: InstanceId, query: StateQuery
    ) -> StateAnswer:
        number = query.number or self._replica.number
        parts = self._parts_of_state(number)
        if query.index >= len(parts):
            return StateAnswer(number, 0)
        part = parts[query.index]
        return StateAnswer(
            number, len(parts), part.version_floor, part.objects, part.deleted
        )

    def _parts_of_state(self, number: int) -> list[SnapshotPart]:
        """Return the parts of the current state or of a cached earlier one.

        A cached state lets a peer fetch all parts of it while newer changes are
        applied here.
        """
        if number in self._cached_parts:
            return self._cached_parts[number]
        if number != self._replica.number:
            return []
        state = self._replica.state
        parts = split_snapshot(state, part_bytes=MAX_ANSWER_BYTES)
        self._cached_parts[number] = parts
        while len(self._cached_parts) > MAX_CACHED_STATES:
            self._cached_parts.popitem(last=False)
        return parts
