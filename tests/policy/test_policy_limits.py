"""Budgets and workspace limits, checked against simple reference models."""

from collections import Counter

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
from policy_helpers import ESTIMATES, POOL, make_policy, make_targets, pick

from acaciapier.core.clock import ManualClock
from acaciapier.core.outcomes import Cause, Outcome
from acaciapier.policy import Load, PoolLimits, WorkspaceLimits
from acaciapier.policy.budgets import DEFAULT_BURST, ShareBudget
from acaciapier.policy.extra_calls import HEDGE_BURST
from acaciapier.policy.fairness import TokenBucket

QUICK = settings(max_examples=40, stateful_step_count=60)
UNSHRUNK = settings(QUICK, phases=[Phase.generate])


class ExtraCallsMachine(RuleBasedStateMachine):
    """Retries and hedges against a count of first attempts."""

    BURSTS = {"retry": DEFAULT_BURST, "hedge": HEDGE_BURST}

    @initialize(retry=st.integers(0, 40), hedge=st.integers(0, 20))
    def start(self, retry, hedge):
        self.shares = {"retry": retry, "hedge": hedge}
        self.policy = make_policy(limits=PoolLimits(64, retry, hedge))
        self.first = 0
        self.extra = Counter()

    @rule(calls=st.integers(1, 30))
    def send(self, calls):
        for number in range(calls):
            self._send()
            self.first += 1

    @rule(times=st.integers(1, 15))
    def retry(self, times):
        for _ in range(times):
            self._retry()

    def _retry(self):
        if self.policy.may_retry(POOL, 10.0, 1_000.0):
            self.extra["retry"] += 1
            self._send()

    @rule()
    def hedge(self):
        if self.policy.may_hedge(POOL):
            self.extra["hedge"] += 1
            self._send()

    def _send(self):
        view = pick(self.policy, "f").unwrap()
        self.policy.sent(view.target, "f")
        self.policy._routers[POOL].state(view.target).ended("f")
        self.policy._quarantine._in_flight.clear()

    @invariant()
    def extra_calls_stay_within_share_and_burst(self):
        for kind, share in self.shares.items():
            burst = self.BURSTS[kind] if share else 0
            assert self.extra[kind] <= self.first * share / 100 + burst + 1e-6


class RateMachine(RuleBasedStateMachine):
    """Three instances under one workspace's rate, against the whole fleet's count."""

    RATE_PER_S = 30.0
    BURST = 12

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.policies = [make_policy(self.clock, n, instances=3) for n in range(3)]
        for policy in self.policies:
            policy.update_workspace(
                "w1", WorkspaceLimits(1.0, self.RATE_PER_S, self.BURST)
            )
        self.admitted = []

    @rule(at=st.integers(0, 2), count=st.integers(1, 8))
    def ask(self, at, count):
        policy = self.policies[at]
        for _ in range(count):
            answer = policy.admit("w1", (), 1_000.0, "f")
            if answer.is_ok():
                self.admitted.append(self.clock.monotonic_s())
                policy.release(answer.unwrap(), Outcome.DONE)
            else:
                assert answer.unwrap_err().cause is Cause.RATE_LIMIT

    @rule(seconds=st.floats(0.001, 0.5))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def a_token_is_there_after_the_named_time(self):
        answer = self.policies[0].admit("w1", (), 1_000.0, "f")
        if answer.is_err():
            self.clock.advance(answer.unwrap_err().retry_after_ms / 1_000 + 0.001)
            assert self.policies[0].admit("w1", (), 1_000.0, "f").is_ok()
        self.admitted.append(self.clock.monotonic_s())

    @invariant()
    def the_fleet_keeps_to_rate_and_burst(self):
        now_s = self.clock.monotonic_s()
        for index, since_s in enumerate(self.admitted):
            count = len(self.admitted) - index
            assert count <= self.BURST + self.RATE_PER_S * (now_s - since_s) + 1e-6


@pytest.mark.parametrize("machine", [ExtraCallsMachine, RateMachine])
def test_machine(machine):
    run_state_machine_as_test(machine, settings=QUICK)


def test_the_machine_detects_a_budget_that_earns_twice(monkeypatch):
    earn = ShareBudget.earn
    monkeypatch.setattr(ShareBudget, "earn", lambda self: (earn(self), earn(self)))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ExtraCallsMachine, settings=UNSHRUNK)


def test_the_machine_detects_a_bucket_that_overflows(monkeypatch):
    refill = TokenBucket._refill

    def overflow(self):
        self._burst += 0.5
        refill(self)

    monkeypatch.setattr(TokenBucket, "_refill", overflow)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RateMachine, settings=UNSHRUNK)


def share_under_overload(weights, rounds=400):
    """Return how many requests of each workspace an overloaded pool admitted."""
    clock = ManualClock()
    policy = make_policy(clock)
    admitted, queued = Counter(), 0.0
    for name, weight in weights.items():
        policy.update_workspace(name, WorkspaceLimits(weight, 10_000.0, 10_000))
    for number in range(rounds):
        clock.advance(0.02)
        queued = max(0.0, queued - 20 / 5)
        for target in make_targets():
            load = Load(4, int(queued / 5), 4, 0.0)
            policy.load_reported(target.target, 1, load)
        for name in weights:
            for _ in range(6):
                answer = policy.admit(name, ESTIMATES, 1_000.0, f"{name}-{number}")
                if answer.is_ok():
                    admitted[name] += 1
                    queued += 1
                    policy.release(answer.unwrap(), Outcome.DONE)
    return admitted


def test_an_overloaded_pool_is_shared_by_weight():
    admitted = share_under_overload({"small": 1.0, "large": 3.0})
    assert admitted["large"] / admitted["small"] == pytest.approx(3.0, rel=0.15)


def test_a_single_workspace_can_use_the_whole_pool():
    both = share_under_overload({"small": 1.0, "large": 3.0})
    alone = share_under_overload({"small": 1.0})
    assert alone["small"] >= 0.9 * sum(both.values())


def test_a_share_of_zero_gives_no_burst():
    budget = ShareBudget(share_percent=0)
    assert not budget.spend()
    budget.configure(10)
    assert not budget.spend()
