"""Suspicions: instances that did not answer a probe and may still refute it."""

from dataclasses import dataclass

import msgspec

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..wire.messages.membership import MemberRecord, MemberState
from .health import LocalHealth

SUSPICION_TIMEOUT_S = 4.0
MIN_SUSPICION_AGE_S = 2.0


@dataclass(frozen=True)
class _Suspicion:
    record: MemberRecord
    since_s: float


class Suspicions:
    """Active suspicions and their timeouts.

    A suspected instance counts as running until its suspicion times out. A record
    from a peer that declares it dead is accepted only if this instance has suspected
    it for a while too; otherwise it is treated as a suspicion. So a peer that was
    partitioned or frozen cannot remove the whole fleet by its outdated records.

    Parameters
    ----------
    clock : Clock
        Source of time.
    health : LocalHealth
        Extends the timeout while this process is slow.
    """

    def __init__(self, clock: Clock, health: LocalHealth):
        self._clock = clock
        self._health = health
        self._active: dict[InstanceId, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._active)

    def update(self, record: MemberRecord) -> None:
        """Start or end a suspicion according to a newly merged record."""
        instance_id = InstanceId(record.instance_id)
        if record.state is MemberState.SUSPECT:
            since_s = self._clock.monotonic_s()
            self._active[instance_id] = _Suspicion(record, since_s)
        else:
            self._active.pop(instance_id, None)

    def downgrade_unconfirmed_death(
        self, received: MemberRecord, current: MemberRecord | None
    ) -> MemberRecord:
        """Return `received`, with an unconfirmed death changed to a suspicion.

        A death is confirmed if the instance has been suspected here for
        `MIN_SUSPICION_AGE_S`.
        """
        if received.state is not MemberState.DEAD or current is None:
            return received
        if current.state in (MemberState.DEAD, MemberState.LEFT):
            return received
        suspicion = self._active.get(InstanceId(received.instance_id))
        if suspicion is not None:
            age_s = self._clock.monotonic_s() - suspicion.since_s
            if age_s >= MIN_SUSPICION_AGE_S and not self._health.recently_frozen:
                return received
        return msgspec.structs.replace(received, state=MemberState.SUSPECT)

    def find_expired(self) -> list[MemberRecord]:
        """Return records that declare dead the instances whose suspicion timed out."""
        if self._health.recently_frozen:
            return []
        now_s = self._clock.monotonic_s()
        timeout_s = SUSPICION_TIMEOUT_S * self._health.timeout_multiplier
        expired = [s for s in self._active.values() if now_s - s.since_s >= timeout_s]
        return [
            msgspec.structs.replace(suspicion.record, state=MemberState.DEAD)
            for suspicion in expired
        ]
