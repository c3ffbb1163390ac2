"""Encodes the stream of an engine as server-sent events."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
import trio

from acaciapier.core.clock import to_ms, to_s

from .batch import Stream, StreamState
from .faults import FaultInjector, Garbage
from .http import ConnectionAborted

encode = msgspec.json.Encoder().encode


class TokenEvent(msgspec.Struct):
    """Data of a token event; `offset` is the position of the first token."""

    offset: int
    tokens: list[str]


def event_of(value: Any, position: int | None = None) -> bytes:
    """Encode a server-sent event."""
    head = b"" if position is None else b"id: %d\n" % position
    return b"%sdata: %s\n\n" % (head, encode(value))


class StreamReader:
    """Reads one stream from a given position and injects faults.

    Parameters
    ----------
    stream : Stream
        Stream to read.
    start : int
        Position of the first token to send.
    faults : FaultInjector
        Fault injector of the engine.
    describe : callable
        Returns the engine's status report for the last event.
    """

    def __init__(
        self,
        stream: Stream,
        start: int,
        faults: FaultInjector,
        describe: Callable[[], Any],
    ):
        self._stream = stream
        self._offset = start
        self._faults = faults
        self._describe = describe
        self._cut_at = self._draw_cut(start)
        self._doubled = faults.draw("doubled")
        self._garbage = faults.draw("garbage")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield events until the stream ends."""
        stream = self._stream
        while True:
            if self._offset < len(stream.tokens):
                chunk = self._next_tokens()
            elif stream.ended:
                break
            else:
                await stream.changed.park()
                continue
            yield chunk * 2 if self._doubled else chunk
            if self._cut_at is not None and self._offset >= self._cut_at:
                raise ConnectionAborted
        if self._faults.current.late_ms:
            await trio.sleep(to_s(self._faults.current.late_ms))
        chunk = self._last_event()
        yield chunk * 2 if self._doubled else chunk

    def _draw_cut(self, start: int) -> int | None:
        if not self._faults.draw("cut"):
            return None
        return start + self._faults.current.cut_after_tokens

    def _next_tokens(self) -> bytes:
        start = self._offset
        tokens = self._stream.tokens[start : self._cut_at]
        self._offset = start + len(tokens)
        if self._garbage:
            self._garbage = False
            if self._faults.current.garbage_form is Garbage.BYTES:
                return b"data: \x00garbage{\n\n"
            tokens = [token[::-1] for token in tokens]
        return event_of(TokenEvent(start, tokens), self._offset)

    def _last_event(self) -> bytes:
        stream = self._stream
        if stream.state is not StreamState.DONE:
            failure = {
                "error": stream.state.value,
                "not_run": False,
                "units": stream.units(),
                "target": self._describe(),
            }
            return event_of(failure)
        done = {
            "done": True,
            "count": len(stream.tokens),
            "digest": stream.digest(),
            "units": stream.units(),
            "service_ms": to_ms(stream.ended_s - stream.started_s),
            "target": self._describe(),
        }
        return event_of(done)
