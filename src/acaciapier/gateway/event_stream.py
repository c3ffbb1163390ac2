"""Splitting of an answer of server-sent events, for resuming it elsewhere."""

END_OF_EVENT = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Bound on an event that is not complete yet."""


class EventSplitter:
    """Cuts a stream into whole events and knows the id of the last one."""

    def __init__(self):
        self.last_id: str | None = None
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those of the events that are whole now.

        Raises
        ------
        ValueError
            If an event is larger than its bound.
        """
        data = self._rest + data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(END_OF_EVENT)
        whole, self._rest = data[:end], data[end:]
        self.last_id = _last_id(whole) or self.last_id
        return whole

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._rest)

    def drop_rest(self) -> None:
        """Forget an event that broke off."""
        self._rest = b""


def event_ids(data: bytes) -> list[str]:
    """Return the ids of whole events in order."""
    return [
        line[3:].strip().decode("latin-1")
        for line in data.split(b"\n")
        if line.startswith(b"id:")
    ]


def _last_id(data: bytes) -> str | None:
    ids = event_ids(data)
    return ids[-1] if ids else None
