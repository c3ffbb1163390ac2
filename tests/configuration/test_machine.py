"""Concurrent operators on a store with faults, compared with a simple model.

The examples of the state machine are derived from the source of its class, so an
edit of `ConfigurationMachine` also changes which examples run.
"""

from dataclasses import replace
from random import Random

import pytest
import trio
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from acaciapier.configuration import (
    ConfigurationLog,
    Delete,
    History,
    LogLimits,
    ObjectKey,
    Patch,
    Replace,
    RequestedChange,
    RequestedEdit,
    Unavailable,
)
from acaciapier.configuration.decisions import PatchIndex
from acaciapier.configuration.log_state import split_snapshot
from acaciapier.configuration.records import HEAD_KIND, Block, Head, from_value
from acaciapier.configuration.replica import ConfigurationReplica
from acaciapier.configuration.state import EMPTY_STATE
from acaciapier.configuration.transitions import apply_change
from acaciapier.core.clock import ManualClock
from acaciapier.exceptions import StoreUnavailable
from configuration.fakes import Crash, FakeStore, Fault, pool_value

LIMITS = LogLimits(
    block_changes=2, snapshot_changes=4, kept_changes=1, part_bytes=500, kept_patches=64
)
ADMINS = 3
REPLICAS = 2
KEYS = [ObjectKey("pool", name) for name in "ab"]
OPERATIONS = ("replace", "replace", "patch", "delete")


class RecordingStore(FakeStore):
    """Checks at each write of the head that the log only grows by one change."""

    def __init__(self):
        super().__init__()
        self.heads = []
        self.order = []

    def write(self, kind, name, value, if_version):
        super().write(kind, name, value, if_version)
        if kind == HEAD_KIND:
            self.record(from_value(value, Head))

    def record(self, head):
        assert head.number == len(self.order) + 1, "a number was skipped or reused"
        for change in head.recent[:-1]:
            assert change == self.order[change.number - 1], "the order was changed"
        self.heads.append(head)
        self.order.append(head.recent[-1])


