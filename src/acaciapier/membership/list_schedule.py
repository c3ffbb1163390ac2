"""When to read the instance list, and what its records amount to."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from ..core.clock import Clock, to_ms
from ..core.ids import InstanceId, TargetId
from ..wire.messages.membership import TargetRecord, TargetState
from .digests import hash_text
from .instance_list import InstanceList, ListedInstance
from .target_table import TargetTable

READ_BYTES_PER_S = 6_000.0
MIN_SLOT_S = 1.0
READERS = 2
FALLBACK_SLOTS = 4.0
FALLBACK_S = 10.0
CONFIRM_ABSENCE_S = 5.0
CONFIRM_MASS_ABSENCE_S = 60.0
MASS_ABSENCE_SHARE = 0.2
MIN_MASS_ABSENCE = 4


class ListSchedule:
    """Decides which instances of a data centre read the list, and when.

    Time is cut into slots. In each slot, the two instances of the data centre
    that rank first by a hash of slot and id read. The slot is as long as a budget
    of bytes for each instance asks for. Views and clocks may differ: then a slot
    is read more or less often, which harms nothing. An instance that has had no
    news for some slots reads by itself.

    Parameters
    ----------
    instance_id : InstanceId
        This instance.
    clock : Clock
        Source of time.
    random : random.Random
        Spreads fallback reads.
    """

    def __init__(self, instance_id: InstanceId, clock: Clock, random: Random):
        self._instance_id = instance_id
        self._clock = clock
        self._random = random
        self._list_bytes = 0
        self._news_s = clock.monotonic_s()
        self._last_slot = -1
        self._patience = random.uniform(1.0, 2.0)

    @property
    def age_ms(self) -> int:
        """Age of the newest reading that is known here."""
        return int(to_ms(self._clock.monotonic_s() - self._news_s))

    def note_read(self, size_bytes: int) -> None:
        """Take note of a successful reading of the list."""
        self._list_bytes = size_bytes
        self._news_s = self._clock.monotonic_s()

    def note_age(self, age_ms: int) -> None:
        """Take note of the age of a peer's news."""
        self._news_s = max(self._news_s, self._clock.monotonic_s() - age_ms / 1000)

    def slot_s(self, instances: int) -> float:
        """Return the length of a slot, a power of two, for a data centre."""
        wanted_s = READERS * self._list_bytes / READ_BYTES_PER_S / max(1, instances)
        length_s = MIN_SLOT_S
        while length_s < wanted_s:
            length_s *= 2
        return length_s

    def should_read(self, local: Sequence[InstanceId]) -> bool:
        """Tell whether to read now; `local` holds the data centre's others."""
        length_s = self.slot_s(len(local) + 1)
        if self.age_ms > to_ms(self._fallback_s(length_s)):
            self._patience = self._random.uniform(1.0, 2.0)
            return True
        slot = int(self._clock.now().timestamp() // length_s)
        if slot == self._last_slot:
            return False
        self._last_slot = slot
        own = hash_text(f"{slot}/{self._instance_id}")
        before = sum(hash_text(f"{slot}/{peer}") < own for peer in local)
        return before < READERS

    def _fallback_s(self, slot_s: float) -> float:
        return (FALLBACK_S + FALLBACK_SLOTS * slot_s) * self._patience


@dataclass(frozen=True)
class _Absence:
    since_s: float
    incarnation: int


class ListReader:
    """Turns a reading of the list into new words about targets.

    A target that the list no longer holds is gone only after two readings some
    seconds apart; when many vanish at once, which an incomplete list looks like,
    only after a minute.

    Parameters
    ----------
    table : TargetTable
        What is known already.
    clock : Clock
        Source of time.
    """

    def __init__(self, table: TargetTable, clock: Clock):
        self._table = table
        self._clock = clock
        self._absent: dict[TargetId, _Absence] = {}

    def news(self, listed: InstanceList) -> list[TargetRecord]:
        """Return the words in `listed` that may be newer than the table's."""
        targets = listed.targets()
        news = [record.as_target() for record in targets if not self._is_known(record)]
        return news + self._find_gone({record.id for record in targets})

    def _is_known(self, record: ListedInstance) -> bool:
        present = self._table.get(TargetId(record.id))
        if present is None or present.incarnation < record.incarnation:
            return False
        if present.incarnation > record.incarnation:
            return True
        return present.state >= record.target_state

    def _find_gone(self, listed: set[str]) -> list[TargetRecord]:
        now_s = self._clock.monotonic_s()
        absent = {}
        for record in self._table.records():
            if record.state is TargetState.GONE or record.target_id in listed:
                continue
            key = TargetId(record.target_id)
            before = self._absent.get(key)
            if before is None or before.incarnation != record.incarnation:
                before = _Absence(now_s, record.incarnation)
            absent[key] = before
        self._absent = absent
        limit_s = self._confirm_s(len(absent))
        return [
            msgspec.structs.replace(self._table.get(key), state=TargetState.GONE)
            for key, absence in absent.items()
            if now_s - absence.since_s >= limit_s
        ]

    def _confirm_s(self, absent: int) -> float:
        mass = max(MIN_MASS_ABSENCE, MASS_ABSENCE_SHARE * len(self._table))
        return CONFIRM_MASS_ABSENCE_S if absent >= mass else CONFIRM_ABSENCE_S
