"""Tests of leases with several holders, lost answers and delays, on one engine."""

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from acaciapier.core.clock import ManualClock
from acaciapier.engines.leases import LeaseAction, LeaseKeeper
from acaciapier.engines.models import ControlLimits

from .fakes import holder

HOLDERS = ("a", "b", "c")
FATES = strategies.sampled_from(["ok", "ok", "ok", "lost", "late"])
SECONDS = strategies.sampled_from([1, 5, 20])
WHO = strategies.sampled_from(HOLDERS)
LIMITS = ControlLimits(lease_ms=10_000, renew_ms=3_000)
RUN = settings(max_examples=120, stateful_step_count=40)
RUN_UNTIL_FOUND = settings(RUN, phases=[Phase.generate], max_examples=3_000)


class LeaseMachine(RuleBasedStateMachine):
    """Holders share a store cell and an engine that checks fencing numbers.

    The oracle: of two orders that the engine takes, the later one never comes from
    an earlier term, nor from an older configuration.
    """

    def __init__(self):
        super().__init__()
        self.clocks = {name: ManualClock() for name in HOLDERS}
        self.keepers = {
            name: LeaseKeeper(holder(name), LIMITS, self.clocks[name])
            for name in HOLDERS
        }
        self.numbers = dict.fromkeys(HOLDERS, 1)
        self.version, self.body = 0, None
        self.delayed = []
        self.orders = []
        self.in_flight = []

    def store_put(self, body, if_version):
        if not self.store_accepts(if_version):
            return None
        self.version, self.body = self.version + 1, body
        return self.version

    def store_accepts(self, if_version):
        return if_version == self.version

    def engine_takes(self, number, configuration):
        if self.orders and number < max(order[0] for order in self.orders):
            return
        self.orders.append((number, configuration))
        configurations = [order[1] for order in self.orders]
        assert configurations == sorted(configurations), "an engine was reverted"

    @rule(who=WHO, fate=FATES, times=strategies.integers(1, 4))
    def steps(self, who, fate, times):
        for _ in range(times):
            self.step(who, fate)

    def step(self, who, fate):
        keeper = self.keepers[who]
        step = keeper.next_step(self.numbers[who])
        if step.action is LeaseAction.READ:
            keeper.take_read(self.version, self.body)
        elif step.action is LeaseAction.USE:
            self.in_flight.append((step.fencing_number, self.numbers[who]))
        elif step.action is LeaseAction.WRITE:
            self.write(keeper, step, fate)
        else:
            keeper.forget_version()

    def write(self, keeper, step, fate):
        if fate == "late":
            self.delayed.append((step.body, step.if_version))
            keeper.take_unknown()
            return
        version = self.store_put(step.body, step.if_version)
        if fate == "lost":
            keeper.take_unknown()
        elif version is None:
            keeper.take_conflict()
        else:
            keeper.take_written(version, step.body)

    @rule()
    def late_write_lands(self):
        if self.delayed:
            self.store_put(*self.delayed.pop(0))

    @rule(place=strategies.integers(0, 3))
    def order_arrives(self, place):
        if self.in_flight:
            self.engine_takes(*self.in_flight.pop(place % len(self.in_flight)))

    @rule(who=WHO)
    def release(self, who):
        keeper = self.keepers[who]
        step = keeper.release_step()
        if step.action is LeaseAction.WRITE:
            self.write(keeper, step, "ok")

    @rule(who=strategies.sampled_from([HOLDERS, *zip(HOLDERS)]), seconds=SECONDS)
    def time_passes_for_some(self, who, seconds):
        for name in who:
            self.clocks[name].advance(seconds)

    @rule(who=WHO, newer=strategies.booleans())
    def takes_over(self, who, newer):
        if newer:
            self.configuration_changes(who)
        self.step(who, "ok")
        self.step(who, "ok")
        self.clocks[who].advance(20)
        self.steps(who, "ok", 3)

    @rule(who=WHO)
    def configuration_changes(self, who):
        self.numbers[who] = max(self.numbers.values()) + 1


class UncheckedStore(LeaseMachine):
    """A store that takes every update, as if leases were kept by time alone."""

    def store_accepts(self, if_version):
        return True


class UncheckedEngine(LeaseMachine):
    """An engine that takes every number."""

    def engine_takes(self, number, configuration):
        self.orders.append((number, configuration))
        configurations = [order[1] for order in self.orders]
        assert configurations == sorted(configurations), "an engine was reverted"


def test_an_engine_is_never_reverted():
    run_state_machine_as_test(LeaseMachine, settings=RUN)


@pytest.mark.parametrize("faulty", [UncheckedStore, UncheckedEngine])
def test_machine_catches_missing_checks(faulty):
    with pytest.raises(AssertionError, match="reverted"):
        run_state_machine_as_test(faulty, settings=RUN_UNTIL_FOUND)


def test_a_lease_is_taken_only_after_it_was_seen_unchanged():
    clock = ManualClock()
    keeper = LeaseKeeper(holder("a"), LIMITS, clock)
    other = LeaseKeeper(holder("b"), LIMITS, clock)
    keeper.take_read(0, None)
    step = keeper.next_step(1)
    keeper.take_written(1, step.body)
    other.take_read(1, step.body)
    clock.advance(9)
    assert other.next_step(1).action is LeaseAction.WAIT
    clock.advance(1)
    assert other.next_step(1).action is LeaseAction.WRITE


def test_a_lost_answer_is_recognised_by_the_holder():
    keeper = LeaseKeeper(holder("a"), LIMITS, ManualClock())
    keeper.take_read(0, None)
    body = keeper.next_step(1).body
    keeper.take_unknown()
    assert keeper.next_step(1).action is LeaseAction.READ
    keeper.take_read(7, body)
    assert keeper.held_fencing_number == 7


def test_a_restarted_instance_is_another_holder():
    keeper = LeaseKeeper(holder("a", 2), LIMITS, ManualClock())
    earlier = LeaseKeeper(holder("a", 1), LIMITS, ManualClock())
    earlier.take_read(0, None)
    keeper.take_read(1, earlier.next_step(1).body)
    assert keeper.held_fencing_number is None
    assert keeper.next_step(1).action is LeaseAction.WAIT
