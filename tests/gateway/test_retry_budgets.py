"""Guards against dispatchers that each begin the retry budget of a service anew."""

import random

import pytest

from acaciapier.gateway.dispatch.retry_budget import (
    BUDGET_SHARE,
    MAX_DISPATCHERS,
    RetryBudgets,
)
from acaciapier.gateway.settings import GatewayBounds
from acaciapier.wire.messages.gateway import RetryCount, RetryUse

from .support import deployment

BOUNDS = GatewayBounds(retry_ratio=0.2, retry_slack=58.0, retry_window_ms=10_000.0)
SERVICES = ("book",)
RATE_PER_S = 120
HEARTBEAT_S = 0.1


class Fleet:
    """Retry budgets of instances that exchange heartbeats, on simulated time."""

    def __init__(self, count: int):
        self.now_s = 100.0
        self.starts = 0
        self.budgets: dict[int, RetryBudgets] = {}
        self.retries_s: list[float] = []
        self.cut: set[int] = set()
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        self.starts += 1
        self.budgets[number] = RetryBudgets(BOUNDS, f"edge-{number}/{self.starts}")

    def play(self, dispatcher: int, for_s: float) -> None:
        """Let one instance dispatch requests each of which asks for a retry."""
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            for _ in range(int(RATE_PER_S * HEARTBEAT_S)):
                budget = self.budgets[dispatcher].of("book")
                budget.record_first_send(self.now_s)
                if budget.spend(self.now_s):
                    self.retries_s.append(self.now_s)
            self.now_s += HEARTBEAT_S
            self.exchange_heartbeats()

    def exchange_heartbeats(self) -> None:
        reports = {
            number: budgets.reports(self.now_s)
            for number, budgets in self.budgets.items()
        }
        for number, budgets in self.budgets.items():
            for other, sent in reports.items():
                if number != other and not self.cut & {number, other}:
                    budgets.merge(sent, SERVICES, self.now_s)

    def most_retries(self) -> int:
        """Return the most retries in a window."""
        return max(
            sum(at_s <= other <= at_s + 10.0 for other in self.retries_s)
            for at_s in self.retries_s
        )


ALLOWED = 58 + 0.2 * 10 * RATE_PER_S


@pytest.mark.parametrize("how", ["stop", "kill", "pause"])
def test_a_series_of_dispatchers_keeps_to_one_budget(how):
    # Each one used to grant six tenths of the whole budget for itself.
    fleet = Fleet(9)
    fleet.play(0, 3.0)
    for dispatcher in range(9):
        fleet.play(dispatcher, 1.0)
        if how == "pause":
            fleet.cut.add(dispatcher)
            continue
        if how == "kill":
            fleet.now_s += 0.3
        fleet.start(dispatcher)
    fleet.cut.clear()
    fleet.exchange_heartbeats()
    fleet.play(0, 6.0)
    assert fleet.most_retries() <= ALLOWED * (BUDGET_SHARE + 0.1)


def test_retries_are_still_granted_after_a_change_of_dispatcher():
    fleet = Fleet(3)
    fleet.play(0, 20.0)
    before = len(fleet.retries_s)
    fleet.start(0)
    fleet.play(1, 20.0)
    assert len(fleet.retries_s) - before >= 0.8 * before


def test_an_instance_that_started_later_learns_of_dispatchers_that_are_gone():
    fleet = Fleet(3)
    fleet.play(0, 4.0)
    fleet.play(1, 0.2)
    fleet.start(0)
    fleet.exchange_heartbeats()
    fleet.start(1)
    before = len(fleet.retries_s)
    fleet.play(0, 1.0)
    assert len(fleet.retries_s) - before <= 0.2 * RATE_PER_S * BUDGET_SHARE + 5


def test_changed_bounds_begin_no_budget_anew():
    budgets = RetryBudgets(BOUNDS, "a")
    while budgets.of("book").spend(1.0):
        pass
    budgets.set_bounds(GatewayBounds(retry_ratio=0.3, retry_slack=58.0))
    assert not budgets.of("book").spend(1.1)


def test_a_window_of_no_length_is_reported():
    budgets = RetryBudgets(GatewayBounds(retry_window_ms=0.0), "a")
    assert budgets.of("book").spend(1.0)
    assert [report.dispatcher for report in budgets.reports(1.0)] == ["a"]


def test_nothing_is_reported_while_nothing_is_retried():
    budgets = RetryBudgets(BOUNDS, "a")
    for number in range(500):
        budgets.of("book").record_first_send(1.0 + number / 100)
    assert budgets.reports(6.0) == ()


def test_reports_may_come_late_twice_and_by_several_ways():
    first, second, third = (RetryBudgets(BOUNDS, name) for name in "abc")
    for _ in range(10):
        first.of("book").spend(1.0)
    early = first.reports(1.0)
    for _ in range(5):
        first.of("book").spend(2.0)
    late = first.reports(2.0)
    second.of("book").spend(2.0)
    for reports in (late, early, late):
        second.merge(reports, SERVICES, 2.0)
    third.merge(second.reports(2.1), SERVICES, 2.1)
    third.merge(late, SERVICES, 2.1)
    granted = sum(third.of("book").spend(2.1) for _ in range(100))
    assert granted == int(BUDGET_SHARE * 58) + 1 - 16


def test_what_peers_report_is_bounded():
    budgets = RetryBudgets(BOUNDS, "a")
    source = random.Random(1)
    for number in range(500):
        counts = tuple(RetryCount(source.random() * 9e3, 1, 1) for _ in range(200))
        reports = [
            RetryUse("book", f"edge-{number}", 1, counts),
            RetryUse(f"unknown-{number}", "edge-1", 1, counts),
        ]
        budgets.merge(reports, SERVICES, 50.0)
    assert set(budgets._budgets) == {"book"}
    assert len(budgets.of("book")._others) == MAX_DISPATCHERS


async def test_gateways_tell_one_another_of_their_retries():
    async with deployment(gateways=3) as world:
        first, *others = (gateway.dispatcher.budgets for gateway in world.gateways)
        clock = world.gateways[0].clock
        while first.of("book").spend(clock.monotonic_s()):
            pass
        for budgets in others:
            await world.until(
                lambda one=budgets: not one.of("book").spend(clock.monotonic_s())
            )
