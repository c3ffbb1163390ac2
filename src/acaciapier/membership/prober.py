"""Probes: direct, then through others, then a suspicion."""

from collections.abc import Awaitable, Callable

import trio

from ..core.clock import Clock, to_ms, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable
from ..wire import PeerNetwork
from ..wire.messages.membership import (
    IndirectProbe,
    IndirectProbeAnswer,
    Probe,
    ProbeAnswer,
)
from .list_schedule import ListSchedule
from .peers import PeerSelector
from .roster import Roster

PROBE_TIMEOUT_MS = 500.0
INDIRECT_TIMEOUT_MS = 1_000.0
HELPERS = 3

Sleep = Callable[[float], Awaitable[None]]


class Prober:
    """Probes one peer after another and answers probes.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    roster : Roster
        Takes the outcomes.
    peers : PeerSelector
        Chooses whom to probe.
    schedule : ListSchedule
        Whose age of news travels along.
    clock : Clock
        Tells whether this process itself was late.
    """

    def __init__(
        self,
        network: PeerNetwork,
        roster: Roster,
        peers: PeerSelector,
        schedule: ListSchedule,
        clock: Clock,
    ):
        self.probes = 0
        self._network = network
        self._roster = roster
        self._peers = peers
        self._schedule = schedule
        self._clock = clock
        network.register(Probe, self._answer)
        network.register(IndirectProbe, self._answer_indirect)

    async def probe_next(self) -> None:
        """Probe one peer; suspect it if neither we nor others reach it."""
        peer = self._peers.next_probe()
        record = self._roster.table.get(peer) if peer is not None else None
        if record is None:
            return
        reached = await self._probe_timed(peer)
        self._roster.health.note_probe(peer, reached)
        if reached or self._roster.health.in_doubt:
            return
        reached = await self._probe_through_others(peer)
        if not reached and not self._roster.health.in_doubt:
            self._roster.suspect(record)

    async def _probe_timed(self, peer: InstanceId) -> bool:
        """Probe directly, and note when the wait took longer than it may."""
        timeout_ms = PROBE_TIMEOUT_MS * self._roster.health.multiplier
        start_s = self._clock.monotonic_s()
        reached = await self._probe(peer, timeout_ms)
        late_s = self._clock.monotonic_s() - start_s - to_s(timeout_ms)
        if late_s > 0:
            self._roster.health.note_wake_up(late_s)
        return reached

    async def _probe(self, peer: InstanceId, timeout_ms: float) -> bool:
        self.probes += 1
        message = Probe(
            self._roster.statuses.take(),
            self._schedule.age_ms,
            self._roster.doubt_about(peer),
        )
        try:
            answer = await self._network.call(peer, message, timeout_ms)
        except PeerUnavailable:
            return False
        if not isinstance(answer, ProbeAnswer):
            return False
        self._roster.hear_alive(peer, answer.incarnation, answer.refutation)
        self._take_news(answer)
        return True

    async def _probe_through_others(self, peer: InstanceId) -> bool:
        """Tell whether any of a few helpers reaches `peer`."""
        timeout_ms = INDIRECT_TIMEOUT_MS * self._roster.health.multiplier
        message = IndirectProbe(peer, timeout_ms / 2)
        reached = False

        async def ask(helper: InstanceId) -> None:
            nonlocal reached
            try:
                answer = await self._network.call(helper, message, timeout_ms)
            except PeerUnavailable:
                return
            if isinstance(answer, IndirectProbeAnswer) and answer.reached:
                reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for helper in self._peers.helpers(peer, HELPERS):
                nursery.start_soon(ask, helper)
        return reached

    async def _answer(self, peer: InstanceId, message: Probe) -> ProbeAnswer:
        if message.doubted >= 0:
            self._roster.refute(message.doubted)
        self._take_news(message)
        own = self._roster.own.record
        return ProbeAnswer(
            own.incarnation,
            own.refutation,
            self._roster.statuses.take(),
            self._schedule.age_ms,
            self._roster.doubt_about(peer),
        )

    async def _answer_indirect(
        self, peer: InstanceId, message: IndirectProbe
    ) -> IndirectProbeAnswer:
        timeout_ms = min(message.timeout_ms, to_ms(10.0))
        reached = await self._probe(InstanceId(message.instance_id), timeout_ms)
        return IndirectProbeAnswer(reached)

    def _take_news(self, message: Probe | ProbeAnswer) -> None:
        self._roster.take_statuses(message.statuses)
        self._schedule.note_age(message.list_age_ms)
        if isinstance(message, ProbeAnswer) and message.doubted >= 0:
            self._roster.refute(message.doubted)
