"""Stand-in of the platform's lagging list of instances."""

from collections import deque
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from acaciapier.core.clock import to_s

from .book import CallBook
from .http import Request, Response
from .settings import InstanceListSettings
from .standin import Standin, build_standin

KIND = "instances"


class InstanceRecord(msgspec.Struct):
    """One instance as the list shows it."""

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
    """A change that becomes visible once it is old enough."""

    at_s: float
    id: str
    record: InstanceRecord | None


class InstanceList(Standin):
    """The list of instances; changes show after a lag, in their order."""

    def __init__(self, settings: InstanceListSettings):
        super().__init__(settings)
        self.book = CallBook()
        self._visible: dict[str, InstanceRecord] = {}
        self._pending: deque[PendingChange] = deque()
        self._revision = 0
        self.app.add("GET", "/v1/instances", self._list)
        self.app.add("PUT", "/v1/instances/*", self._put)
        self.app.add("DELETE", "/v1/instances/*", self._delete)

    def report(self) -> dict[str, Any]:
        """Return the counts of calls by verb."""
        return self.book.report()

    async def _list(self, request: Request) -> Response:
        self.book.count(KIND, "list")
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        self._show_aged()
        records = [self._visible[key] for key in sorted(self._visible)]
        return Response({"revision": self._revision, "instances": records})

    async def _put(self, request: Request) -> Response:
        self.book.count(KIND, "put")
        record = request.json(InstanceRecord)
        record.id = request.segments[2]
        return await self._change(request, record.id, record)

    async def _delete(self, request: Request) -> Response:
        self.book.count(KIND, "delete")
        return await self._change(request, request.segments[2], None)

    async def _change(
        self, request: Request, key: str, record: InstanceRecord | None
    ) -> Response:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        self._pending.append(PendingChange(trio.current_time(), key, record))
        self.faults.lose_answer()
        return Response({})

    def _show_aged(self) -> None:
        """Make the changes visible that are older than the lag."""
        lag_ms = self.faults.present.lag_ms
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
