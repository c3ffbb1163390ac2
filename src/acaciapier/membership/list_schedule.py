"""Schedule for reading the instance list, and its comparison with the target table."""

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

READ_BUDGET_BYTES_PER_S = 6_000.0
MIN_READ_PERIOD_S = 1.0
READERS_PER_PERIOD = 2
FALLBACK_PERIODS = 4.0
FALLBACK_BASE_S = 10.0
ABSENCE_TIMEOUT_S = 5.0
MASS_ABSENCE_TIMEOUT_S = 60.0
MASS_ABSENCE_SHARE = 0.2
MIN_MASS_ABSENT_TARGETS = 4


class ListSchedule:
    """Decides which instances of a data centre read the instance list, and when.

    Time is divided into periods. In each period, the two instances of the data
    centre that rank first by a hash of period and id read the list. The length of a
    period keeps each instance within its budget of bytes per second. Instances may
    differ in their clocks and in the peers that they know; some periods are then
    read more or less often, which is harmless. An instance that has learnt of no
    reading for several periods reads the list regardless of its rank.

    Parameters
    ----------
    instance_id : InstanceId
        Id of this instance.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the jitter of fallback reads.
    """

    def __init__(self, instance_id: InstanceId, clock: Clock, random: Random):
        self._instance_id = instance_id
        self._clock = clock
        self._random = random
        self._list_bytes = 0
        self._newest_read_s = clock.monotonic_s()
        self._last_period = -1
        self._fallback_jitter = random.uniform(1.0, 2.0)

    @property
    def age_ms(self) -> int:
        """Age of the newest reading of the list by any instance, as far as known."""
        return int(to_ms(self._clock.monotonic_s() - self._newest_read_s))

    def record_read(self, size_bytes: int) -> None:
        """Record a successful reading of the list."""
        self._list_bytes = size_bytes
        self._newest_read_s = self._clock.monotonic_s()

    def record_peer_age(self, age_ms: int) -> None:
        """Record the age of the newest reading that a peer knows of."""
        self._newest_read_s = max(
            self._newest_read_s, self._clock.monotonic_s() - age_ms / 1000
        )

    def read_period_s(self, instances: int) -> float:
        """Return the length of a period: a power of two, for a data centre's size."""
        required_s = (
            READERS_PER_PERIOD
            * self._list_bytes
            / READ_BUDGET_BYTES_PER_S
            / max(1, instances)
        )
        period_s = MIN_READ_PERIOD_S
        while period_s < required_s:
            period_s *= 2
        return period_s

    def should_read(self, local_peers: Sequence[InstanceId]) -> bool:
        """Return whether to read now; `local_peers` are in the same data centre."""
        period_s = self.read_period_s(len(local_peers) + 1)
        if self.age_ms > to_ms(self._fallback_age_s(period_s)):
            self._fallback_jitter = self._random.uniform(1.0, 2.0)
            return True
        period = int(self._clock.now().timestamp() // period_s)
        if period == self._last_period:
            return False
        self._last_period = period
        own_hash = hash_text(f"{period}/{self._instance_id}")
        rank = sum(hash_text(f"{period}/{peer}") < own_hash for peer in local_peers)
        return rank < READERS_PER_PERIOD

    def _fallback_age_s(self, read_period_s: float) -> float:
        return (
            FALLBACK_BASE_S + FALLBACK_PERIODS * read_period_s
        ) * self._fallback_jitter


@dataclass(frozen=True)
class _Absence:
    since_s: float
    incarnation: int


class ListReconciler:
    """Derives updates of the target table from the instance list.

    A target counts as gone only if it is missing from two readings of the list that
    are some seconds apart. If many targets are missing at once, the list may be
    incomplete, and they count as gone only after a minute.

    Parameters
    ----------
    table : TargetTable
        The known targets; only read.
    clock : Clock
        Source of time.
    """

    def __init__(self, table: TargetTable, clock: Clock):
        self._table = table
        self._clock = clock
        self._absent: dict[TargetId, _Absence] = {}

    def find_updates(self, listed: InstanceList) -> list[TargetRecord]:
        """Return the target records in `listed` that may be newer than the table's."""
        targets = listed.targets()
        updates = [
            record.to_target_record()
            for record in targets
            if not self._is_known(record)
        ]
        return updates + self._find_gone({record.id for record in targets})

    def _is_known(self, record: ListedInstance) -> bool:
        current = self._table.get(TargetId(record.id))
        if current is None or current.incarnation < record.incarnation:
            return False
        if current.incarnation > record.incarnation:
            return True
        return current.state >= record.target_state

    def _find_gone(self, listed: set[str]) -> list[TargetRecord]:
        now_s = self._clock.monotonic_s()
        absent = {}
        for record in self._table.records():
            if record.state is TargetState.GONE or record.target_id in listed:
                continue
            key = TargetId(record.target_id)
            absence = self._absent.get(key)
            if absence is None or absence.incarnation != record.incarnation:
                absence = _Absence(now_s, record.incarnation)
            absent[key] = absence
        self._absent = absent
        timeout_s = self._absence_timeout_s(len(absent))
        return [
            msgspec.structs.replace(self._table.get(key), state=TargetState.GONE)
            for key, absence in absent.items()
            if now_s - absence.since_s >= timeout_s
        ]

    def _absence_timeout_s(self, absent: int) -> float:
        threshold = max(MIN_MASS_ABSENT_TARGETS, MASS_ABSENCE_SHARE * len(self._table))
        return MASS_ABSENCE_TIMEOUT_S if absent >= threshold else ABSENCE_TIMEOUT_S
