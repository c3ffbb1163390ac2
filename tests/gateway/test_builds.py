"""Instances tell which builds run side by side."""

import re

import pytest
import trio

from acaciapier.core.build import MAX_NAME_CHARS, build_name
from acaciapier.core.clock import ManualClock
from acaciapier.gateway.builds import Builds

from .support import deployment

NAMED_S = 5.0


def observed(own: str):
    """Return builds with the list of their peers' builds, clock and events."""
    clock, peers, events = ManualClock(), [], []
    builds = Builds(
        own, lambda: peers, clock, lambda kind, **fields: events.append((kind, fields))
    )
    return builds, peers, clock, events


def test_a_build_that_joins_and_leaves_is_logged_once_each():
    builds, peers, clock, events = observed("b2")
    peers[:] = ["b2"]
    builds.update()
    peers[:] = ["b2", "b1"]
    builds.update()
    builds.update()
    clock.advance(3.0)
    peers[:] = ["b2"]
    builds.update()
    assert events == [
        ("builds_mixed", {"builds": {"b2": 2, "b1": 1}}),
        ("builds_alike", {"build": "b2", "mixed_ms": 3_000}),
    ]


def test_peers_that_name_no_build_are_another_one():
    builds, peers, _, events = observed("b2")
    peers[:] = [""]
    builds.update()
    assert events == [("builds_mixed", {"builds": {"b2": 1, "unknown": 1}})]


@pytest.mark.parametrize(
    "written, name", [("1a2b3c4\n", "1a2b3c4"), ("x" * 999, "x" * MAX_NAME_CHARS)]
)
def test_the_build_is_named_by_the_file_of_the_checkout(tmp_path, written, name):
    path = tmp_path / "build"
    path.write_text(written)
    assert build_name(path) == name


@pytest.mark.parametrize("written", [b"", b"\xff\xfe", b"a\x00b"])
def test_an_unreadable_build_file_leaves_the_version_of_the_package(tmp_path, written):
    path = tmp_path / "build"
    path.write_bytes(written)
    assert build_name(path) == build_name(tmp_path / "missing") != ""


async def test_instances_name_their_builds_to_one_another():
    async with deployment(gateways=2) as world:
        with trio.fail_after(NAMED_S):
            while any(one.builds.counts().total() < 2 for one in world.gateways):
                await trio.sleep(0.05)
        first = world.gateways[0]
        assert first.builds.counts() == {first.builds.own: 2}
        text = first.metrics.exposition().decode()
        pattern = rf'^acaciapier_instances{{build="{first.builds.own}".*}} 2\.0$'
        assert re.search(pattern, text, re.MULTILINE)
