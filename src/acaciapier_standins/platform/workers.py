"""Simulated workers of the platform: plain, streaming and stage workers."""

import json
from collections.abc import Callable
from contextlib import suppress
from typing import Any
from weakref import WeakSet

import trio

from acaciapier.http.caller import CallerDisconnected, Exchange, IncomingRequest

from .run_log import Arrival, Fall, Run, RunLog, TurnedAway
from .unframed import UnframedExchange
from .worker_faults import ENDLESS, HEAD, WorkerFaults

RUN_PATH = b"/api/stage-run"
FREE_PATH = b"/api/stage-free"
REPORT_PATH = b"/api/report"

DRIP_PERIOD_S = 0.2

DEADLINE_STEPS = 17
"""Times around the deadline at which successive answers are sent."""

COLD_WINDOW_S = 1.0
"""Time in which the requests to a cold worker are counted."""

REJECTION_WINDOW_S = 1.0
"""Time in which a brittle worker may reject as many requests as it advertises."""


class StandInWorker:
    """A worker that answers requests and logs its runs.

    Parameters
    ----------
    name : str
        Id of the worker.
    address : str
        Address on which it listens, as ``host:port``.
    run_log : RunLog
        Log of its runs.
    kind : str
        ``plain``, ``stream`` or ``stage``.
    events : int
        Number of events of a stream.
    gap_s : float
        Time between the events of a stream, or service time of other work.
    results : dict of str to str
        Attempts by the handles of their stage results, shared by all workers.
    on_begin : callable, optional
        Called with the worker's name and the parts of a prompt when a stream on it
        begins to be written; it may crash the worker.
    on_fall : callable, optional
        Called with the worker's name when it falls over.
    version : str, optional
        Software version, which all events tell.
    """

    def __init__(
        self,
        name: str,
        address: str,
        run_log: RunLog,
        kind: str = "plain",
        events: int = 4,
        gap_s: float = 0.01,
        results: dict[str, str] | None = None,
        on_begin: Callable[[str, tuple[str, ...]], None] | None = None,
        on_fall: Callable[[str], None] = lambda name: None,
        version: str | None = None,
    ):
        self.name = name
        self.address = address
        self.faults = WorkerFaults()
        self.version = version
        self._run_log = run_log
        self.kind = kind
        self._events = events
        self._gap_s = gap_s
        self.started_ms = 0
        self.reports = 0
        """Number of reports that were asked for."""
        self._copied_reports: dict[int, bytes] = {}
        """By connection."""
        self.requests = 0
        self.arrivals_s: list[float] = []
        """Times of all requests."""
        self._handle_count = 0
        self._last_answers: dict[int, bytes] = {}
        """By connection."""
        self._results = {} if results is None else results
        self._on_begin = on_begin
        self._on_fall = on_fall
        self._inside = 0
        """Number of requests that run or wait."""
        self._rejections_s: list[float] = []
        self.cold_arrivals_s: list[float] = []
        """Times of the requests that count while the worker is cold."""
        self._connections: WeakSet[object] = WeakSet()
        """Connections on which there was a request."""
        self._fallen = False

    async def answer(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer an HTTP request to the worker."""
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in request.headers
        }
        is_new = exchange._connection not in self._connections
        self._connections.add(exchange._connection)
        expected = headers.get("expect-instance", self.name) == self.name
        if expected and (is_new or request.target != REPORT_PATH):
            self._count_if_cold()
        if request.target == REPORT_PATH:
            await self._report(headers, exchange)
            return
        copy = self._copied_reports.pop(id(exchange._connection), None)
        if copy is not None:
            await exchange.send_raw(copy)
        self.requests += 1
        now_s = trio.current_time()
        self.arrivals_s.append(now_s)
        attempt = headers.get("attempt-id", "")
        self._run_log.arrivals.append(Arrival(self.name, attempt, now_s))
        await self._keep_silence()
        if headers.get("expect-instance", self.name) != self.name:
            await exchange.respond(421, [(b"Instance-Id", self.name.encode())])
        elif self.faults.turn_away is not None:
            self._log_turned_away(headers)
            refusal = [
                (b"Not-Run", b"1"),
                (b"Retry-After", self.faults.turn_away.encode()),
            ]
            await exchange.respond(503, [*refusal, *self._state_headers()])
        elif request.target != FREE_PATH:
            await self._run_if_room(request, headers, exchange)
        else:
            handles = json.loads(request.body)["handles"]
            self._run_log.freed += len(handles)
            for handle in handles:
                self._results.pop(handle, None)
            await exchange.respond(200, self._state_headers())

    def _count_if_cold(self) -> None:
        """Count a request to a cold worker; fall over if there were too many."""
        now_s, cold = trio.current_time(), self.faults.cold
        if cold is None or not cold.from_s <= now_s < cold.until_s:
            return
        self.cold_arrivals_s.append(now_s)
        recent = [t for t in self.cold_arrivals_s if t > now_s - COLD_WINDOW_S]
        if len(recent) > cold.most and not self._fallen:
            self._fallen = True
            self._run_log.falls.append(Fall(self.name, now_s))
            self._on_fall(self.name)

    async def _run_if_room(
        self, request: IncomingRequest, headers: dict[str, str], exchange: Exchange
    ) -> None:
        brittle = self.faults.brittle
        small = brittle is not None and trio.current_time() >= brittle.from_s
        if small and self._inside >= brittle.room:
            await self._reject(headers.get("attempt-id", ""), exchange)
            return
        self._inside += 1
        try:
            if request.target == RUN_PATH:
                # A call that is being worked on goes on when its connection closes.
                with trio.CancelScope(shield=brittle is not None):
                    await self._run_pieces(request, exchange)
            else:
                await self._run_request(request, headers, exchange)
        finally:
            self._inside -= 1

    async def _reject(self, attempt: str, exchange: Exchange) -> None:
        """Reject a request for want of room; fall over if there were too many."""
        now_s = trio.current_time()
        self._run_log.rejected.append(Arrival(self.name, attempt, now_s))
        self._rejections_s = [
            time_s
            for time_s in [*self._rejections_s, now_s]
            if time_s > now_s - REJECTION_WINDOW_S
        ]
        too_many = len(self._rejections_s) > self.faults.brittle.rejections
        if too_many and not self._fallen:
            self._fallen = True
            self._run_log.falls.append(Fall(self.name, now_s))
            self._on_fall(self.name)
        await self._refuse(attempt, exchange)

    async def _report(self, headers: dict[str, str], exchange: Exchange) -> None:
        """Answer with what the worker says of itself."""
        self.reports += 1
        if headers.get("expect-instance", self.name) != self.name:
            await exchange.respond(421, [(b"Instance-Id", self.name.encode())])
            return
        await trio.sleep(self.faults.report_delay_s)
        await self._keep_silence()
        if self.reports <= self.faults.reset_reports:
            exchange.abort()
            return
        if self.faults.report == "silent":
            await trio.sleep_forever()
        if self.faults.report == "error":
            await exchange.respond(500, [])
            return
        report = {"queued": 0, "running": 0, "state": "ready", "runs": []}
        if self.faults.report != "without_start":
            report["born"] = self.started_ms
        body = json.dumps(report).encode()
        if self.faults.report == "twice":
            length = f"Content-Length: {len(body)}\r\n\r\n".encode()
            self._copied_reports[id(exchange._connection)] = (
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + length + body
            )
        await exchange.respond(200, [(b"Content-Type", b"application/json")], body)

    def _log_turned_away(self, headers: dict[str, str]) -> None:
        now_s = trio.current_time()
        self._run_log.turned_away.append(
            TurnedAway(
                self.name,
                headers.get("attempt-id", ""),
                now_s,
                now_s + float(self.faults.turn_away),
            )
        )

    async def _run_pieces(self, request: IncomingRequest, exchange: Exchange) -> None:
        if self.faults.not_run:
            await exchange.respond(503, [(b"Not-Run", b"1"), *self._state_headers()])
            return
        copy = self._last_answers.get(id(exchange._connection), b"")
        if self.faults.repeats_early:
            await exchange.send_raw(copy)
        await trio.sleep(self._gap_s + self.faults.delay_s)
        await self._keep_silence()
        if self.faults.mute:
            await trio.sleep_forever()
        if self.faults.endless is not None:
            await self._send_without_end("", exchange)
        items = json.loads(request.body)["items"]
        each = self.faults.fails_each
        if each is not None and self.requests % each == 0:
            answers = [{"reason": "error"} for _ in items]
        else:
            answers = [self._run_piece(item) for item in items]
        body = json.dumps({"items": answers}).encode()
        headers = [(b"Content-Type", b"application/json"), *self._state_headers()]
        if self.faults.stray_stage_answer:
            await exchange.send_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        if self.faults.repeats_answers:
            if not self.faults.repeats_early:
                await exchange.send_raw(copy)
            length = f"Content-Length: {len(body)}\r\n\r\n".encode()
            self._last_answers[id(exchange._connection)] = (
                b"HTTP/1.1 200 OK\r\n" + length + body
            )
        await exchange.respond(200, headers, body)

    def _run_piece(self, item: dict[str, Any]) -> dict[str, str]:
        inputs = item.get("inputs", [])
        if not self._owns(item["id"], inputs):
            return {"reason": "gone"}
        self._handle_count += 1
        handle = f"{self.address}/{self._handle_count:x}"
        self._results[handle] = item["id"]
        self._run_log.pieces[item["id"], item["stage"], item["segment"]] += 1
        return {"handle": handle}

    def _owns(self, attempt: str, inputs: list[str]) -> bool:
        """Return whether all results are there and belong to an attempt."""
        owners = [self._results.get(handle) for handle in inputs]
        self._run_log.mixed_inputs += any(
            owner not in (None, attempt) for owner in owners
        )
        return all(owner == attempt for owner in owners)

    async def _run_request(
        self, request: IncomingRequest, headers: dict[str, str], exchange: Exchange
    ) -> None:
        faults = self.faults
        attempt = headers.get("attempt-id", "")
        if faults.not_run and faults.endless is not None:
            await self._refuse_without_end(attempt, exchange)
            return
        if faults.answers_at_deadline is not None:
            await self._wait_for_deadline(headers)
        by_share = self.requests % 10 < 10 * faults.refuse_share
        if faults.not_run or by_share or self.requests <= faults.refuse_first:
            await self._refuse(attempt, exchange)
            return
        inputs = [
            input_handle
            for input_handle in headers.get("inputs", "").split(",")
            if input_handle
        ]
        if not self._owns(attempt, inputs):
            await exchange.respond(409, [(b"Not-Run", b"1"), *self._state_headers()])
            return
        run = Run(
            self.name,
            attempt,
            request.target.decode(),
            request.body,
            headers,
            trio.current_time(),
            started_ms=self.started_ms,
        )
        self._run_log.runs.append(run)
        if faults.unframed:
            exchange = UnframedExchange(exchange)
        try:
            await trio.sleep(faults.delay_s)
            if faults.mute:
                await trio.sleep_forever()
            if faults.endless is not None:
                await self._send_without_end(attempt, exchange)
            if self.kind == "stream":
                await self._stream(run, headers, exchange)
            else:
                await self._plain(run, exchange)
            run.complete = exchange.ended
        finally:
            run.ended_s = trio.current_time()

    async def _wait_for_deadline(self, headers: dict[str, str]) -> None:
        earliest_s, latest_s = self.faults.answers_at_deadline
        share = self.requests % DEADLINE_STEPS / (DEADLINE_STEPS - 1)
        offset_s = earliest_s + share * (latest_s - earliest_s)
        await trio.sleep(max(0.0, int(headers["deadline-ms"]) / 1_000.0 + offset_s))

    async def _refuse_without_end(self, attempt: str, exchange: Exchange) -> None:
        """State that a request did not run, in an answer whose body never ends."""
        head = HEAD.format(attempt).replace("200 OK", "503 Full")
        await exchange.send_raw(f"{head}Not-Run: 1\r\n\r\n".encode())
        while True:
            await exchange.send_raw(
                b"x" * (1 if self.faults.endless == "drip" else 999)
            )
            if self.faults.endless == "drip":
                await trio.sleep(DRIP_PERIOD_S)

    async def _send_without_end(self, attempt: str, exchange: Exchange) -> None:
        first, repeated = ENDLESS[self.faults.endless]
        first = first.replace("{}", attempt)
        await exchange.send_raw(first.encode("latin-1"))
        data = repeated.replace("{}", attempt).encode("latin-1")
        data *= max(1, 16_000 // len(data))
        while True:
            await exchange.send_raw(data)

    async def _refuse(self, attempt: str, exchange: Exchange) -> None:
        identity = (b"Attempt-Id", attempt.encode())
        headers = [identity, (b"Not-Run", b"1"), *self._state_headers()]
        await exchange.respond(503, headers)
        if self.faults.late_copy_s is not None:
            delay_s = self.faults.late_copy_s
            trio.lowlevel.spawn_system_task(_send_copy, exchange, attempt, delay_s)

    async def _plain(self, run: Run, exchange: Exchange) -> None:
        await trio.sleep(self._gap_s)
        await self._keep_silence()
        if self.faults.cut_after is not None:
            length = [] if self.faults.unframed else [(b"Content-Length", b"1000")]
            await exchange.start(200, [*self._identity_headers(run), *length])
            await exchange.send(b"half")
            exchange.abort()
            return
        status = self.faults.status or 200
        body = f"{self.name} did {run.attempt}".encode()
        if self.faults.body_bytes is not None:
            body = body.ljust(self.faults.body_bytes, b".")
        if self.faults.leaving_stray:
            await exchange.send_raw(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: stray\r\nServer-Seal: x\r\n"
                b"Server-Leaving: 1\r\nContent-Length: 5\r\n\r\nstray"
            )
        await exchange.respond(status, self._identity_headers(run), body)
        if self.faults.extra_answer:
            await exchange.send_raw(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: stray\r\nServer-Seal: x\r\n"
                b"Content-Length: 5\r\n\r\nstray"
            )

    async def _stream(self, run: Run, headers, exchange: Exchange) -> None:
        if self.faults.status is not None:
            await exchange.respond(self.faults.status, self._identity_headers(run))
            return
        first = int(headers.get("last-event-id", "0")) + 1
        mark = "" if self.version is None else f" {self.version}"
        content_type = (b"Content-Type", b"text/event-stream")
        await exchange.start(200, [*self._identity_headers(run), content_type])
        if self._on_begin is not None:
            prompt = headers.get("prompt-prefix", "").split(",")
            self._on_begin(self.name, tuple(part.partition(":")[0] for part in prompt))
            await trio.lowlevel.checkpoint()
        for number in range(first, self._events + 1):
            sent = number - first
            if sent == self.faults.silent_after:
                await trio.sleep_forever()
            if sent == self.faults.drip_after:
                await self._drip(exchange)
            if sent == 1:
                await trio.sleep(self.faults.pause_s)
            await self._keep_silence()
            event = f"id: {number}\ndata: {run.attempt} {number}{mark}\n\n".encode()
            if sent == self.faults.cut_after:
                await exchange.send(event[: len(event) // 2])
                if self.faults.ends_early:
                    await exchange.end()
                else:
                    exchange.abort()
                return
            await exchange.send(event)
            run.events += 1
            await trio.sleep(self._gap_s)
        await exchange.end()

    async def _keep_silence(self) -> None:
        if self.faults.silence is not None:
            await self.faults.silence.wait()

    async def _drip(self, exchange: Exchange) -> None:
        while True:
            await exchange.send(b"x")
            await trio.sleep(DRIP_PERIOD_S)

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(b"Server-Leaving", b"1")] if self.faults.leaving else []
        if self.faults.limit is not None:
            headers.append((b"Server-Limit", self.faults.limit.encode()))
        if self.faults.brittle is not None:
            rejections = str(self.faults.brittle.rejections).encode()
            headers.append((b"Server-Brittle", rejections))
        if self.faults.names_cold_time and self.faults.cold is not None:
            left_s = max(0.0, self.faults.cold.until_s - trio.current_time())
            headers.append((b"Cold-Ms", str(round(left_s * 1_000.0)).encode()))
        return headers

    def _identity_headers(self, run: Run) -> list[tuple[bytes, bytes]]:
        headers = [(b"Attempt-Id", run.attempt.encode()), *self._state_headers()]
        if not self.faults.unmarked:
            headers.append((b"Server-Seal", f"seal-{self.name}".encode()))
        return headers


async def _send_copy(exchange: Exchange, attempt: str, delay_s: float) -> None:
    """Send a second copy of a refusal, which may arrive within a later exchange."""
    await trio.sleep(delay_s)
    lines = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
    with suppress(CallerDisconnected):
        await exchange.send_raw(f"{lines}Attempt-Id: {attempt}\r\n\r\n".encode())
