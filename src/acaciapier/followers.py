"""Follows a request of a session across reconnects until its final event."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import Any

import httpcore
import msgspec
import trio

from .answers import AnswerBuilder, ConnectionLost
from .core.clock import Clock, to_s
from .core.outcomes import Cause, Outcome
from .models import Answer, Final, Part
from .request_ids import make_request_id
from .targets.sse import SseParser

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_DEADLINE_MS = 3_000
ANSWER_GRACE_MS = 2_000
MAX_RECONNECTS = 5
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
CONNECTION_LOST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
STREAM_UNAVAILABLE_CAUSES = frozenset(
    (Cause.ANSWER_GONE, Cause.UNKNOWN_REQUEST, Cause.FORBIDDEN)
)


@dataclass
class Connector:
    """Connections, headers and sources of time and randomness of one session.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Connection pool.
    urls : sequence of str
        Base URLs, used round robin.
    headers : list of tuple of bytes
        Headers sent with each request.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness for request ids and jitter.
    """

    pool: httpcore.AsyncConnectionPool
    urls: Sequence[str]
    headers: list[tuple[bytes, bytes]]
    clock: Clock
    random: random.Random
    next_url: int = 0

    def choose_url(self) -> str:
        """Return the next base URL."""
        url = self.urls[self.next_url % len(self.urls)]
        self.next_url += 1
        return url


class Follower:
    """Follows a request across reconnects until its final event.

    A request that may not be repeated is not sent to run twice under the same id.
    After a lost connection it is sent with ``recover``: the system joins its run
    or declares it as not run. Only in the latter case it is sent again, under a
    new id.
    """

    def __init__(self, connector: Connector, body: dict[str, Any]):
        self._connector = connector
        self._body = body
        self._builder = AnswerBuilder(body["request_id"])
        deadline_ms = body.get("deadline_ms") or DEFAULT_DEADLINE_MS
        now_s = connector.clock.monotonic_s()
        self._deadline_s = now_s + to_s(deadline_ms + ANSWER_GRACE_MS)
        self._may_have_arrived = False
        self.superseded: list[str] = []
        """Earlier ids of the request, which the system declared as not run."""

    @property
    def request_id(self) -> str:
        """Current id of the request."""
        return self._body["request_id"]

    @property
    def resets(self) -> int:
        """How often parts were discarded because the request was run again."""
        return self._builder.resets

    @property
    def answer(self) -> Answer:
        """The verified answer; raises the error given by the final event."""
        return self._builder.answer()

    async def parts(self) -> AsyncIterator[Part]:
        """Yield parts of the answer as they arrive, across reconnects."""
        reconnects = 0
        while True:
            try:
                async with aclosing(self._connect()) as parts:
                    async for part in parts:
                        yield part
                if not self._should_resend():
                    self._mark_refusal_unknown()
                    return
                message = "the instance does not take the request"
            except ConnectionLost as error:
                message = str(error)
            reconnects += 1
            if not self._may_reconnect(reconnects):
                self._builder.finish(self._give_up_final(message))
                return
            await trio.sleep(to_s(self._backoff_ms(reconnects)))

    async def _connect(self) -> AsyncIterator[Part]:
        """Send, resume or recover the request over one connection."""
        connector = self._connector
        request = self._next_request(connector.choose_url())
        parser = SseParser()
        try:
            async with connector.pool.stream(**request) as response:
                if response.status != 200:
                    self._builder.finish(_parse_refusal(await response.aread()))
                    return
                async for chunk in response.aiter_stream():
                    for event in parser.feed(chunk):
                        part = self._builder.handle_event(event)
                        if part is not None:
                            yield part
        except NOT_SENT_ERRORS as error:
            raise ConnectionLost(f"no connection: {error}") from error
        except CONNECTION_LOST_ERRORS as error:
            self._may_have_arrived = True
            raise ConnectionLost(str(error) or type(error).__name__) from error
        if self._builder.final is None:
            self._may_have_arrived = True
            raise ConnectionLost("the stream ended before its final event")

    def _next_request(self, url: str) -> dict[str, Any]:
        connector = self._connector
        builder = self._builder
        timeout = {"connect": to_s(CONNECT_TIMEOUT_MS)}
        request = {
            "headers": connector.headers,
            "extensions": {"timeout": timeout},
        }
        if builder.resume_token:
            token = (b"x-resume-token", builder.resume_token.encode())
            path = f"/v1/requests/{self.request_id}?from={builder.position}"
            headers = [*connector.headers, token]
            return {**request, "method": "GET", "url": url + path, "headers": headers}
        builder.reset()
        body = self._body
        if self._may_have_arrived and not body["repeatable"]:
            body = {**body, "recover": True}
        content = msgspec.json.encode(body)
        url = f"{url}/v1/requests"
        return {**request, "method": "POST", "url": url, "content": content}

    def _should_resend(self) -> bool:
        """Return whether the request must be sent again after this final event."""
        final = self._builder.final
        if final.cause is Cause.SHUTTING_DOWN:
            self._builder.final = None
            return True
        if final.outcome is Outcome.NOT_RUN and final.cause is Cause.RECOVERED:
            self._restart_with_new_id()
            return True
        resumed = bool(self._builder.resume_token)
        if (
            resumed
            and final.cause in STREAM_UNAVAILABLE_CAUSES
            and self._body["repeatable"]
        ):
            self._builder.final = None
            self._builder.reset()
            return True
        return False

    def _mark_refusal_unknown(self) -> None:
        """Mark a refusal as unknown if an earlier send may have arrived."""
        final = self._builder.final
        if self._may_have_arrived and final.outcome is Outcome.NOT_RUN:
            self._builder.finish(replace(final, outcome=Outcome.UNKNOWN))

    def _restart_with_new_id(self) -> None:
        connector = self._connector
        self.superseded.append(self.request_id)
        request_id = make_request_id(connector.clock, connector.random)
        self._body = {**self._body, "request_id": request_id}
        self._builder = AnswerBuilder(request_id)
        self._may_have_arrived = False

    def _may_reconnect(self, reconnects: int) -> bool:
        if reconnects > MAX_RECONNECTS:
            return False
        return self._connector.clock.monotonic_s() < self._deadline_s

    def _backoff_ms(self, reconnects: int) -> float:
        max_backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**reconnects)
        return self._connector.random.uniform(MIN_BACKOFF_MS, max_backoff_ms)

    def _give_up_final(self, message: str) -> Final:
        outcome = Outcome.UNKNOWN if self._may_have_arrived else Outcome.NOT_RUN
        return Final(outcome, Cause.DEADLINE, message, None, 0, "", {})


def _parse_refusal(content: bytes) -> Final:
    try:
        return Final.from_body(msgspec.json.decode(content))
    except (msgspec.DecodeError, ValueError) as error:
        raise ConnectionLost(f"unreadable refusal: {error}") from error
