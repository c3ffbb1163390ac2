"""Keeps the peer addresses of the network up to date."""

from collections.abc import Mapping, Sequence

from ..core.ids import InstanceId
from ..wire import PeerAddress, PeerNetwork
from ..wire.messages.membership import MemberRecord


class AddressUpdater:
    """Passes the addresses of peers to the network; skips those that are unchanged.

    Parameters
    ----------
    network : PeerNetwork
        Receives the addresses.
    """

    def __init__(self, network: PeerNetwork):
        self._network = network
        self._known: dict[InstanceId, tuple[str, int]] = {}

    def replace_all(self, addresses: Mapping[InstanceId, tuple[str, int]]) -> None:
        """Replace all addresses."""
        self._known = dict(addresses)
        self._network.set_addresses(self._known)

    def add(self, records: Sequence[MemberRecord]) -> None:
        """Add the addresses in `records` that are new or have changed."""
        changed = {
            InstanceId(record.instance_id): PeerAddress(record.host, record.port)
            for record in records
            if self._known.get(record.instance_id) != (record.host, record.port)
        }
        if changed:
            self._known |= changed
            self._network.add_addresses(changed)
