"""Entries, committers and a store, stepped one by one, with an oracle of runs."""

from collections import Counter
from dataclasses import dataclass, field

from acaciapier.claims.bucket import KnownBucket, Placement
from acaciapier.claims.partition import CLAIM_KIND, bucket_name, bucket_number
from acaciapier.claims.table import ClaimTable, OwnClaim
from acaciapier.claims.window import ClaimWindow, WindowState
from acaciapier.core.outcomes import Outcome
from acaciapier.exceptions import VersionConflict
from acaciapier.wire.messages.claims import (
    Claim,
    ClaimState,
    CommitAnswer,
    CommitVerdict,
)
from store_fakes import StoreTable

WINDOW = ClaimWindow(valid_ms=6_000, ahead_ms=500, clock_error_ms=400, bucket_ms=2_000)
SKEWS_MS = (0, 400, -400)


@dataclass(eq=False)
class Entry:
    """One incarnation of an instance, with its skewed clock."""

    name: str
    incarnation: int
    skew_ms: int
    table: ClaimTable = field(default_factory=ClaimTable)
    known: dict[int, KnownBucket] = field(default_factory=dict)


@dataclass(eq=False)
class Attempt:
    """A claim on its way through a committer."""

    entry: Entry
    own: OwnClaim
    committer: Entry
    placement: Placement
    answer: CommitAnswer | None = None


@dataclass(eq=False)
class Group:
    """Operations staged on a committer's view of a bucket, before its put."""

    committer: Entry
    bucket: int
    version: int
    staged: object
    attempts: list[Attempt]
    answers: list[CommitAnswer]


