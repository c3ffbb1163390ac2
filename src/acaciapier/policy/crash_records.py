"""Set of crash records, merged between instances."""

from ..core.ids import Fingerprint, Incarnation, TargetId
from .models import CrashRecord, CrashRecordKind

COMMON_CAUSE_WINDOW_MS = 1_000
COMMON_CAUSE_TARGETS = 3
MAX_RECORDS = 20_000

Crash = tuple[TargetId, Incarnation]


class CrashRecords:
    """A set of crash records that grows by merging and shrinks only by expiry.

    Instances with the same records reach the same decisions, regardless of the
    order in which the records arrived.

    Parameters
    ----------
    expiry_ms : int
        Age after which a record is removed.
    """

    def __init__(self, expiry_ms: int):
        self._expiry_ms = expiry_ms
        self._records: dict[str, CrashRecord] = {}
        self._by_fingerprint: dict[Fingerprint, dict[str, CrashRecord]] = {}
        self._fingerprints_by_crash: dict[Crash, dict[Fingerprint, int]] = {}

    def __iter__(self):
        return iter(tuple(self._records.values()))

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._by_fingerprint

    def fingerprints(self):
        """Return the fingerprints that have records."""
        return self._by_fingerprint.keys()

    def add(self, record: CrashRecord) -> bool:
        """Merge one record; return False if it was already present.

        Two instances that observe the same crash create records with the same id,
        of which the earlier one is kept.
        """
        existing = self._records.get(record.record_id)
        if existing is not None and existing.at_ms <= record.at_ms:
            return False
        self._records[record.record_id] = record
        self._by_fingerprint.setdefault(record.fingerprint, {})[record.record_id] = (
            record
        )
        if record.kind is CrashRecordKind.CRASH:
            fingerprints = self._fingerprints_by_crash.setdefault(_crash_of(record), {})
            fingerprints[record.fingerprint] = record.at_ms
        return existing is None

    def expire(self, now_ms: int) -> None:
        """Remove expired records, and the oldest ones above `MAX_RECORDS`."""
        oldest_ms = now_ms - self._expiry_ms
        expired = [
            record for record in self._records.values() if record.at_ms < oldest_ms
        ]
        excess = len(self._records) - len(expired) - MAX_RECORDS
        if excess > 0:
            by_age = sorted(self._records.values(), key=lambda record: record.at_ms)
            expired = by_age[: len(expired) + excess]
        for record in expired:
            self._remove(record)

    def live_crashes(self, fingerprint: Fingerprint) -> dict[Crash, CrashRecord]:
        """Return the crashes of `fingerprint` that no later record clears."""
        records = self._by_fingerprint.get(fingerprint, {}).values()
        clearing = [
            record for record in records if record.kind is not CrashRecordKind.CRASH
        ]
        return {
            _crash_of(record): record
            for record in records
            if record.kind is CrashRecordKind.CRASH
            and not any(
                _clears(clearing_record, record) for clearing_record in clearing
            )
        }

    def fingerprints_at(self, crash: Crash) -> list[Fingerprint]:
        """Return all fingerprints that were in flight at a crash, sorted."""
        return sorted(self._fingerprints_by_crash.get(crash, ()))

    def has_common_cause(self, record: CrashRecord) -> bool:
        """Return whether several other targets crashed at about the same time.

        Only targets that did not run the fingerprint of `record` count.
        """
        other_targets = {
            target
            for (target, _), fingerprints in self._fingerprints_by_crash.items()
            if target != record.target
            and record.fingerprint not in fingerprints
            and abs(min(fingerprints.values()) - record.at_ms) <= COMMON_CAUSE_WINDOW_MS
        }
        return len(other_targets) >= COMMON_CAUSE_TARGETS

    def _remove(self, record: CrashRecord) -> None:
        del self._records[record.record_id]
        same_fingerprint = self._by_fingerprint[record.fingerprint]
        del same_fingerprint[record.record_id]
        if not same_fingerprint:
            del self._by_fingerprint[record.fingerprint]
        if record.kind is CrashRecordKind.CRASH:
            fingerprints = self._fingerprints_by_crash[_crash_of(record)]
            fingerprints.pop(record.fingerprint, None)
            if not fingerprints:
                del self._fingerprints_by_crash[_crash_of(record)]


def _crash_of(record: CrashRecord) -> Crash:
    return record.target, record.incarnation


def _clears(record: CrashRecord, crash: CrashRecord) -> bool:
    if crash.at_ms > record.at_ms:
        return False
    return record.kind is CrashRecordKind.RELEASE or record.pool == crash.pool
