"""Tests of the merged tables: state machines with oracles, and injected faults."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from acaciapier.core.clock import ManualClock
from acaciapier.membership import MemberTable, TargetTable
from acaciapier.membership import member_table as member_table_module
from acaciapier.membership.health import LocalHealth
from acaciapier.membership.own_record import OwnRecord
from acaciapier.membership.suspicions import MIN_SUSPICION_AGE_S, Suspicions
from acaciapier.wire.messages.membership import MemberState, TargetState
from membership.support import member, target

NAMES = st.sampled_from(["a", "b", "c"])
MEMBERS = st.builds(
    member,
    NAMES,
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from(MemberState),
    st.sampled_from(["dc1", "dc2"]),
)
TARGETS = st.builds(
    target,
    NAMES,
    st.integers(1, 3),
    st.sampled_from(TargetState),
    st.sampled_from(["p1", "p2"]),
)
WORDS = st.one_of(MEMBERS, TARGETS)


class Replica:
    """A member table and a target table that receive the same records."""

    def __init__(self):
        self.clock = ManualClock()
        self.members = MemberTable(self.clock)
        self.targets = TargetTable(self.clock)

    def merge(self, record):
        table = self.targets if hasattr(record, "target_id") else self.members
        return table.merge(record)

    def state(self):
        members = {r.instance_id: r for r in self.members.records()}
        targets = {r.target_id: r for r in self.targets.records()}
        return members, targets, self.members.digests(), self.targets.digests()


class MergeMachine(RuleBasedStateMachine):
    """Two replicas hear the same words in their own order, some of them twice.

    The oracle knows, for each subject, only its highest incarnation, and for it
    what must hold.
    """

    @initialize()
    def start(self):
        self.replicas = [Replica(), Replica()]
        self.said = []
        self.heard = [set(), set()]

    @rule(word=WORDS)
    def say(self, word):
        self.said.append(word)

    @rule(which=st.integers(0, 1), data=st.data())
    def hear(self, which, data):
        if self.said:
            index = data.draw(st.integers(0, len(self.said) - 1))
            self.replicas[which].merge(self.said[index])
            self.heard[which].add(index)

    @rule(which=st.integers(0, 1))
    def take_all_from_the_other(self, which):
        for table in ("members", "targets"):
            for word in getattr(self.replicas[1 - which], table).records():
                self.replicas[which].merge(word)
        self.heard[which] |= self.heard[1 - which]

    @rule()
    def hear_all_in_opposite_orders(self):
        for word in self.said:
            self.replicas[0].merge(word)
        for word in reversed(self.said):
            self.replicas[1].merge(word)
        self.heard = [set(range(len(self.said))) for _ in self.replicas]

    @invariant()
    def the_newest_incarnation_wins(self):
        for replica, heard in zip(self.replicas, self.heard):
            words = [self.said[index] for index in heard]
            for name in "abc":
                self._check(replica.members.get(name), words, "instance_id", name)
                self._check(replica.targets.get(name), words, "target_id", name)

    @staticmethod
    def _check(record, words, field, name):
        about = [w for w in words if getattr(w, field, None) == name]
        if not about:
            assert record is None
            return
        newest = max(w.incarnation for w in about)
        present = [w for w in about if w.incarnation == newest]
        if field == "instance_id":
            raised = max(w.refutation for w in present)
            present = [w for w in present if w.refutation == raised]
        assert record.incarnation == newest
        assert record.state == max(w.state for w in present)

    @invariant()
    def equal_words_give_equal_tables(self):
        if self.heard[0] == self.heard[1]:
            assert self.replicas[0].state() == self.replicas[1].state()

    @invariant()
    def only_live_targets_are_usable(self):
        for replica in self.replicas:
            usable = {r for pool in ("p1", "p2") for r in replica.targets.usable(pool)}
            live = {r for r in replica.targets.records() if r.state is TargetState.LIVE}
            assert usable == live


FAULT_SEARCH = settings(
    max_examples=100,
    stateful_step_count=30,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
TestMerge = MergeMachine.TestCase
TestMerge.settings = settings(max_examples=100, stateful_step_count=25)


class LastRecordTable(MemberTable):
    """Faulty: stores any record of the same incarnation, so that order matters."""

    def merge(self, record):
        current = self._records.get(record.instance_id)
        if current is not None and current.incarnation > record.incarnation:
            return False
        self._records[record.instance_id] = record
        self.revision += 1
        return True


class StickyTargetTable(TargetTable):
    """Faulty: ignores the restart of a target that was leaving."""

    def merge(self, record):
        current = self._records.get(record.target_id)
        if current is not None and current.state is not TargetState.LIVE:
            return False
        return super().merge(record)


class StaleDigestTable(TargetTable):
    """Faulty: does not remove a replaced record from its digest."""

    def _remove_from_sync(self, target_id, record):
        pass


@pytest.mark.parametrize(
    ("name", "faulty"),
    [
        ("members", LastRecordTable),
        ("targets", StickyTargetTable),
        ("targets", StaleDigestTable),
    ],
)
def test_the_machine_finds_planted_faults(name, faulty):
    class FaultyMachine(MergeMachine):
        @initialize()
        def start(self):
            super().start()
            for replica in self.replicas:
                setattr(replica, name, faulty(replica.clock))

    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=FAULT_SEARCH)


@given(st.lists(WORDS, max_size=12), st.randoms(use_true_random=False))
def test_merging_is_commutative_associative_and_idempotent(words, random):
    first, second, third = Replica(), Replica(), Replica()
    for word in words:
        first.merge(word)
    shuffled = words * 2
    random.shuffle(shuffled)
    for word in shuffled:
        second.merge(word)
    middle = len(words) // 2
    for part in (words[middle:], words[:middle]):
        partial = Replica()
        for word in part:
            partial.merge(word)
        for table in (partial.members, partial.targets):
            for word in table.records():
                third.merge(word)
    assert first.state() == second.state() == third.state()


@given(st.lists(MEMBERS.filter(lambda r: r.instance_id == "a"), max_size=10))
def test_an_instance_wins_over_any_word_about_its_incarnation(words):
    own = OwnRecord(member("a", incarnation=3))
    table = MemberTable(ManualClock())
    table.merge(own.record)
    for word in words:
        table.merge(word)
        answer = own.answer(word)
        if answer is not None:
            table.merge(answer)
    assert table.get("a") == own.record or table.get("a").state is MemberState.ALIVE


def test_instance_that_has_left_does_not_refute():
    own = OwnRecord(member("a"))
    own.leave()
    assert own.answer(member("a", state=MemberState.DEAD)) is None


def test_death_without_a_prior_suspicion_counts_as_a_suspicion():
    clock = ManualClock()
    suspicions = Suspicions(clock, LocalHealth(clock))
    alive, dead = member("a"), member("a", state=MemberState.DEAD)
    accepted = suspicions.downgrade_unconfirmed_death(dead, alive)
    assert accepted.state is MemberState.SUSPECT
    suspicions.update(accepted)
    assert (
        suspicions.downgrade_unconfirmed_death(dead, accepted).state
        is MemberState.SUSPECT
    )
    clock.advance(MIN_SUSPICION_AGE_S)
    assert suspicions.downgrade_unconfirmed_death(dead, accepted) is dead


def test_no_instance_is_declared_dead_after_a_freeze():
    clock = ManualClock()
    health = LocalHealth(clock)
    suspicions = Suspicions(clock, health)
    suspicions.update(member("a", state=MemberState.SUSPECT))
    clock.advance(30)
    health.record_wake_up(30)
    assert suspicions.find_expired() == []
    suspicions.update(member("a", refutation=1))
    clock.advance(30)
    assert suspicions.find_expired() == []


def test_tombstones_expire_after_their_retention_time():
    clock = ManualClock()
    table = MemberTable(clock)
    table.merge(member("a", state=MemberState.DEAD))
    table.merge(member("b"))
    clock.advance(member_table_module.TOMBSTONE_SYNC_S + 1)
    table.expire()
    assert [r.instance_id for r in table.records_to_sync(["dc1"])] == ["b"]
    assert table.get("a") is not None
    clock.advance(member_table_module.TOMBSTONE_RETENTION_S)
    table.expire()
    assert table.get("a") is None
    assert table.get("b") is not None


def test_repeated_target_report_changes_nothing():
    table = TargetTable(ManualClock())
    table.merge(target("t"))
    assert table.record_from_report("t", 1, leaving=False) is None
    leaving = table.record_from_report("t", 1, leaving=True)
    assert leaving.state is TargetState.LEAVING
    table.merge(leaving)
    assert table.record_from_report("t", 1, leaving=True) is None
    assert table.record_from_report("t", 0, leaving=False) is None
    assert table.record_from_report("t", 2, leaving=False) == target("t", incarnation=2)
    assert table.record_from_report("unknown", 1, leaving=True) is None
