"""Routing: live targets, stragglers, subsets and affinity, against simple models."""

from collections import Counter

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from policy_helpers import (
    LIMITS,
    POOL,
    call,
    make_policy,
    make_targets,
    pick,
    report,
)

from acaciapier.core.clock import ManualClock
from acaciapier.core.outcomes import Cause
from acaciapier.policy import CallOutcome, Choice, Load
from acaciapier.policy.health import PoolHealth
from acaciapier.policy.routing import PoolRouter
from acaciapier.policy.subset import choose_subset

QUICK = settings(max_examples=40, stateful_step_count=40)
UNSHRUNK = settings(QUICK, phases=[Phase.generate])
NUMBERS = st.sets(st.integers(0, 7))


class RoutingMachine(RuleBasedStateMachine):
    """Picks among changing targets, with failures, against the set of live ones."""

    @initialize(choice=st.sampled_from(Choice))
    def start(self, choice):
        self.clock = ManualClock()
        self.policy = make_policy(self.clock, choice=choice, quarantine=False)
        self.live = {one.target for one in make_targets()}
        self.calls = []

    @rule(numbers=NUMBERS, incarnation=st.integers(1, 3))
    def change_targets(self, numbers, incarnation):
        targets = [make_targets(8, incarnation=incarnation)[n] for n in numbers]
        self.policy.update_pool(POOL, LIMITS, targets)
        self.live = {one.target for one in targets}

    @rule(numbers=NUMBERS)
    def pick(self, numbers):
        exclude = frozenset(f"{POOL}-{number}" for number in numbers)
        answer = pick(self.policy, exclude=exclude)
        if answer.is_err():
            assert answer.unwrap_err().cause is Cause.NO_TARGET
            assert not self.live - exclude
            return
        view = answer.unwrap()
        assert view.target in self.live - exclude
        self.policy.sent(view.target, "f")
        self.calls.append(view)

    @rule(outcome=st.sampled_from(CallOutcome), elapsed_ms=st.floats(1.0, 5_000.0))
    def end(self, outcome, elapsed_ms):
        if self.calls:
            view = self.calls.pop(0)
            load = Load(len(self.calls), 0, 4, 0.0)
            ended = report(
                view.target, outcome, elapsed_ms, load, incarnation=view.incarnation
            )
            self.policy.ended(ended, "f")

    @rule(seconds=st.floats(0.01, 30.0))
    def wait(self, seconds):
        self.clock.advance(seconds)


class StragglerMachine(RuleBasedStateMachine):
    """One target of five is slow or fails, and later well again."""

    SLOW = f"{POOL}-2"

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.policy = make_policy(self.clock)
        self.number = 0
        self._run(100)

    @rule(fault=st.sampled_from(["slow", "failed", "crashed"]))
    def fault_and_recovery(self, fault):
        self._run(120, fault)
        share = self._run(400, fault)[self.SLOW] / 400
        assert share < 0.04, "a bad target keeps its share"
        assert self._run(1_500, fault)[self.SLOW], "it is not probed"
        self._run(1_500)
        assert self._run(400)[self.SLOW] / 400 > 0.06, "it does not come back"

    def _run(self, calls, fault=None):
        used = Counter()
        for _ in range(calls):
            self.number += 1
            self.clock.advance(0.02)
            view = pick(self.policy, f"f{self.number}").unwrap()
            self.policy.sent(view.target, f"f{self.number}")
            used[view.target] += 1
            self._end(view, fault if view.target == self.SLOW else None)
        return used

    def _end(self, view, fault):
        elapsed_ms = 1_000.0 if fault == "slow" else 100.0
        outcome = CallOutcome.DONE
        if fault in ("failed", "crashed"):
            outcome = CallOutcome(fault)
        self.policy.ended(report(view.target, outcome, elapsed_ms), f"f{self.number}")


def test_routing_machine():
    run_state_machine_as_test(RoutingMachine, settings=QUICK)


def test_straggler_machine():
    few = settings(max_examples=3, stateful_step_count=2)
    run_state_machine_as_test(StragglerMachine, settings=few)


def test_the_machine_detects_a_router_that_ignores_exclusions(monkeypatch):
    choose = PoolRouter.pick
    monkeypatch.setattr(
        PoolRouter, "pick", lambda self, _, *rest, **kw: choose(self, (), *rest, **kw)
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RoutingMachine, settings=UNSHRUNK)


@pytest.mark.parametrize(
    ("method", "fault", "message"),
    [
        ("claim_due_probe", lambda *_: None, "not probed"),
        ("_eject", lambda *_: None, "keeps its share"),
        ("_record_probe", lambda *_: None, "not come back"),
    ],
)
def test_the_machine_detects_faulty_health_checks(monkeypatch, method, fault, message):
    monkeypatch.setattr(PoolHealth, method, fault)
    few = settings(UNSHRUNK, max_examples=4, stateful_step_count=4)
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(StragglerMachine, settings=few)


def test_a_hanging_target_is_ejected_before_its_calls_end():
    clock = ManualClock()
    policy = make_policy(clock)
    for number in range(60):
        call(policy, f"f{number}", elapsed_ms=100.0)
    policy.sent(f"{POOL}-0", "hanging")
    for number in range(100):
        clock.advance(0.05)
        call(policy, f"g{number}", elapsed_ms=100.0)
    assert not policy._routers[POOL].health.is_healthy(f"{POOL}-0")


