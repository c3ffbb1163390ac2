"""Lines of the log tell that timers of the process fire late."""

import json
import time

import pytest
import trio

from acaciapier.gateway.loop_lag import LoopLag

from .support import deployment


class SteppedClock:
    """Clock that is set by hand."""

    def __init__(self):
        self.time_s = 100.0

    def monotonic_s(self) -> float:
        return self.time_s


@pytest.mark.parametrize("lag_s, told", [(0.02, 0.0), (0.3, 300.0), (5.0, 5_000.0)])
async def test_a_lag_is_told_for_a_second(lag_s, told, autojump_clock):
    clock, recorded = SteppedClock(), []
    lag = LoopLag(clock, recorded.append)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lag.sleep, 50.0)
        await trio.testing.wait_all_tasks_blocked()
        assert lag.recent_ms() == 0.0
        clock.time_s += 0.05 + lag_s
        assert lag.recent_ms() == pytest.approx(told)
    assert recorded == ([pytest.approx(told)] if told else [])
    assert lag.recent_ms() == pytest.approx(told)
    clock.time_s += 0.9
    assert lag.recent_ms() == pytest.approx(told)
    clock.time_s += 0.2
    assert lag.recent_ms() == 0.0


async def test_a_decision_of_a_held_up_process_has_its_lag_in_the_log(capfd):
    """Guards against decisions of late timers that look like those of sound ones."""
    async with deployment() as world:
        gateway = world.gateways[0]
        await trio.sleep(1.2)
        await trio.sleep(0.06)
        time.sleep(0.3)
        gateway.log.write("held_up")
        await trio.sleep(0.2)
        metrics = gateway.metrics.exposition().decode()
        assert "acaciapier_loop_lag_duration" in metrics
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    (line,) = [line for line in lines if line["event"] == "held_up"]
    assert 200 <= line["loop_lag_ms"] <= 1_000
