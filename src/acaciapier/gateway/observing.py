"""Logs and metrics of the gateway: one line a decision, bounded, never blocking."""

import json
import os
from collections import Counter, deque
from typing import Any

import trio

from ..core.clock import Clock
from ..observability.metrics import Metrics

MAX_WAITING_LINES = 2_000
"""Lines that may wait to be written: some seconds of the busiest instance."""

WRITE_PERIOD_MS = 50.0
"""Lines of this time share one system call."""

MAX_WRITE_BYTES = 32_768
"""Bytes written at once; the loop stands still for less than a millisecond."""

MAX_LINES_PER_S = 400
"""Lines a second beyond which routine ones are left out and counted."""

ROUTINE = frozenset({"request_done"})


class StructuredLog:
    """Writes one JSON object a line to standard output.

    Lines wait in a bounded queue; what does not fit is counted and told later.

    Parameters
    ----------
    clock : Clock
        Source of time.
    descriptor : int
        Where lines go.
    """

    def __init__(self, clock: Clock, descriptor: int = 1):
        self.dropped = 0
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._rest = b""
        self._second = 0
        self._in_second = 0

    def write(self, kind: str, /, **fields: Any) -> None:
        """Queue one line."""
        if self._over_rate(kind) or len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        stamp = self._clock.now().isoformat(timespec="milliseconds")
        line = json.dumps({"time": stamp, "event": kind, **fields}, default=str)
        self._lines.append(line)

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await trio.sleep(WRITE_PERIOD_MS / 1_000.0)
            self.flush()

    def flush(self) -> None:
        """Write what can be written without waiting."""
        if self.dropped and len(self._lines) < MAX_WAITING_LINES:
            dropped, self.dropped = self.dropped, 0
            self.write("log_lines_dropped", count=dropped)
        while self._rest or self._lines:
            chunk = bytearray(self._rest)
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft().encode() + b"\n"
            try:
                written = os.write(self._descriptor, chunk)
            except (BlockingIOError, BrokenPipeError):
                written = 0
            self._rest = bytes(chunk[written:])
            if self._rest:
                return

    def _over_rate(self, kind: str) -> bool:
        second = int(self._clock.monotonic_s())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        return kind in ROUTINE and self._in_second > MAX_LINES_PER_S


class RequestObserver:
    """Logs and counts what happens to requests.

    Parameters
    ----------
    log : StructuredLog
        Where lines go.
    metrics : Metrics
        Counters and histograms.
    """

    def __init__(self, log: StructuredLog, metrics: Metrics):
        self.outcomes: Counter[str] = Counter()
        self._log = log
        self._metrics = metrics

    def ended(
        self, attempt: str, outcome: str, elapsed_ms: float, fields: dict[str, Any]
    ) -> None:
        """Take over the end of a request."""
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
        """Log one decision about a request."""
        self._metrics.gateway_decision(kind)
        self._log.write(kind, request=attempt, **fields)

    def failed(self, error: Exception) -> None:
        """Log a fault of the program itself."""
        frames = []
        trace = error.__traceback__
        while trace is not None:
            code = trace.tb_frame.f_code
            frames.append(f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}")
            trace = trace.tb_next
        self._log.write("internal_error", error=repr(error), trace=frames)
