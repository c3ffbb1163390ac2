"""Table of the runs of an instance, both running and recently ended."""

from collections import OrderedDict
from dataclasses import dataclass

from ..core.clock import Clock, to_ms
from ..core.ids import RequestId, WorkspaceId
from ..pipeline import RunRecord

MAX_ENDED_RECORDS = 20_000


@dataclass(frozen=True)
class RecordKey:
    """Workspace and id of a request."""

    workspace: WorkspaceId
    request_id: RequestId


class RecordTable:
    """Runs by request; ended runs are retained so that callers can fetch the answer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    keep_ended_ms : float
        Retention of the record of a repeatable request after its end.
    keep_ended_claimed_ms : float
        Retention of the record of a request that may not be repeated.
    """

    def __init__(
        self, clock: Clock, keep_ended_ms: float, keep_ended_claimed_ms: float
    ):
        self._clock = clock
        self._keep_ended_ms = keep_ended_ms
        self._keep_ended_claimed_ms = keep_ended_claimed_ms
        self._running: dict[RecordKey, RunRecord] = {}
        self._ended: OrderedDict[RecordKey, RunRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of running records."""
        return len(self._running)

    @property
    def running(self) -> list[RunRecord]:
        """Records of the runs that have not ended."""
        return list(self._running.values())

    def get(self, key: RecordKey) -> RunRecord | None:
        """Return the record of a request, running or ended, or None."""
        return self._running.get(key) or self._ended.get(key)

    def add(self, key: RecordKey, record: RunRecord) -> None:
        """Add a running record; it replaces an ended one of the same request."""
        self._ended.pop(key, None)
        self._running[key] = record

    def end(self, key: RecordKey, keep: bool) -> None:
        """Mark a record as ended; remove it unless `keep` is set."""
        record = self._running.pop(key, None)
        if record is not None and keep:
            self._ended[key] = record

    def evict_ended(self) -> None:
        """Evict ended records without readers that expired or exceed the limit."""
        now_s = self._clock.monotonic_s()
        for key, record in list(self._ended.items()):
            age_ms = to_ms(now_s - (record.ended_s or now_s))
            too_many = len(self._ended) > MAX_ENDED_RECORDS
            if record.readers == 0 and (
                too_many or age_ms > self._retention_ms(record)
            ):
                del self._ended[key]

    def _retention_ms(self, record: RunRecord) -> float:
        if record.request.repeatable:
            return self._keep_ended_ms
        return self._keep_ended_claimed_ms
