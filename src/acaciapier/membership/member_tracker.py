"""State of the members: table, suspicions, statuses and the record of this instance."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..wire.messages.membership import MemberRecord, MemberState, MemberStatus
from .health import LocalHealth
from .member_table import MemberTable
from .own_record import OwnRecord
from .statuses import StatusBuffer
from .suspicions import Suspicions


@dataclass
class MemberCounters:
    """Number of suspicions, refutations and deaths that this instance announced."""

    suspicions: int = 0
    refutations: int = 0
    deaths: int = 0


class MemberTracker:
    """Merges received and own records of instances, and reacts to them; no I/O.

    Parameters
    ----------
    own : OwnRecord
        Record of this instance.
    clock : Clock
        Source of time.
    publish : callable
        Called with the records to send to all instances.
    on_change : callable
        Called with the records that changed the table.
    """

    def __init__(
        self,
        own: OwnRecord,
        clock: Clock,
        publish: Callable[[Sequence[MemberRecord]], None],
        on_change: Callable[[Sequence[MemberRecord]], None],
    ):
        self.own = own
        self.table = MemberTable(clock)
        self.health = LocalHealth(clock)
        self.suspicions = Suspicions(clock, self.health)
        self.statuses = StatusBuffer()
        self.counters = MemberCounters()
        self._publish = publish
        self._on_change = on_change
        self.table.merge(own.record)

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merge received records; return those that changed the table."""
        merged = []
        for record in records:
            if record.instance_id == self.own.record.instance_id:
                self._announce_refutation(self.own.answer(record))
                continue
            current = self.table.get(InstanceId(record.instance_id))
            accepted = self.suspicions.downgrade_unconfirmed_death(record, current)
            if self.table.merge(accepted):
                self.suspicions.update(accepted)
                merged.append(accepted)
        if merged:
            self._on_change(merged)
        return merged

    def announce(self, record: MemberRecord) -> None:
        """Merge a record made by this instance; publish it if the table changed."""
        if self.table.merge(record):
            self.suspicions.update(record)
            self._on_change([record])
            self._publish([record])

    def refute(self, refutation: int) -> None:
        """Refute a suspicion of this instance at `refutation`."""
        self._announce_refutation(self.own.refute(refutation))

    def suspect(self, probed: MemberRecord) -> None:
        """Suspect an instance, unless its record has changed since the probe."""
        current = self.table.get(InstanceId(probed.instance_id))
        if current != probed or probed.state is not MemberState.ALIVE:
            return
        self.counters.suspicions += 1
        self.announce(msgspec.structs.replace(probed, state=MemberState.SUSPECT))

    def confirm_deaths(self) -> None:
        """Declare dead the suspected instances that were not refuted in time."""
        for record in self.suspicions.find_expired():
            self.counters.deaths += 1
            self.announce(record)

    def suspected_refutation(self, instance_id: InstanceId) -> int:
        """Return the refutation of an instance that is suspect or dead here, or -1."""
        record = self.table.get(instance_id)
        if record is None or record.state not in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            return -1
        return record.refutation

    def handle_alive(
        self, instance_id: InstanceId, incarnation: int, refutation: int
    ) -> None:
        """Handle a probe answer, by which an instance reports that it is alive."""
        record = self.table.get(instance_id)
        if record is None or record.incarnation != incarnation:
            return
        if record.refutation == refutation:
            return
        alive = msgspec.structs.replace(
            record, refutation=refutation, state=MemberState.ALIVE
        )
        self.announce(alive)

    def merge_statuses(self, statuses: Iterable[MemberStatus]) -> None:
        """Merge received statuses and forward the new ones."""
        for status in statuses:
            if status.instance_id == self.own.record.instance_id:
                continue
            if self.table.merge_status(status):
                self.statuses.put(status)

    def announce_status(self, status: MemberStatus) -> None:
        """Store the status of this instance and send it to peers."""
        self.table.merge_status(status)
        self.statuses.put(status)

    def _announce_refutation(self, record: MemberRecord | None) -> None:
        if record is not None:
            self.counters.refutations += 1
            self.announce(record)
