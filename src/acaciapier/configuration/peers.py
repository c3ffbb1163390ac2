"""Exchange of configuration with peers: queries and their answers."""

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
KEPT_STATES = 2
NEVER = -1.0
"""Age that stands for never confirmed."""


class PeerExchange:
    """Asks peers for what the replica lacks, and answers when peers ask.

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
        self._parts: OrderedDict[int, list[SnapshotPart]] = OrderedDict()
        network.register(ChangesQuery, self._answer_changes)
        network.register(StateQuery, self._answer_state)

    async def fetch(self, peer: InstanceId) -> None:
        """Bring the replica to the peer's number, if that is higher.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer; what came so far is kept.
        """
        while True:
            before = self._replica.number
            answer = await self._ask_changes(peer)
            if self._replica.number >= answer.number:
                return
            if not answer.changes:
                await self._fetch_state(peer)
            if self._replica.number <= before:
                return

    async def _ask_changes(self, peer: InstanceId) -> ChangesAnswer:
        asked_s = self._clock.monotonic_s()
        query = ChangesQuery(self._replica.number)
        answer = await self._network.call(peer, query, CALL_TIMEOUT_MS)
        round_trip_ms = to_ms(self._clock.monotonic_s() - asked_s)
        for change in answer.changes:
            self._replica.apply(change)
        self._replica.note_number(answer.number)
        if answer.age_ms >= 0:
            self._replica.confirm(answer.number, answer.age_ms + round_trip_ms)
        return answer

    async def _fetch_state(self, peer: InstanceId) -> None:
        first = await self._ask_state(peer, 0, 0)
        answers = [first]
        for index in range(1, first.parts):
            answers.append(await self._ask_state(peer, first.number, index))
        parts = [
            SnapshotPart(first.number, one.version_floor, one.objects, one.deleted)
            for one in answers
        ]
        self._replica.load(parts)

    async def _ask_state(
        self, peer: InstanceId, number: int, index: int
    ) -> StateAnswer:
        query = StateQuery(number, index)
        answer = await self._network.call(peer, query, CALL_TIMEOUT_MS)
        if answer.parts == 0 or (number and answer.number != number):
            raise PeerUnavailable(f"{peer} no longer holds state {number}")
        return answer

    async def _answer_changes(
        self, peer: InstanceId, query: ChangesQuery
    ) -> ChangesAnswer:
        age_ms = self._replica.staleness_ms
        changes = self._replica.changes_after(query.number, MAX_ANSWER_BYTES)
        return ChangesAnswer(
            self._replica.number, NEVER if age_ms is None else age_ms, changes
        )

    async def _answer_state(self, peer: InstanceId, query: StateQuery) -> StateAnswer:
        number = query.number or self._replica.number
        parts = self._parts_of(number)
        if query.index >= len(parts):
            return StateAnswer(number, 0)
        part = parts[query.index]
        return StateAnswer(
            number, len(parts), part.version_floor, part.objects, part.deleted
        )

    def _parts_of(self, number: int) -> list[SnapshotPart]:
        """Return the parts of a state that is held or was lately asked for."""
        if number in self._parts:
            return self._parts[number]
        if number != self._replica.number:
            return []
        state = self._replica.state
        parts = split_snapshot(state, part_bytes=MAX_ANSWER_BYTES)
        self._parts[number] = parts
        while len(self._parts) > KEPT_STATES:
            self._parts.popitem(last=False)
        return parts
