"""Splits server-sent event streams into complete events.

Only complete events are forwarded, so that another worker can resume the stream after
the last event that the caller has received.
"""

END_OF_EVENT = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an incomplete event."""


class EventSplitter:
    """Buffers a stream up to event boundaries and tracks the last event id."""

    def __init__(self):
        self.last_id: str | None = None
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Append received bytes and return all events that are now complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        data = self._partial + data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self._partial = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(END_OF_EVENT)
        complete, self._partial = data[:end], data[end:]
        self.last_id = _last_id(complete) or self.last_id
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def discard_partial_event(self) -> None:
        """Discard the buffered part of an event whose stream broke off."""
        self._partial = b""


def event_ids(data: bytes) -> list[str]:
    """Return the ids of complete events in order."""
    return [
        line[3:].strip().decode("latin-1")
        for line in data.split(b"\n")
        if line.startswith(b"id:")
    ]


def _last_id(data: bytes) -> str | None:
    ids = event_ids(data)
    return ids[-1] if ids else None
