"""Isolation and blocking of requests that crash the targets they run on."""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from random import Random

import xxhash

from ..core.clock import Clock, epoch_ms
from ..core.ids import Fingerprint, PoolName, TargetId
from ..core.outcomes import Cause
from .crash_records import Crash, CrashRecords
from .models import CallOutcome, CallReport, CrashRecord, CrashRecordKind, Refused
from .settings import PolicySettings
from .subset import rendezvous_rank

MAX_CRASHED_TARGETS = 2
MAX_KNOWN_GOOD = 50_000
TRIAL_TURN_MS = 1_000
RECORD_ID_BITS = 96
EXPIRY_INTERVAL_MS = 1_000


class Quarantine:
    """Decides which requests may run, and which of them need isolation.

    Requests are identified by the fingerprint of their content. A fingerprint that
    was in flight at one crash is a suspect: it runs on one target at a time, and
    never on the same target as another suspect. After two crashes it is blocked.
    A success on a target of the same pool clears it.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.
    random : Random
        Source of record ids.
    settings : PolicySettings
        Expiry of records, and the time they take to reach all instances.
    """

    def __init__(self, clock: Clock, random: Random, settings: PolicySettings):
        self._clock = clock
        self._random = random
        self._settings = settings
        self._records = CrashRecords(settings.crash_record_expiry_ms)
        self._in_flight: dict[tuple[Fingerprint, PoolName], Counter[TargetId]] = {}
        self._known_good: OrderedDict[tuple[Fingerprint, PoolName], None] = (
            OrderedDict()
        )
        self._unshared: list[CrashRecord] = []
        self._last_expiry_ms = 0

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes count against `fingerprint`.

        If one of its crashes coincided with crashes of several other targets that
        did not run it, a common cause is likely, and one crash is not counted.
        This applies only once, and only if there are enough crashes to block it.
        """
        if fingerprint not in self._records:
            return 0
        crashes = self._live_crashes(fingerprint)
        count = len(crashes)
        if count >= MAX_CRASHED_TARGETS and any(
            self._records.has_common_cause(record) for record in crashes.values()
        ):
            return count - 1
        return count

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether `fingerprint` has a crash that no later record cleared."""
        return self.crash_count(fingerprint) > 0

    def blocked(self, fingerprint: Fingerprint) -> Refused | None:
        """Return a refusal if `fingerprint` is blocked, otherwise None."""
        if self.crash_count(fingerprint) < MAX_CRASHED_TARGETS:
            return None
        newest_ms = max(
            record.at_ms for record in self._live_crashes(fingerprint).values()
        )
        remaining_ms = (
            newest_ms + self._settings.crash_record_expiry_ms - self._now_ms()
        )
        message = "targets crashed while they ran this request"
        return Refused(Cause.BLOCKED, max(remaining_ms, 1), message)

    def settle_wait_ms(self, fingerprint: Fingerprint) -> int:
        """Return how long a suspect waits for its records to reach all instances."""
        crashes = self._live_crashes(fingerprint).values()
        newest_ms = max((record.at_ms for record in crashes), default=0)
        settled_ms = newest_ms + self._settings.crash_record_settle_ms
        return max(0, settled_ms - self._now_ms())

    def includes_suspect(self, fingerprints, excluding: Fingerprint | None) -> bool:
        """Return whether a suspect other than `excluding` is among `fingerprints`."""
        recorded = self._records.fingerprints()
        return bool(recorded) and any(
            fingerprint != excluding and self.suspected(fingerprint)
            for fingerprint in fingerprints
            if fingerprint in recorded
        )

    def allowed_targets(
        self, fingerprint: Fingerprint, pool: PoolName
    ) -> frozenset[TargetId] | None:
        """Return the only targets that a further copy may use, or None for any.

        Concurrent copies of a fingerprint that has not succeeded yet are confined
        to as many targets as it may still crash before it is blocked.
        """
        running = self._in_flight.get((fingerprint, pool), ())
        if not running or (fingerprint, pool) in self._known_good:
            return None
        if len(running) + self.crash_count(fingerprint) < MAX_CRASHED_TARGETS:
            return None
        return frozenset(running)

    def trial_order(
        self, fingerprint: Fingerprint, targets: Sequence[TargetId]
    ) -> Sequence[TargetId]:
        """Return the targets on which a suspect may run, the preferred one first.

        Instances with the same crash records and targets assign the suspects of
        one crash to different targets without coordination. If there are more
        suspects than targets, they take turns of `TRIAL_TURN_MS`, and the result
        is empty before a suspect's turn.
        """
        crashes = self._live_crashes(fingerprint)
        if not crashes:
            return targets
        crash = min(crashes, key=lambda candidate: crashes[candidate].at_ms)
        candidates = [target for target in targets if target != crash[0]] or list(
            targets
        )
        suspects = self._records.fingerprints_at(crash)
        turn, _ = divmod(suspects.index(fingerprint), max(len(candidates), 1))
        elapsed_ms = self._now_ms() - crashes[crash].at_ms
        if elapsed_ms < turn * TRIAL_TURN_MS:
            return ()
        turn_suspects = suspects[turn * len(candidates) : (turn + 1) * len(candidates)]
        assigned = _assign(turn_suspects, candidates)
        own_target = assigned.pop(fingerprint)
        assigned_targets = set(assigned.values())
        order = [own_target] + [
            target
            for target in candidates
            if target != own_target and target not in assigned_targets
        ]
        if elapsed_ms >= (turn + 1) * TRIAL_TURN_MS:
            order += sorted(assigned_targets)
        return order

    def sent(self, fingerprint: Fingerprint, pool: PoolName, target: TargetId) -> None:
        """Count a call as in flight."""
        running = self._in_flight.setdefault((fingerprint, pool), Counter())
        running[target] += 1

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Record the end of a call; a crash or a success may create a record."""
        key = (fingerprint, report.pool)
        self._remove_in_flight(key, report.target)
        if report.outcome is CallOutcome.CRASHED:
            self._add(self._crash_record(report, fingerprint))
        elif report.outcome is CallOutcome.DONE:
            self._mark_known_good(key)
            if self._live_crashes(fingerprint):
                kind = CrashRecordKind.SUCCESS
                self._add(self._record(kind, fingerprint, report))

    def release(self, fingerprint: Fingerprint) -> None:
        """Clear `fingerprint` on request of an operator.

        This also clears older crashes whose records arrive later.
        """
        self._add(self._record(CrashRecordKind.RELEASE, fingerprint, None))

    def records(self) -> tuple[CrashRecord, ...]:
        """Return all records, for a peer that may lack some."""
        self._expire()
        return tuple(self._records)

    @property
    def digest(self) -> int:
        """Hash of all records, by which instances compare them; 0 without records."""
        digest = 0
        for record in self.records():
            digest ^= xxhash.xxh32_intdigest(record.record_id.encode())
        return digest

    def pop_new_records(self) -> tuple[CrashRecord, ...]:
        """Return and clear the records created here, to send to peers."""
        new, self._unshared = tuple(self._unshared), []
        return new

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Merge the records of another instance."""
        for record in records:
            self._records.add(record)
        self._expire()

    def _live_crashes(self, fingerprint: Fingerprint) -> dict[Crash, CrashRecord]:
        oldest_ms = self._now_ms() - self._settings.crash_record_expiry_ms
        crashes = self._records.live_crashes(fingerprint)
        return {
            crash: record
            for crash, record in crashes.items()
            if record.at_ms >= oldest_ms
        }

    def _add(self, record: CrashRecord) -> None:
        if self._records.add(record):
            self._unshared.append(record)
        self._expire()

    def _expire(self) -> None:
        now_ms = self._now_ms()
        if now_ms - self._last_expiry_ms >= EXPIRY_INTERVAL_MS:
            self._last_expiry_ms = now_ms
            self._records.expire(now_ms)

    def _mark_known_good(self, key: tuple[Fingerprint, PoolName]) -> None:
        self._known_good[key] = None
        self._known_good.move_to_end(key)
        if len(self._known_good) > MAX_KNOWN_GOOD:
            self._known_good.popitem(last=False)

    def _remove_in_flight(
        self, key: tuple[Fingerprint, PoolName], target: TargetId
    ) -> None:
        running = self._in_flight.get(key)
        if running is None:
            return
        running[target] -= 1
        if running[target] <= 0:
            del running[target]
        if not running:
            del self._in_flight[key]

    def _crash_record(
        self, report: CallReport, fingerprint: Fingerprint
    ) -> CrashRecord:
        self._known_good.pop((fingerprint, report.pool), None)
        record_id = f"crash/{report.target}/{report.incarnation}/{fingerprint}"
        return self._record(CrashRecordKind.CRASH, fingerprint, report, record_id)

    def _record(
        self,
        kind: CrashRecordKind,
        fingerprint: Fingerprint,
        report: CallReport | None,
        record_id: str | None = None,
    ) -> CrashRecord:
        return CrashRecord(
            record_id=record_id
            or f"{kind.value}/{self._random.getrandbits(RECORD_ID_BITS):x}",
            kind=kind,
            fingerprint=fingerprint,
            pool=report.pool if report else None,
            target=report.target if report else None,
            incarnation=report.incarnation if report else None,
            at_ms=self._now_ms(),
        )

    def _now_ms(self) -> int:
        return epoch_ms(self._clock.now())


def _assign(
    fingerprints: Sequence[Fingerprint], targets: Sequence[TargetId]
) -> dict[Fingerprint, TargetId]:
    """Assign each fingerprint, in order, its highest-ranked unassigned target."""
    free = list(targets)
    assigned = {}
    for fingerprint in fingerprints:
        best = max(free, key=lambda target: rendezvous_rank(fingerprint, target))
        assigned[fingerprint] = best
        free.remove(best)
    return assigned
