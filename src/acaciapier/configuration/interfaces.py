"""Interfaces of the store, the peers, gossip and membership that this package uses."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from ..core.ids import DataCentreId, InstanceId, RegionId
from ..store import Purpose
from ..wire.messages.base import Message

PURPOSE = Purpose.CONFIGURATION
"""Purpose under which the store client counts the calls of this package."""


class StoredValue(Protocol):
    """An object as returned by the object API."""

    name: str
    version: int
    value: Any


class WatchEvent(Protocol):
    """One change of an object that a watch reports."""

    object: StoredValue


class WatchResult(Protocol):
    """Result of a watch call."""

    revision: int
    events: Iterable[WatchEvent]


class Store(Protocol):
    """Client of the object API; see `acaciapier.store.ObjectStore`.

    Every call raises `StoreUnavailable` if the store does not answer.
    """

    async def get(self, kind: str, name: str, *, purpose: Any) -> StoredValue | None:
        """Return an object, or None if it does not exist."""

    async def put(
        self, kind: str, name: str, value: Any, if_version: int | None, *, purpose: Any
    ) -> int:
        """Write an object and return its new version.

        Raises `VersionConflict` if its current version is not `if_version`.
        """

    async def delete(
        self, kind: str, name: str, if_version: int, *, purpose: Any
    ) -> int:
        """Delete an object; raise `VersionConflict` if its version differs."""

    async def list(self, kind: str, prefix: str = "", *, purpose: Any) -> Any:
        """Return the objects whose names start with `prefix`, as `.items`."""

    async def watch(
        self, kind: str, since: int, wait_ms: int, *, purpose: Any
    ) -> WatchResult:
        """Wait for changes after the revision `since`."""


MessageHandler = Callable[[Any, Message], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Calls to other instances over the protocol between instances."""

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the answer.

        Raises `PeerUnavailable` if the peer does not answer.
        """

    def register(self, message_type: type[Message], handler: MessageHandler) -> None:
        """Handle incoming messages of a type with `handler`."""


class Gossip(Protocol):
    """Broadcast by gossip: messages reach every instance with high probability."""

    def publish(self, message: Message) -> None:
        """Send a message to every other instance."""

    def on_new(
        self, message_type: type[Message], handler: Callable[[Any], None]
    ) -> None:
        """Call `handler` once for each distinct message of a type."""


class Member(Protocol):
    """What membership knows about a live instance."""

    instance: InstanceId
    configuration_number: int
    data_centre: DataCentreId
    region: RegionId


class MembershipView(Protocol):
    """The live instances that apply the configuration, including this one."""

    def members(self) -> Iterable[Member]:
        """Return the live instances, including this one."""
