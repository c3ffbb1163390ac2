"""Failure detection by probes: direct, then indirect, then a suspicion."""

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
from .member_tracker import MemberTracker
from .peers import PeerSelector

PROBE_TIMEOUT_MS = 500.0
INDIRECT_TIMEOUT_MS = 1_000.0
INDIRECT_PROBE_HELPERS = 3

Sleep = Callable[[float], Awaitable[None]]


class Prober:
    """Probes one peer after another and answers the probes of others.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    member_tracker : MemberTracker
        Receives the outcomes of probes.
    peers : PeerSelector
        Chooses the peers to probe.
    schedule : ListSchedule
        Age of the newest reading of the instance list, sent along with probes.
    clock : Clock
        Source of time, to detect that this process itself was delayed.
    """

    def __init__(
        self,
        network: PeerNetwork,
        member_tracker: MemberTracker,
        peers: PeerSelector,
        schedule: ListSchedule,
        clock: Clock,
    ):
        self.probes_sent = 0
        self._network = network
        self._member_tracker = member_tracker
        self._peers = peers
        self._schedule = schedule
        self._clock = clock
        network.register(Probe, self._handle_probe)
        network.register(IndirectProbe, self._handle_indirect_probe)

    async def probe_next(self) -> None:
        """Probe one peer; suspect it if neither this instance nor helpers reach it."""
        peer = self._peers.pick_probe_peer()
        record = self._member_tracker.table.get(peer) if peer is not None else None
        if record is None:
            return
        reached = await self._probe_timed(peer)
        self._member_tracker.health.record_probe(peer, reached)
        if reached or self._member_tracker.health.recently_frozen:
            return
        reached = await self._probe_indirectly(peer)
        if not reached and not self._member_tracker.health.recently_frozen:
            self._member_tracker.suspect(record)

    async def _probe_timed(self, peer: InstanceId) -> bool:
        """Probe `peer` directly; record if the wait exceeded its timeout."""
        timeout_ms = PROBE_TIMEOUT_MS * self._member_tracker.health.timeout_multiplier
        start_s = self._clock.monotonic_s()
        reached = await self._probe(peer, timeout_ms)
        late_s = self._clock.monotonic_s() - start_s - to_s(timeout_ms)
        if late_s > 0:
            self._member_tracker.health.record_wake_up(late_s)
        return reached

    async def _probe(self, peer: InstanceId, timeout_ms: float) -> bool:
        self.probes_sent += 1
        message = Probe(
            self._member_tracker.statuses.next_batch(),
            self._schedule.age_ms,
            self._member_tracker.suspected_refutation(peer),
        )
        try:
            answer = await self._network.call(peer, message, timeout_ms)
        except PeerUnavailable:
            return False
        if not isinstance(answer, ProbeAnswer):
            return False
        self._member_tracker.handle_alive(peer, answer.incarnation, answer.refutation)
        self._merge_piggybacked(answer)
        return True

    async def _probe_indirectly(self, peer: InstanceId) -> bool:
        """Return whether any of a few helpers reaches `peer`."""
        timeout_ms = (
            INDIRECT_TIMEOUT_MS * self._member_tracker.health.timeout_multiplier
        )
        message = IndirectProbe(peer, timeout_ms / 2)
        reached = False

        async def probe_through(helper: InstanceId) -> None:
            nonlocal reached
            try:
                answer = await self._network.call(helper, message, timeout_ms)
            except PeerUnavailable:
                return
            if isinstance(answer, IndirectProbeAnswer) and answer.reached:
                reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for helper in self._peers.pick_probe_helpers(peer, INDIRECT_PROBE_HELPERS):
                nursery.start_soon(probe_through, helper)
        return reached

    async def _handle_probe(self, peer: InstanceId, message: Probe) -> ProbeAnswer:
        if message.suspected_refutation >= 0:
            self._member_tracker.refute(message.suspected_refutation)
        self._merge_piggybacked(message)
        own = self._member_tracker.own.record
        return ProbeAnswer(
            own.incarnation,
            own.refutation,
            self._member_tracker.statuses.next_batch(),
            self._schedule.age_ms,
            self._member_tracker.suspected_refutation(peer),
        )

    async def _handle_indirect_probe(
        self, peer: InstanceId, message: IndirectProbe
    ) -> IndirectProbeAnswer:
        timeout_ms = min(message.timeout_ms, to_ms(10.0))
        reached = await self._probe(InstanceId(message.instance_id), timeout_ms)
        return IndirectProbeAnswer(reached)

    def _merge_piggybacked(self, message: Probe | ProbeAnswer) -> None:
        self._member_tracker.merge_statuses(message.statuses)
        self._schedule.record_peer_age(message.list_age_ms)
        if isinstance(message, ProbeAnswer) and message.suspected_refutation >= 0:
            self._member_tracker.refute(message.suspected_refutation)
