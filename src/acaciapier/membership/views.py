"""Inputs and notifications of membership: seeds, changes and statuses."""

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
    """A peer from the settings, used for joining."""

    instance: InstanceId
    address: PeerAddress


@dataclass(frozen=True)
class MembershipChange:
    """Records that changed the tables in one update."""

    members: tuple[MemberRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()


class Subscribers:
    """Handlers of changes; an exception in one does not affect the others."""

    def __init__(self):
        self._handlers: list[Callable[[MembershipChange], None]] = []

    def add(self, handler: Callable[[MembershipChange], None]) -> None:
        """Call `handler` on every later change."""
        self._handlers.append(handler)

    def notify(self, change: MembershipChange) -> None:
        """Call all handlers with `change`."""
        for handler in self._handlers:
            try:
                handler(change)
            except Exception:
                log.exception("a handler of membership changes failed")


def make_record(network: PeerNetwork, address: PeerAddress, role: str) -> MemberRecord:
    """Return the initial record of this instance."""
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
    """Return the successor of `status`, with the next number."""
    return MemberStatus(
        status.instance_id,
        status.incarnation,
        status.number + 1,
        configuration_number,
        digest,
    )
