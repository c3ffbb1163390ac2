"""Tests that `FaultReport` detects each kind of injected fault."""

import pytest

from acaciapier_bench.engine_faults import ENGINES, FaultReport

RIGHT = ("2",) * ENGINES


@pytest.mark.parametrize(
    ("report", "problems"),
    [
        (FaultReport(1.0, ENGINES, ENGINES // 4, RIGHT), 0),
        (FaultReport(1.0, ENGINES, ENGINES // 4, ("1", *RIGHT[1:])), 1),
        (FaultReport(1.0, ENGINES, ENGINES // 4 + 1, RIGHT), 1),
        (FaultReport(1.0, ENGINES + 1, ENGINES // 4, RIGHT), 1),
    ],
)
def test_planted_faults(report, problems):
    assert len(report.problems()) == problems
