"""Interfaces to the peer network, the membership and the object store."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from ..core.ids import InstanceId
from ..store import Listing, Purpose, StoredObject
from ..wire.messages import Message

Handler = Callable[[InstanceId, Any], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Calls between instances of the fleet."""

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message to a peer and return its answer.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer in time.
        """

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler for all messages of one type."""


class MembershipView(Protocol):
    """View of the fleet's members."""

    def live_entries(self) -> Sequence[InstanceId]:
        """Return the entries that are alive and not leaving."""


class ClaimStore(Protocol):
    """The part of `ObjectStore` that claims use."""

    @property
    def reachable(self) -> bool:
        """Whether calls are currently sent to the store."""

    @property
    def pause_ms(self) -> float:
        """Time until the next attempt to reach an unreachable store."""

    async def get(
        self, kind: str, name: str, *, purpose: Purpose
    ) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

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
