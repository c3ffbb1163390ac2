"""Builds side by side read one another's messages and stored records."""

import json
from pathlib import Path

import msgspec
import pytest

from acaciapier.platform.workers import decode_peer, encode_peer
from acaciapier.wire.codec import MessageRegistry, encode_message
from acaciapier_bench.contract.samples import message_types, tag_of

RELEASES = {
    path.stem: json.loads(path.read_text())
    for path in sorted(Path(__file__).parent.glob("*.json"))
}
MESSAGES = [
    pytest.param(entry, id=f"{commit}-{tag}")
    for commit, release in RELEASES.items()
    for tag, entry in release["messages"].items()
]


def is_extended(later, earlier) -> bool:
    """Return whether a value only appends to what an earlier build wrote."""
    if isinstance(later, list) and isinstance(earlier, list):
        pairs = zip(later, earlier)
        return len(later) >= len(earlier) and all(is_extended(*pair) for pair in pairs)
    return type(later) is type(earlier) and later == earlier


@pytest.mark.parametrize("entry", MESSAGES)
def test_messages_of_earlier_builds_are_read_and_written_alike(entry):
    written = bytes.fromhex(entry["bytes"])
    message = MessageRegistry(message_types()).decode(written)
    fields = type(message).__struct_fields__
    assert list(fields[: len(entry["fields"])]) == entry["fields"]
    again = msgspec.msgpack.decode(encode_message(message))
    assert is_extended(again, msgspec.msgpack.decode(written))


@pytest.mark.parametrize("release", RELEASES.values(), ids=RELEASES)
def test_no_message_of_an_earlier_build_is_given_up(release):
    known = {tag_of(message_type) for message_type in message_types()}
    assert release["messages"].keys() <= known


@pytest.mark.parametrize("release", RELEASES.values(), ids=RELEASES)
def test_entries_of_earlier_instances_are_read_and_written_alike(release):
    entry = release["instance_entry"]
    written = encode_peer(decode_peer("edge-1", entry))
    assert {name: written.get(name) for name in entry} == entry


@pytest.mark.parametrize(
    "later, earlier, extended",
    [
        (["A", 1, 2], ["A", 1], True),
        (["A", [["w", 1, True]]], ["A", [["w", 1]]], True),
        (["A", 1], ["A", 1, 2], False),
        (["A", "1"], ["A", 1], False),
        (["A", True], ["A", 1], False),
        (["A", [["w"]]], ["A", [["w", 1]]], False),
    ],
)
def test_a_change_that_earlier_builds_cannot_read_is_found(later, earlier, extended):
    assert is_extended(later, earlier) is extended
