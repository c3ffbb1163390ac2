"""What this package needs from the store, the peers and the membership."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from ..core.ids import DataCentreId, InstanceId, RegionId
from ..store import Purpose
from ..wire.messages.base import Message

PURPOSE = Purpose.CONFIGURATION
"""Purpose under which all calls of this package are counted."""


class StoredValue(Protocol):
    """An object as the object API answers it."""

    name: str
    version: int
    value: Any


class WatchedChange(Protocol):
    """One event of a watch."""

    object: StoredValue


class WatchedChanges(Protocol):
    """Answer to a watch."""

    revision: int
    events: Iterable[WatchedChange]


class Store(Protocol):
    """Client of the object API; see `acaciapier.store.ObjectStore`.

    Every call raises `StoreUnavailable` if there was no answer.
    """

    async def get(self, kind: str, name: str, *, purpose: Any) -> StoredValue | None:
        """Return an object, or None if it does not exist."""

    async def put(
        self, kind: str, name: str, value: Any, if_version: int | None, *, purpose: Any
    ) -> int:
        """Write conditionally; raise `VersionConflict` on another version."""

    async def delete(
        self, kind: str, name: str, if_version: int, *, purpose: Any
    ) -> int:
        """Delete an object."""

    async def list(self, kind: str, prefix: str = "", *, purpose: Any) -> Any:
        """Return the objects whose names start with `prefix`, as `.items`."""

    async def watch(
        self, kind: str, since: int, wait_ms: int, *, purpose: Any
    ) -> WatchedChanges:
        """Wait for changes after the revision `since`."""


MessageHandler = Callable[[Any, Message], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Calls to other instances over the inner protocol."""

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the answer; raise `PeerUnavailable` if none."""

    def register(self, message_type: type[Message], handler: MessageHandler) -> None:
        """Answer messages of a type."""


class Rumours(Protocol):
    """Messages that reach every instance with high probability."""

    def publish(self, message: Message) -> None:
        """Send a message to every instance, itself excluded."""

    def on_new(
        self, message_type: type[Message], handler: Callable[[Any], None]
    ) -> None:
        """Call `handler` with each message of a type, once."""


class Member(Protocol):
    """What the membership knows about a live instance."""

    instance: InstanceId
    configuration_number: int
    data_centre: DataCentreId
    region: RegionId


class MembershipView(Protocol):
    """The live instances that can run a configuration, this one included."""

    def members(self) -> Iterable[Member]:
        """Return the live instances."""
