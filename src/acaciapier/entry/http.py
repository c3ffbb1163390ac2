"""HTTP interface for callers, as specified in docs/protocols.md."""

import math
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ..core.clock import Clock, to_ms, to_s
from ..core.ids import RequestId, WorkspaceId
from ..core.outcomes import Cause
from ..http.asgi import (
    BodyError,
    HttpRequest,
    read_body,
    send_bytes,
    send_json,
    wait_for_disconnect,
)
from ..observability import Metrics, get_logger
from ..pipeline import FinalEvent, RecordReader, RunRecord, refusal
from ..pipeline.models import EVENT_NAMES, Event, PartEvent
from ..settings.models import PathSettings
from .bodies import BodyLimits, parse_request
from .service import RequestService

log = get_logger("acaciapier.entry")

REQUESTS_PATH = "/v1/requests"
RESUME_HEADER = b"x-resume-token"
STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]
PROMETHEUS_TYPE = (b"content-type", b"text/plain; version=0.0.4")

STATUS_BY_CAUSE = {
    Cause.BAD_REQUEST: 400,
    Cause.UNAUTHENTICATED: 401,
    Cause.FORBIDDEN: 403,
    Cause.UNKNOWN_PIPELINE: 404,
    Cause.UNKNOWN_REQUEST: 404,
    Cause.ID_REUSED: 409,
    Cause.TOO_LARGE: 413,
    Cause.BLOCKED: 422,
    Cause.RATE_LIMIT: 429,
}
DEFAULT_REFUSAL_STATUS = 503

_encode = msgspec.json.Encoder().encode


