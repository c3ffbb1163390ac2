"""What claims need from the inner protocol, the membership and the store."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from ..core.ids import InstanceId
from ..store import Listing, Purpose, StoredObject
from ..wire.messages import Message

Handler = Callable[[InstanceId, Any], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Calls between the system's instances."""

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return its answer; raises `PeerUnavailable`."""

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Let `handler` answer all messages of one type."""


class MembershipView(Protocol):
    """What this instance knows of the fleet."""

    def live_entries(self) -> Sequence[InstanceId]:
        """Return the entries that are neither gone nor leaving."""


class ClaimStore(Protocol):
    """The part of `ObjectStore` that claims use."""

    @property
    def reachable(self) -> bool:
        """Whether a call would be sent now."""

    @property
    def pause_ms(self) -> float:
        """Milliseconds until an unreachable store is tried again."""

    async def get(
        self, kind: str, name: str, *, purpose: Purpose
    ) -> StoredObject | None:
        """Return an object, or None."""

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        if_version: int | None,
        *,
        purpose: Purpose,
    ) -> int:
        """Write an object and return its new version."""

    async def delete(
        self, kind: str, name: str, if_version: int, *, purpose: Purpose
    ) -> int:
        """Delete an object."""

    async def list(self, kind: str, prefix: str = "", *, purpose: Purpose) -> Listing:
        """Return the objects whose names start with `prefix`."""
