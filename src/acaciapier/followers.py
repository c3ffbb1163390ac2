"""Follows one request of a session through reconnects to its final event."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import Any

import httpcore
import msgspec
import trio

from .answers import AnswerBuilder, ConnectionCut
from .core.clock import Clock, to_s
from .core.outcomes import Cause, Outcome
from .models import Answer, Final, Part
from .request_ids import make_request_id
from .targets.sse import SseParser

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_DEADLINE_MS = 3_000
ANSWER_SLACK_MS = 2_000
MAX_RECONNECTS = 5
FIRST_BACK_OFF_MS = 50
MAX_BACK_OFF_MS = 1_000

NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
CUT = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
LOST_STREAM = frozenset((Cause.ANSWER_GONE, Cause.UNKNOWN_REQUEST, Cause.FORBIDDEN))


@dataclass
class Connector:
    """What the requests of one session share.

    Parameters
    ----------
    pool : httpcore.AsyncConnectionPool
        Connections.
    urls : sequence of str
        Base URLs, used in turn.
    headers : list of tuple of bytes
        Headers of each request.
    clock : Clock
        Source of time.
    random : random.Random
        Source of ids and jitter.
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
    """Follows one request through reconnects to its final event.

    A request that may not be repeated is never sent to run a second time under
    its id: after a cut connection the system is asked to join its run, or to
    declare it as not run, and only then it is sent again under a new id.
    """

    def __init__(self, connector: Connector, body: dict[str, Any]):
        self._connector = connector
        self._body = body
        self._builder = AnswerBuilder(body["request_id"])
        deadline_ms = body.get("deadline_ms") or DEFAULT_DEADLINE_MS
        now_s = connector.clock.monotonic_s()
        self._give_up_s = now_s + to_s(deadline_ms + ANSWER_SLACK_MS)
        self._may_have_arrived = False
        self.superseded: list[str] = []
        """Earlier ids of the request, each declared as not run."""

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self._body["request_id"]

    @property
    def resets(self) -> int:
        """How often parts had to be discarded because another run started."""
        return self._builder.resets

    @property
    def answer(self) -> Answer:
        """The whole answer; raises what its final event stands for."""
        return self._builder.answer()

    async def parts(self) -> AsyncIterator[Part]:
        """Yield parts of the answer as they arrive, through reconnects."""
        reconnects = 0
        while True:
            try:
                async with aclosing(self._connect()) as parts:
                    async for part in parts:
                        yield part
                if not self._send_elsewhere():
                    self._doubt_refusal()
                    return
                message = "the instance does not take the request"
            except ConnectionCut as cut:
                message = str(cut)
            reconnects += 1
            if not self._may_reconnect(reconnects):
                self._builder.finish(self._gave_up(message))
                return
            await trio.sleep(to_s(self._back_off_ms(reconnects)))

    async def _connect(self) -> AsyncIterator[Part]:
        """Send, resume or recover the request over one connection."""
        connector = self._connector
        request = self._next_request(connector.choose_url())
        parser = SseParser()
        try:
            async with connector.pool.stream(**request) as response:
                if response.status != 200:
                    self._builder.finish(_read_refusal(await response.aread()))
                    return
                async for chunk in response.aiter_stream():
                    for event in parser.feed(chunk):
                        part = self._builder.take(event)
                        if part is not None:
                            yield part
        except NOT_SENT as error:
            raise ConnectionCut(f"no connection: {error}") from error
        except CUT as error:
            self._may_have_arrived = True
            raise ConnectionCut(str(error) or type(error).__name__) from error
        if self._builder.final is None:
            self._may_have_arrived = True
            raise ConnectionCut("the stream ended before its final event")

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

    def _send_elsewhere(self) -> bool:
        """Tell whether the final event allows and calls for another sending."""
        final = self._builder.final
        if final.cause is Cause.SHUTTING_DOWN:
            self._builder.final = None
            return True
        if final.outcome is Outcome.NOT_RUN and final.cause is Cause.RECOVERED:
            self._start_over_with_new_id()
            return True
        resumed = bool(self._builder.resume_token)
        if resumed and final.cause in LOST_STREAM and self._body["repeatable"]:
            self._builder.final = None
            self._builder.reset()
            return True
        return False

    def _doubt_refusal(self) -> None:
        """Take a refusal as unknown if an earlier sending may have arrived."""
        final = self._builder.final
        if self._may_have_arrived and final.outcome is Outcome.NOT_RUN:
            self._builder.finish(replace(final, outcome=Outcome.UNKNOWN))

    def _start_over_with_new_id(self) -> None:
        connector = self._connector
        self.superseded.append(self.request_id)
        request_id = make_request_id(connector.clock, connector.random)
        self._body = {**self._body, "request_id": request_id}
        self._builder = AnswerBuilder(request_id)
        self._may_have_arrived = False

    def _may_reconnect(self, reconnects: int) -> bool:
        if reconnects > MAX_RECONNECTS:
            return False
        return self._connector.clock.monotonic_s() < self._give_up_s

    def _back_off_ms(self, reconnects: int) -> float:
        longest_ms = min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2**reconnects)
        return self._connector.random.uniform(FIRST_BACK_OFF_MS, longest_ms)

    def _gave_up(self, message: str) -> Final:
        outcome = Outcome.UNKNOWN if self._may_have_arrived else Outcome.NOT_RUN
        return Final(outcome, Cause.DEADLINE, message, None, 0, "", {})


def _read_refusal(content: bytes) -> Final:
    try:
        return Final.of_body(msgspec.json.decode(content))
    except (msgspec.DecodeError, ValueError) as error:
        raise ConnectionCut(f"unreadable refusal: {error}") from error
