"""The client's session: sends requests, follows and checks their answers."""

import random
import ssl
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from typing import Any

import httpcore
import msgspec
import trio

from .core.clock import Clock, SystemClock, epoch_ms, to_s
from .core.outcomes import Cause, Outcome
from .following import AnswerBuilder, ConnectionCut
from .models import Answer, Final, Part
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


class Session:
    """Sends requests of one workspace, and owns the connections.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the balancer or of entry instances.
    token : str
        Token of the workspace.
    ssl_context : ssl.SSLContext, optional
        For https URLs.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of randomness for back-off.

    Examples
    --------
    >>> async with Session(["http://127.0.0.1:8080"], "token") as session:
    ...     answer = await session.run("quote", {"text": "12 bowls"})
    ...     print(answer.text)  # doctest: +SKIP
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str,
        ssl_context: ssl.SSLContext | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        if not urls:
            raise ValueError("a session needs at least one URL")
        self._urls = [url.rstrip("/") for url in urls]
        self._headers = [
            (b"authorization", f"Bearer {token}".encode()),
            (b"content-type", b"application/json"),
        ]
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context, max_connections=10_000, keepalive_expiry=4.0
        )
        self._clock = clock or SystemClock()
        self._random = rng or random.Random()
        self._next_url = self._random.randrange(len(self._urls))

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        with trio.CancelScope(shield=True):
            await self._pool.aclose()

    async def run(
        self,
        pipeline: str,
        input: Any = None,
        *,
        deadline_ms: int | None = None,
        repeatable: bool = True,
        request_id: str | None = None,
    ) -> Answer:
        """Run a request and return its whole, checked answer.

        Raises
        ------
        NotRun
            If it did not run; it may be sent again.
        OutcomeUnknown
            If it may have run, in part or whole.
        AnswerGone
            If it was done earlier and its answer is not held any more.
        """
        follower = self.follow(
            pipeline,
            input,
            deadline_ms=deadline_ms,
            repeatable=repeatable,
            request_id=request_id,
        )
        async with aclosing(follower.parts()) as parts:
            async for _ in parts:
                pass
        return follower.answer

    def follow(
        self,
        pipeline: str,
        input: Any = None,
        *,
        deadline_ms: int | None = None,
        repeatable: bool = True,
        request_id: str | None = None,
    ) -> "Follower":
        """Return a follower whose `parts` yield the answer as it arrives."""
        request_id = request_id or make_request_id(self._clock, self._random)
        body = {
            "request_id": request_id,
            "pipeline": pipeline,
            "input": input,
            "repeatable": repeatable,
        }
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        return Follower(self, body)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request on whichever instance runs it."""
        cancelled = False
        for url in self._urls:
            path = f"{url}/v1/requests/{request_id}"
            try:
                response = await self._pool.request(
                    "DELETE", path, headers=self._headers
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            cancelled = cancelled or response.status == 200
        return cancelled

    def _choose_url(self) -> str:
        url = self._urls[self._next_url % len(self._urls)]
        self._next_url += 1
        return url


class Follower:
    """Follows one request through reconnects to its final event.

    A request that may not be repeated is never sent to run a second time under
    its id: after a cut connection the system is asked to join its run, or to
    declare it as not run, and only then it is sent again under a new id.
    """

    def __init__(self, session: Session, body: dict[str, Any]):
        self._session = session
        self._body = body
        self._builder = AnswerBuilder(body["request_id"])
        deadline_ms = body.get("deadline_ms") or DEFAULT_DEADLINE_MS
        now_s = session._clock.monotonic_s()
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
        session = self._session
        request = self._next_request(session._choose_url())
        parser = SseParser()
        try:
            async with session._pool.stream(**request) as response:
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
        session = self._session
        builder = self._builder
        timeout = {"connect": to_s(CONNECT_TIMEOUT_MS)}
        request = {
            "headers": session._headers,
            "extensions": {"timeout": timeout},
        }
        if builder.resume_token:
            token = (b"x-resume-token", builder.resume_token.encode())
            path = f"/v1/requests/{self.request_id}?from={builder.position}"
            headers = [*session._headers, token]
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
        if final.cause is Cause.SHUTTING_DOWN and final.outcome is Outcome.NOT_RUN:
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

    def _start_over_with_new_id(self) -> None:
        session = self._session
        self.superseded.append(self.request_id)
        request_id = make_request_id(session._clock, session._random)
        self._body = {**self._body, "request_id": request_id}
        self._builder = AnswerBuilder(request_id)
        self._may_have_arrived = False

    def _may_reconnect(self, reconnects: int) -> bool:
        if reconnects > MAX_RECONNECTS:
            return False
        return self._session._clock.monotonic_s() < self._give_up_s

    def _back_off_ms(self, reconnects: int) -> float:
        longest_ms = min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2**reconnects)
        return self._session._random.uniform(FIRST_BACK_OFF_MS, longest_ms)

    def _gave_up(self, message: str) -> Final:
        outcome = Outcome.UNKNOWN if self._may_have_arrived else Outcome.NOT_RUN
        return Final(outcome, Cause.DEADLINE, message, None, 0, "", {})


def make_request_id(clock: Clock, rng: random.Random) -> str:
    """Return a UUID version 7 for the present time.

    Notes
    -----
    RFC 9562, section 5.7: 48 bits of Unix time in milliseconds, the version, 12
    random bits, the variant and 62 random bits.
    """
    value = epoch_ms(clock.now()) << 80
    value |= 0x7 << 76 | rng.getrandbits(12) << 64
    value |= 0b10 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def _read_refusal(content: bytes) -> Final:
    try:
        return Final.of_body(msgspec.json.decode(content))
    except (msgspec.DecodeError, ValueError) as error:
        raise ConnectionCut(f"unreadable refusal: {error}") from error
