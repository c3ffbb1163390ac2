"""Values that membership takes and gives."""

from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from ..core.ids import InstanceId
from ..wire import PeerAddress, PeerNetwork
from ..wire.messages.membership import (
    MemberRecord,
    MemberState,
    MemberStatus,
    TargetRecord,
)

log = Logger(__name__)


@dataclass(frozen=True)
class Seed:
    """A peer known from the settings."""

    instance: InstanceId
    address: PeerAddress


@dataclass(frozen=True)
class MembershipChange:
    """What changed in the tables at once."""

    members: tuple[MemberRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()


class Subscribers:
    """Handlers that are told of changes; one that fails disturbs no other."""

    def __init__(self):
        self._handlers: list[Callable[[MembershipChange], None]] = []

    def add(self, handler: Callable[[MembershipChange], None]) -> None:
        """Tell `handler` of all later changes."""
        self._handlers.append(handler)

    def tell(self, change: MembershipChange) -> None:
        """Call all handlers."""
        for handler in self._handlers:
            try:
                handler(change)
            except Exception:
                log.exception("a subscriber to membership failed")


def make_record(network: PeerNetwork, address: PeerAddress, role: str) -> MemberRecord:
    """Return the first word of an instance about itself."""
    identity = network.identity
    return MemberRecord(
        identity.instance_id,
        identity.incarnation,
        0,
        MemberState.ALIVE,
        role,
        identity.data_centre,
        identity.region,
        *address,
    )


def next_status(
    status: MemberStatus, configuration_number: int, digest: int
) -> MemberStatus:
    """Return the status that follows `status`."""
    return MemberStatus(
        status.instance_id,
        status.incarnation,
        status.number + 1,
        configuration_number,
        digest,
    )
