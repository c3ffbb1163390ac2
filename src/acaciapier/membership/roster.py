"""The member table with suspicions, own word and statuses around it."""

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
class RosterCounters:
    """Judgements made here."""

    suspicions: int = 0
    refutations: int = 0
    deaths: int = 0


class Roster:
    """Decides what a received or own word about instances leads to; no I/O.

    Parameters
    ----------
    own : OwnRecord
        Word about this instance.
    clock : Clock
        Source of time.
    spread : callable
        Called with the records that the fleet should hear.
    changed : callable
        Called with the records that changed the table.
    """

    def __init__(
        self,
        own: OwnRecord,
        clock: Clock,
        spread: Callable[[Sequence[MemberRecord]], None],
        changed: Callable[[Sequence[MemberRecord]], None],
    ):
        self.own = own
        self.table = MemberTable(clock)
        self.health = LocalHealth(clock)
        self.suspicions = Suspicions(clock, self.health)
        self.statuses = StatusBuffer()
        self.counters = RosterCounters()
        self._spread = spread
        self._changed = changed
        self.table.merge(own.record)

    def take(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merge received words; return those that were news."""
        news = []
        for record in records:
            if record.instance_id == self.own.record.instance_id:
                self._contradict(self.own.answer(record))
                continue
            present = self.table.get(InstanceId(record.instance_id))
            softened = self.suspicions.soften(record, present)
            if self.table.merge(softened):
                self.suspicions.note(softened)
                news.append(softened)
        if news:
            self._changed(news)
        return news

    def announce(self, record: MemberRecord) -> None:
        """Merge an own word, and spread it if it is news."""
        if self.table.merge(record):
            self.suspicions.note(record)
            self._changed([record])
            self._spread([record])

    def refute(self, refutation: int) -> None:
        """Contradict a suspicion of this instance at `refutation`."""
        self._contradict(self.own.refute(refutation))

    def suspect(self, judged: MemberRecord) -> None:
        """Suspect an instance, unless there was newer word meanwhile."""
        present = self.table.get(InstanceId(judged.instance_id))
        if present != judged or judged.state is not MemberState.ALIVE:
            return
        self.counters.suspicions += 1
        self.announce(msgspec.structs.replace(judged, state=MemberState.SUSPECT))

    def confirm_deaths(self) -> None:
        """Declare dead whom nobody defended in time."""
        for record in self.suspicions.take_due():
            self.counters.deaths += 1
            self.announce(record)

    def doubt_about(self, instance_id: InstanceId) -> int:
        """Return the refutation at which an instance is doubted here, or -1."""
        record = self.table.get(instance_id)
        if record is None or record.state not in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            return -1
        return record.refutation

    def hear_alive(
        self, instance_id: InstanceId, incarnation: int, refutation: int
    ) -> None:
        """Take an instance's own word that it is alive."""
        record = self.table.get(instance_id)
        if record is None or record.incarnation != incarnation:
            return
        if record.refutation == refutation:
            return
        alive = msgspec.structs.replace(
            record, refutation=refutation, state=MemberState.ALIVE
        )
        self.announce(alive)

    def take_statuses(self, statuses: Iterable[MemberStatus]) -> None:
        """Merge received statuses and pass the new ones on."""
        for status in statuses:
            if status.instance_id == self.own.record.instance_id:
                continue
            if self.table.merge_status(status):
                self.statuses.put(status)

    def tell_status(self, status: MemberStatus) -> None:
        """Pass the own status on."""
        self.table.merge_status(status)
        self.statuses.put(status)

    def _contradict(self, refutation: MemberRecord | None) -> None:
        if refutation is not None:
            self.counters.refutations += 1
            self.announce(refutation)
