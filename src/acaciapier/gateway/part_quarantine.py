"""Quarantine of prompt parts that crash the workers which write on them.

Requests that share such a part have nothing else in common, so a quarantine of whole
requests takes each for a new one. A whole request counts as a further part of itself,
so that its block grows and ends with a single trial, too. Instances exchange records of
crashes by part and reach their decisions from the same records.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import groupby

import xxhash

from ..core.clock import Clock, epoch_ms, to_s
from ..core.ids import Fingerprint, Incarnation, TargetId
from ..policy.models import CrashRecord, CrashRecordKind
from .models import Worker
from .prompt_parts import PartId

PART_PREFIX = "part/"
"""Marks the records of prompt parts among those of whole requests."""

REQUEST_PREFIX = "request/"
"""Marks the parts that stand for whole requests."""

MAX_RETRIES = 3
"""Crashes some time after the third one, after which a whole request is tried no more:
the users' rules allow as many retries."""

RETRY_AFTER_CRASHES = 3
RETRY_AFTER_MS = 3_000.0
"""The crash after which further ones count as retries, and the time until they do."""

MAX_PART_ID_CHARS = 200
"""Longer part ids are not recorded; the platform's have 8."""

BLOCKING_CRASHES = 2
"""Crashes after which a part is blocked."""

KNOWN_GOOD_BLOCKING_CRASHES = 3
"""The same for a part on which a worker has written: it was probably only in flight
beside the cause."""

SAME_CAUSE_GAP_MS = 150.0
"""Crashes closer to one another count as one: workers that share a rack or a power
supply crash at the same moment."""

FIRST_BLOCK_MS = 10_000.0
"""Time for which a part is blocked after its second crash; each further crash doubles
it."""

MAX_DOUBLINGS = 10

RECORD_EXPIRY_MS = 600_000.0
"""Workers are replaced by fixed versions within minutes. Also the longest time for
which a part is blocked without a trial."""

TRIAL_TURN_MS = 5_000.0
"""Time for which one instance may send one request with a part whose block is over."""

EXPIRY_PERIOD_MS = 1_000.0
RENEWAL_PERIOD_MS = 60_000.0
"""Least time between two renewals of the records of a request that still comes."""

MAX_RECORDS = 20_000
MAX_KNOWN_GOOD = 50_000

Crash = tuple[TargetId, Incarnation]


@dataclass(frozen=True)
class PartBlock:
    """Why a part is blocked.

    Parameters
    ----------
    crashes : int
        Its crashes, those of one cause counted once.
    newest_s : float
        Time of the newest one.
    rivals : frozenset of PartId
        The part and those that were in flight at the same crashes, and are blocked as
        well: one of them is the cause, or several. All of them share one set.
    """

    crashes: int
    newest_s: float
    rivals: frozenset[PartId] = field(default=frozenset(), compare=False)


@dataclass(frozen=True)
class _Trial:
    crashes: int
    turn: int
    attempt: str


