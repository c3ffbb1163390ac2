"""The lists of engines and controllers that a controller instance keeps."""

from types import SimpleNamespace

from acaciapier.engines.instance import _ListedEngines
from acaciapier.objects import StageKind, TargetPool


class Node:
    """A node whose configuration and membership are set by hand."""

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
    listed = _ListedEngines(node)
    assert list(listed.live()) == []
    node.pools = (TargetPool(name="writers", serves=StageKind.GENERATE),)
    live = listed.live()
    assert [one.id for one in live] == ["e1"]
    assert listed.live() is live, "the same object while nothing changes"
    node.records["writers"].append(record("e2", "writers"))
    listed.forget(None)
    assert [one.id for one in listed.live()] == ["e1", "e2"]
