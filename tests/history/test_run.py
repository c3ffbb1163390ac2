"""Short histories of real processes under faults, without bounds on time."""

import pytest
import trio

from acaciapier_bench.history.run import HistoryOptions, run_history

SHORT_S = 6.0
KINDS = {
    "instances": ("kill-entry", "freeze-entry", "stop-entry"),
    "targets": ("kill-target", "cut", "garbage", "doubled", "refuse"),
    "store": ("store-outage", "store-lost", "store-stale", "kill-entry"),
}


@pytest.mark.parametrize("name", KINDS)
def test_conditions_hold_under_faults(tmp_path, name):
    options = HistoryOptions(
        seed=7, seconds=SHORT_S, rate_per_s=5.0, kinds=KINDS[name], timed=False
    )
    result = trio.run(run_history, options, tmp_path)
    assert result.violations == []
    assert result.faults
    assert result.history.callers