class EntryHttp:
    """ASGI application for callers.

    Parameters
    ----------
    service : RequestService
        Runs the requests.
    workspace_of_token : callable
        Returns the workspace of a token, or None.
    settings : PathSettings
        Limits of the request path.
    clock : Clock
        Source of time.
    metrics : Metrics or None
        Exposed at ``/metrics``.
    """

    def __init__(
        self,
        service: RequestService,
        workspace_of_token: Callable[[str], WorkspaceId | None],
        settings: PathSettings,
        clock: Clock,
        metrics: Metrics | None = None,
    ):
        self._service = service
        self._workspace_of_token = workspace_of_token
        self._settings = settings
        self._clock = clock
        self._metrics = metrics

    async def __call__(self, scope: dict[str, Any], receive, send) -> None:
        """Serve one HTTP request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        request = HttpRequest.from_scope(scope)
        if not request.path.startswith(REQUESTS_PATH):
            await self._serve_status(request, send)
            return
        workspace = self._workspace_of_token(request.bearer_token)
        if workspace is None:
            message = "the request has no valid workspace token"
            await _send_refusal(send, refusal(Cause.UNAUTHENTICATED, message))
            return
        with self._service.track_exchange():
            await self._serve_requests(request, workspace, receive, send)

    async def _serve_requests(self, request, workspace, receive, send) -> None:
        request_id = RequestId(request.path.removeprefix(REQUESTS_PATH).lstrip("/"))
        if request.method == "POST" and not request_id:
            await self._submit(workspace, receive, send)
        elif request.method == "GET" and request_id:
            await self._attach(workspace, request_id, request, receive, send)
        elif request.method == "DELETE" and request_id:
            cancelled = self._service.cancel(workspace, request_id)
            await send_json(send, 200 if cancelled else 404, {"cancelled": cancelled})
        else:
            message = f"{request.method} {request.path} is not supported"
            await _send_refusal(send, refusal(Cause.BAD_REQUEST, message))

    async def _submit(self, workspace: WorkspaceId, receive, send) -> None:
        try:
            content = await read_body(receive, self._settings.max_body_bytes)
        except BodyError as error:
            cause = Cause.TOO_LARGE if error.too_large else Cause.BAD_REQUEST
            await _send_refusal(send, refusal(cause, str(error)))
            return
        parsed = parse_request(
            content, workspace, BodyLimits(self._settings.max_nesting)
        )
        if parsed.is_err():
            message = "; ".join(str(finding) for finding in parsed.unwrap_err())
            await _send_refusal(send, refusal(Cause.BAD_REQUEST, message))
            return
        started = self._service.submit(parsed.unwrap())
        await self._send_answer(started, 0, receive, send)

    async def _attach(self, workspace, request_id, request, receive, send) -> None:
        try:
            position = int(request.query.get("from", "0"))
        except ValueError:
            message = "from: must be a whole number"
            await _send_refusal(send, refusal(Cause.BAD_REQUEST, message))
            return
        token = request.header(RESUME_HEADER)
        found = await self._service.attach(workspace, request_id, token, position)
        await self._send_answer(found, position, receive, send)

    async def _send_answer(
        self, started: RunRecord | FinalEvent, position: int, receive, send
    ) -> None:
        if isinstance(started, FinalEvent):
            await _send_refusal(send, started)
            return
        async with RecordReader(started, position) as reader:
            events = await self._first_events(reader, receive)
            if not events:
                return
            if isinstance(events[0], FinalEvent) and events[0].outcome != "done":
                await _send_refusal(send, events[0])
                return
            await self._stream(reader, events, started, receive, send)

    async def _first_events(self, reader: RecordReader, receive) -> list[Event]:
        """Return the first events; empty if the caller disconnects before them."""
        events: list[Event] = []

        async def read() -> None:
            events.extend(await reader.next_events())
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await wait_for_disconnect(receive)
            nursery.cancel_scope.cancel()
        return events

    async def _stream(self, reader, events, record, receive, send) -> None:
        await send(
            {"type": "http.response.start", "status": 200, "headers": STREAM_HEADERS}
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await self._send_events(reader, events, record, send)
            nursery.cancel_scope.cancel()

    async def _send_events(self, reader, events, record, send) -> None:
        """Send events until the final one; events that are ready share one write."""
        last_part_s = None
        stall_s = to_s(self._settings.write_stall_ms)
        with trio.CancelScope() as stall:
            while events:
                body = b"".join(map(_encode_event, events))
                stall.deadline = trio.current_time() + stall_s
                await send(_body_message(body, more=True))
                stall.deadline = math.inf
                last_part_s = self._observe_parts(record, events, last_part_s)
                events = await reader.next_events()
            await send(_body_message(b"", more=False))
        if stall.cancelled_caught:
            log.warning(
                "closing the stream of request {}: the caller has stopped reading",
                record.request.request_id,
            )

    def _observe_parts(self, record, events, last_part_s) -> float | None:
        """Record the time since the last part, if `events` contains one."""
        if not any(type(event) is PartEvent for event in events):
            return last_part_s
        now_s = self._clock.monotonic_s()
        if last_part_s is not None and self._metrics is not None:
            gap_ms = to_ms(now_s - last_part_s)
            self._metrics.token_gap(record.request.workspace, gap_ms)
        return now_s

    async def _serve_status(self, request: HttpRequest, send) -> None:
        if request.path == "/healthz":
            await send_json(send, 200, {"status": "alive"})
        elif request.path == "/readyz":
            ready = self._service.ready
            await send_json(send, 200 if ready else 503, {"ready": ready})
        elif request.path == "/metrics" and self._metrics is not None:
            body = self._metrics.exposition()
            await send_bytes(send, 200, body, [PROMETHEUS_TYPE])
        else:
            message = f"there is nothing at {request.path}"
            await _send_refusal(send, refusal(Cause.UNKNOWN_REQUEST, message))


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    await wait_for_disconnect(receive)
    scope.cancel()


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_refusal(send, final: FinalEvent) -> None:
    status = DEFAULT_REFUSAL_STATUS
    if final.cause is not None:
        status = STATUS_BY_CAUSE.get(Cause(final.cause), DEFAULT_REFUSAL_STATUS)
    headers = {}
    if final.retry_after_ms is not None:
        headers["retry-after"] = str(-(-final.retry_after_ms // 1000))
    await send_json(send, status, final, headers)


def _encode_event(event: Event) -> bytes:
    head = f"event: {EVENT_NAMES[type(event)]}\n".encode()
    if isinstance(event, PartEvent):
        head += b"id: %d\n" % (event.offset + event.count)
    return head + b"data: " + _encode(event) + b"\n\n"


def _body_message(content: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": content, "more_body": more}
