"""Orders to engines and their state, over HTTP."""

from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import httpcore
import msgspec
import trio

from ..core.clock import to_s
from .models import EngineRecord, EngineState, OrderAnswer, OrderStatus, Wanted

CALL_TIMEOUT_MS = 2_000.0
ACCEPTED = 202
CONFLICT = 409
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    msgspec.DecodeError,
    OSError,
)


class Engines(Protocol):
    """The engines that are to be controlled, and how to reach them."""

    def live(self) -> Iterable[EngineRecord]:
        """Return the engines that are listed as live.

        The same object comes back while the list has not changed.
        """

    def controllers(self) -> Collection[str]:
        """Return the names of the holders that are listed as live.

        The same object comes back while the list has not changed.
        """

    async def read_state(self, engine: EngineRecord) -> EngineState | None:
        """Return what an engine runs, or None if it cannot be reached."""

    async def order(
        self, engine: EngineRecord, fencing_number: int, wanted: Wanted
    ) -> OrderAnswer:
        """Tell an engine what to run; never raises for an unreachable engine."""


class _LoadBody(msgspec.Struct):
    state: EngineState


class _StaleBody(msgspec.Struct):
    highest: int = 0


class HttpEngines:
    """Reaches engines over HTTP and takes the list of them from a callable.

    Parameters
    ----------
    live : callable
        Returns the engines that are listed as live.
    controllers : callable
        Returns the names of the live holders.
    """

    def __init__(
        self,
        live: Callable[[], Iterable[EngineRecord]],
        controllers: Callable[[], Collection[str]],
    ):
        self.live = live
        self.controllers = controllers
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=4.0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read_state(self, engine: EngineRecord) -> EngineState | None:
        """Return what an engine runs, or None if it cannot be reached."""
        answer = await self._call("GET", f"{engine.url}/v1/load", b"")
        if answer is None or answer.status != 200:
            return None
        try:
            return msgspec.json.decode(answer.content, type=_LoadBody).state
        except msgspec.DecodeError:
            return None

    async def order(
        self, engine: EngineRecord, fencing_number: int, wanted: Wanted
    ) -> OrderAnswer:
        """Tell an engine what to run; never raises for an unreachable engine."""
        body = {"fencing_number": fencing_number, "wanted": wanted}
        content = msgspec.json.encode(body)
        answer = await self._call("POST", f"{engine.url}/v1/orders", content)
        if answer is not None and answer.status == ACCEPTED:
            return OrderAnswer(OrderStatus.ACCEPTED)
        if answer is not None and answer.status == CONFLICT:
            stale = msgspec.json.decode(answer.content, type=_StaleBody)
            return OrderAnswer(OrderStatus.STALE, stale.highest)
        return OrderAnswer(OrderStatus.UNREACHABLE)

    async def _call(
        self, method: str, url: str, content: bytes
    ) -> httpcore.Response | None:
        headers = {"content-type": "application/json"}
        with trio.move_on_after(to_s(CALL_TIMEOUT_MS)):
            try:
                return await self._pool.request(
                    method, url, headers=headers, content=content
                )
            except _FAILURES:
                return None
        return None
