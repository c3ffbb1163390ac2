"""HTTP client that sends orders to engines and reads their state."""

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
_CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    msgspec.DecodeError,
    OSError,
)


class Engines(Protocol):
    """Lists the engines and controllers, and calls the engines."""

    def live(self) -> Iterable[EngineRecord]:
        """Return the engines listed as live.

        Returns the same object until the list changes.
        """

    def controllers(self) -> Collection[str]:
        """Return the holder names of the controllers listed as live.

        Returns the same object until the list changes.
        """

    async def read_state(self, engine: EngineRecord) -> EngineState | None:
        """Return the state an engine reports, or None if the call fails."""

    async def order(
        self, engine: EngineRecord, fencing_number: int, wanted: Wanted
    ) -> OrderAnswer:
        """Order an engine to run `wanted`; does not raise if it is unreachable."""


class _LoadBody(msgspec.Struct):
    state: EngineState


class _StaleBody(msgspec.Struct):
    highest: int = 0


class HttpEngines:
    """Calls engines over HTTP; callables supply the lists.

    Parameters
    ----------
    live : callable
        Returns the engines listed as live.
    controllers : callable
        Returns the holder names of the live controllers.
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
        """Return the state an engine reports, or None if the call fails."""
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
        """Order an engine to run `wanted`; does not raise if it is unreachable."""
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
            except _CALL_ERRORS:
                return None
        return None
