"""Targets as the fleet knows them: list, own words and peers' words together."""

from collections.abc import Callable, Sequence

from logbook import Logger

from ..core.clock import Clock
from ..core.ids import TargetId
from ..wire.messages.membership import TargetRecord, TargetUpdates
from .instance_list import InstanceList
from .list_schedule import ListReader
from .rumours import Rumours
from .target_table import TargetTable

UPDATE_RECORDS = 64
MAX_SPREAD_RECORDS = 512

log = Logger(__name__)


class TargetRoster:
    """Merges words about targets and spreads those that are first heard here.

    Parameters
    ----------
    clock : Clock
        Source of time.
    changed : callable
        Called with the records that changed the table.
    """

    def __init__(self, clock: Clock, changed: Callable[[Sequence[TargetRecord]], None]):
        self.table = TargetTable(clock)
        self._reader = ListReader(self.table, clock)
        self._changed = changed
        self._rumours: Rumours | None = None

    def attach(self, rumours: Rumours) -> None:
        """Spread and hear words through `rumours`."""
        self._rumours = rumours
        rumours.on_new(TargetUpdates, lambda message: self.take(message.records))

    def take(self, records: Sequence[TargetRecord]) -> list[TargetRecord]:
        """Merge words; return those that were news."""
        news = [record for record in records if self.table.merge(record)]
        if news:
            self._changed(news)
        return news

    def note_word(self, target_id: TargetId, incarnation: int, leaving: bool) -> None:
        """Take a target's own word from one of its answers."""
        record = self.table.word(target_id, incarnation, leaving)
        if record is not None:
            self._spread(self.take([record]))

    def note_list(self, listed: InstanceList) -> None:
        """Take a reading of the instance list."""
        news = self.take(self._reader.news(listed))
        if len(news) <= MAX_SPREAD_RECORDS:
            self._spread(news)
        else:
            log.info("{} new targets are left to table comparison", len(news))

    def _spread(self, news: Sequence[TargetRecord]) -> None:
        for start in range(0, len(news), UPDATE_RECORDS):
            chunk = tuple(news[start : start + UPDATE_RECORDS])
            self._rumours.publish(TargetUpdates(chunk))
