"""Step-by-step simulation of entries, committers and a store that counts runs."""

from collections import Counter
from dataclasses import dataclass, field

from acaciapier.claims.bucket import CachedBucket, Insertion
from acaciapier.claims.partition import CLAIM_KIND, bucket_name, bucket_number
from acaciapier.claims.table import ClaimTable, LocalClaim
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
    cached: dict[int, CachedBucket] = field(default_factory=dict)


@dataclass(eq=False)
class Attempt:
    """An attempt of an entry to claim a request through a committer."""

    entry: Entry
    own: LocalClaim
    committer: Entry
    insertion: Insertion
    answer: CommitAnswer | None = None


@dataclass(eq=False)
class Group:
    """Operations staged on a committer's cached bucket but not yet written."""

    committer: Entry
    bucket: int
    version: int
    staged: object
    attempts: list[Attempt]
    answers: list[CommitAnswer]


class World:
    """The system under test; subclasses inject a fault by overriding one decision."""

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
        self.reported_not_run = set()
        self.nonce_count = 0

    # Decisions that subclasses override to inject a fault.

    def expected_version(self, version):
        return version

    def in_window(self, entry, id_ms):
        now_ms = self.now_ms + entry.skew_ms
        return WINDOW.state(id_ms, now_ms) is WindowState.VALID

    def in_window_after_commit(self, entry, id_ms):
        return self.in_window(entry, id_ms)

    def may_run(self, entry, nonce):
        return entry.table.grant(nonce)

    def assumes_applied(self, group):
        return False

    def status_of(self, existing_claim: Claim):
        if existing_claim.state is not ClaimState.RUNNING:
            return existing_claim.state
        for entry in self.entries:
            if (entry.name, entry.incarnation) == (
                existing_claim.instance,
                existing_claim.incarnation,
            ):
                local_claim = entry.table.find_by_nonce(existing_claim.nonce)
                return local_claim.state if local_claim else ClaimState.FORGOTTEN
        return ClaimState.FORGOTTEN

    # Steps.

    def mint(self):
        self.ids.append(self.now_ms)

    def start(self, entry: Entry, number: int, committer: Entry):
        id_ms = self.ids[number]
        key = f"{number:x}"
        if not self.in_window(entry, id_ms) or entry.table.find_by_key(key) is not None:
            return
        self.nonce_count += 1
        nonce = str(self.nonce_count)
        claim = Claim(key, "content", entry.name, entry.incarnation, nonce)
        local_claim = LocalClaim(claim, 0, WINDOW.bucket_of(id_ms), id_ms)
        entry.table.add(local_claim)
        self.attempts.append(Attempt(entry, local_claim, committer, Insertion(claim)))

    def stage(self, committer: Entry, bucket: int, with_settlements: bool):
        attempts = [
            attempt
            for attempt in self.attempts
            if attempt.committer is committer
            and attempt.own.bucket == bucket
            and attempt.answer is None
        ]
        operations = [attempt.insertion for attempt in attempts]
        if with_settlements:
            operations += [s for number, s in self.settlements if number == bucket]
        cached = committer.cached.setdefault(bucket, CachedBucket())
        staged, answers = cached.bucket.stage(operations)
        if staged.changed:
            group = Group(committer, bucket, cached.version, staged, attempts, answers)
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
        cached = group.committer.cached[group.bucket]
        if fate == "done":
            cached.record_write(version, group.staged)
            self._answer(group.attempts, group.answers)
        elif fate != "conflict" and self.assumes_applied(group):
            self._answer(group.attempts, group.answers)
        else:
            self._read(group.bucket, cached, old_read)

    def put_late(self, group: Group):
        self.late.remove(group)
        try:
            self._put_now(group)
        except VersionConflict:
            pass

    def claim_at_once(self, entry: Entry, number: int, committer: Entry):
        """Take a new claim through all steps, without steps of others in between."""
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
        """Let the claimant process the answer to an attempt."""
        entry, local_claim = attempt.entry, attempt.own
        if attempt not in self.attempts or attempt.answer is None:
            return
        answer, attempt.answer = attempt.answer, None
        nonce = local_claim.claim.nonce
        if answer.verdict is CommitVerdict.GRANTED:
            self.attempts.remove(attempt)
            if self.in_window_after_commit(entry, local_claim.id_ms):
                if self.may_run(entry, nonce):
                    self.runs[local_claim.claim.key] += 1
                    self.running.append((entry, nonce, local_claim.bucket))
                    assert nonce not in self.reported_not_run, "ran after 'not run'"
            else:
                entry.table.abandon(nonce)
        elif self.status_of(answer.existing_claim) is ClaimState.ABANDONED:
            attempt.insertion = Insertion(
                local_claim.claim, answer.existing_claim.nonce
            )
        else:
            self.attempts.remove(attempt)
            entry.table.abandon(nonce)

    def give_up(self, attempt: Attempt):
        """Abandon a pending claim that its committer may still commit."""
        abandoned = attempt.entry.table.abandon(attempt.own.claim.nonce)
        if abandoned is not None:
            self.reported_not_run.add(attempt.own.claim.nonce)
            self.settlements.append((attempt.own.bucket, abandoned.settlement()))

    def finish(self, number: int, outcome: Outcome):
        entry, nonce, bucket = self.running.pop(number)
        local_claim = entry.table.finish(nonce, outcome, 1, "digest")
        if entry in self.entries and local_claim is not None:
            self.settlements.append((bucket, local_claim.settlement()))
            if outcome is Outcome.NOT_RUN:
                self.runs[local_claim.claim.key] -= 1

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
        return self.table.put(
            CLAIM_KIND, name, value, self.expected_version(group.version)
        )

    def _read(self, bucket: int, cached: CachedBucket, old_read: bool):
        name = bucket_name(0, bucket)
        previous = self.table.previous.get((CLAIM_KIND, name))
        present = self.table.get(CLAIM_KIND, name)
        cached.record_read(previous if old_read and previous else present)

    def _answer(self, attempts, answers):
        for attempt, answer in zip(attempts, answers, strict=False):
            attempt.answer = answer


class UnconditionalUpdateWorld(World):
    """Injected fault: updates are not conditional."""

    def expected_version(self, version):
        return None


class ExpiringClaimWorld(World):
    """Injected fault: a claim expires after some time, like a lease."""

    def status_of(self, existing_claim):
        status = super().status_of(existing_claim)
        age_ms = self.now_ms - self.ids[int(existing_claim.key, 16)]
        expired = age_ms > 1_000 and status in (ClaimState.PENDING, ClaimState.RUNNING)
        return ClaimState.ABANDONED if expired else status


class AssumedNotRunWorld(World):
    """Injected fault: an earlier incarnation is assumed not to have run its claims."""

    def status_of(self, existing_claim):
        status = super().status_of(existing_claim)
        return ClaimState.ABANDONED if status is ClaimState.FORGOTTEN else status


class NoWindowWorld(World):
    """Injected fault: a resend is granted after its claim was deleted."""

    def in_window(self, entry, id_ms):
        return True


class NoRecheckWorld(World):
    """Injected fault: the window is not checked again after the commit."""

    def in_window_after_commit(self, entry, id_ms):
        return True


class AssumedSuccessWorld(World):
    """Injected fault: a write without a response is assumed to have succeeded."""

    def assumes_applied(self, group):
        return True


class AbandonedClaimRunsWorld(World):
    """Injected fault: an abandoned claim still runs if it is granted later."""

    def may_run(self, entry, nonce):
        return entry.table.find_by_nonce(nonce) is not None
