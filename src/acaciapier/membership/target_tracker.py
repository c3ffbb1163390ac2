"""State of the targets, merged from the instance list, targets and peers."""

from collections.abc import Callable, Sequence

from logbook import Logger

from ..core.clock import Clock
from ..core.ids import TargetId
from ..wire.messages.membership import TargetRecord, TargetUpdates
from .gossip import Gossip
from .instance_list import InstanceList
from .list_schedule import ListReconciler
from .target_table import TargetTable

MAX_RECORDS_PER_MESSAGE = 64
MAX_GOSSIPED_RECORDS = 512

log = Logger("acaciapier.membership.target_roster")


class TargetTracker:
    """Merges records of targets; publishes those that this instance learnt first.

    Records from targets and from the instance list are published by gossip; records
    from peers are not published again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_change : callable
        Called with the records that changed the table.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[Sequence[TargetRecord]], None]
    ):
        self.table = TargetTable(clock)
        self._list_reconciler = ListReconciler(self.table, clock)
        self._on_change = on_change
        self._gossip: Gossip | None = None

    def attach(self, gossip: Gossip) -> None:
        """Publish and receive records through `gossip`."""
        self._gossip = gossip
        gossip.on_new(TargetUpdates, lambda message: self.merge(message.records))

    def merge(self, records: Sequence[TargetRecord]) -> list[TargetRecord]:
        """Merge records; return those that changed the table."""
        merged = [record for record in records if self.table.merge(record)]
        if merged:
            self._on_change(merged)
        return merged

    def record_report(
        self, target_id: TargetId, incarnation: int, leaving: bool
    ) -> None:
        """Record the incarnation and state that a target reported in an answer."""
        record = self.table.record_from_report(target_id, incarnation, leaving)
        if record is not None:
            self._publish(self.merge([record]))

    def merge_list(self, listed: InstanceList) -> None:
        """Merge a reading of the instance list.

        Large updates are not published by gossip; table synchronization spreads them.
        """
        merged = self.merge(self._list_reconciler.find_updates(listed))
        if len(merged) <= MAX_GOSSIPED_RECORDS:
            self._publish(merged)
        else:
            log.info("{} target updates left to table synchronization", len(merged))

    def _publish(self, records: Sequence[TargetRecord]) -> None:
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            chunk = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
            self._gossip.publish(TargetUpdates(chunk))
