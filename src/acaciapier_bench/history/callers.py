"""Callers of a history: some patient, some that send again too early."""

import random
import time
from dataclasses import dataclass
from typing import Any

import trio

from acaciapier import AcaciapierError, RequestError, Session
from acaciapier.core.clock import SystemClock, to_s
from acaciapier.followers import Follower
from acaciapier.request_ids import make_request_id

from .records import CallerRecord

IMPATIENT_SHARE = 0.3
MAX_IMPATIENCE_MS = 600.0


@dataclass(frozen=True)
class PipelineUse:
    """How callers use one pipeline."""

    pipeline: str
    workspace: str
    token: str
    repeatable: bool


@dataclass(frozen=True)
class CallerOptions:
    """The load of a history."""

    urls: tuple[str, ...]
    uses: tuple[PipelineUse, ...]
    rate_per_s: float
    seconds: float
    deadline_ms: int


class Callers:
    """Sends requests and records what each sending received."""

    def __init__(self, options: CallerOptions, rng: random.Random):
        self.records: list[CallerRecord] = []
        self._options = options
        self._random = rng
        self._clock = SystemClock()

    async def run(self) -> None:
        """Send for the whole time and wait for the last final event."""
        options = self._options
        async with trio.open_nursery() as nursery:
            end_s = self._clock.monotonic_s() + options.seconds
            while self._clock.monotonic_s() < end_s:
                await trio.sleep(self._random.expovariate(options.rate_per_s))
                use = self._random.choice(options.uses)
                value = {"text": f"order {self._random.getrandbits(48)}"}
                request_id = make_request_id(self._clock, self._random)
                nursery.start_soon(self._send, use, request_id, value)
                if self._random.random() < IMPATIENT_SHARE:
                    nursery.start_soon(self._send_late, use, request_id, value)

    async def _send_late(self, use: PipelineUse, request_id: str, value: Any) -> None:
        await trio.sleep(to_s(self._random.uniform(0, MAX_IMPATIENCE_MS)))
        await self._send(use, request_id, value)

    async def _send(self, use: PipelineUse, request_id: str, value: Any) -> None:
        sent_ms = _now_ms()
        urls = list(self._options.urls)
        self._random.shuffle(urls)
        async with Session(urls, use.token, rng=self._random) as session:
            follower = session.follow(
                use.pipeline,
                value,
                deadline_ms=self._options.deadline_ms,
                repeatable=use.repeatable,
                request_id=request_id,
            )
            fields = await _follow(follower)
        for earlier_id in follower.superseded:
            self._record(use, earlier_id, value, sent_ms, {"outcome": "not_run"})
        self._record(use, follower.request_id, value, sent_ms, fields)

    def _record(
        self,
        use: PipelineUse,
        request_id: str,
        value: Any,
        sent_ms: float,
        fields: dict[str, Any],
    ) -> None:
        self.records.append(
            CallerRecord(
                request_id=request_id,
                workspace=use.workspace,
                pipeline=use.pipeline,
                input=value,
                repeatable=use.repeatable,
                sent_ms=sent_ms,
                ended_ms=_now_ms(),
                deadline_ms=self._options.deadline_ms,
                **fields,
            )
        )


async def _follow(follower: Follower) -> dict[str, Any]:
    """Return the fields of the record that tell how a sending ended."""
    text: list[str] = []
    try:
        async for part in follower.parts():
            if part.reset:
                text.clear()
            text.append(part.text)
        answer = follower.answer
    except RequestError as error:
        final = error.final
        return {
            "outcome": final.outcome.value,
            "cause": final.cause.value if final.cause else None,
            "retry_after_ms": final.retry_after_ms,
            "resets": follower.resets,
        }
    except AcaciapierError as error:
        return {"outcome": "done", "text": f"{type(error).__name__}: {error}"}
    return {
        "outcome": "done",
        "text": "".join(text),
        "value": answer.value,
        "count": answer.count,
        "resets": follower.resets,
    }


def _now_ms() -> float:
    return time.time() * 1000
