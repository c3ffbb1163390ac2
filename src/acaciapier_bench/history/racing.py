"""Operators that change the same objects at the same time."""

import random
import time
from dataclasses import dataclass
from typing import TypeVar

import httpcore
import msgspec
import trio

from acaciapier.admin.bodies import (
    AcceptedBody,
    ChangeBody,
    EditBody,
    ErrorBody,
    ObjectBody,
)

from ..deployment import Member
from ..plans import OPERATOR_TOKEN
from .operator_records import PatchAnswer, PatchOutcome, PatchRecord

CALL_TIMEOUT_S = 2.0
IMPATIENT_TIMEOUT_S = 0.03
IMPATIENT_SHARE = 0.15
AGAIN_SHARE = 0.2
WRONG_SHARE = 0.15
WRONG_VALUE = -1
MAX_SENDINGS = 8
MAX_PAUSE_S = 0.3
HEADERS = [("authorization", f"Bearer {OPERATOR_TOKEN}")]
CONTENT_TYPE = ("content-type", "application/json")
OUTCOMES = {
    409: PatchOutcome.CONFLICT,
    422: PatchOutcome.FINDINGS,
    429: PatchOutcome.UNAVAILABLE,
    503: PatchOutcome.UNAVAILABLE,
}
UNANSWERED = frozenset((PatchOutcome.LOST, PatchOutcome.UNAVAILABLE))

Body = TypeVar("Body", bound=msgspec.Struct)


@dataclass(frozen=True)
class SharedField:
    """A field that operators change, with the range of its values."""

    kind: str
    name: str
    field: str
    lowest: int
    highest: int


SHARED_FIELDS = (
    SharedField("workspace", "hotels", "rate_per_s", 100, 1_000),
    SharedField("workspace", "hotels", "burst", 400, 4_000),
    SharedField("pipeline", "quote", "deadline_ms", 3_000, 20_000),
)


class AdminCaller:
    """Calls administration instances; a call may be given up."""

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def call(
        self, member: Member, path: str, content: bytes | None, timeout_s: float
    ) -> httpcore.Response | None:
        """Return the answer; None if there was none in time."""
        with trio.move_on_after(timeout_s):
            try:
                return await self._pool.request(
                    "GET" if content is None else "POST",
                    member.url + path,
                    headers=[*HEADERS, CONTENT_TYPE],
                    content=content,
                )
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                return None
        return None

    async def get(self, member: Member, path: str, type_: type[Body]) -> Body | None:
        """Return what was read; None if there was no answer with it."""
        answer = await self.call(member, path, None, CALL_TIMEOUT_S)
        if answer is None or answer.status != 200:
            return None
        return msgspec.json.decode(answer.content, type=type_)


class RacingOperator:
    """Reads an object, patches it at the version read, and records the answers.

    Parameters
    ----------
    name : str
        Part of the patch ids.
    admins : list of Member
        The administration instances; each sending goes to any of them.
    rng : random.Random
        Source of objects, values, instances and pauses.
    """

    def __init__(self, name: str, admins: list[Member], rng: random.Random):
        self.records: list[PatchRecord] = []
        self._name = name
        self._admins = admins
        self._random = rng
        self._seen_number = 0
        self._caller = AdminCaller()

    async def run(self, seconds: float) -> None:
        """Patch until `seconds` are over; the last patch is sent to its end."""
        end_s = trio.current_time() + seconds
        while trio.current_time() < end_s:
            await self._pause()
            shared = self._random.choice(SHARED_FIELDS)
            path = f"/v1/objects/{shared.kind}/{shared.name}"
            member = self._random.choice(self._admins)
            found = await self._caller.get(member, path, ObjectBody)
            if found is not None:
                self._seen_number = max(self._seen_number, found.number)
                await self._patch(shared, found.version)
        await self._caller.aclose()

    async def _patch(self, shared: SharedField, version: int) -> None:
        value = self._random.randint(shared.lowest, shared.highest)
        if self._random.random() < WRONG_SHARE:
            value = WRONG_VALUE
        record = PatchRecord(
            patch_id=f"{self._name}-{len(self.records) + 1}",
            kind=shared.kind,
            name=shared.name,
            base_version=version,
            field=shared.field,
            value=value,
            answers=[],
        )
        self.records.append(record)
        for _ in range(MAX_SENDINGS):
            answer = await self._send(record)
            record.answers.append(answer)
            if answer.outcome in UNANSWERED:
                await self._pause()
            elif self._random.random() > AGAIN_SHARE:
                return

    async def _send(self, record: PatchRecord) -> PatchAnswer:
        member = self._random.choice(self._admins)
        impatient = self._random.random() < IMPATIENT_SHARE
        timeout_s = IMPATIENT_TIMEOUT_S if impatient else CALL_TIMEOUT_S
        content = msgspec.json.encode(_change_of(record, self._seen_number))
        sent_ms = _now_ms()
        answer = await self._caller.call(member, "/v1/changes", content, timeout_s)
        fields = self._read(answer)
        return PatchAnswer(member.name, sent_ms=sent_ms, ended_ms=_now_ms(), **fields)

    def _read(self, answer: httpcore.Response | None) -> dict:
        """Return the fields of the record that an answer fills."""
        if answer is None:
            return {"outcome": PatchOutcome.LOST, "may_have_landed": True}
        if answer.status == 200:
            body = msgspec.json.decode(answer.content, type=AcceptedBody)
            self._seen_number = max(self._seen_number, body.number)
            return {
                "outcome": PatchOutcome.ACCEPTED,
                "number": body.number,
                "version": body.versions[0].version,
            }
        outcome = OUTCOMES.get(answer.status, PatchOutcome.UNEXPECTED)
        if outcome is PatchOutcome.UNEXPECTED:
            text = answer.content.decode(errors="replace")
            return {"outcome": outcome, "message": f"{answer.status}: {text}"}
        body = msgspec.json.decode(answer.content, type=ErrorBody)
        self._seen_number = max(self._seen_number, body.at_least_number)
        return {"outcome": outcome, "may_have_landed": body.may_have_landed}

    async def _pause(self) -> None:
        await trio.sleep(self._random.uniform(0, MAX_PAUSE_S))


def _change_of(record: PatchRecord, seen_number: int) -> ChangeBody:
    operation = {"op": "replace", "path": f"/{record.field}", "value": record.value}
    edit = EditBody(
        kind=record.kind,
        name=record.name,
        base_version=record.base_version,
        operation="patch",
        operations=[operation],
    )
    return ChangeBody(record.patch_id, (edit,), seen_number)


def _now_ms() -> float:
    return time.time() * 1000
