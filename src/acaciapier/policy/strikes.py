"""Records about requests that crash targets, merged between instances."""

from ..core.ids import Fingerprint, Incarnation, TargetId
from .models import Strike, StrikeKind

COMMON_CAUSE_WINDOW_MS = 1_000
COMMON_CAUSE_TARGETS = 3
MAX_RECORDS = 20_000

Crash = tuple[TargetId, Incarnation]


class StrikeBook:
    """Set of records that only grows, until records expire.

    Two instances with the same records reach the same verdicts, in whatever
    order the records arrived.

    Parameters
    ----------
    expiry_ms : int
        Age after which a record is forgotten.
    """

    def __init__(self, expiry_ms: int):
        self._expiry_ms = expiry_ms
        self._records: dict[str, Strike] = {}
        self._of: dict[Fingerprint, dict[str, Strike]] = {}
        self._crashes: dict[Crash, dict[Fingerprint, int]] = {}

    def __iter__(self):
        return iter(tuple(self._records.values()))

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._of

    def fingerprints(self):
        """Return the fingerprints about which there are records."""
        return self._of.keys()

    def add(self, record: Strike) -> bool:
        """Merge one record; False if it was known already.

        Two instances that saw the same crash make the same record; the
        earlier time is kept.
        """
        known = self._records.get(record.record_id)
        if known is not None and known.at_ms <= record.at_ms:
            return False
        self._records[record.record_id] = record
        self._of.setdefault(record.fingerprint, {})[record.record_id] = record
        if record.kind is StrikeKind.CRASH:
            struck = self._crashes.setdefault(_crash(record), {})
            struck[record.fingerprint] = record.at_ms
        return known is None

    def expire(self, now_ms: int) -> None:
        """Forget the records that are too old, and the oldest if there are many."""
        oldest_ms = now_ms - self._expiry_ms
        expired = [one for one in self._records.values() if one.at_ms < oldest_ms]
        excess = len(self._records) - len(expired) - MAX_RECORDS
        if excess > 0:
            by_age = sorted(self._records.values(), key=lambda one: one.at_ms)
            expired = by_age[: len(expired) + excess]
        for record in expired:
            self._forget(record)

    def live_crashes(self, fingerprint: Fingerprint) -> dict[Crash, Strike]:
        """Return the crashes of `fingerprint` that no later record clears."""
        records = self._of.get(fingerprint, {}).values()
        cleared = [one for one in records if one.kind is not StrikeKind.CRASH]
        return {
            _crash(one): one
            for one in records
            if one.kind is StrikeKind.CRASH
            and not any(_clears(other, one) for other in cleared)
        }

    def companions(self, crash: Crash) -> list[Fingerprint]:
        """Return all fingerprints that were in flight at a crash, in one order."""
        return sorted(self._crashes.get(crash, ()))

    def has_common_cause(self, record: Strike) -> bool:
        """Return whether several targets crashed at once without the fingerprint."""
        others = {
            target
            for (target, _), struck in self._crashes.items()
            if target != record.target
            and record.fingerprint not in struck
            and abs(min(struck.values()) - record.at_ms) <= COMMON_CAUSE_WINDOW_MS
        }
        return len(others) >= COMMON_CAUSE_TARGETS

    def _forget(self, record: Strike) -> None:
        del self._records[record.record_id]
        mine = self._of[record.fingerprint]
        del mine[record.record_id]
        if not mine:
            del self._of[record.fingerprint]
        if record.kind is StrikeKind.CRASH:
            struck = self._crashes[_crash(record)]
            struck.pop(record.fingerprint, None)
            if not struck:
                del self._crashes[_crash(record)]


def _crash(record: Strike) -> Crash:
    return record.target, record.incarnation


def _clears(record: Strike, crash: Strike) -> bool:
    if crash.at_ms > record.at_ms:
        return False
    return record.kind is StrikeKind.RELEASE or record.pool == crash.pool
