"""State machine test of interleaved claims, with and without injected faults."""

import claims_world
import pytest
from claims_world import WINDOW, World
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from acaciapier.core.outcomes import Outcome

ENTRY = st.integers(0, 2)
ANY = st.integers(0, 5)
FATE = st.sampled_from(["done", "done", "done", "lost_before", "lost_after", "late"])
PAST_WINDOW_MS = WINDOW.valid_ms + 4 * WINDOW.clock_error_ms + WINDOW.bucket_ms
NO_FAULT_SETTINGS = settings(max_examples=400, stateful_step_count=40)
FAULT_SEARCH_SETTINGS = settings(
    max_examples=4_000,
    stateful_step_count=40,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class ClaimMachine(RuleBasedStateMachine):
    world_type = World

    def __init__(self):
        super().__init__()
        self.world = self.world_type()
        self.world.mint()

    def entry(self, number):
        return self.world.entries[number]

    def recent(self, number):
        """Pick one of the last two ids, so that attempts meet."""
        return max(0, len(self.world.ids) - 1 - number % 2)

    @rule()
    def mint(self):
        self.world.mint()

    @rule(entry=ENTRY, number=ANY, committer=ENTRY)
    def start(self, entry, number, committer):
        number = self.recent(number)
        self.world.start(self.entry(entry), number, self.entry(committer))

    @rule(entry=ENTRY, number=ANY, committer=ENTRY)
    def claim_at_once(self, entry, number, committer):
        number = self.recent(number)
        self.world.claim_at_once(self.entry(entry), number, self.entry(committer))

    @precondition(lambda self: self.world.attempts)
    @rule(number=ANY, fate=FATE)
    def complete(self, number, fate):
        attempt = self.world.attempts[number % len(self.world.attempts)]
        self.world.complete(attempt, (fate, "done", "done"))

    @precondition(lambda self: self.world.attempts)
    @rule(number=ANY, with_settlements=st.booleans())
    def stage(self, number, with_settlements):
        attempt = self.world.attempts[number % len(self.world.attempts)]
        bucket = attempt.own.bucket
        self.world.stage(attempt.committer, bucket, with_settlements)

    @precondition(lambda self: self.world.settlements)
    @rule(entry=ENTRY, number=ANY)
    def settle(self, entry, number):
        bucket, _ = self.world.settlements[number % len(self.world.settlements)]
        self.world.stage(self.entry(entry), bucket, True)

    @precondition(lambda self: self.world.groups)
    @rule(number=ANY, fate=FATE, old_read=st.booleans())
    def put(self, number, fate, old_read):
        group = self.world.groups[number % len(self.world.groups)]
        self.world.put(group, fate, old_read)

    @precondition(lambda self: self.world.late)
    @rule(number=ANY)
    def put_late(self, number):
        self.world.put_late(self.world.late[number % len(self.world.late)])

    @precondition(lambda self: self.world.attempts)
    @rule(number=ANY)
    def receive(self, number):
        self.world.receive(self.world.attempts[number % len(self.world.attempts)])

    @precondition(lambda self: self.world.attempts)
    @rule(number=ANY)
    def give_up(self, number):
        self.world.give_up(self.world.attempts[number % len(self.world.attempts)])

    @precondition(lambda self: self.world.running)
    @rule(number=ANY, outcome=st.sampled_from(Outcome))
    def finish(self, number, outcome):
        self.world.finish(number % len(self.world.running), outcome)

    @rule(entry=ENTRY)
    def kill(self, entry):
        self.world.kill(entry)

    @rule(milliseconds=st.sampled_from([100, 1_500, WINDOW.valid_ms]))
    def advance(self, milliseconds):
        self.world.now_ms += milliseconds

    @rule(entry=ENTRY)
    def pass_window_and_collect(self, entry):
        self.world.now_ms += PAST_WINDOW_MS
        self.world.collect(self.entry(entry))

    @rule(entry=ENTRY)
    def collect(self, entry):
        self.world.collect(self.entry(entry))

    @invariant()
    def runs_at_most_once(self):
        self.world.check()


def make_machine(world_type):
    return type("Machine", (ClaimMachine,), {"world_type": world_type})


def test_no_request_runs_twice():
    run_state_machine_as_test(ClaimMachine, settings=NO_FAULT_SETTINGS)


@pytest.mark.parametrize(
    "world_type",
    [
        claims_world.UnconditionalUpdateWorld,
        claims_world.ExpiringClaimWorld,
        claims_world.AssumedNotRunWorld,
        claims_world.NoWindowWorld,
        claims_world.NoRecheckWorld,
        claims_world.AssumedSuccessWorld,
        claims_world.AbandonedClaimRunsWorld,
    ],
)
def test_an_injected_fault_is_detected(world_type):
    with pytest.raises(AssertionError, match=r"ran more than once|ran after"):
        run_state_machine_as_test(
            make_machine(world_type), settings=FAULT_SEARCH_SETTINGS
        )
