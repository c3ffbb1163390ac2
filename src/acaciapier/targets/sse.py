"""Parser of server-sent events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLarge(ValueError):
    """An event has more than `MAX_EVENT_BYTES` without an end."""


@dataclass(frozen=True)
class SseEvent:
    """One event: its name, its id and its data."""

    name: str
    id: str
    data: bytes


class SseParser:
    r"""Splits a byte stream into events; comments and unknown fields are skipped.

    Examples
    --------
    >>> SseParser().feed(b"event: part\nid: 3\ndata: {}\n\n")
    [SseEvent(name='part', id='3', data=b'{}')]
    """

    def __init__(self):
        self._rest = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events that `chunk` completes."""
        *blocks, self._rest = (self._rest + chunk).split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return [_parse_block(block) for block in blocks if block]


def _parse_block(block: bytes) -> SseEvent:
    name = "message"
    event_id = ""
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"id":
            event_id = value.decode(errors="replace")
        elif field == b"event":
            name = value.decode(errors="replace")
    return SseEvent(name, event_id, b"\n".join(data))
