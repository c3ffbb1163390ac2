"""Client session: owns the connections and sends requests."""

import random
import ssl
from collections.abc import Sequence
from contextlib import aclosing
from typing import Any

import httpcore
import trio

from .core.clock import Clock, SystemClock
from .followers import Connector, Follower
from .models import Answer
from .request_ids import make_request_id

MAX_CONNECTIONS = 10_000
KEEPALIVE_EXPIRY_S = 4.0


class Session:
    """Sends requests of one workspace and owns the connections.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the load balancer or of entry instances.
    token : str
        Access token of the workspace.
    ssl_context : ssl.SSLContext, optional
        TLS context for https URLs.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of randomness for request ids, jitter and the first URL.

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
        rng = rng or random.Random()
        self._connector = Connector(
            pool=httpcore.AsyncConnectionPool(
                ssl_context=ssl_context,
                max_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
            urls=[url.rstrip("/") for url in urls],
            headers=[
                (b"authorization", f"Bearer {token}".encode()),
                (b"content-type", b"application/json"),
            ],
            clock=clock or SystemClock(),
            random=rng,
            next_url=rng.randrange(len(urls)),
        )

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        with trio.CancelScope(shield=True):
            await self._connector.pool.aclose()

    async def run(
        self,
        pipeline: str,
        input: Any = None,
        *,
        deadline_ms: int | None = None,
        repeatable: bool = True,
        request_id: str | None = None,
    ) -> Answer:
        """Run a request and return its complete, verified answer.

        Raises
        ------
        NotRun
            If the request did not run; it is safe to send it again.
        OutcomeUnknown
            If the request ran in part or may have run.
        AnswerGone
            If the request completed earlier but its answer is no longer available.
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
    ) -> Follower:
        """Return a follower whose `parts` method yields the answer as it arrives."""
        request_id = request_id or make_request_id(
            self._connector.clock, self._connector.random
        )
        body = {
            "request_id": request_id,
            "pipeline": pipeline,
            "input": input,
            "repeatable": repeatable,
        }
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        return Follower(self._connector, body)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request by asking every URL; return whether one cancelled it."""
        connector = self._connector
        cancelled = False
        for url in connector.urls:
            path = f"{url}/v1/requests/{request_id}"
            try:
                response = await connector.pool.request(
                    "DELETE", path, headers=connector.headers
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            cancelled = cancelled or response.status == 200
        return cancelled
