"""The base of all targets: identity, load reports, refusals and registration."""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import httpcore
import msgspec
import trio

from acaciapier.core.clock import to_ms, to_s

from .book import WorkBook
from .faults import Garbage
from .http import Request, Response, error
from .settings import TargetSettings
from .standin import Standin

REGISTER_AGAIN_S = 1.0
LEAVE_TIMEOUT_S = 1.0
DRAIN_POLL_S = 0.02
KEPT_ENDED_CALLS = 4_096


class Envelope(msgspec.Struct):
    """The envelope around every call of a target."""

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
        """Return what identifies this call: run, stage and attempt."""
        return (self.run_id, self.stage, self.attempt)


class Load(msgspec.Struct):
    """A load report; `age_ms` is how long ago it was taken."""

    running: int
    queued: int
    slots: int
    age_ms: float


class TargetReport(msgspec.Struct):
    """What a target says about itself in each answer."""

    id: str
    incarnation: int
    leaving: bool
    load: Load


@dataclass
class LoadReporter:
    """Keeps a load report that is renewed no sooner than after a lag."""

    lag_s: float
    slots: int
    taken_s: float = float("-inf")
    running: int = 0
    queued: int = 0

    def observe(self, running: int, queued: int) -> Load:
        """Take a new report if the present one is old enough, and return it."""
        now_s = trio.current_time()
        if now_s - self.taken_s >= self.lag_s:
            self.taken_s = now_s
            self.running = running
            self.queued = queued
        age_ms = to_ms(now_s - self.taken_s)
        return Load(self.running, self.queued, self.slots, age_ms)


class Target(Standin):
    """A stand-in that runs work, with a book of what it ran."""

    role_kind = "target"

    def __init__(self, settings: TargetSettings):
        super().__init__(settings)
        self.book = WorkBook(settings.book_path)
        self.incarnation = int(time.time() * 1_000)
        self._reporter = LoadReporter(to_s(settings.load_lag_ms), settings.slots)
        self._ended: OrderedDict[Any, dict[str, float]] = OrderedDict()
        self.app.add("GET", "/v1/load", self._show_load)

    def counts(self) -> tuple[int, int]:
        """Return how many calls run and how many wait."""
        raise NotImplementedError

    def report(self) -> dict[str, Any]:
        """Return the book of work."""
        return self.book.report()

    def target_report(self) -> TargetReport:
        """Return what this target says about itself."""
        load = self._reporter.observe(*self.counts())
        leaving = self.faults.present.leaving
        return TargetReport(self.settings.id, self.incarnation, leaving, load)

    def refuse(self, cause: str) -> Response:
        """Return a refusal that states that no work ran."""
        self.book.refused[cause] += 1
        return error(
            503,
            cause,
            not_run=True,
            cause=cause,
            retry_after_ms=self.settings.retry_after_ms,
            target=self.target_report(),
        )

    def failure(self, name: str, units: dict[str, float]) -> Response:
        """Return a failure after which the work may have run."""
        target = self.target_report()
        return error(500, name, not_run=False, units=units, target=target)

    def refusal_at_door(self, envelope: Envelope) -> Response | None:
        """Return the refusal of a call that cannot be taken now, or None."""
        if self.faults.present.leaving:
            return self.refuse("leaving")
        if self.faults.draw("refuse"):
            return self.refuse("overload")
        if envelope.deadline_ms is not None and envelope.deadline_ms <= 0:
            return self.refuse("deadline")
        return None

    async def disturbed_answer(self, answer: Response, envelope: Envelope) -> Response:
        """Apply the faults that befall an answer after the work."""
        if self.faults.present.late_ms:
            await trio.sleep(to_s(self.faults.present.late_ms))
        self.faults.lose_answer()
        if self.faults.draw("garbage"):
            return self._garbage(answer)
        if self.faults.draw("doubled"):
            body = answer.body()
            return Response(
                None, answer.status, answer.headers, raw=body + b"\n" + body
            )
        return answer

    def _garbage(self, answer: Response) -> Response:
        if self.faults.present.garbage_form is Garbage.BYTES:
            return Response(None, raw=b"\x00garbage{")
        return Response({**answer.value, "run_id": "another-run"}, answer.status)

    def remember_ended(self, key: Any, units: dict[str, float]) -> None:
        """Keep the units of an ended call, for a cancellation that comes late."""
        self._ended[key] = units
        if len(self._ended) > KEPT_ENDED_CALLS:
            self._ended.popitem(last=False)

    def ended_units(self, key: Any) -> dict[str, float] | None:
        """Return the units of a call that has ended, or None if it is unknown."""
        return self._ended.get(key)

    async def crash_and_wait(self) -> None:
        """Crash, and never return to the caller."""
        self.crash()
        await trio.sleep_forever()

    async def run(self) -> None:
        """Register at the list of instances and follow changes of leaving."""
        if self.settings.instance_list_url is None:
            await trio.sleep_forever()
        listed = None
        while True:
            state = "leaving" if self.faults.present.leaving else "live"
            if state != listed and await self._register(state):
                listed = state
            await trio.sleep(REGISTER_AGAIN_S / 4)

    async def drain(self) -> None:
        """Leave, and wait until no work runs or waits, for a bounded time."""
        self.faults.change({"leaving": True})
        with trio.move_on_after(to_s(self.settings.drain_ms)):
            while self.counts() != (0, 0):
                await trio.sleep(DRAIN_POLL_S)
            await trio.sleep(DRAIN_POLL_S)

    async def leave(self) -> None:
        """Delete the record in the list of instances, unless after a crash."""
        self.book.close()
        if self.settings.instance_list_url is None or self.faults.present.crash:
            return
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await self._call_list("DELETE", b"")

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
        return await self._call_list("PUT", msgspec.json.encode(record))

    async def _call_list(self, method: str, body: bytes) -> bool:
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
        refusal = await self.faults.disturb(request)
        return refusal or Response(self.target_report())
