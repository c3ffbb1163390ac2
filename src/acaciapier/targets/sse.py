"""Parser of server-sent events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLarge(ValueError):
    """An incomplete event exceeds `MAX_EVENT_BYTES`."""


@dataclass(frozen=True)
class SseEvent:
    """One event: its name, its id and its data."""

    name: str
    id: str
    data: bytes


class SseParser:
    r"""Incremental parser of an event stream; skips comments and unknown fields.

    Examples
    --------
    >>> SseParser().feed(b"event: part\nid: 3\ndata: {}\n\n")
    [SseEvent(name='part', id='3', data=b'{}')]
    """

    def __init__(self):
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Add `chunk` to the buffer and return the events that are now complete."""
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
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