class World:
    """The system under test; planted faults override single decisions."""

    def __init__(self):
        self.now_ms = 1_000_000
        self.table = StoreTable()
        self.entries = [Entry(f"entry-{n}", 1, skew) for n, skew in enumerate(SKEWS_MS)]
        self.ids = []
        self.attempts: list[Attempt] = []
        self.groups: list[Group] = []
        self.late: list[Group] = []
        self.settlements = []
        self.running: list[tuple[Entry, str, int]] = []
        self.runs = Counter()
        self.told_not_run = set()
        self.nonces = 0

    # Decisions that a planted fault may get wrong.

    def condition(self, version):
        return version

    def in_window(self, entry, id_ms):
        now_ms = self.now_ms + entry.skew_ms
        return WINDOW.state(id_ms, now_ms) is WindowState.VALID

    def in_window_after_commit(self, entry, id_ms):
        return self.in_window(entry, id_ms)

    def may_run(self, entry, nonce):
        return entry.table.grant(nonce)

    def counts_as_landed(self, group):
        return False

    def status_of(self, holder: Claim):
        if holder.state is not ClaimState.RUNNING:
            return holder.state
        for entry in self.entries:
            if (entry.name, entry.incarnation) == (holder.instance, holder.incarnation):
                own = entry.table.status(holder.nonce)
                return own.state if own else ClaimState.FORGOTTEN
        return ClaimState.FORGOTTEN

    # Steps.

    def mint(self):
        self.ids.append(self.now_ms)

    def start(self, entry: Entry, number: int, committer: Entry):
        id_ms = self.ids[number]
        key = f"{number:x}"
        if not self.in_window(entry, id_ms) or entry.table.find(key) is not None:
            return
        self.nonces += 1
        nonce = str(self.nonces)
        claim = Claim(key, "content", entry.name, entry.incarnation, nonce)
        own = OwnClaim(claim, 0, WINDOW.bucket_of(id_ms), id_ms)
        entry.table.open(own)
        self.attempts.append(Attempt(entry, own, committer, Placement(claim)))

    def stage(self, committer: Entry, bucket: int, with_settlements: bool):
        attempts = [
            attempt
            for attempt in self.attempts
            if attempt.committer is committer
            and attempt.own.bucket == bucket
            and attempt.answer is None
        ]
        operations = [attempt.placement for attempt in attempts]
        if with_settlements:
            operations += [s for at, s in self.settlements if at == bucket]
        known = committer.known.setdefault(bucket, KnownBucket())
        staged, answers = known.bucket.stage(operations)
        if staged.changed:
            group = Group(committer, bucket, known.version, staged, attempts, answers)
            self.groups.append(group)
        else:
            self._answer(attempts, answers)

    def put(self, group: Group, fate: str, old_read: bool):
        self.groups.remove(group)
        if fate == "late":
            self.late.append(group)
        if fate in ("done", "lost_after"):
            try:
                version = self._put_now(group)
            except VersionConflict:
                fate = "conflict"
        known = group.committer.known[group.bucket]
        if fate == "done":
            known.accept(version, group.staged)
            self._answer(group.attempts, group.answers)
        elif fate != "conflict" and self.counts_as_landed(group):
            self._answer(group.attempts, group.answers)
        else:
            self._read(group.bucket, known, old_read)

    def put_late(self, group: Group):
        self.late.remove(group)
        try:
            self._put_now(group)
        except VersionConflict:
            pass

    def claim_at_once(self, entry: Entry, number: int, committer: Entry):
        """Take a claim through all steps without a pause."""
        before = len(self.attempts)
        self.start(entry, number, committer)
        for attempt in self.attempts[before:]:
            self.complete(attempt)

    def complete(self, attempt: Attempt, fates=("done",) * 4):
        """Take an attempt through its remaining steps."""
        for fate in fates:
            self.stage(attempt.committer, attempt.own.bucket, False)
            for group in self.groups[-1:]:
                if attempt in group.attempts:
                    self.put(group, fate, False)
            self.receive(attempt)

    def receive(self, attempt: Attempt):
        """Let the claimant act on an answer."""
        entry, own = attempt.entry, attempt.own
        if attempt not in self.attempts or attempt.answer is None:
            return
        answer, attempt.answer = attempt.answer, None
        nonce = own.claim.nonce
        if answer.verdict is CommitVerdict.GRANTED:
            self.attempts.remove(attempt)
            if self.in_window_after_commit(entry, own.id_ms):
                if self.may_run(entry, nonce):
                    self.runs[own.claim.key] += 1
                    self.running.append((entry, nonce, own.bucket))
                    assert nonce not in self.told_not_run, "ran after 'not run'"
            else:
                entry.table.abandon(nonce)
        elif self.status_of(answer.holder) is ClaimState.ABANDONED:
            attempt.placement = Placement(own.claim, answer.holder.nonce)
        else:
            self.attempts.remove(attempt)
            entry.table.abandon(nonce)

    def give_up(self, attempt: Attempt):
        """Abandon a pending claim whose committer may still work on it."""
        abandoned = attempt.entry.table.abandon(attempt.own.claim.nonce)
        if abandoned is not None:
            self.told_not_run.add(attempt.own.claim.nonce)
            self.settlements.append((attempt.own.bucket, abandoned.settlement()))

    def finish(self, number: int, outcome: Outcome):
        entry, nonce, bucket = self.running.pop(number)
        own = entry.table.finish(nonce, outcome, 1, "digest")
        if entry in self.entries and own is not None:
            self.settlements.append((bucket, own.settlement()))
            if outcome is Outcome.NOT_RUN:
                self.runs[own.claim.key] -= 1

    def kill(self, number: int):
        old = self.entries[number]
        new = Entry(old.name, old.incarnation + 1, old.skew_ms)
        self.entries[number] = new
        self.attempts = [a for a in self.attempts if a.entry is not old]
        for attempt in self.attempts:
            if attempt.committer is old:
                attempt.committer = new
        self.late += [g for g in self.groups if g.committer is old]
        self.groups = [g for g in self.groups if g.committer is not old]

    def collect(self, entry: Entry):
        first_kept = WINDOW.first_kept_bucket(self.now_ms + entry.skew_ms)
        for stored in self.table.list(CLAIM_KIND, "").items:
            if bucket_number(stored.name) < first_kept:
                self.table.delete(CLAIM_KIND, stored.name, stored.version)

    def check(self):
        twice = [key for key, count in self.runs.items() if count > 1]
        assert not twice, f"ran more than once: {twice}"

    def _put_now(self, group: Group):
        name = bucket_name(0, group.bucket)
        value = group.staged.to_value()
        return self.table.put(CLAIM_KIND, name, value, self.condition(group.version))

    def _read(self, bucket: int, known: KnownBucket, old_read: bool):
        name = bucket_name(0, bucket)
        previous = self.table.previous.get((CLAIM_KIND, name))
        present = self.table.get(CLAIM_KIND, name)
        known.observe(previous if old_read and previous else present)

    def _answer(self, attempts, answers):
        for attempt, answer in zip(attempts, answers, strict=False):
            attempt.answer = answer


class UnconditionalWorld(World):
    """Planted fault: updates are not conditional."""

    def condition(self, version):
        return None


class LeaseWorld(World):
    """Planted fault: a claim lapses with time, like a lease."""

    def status_of(self, holder):
        status = super().status_of(holder)
        age_ms = self.now_ms - self.ids[int(holder.key, 16)]
        lapsed = age_ms > 1_000 and status in (ClaimState.PENDING, ClaimState.RUNNING)
        return ClaimState.ABANDONED if lapsed else status


class AssumedRestartWorld(World):
    """Planted fault: a claim of a dead incarnation is taken as never run."""

    def status_of(self, holder):
        status = super().status_of(holder)
        return ClaimState.ABANDONED if status is ClaimState.FORGOTTEN else status


class EndlessWorld(World):
    """Planted fault: a resend after its claim was collected is granted."""

    def in_window(self, entry, id_ms):
        return True


class EarlyCheckWorld(World):
    """Planted fault: the window is not checked again after the commit."""

    def in_window_after_commit(self, entry, id_ms):
        return True


class AssumedLandedWorld(World):
    """Planted fault: a lost answer is taken for a success."""

    def counts_as_landed(self, group):
        return True


class RetriedNonceWorld(World):
    """Planted fault: a lost claim is given up, yet runs if its grant comes late."""

    def may_run(self, entry, nonce):
        return entry.table.status(nonce) is not None
