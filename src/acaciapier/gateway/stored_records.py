"""Creates what an instance keeps in the store for those that start after it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.clock import Clock
from ..platform.store import PlatformStore
from .catalogue import Catalogue
from .dispatch.dispatcher import Dispatcher
from .earlier_builds import EarlierBuilds
from .models import PeerRecord
from .peers import Peers
from .serving_history import ServingHistory
from .settings import GatewaySettings
from .split_history import SplitHistory
from .stored_streams import StoredStreams
from .stream_records import StreamRecords
from .version_assignment import VersionAssignment
from .version_capacities import VersionCapacities


@dataclass(frozen=True)
class StoredRecords:
    """The records in the store by which streams are found after a kill of all."""

    history: ServingHistory
    splits: SplitHistory
    streams: StoredStreams

    @property
    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """What runs until the instance ends."""
        return [self.history.run, self.splits.run, self.streams.run]


def make_stored_records(
    store: PlatformStore,
    catalogue: Catalogue,
    streams: StreamRecords,
    assignment: VersionAssignment,
    peers: Peers,
    earlier_builds: EarlierBuilds,
    own: PeerRecord,
    settings: GatewaySettings,
    clock: Clock,
    jitter: Callable[[], float],
    log: Callable[..., None],
    is_current: Callable[[], bool],
    dispatcher: Dispatcher,
) -> StoredRecords:
    """Return the records of an instance; see the classes for the parameters."""
    history = ServingHistory(
        store,
        catalogue,
        peers,
        own.started_ms,
        clock,
        jitter,
        log,
        settings.first_start,
        is_current,
    )
    splits = SplitHistory(
        store,
        assignment,
        peers,
        earlier_builds,
        clock,
        jitter,
        log,
        history.nothing_before,
        is_current,
        VersionCapacities(catalogue, peers, dispatcher, clock).of,
    )
    stored_streams = StoredStreams(
        store,
        streams,
        peers,
        own.instance,
        clock,
        jitter,
        log,
        settings.store.writes_per_s,
    )
    return StoredRecords(history, splits, stored_streams)
