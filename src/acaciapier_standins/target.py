"""Base class of targets: status, work log, load reports, refusals and registration."""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import httpcore
import msgspec
import trio

from acaciapier.core.clock import to_ms, to_s

from .faults import Garbage
from .http import Request, Response, error
from .records import WorkLog
from .settings import TargetSettings
from .standin import Standin

REGISTRATION_INTERVAL_S = 1.0
LEAVE_TIMEOUT_S = 1.0
DRAIN_POLL_S = 0.02
MAX_ENDED_CALLS = 4_096


class Envelope(msgspec.Struct):
    """The envelope of every call to a target."""

    request_id: str
    run_id: str
    workspace: str
    stage: str
    pipeline: str = ""
    attempt: int = 1
    deadline_ms: float | None = None
    priority: int = 0
    input: Any = None
    parameters: dict[str, Any] = {}
    stream_id: str = ""
    max_tokens: int = 256

    @property
    def key(self) -> tuple[str, str, int]:
        """Return the identity of this call: run, stage and attempt."""
        return (self.run_id, self.stage, self.attempt)


class Load(msgspec.Struct):
    """A load report; `age_ms` is the time since it was measured."""

    running: int
    queued: int
    slots: int
    age_ms: float


class TargetReport(msgspec.Struct):
    """Status of a target, included in each answer."""

    id: str
    incarnation: int
    leaving: bool
    load: Load


@dataclass
class LoadReporter:
    """Measures the load at most once per `lag_s`, to simulate outdated reports."""

    lag_s: float
    slots: int
    measured_at_s: float = float("-inf")
    running: int = 0
    queued: int = 0

    def observe(self, running: int, queued: int) -> Load:
        """Return the last report, renewed first if it is older than the lag."""
        now_s = trio.current_time()
        if now_s - self.measured_at_s >= self.lag_s:
            self.measured_at_s = now_s
            self.running = running
            self.queued = queued
        age_ms = to_ms(now_s - self.measured_at_s)
        return Load(self.running, self.queued, self.slots, age_ms)


class Target(Standin):
    """A stand-in that runs work and logs it."""

    role_kind = "target"

    def __init__(self, settings: TargetSettings):
        super().__init__(settings)
        self.work_log = WorkLog(settings.book_path)
        self.incarnation = int(time.time() * 1_000)
        self._reporter = LoadReporter(to_s(settings.load_lag_ms), settings.slots)
        self._ended: OrderedDict[Any, dict[str, float]] = OrderedDict()
        self.app.add("GET", "/v1/load", self._show_load)

    def counts(self) -> tuple[int, int]:
        """Return the numbers of running and queued calls."""
        raise NotImplementedError

    def report(self) -> dict[str, Any]:
        """Return the logged work and the numbers of refusals."""
        return self.work_log.report()

    def target_report(self) -> TargetReport:
        """Return the current status of this target."""
        load = self._reporter.observe(*self.counts())
        leaving = self.faults.current.leaving
        return TargetReport(self.settings.id, self.incarnation, leaving, load)

    def refuse(self, cause: str) -> Response:
        """Return a refusal, which guarantees that no work ran."""
        self.work_log.refused[cause] += 1
        return error(
            503,
            cause,
            not_run=True,
            cause=cause,
            retry_after_ms=self.settings.retry_after_ms,
            target=self.target_report(),
        )

    def failure(self, name: str, units: dict[str, float]) -> Response:
        """Return a failure of a call that may have run."""
        target = self.target_report()
        return error(500, name, not_run=False, units=units, target=target)

    def admission_refusal(self, envelope: Envelope) -> Response | None:
        """Return a refusal if the call cannot be accepted now, or None."""
        if self.faults.current.leaving:
            return self.refuse("leaving")
        if self.faults.draw("refuse"):
            return self.refuse("overload")
        if envelope.deadline_ms is not None and envelope.deadline_ms <= 0:
            return self.refuse("deadline")
        return None

    async def apply_answer_faults(
        self, answer: Response, envelope: Envelope
    ) -> Response:
        """Apply the faults that affect the answer of completed work."""
        if self.faults.current.late_ms:
            await trio.sleep(to_s(self.faults.current.late_ms))
        self.faults.drop_answer_if_drawn()
        if self.faults.draw("garbage"):
            return self._corrupt_answer(answer)
        if self.faults.draw("doubled"):
            body = answer.body()
            return Response(
                None, answer.status, answer.headers, raw=body + b"\n" + body
            )
        return answer

    def _corrupt_answer(self, answer: Response) -> Response:
        if self.faults.current.garbage_form is Garbage.BYTES:
            return Response(None, raw=b"\x00garbage{")
        return Response({**answer.value, "run_id": "another-run"}, answer.status)

    def record_ended(self, key: Any, units: dict[str, float]) -> None:
        """Store the units of an ended call, to answer a late cancellation."""
        self._ended[key] = units
        if len(self._ended) > MAX_ENDED_CALLS:
            self._ended.popitem(last=False)

    def ended_units(self, key: Any) -> dict[str, float] | None:
        """Return the units of an ended call, or None if it is unknown."""
        return self._ended.get(key)

    async def crash_and_wait(self) -> None:
        """Crash without returning to the caller."""
        self.crash()
        await trio.sleep_forever()

    async def run(self) -> None:
        """Register in the instance list and again when `leaving` changes."""
        if self.settings.instance_list_url is None:
            await trio.sleep_forever()
        registered_state = None
        while True:
            state = "leaving" if self.faults.current.leaving else "live"
            if state != registered_state and await self._register(state):
                registered_state = state
            await trio.sleep(REGISTRATION_INTERVAL_S / 4)

    async def drain(self) -> None:
        """Mark the target as leaving and wait for its work, at most `drain_ms`."""
        self.faults.change({"leaving": True})
        with trio.move_on_after(to_s(self.settings.drain_ms)):
            while self.counts() != (0, 0):
                await trio.sleep(DRAIN_POLL_S)
            await trio.sleep(DRAIN_POLL_S)

    async def leave(self) -> None:
        """Delete the record in the instance list, unless the target has crashed."""
        self.work_log.close()
        if self.settings.instance_list_url is None or self.faults.current.crash:
            return
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await self._call_instance_list("DELETE", b"")

    async def _register(self, state: str) -> bool:
        record = {
            "id": self.settings.id,
            "incarnation": self.incarnation,
            "role": "target",
            "pool": self.settings.pool,
            "kind": self.role_kind,
            "data_centre": self.settings.data_centre,
            "region": self.settings.region,
            "url": self.url,
            "inner_host": None,
            "inner_port": None,
            "state": state,
        }
        return await self._call_instance_list("PUT", msgspec.json.encode(record))

    async def _call_instance_list(self, method: str, body: bytes) -> bool:
        url = f"{self.settings.instance_list_url}/v1/instances/{self.settings.id}"
        headers = {"content-type": "application/json"}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(method, url, headers=headers, content=body)
            return answer.status == 200
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return False

    async def _show_load(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        return refusal or Response(self.target_report())
