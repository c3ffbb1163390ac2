"""Admission, deadlines and the `PathPolicy` facade."""

from policy_helpers import (
    ESTIMATES,
    LIMITS,
    POOL,
    call,
    make_policy,
    make_targets,
    pick,
    report,
)

from acaciapier.core.clock import ManualClock
from acaciapier.core.outcomes import Cause, Outcome
from acaciapier.policy import CallOutcome, Load, StageEstimate


def admit(policy, remaining_ms=3_000.0, workspace="w1", fingerprint="f"):
    return policy.admit(workspace, ESTIMATES, remaining_ms, fingerprint)


def report_load(policy, running, queued, slots=4):
    for target in make_targets():
        policy.load_reported(target.target, 1, Load(running, queued, slots, 0.0))


def test_an_idle_pipeline_admits_requests():
    permit = admit(make_policy()).unwrap()
    assert permit.workspace == "w1"


def test_a_long_queue_refuses_immediately_with_the_excess_as_retry_after():
    policy = make_policy()
    report_load(policy, running=4, queued=200)
    refused = admit(policy).unwrap_err()
    assert refused.cause is Cause.OVERLOAD
    assert 1_000 < refused.retry_after_ms < 10_000


def test_old_reports_of_equal_age_still_count():
    clock = ManualClock()
    policy = make_policy(clock)
    report_load(policy, running=4, queued=200)
    clock.advance(10)
    assert admit(policy).is_err()


def test_release_is_idempotent_and_removes_pending_calls():
    clock = ManualClock()
    policy = make_policy(clock, instances=9)
    permits = [admit(policy).unwrap() for _ in range(50)]
    clock.advance(2)
    assert admit(policy, remaining_ms=500).is_err()
    for permit in permits:
        policy.release(permit, Outcome.DONE)
        policy.release(permit, Outcome.DONE)
    clock.advance(2)
    assert admit(policy, remaining_ms=500).is_ok()


def test_a_deadline_is_split_along_the_critical_path():
    policy = make_policy()
    estimates = (
        StageEstimate("encode", "encoders", 100.0, ()),
        StageEstimate("look-up", "services", 50.0, ()),
        StageEstimate("rerank", "rerankers", 100.0, ("encode", "look-up")),
        StageEstimate("generate", POOL, 800.0, ("rerank",)),
    )
    assert policy.stage_budget_ms(estimates, "encode", 3_000.0) == 300.0
    assert policy.stage_budget_ms(estimates, "generate", 500.0) == 500.0
    assert policy.can_finish(estimates, ("rerank", "generate"), 900.0)
    assert not policy.can_finish(estimates, ("rerank", "generate"), 899.0)


def test_retries_and_hedges_are_off_in_an_overloaded_pool():
    policy = make_policy()
    for number in range(40):
        call(policy, f"f{number}")
    assert policy.hedge_after_ms(POOL, 3_000.0) == 100.0
    report_load(policy, running=4, queued=4)
    assert policy.hedge_after_ms(POOL, 3_000.0) is None
    assert not policy.may_hedge(POOL)
    assert not policy.may_retry(POOL, 100.0, 3_000.0)


def test_a_retry_needs_time_for_a_typical_call():
    policy = make_policy()
    assert not policy.may_retry(POOL, 100.0, 99.0)
    assert policy.may_retry(POOL, 100.0, 101.0)


def test_a_call_end_of_an_older_incarnation_does_not_affect_the_new_one():
    policy = make_policy(targets=make_targets(1))
    view = pick(policy).unwrap()
    policy.sent(view.target, "f")
    policy.update_pool(POOL, LIMITS, make_targets(1, incarnation=2))
    policy.sent(view.target, "g")
    policy.ended(report(view.target, CallOutcome.FAILED), "f")
    state = policy._routers[POOL].state(view.target)
    assert state.outstanding == 1


def test_a_removed_target_gets_no_new_calls_and_is_tracked_until_idle():
    policy = make_policy(targets=make_targets(2))
    view = pick(policy).unwrap()
    policy.sent(view.target, "f")
    remaining = [target for target in make_targets(2) if target.target != view.target]
    policy.update_pool(POOL, LIMITS, remaining)
    assert {pick(policy, f"g{n}").unwrap().target for n in range(20)} == {
        remaining[0].target
    }
    policy.ended(report(view.target), "f")
    assert policy._routers[POOL].state(view.target) is None


def test_a_short_stage_before_a_long_queue_keeps_its_minimum_share():
    policy = make_policy()
    report_load(policy, running=4, queued=40)
    estimates = (
        StageEstimate("encode", "encoders", 15.0, ()),
        StageEstimate("generate", POOL, 700.0, ("encode",)),
    )
    assert policy.stage_budget_ms(estimates, "encode", 2_900.0) == 45.0


def test_an_instance_without_calls_admits_again_although_calls_were_slow():
    clock = ManualClock()
    policy = make_policy(clock)
    for number in range(100):
        call(policy, f"f{number}", elapsed_ms=2_900.0)
    clock.advance(5)
    assert admit(policy).is_ok()


def test_the_first_calls_to_end_do_not_determine_the_mean():
    policy = make_policy()
    for number in range(20):
        call(policy, f"f{number}", elapsed_ms=10.0)
    report_load(policy, running=4, queued=40)
    assert admit(policy, remaining_ms=800.0).is_err()


def test_growth_of_own_calls_is_assumed_for_other_instances():
    alone, fleet = (make_policy(instances=count) for count in (1, 9))
    calls = {}
    for policy in (alone, fleet):
        clock = policy._clock
        report_load(policy, running=4, queued=0)
        for number in range(8):
            clock.advance(0.1)
            policy.sent(pick(policy, f"f{number}").unwrap().target, f"f{number}")
        calls[policy] = policy._routers[POOL].calls_and_slots()[0]
    assert calls[fleet] > calls[alone] + 5


def test_the_hedge_delay_follows_the_times_of_first_parts():
    policy = make_policy()
    for number in range(40):
        view = pick(policy, f"f{number}").unwrap()
        policy.sent(view.target, f"f{number}")
        policy.first_part_received(view.target, f"f{number}", 30.0)
        policy.ended(report(view.target, elapsed_ms=300.0), f"f{number}")
    assert policy.hedge_after_ms(POOL, 3_000.0) == 30.0


def test_a_reported_load_is_shared_once_with_its_age():
    clock = ManualClock()
    policy, peer = make_policy(clock), make_policy(clock)
    load = Load(running=4, queued=6, slots=4, age_ms=100.0)
    policy.ended(report(f"{POOL}-1", load=load), "f")
    clock.advance(0.1)
    (reported,) = policy.pop_reported_loads()
    assert reported.load.age_ms == 200.0
    assert policy.pop_reported_loads() == ()
    peer.load_reported(reported.target, reported.incarnation, reported.load)
    assert peer.pop_reported_loads() == ()
    assert peer._routers[POOL].state(reported.target).peer_calls() == 10


def test_a_short_queue_refuses_no_workspace_above_its_share():
    policy = make_policy()
    report_load(policy, running=4, queued=4)
    for name in ("w1", "w1", "w2", "w1"):
        assert admit(policy, remaining_ms=400.0, workspace=name).is_ok()
