"""Tests of the engine lists cached by a controller instance.

Guards against a stale list after a pool is declared later than its engines join.
"""

from types import SimpleNamespace

from acaciapier.engines.instance import _EngineListCache
from acaciapier.objects import StageKind, TargetPool


class Node:
    """A node whose configuration and membership the test sets."""

    def __init__(self):
        self.pools = ()
        self.records = {}
        self.membership = SimpleNamespace(
            targets=SimpleNamespace(usable=lambda pool: self.records.get(pool, []))
        )

    def configuration(self):
        return SimpleNamespace(pools=self.pools)


def record(name, pool):
    return SimpleNamespace(
        target_id=name, incarnation=1, pool=pool, data_centre="dc", url="http://x"
    )


def test_a_pool_declared_after_its_engines_joined_is_listed():
    node = Node()
    node.records["writers"] = [record("e1", "writers")]
    engine_lists = _EngineListCache(node)
    assert list(engine_lists.live()) == []
    node.pools = (TargetPool(name="writers", serves=StageKind.GENERATE),)
    live = engine_lists.live()
    assert [engine.id for engine in live] == ["e1"]
    assert engine_lists.live() is live, (
        "must return the same object while nothing changes"
    )
    node.records["writers"].append(record("e2", "writers"))
    engine_lists.invalidate(None)
    assert [engine.id for engine in engine_lists.live()] == ["e1", "e2"]
