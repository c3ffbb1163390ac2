"""Simulated instance list of the platform, which shows changes with a lag."""

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from acaciapier.core.clock import to_s

from .http import Request, Response
from .records import CallCounter
from .settings import InstanceListSettings
from .standin import Standin, build_standin

KIND = "instances"


class InstanceRecord(msgspec.Struct):
    """Entry of an instance in the list."""

    id: str
    incarnation: int
    role: str
    url: str
    pool: str | None = None
    kind: str | None = None
    data_centre: str = ""
    region: str = ""
    inner_host: str | None = None
    inner_port: int | None = None
    state: str = "live"


@dataclass(frozen=True)
class PendingChange:
    """A change that becomes visible once it is older than the lag."""

    at_s: float
    id: str
    record: InstanceRecord | None


class InstanceList(Standin):
    """The instance list; changes become visible in order, after a lag."""

    def __init__(self, settings: InstanceListSettings):
        super().__init__(settings)
        self.call_counter = CallCounter()
        self._visible: dict[str, InstanceRecord] = {}
        self._pending: deque[PendingChange] = deque()
        self._revision = 0
        self.app.add("GET", "/v1/instances", self._list)
        self.app.add("PUT", "/v1/instances/*", self._put)
        self.app.add("DELETE", "/v1/instances/*", self._delete)

    def report(self) -> dict[str, Any]:
        """Return the numbers of received and refused calls by verb."""
        return self.call_counter.report()

    async def _list(self, request: Request) -> Response:
        self.call_counter.count(KIND, "list")
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        self._apply_aged_changes()
        records = [self._visible[key] for key in sorted(self._visible)]
        return Response({"revision": self._revision, "instances": records})

    async def _put(self, request: Request) -> Response:
        self.call_counter.count(KIND, "put")
        record = request.json(InstanceRecord)
        record.id = request.segments[2]
        return await self._change(request, record.id, record)

    async def _delete(self, request: Request) -> Response:
        self.call_counter.count(KIND, "delete")
        return await self._change(request, request.segments[2], None)

    async def _change(
        self, request: Request, key: str, record: InstanceRecord | None
    ) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        self._pending.append(PendingChange(trio.current_time(), key, record))
        self.faults.drop_answer_if_drawn()
        return Response({})

    def _apply_aged_changes(self) -> None:
        """Apply the pending changes that are older than the lag."""
        lag_ms = self.faults.current.lag_ms
        if lag_ms is None:
            lag_ms = self.settings.lag_ms
        limit_s = trio.current_time() - to_s(lag_ms)
        while self._pending and self._pending[0].at_s <= limit_s:
            change = self._pending.popleft()
            self._revision += 1
            if change.record is None:
                self._visible.pop(change.id, None)
            else:
                self._visible[change.id] = change.record


@build_standin.register
def _(settings: InstanceListSettings) -> Standin:
    return InstanceList(settings)
