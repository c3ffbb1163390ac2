"""HTTP client of targets."""

import ssl
from collections.abc import AsyncIterator
from urllib.parse import quote

import httpcore
import msgspec
import trio

from ..core.clock import to_s
from ..policy.models import CallOutcome, TargetView
from .models import AnswerBody, CallAnswer, CallEnvelope, TargetBody
from .sse import SseParser
from .stream import HttpTokenStream

CONNECT_TIMEOUT_MS = 500
PROBE_TIMEOUT_MS = 300
MAX_CRASH_PROBES = 4
CRASH_PROBE_INTERVAL_MS = 20.0
KEEPALIVE_EXPIRY_S = 4.0
MAX_CONNECTIONS_PER_TARGET = 512
MAX_ANSWER_BYTES = 4 * 1024 * 1024
JSON_HEADERS = [(b"content-type", b"application/json")]

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
MAYBE_SENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_encode = msgspec.json.Encoder().encode
_decode_answer = msgspec.json.Decoder(AnswerBody).decode
_decode_target = msgspec.json.Decoder(TargetBody).decode


class AnswerTooLarge(Exception):
    """The answer of a target exceeds `MAX_ANSWER_BYTES`."""


class HttpTransport:
    """Calls targets over HTTP/1.1, with one connection pool for each target.

    Parameters
    ----------
    ssl_context : ssl.SSLContext or None
        TLS context for targets with an https URL.

    Examples
    --------
    >>> async with HttpTransport() as transport:  # doctest: +SKIP
    ...     answer = await transport.call(target, envelope)
    """

    def __init__(self, ssl_context: ssl.SSLContext | None = None):
        self._ssl_context = ssl_context
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        with trio.CancelScope(shield=True):
            for pool in pools:
                await pool.aclose()

    async def close_target(self, url: str) -> None:
        """Close the connections to a target that has been removed."""
        pool = self._pools.pop(url, None)
        if pool is not None:
            await pool.aclose()

    async def call(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Run one unary attempt and check that the answer belongs to it."""
        try:
            with trio.fail_after(to_s(envelope.deadline_ms)):
                status, body = await self._exchange(
                    target.url, "POST", "/v1/call", _encode(envelope)
                )
        except trio.TooSlowError:
            return CallAnswer(CallOutcome.TIMED_OUT, message="no answer in time")
        except AnswerTooLarge:
            return CallAnswer(CallOutcome.FAILED, message="the answer is too large")
        except NOT_SENT_ERRORS as error:
            return _connect_failure(error)
        except MAYBE_SENT_ERRORS as error:
            return _connection_lost(error)
        return _parse_answer(status, body, envelope)

    async def open_stream(
        self, target: TargetView, envelope: CallEnvelope
    ) -> HttpTokenStream | CallAnswer:
        """Start a token stream; return a `CallAnswer` if the attempt failed."""
        body = _encode(envelope)
        return await self._open(target, "POST", "/v1/generate", body, envelope)

    async def resume_stream(
        self, target: TargetView, stream_id: str, position: int
    ) -> HttpTokenStream | CallAnswer:
        """Read a stream that was started earlier, from token `position` on."""
        path = f"/v1/streams/{quote(stream_id, safe='')}?from={position}"
        return await self._open(target, "GET", path, b"", None, position)

    async def cancel(self, target: TargetView, envelope: CallEnvelope) -> CallAnswer:
        """Cancel an attempt; the answer holds the units it consumed."""
        path = _cancel_path(envelope)
        try:
            with trio.fail_after(to_s(CONNECT_TIMEOUT_MS)):
                _, body = await self._exchange(target.url, "DELETE", path, b"")
            answer = _decode_answer(body)
        except (
            *NOT_SENT_ERRORS,
            *MAYBE_SENT_ERRORS,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            return CallAnswer(CallOutcome.FAILED, message=str(error))
        return CallAnswer(
            CallOutcome.CANCELLED, units=answer.units, service_ms=answer.service_ms
        )

    async def has_crashed(self, target: TargetView) -> bool:
        """Return whether the target's process has ended or was restarted.

        A target that does not answer in time counts as alive, as it may only be
        slow. One that closes the connection is probed again over a new connection.
        """
        for _ in range(MAX_CRASH_PROBES):
            probed = await self.probe(target)
            if isinstance(probed, TargetBody):
                return probed.incarnation != target.incarnation
            if probed.outcome is not CallOutcome.FAILED:
                return probed.outcome is CallOutcome.CRASHED
            await trio.sleep(to_s(CRASH_PROBE_INTERVAL_MS))
        return False

    async def probe(self, target: TargetView) -> TargetBody | CallAnswer:
        """Request the status of a target, including its load."""
        try:
            with trio.fail_after(to_s(PROBE_TIMEOUT_MS)):
                _, body = await self._exchange(target.url, "GET", "/v1/load", b"")
            return _decode_target(body)
        except trio.TooSlowError:
            return CallAnswer(CallOutcome.TIMED_OUT, message="no answer in time")
        except httpcore.ConnectError as error:
            return CallAnswer(CallOutcome.CRASHED, message=str(error))
        except (
            *NOT_SENT_ERRORS,
            *MAYBE_SENT_ERRORS,
            msgspec.MsgspecError,
            AnswerTooLarge,
        ) as error:
            return CallAnswer(CallOutcome.FAILED, message=str(error))

    async def _open(
        self,
        target: TargetView,
        method: str,
        path: str,
        body: bytes,
        envelope: CallEnvelope | None,
        position: int = 0,
    ) -> HttpTokenStream | CallAnswer:
        request = self._request(target.url, method, path, body)
        try:
            response = await self._pool(target.url).handle_async_request(request)
        except NOT_SENT_ERRORS as error:
            return _connect_failure(error)
        except MAYBE_SENT_ERRORS as error:
            return _connection_lost(error)
        if response.status == 200:
            limit = envelope.max_tokens if envelope else None
            return HttpTokenStream(response, SseParser(), position, limit)
        try:
            content = await _read_bounded(response.aiter_stream())
        except (*MAYBE_SENT_ERRORS, AnswerTooLarge) as error:
            return _connection_lost(error)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        return _parse_failure(response.status, content)

    async def _exchange(
        self, url: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        request = self._request(url, method, path, body)
        response = await self._pool(url).handle_async_request(request)
        try:
            content = await _read_bounded(response.aiter_stream())
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        return response.status, content

    def _request(self, url: str, method: str, path: str, body: bytes):
        headers = [*JSON_HEADERS, (b"content-length", str(len(body)).encode())]
        headers.append((b"host", httpcore.URL(url).host))
        timeout = {"connect": to_s(CONNECT_TIMEOUT_MS)}
        return httpcore.Request(
            method,
            url + path,
            headers=headers,
            content=body,
            extensions={"timeout": timeout},
        )

    def _pool(self, url: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(url)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                ssl_context=self._ssl_context,
                max_connections=MAX_CONNECTIONS_PER_TARGET,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            )
            self._pools[url] = pool
        return pool


def _cancel_path(envelope: CallEnvelope) -> str:
    if envelope.stream_id is not None:
        return f"/v1/streams/{quote(envelope.stream_id, safe='')}"
    segments = (envelope.run_id, envelope.stage, str(envelope.attempt))
    return "/v1/calls/" + "/".join(quote(step, safe="") for step in segments)


async def _read_bounded(chunks: AsyncIterator[bytes]) -> bytes:
    content = bytearray()
    async for chunk in chunks:
        content += chunk
        if len(content) > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"more than {MAX_ANSWER_BYTES} bytes")
    return bytes(content)


def _connect_failure(error: Exception) -> CallAnswer:
    return CallAnswer(
        CallOutcome.REFUSED,
        may_have_run=False,
        message=f"no connection: {error or type(error).__name__}",
    )


def _connection_lost(error: Exception) -> CallAnswer:
    return CallAnswer(
        CallOutcome.CRASHED,
        message=f"the connection was cut: {error or type(error).__name__}",
    )


def _parse_answer(status: int, body: bytes, envelope: CallEnvelope) -> CallAnswer:
    if status != 200:
        return _parse_failure(status, body)
    try:
        answer = _decode_answer(body)
    except msgspec.MsgspecError as error:
        return CallAnswer(CallOutcome.FAILED, message=f"unreadable answer: {error}")
    identity = (answer.run_id, answer.stage, answer.attempt)
    if identity != (envelope.run_id, envelope.stage, envelope.attempt):
        return CallAnswer(
            CallOutcome.FAILED,
            message=f"the answer belongs to {identity}",
        )
    return CallAnswer(
        CallOutcome.DONE,
        output=answer.output,
        units=answer.units,
        service_ms=answer.service_ms,
        target=answer.target,
    )


def _parse_failure(status: int, body: bytes) -> CallAnswer:
    try:
        answer = _decode_answer(body)
    except msgspec.MsgspecError:
        return CallAnswer(CallOutcome.FAILED, message=f"status {status}")
    outcome = CallOutcome.REFUSED if answer.not_run else CallOutcome.FAILED
    return CallAnswer(
        outcome,
        may_have_run=not answer.not_run,
        units=answer.units,
        service_ms=answer.service_ms,
        retry_after_ms=answer.retry_after_ms,
        target=answer.target,
        message=answer.error or f"status {status}",
    )
