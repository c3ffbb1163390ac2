"""Where peers listen, as the network is told."""

from collections.abc import Mapping, Sequence

from ..core.ids import InstanceId
from ..wire import PeerAddress, PeerNetwork
from ..wire.messages.membership import MemberRecord


class AddressBook:
    """Passes addresses on to the network, and only those that are new.

    Parameters
    ----------
    network : PeerNetwork
        Network to tell.
    """

    def __init__(self, network: PeerNetwork):
        self._network = network
        self._known: dict[InstanceId, tuple[str, int]] = {}

    def replace(self, addresses: Mapping[InstanceId, tuple[str, int]]) -> None:
        """Replace all addresses."""
        self._known = dict(addresses)
        self._network.set_addresses(self._known)

    def note(self, records: Sequence[MemberRecord]) -> None:
        """Add the addresses in `records` that are not known yet."""
        moved = {
            InstanceId(record.instance_id): PeerAddress(record.host, record.port)
            for record in records
            if self._known.get(record.instance_id) != (record.host, record.port)
        }
        if moved:
            self._known |= moved
            self._network.add_addresses(moved)
