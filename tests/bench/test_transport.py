"""Tests of the transport benchmark."""

import trio

from acaciapier_bench.transport import measure_all


def test_every_transport_is_measured():
    costs = trio.run(measure_all, 20, 50, (4,))
    assert len({cost.name for cost in costs}) == 3
    assert all(cost.messages == 20 and cost.size_bytes > 100 for cost in costs)