edits = st.tuples(
    st.integers(0, ADMINS - 1),
    st.sampled_from(KEYS),
    st.sampled_from(OPERATIONS),
    st.sampled_from([0, 0, 0, 1]),
)
faults = st.lists(st.sampled_from(list(Fault) + [Fault.NONE] * 6), max_size=12)


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, administration instances, daemons and a faulty store."""

    make_log = ConfigurationLog
    make_replica = ConfigurationReplica

    def __init__(self):
        super().__init__()
        self.store = RecordingStore()
        self.clock = ManualClock()
        self.seed = 0
        self.logs = [self.new_log() for _ in range(ADMINS)]
        self.replicas = [self.make_replica(self.clock) for _ in range(REPLICAS)]
        self.numbers = [0] * REPLICAS
        self.states = [EMPTY_STATE]
        self.accepted = {}
        self.refused = {}
        self.open = {}

    def new_log(self):
        self.seed += 1
        return self.make_log(self.store, self.clock, Random(self.seed), LIMITS)

    @rule(wanted=st.lists(edits, min_size=1, max_size=3), store_faults=faults)
    def race(self, wanted, store_faults):
        requests = [(one[0], self.request(*one[1:])) for one in wanted]
        self.run(requests, store_faults)

    @rule(admin=st.integers(0, ADMINS - 1), data=st.data(), store_faults=faults)
    def resend(self, admin, data, store_faults):
        known = [*self.open.values(), *(one for one, _ in self.accepted.values())]
        if known:
            self.run([(admin, data.draw(st.sampled_from(known)))], store_faults)

    @rule()
    def late_updates_arrive(self):
        self.store.deliver_late()

    @rule()
    def end_outage(self):
        self.store.is_down = False

    @rule()
    def begin_outage(self):
        self.store.is_down = True

    @rule(index=st.integers(0, REPLICAS - 1), data=st.data())
    def replica_reads_any_head(self, index, data):
        if self.store.heads:
            head = data.draw(st.sampled_from(self.store.heads))
            for change in head.recent:
                self.replicas[index].apply(change)

    @rule(index=st.integers(0, REPLICAS - 1), data=st.data())
    def replica_hears_any_change(self, index, data):
        if self.store.order:
            self.replicas[index].apply(data.draw(st.sampled_from(self.store.order)))

    @rule(index=st.integers(0, REPLICAS - 1), data=st.data())
    def replica_loads_any_state(self, index, data):
        self.replay()
        state = data.draw(st.sampled_from(self.states))
        self.replicas[index].load(split_snapshot(state, part_bytes=300))

    @invariant()
    def replicas_hold_a_state_of_the_order_and_never_go_down(self):
        self.replay()
        for index, replica in enumerate(self.replicas):
            assert replica.number >= self.numbers[index], "a replica went down"
            self.numbers[index] = replica.number
            assert replica.state.objects == self.states[replica.number].objects

    def teardown(self):
        self.store.is_down = False
        self.store.faults.clear()
        self.store.deliver_late()
        for request in list(self.open.values()):
            self.run([(0, request)], [])
        assert not self.open, "a resend without faults got no answer"
        self.check_order()
        trio.run(self.check_fresh, clock=trio.testing.MockClock(autojump_threshold=0))

    def request(self, key, operation, lag):
        self.seed += 1
        self.replay()
        present = self.states[max(0, len(self.states) - 1 - lag)].get(*key)
        version = present.version if present else 0
        limit = self.seed
        made = {
            "replace": Replace(pool_value(key.name, limit)),
            "delete": Delete(),
            "patch": Patch(
                [{"op": "replace", "path": "/max_outstanding", "value": limit}]
            ),
        }[operation]
        edit = RequestedEdit(key, version, made)
        number = max(0, len(self.states) - 1 - lag)
        return RequestedChange(f"p{self.seed}", "op", (edit,), number)

    def run(self, requests, store_faults):
        self.store.faults.extend(store_faults)
        for _, request in requests:
            self.open.setdefault(request.patch_id, request)
        errors = []

        async def submit(admin, request):
            try:
                answer = await self.logs[admin].submit(request)
                self.note(request, answer)
            except Crash:
                self.logs[admin] = self.new_log()
            except Exception as error:
                errors.append(error)

        async def submit_all():
            async with trio.open_nursery() as nursery:
                for admin, request in requests:
                    nursery.start_soon(submit, admin, request)

        trio.run(submit_all, clock=trio.testing.MockClock(autojump_threshold=0))
        self.store.faults.clear()
        if errors:
            raise errors[0]

    def note(self, request, answer):
        patch_id = request.patch_id
        if answer.is_ok():
            number = answer.ok_value.number
            known = self.accepted.setdefault(patch_id, (request, number))
            assert known[1] == number, "a resend got another answer"
            self.open.pop(patch_id, None)
        elif isinstance(answer.err_value, Unavailable):
            least = answer.err_value.at_least_number
            if patch_id not in self.accepted:
                self.open[patch_id] = replace(request, at_least_number=least)
        else:
            assert patch_id not in self.accepted, "an accepted patch was refused"
            self.refused[patch_id] = request
            self.open.pop(patch_id, None)

    def replay(self):
        for change in self.store.order[len(self.states) - 1 :]:
            self.states.append(apply_change(self.states[-1], change))

    def check_order(self):
        self.replay()
        ids = [change.patch_id for change in self.store.order]
        assert len(set(ids)) == len(ids), "a patch was accepted twice"
        assert not set(ids) & set(self.refused), "a refused patch is in the order"
        for patch_id, (_, number) in self.accepted.items():
            assert ids[number - 1] == patch_id, "an accepted patch is missing"
        for change in self.store.order:
            for edit in change.edits:
                key = ObjectKey(edit.kind, edit.name)
                before = self.states[change.number - 1]
                present = before.get(*key)
                assert edit.base_version == (present.version if present else 0)
                assert edit.new_version == before.last_version(key) + 1

    async def check_fresh(self):
        log = self.new_log()
        await log.refresh()
        assert log.state.objects == self.states[-1].objects
        found = await History(log).changes(None, len(self.store.order) + 1)
        assert found == self.store.order[::-1], "the history has gaps"


def run_machine(machine, examples, steps=20):
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    run_state_machine_as_test(machine, settings=chosen)


def test_concurrent_operators_keep_one_order():
    run_machine(ConfigurationMachine, 100, steps=30)


class UnconditionalLog(ConfigurationLog):
    """Writes the head without a condition on its version."""

    async def _put_head(self, head):
        self._head_version = None
        return await super()._put_head(head)


class NoResendDetectionLog(ConfigurationLog):
    """Does not recognise a patch that was accepted before."""

    async def _try_once(self, submission):
        self._log_state.patches = PatchIndex((), 0)
        return await super()._try_once(submission)


class TrimFirstLog(ConfigurationLog):
    """Writes the head before the block that holds the trimmed changes."""

    async def _append(self, submission, change):
        self.delayed_block = None
        write = self.archive.write_block

        async def write_later(block):
            self.delayed_block = block
            return block_ref(block)

        self.archive.write_block = write_later
        answer = await super()._append(submission, change)
        self.archive.write_block = write
        if self.delayed_block is not None:
            await write(self.delayed_block)
        return answer


def block_ref(block: Block):
    from acaciapier.configuration.records import BlockRef

    return BlockRef(block.changes[0].number, block.changes[-1].number)


class LoweredReplica(ConfigurationReplica):
    """Loads every snapshot, also an older one."""

    def load(self, parts):
        if parts[0].number < self.number:
            self._state = EMPTY_STATE
        super().load(parts)


@pytest.mark.parametrize(
    "faulty_log", [UnconditionalLog, NoResendDetectionLog, TrimFirstLog]
)
def test_the_machine_detects_faulty_logs(faulty_log):
    class Faulty(ConfigurationMachine):
        make_log = faulty_log

    with pytest.raises((AssertionError, StoreUnavailable)):
        run_machine(Faulty, 300)


def test_the_machine_detects_a_replica_whose_number_decreases():
    class Faulty(ConfigurationMachine):
        make_replica = LoweredReplica

    with pytest.raises(AssertionError):
        run_machine(Faulty, 300)
