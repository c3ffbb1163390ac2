"""Isolation and blocking of the request that crashes each target it runs on."""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from random import Random

from ..core.clock import Clock, epoch_ms
from ..core.ids import Fingerprint, PoolName, TargetId
from ..core.outcomes import Cause
from .models import CallOutcome, CallReport, Refused, Strike, StrikeKind
from .settings import PolicySettings
from .strikes import Crash, StrikeBook
from .subset import rendezvous_rank

MAX_CRASHED_TARGETS = 2
MAX_PROVEN = 50_000
TURN_MS = 1_000
ID_BITS = 96
EXPIRE_GAP_MS = 1_000


class Quarantine:
    """Decides which request contents may run, and beside which others.

    A content that was in flight at one crash is a suspect: it runs on one
    target at a time, beside no other suspect. After two crashes it is
    blocked. A success on a target of the same pool clears it.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.
    random : Random
        Source of record ids.
    settings : PolicySettings
        Expiry and settling time of records.
    """

    def __init__(self, clock: Clock, random: Random, settings: PolicySettings):
        self._clock = clock
        self._random = random
        self._settings = settings
        self._book = StrikeBook(settings.strike_expiry_ms)
        self._in_flight: dict[tuple[Fingerprint, PoolName], Counter[TargetId]] = {}
        self._proven: OrderedDict[tuple[Fingerprint, PoolName], None] = OrderedDict()
        self._unsent: list[Strike] = []
        self._expired_ms = 0

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many crashed targets count against `fingerprint`.

        One crash that coincided with crashes of several other targets does
        not count towards blocking, once.
        """
        if fingerprint not in self._book:
            return 0
        crashes = self._live(fingerprint)
        count = len(crashes)
        if count >= MAX_CRASHED_TARGETS and any(
            self._book.has_common_cause(one) for one in crashes.values()
        ):
            return count - 1
        return count

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether a target crashed under `fingerprint` and none ran it since."""
        return self.crash_count(fingerprint) > 0

    def blocked(self, fingerprint: Fingerprint) -> Refused | None:
        """Return why `fingerprint` may not run, or None."""
        if self.crash_count(fingerprint) < MAX_CRASHED_TARGETS:
            return None
        newest_ms = max(one.at_ms for one in self._live(fingerprint).values())
        left_ms = newest_ms + self._settings.strike_expiry_ms - self._now_ms()
        message = "targets crashed while they ran this request"
        return Refused(Cause.BLOCKED, max(left_ms, 1), message)

    def settling_ms(self, fingerprint: Fingerprint) -> int:
        """Return how long a suspect has to wait until its strikes are known."""
        crashes = self._live(fingerprint).values()
        newest_ms = max((one.at_ms for one in crashes), default=0)
        settled_ms = newest_ms + self._settings.strike_settle_ms
        return max(0, settled_ms - self._now_ms())

    def is_suspect_on(self, fingerprints, besides: Fingerprint | None) -> bool:
        """Return whether a suspect other than `besides` is among `fingerprints`."""
        known = self._book.fingerprints()
        return bool(known) and any(
            one != besides and self.suspected(one)
            for one in fingerprints
            if one in known
        )

    def only_targets(
        self, fingerprint: Fingerprint, pool: PoolName
    ) -> frozenset[TargetId] | None:
        """Return the only targets that a further copy may use, None for any.

        Copies of a content that has not succeeded yet are kept on as many
        targets as it may still crash.
        """
        running = self._in_flight.get((fingerprint, pool), ())
        if not running or (fingerprint, pool) in self._proven:
            return None
        if len(running) + self.crash_count(fingerprint) < MAX_CRASHED_TARGETS:
            return None
        return frozenset(running)

    def trial_order(
        self, fingerprint: Fingerprint, targets: Sequence[TargetId]
    ) -> Sequence[TargetId]:
        """Return the targets on which a suspect may run, the best first.

        All instances that know the same strikes and targets give the suspects
        of one crash different targets. With more suspects than targets they
        take turns, and until its turn there is no target for a suspect.
        """
        crashes = self._live(fingerprint)
        if not crashes:
            return targets
        crash = min(crashes, key=lambda one: crashes[one].at_ms)
        others = [one for one in targets if one != crash[0]] or list(targets)
        companions = self._book.companions(crash)
        turn, _ = divmod(companions.index(fingerprint), max(len(others), 1))
        since_ms = self._now_ms() - crashes[crash].at_ms
        if since_ms < turn * TURN_MS:
            return ()
        same_turn = companions[turn * len(others) : (turn + 1) * len(others)]
        assigned = _assign(same_turn, others)
        own = assigned.pop(fingerprint)
        taken = set(assigned.values())
        order = [own] + [one for one in others if one != own and one not in taken]
        if since_ms >= (turn + 1) * TURN_MS:
            order += sorted(taken)
        return order

    def sent(self, fingerprint: Fingerprint, pool: PoolName, target: TargetId) -> None:
        """Count a call as in flight."""
        running = self._in_flight.setdefault((fingerprint, pool), Counter())
        running[target] += 1

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Take over how a call ended."""
        key = (fingerprint, report.pool)
        self._count_down(key, report.target)
        if report.outcome is CallOutcome.CRASHED:
            self._add(self._crash_record(report, fingerprint))
        elif report.outcome is CallOutcome.DONE:
            self._prove(key)
            if self._live(fingerprint):
                kind = StrikeKind.ACQUITTAL
                self._add(self._record(kind, fingerprint, report))

    def release(self, fingerprint: Fingerprint) -> None:
        """Clear `fingerprint` on an operator's order, also of unknown older strikes."""
        self._add(self._record(StrikeKind.RELEASE, fingerprint, None))

    def records(self) -> tuple[Strike, ...]:
        """Return all records, for an instance that lacks some."""
        self._expire()
        return tuple(self._book)

    def take_new_records(self) -> tuple[Strike, ...]:
        """Return the records made here since the last call, to be sent to peers."""
        new, self._unsent = tuple(self._unsent), []
        return new

    def merge(self, records: Iterable[Strike]) -> None:
        """Take over the records of another instance."""
        for record in records:
            self._book.add(record)
        self._expire()

    def _live(self, fingerprint: Fingerprint) -> dict[Crash, Strike]:
        oldest_ms = self._now_ms() - self._settings.strike_expiry_ms
        crashes = self._book.live_crashes(fingerprint)
        return {key: one for key, one in crashes.items() if one.at_ms >= oldest_ms}

    def _add(self, record: Strike) -> None:
        if self._book.add(record):
            self._unsent.append(record)
        self._expire()

    def _expire(self) -> None:
        now_ms = self._now_ms()
        if now_ms - self._expired_ms >= EXPIRE_GAP_MS:
            self._expired_ms = now_ms
            self._book.expire(now_ms)

    def _prove(self, key: tuple[Fingerprint, PoolName]) -> None:
        self._proven[key] = None
        self._proven.move_to_end(key)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)

    def _count_down(self, key: tuple[Fingerprint, PoolName], target: TargetId) -> None:
        running = self._in_flight.get(key)
        if running is None:
            return
        running[target] -= 1
        if running[target] <= 0:
            del running[target]
        if not running:
            del self._in_flight[key]

    def _crash_record(self, report: CallReport, fingerprint: Fingerprint) -> Strike:
        self._proven.pop((fingerprint, report.pool), None)
        name = f"crash/{report.target}/{report.incarnation}/{fingerprint}"
        return self._record(StrikeKind.CRASH, fingerprint, report, name)

    def _record(
        self,
        kind: StrikeKind,
        fingerprint: Fingerprint,
        report: CallReport | None,
        name: str | None = None,
    ) -> Strike:
        return Strike(
            record_id=name or f"{kind.value}/{self._random.getrandbits(ID_BITS):x}",
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
    """Give each fingerprint, in order, its best target that is not yet taken."""
    free = list(targets)
    assigned = {}
    for fingerprint in fingerprints:
        best = max(free, key=lambda one: rendezvous_rank(fingerprint, one))
        assigned[fingerprint] = best
        free.remove(best)
    return assigned
