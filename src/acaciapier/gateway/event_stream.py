"""Splits server-sent event streams into complete events.

Only complete events are forwarded: another worker can resume the stream after the last
event that the caller has received, and a stream that ends within an event is known to
be incomplete, however the worker framed it.
"""

import re

BLANK_LINES = (b"\n\n", b"\n\r\n", b"\r\r")
"""Ends of an event, in the line endings that server-sent events allow."""

BLANK_LINE_BYTES = 3
BLANK_LINE_PATTERN = re.compile(rb"(?:\r\n|\r|\n){2,}")
FIELD_PATTERN = re.compile(rb"[A-Za-z-]*:")
"""Start of a line of an event; the name of a comment is empty."""

LINE_ENDINGS = b"\r\n"
MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an incomplete event."""


class EventSplitter:
    """Buffers a stream up to event boundaries and tracks the last event id."""

    def __init__(self):
        self.last_id: str | None = None
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Append received bytes and return all events that are now complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        # Without a new blank line a partial event stays one, whatever its length.
        end_of_partial = bytes(self._partial[-BLANK_LINE_BYTES:])
        self._partial += data
        complete = b""
        if not end_of_partial or _has_blank_line(end_of_partial + data):
            received = bytes(self._partial)
            end = _end_of_events(received)
            complete, self._partial = received[:end], bytearray(received[end:])
            self.last_id = _last_id(complete) or self.last_id
        if len(self._partial) > MAX_EVENT_BYTES:
            # The traceback of the error would keep it in memory.
            self._partial.clear()
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return complete

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._partial)

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def discard_partial_event(self) -> None:
        """Discard the buffered part of an event whose stream broke off."""
        self._partial.clear()


def event_ids(data: bytes) -> list[str]:
    """Return the ids of complete events in order."""
    return [
        line[3:].strip().decode("latin-1")
        for line in data.splitlines()
        if line.startswith(b"id:")
    ]


def check_continuation(after: str, data: bytes) -> str:
    """Return the id of the last of complete events, which follow the event `after`.

    Raises
    ------
    ValueError
        If an event has no id, or not the next one, or if there is something else.
    """
    for event in BLANK_LINE_PATTERN.split(data):
        if not event.strip(LINE_ENDINGS):
            continue
        if not all(FIELD_PATTERN.match(line) for line in event.splitlines()):
            raise ValueError(f"text that is no event follows event {after}")
        ids = event_ids(event)
        if not (len(ids) == 1 and ids[0].isdigit() and after.isdigit()):
            raise ValueError(f"the event after {after} has no number")
        if int(ids[0]) != int(after) + 1:
            raise ValueError(f"event {ids[0]} follows event {after}")
        after = ids[0]
    return after


def _has_blank_line(data: bytes) -> bool:
    return any(blank in data for blank in BLANK_LINES)


def _end_of_events(data: bytes) -> int:
    """Return the length of the complete events at the start of `data`."""
    ends = [data.rfind(blank) + len(blank) for blank in BLANK_LINES if blank in data]
    end = max(ends, default=0)
    # Further blank lines belong to no event.
    return end if data[end:].strip(LINE_ENDINGS) else len(data)


def _last_id(data: bytes) -> str | None:
    ids = event_ids(data)
    return ids[-1] if ids else None
