"""Token stream of an engine over HTTP."""

import hashlib

import httpcore
import msgspec
import trio

from ..policy.models import CallOutcome
from .models import CallAnswer, StreamBody, TokenBatch
from .sse import EventTooLarge, SseParser

_decode_event = msgspec.json.Decoder(StreamBody).decode


class HttpTokenStream:
    """Reads the events of a stream and checks their offsets, count and digest.

    Parameters
    ----------
    response : httpcore.Response
        HTTP response whose body is the event stream.
    parser : SseParser
        Parser of the event stream.
    position : int
        Index of the first expected token.
    max_tokens : int or None
        Maximum number of tokens; None for no limit.
    """

    def __init__(
        self,
        response: httpcore.Response,
        parser: SseParser,
        position: int,
        max_tokens: int | None,
    ):
        self._response = response
        self._chunks = response.aiter_stream()
        self._parser = parser
        self._start_position = position
        self._position = position
        self._max_tokens = max_tokens
        self._digest = hashlib.sha256()
        self._answer: CallAnswer | None = None

    @property
    def answer(self) -> CallAnswer:
        """Outcome of the stream, once it has ended."""
        if self._answer is None:
            return CallAnswer(CallOutcome.FAILED, message="the stream has not ended")
        return self._answer

    async def next_batch(self) -> TokenBatch | None:
        """Return the tokens that have arrived; None at the end of the stream."""
        while self._answer is None:
            tokens = self._parse_chunk(await self._next_chunk())
            if tokens:
                offset = self._position - len(tokens)
                return TokenBatch(offset, tokens)
        return None

    async def aclose(self) -> None:
        """Release the connection."""
        with trio.CancelScope(shield=True):
            await self._response.aclose()

    async def _next_chunk(self) -> bytes:
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._fail("the stream ended without its final event", connection_lost=True)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._fail(f"the connection was cut: {error}", connection_lost=True)
        except httpcore.TimeoutException:
            self._fail("no tokens in time", connection_lost=False)
        return b""

    def _parse_chunk(self, chunk: bytes) -> list[str]:
        tokens: list[str] = []
        try:
            events = self._parser.feed(chunk)
            for event in events:
                self._handle_event(_decode_event(event.data), tokens)
        except (msgspec.MsgspecError, EventTooLarge) as error:
            self._fail(f"unreadable event: {error}", connection_lost=False)
        return tokens

    def _handle_event(self, event: StreamBody, tokens: list[str]) -> None:
        if self._answer is not None:
            return
        if event.error is not None:
            self._finish_with_error(event)
        elif event.done:
            self._finish(event)
        else:
            self._append_new_tokens(event, tokens)

    def _append_new_tokens(self, event: StreamBody, tokens: list[str]) -> None:
        end = event.offset + len(event.tokens)
        if end <= self._position:
            return
        if event.offset > self._position or event.offset < 0:
            self._fail(f"tokens {self._position} to {event.offset} are missing")
            return
        new_tokens = event.tokens[self._position - event.offset :]
        self._position = end
        if self._max_tokens is not None and end > self._max_tokens:
            self._fail(f"more than {self._max_tokens} tokens")
            return
        self._digest.update("".join(new_tokens).encode())
        tokens += new_tokens

    def _finish(self, event: StreamBody) -> None:
        read_from_start = self._start_position == 0
        if event.count != self._position:
            self._fail(f"{self._position} tokens of {event.count} arrived")
        elif read_from_start and event.digest != self._digest.hexdigest():
            self._fail("the digest does not match the tokens")
        else:
            self._answer = CallAnswer(
                CallOutcome.DONE,
                output=event.digest,
                units=event.units,
                service_ms=event.service_ms,
                target=event.target,
            )

    def _finish_with_error(self, event: StreamBody) -> None:
        self._answer = CallAnswer(
            CallOutcome.REFUSED if event.not_run else CallOutcome.FAILED,
            may_have_run=not event.not_run,
            units=event.units,
            target=event.target,
            message=event.error or "",
        )

    def _fail(self, message: str, connection_lost: bool = False) -> None:
        outcome = CallOutcome.CRASHED if connection_lost else CallOutcome.FAILED
        self._answer = CallAnswer(outcome, message=message)
