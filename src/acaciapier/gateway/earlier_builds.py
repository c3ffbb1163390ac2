"""Which instances run earlier builds, which treat streams in another way."""

from collections.abc import Collection

from ..core.ids import InstanceId
from ..wire.messages.gateway import Heartbeat
from .models import PeerRecord
from .peers import Peers


class EarlierBuilds:
    """The listed instances that keep no records of streams, or know no splits.

    Parameters
    ----------
    peers : Peers
        The other instances.
    """

    def __init__(self, peers: Peers):
        self._peers = peers
        self._keepers: dict[InstanceId, PeerRecord] = {}
        """Those that have shown it, though they do not send that they keep records."""
        self._others: dict[InstanceId, PeerRecord] = {}
        self._without_splits: dict[InstanceId, PeerRecord] = {}

    def record_heartbeat(self, instance: InstanceId, heartbeat: Heartbeat) -> None:
        """Record what a heartbeat shows of its sender's build."""
        if heartbeat.splits is not None:
            self._without_splits.pop(instance, None)
        if heartbeat.keeps_stream_records:
            self._keepers.pop(instance, None)
            self._others.pop(instance, None)
            if heartbeat.splits is not None:
                return
        record = next(
            (one for one in self._peers.records if one.instance == instance), None
        )
        if record is None:
            return
        if heartbeat.splits is None:
            self._without_splits[instance] = record
        if heartbeat.keeps_stream_records:
            return
        # Builds that serve tunnels keep records; the first did not send that.
        if heartbeat.serves_tunnels:
            self._keepers[instance] = record
        if self._keepers.get(instance) == record:
            self._others.pop(instance, None)
        else:
            self._others[instance] = record

    def without_records(self) -> Collection[InstanceId]:
        """Return the listed instances that keep no records of streams.

        One that has sent no heartbeat yet is not among them.
        """
        if self._others:
            self._remove_unlisted(self._keepers, self._others)
        return self._others.keys()

    def without_splits(self) -> Collection[InstanceId]:
        """Return the listed instances that begin streams at any version."""
        if self._without_splits:
            self._remove_unlisted(self._without_splits)
        return self._without_splits.keys()

    def _remove_unlisted(self, *tables: dict[InstanceId, PeerRecord]) -> None:
        listed = {record.instance: record for record in self._peers.records}
        for known in tables:
            for instance, record in list(known.items()):
                if listed.get(instance) != record:
                    del known[instance]
