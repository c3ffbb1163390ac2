"""The policy benchmark: its fake targets, transport and result tables."""

from collections import Counter

import cappa
import pytest
import trio
from trio.testing import MockClock

from acaciapier.core.clock import to_s
from acaciapier.policy import CallOutcome
from acaciapier.targets import CallEnvelope
from acaciapier_bench.policy import PolicyOptions, run_policy
from acaciapier_bench.policy.command import Policy
from acaciapier_bench.policy.deployments import RIVIERE_NOIRE
from acaciapier_bench.policy.targets import FakeTarget
from acaciapier_bench.policy.transport import FakeTransport


class FixedTimes:
    def lognormvariate(self, mean, sigma):
        return 1.0


def on_mock_clock(function):
    return trio.run(function, clock=MockClock(autojump_threshold=0))


def make_target(pool="rerank", lag_ms=0.0):
    return FakeTarget(RIVIERE_NOIRE.pool(pool), 0, "rn-a", lag_ms, FixedTimes())


def envelope(number=0, deadline_ms=3_000):
    return CallEnvelope(
        request_id=f"r{number}",
        run_id=f"r{number}",
        workspace="w",
        pipeline="p",
        stage="rerank",
        attempt=1,
        deadline_ms=deadline_ms,
    )


def test_a_fake_target_runs_its_slots_and_queues_the_rest():
    async def run():
        target = make_target()
        transport = FakeTransport({target.name: target}, "rn-a")
        outcomes = []

        async def call(number, deadline_ms):
            answer = await transport.call(target.view(), envelope(number, deadline_ms))
            outcomes.append(answer.outcome)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(call, number, 3_000)
            await trio.sleep(to_s(1))
            nursery.start_soon(call, 8, 10)
            await trio.sleep(to_s(1))
            assert (target.body().load.running, target.body().load.queued) == (8, 1)
        return outcomes, sum(target.spent_ms.values())

    outcomes, spent_ms = on_mock_clock(run)
    assert Counter(outcomes) == {CallOutcome.DONE: 8, CallOutcome.REFUSED: 1}
    assert spent_ms == pytest.approx(8 * 30.0)


def test_a_crash_ends_the_calls_of_a_fake_target():
    async def run():
        target = make_target()
        transport = FakeTransport({target.name: target}, "rn-a")
        view = target.view()
        answers = []

        async def call():
            answers.append(await transport.call(view, envelope()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(to_s(10))
            target.crash()
        assert await transport.has_crashed(view)
        target.restart()
        assert await transport.has_crashed(view)
        assert not await transport.has_crashed(target.view())
        return answers[0].outcome

    assert on_mock_clock(run) is CallOutcome.CRASHED


def test_a_fake_target_reports_its_load_with_a_lag():
    async def run():
        target = make_target(lag_ms=200.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(target.acquire)
            await trio.sleep(to_s(150))
            early = target.body().load.running
            await trio.sleep(to_s(100))
        return early, target.body().load.running

    assert on_mock_clock(run) == (0, 1)


def test_results_of_a_run_without_faults_are_consistent():
    options = PolicyOptions(
        scenarios=("calm",), variants=("ours",), seeds=(1,), entries=2, seconds=4.0
    )
    table = run_policy(options)
    (run,) = table.row("calm", "ours").runs
    assert run.sent == sum(run.outcomes.values()) > 50
    assert run.outcomes["done"] == len(run.done_ms) == run.sent
    assert run.calls_per_request >= 5.0
    assert run.retry_share == 0.0
    assert "| calm | ours | 100.0" in table.markdown()


def test_the_command_reports_an_unknown_scenario():
    with pytest.raises(cappa.Exit) as caught:
        Policy(scenarios="storm")()
    assert caught.value.message.startswith("unknown: storm; known: calm")
    assert caught.value.code != 0
