"""Splitting of event streams."""

import time

import pytest

from acaciapier.gateway.event_stream import EventSplitter

LINE_ENDINGS = ["\n", "\r\n", "\r"]


@pytest.mark.parametrize("ending", LINE_ENDINGS)
@pytest.mark.parametrize("size", [1, 2, 3, 1_000])
def test_a_stream_passes_unchanged_in_any_line_ending(ending, size):
    stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n".replace("\n", ending).encode()
    splitter, forwarded = EventSplitter(), b""
    for start in range(0, len(stream), size):
        forwarded += splitter.feed(stream[start : start + size])
    assert forwarded == stream
    assert splitter.last_id == "2"
    assert not splitter.has_partial_event


@pytest.mark.parametrize("ending", LINE_ENDINGS)
def test_an_event_without_its_blank_line_is_held_back(ending):
    stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n".replace("\n", ending).encode()
    splitter = EventSplitter()
    whole = "id: 1\ndata: a\n\n".replace("\n", ending).encode()
    assert splitter.feed(stream) == whole
    assert splitter.last_id == "1"
    assert splitter.has_partial_event


def test_a_long_event_in_small_parts_takes_time_in_proportion_to_its_length():
    splitter, start_s = EventSplitter(), time.process_time()
    splitter.feed(b"data: ")
    for _ in range(100_000):
        splitter.feed(b"xxxxx")
    assert splitter.feed(b"\n\n") == b"data: " + b"x" * 500_000 + b"\n\n"
    assert time.process_time() - start_s < 1.0
