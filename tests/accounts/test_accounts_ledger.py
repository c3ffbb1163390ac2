"""Tests of the cost counters."""

from acaciapier.accounts import AttemptClass, CostEntry, Ledger, OutcomeClass
from acaciapier.core.clock import ManualClock
from acaciapier.objects.models import StageKind


def entry(attempt_class=AttemptClass.FIRST, outcome=OutcomeClass.USED, tokens=3.0):
    kind = StageKind.GENERATE
    units = {"tokens": tokens}
    return CostEntry("w", "quote", "draft", kind, attempt_class, outcome, 5.0, units)


def test_classes_are_counted_separately_and_intervals_reported_once():
    ledger = Ledger("entry-1", 7, ManualClock())
    ledger.record(entry())
    ledger.record(entry(tokens=4.0))
    ledger.record(entry(AttemptClass.HEDGE, OutcomeClass.CANCELLED, 1.0))
    report = ledger.close_interval()
    totals = {e.key.attempt_class: e.total for e in report.entries}
    assert report.sequence == 1
    assert (totals["first"].calls, totals["first"].service_ms) == (2, 10.0)
    assert totals["first"].units == {"tokens": 7.0}
    assert totals["hedge"].units == {"tokens": 1.0}
    assert ledger.close_interval() is None
