"""Tests of the fleet benchmark."""

from dataclasses import replace
from pathlib import Path

import pytest

from acaciapier_bench import fleet
from acaciapier_bench.fleet import extrapolate, measure_fleet, plan_nodes

SOURCE = Path(__file__).parents[2] / "src"


def test_a_small_fleet_is_measured_and_extrapolated(monkeypatch):
    monkeypatch.setenv("PYTHONPATH", str(SOURCE))
    monkeypatch.setattr(fleet, "DETECT_S", 0.1)
    cost = measure_fleet(3, 1, targets=10, settle_s=1.0, measure_s=0.5)
    assert cost.nodes == 3
    assert cost.cpu_ms_per_s > 0
    assert cost.sent_bytes_per_s == pytest.approx(cost.received_bytes_per_s, rel=0.5)
    larger = replace(cost, nodes=5, memory_mb=cost.memory_mb + 2)
    assert extrapolate([cost, larger], 7)["memory_mb"] == pytest.approx(
        cost.memory_mb + 4
    )


def test_nodes_are_spread_over_data_centres():
    plans = plan_nodes(100)
    assert len({plan.name for plan in plans}) == 100
    assert len({plan.data_centre for plan in plans}) == 7
    assert len({plan.region for plan in plans}) == 4
