"""A stream of tokens that an engine sends over HTTP."""

import hashlib

import httpcore
import msgspec
import trio

from ..policy.models import CallOutcome
from .models import CallAnswer, StreamBody, TokenBatch
from .sse import EventTooLarge, SseParser

_decode_event = msgspec.json.Decoder(StreamBody).decode


class HttpTokenStream:
    """Reads an engine's events, and checks their offsets, count and digest.

    Parameters
    ----------
    response : httpcore.Response
        Answer whose body is the event stream.
    parser : SseParser
        Parser of the body.
    position : int
        Number of the first token that is expected.
    max_tokens : int or None
        Bound on the number of tokens; unbounded if None.
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
        self._first = position
        self._position = position
        self._max_tokens = max_tokens
        self._digest = hashlib.sha256()
        self._answer: CallAnswer | None = None

    @property
    def answer(self) -> CallAnswer:
        """How the stream ended."""
        if self._answer is None:
            return CallAnswer(CallOutcome.FAILED, message="the stream has not ended")
        return self._answer

    async def next_batch(self) -> TokenBatch | None:
        """Return all tokens that have arrived, or None at the end."""
        while self._answer is None:
            tokens = self._take(await self._next_chunk())
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
            self._fail("the stream ended without its final event", cut=True)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._fail(f"the connection was cut: {error}", cut=True)
        except httpcore.TimeoutException:
            self._fail("no tokens in time", cut=False)
        return b""

    def _take(self, chunk: bytes) -> list[str]:
        tokens: list[str] = []
        try:
            events = self._parser.feed(chunk)
            for event in events:
                self._take_event(_decode_event(event.data), tokens)
        except (msgspec.MsgspecError, EventTooLarge) as error:
            self._fail(f"unreadable event: {error}", cut=False)
        return tokens

    def _take_event(self, event: StreamBody, tokens: list[str]) -> None:
        if self._answer is not None:
            return
        if event.error is not None:
            self._end_with_error(event)
        elif event.done:
            self._end(event)
        else:
            self._take_tokens(event, tokens)

    def _take_tokens(self, event: StreamBody, tokens: list[str]) -> None:
        end = event.offset + len(event.tokens)
        if end <= self._position:
            return
        if event.offset > self._position or event.offset < 0:
            self._fail(f"tokens {self._position} to {event.offset} are missing")
            return
        fresh = event.tokens[self._position - event.offset :]
        self._position = end
        if self._max_tokens is not None and end > self._max_tokens:
            self._fail(f"more than {self._max_tokens} tokens")
            return
        self._digest.update("".join(fresh).encode())
        tokens += fresh

    def _end(self, event: StreamBody) -> None:
        whole = self._first == 0
        if event.count != self._position:
            self._fail(f"{self._position} tokens of {event.count} arrived")
        elif whole and event.digest != self._digest.hexdigest():
            self._fail("the digest does not match the tokens")
        else:
            self._answer = CallAnswer(
                CallOutcome.DONE,
                output=event.digest,
                units=event.units,
                service_ms=event.service_ms,
                target=event.target,
            )

    def _end_with_error(self, event: StreamBody) -> None:
        self._answer = CallAnswer(
            CallOutcome.REFUSED if event.not_run else CallOutcome.FAILED,
            may_have_run=not event.not_run,
            units=event.units,
            target=event.target,
            message=event.error or "",
        )

    def _fail(self, message: str, cut: bool = False) -> None:
        outcome = CallOutcome.CRASHED if cut else CallOutcome.FAILED
        self._answer = CallAnswer(outcome, message=message)