class PartQuarantine:
    """Decides which prompt parts are blocked.

    A part is a suspect if workers crashed that were about to write on it. Parts that
    are in flight beside the cause have fewer crashes than the cause, or have been
    written on since, so a crash counts only against the strongest suspects. When the
    block of a part is over, one request of the fleet tries it: a crash blocks it for
    longer, a response clears it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    has_turn : callable
        Returns whether this instance is the one to act for a key.
    """

    def __init__(self, clock: Clock, has_turn: Callable[[str], bool]):
        self._clock = clock
        self._has_turn = has_turn
        self._records: dict[str, tuple[float, CrashRecord]] = {}
        self._digest = 0
        self._next_expiry_s = 0.0
        self._crashes: dict[PartId, dict[Crash, float]] = {}
        self._known_good: OrderedDict[PartId, None] = OrderedDict()
        self._trials: dict[PartId, _Trial] = {}
        self._blocks: dict[PartId, PartBlock] | None = {}
        self._unshared: list[CrashRecord] = []
        self._renew_s: dict[PartId, float] = {}
        """When the records of a blocked request may be renewed again."""

    @property
    def digest(self) -> int:
        """Hash of all records, by which instances compare them; 0 without records."""
        self._expire()
        return self._digest

    def blocked_part(self, parts: Sequence[PartId], attempt: str) -> PartId | None:
        """Return the part for which an attempt is refused, or None if it may run.

        The instance that has the turn to try a part grants the trial to one attempt.
        """
        if not self._crashes:
            return None
        self._expire()
        blocks = self._current_blocks()
        for part in parts:
            block = blocks.get(part)
            if block is None:
                continue
            if is_whole_request(part):
                self._renew(part)
            # A request without all rivals shows which of them is the cause.
            decides = not block.rivals.issubset(parts)
            if not self._may_try(part, block, attempt, decides):
                return part
        return None

    def record_crash(self, parts: Iterable[PartId], worker: Worker) -> None:
        """Record the crash of a worker that was about to write on these parts."""
        for part in parts:
            if len(part) <= MAX_PART_ID_CHARS:
                crash = (TargetId(worker.id), Incarnation(worker.started_ms))
                self._add_own(CrashRecordKind.CRASH, part, crash, worker.service)

    def record_written(
        self, parts: Iterable[PartId], worker: Worker, begun_s: float
    ) -> None:
        """Record that a worker wrote on these parts from `begun_s` on.

        It clears them of the crashes before this time.
        """
        for part in parts:
            if len(part) > MAX_PART_ID_CHARS:
                continue
            self._mark_known_good(part)
            for crash, crashed_s in list(self._crashes.get(part, {}).items()):
                if crashed_s < begun_s:
                    kind = CrashRecordKind.SUCCESS
                    self._add_own(kind, part, crash, worker.service)

    def records(self) -> tuple[CrashRecord, ...]:
        """Return all records, for an instance that may lack some."""
        self._expire()
        return tuple(record for _, record in self._records.values())

    def pop_new_records(self) -> tuple[CrashRecord, ...]:
        """Return and clear the records created here, to send to peers."""
        new, self._unshared = tuple(self._unshared), []
        return new

    def merge(self, records: Iterable[CrashRecord], new: bool) -> None:
        """Merge the records of another instance.

        Parameters
        ----------
        records : iterable of CrashRecord
            Its records of prompt parts.
        new : bool
            Whether it has just created them. Otherwise their age is taken from the
            wall clocks, which may differ.
        """
        now_ms = epoch_ms(self._clock.now())
        for record in records:
            self._add(record, 0.0 if new else max(0.0, now_ms - record.at_ms))

    def is_suspect(self, part: PartId) -> bool:
        """Return whether a part has crashes."""
        return part in self._crashes

    def is_tried(self, parts: Iterable[PartId], attempt: str) -> bool:
        """Return whether an attempt is the trial of a part."""
        trials = (self._trials.get(part) for part in parts)
        return any(trial is not None and trial.attempt == attempt for trial in trials)

    def blocks(self) -> dict[PartId, PartBlock]:
        """Return the blocked parts."""
        self._expire()
        return dict(self._current_blocks())

    def _may_try(
        self, part: PartId, block: PartBlock, attempt: str, decides: bool
    ) -> bool:
        """Return whether an attempt may try a blocked part, at once if it decides."""
        retries = self._retries(part)
        if retries >= MAX_RETRIES:
            return False
        trial = self._trials.get(part)
        if trial is not None and trial.crashes != block.crashes:
            trial = None
        if trial is not None and trial.attempt == attempt:
            return True
        over_ms = (self._clock.monotonic_s() - block.newest_s) * 1_000.0
        if not decides:
            whole = is_whole_request(part)
            over_ms -= _block_ms(BLOCKING_CRASHES + retries if whole else block.crashes)
        if over_ms < 0:
            return False
        turn = int(over_ms / TRIAL_TURN_MS)
        if trial is not None and trial.turn == turn:
            return False
        if not self._has_turn(f"{part}/{turn}"):
            return False
        self._trials[part] = _Trial(block.crashes, turn, attempt)
        return True

    def _current_blocks(self) -> dict[PartId, PartBlock]:
        if self._blocks is None:
            self._blocks = self._find_blocks()
        return self._blocks

    def _find_blocks(self) -> dict[PartId, PartBlock]:
        """Attribute the crashes to the strongest suspects; return those to block."""
        blocks = self._blocked_requests()
        explained: set[Crash] = set()
        ranks = {
            part: self._suspicion(part)
            for part in self._crashes
            if not is_whole_request(part)
        }
        by_rank = sorted(ranks, key=ranks.__getitem__, reverse=True)
        for _, equals in groupby(by_rank, key=ranks.__getitem__):
            found = [part for part in equals if self._is_blocking(part, explained)]
            blocks |= self._make_blocks(found)
            explained.update(*(self._crashes[part] for part in found))
        return blocks

    def _blocked_requests(self) -> dict[PartId, PartBlock]:
        """Return the blocks of whole requests, which compete with no parts.

        Workers that crash at the same moment count one by one: a single trial clears a
        request that was only popular.
        """
        return {
            part: PartBlock(len(crashes), max(crashes.values()), frozenset((part,)))
            for part, crashes in self._crashes.items()
            if is_whole_request(part) and len(crashes) >= BLOCKING_CRASHES
        }

    def _retries(self, part: PartId) -> int:
        """Return how many crashes of a whole request count as retries."""
        if not is_whole_request(part):
            return 0
        times_s = sorted(self._crashes[part].values())
        first = times_s[RETRY_AFTER_CRASHES - 1 :][:1]
        return sum(at_s - first[0] > to_s(RETRY_AFTER_MS) for at_s in times_s if first)

    def _is_blocking(self, part: PartId, explained: set[Crash]) -> bool:
        """Return whether enough crashes of a part have no stronger suspect."""
        crashes = self._crashes[part]
        own = [at for crash, at in crashes.items() if crash not in explained]
        return _count_causes(own) >= self._blocking_crashes(part)

    def _make_blocks(self, parts: Iterable[PartId]) -> dict[PartId, PartBlock]:
        """Return the blocks of suspects of one rank."""
        by_crashes: dict[frozenset[Crash], set[PartId]] = {}
        for part in parts:
            by_crashes.setdefault(frozenset(self._crashes[part]), set()).add(part)
        blocks = {}
        for rivals in map(frozenset, by_crashes.values()):
            for part in rivals:
                times_s = self._crashes[part].values()
                count = _count_causes(times_s)
                blocks[part] = PartBlock(count, max(times_s), rivals)
        return blocks

    def _suspicion(self, part: PartId) -> tuple[int, bool]:
        """Return the rank of a suspect; a part known to be good ranks lower."""
        unknown = part not in self._known_good
        crashes = _count_causes(self._crashes[part].values())
        return (crashes if unknown else crashes - 1, unknown)

    def _blocking_crashes(self, part: PartId) -> int:
        if part in self._known_good:
            return KNOWN_GOOD_BLOCKING_CRASHES
        return BLOCKING_CRASHES

    def _mark_known_good(self, part: PartId) -> None:
        if part not in self._known_good and part in self._crashes:
            self._blocks = None
        self._known_good[part] = None
        self._known_good.move_to_end(part)
        if len(self._known_good) > MAX_KNOWN_GOOD:
            self._known_good.popitem(last=False)

    def _add_own(
        self, kind: CrashRecordKind, part: PartId, crash: Crash, service: str
    ) -> None:
        target, incarnation = crash
        record = CrashRecord(
            record_id=f"{kind.value}/{target}/{incarnation}/{PART_PREFIX}{part}",
            kind=kind,
            fingerprint=Fingerprint(PART_PREFIX + part),
            pool=service,
            target=target,
            incarnation=incarnation,
            at_ms=epoch_ms(self._clock.now()),
        )
        if self._add(record, age_ms=0.0):
            self._unshared.append(record)

    def _add(self, record: CrashRecord, age_ms: float) -> bool:
        """Add a record; return False if it is known, outdated or incomplete."""
        if record.record_id in self._records or record.target is None:
            return False
        if age_ms >= RECORD_EXPIRY_MS:
            return False
        at_s = self._clock.monotonic_s() - to_s(age_ms)
        self._records[record.record_id] = (at_s, record)
        self._digest ^= _hash(record)
        part, crash = _part_of(record), (record.target, record.incarnation)
        if record.kind is CrashRecordKind.SUCCESS:
            self._remove_crash(part, crash)
        elif _clearing_id(record) not in self._records:
            self._crashes.setdefault(part, {})[crash] = at_s
        self._blocks = None
        return True

    def _remove_crash(self, part: PartId, crash: Crash) -> None:
        crashes = self._crashes.get(part, {})
        crashes.pop(crash, None)
        if not crashes:
            self._crashes.pop(part, None)
            self._trials.pop(part, None)
            self._renew_s.pop(part, None)

    def _renew(self, part: PartId) -> None:
        """Keep the records of a blocked request that still comes."""
        now_s = self._clock.monotonic_s()
        if now_s < self._renew_s.get(part, now_s):
            return
        self._renew_s[part] = now_s + to_s(RENEWAL_PERIOD_MS)
        for target, incarnation in self._crashes[part]:
            kind = CrashRecordKind.CRASH.value
            record_id = f"{kind}/{target}/{incarnation}/{PART_PREFIX}{part}"
            _, record = self._records[record_id]
            self._records[record_id] = now_s, record

    def _expire(self) -> None:
        """Remove expired records, and the oldest ones above `MAX_RECORDS`."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_expiry_s and len(self._records) <= MAX_RECORDS:
            return
        self._next_expiry_s = now_s + to_s(EXPIRY_PERIOD_MS)
        oldest_s = now_s - to_s(RECORD_EXPIRY_MS)
        by_age = sorted(self._records.values(), key=lambda entry: entry[0])
        excess = len(by_age) - MAX_RECORDS
        for number, (at_s, record) in enumerate(by_age):
            if at_s < oldest_s or number < excess:
                self._remove(record)

    def _remove(self, record: CrashRecord) -> None:
        del self._records[record.record_id]
        self._digest ^= _hash(record)
        if record.kind is CrashRecordKind.CRASH:
            self._remove_crash(_part_of(record), (record.target, record.incarnation))
        self._blocks = None


def whole_request(fingerprint: Fingerprint) -> PartId:
    """Return the part that stands for a whole request."""
    return PartId(REQUEST_PREFIX + fingerprint)


def is_whole_request(part: PartId) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(REQUEST_PREFIX)


def is_part_record(record: CrashRecord) -> bool:
    """Return whether a record names a prompt part, not a whole request."""
    return record.fingerprint.startswith(PART_PREFIX)


def _block_ms(crashes: int) -> float:
    doublings = min(max(0, crashes - BLOCKING_CRASHES), MAX_DOUBLINGS)
    return min(RECORD_EXPIRY_MS, FIRST_BLOCK_MS * 2.0**doublings)


def _count_causes(times_s: Iterable[float]) -> int:
    """Return the number of crashes, those of one cause counted once."""
    count, previous_s = 0, float("-inf")
    for at_s in sorted(times_s):
        count += at_s - previous_s > to_s(SAME_CAUSE_GAP_MS)
        previous_s = at_s
    return count


def _part_of(record: CrashRecord) -> PartId:
    return PartId(record.fingerprint.removeprefix(PART_PREFIX))


def _clearing_id(record: CrashRecord) -> str:
    """Return the id of the record that clears a crash."""
    _, _, rest = record.record_id.partition("/")
    return f"{CrashRecordKind.SUCCESS.value}/{rest}"


def _hash(record: CrashRecord) -> int:
    return xxhash.xxh32_intdigest(record.record_id.encode())
