"""Counts of the sends to limited workers that dispatchers report to one another."""

from acaciapier.gateway.limited_sends import KEPT_SENDS_MS, SendCounts
from acaciapier.gateway.worker_limits import BEFORE_ALL_S, WorkerLimits
from acaciapier.wire.messages.gateway import LimitedSends

KEY = "w1/1"


def sent(counts: SendCounts, times: int, now_s: float) -> tuple[LimitedSends, ...]:
    for _ in range(times):
        counts.record_own(KEY, now_s)
    return counts.reports(now_s)


def counted(counts: SendCounts, reports, now_s: float) -> list[int]:
    return [new.count for new in counts.merge(reports, now_s)]


def test_sends_count_once_however_often_and_by_which_way_they_are_reported():
    one, other, third = (SendCounts(f"edge-{n}/1") for n in range(3))
    early = sent(one, 2, 1.0)
    late = sent(one, 3, 1.5)
    assert counted(other, late, 1.6) == [5]
    assert counted(other, early, 1.7) == []
    assert counted(other, late, 1.8) == []
    assert counted(third, other.reports(1.8), 1.9) == [5]
    assert counted(one, third.reports(2.0), 2.1) == []


def test_a_restarted_dispatcher_counts_anew():
    other = SendCounts("edge-2/1")
    assert counted(other, sent(SendCounts("edge-1/1"), 9, 1.0), 1.0) == [9]
    assert counted(other, sent(SendCounts("edge-1/2"), 2, 3.0), 3.0) == [2]


def test_old_sends_are_not_reported_and_late_reports_count_nothing_twice():
    one, other = SendCounts("edge-1/1"), SendCounts("edge-2/1")
    reports = sent(one, 3, 1.0)
    assert counted(other, reports, 1.0) == [3]
    assert one.reports(6.0) == other.reports(6.0) == ()
    assert counted(other, reports, 30.0) == []
    later_s = 2.0 + KEPT_SENDS_MS / 1_000.0
    assert other.reports(later_s) == one.reports(later_s) == ()
    assert sent(one, 1, later_s)[0].total == 4


def test_sends_of_another_dispatcher_delay_the_next_one_here():
    limits, other = WorkerLimits(own="edge-1/1"), SendCounts("edge-2/1")
    limits.record(KEY, 2.0, 0.0, BEFORE_ALL_S, "test")
    limits.merge_sends("edge-2", sent(other, 1, 3.0), 3.0)
    limits.merge_sends("edge-2", sent(other, 3, 3.5), 3.5)
    assert limits.wait_ms(KEY, 3.5) > 1_000.0
    assert limits.wait_ms(KEY, 6.0) == 0


def test_a_first_report_of_many_sends_delays_the_next_one_by_a_second_at_most():
    limits, other = WorkerLimits(own="edge-1/1"), SendCounts("edge-2/1")
    limits.record(KEY, 2.0, 0.0, BEFORE_ALL_S, "test")
    limits.merge_sends("edge-2", sent(other, 500, 3.0), 3.0)
    assert 0 < limits.wait_ms(KEY, 3.0) <= 1_000.0


def test_it_is_logged_that_dispatchers_share_a_limit_but_not_with_each_report():
    events = []
    limits = WorkerLimits(
        lambda kind, **fields: events.append((kind, fields)), own="edge-1/1"
    )
    other = SendCounts("edge-2/1")
    limits.record(KEY, 2.0, 0.0, BEFORE_ALL_S, "test")
    limits.merge_sends("edge-2", sent(other, 1, 1.0), 1.0)
    limits.record_send(KEY, 2.0)
    for tenth in range(10):
        limits.merge_sends("edge-2", sent(other, 1, 2.0 + tenth / 10), 2.0 + tenth / 10)
    shared = [fields for kind, fields in events if kind == "worker_limit_shared"]
    assert [fields["dispatcher"] for fields in shared] == ["edge-2/1"]
