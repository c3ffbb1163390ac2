"""Tests of merging cost reports with lost answers, resends and races."""

from collections import Counter
from random import Random

import msgspec
import pytest
import trio
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from acaciapier.accounts import (
    AccountEntry,
    AccountPage,
    AccountReport,
    AccountService,
    AttemptClass,
    CostEntry,
    CostKey,
    CostTotal,
    Ledger,
    OutcomeClass,
    merge_reports,
    read_costs,
)
from acaciapier.accounts.pages import page_from_value
from acaciapier.core.clock import TrioClock
from acaciapier.exceptions import VersionConflict
from acaciapier.objects.models import StageKind
from store_fakes import FakeFleet, FakeStore, StoreFaults, StoreTable

KEY = CostKey("w", "quote", "draft", "generate", "first", "used")
ANY = st.integers(0, 5)
QUICK = settings(max_examples=100, stateful_step_count=40)
SEARCH = settings(QUICK, max_examples=500, phases=[Phase.generate])


def merge_without_marks(page, reports):
    """Injected fault: reports already merged are merged again."""
    return merge_reports(AccountPage(entries=page.entries), reports)


def merge_newest_only(page, reports):
    """Injected fault: of several unconfirmed reports only the last is merged."""
    return merge_reports(page, reports[-1:])


class MergeMachine(RuleBasedStateMachine):
    """Two senders, and mergers that read and write at any time."""

    merge = staticmethod(merge_reports)

    def __init__(self):
        super().__init__()
        self.table = StoreTable()
        self.sent = [1, 1]
        self.pending = [[], []]
        self.recorded = 0
        self.reads = []

    @rule(sender=st.integers(0, 1), calls=st.integers(1, 3))
    def report(self, sender, calls):
        entry = AccountEntry(KEY, CostTotal(calls))
        name = f"entry-{sender}"
        report = AccountReport(name, 1, self.sent[sender], 0, (entry,))
        self.sent[sender] += 1
        self.pending[sender].append(report)
        self.recorded += calls

    @rule(senders=st.sampled_from([(0,), (1,), (0, 1)]))
    def read(self, senders):
        reports = [report for sender in senders for report in self.pending[sender]]
        stored = self.table.get("accounts", "0.000")
        self.reads.append((stored, reports))

    @precondition(lambda self: self.reads)
    @rule(number=ANY, answer_lost=st.booleans())
    def write(self, number, answer_lost):
        stored, reports = self.reads.pop(number % len(self.reads))
        page = page_from_value(stored.value) if stored else AccountPage()
        merged = self.merge(page, reports)
        try:
            if merged is not page:
                version = stored.version if stored else 0
                self.table.put("accounts", "0.000", merged, version)
        except VersionConflict:
            return
        if not answer_lost:
            for pending in self.pending:
                pending[:] = [report for report in pending if report not in reports]

    @invariant()
    def the_page_holds_what_is_not_pending_and_nothing_twice(self):
        stored = self.table.get("accounts", "0.000")
        page = page_from_value(stored.value) if stored else AccountPage()
        merged = sum(entry.total.calls for entry in page.entries)
        marks = {mark.instance: mark.sequence for mark in page.marks}
        missing = sum(
            report.entries[0].total.calls
            for pending in self.pending
            for report in pending
            if report.sequence > marks.get(report.instance, 0)
        )
        assert merged + missing == self.recorded, "accounts differ from the oracle"


def test_the_merge_agrees_with_the_oracle():
    run_state_machine_as_test(MergeMachine, settings=QUICK)


@pytest.mark.parametrize("faulty", [merge_without_marks, merge_newest_only])
def test_a_planted_fault_is_caught(faulty):
    machine = type("Machine", (MergeMachine,), {"merge": staticmethod(faulty)})
    with pytest.raises(AssertionError, match="differ from the oracle"):
        run_state_machine_as_test(machine, settings=SEARCH)


@pytest.mark.parametrize("seed", range(3))
async def test_the_sum_equals_what_was_spent_under_faults(seed, autojump_clock):
    random = Random(seed)
    fleet, table, clock = FakeFleet(random), StoreTable(), TrioClock()
    faults = StoreFaults(lost_before=0.2, lost_after=0.2)
    spent = Counter()
    async with trio.open_nursery() as nursery:
        services = []
        for number in range(3):
            name = f"entry-{number}"
            ledger = Ledger(name, 1, clock)
            store = FakeStore(table, faults, random, nursery)
            peers = fleet.join(name)
            service = AccountService(name, ledger, store, peers, fleet, clock, random)
            services.append((service, ledger))
            nursery.start_soon(service.run)
        for step in range(60):
            entry = CostEntry(
                f"workspace-{random.randrange(5)}",
                "quote",
                "draft",
                StageKind.GENERATE,
                random.choice(list(AttemptClass)),
                random.choice(list(OutcomeClass)),
                float(step),
                {"tokens": 2.0},
            )
            random.choice(services)[1].record(entry)
            spent[entry.workspace] += entry.service_ms
            faults.out = step % 20 in (5, 6, 7)
            fleet.cut = {"entry-0"} if step % 20 in (12, 13) else set()
            await trio.sleep(random.uniform(0.0, 4.0))
        faults.out, fleet.cut = False, set()
        for _ in range(5):
            for service, _ in services:
                await service.flush()
            await trio.sleep(30.0)
        store = FakeStore(table, StoreFaults(), random, nursery)
        hours = {int(name.partition(".")[0]) for _, name in table.objects}
        costs = await read_costs(store, hours)
        nursery.cancel_scope.cancel()
    by_workspace = costs.by("workspace")
    assert {key[0]: t.service_ms for key, t in by_workspace.items()} == spent
    assert costs.total().units == {"tokens": 120.0}
    assert msgspec.json.decode(msgspec.json.encode(costs.entries))
