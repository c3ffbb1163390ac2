"""Builders shared by the policy tests."""

from random import Random

from acaciapier.core.clock import ManualClock
from acaciapier.core.ids import TargetId
from acaciapier.objects.models import StageKind
from acaciapier.policy import (
    CallOutcome,
    CallReport,
    Load,
    PathPolicy,
    PolicySettings,
    PoolLimits,
    StageEstimate,
    TargetView,
    WorkspaceLimits,
)

POOL = "generators"
LIMITS = PoolLimits(
    max_outstanding=32, retry_share_percent=10.0, hedge_share_percent=5.0
)
ESTIMATES = (StageEstimate("generate", POOL, 100.0, ()),)


def make_targets(count=5, pool=POOL, incarnation=1, data_centres=3, region="r1"):
    return [
        TargetView(
            TargetId(f"{pool}-{number}"),
            incarnation,
            pool,
            f"dc{number % data_centres}",
            region,
            f"http://127.0.0.1:{9000 + number}",
        )
        for number in range(count)
    ]


def make_policy(clock=None, seed=1, targets=None, limits=LIMITS, **settings):
    clock = clock or ManualClock()
    policy = PathPolicy(clock, Random(seed), PolicySettings(**settings), "dc0")
    policy.update_pool(POOL, limits, make_targets() if targets is None else targets)
    policy.update_workspace("w1", WorkspaceLimits(1.0, 1_000.0, 1_000))
    return policy


def report(target, outcome=CallOutcome.DONE, elapsed_ms=100.0, load=None, **changes):
    values = {"incarnation": 1, "pool": POOL, "stage_kind": StageKind.GENERATE}
    return CallReport(
        target=target,
        outcome=outcome,
        elapsed_ms=elapsed_ms,
        load=load,
        **values | changes,
    )


def idle_load(slots=4):
    return Load(running=0, queued=0, slots=slots, age_ms=0.0)


def pick(policy, fingerprint="f", exclude=frozenset(), pool=POOL):
    return policy.pick(
        pool,
        exclude=exclude,
        affinity_key=None,
        suspect=policy.suspected(fingerprint),
        fingerprint=fingerprint,
    )


def call(policy, fingerprint="f", outcome=CallOutcome.DONE, elapsed_ms=100.0, **kw):
    """Choose a target, send it one call and end the call; return the target."""
    view = pick(policy, fingerprint, **kw).unwrap()
    policy.sent(view.target, fingerprint)
    policy.ended(
        report(view.target, outcome, elapsed_ms, incarnation=view.incarnation),
        fingerprint,
    )
    return view.target
