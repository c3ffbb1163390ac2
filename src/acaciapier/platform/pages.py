"""Decodes the store's answers one object at a time.

Other writers may have stored values that cannot be decoded. An answer is decoded as a
whole first; if that fails, it is split into its objects, and only those that cannot be
decoded by themselves have no readable value.
"""

import re
from collections.abc import Callable
from typing import Any

import msgspec

UNREADABLE = None
"""Value of an object that cannot be decoded; no decoder accepts it."""

TOKEN_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
METADATA_PATTERN = re.compile(rb'"metadata"\s*:\s*(\{[^{}]*\})')
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


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


def decode_page(body: bytes) -> Page:
    """Decode a list of objects; raise `ValueError` if it is no list."""
    return _decode(body, Page, "items", decode_object)


def decode_events(body: bytes) -> Events:
    """Decode changes of objects; raise `ValueError` if there are none."""
    return _decode(body, Events, "events", _decode_event)


def _decode(body: bytes, kind: type, field: str, decode_one: Callable) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        parts, rest = _split(body, field)
    try:
        decoded = msgspec.json.decode(rest, type=kind)
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error
    setattr(decoded, field, [decode_one(part) for part in parts if part.strip()])
    return decoded


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


def _split(body: bytes, field: str) -> tuple[list[bytes], bytes]:
    """Return the items of an array in an object, and the object with an empty array.

    Raises
    ------
    ValueError
        If the brackets of the object do not match.
    """
    name, depth = f'"{field}"'.encode(), 0
    awaited, start, item_start = False, None, 0
    items = []
    for token in TOKEN_PATTERN.finditer(body):
        text = token.group()
        if start is None and depth == 1 and text == name:
            awaited = True
        elif text in (b"[", b"{"):
            depth += 1
            if awaited and text == b"[":
                awaited, start, item_start = False, token.start(), token.end()
        elif text in (b"]", b"}"):
            depth -= 1
            if start is not None and depth == 1:
                items.append(body[item_start : token.start()])
                return items, body[:start] + b"[]" + body[token.end() :]
        elif text == b"," and start is not None and depth == 2:
            items.append(body[item_start : token.start()])
            item_start = token.end()
    raise ValueError(f"no {field} found, or brackets do not match")
