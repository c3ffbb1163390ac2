"""Decodes the store's answers one object at a time.

Other writers may have stored values that cannot be decoded, and that end or begin
anywhere. An answer is decoded as a whole first; if that fails, it is split into its
objects, and only those that cannot be decoded by themselves have no readable value.

Such a value may quote other objects. What follows it is taken for objects of the answer
only if their revisions show that it does not quote them; otherwise the answer is cut
after it, and the next call returns what follows.
"""

import json
import re
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import msgspec

UNREADABLE = None
"""Value of an object that cannot be decoded; no decoder accepts it."""

ITEM_START_PATTERN = re.compile(
    r',\s*(?=\{\s*"(?:metadata|spec|status|object|deleted)"\s*:)'
)
SPACE_PATTERN = re.compile(r"[ \t\r\n]*")
DECODER = json.JSONDecoder(strict=False)

MAX_CANDIDATES = 10_000
"""Places in one answer that are tried as the beginning of an item."""

MAX_TAIL_BRACKETS = 16
"""Brackets from the end of an answer that are tried as the end of its items."""

METADATA_PATTERN = re.compile(rb'"metadata"\s*:\s*(\{[^{}]*\})')
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


class AmbiguousEvents(ValueError):
    """Changes follow an unreadable value that may quote them, and no call skips it."""


class Metadata(msgspec.Struct):
    """Name of an object and the revision of its last change."""

    name: str
    rev: int = 0


class Object(msgspec.Struct):
    """One object of the store."""

    metadata: Metadata
    spec: Any = None


class Page(msgspec.Struct):
    """Objects of a kind, in the order of their names."""

    items: list[Object]
    current_rev: int
    has_more: bool = False


class Event(msgspec.Struct):
    """A change of an object."""

    object: Object
    deleted: bool = False


class Events(msgspec.Struct):
    """Changes of a kind, in their order."""

    events: list[Event]
    current_rev: int


def decode_page(body: bytes, after: str = "") -> Page:
    """Decode the objects whose names are greater than `after`.

    A page that is cut has more objects, and its last one has the greatest name.

    Raises
    ------
    ValueError
        If the answer is no list.
    """
    page, cut = _decode(body, Page, "items", decode_object)
    if cut is not None:
        names = [item.metadata.name for item in page.items[:cut]]
        if names[-1] == max(names) > after:
            page.items, page.has_more = page.items[:cut], True
    return page


def decode_events(body: bytes, since: int = 0) -> Events:
    """Decode the changes after revision `since`.

    Raises
    ------
    AmbiguousEvents
        If the answer would have to be cut at or before `since`.
    ValueError
        If the answer has no changes.
    """
    events, cut = _decode(body, Events, "events", _decode_event)
    if cut is not None:
        revision = events.events[cut - 1].object.metadata.rev
        if revision <= since:
            raise AmbiguousEvents(f"an unreadable object of revision {revision}")
        events.events, events.current_rev = events.events[:cut], revision
    return events


def _decode(
    body: bytes, kind: type, field: str, decode_one: Callable
) -> tuple[Any, int | None]:
    """Return an answer and the number of items after which it must be cut, if any."""
    try:
        return msgspec.json.decode(body, type=kind), None
    except DECODE_ERRORS:
        parts, decoded = _split(body, kind, field)
    items = [decode_one(part) for part in parts if part.strip()]
    setattr(decoded, field, items)
    return decoded, _find_cut(items, decoded.current_rev)


def _find_cut(items: list, newest_rev: int) -> int | None:
    """Return the number of items up to the first one that may quote the next.

    The value of an item can only quote objects that are older than the item.
    """
    objects = [getattr(item, "object", item) for item in items]
    for number, (item, following) in enumerate(pairwise(objects), start=1):
        may_be_later = item.metadata.rev < following.metadata.rev <= newest_rev
        if item.spec is UNREADABLE and not may_be_later:
            return number
    return None


def decode_object(part: bytes) -> Object:
    """Decode an object; its name is empty if not even that is readable."""
    try:
        return msgspec.json.decode(part, type=Object)
    except DECODE_ERRORS:
        pass
    found = METADATA_PATTERN.search(part)
    try:
        metadata = msgspec.json.decode(found.group(1) if found else b"", type=Metadata)
    except DECODE_ERRORS:
        metadata = Metadata("")
    return Object(metadata, UNREADABLE)


def _decode_event(part: bytes) -> Event:
    try:
        return msgspec.json.decode(part, type=Event)
    except DECODE_ERRORS:
        return Event(decode_object(part))


def _split(body: bytes, kind: type, field: str) -> tuple[list[bytes], Any]:
    """Return the items of an array in an answer, and the answer decoded without them.

    What stands between two items that can be read is one that cannot, whatever its
    brackets and quotes.

    Raises
    ------
    ValueError
        If there is no such array, or too much that looks like items.
    """
    # Each byte is one character, so that positions are the same in both.
    text = body.decode("latin-1")
    found = re.search(rf'"{field}"\s*:\s*\[', text)
    if found is None:
        raise ValueError(f"no {field} found")
    start = found.end()
    end, rest = _find_end(body, start, kind)
    items = []
    candidates_left = MAX_CANDIDATES
    while start < end:
        found = _read_value(text, start, end)
        if found is not None:
            _, item_end = found
        else:
            item_end = end
            for candidate in ITEM_START_PATTERN.finditer(text, start, end):
                candidates_left -= 1
                if candidates_left < 0:
                    raise ValueError(f"too much that looks like {field}")
                if _is_item(_read_value(text, candidate.end(), end)):
                    item_end = candidate.start()
                    break
        items.append(body[start:item_end])
        start = item_end + 1
    return items, rest


def _find_end(body: bytes, start: int, kind: type) -> tuple[int, Any]:
    """Return where the array ends that begins at `start`, and the answer without it."""
    end = len(body)
    for _ in range(MAX_TAIL_BRACKETS):
        end = body.rfind(b"]", start, end)
        if end < 0:
            break
        try:
            return end, msgspec.json.decode(body[:start] + body[end:], type=kind)
        except DECODE_ERRORS:
            continue
    raise ValueError("the end of the answer cannot be read")


def _read_value(text: str, start: int, end: int) -> tuple[Any, int] | None:
    """Return the item that begins at `start` and its end; None if it is malformed."""
    start = SPACE_PATTERN.match(text, start, end).end()
    try:
        value, value_end = DECODER.raw_decode(text, start)
    except DECODE_ERRORS:
        return None
    value_end = SPACE_PATTERN.match(text, value_end).end()
    if value_end == end or (value_end < end and text[value_end] == ","):
        return value, value_end
    return None


def _is_item(found: tuple[Any, int] | None) -> bool:
    """Return whether a value is an object of the store, or a change of one."""
    if found is None:
        return False
    item = found[0].get("object", found[0])
    metadata = item.get("metadata") if isinstance(item, dict) else None
    return isinstance(metadata, dict) and {"name", "rev"} <= metadata.keys()
