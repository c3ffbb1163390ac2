"""Structured log and request metrics of the gateway.

The log writes one line per decision, in bounded memory and without blocking the event
loop.
"""

import json
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from ..core.clock import Clock
from ..http.caller import UnansweredInput
from ..observability.metrics import Metrics
from ..platform import requests as request_format
from .loop_lag import LoopLag

MAX_QUEUED_LINES = 2_000
"""Lines that may be queued: a few seconds of output of the busiest instance."""

FLUSH_PERIOD_MS = 50.0
"""Period of writing queued lines; lines of one period share a system call."""

MAX_WRITE_BYTES = 32_768
"""Bytes per write call, which blocks the event loop for less than a millisecond."""

MAX_LINES_PER_S = 400
"""Lines per second beyond which routine events are dropped and counted."""

ROUTINE_EVENTS = frozenset({"request_done", "caller_connection_closed"})
"""Events that may be dropped at a high rate."""


PACKAGE = __name__.partition(".")[0]

MAX_ERROR_TEXT = 2_000
"""Characters of an unexpected exception in the log; a group may hold many."""


class StructuredLog:
    """Writes one JSON object per line to a file descriptor.

    Lines wait in a bounded queue. Dropped lines are counted, and the count is logged
    later. While the event loop lags, lines tell by how much (`loop_lag_ms`), since
    what a timer decided may be due to that.

    Parameters
    ----------
    clock : Clock
        Source of time.
    descriptor : int
        File descriptor that lines are written to; standard output by default.
    record_lag : callable, optional
        Called with each long lag of the event loop in milliseconds.
    """

    def __init__(
        self,
        clock: Clock,
        descriptor: int = 1,
        record_lag: Callable[[float], None] = lambda lag_ms: None,
    ):
        self.dropped = 0
        self._lag = LoopLag(clock, record_lag)
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._current_second = 0
        self._lines_in_second = 0

    def write(self, kind: str, /, **fields: Any) -> None:
        """Queue one line for an event and its fields."""
        if self._over_rate(kind) or len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if lag_ms := self._lag.recent_ms():
            fields["loop_lag_ms"] = round(lag_ms)
        stamp = self._clock.now().isoformat(timespec="milliseconds")
        line = json.dumps({"time": stamp, "event": kind, **fields}, default=str)
        self._lines.append(line)

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await self._lag.sleep(FLUSH_PERIOD_MS)
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        if self.dropped and len(self._lines) < MAX_QUEUED_LINES:
            dropped, self.dropped = self.dropped, 0
            self.write("log_lines_dropped", count=dropped)
        while self._unwritten or self._lines:
            chunk = bytearray(self._unwritten)
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft().encode() + b"\n"
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The output blocks or is gone. Lines beyond the bounds of the queue are
                # dropped and counted.
                written = 0
            self._unwritten = bytes(chunk[written:])
            if self._unwritten:
                return

    def _over_rate(self, kind: str) -> bool:
        second = int(self._clock.monotonic_s())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return kind in ROUTINE_EVENTS and self._lines_in_second > MAX_LINES_PER_S


class RequestObserver:
    """Records the outcomes of requests and decisions in the log and the metrics.

    Parameters
    ----------
    log : StructuredLog
        Log for outcomes, decisions and internal errors.
    metrics : Metrics
        Counters and histograms to update.
    """

    def __init__(self, log: StructuredLog, metrics: Metrics):
        self.outcomes: Counter[str] = Counter()
        self._log = log
        self._metrics = metrics

    def ended(
        self, attempt: str, outcome: str, elapsed_ms: float, fields: dict[str, Any]
    ) -> None:
        """Log and count the end of a request."""
        self.outcomes[outcome] += 1
        route = str(fields.get("route", ""))
        self._metrics.gateway_request(route, outcome, elapsed_ms)
        self._log.write(
            f"request_{outcome}",
            request=attempt,
            elapsed_ms=round(elapsed_ms, 1),
            **fields,
        )

    def decided(self, kind: str, attempt: str, /, **fields: Any) -> None:
        """Log and count a decision about a request."""
        self._metrics.gateway_decision(kind)
        self._log.write(kind, request=attempt, **fields)

    def connection_closed(self, address: str, unanswered: UnansweredInput) -> None:
        """Log and count a caller's connection that was closed with input."""
        head = unanswered.head
        values = {} if head is None else dict(head.headers)
        attempt = values.get(request_format.ATTEMPT_HEADER, b"").decode("latin-1")
        self.decided(
            "caller_connection_closed",
            attempt,
            reason=unanswered.reason.value,
            status=unanswered.status,
            head_read=head is not None,
            body_length=values.get(b"content-length", b"").decode("latin-1") or None,
            body_bytes=unanswered.body_bytes,
            unparsed_bytes=unanswered.unparsed_bytes,
            unread_bytes=unanswered.unread_bytes,
            address=address,
        )
        self._metrics.caller_connection_closed(unanswered.reason.value)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.exposition()

    def watch_input_memory(self, used_bytes: Callable[[], int]) -> None:
        """Export the memory of the input that is held for callers."""
        self._metrics.watch_input_memory(used_bytes)

    def failed(self, error: Exception) -> None:
        """Log and count an unexpected exception, with the locations in its traceback.

        Of a group, the first exception in it is described.
        """
        whole = error
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        frames, place = [], ""
        traceback = error.__traceback__
        while traceback is not None:
            code = traceback.tb_frame.f_code
            frames.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
            module = str(traceback.tb_frame.f_globals.get("__name__", ""))
            if module.startswith(PACKAGE) or not place:
                place = f"{module}:{traceback.tb_lineno}"
            traceback = traceback.tb_next
        self._metrics.internal_error(place)
        self._log.write(
            "internal_error",
            error=repr(whole)[:MAX_ERROR_TEXT],
            trace=frames,
            place=place,
        )