def test_a_pick_from_full_targets_is_refused_with_overload():
    policy = make_policy(targets=make_targets(1))
    for number in range(LIMITS.max_outstanding):
        policy.sent(pick(policy, f"f{number}").unwrap().target, f"f{number}")
    assert pick(policy, "g").unwrap_err().cause is Cause.OVERLOAD


def test_a_prefix_stays_on_one_target_until_that_is_loaded():
    policy = make_policy()
    picked = [
        policy.pick(POOL, exclude=frozenset(), affinity_key="p", suspect=False).unwrap()
        for _ in range(20)
    ]
    assert len(set(picked)) == 1
    for target in make_targets():
        queued = 20 if target == picked[0] else 0
        policy.load_reported(target.target, 1, Load(4, queued, 4, 0.0))
    other = policy.pick(POOL, exclude=frozenset(), affinity_key="p", suspect=False)
    assert other.unwrap() != picked[0]


def test_the_own_data_centre_is_preferred_if_all_targets_are_idle():
    policy = make_policy(targets=make_targets(9))
    used = Counter(pick(policy, f"f{n}").unwrap().data_centre for n in range(300))
    assert used["dc0"] > 130


def test_a_large_pool_is_reduced_to_a_stable_local_subset():
    targets = [
        target
        for region in range(8)
        for target in make_targets(1_500, f"p{region}", 1, 2, f"r{region}")
    ]
    local = [target for target in targets if target.region == "r0"]
    chosen = choose_subset(local, "dc0", "entry-1", 64)
    assert len(chosen) == 64
    fewer = [target for target in local if target != chosen[0]]
    again = choose_subset(fewer, "dc0", "entry-1", 64)
    assert len(set(chosen) & set(again)) == 63
    covered = Counter()
    for entry in range(64):
        covered.update(
            view.target for view in choose_subset(local, "dc0", f"entry-{entry}", 64)
        )
    assert len(covered) > 0.85 * len(local)


def test_an_unreachable_target_is_ejected_immediately():
    policy = make_policy()
    policy.ended(report(f"{POOL}-1", CallOutcome.REFUSED), "f")
    assert not policy._routers[POOL].health.is_healthy(f"{POOL}-1")
    full = report(f"{POOL}-2", CallOutcome.REFUSED, load=Load(4, 60, 4, 0.0))
    policy.ended(full, "f")
    assert policy._routers[POOL].health.is_healthy(f"{POOL}-2")


def test_queueing_does_not_count_as_slowdown():
    clock = ManualClock()
    policy = make_policy(clock)
    for number in range(60):
        call(policy, f"f{number}", elapsed_ms=100.0)
    for number in range(10):
        ended = report(f"{POOL}-1", elapsed_ms=1_000.0, service_ms=100.0)
        policy.ended(ended, f"g{number}")
    assert policy._routers[POOL].health.is_healthy(f"{POOL}-1")


def stream(policy, fingerprint, slow=None, first_ms=50.0):
    """Run one streamed call, ten times slower on the target `slow`."""
    view = pick(policy, fingerprint).unwrap()
    factor = 10.0 if view.target == slow else 1.0
    policy.sent(view.target, fingerprint)
    policy.first_part_received(view.target, fingerprint, factor * first_ms)
    ended = report(view.target, elapsed_ms=factor * 5 * first_ms)
    policy.ended(ended, fingerprint)
    return view.target


def test_one_extremely_late_first_part_ejects_a_target():
    policy = make_policy()
    for number in range(60):
        stream(policy, f"f{number}")
    slow = f"{POOL}-1"
    policy.sent(slow, "g")
    policy.first_part_received(slow, "g", 500.0)
    assert not policy._routers[POOL].health.is_healthy(slow)


def test_a_straggler_does_not_delay_the_hedges_against_it():
    policy = make_policy()
    for number in range(100):
        view = pick(policy, f"f{number}").unwrap()
        policy.sent(view.target, f"f{number}")
        late = 2_000.0 if number % 10 == 0 else 50.0
        policy._routers[POOL].observations.first_part_times.add(late)
        policy.ended(report(view.target, elapsed_ms=250.0), f"f{number}")
    assert policy.hedge_after_ms(POOL, 3_000.0) == 200.0


def test_a_target_is_probed_only_by_calls_that_may_be_hedged():
    clock = ManualClock()
    policy = make_policy(clock)
    slow = f"{POOL}-1"
    policy.ended(report(slow, CallOutcome.CRASHED), "f")
    clock.advance(2)
    while policy.may_hedge(POOL):
        pass
    assert all(pick(policy, f"g{n}").unwrap().target != slow for n in range(20))
    for number in range(30):
        call(policy, f"h{number}")
    assert any(pick(policy, f"i{n}").unwrap().target == slow for n in range(2))


def test_the_number_of_sharing_instances_follows_the_subset_size():
    policy = make_policy(instances=510, targets=make_targets(1_280))
    assert policy._routers[POOL].sharing_instances == 510 * 64 / 1_280


def test_a_pool_that_is_added_later_gets_the_number_of_instances():
    policy = make_policy()
    policy.update_instances(9)
    policy.update_pool("later", LIMITS, make_targets(2, "later"))
    assert policy._routers["later"].sharing_instances == 9
