"""Times of engines are learned from answers, on any deployment."""

import random
from dataclasses import replace

import pytest

from acaciapier.gateway.dispatch.slots import SlotAllocator, SlotRequest
from acaciapier.gateway.engine_times import (
    DEFAULT_ESTIMATE,
    MIN_OBSERVATIONS,
    EngineTimes,
)
from acaciapier.gateway.models import (
    EngineSpec,
    RequestKind,
    ServiceName,
    ServiceRule,
)
from acaciapier.gateway.stage_times import HANDOVER_MS, StageTimes
from acaciapier.gateway.worker_silence import head_timeout_s
from acaciapier.wire.codec import MessageRegistry, encode_message
from acaciapier.wire.messages.gateway import Heartbeat, ServiceEngineTimes

from .stage_load import make_route, make_worker

FAST, SLOW = (55.0, 0.011), (80.0, 0.045)
"""Times without prefill and per token of two unlike engines."""


def answers(count: int, first_ms: float, token_ms: float, seed: int = 1, slow=0.0):
    """Yield tokens and times of answers; a share of `slow` takes six times as long."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.lognormvariate(7.0, 1.0)
        factor = 6.0 if rng.random() < slow else rng.uniform(0.9, 1.5)
        yield tokens, factor * (first_ms + token_ms * tokens)


def learn(*args, **kwargs) -> EngineTimes:
    times = EngineTimes()
    for tokens, elapsed_ms in answers(*args, **kwargs):
        times.observe(tokens, elapsed_ms)
    return times


@pytest.mark.parametrize("engine", [FAST, SLOW])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_unlike_engines_are_learned(engine, seed):
    estimate = learn(200, *engine, seed=seed).estimate
    for tokens in (300, 3_000, 12_000):
        truth = engine[0] + engine[1] * tokens
        assert 0.8 * truth < estimate.expected_ms(tokens) < 1.7 * truth


def test_the_defaults_hold_until_enough_answers_are_known():
    times = learn(MIN_OBSERVATIONS - 1, *SLOW)
    assert not times.learned
    assert times.estimate == DEFAULT_ESTIMATE


def test_the_first_estimate_comes_with_few_answers():
    estimate = learn(MIN_OBSERVATIONS, *SLOW).estimate
    truth = SLOW[0] + SLOW[1] * 3_000
    assert 0.7 * truth < estimate.expected_ms(3_000) < 1.8 * truth


def test_a_minority_of_slow_workers_changes_little():
    calm = learn(300, *FAST).estimate.expected_ms(3_000)
    troubled = learn(300, *FAST, slow=0.2).estimate.expected_ms(3_000)
    assert troubled < 1.4 * calm


def test_other_engines_are_learned_within_some_hundred_answers():
    times = learn(300, *FAST)
    for tokens, elapsed_ms in answers(300, *SLOW):
        times.observe(tokens, elapsed_ms)
    truth = SLOW[0] + SLOW[1] * 3_000
    assert times.estimate.expected_ms(3_000) > 0.8 * truth


def test_prompts_of_one_size_teach_only_the_constant_part():
    times = EngineTimes()
    for _ in range(60):
        times.observe(1_000.0, 400.0)
    assert times.estimate.ms_per_token == DEFAULT_ESTIMATE.ms_per_token
    assert times.estimate.expected_ms(1_000.0) == pytest.approx(400.0)


def test_bad_clocks_teach_no_implausible_times():
    times = EngineTimes()
    for number in range(60):
        times.observe(100.0 * number, 5_000.0 - 80.0 * number)
    assert times.estimate.ms_per_token > 0
    assert times.estimate.first_part_ms > 0


def test_a_dispatcher_learns_from_the_answers_to_its_grants():
    """A worker that is known to be slow teaches nothing."""
    engine = EngineSpec(slots=8, kv_cache_tokens=10_000_000)
    allocator = SlotAllocator(ServiceRule(ServiceName("model"), 100, engine))
    workers = [make_worker("model", number) for number in range(4)]
    rng = random.Random(5)
    now_s = 0.0
    for number in range(400):
        now_s += 1.0
        tokens = int(rng.lognormvariate(7.5, 0.8))
        permit = f"p{number}"
        allocator.add(
            SlotRequest(permit, "edge-1", now_s + 9, now_s + 9, prompt_tokens=tokens)
        )
        ((_, worker),) = allocator.assign(workers, now_s)
        factor = 8.0 if worker is workers[0] else 1.0
        elapsed_ms = factor * (SLOW[0] + SLOW[1] * tokens)
        allocator.record_start(permit, elapsed_ms, now_s)
        allocator.release(permit)
    truth = SLOW[0] + SLOW[1] * 3_000
    expected_ms = allocator.engine_times.estimate.expected_ms(3_000)
    assert 0.9 * truth < expected_ms < 1.3 * truth


def test_forecasts_of_requests_use_the_learned_times():
    learned = learn(200, *SLOW).estimate
    times = StageTimes(None, lambda service: learned)
    metadata = type("Metadata", (), {"prompt_tokens": 3_000})
    assert times.engine_ms(ServiceName("model"), metadata) == pytest.approx(
        HANDOVER_MS + learned.expected_ms(3_000)
    )


def test_heartbeats_hand_on_the_learned_times():
    beat = Heartbeat(
        1, 1, 1, False, engine_times=(ServiceEngineTimes("model", 60.0, 0.02),)
    )
    assert MessageRegistry().decode(encode_message(beat)) == beat


@pytest.mark.parametrize(
    "kind, objective_ms, timeout_ms, expected_ms",
    [
        (RequestKind.IDEMPOTENT, 200.0, 1_500.0, 350.0),
        (RequestKind.IDEMPOTENT, 800.0, 1_500.0, 525.0),
        (RequestKind.STREAMING, 1_500.0, 5_000.0, 1_500.0),
        (RequestKind.STREAMING, 4_000.0, 5_000.0, 1_750.0),
    ],
)
def test_a_second_worker_is_tried_in_time(kind, objective_ms, timeout_ms, expected_ms):
    route = make_route("r", 0, objective_ms, timeout_ms, [])
    route = replace(route, kind=kind, resumable=True)
    assert 1_000.0 * head_timeout_s(route) == pytest.approx(expected_ms)
