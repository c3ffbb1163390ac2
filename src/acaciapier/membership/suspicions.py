"""Suspicions: instances that did not answer and may still contradict."""

from dataclasses import dataclass

import msgspec

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..wire.messages.membership import MemberRecord, MemberState
from .health import LocalHealth

SUSPICION_S = 4.0
MIN_SUSPICION_S = 2.0


@dataclass(frozen=True)
class _Suspicion:
    record: MemberRecord
    since_s: float


class Suspicions:
    """Running suspicions and their ends.

    A suspected instance counts as running until its time is over. A peer's word
    that it is dead is taken only when it was suspected here for a while too;
    otherwise it counts as a suspicion, so that a peer which was cut off or frozen
    cannot remove the fleet with its late words.

    Parameters
    ----------
    clock : Clock
        Source of time.
    health : LocalHealth
        Stretches the time while the own process is slow.
    """

    def __init__(self, clock: Clock, health: LocalHealth):
        self._clock = clock
        self._health = health
        self._running: dict[InstanceId, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._running)

    def note(self, record: MemberRecord) -> None:
        """Start or end the suspicion that goes with a newly merged word."""
        instance_id = InstanceId(record.instance_id)
        if record.state is MemberState.SUSPECT:
            since_s = self._clock.monotonic_s()
            self._running[instance_id] = _Suspicion(record, since_s)
        else:
            self._running.pop(instance_id, None)

    def soften(self, heard: MemberRecord, present: MemberRecord | None) -> MemberRecord:
        """Return `heard`, as a suspicion if it comes without one before it."""
        if heard.state is not MemberState.DEAD or present is None:
            return heard
        if present.state in (MemberState.DEAD, MemberState.LEFT):
            return heard
        running = self._running.get(InstanceId(heard.instance_id))
        if running is not None:
            held_s = self._clock.monotonic_s() - running.since_s
            if held_s >= MIN_SUSPICION_S and not self._health.in_doubt:
                return heard
        return msgspec.structs.replace(heard, state=MemberState.SUSPECT)

    def take_due(self) -> list[MemberRecord]:
        """Return the words "dead" about instances whose time is over."""
        if self._health.in_doubt:
            return []
        now_s = self._clock.monotonic_s()
        limit_s = SUSPICION_S * self._health.multiplier
        due = [s for s in self._running.values() if now_s - s.since_s >= limit_s]
        return [
            msgspec.structs.replace(suspicion.record, state=MemberState.DEAD)
            for suspicion in due
        ]
