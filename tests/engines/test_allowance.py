"""Tests of load permits and of the selection of the engines that load next."""

from random import Random

import pytest
from hypothesis import given, strategies

from acaciapier.core.clock import ManualClock
from acaciapier.engines.allowance import (
    AllowanceBody,
    LoadAllowance,
    Permit,
    PoolStatus,
)
from acaciapier.engines.models import ControlLimits
from acaciapier.engines.ranking import Ranking
from acaciapier.engines.rollout import EngineStatus, choose_by_cap
from acaciapier_bench.rollout import SCENARIOS, CapPolicy, Rollout, WindowPolicy

POOL = PoolStatus("writers", 8)
LIMITS = ControlLimits(max_loads=3, pool_share_percent=50, stagger_ms=2_000)


def permit(engine, holder="a.1", pool="writers"):
    return Permit(engine, pool, holder, 1, 1)


def test_limits_of_fleet_and_pool_and_the_stagger():
    clock = ManualClock()
    allowance = LoadAllowance(LIMITS, clock)
    body = AllowanceBody()
    for number in range(3):
        body = allowance.grant(body, POOL, permit(f"e{number}"))
        allowance.observe(body)
        assert allowance.grant(body, POOL, permit("e9")) is None, (
            "the stagger interval has not passed"
        )
        clock.advance(2)
    assert allowance.remaining_loads(body) == 0
    assert allowance.grant(body, POOL, permit("e9")) is None, (
        "the fleet limit is reached"
    )
    small = PoolStatus("writers", 8, ["e4", "e5", "e6", "e7"])
    assert allowance.grant(AllowanceBody(), small, permit("e1")) is None
    assert allowance.grant(AllowanceBody(), small, permit("e4")) is not None


def test_permits_of_dead_holders_are_taken_over_or_end():
    clock = ManualClock()
    allowance = LoadAllowance(LIMITS, clock)
    body = AllowanceBody(tuple(permit(f"e{n}") for n in range(3)))
    allowance.observe(body)
    replaced = allowance.grant(body, POOL, permit("e1", "b.1"))
    assert [remaining.holder for remaining in replaced.permits] == ["a.1", "a.1", "b.1"]
    assert allowance.without_converged(body, {"e1"}, 1) == body, (
        "a recent permit must stay"
    )
    clock.advance(10)
    assert allowance.without_converged(body, {"e1"}, 0) == body, (
        "a permit for a newer configuration must stay"
    )
    assert len(allowance.without_converged(body, {"e1"}, 1).permits) == 2
    clock.advance(590)
    assert allowance.remaining_loads(body) == 0
    clock.advance(1)
    assert allowance.remaining_loads(body) == 3


STATUSES = strategies.lists(
    strategies.tuples(strategies.booleans(), strategies.booleans()), max_size=20
)


@given(STATUSES, strategies.integers(0, 6), strategies.integers(0, 9))
def test_cap_leaves_enough_in_service(pairs, room, most):
    pool = [EngineStatus(f"e{n}", *pair) for n, pair in enumerate(pairs)]
    chosen = set(choose_by_cap(pool, room, most))
    by_id = {one.id: one for one in pool}
    assert len(chosen) <= room
    assert all(by_id[key].needs_load for key in chosen)
    out_before = sum(not one.in_service for one in pool)
    newly_out = sum(by_id[key].in_service for key in chosen)
    if newly_out:
        assert out_before + newly_out <= most


NAMES = strategies.sets(strategies.sampled_from(["a.1", "b.1", "c.1", "d.1"]))
ENGINES = strategies.sets(strategies.sampled_from(["e1", "e2", "e3"]))


@given(strategies.lists(strategies.tuples(NAMES, ENGINES), min_size=1, max_size=6))
def test_ranks_follow_changes_as_if_computed_anew(changes):
    kept = Ranking("a.1")
    for holders, engines in changes:
        list(kept.follow(holders, engines))
    holders, engines = changes[-1]
    rankings = {name: Ranking(name) for name in holders | {"a.1"}}
    for one in rankings.values():
        list(one.follow(rankings, engines))
    for engine in engines:
        assert kept.rank(engine) == rankings["a.1"].rank(engine)
        ranks = sorted(one.rank(engine) for one in rankings.values())
        assert ranks == list(range(len(rankings)))


@pytest.mark.parametrize("seed", range(5))
def test_the_window_alone_breaks_the_cap_and_the_cap_does_not(seed):
    scenario = SCENARIOS[1]
    capped = Rollout(scenario, CapPolicy(scenario), Random(seed)).run()
    windowed = Rollout(scenario, WindowPolicy(scenario, 1.0), Random(seed)).run()
    assert capped.over_cap_engine_s == 0 < windowed.over_cap_engine_s
