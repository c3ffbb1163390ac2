"""The quarantine, on one instance and over a fleet, against reference models."""

from random import Random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from policy_helpers import LIMITS, POOL, make_policy, make_targets, pick, report

from acaciapier.core.clock import ManualClock, epoch_ms
from acaciapier.core.outcomes import Cause
from acaciapier.policy import CallOutcome
from acaciapier.policy.crash_records import CrashRecords
from acaciapier.policy.quarantine import Quarantine

FINGERPRINTS = ("f0", "f1", "f2", "f3")
EXPIRY_MS = 60_000
QUICK = settings(max_examples=60, stateful_step_count=40)
UNSHRUNK = settings(QUICK, phases=[Phase.generate])


class VerdictMachine(RuleBasedStateMachine):
    """Two instances that share records late, against one list of events."""

    policy_changes = {}

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.policies = [
            make_policy(self.clock, seed, crash_record_expiry_ms=EXPIRY_MS)
            for seed in range(2)
        ]
        self.crashes = {one: {} for one in FINGERPRINTS}
        self.incarnation = 0

    @rule(
        fingerprint=st.sampled_from(FINGERPRINTS),
        at=st.integers(0, 1),
        number=st.integers(0, 4),
    )
    def crash(self, fingerprint, at, number):
        self.incarnation += 1
        at_ms = epoch_ms(self.clock.now()) + 1
        self._ended(at, fingerprint, number, CallOutcome.CRASHED)
        self.crashes[fingerprint][number, self.incarnation] = at_ms

    @rule(
        fingerprint=st.sampled_from(FINGERPRINTS),
        at=st.integers(0, 1),
        outcome=st.sampled_from([one for one in CallOutcome if one.value != "crashed"]),
    )
    def end(self, fingerprint, at, outcome):
        self._ended(at, fingerprint, 0, outcome)
        if outcome is CallOutcome.DONE:
            self.crashes[fingerprint].clear()

    @rule(fingerprint=st.sampled_from(FINGERPRINTS), at=st.integers(0, 1))
    def release(self, fingerprint, at):
        self.policies[at].release_fingerprint(fingerprint)
        self.crashes[fingerprint].clear()

    @rule(seconds=st.sampled_from([1.5, 20.0, 61.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(order=st.randoms(use_true_random=False), repeat=st.integers(1, 2))
    def share(self, order, repeat):
        for _ in range(repeat):
            records = [
                *self.policies[0].crash_records(),
                *self.policies[1].crash_records(),
            ]
            order.shuffle(records)
            for policy in self.policies:
                policy.merge_crash_records(records)

    def _ended(self, at, fingerprint, target, outcome):
        self.share_now()
        self.clock.advance(0.001)
        ended = report(f"t{target}", outcome, incarnation=self.incarnation)
        self.policies[at].ended(ended, fingerprint)
        self.clock.advance(1.5)
        self.share_now()

    def share_now(self):
        for one, other in ((0, 1), (1, 0)):
            self.policies[one].merge_crash_records(self.policies[other].crash_records())

    @invariant()
    def verdicts_agree_with_the_oracle(self):
        self.share_now()
        oldest = epoch_ms(self.clock.now()) - EXPIRY_MS
        for fingerprint, crashes in self.crashes.items():
            live = sum(at >= oldest for at in crashes.values())
            for policy in self.policies:
                assert policy.suspected(fingerprint) == (live > 0)
                assert (policy.blocked(fingerprint) is not None) == (live >= 2)


class FleetMachine(RuleBasedStateMachine):
    """Three instances, five targets, one content that crashes its targets.

    The instances share new records as soon as they have answered their callers,
    and a caller sends a content again only after its answer.
    """

    INNOCENT = tuple(f"innocent-{number}" for number in range(3))
    POISON = "poison"

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.incarnations = dict.fromkeys(range(5), 1)
        self.policies = [make_policy(self.clock, seed) for seed in range(3)]
        self.calls = {}
        self.poisoned = 0
        self._update()

    @rule(ats=st.lists(st.integers(0, 2), min_size=1, max_size=3))
    def send_innocents(self, ats):
        for fingerprint, at in zip(self.INNOCENT, ats):
            self._send(fingerprint, at)

    @rule(at=st.integers(0, 2))
    def send_poison(self, at):
        self._send(self.POISON, at)

    def _send(self, fingerprint, at):
        policy = self.policies[at]
        if fingerprint in self.calls or policy.blocked(fingerprint):
            return
        picked = pick(policy, fingerprint)
        if picked.is_err():
            assert policy.suspected(fingerprint)
            return
        view = picked.unwrap()
        policy.sent(view.target, fingerprint)
        self.calls[fingerprint] = at, view

    @rule(fingerprint=st.sampled_from(INNOCENT))
    def finish(self, fingerprint):
        self._end(fingerprint, CallOutcome.DONE)

    @rule()
    def poison_runs(self):
        if self.POISON not in self.calls:
            return
        _, crashed = self.calls[self.POISON]
        self.poisoned += 1
        on_target = [key for key, (_, view) in self.calls.items() if view == crashed]
        for fingerprint in on_target:
            self._end(fingerprint, CallOutcome.CRASHED)
        self.incarnations[int(crashed.target.rsplit("-", 1)[1])] += 1
        self._update()

    @rule(seconds=st.sampled_from([0.05, 0.2]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    def _end(self, fingerprint, outcome):
        if fingerprint not in self.calls:
            return
        at, view = self.calls.pop(fingerprint)
        ended = report(view.target, outcome, incarnation=view.incarnation)
        self.policies[at].ended(ended, fingerprint)
        new = self.policies[at].pop_new_crash_records()
        for policy in self.policies:
            policy.merge_crash_records(new)

    def _update(self):
        targets = [
            make_targets(5, incarnation=incarnation)[number]
            for number, incarnation in self.incarnations.items()
        ]
        for policy in self.policies:
            policy.update_pool(POOL, LIMITS, targets)

    @invariant()
    def at_most_two_targets_crash(self):
        assert self.poisoned <= 2

    @invariant()
    def innocents_are_never_blocked(self):
        for policy in self.policies:
            assert not any(policy.blocked(one) for one in self.INNOCENT)


def test_verdicts():
    run_state_machine_as_test(VerdictMachine, settings=QUICK)


def test_fleet():
    long = settings(max_examples=150, stateful_step_count=50)
    run_state_machine_as_test(FleetMachine, settings=long)


def test_the_verdict_machine_detects_records_that_clear_nothing(monkeypatch):
    monkeypatch.setattr(
        "acaciapier.policy.crash_records._clears", lambda record, crash: False
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(VerdictMachine, settings=UNSHRUNK)


def test_the_fleet_machine_detects_suspects_on_the_same_target(monkeypatch):
    monkeypatch.setattr(Quarantine, "includes_suspect", lambda *_: False)
    monkeypatch.setattr(Quarantine, "trial_order", lambda _, __, targets: targets)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetMachine, settings=UNSHRUNK)


def test_the_fleet_machine_detects_crashes_that_are_not_shared(monkeypatch):
    monkeypatch.setattr(Quarantine, "merge", lambda *_: None)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetMachine, settings=UNSHRUNK)


def crash(policy, clock, fingerprint, target, wait_s=5.0):
    policy.ended(report(target, CallOutcome.CRASHED), fingerprint)
    clock.advance(wait_s)


def test_a_blocked_request_reports_its_cause_and_expiry():
    clock = ManualClock()
    policy = make_policy(clock)
    crash(policy, clock, "f", "t1")
    crash(policy, clock, "f", "t2", wait_s=0)
    refused = policy.admit("w1", (), 3_000.0, "f").unwrap_err()
    assert refused.cause is Cause.BLOCKED
    assert refused.retry_after_ms == 3_600_000


def test_one_crash_during_a_rack_failure_is_not_counted():
    clock = ManualClock()
    policy = make_policy(clock)
    crash(policy, clock, "f", "t0")
    for number in range(1, 5):
        crash(policy, clock, f"g{number}", f"t{number}", wait_s=0.01)
    crash(policy, clock, "f", "t5")
    assert policy.suspected("f")
    assert policy.blocked("f") is None
    crash(policy, clock, "f", "t6")
    assert policy.blocked("f") is not None


def test_success_in_another_pool_clears_nothing():
    clock = ManualClock()
    policy = make_policy(clock)
    crash(policy, clock, "f", "t1")
    policy.ended(report("e1", pool="encoders"), "f")
    assert policy.suspected("f")


def test_copies_of_a_request_without_success_stay_on_two_targets():
    policy = make_policy()
    used = set()
    for _ in range(30):
        view = pick(policy).unwrap()
        policy.sent(view.target, "f")
        used.add(view.target)
    assert len(used) == 2


def test_a_request_that_succeeded_may_use_all_targets():
    policy = make_policy()
    policy.ended(report(pick(policy).unwrap().target), "f")
    used = set()
    for _ in range(30):
        view = pick(policy).unwrap()
        policy.sent(view.target, "f")
        used.add(view.target)
    assert len(used) == 5


def test_other_requests_avoid_the_target_of_a_suspect():
    clock = ManualClock()
    policy = make_policy(clock)
    crash(policy, clock, "f", "generators-0")
    view = pick(policy).unwrap()
    policy.sent(view.target, "f")
    assert all(pick(policy, f"g{n}").unwrap() != view for n in range(30))


def test_a_suspect_waits_until_its_crash_records_reach_all_instances():
    clock = ManualClock()
    policy = make_policy(clock)
    crash(policy, clock, "f", "generators-0", wait_s=0.1)
    assert pick(policy).unwrap_err().retry_after_ms == 50
    clock.advance(0.1)
    assert pick(policy).is_ok()


def test_the_number_of_crash_records_is_bounded(monkeypatch):
    monkeypatch.setattr("acaciapier.policy.crash_records.MAX_RECORDS", 10)
    clock = ManualClock()
    policy = make_policy(clock)
    for number in range(50):
        crash(policy, clock, f"f{number}", f"t{number}", wait_s=2.0)
    assert len(policy.crash_records()) <= 11
    assert policy.suspected("f49")
    assert not policy.suspected("f0")


def test_expiry_also_removes_the_indices_of_crash_records():
    records = CrashRecords(expiry_ms=10)
    clock = ManualClock()
    quarantine = Quarantine(clock, Random(1), make_policy()._settings)
    quarantine.ended(report("t1", CallOutcome.CRASHED), "f")
    for record in quarantine.records():
        records.add(record)
    records.expire(epoch_ms(clock.now()) + 11)
    assert not tuple(records)
    assert not records.fingerprints_at(("t1", 1))
