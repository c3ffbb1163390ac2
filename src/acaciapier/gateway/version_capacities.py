"""Capacities of the software versions of the services that an instance dispatches."""

from ..core.clock import Clock
from .catalogue import Catalogue
from .dispatch.dispatcher import Dispatcher
from .models import ServiceName, SoftwareVersion
from .peers import Peers


class VersionCapacities:
    """What the dispatcher of this instance knows of the versions' capacities.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    peers : Peers
        The other instances.
    dispatcher : Dispatcher
        Dispatcher of this instance.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
    ):
        self._catalogue = catalogue
        self._peers = peers
        self._dispatcher = dispatcher
        self._clock = clock

    def of(self, service: ServiceName) -> dict[SoftwareVersion, float] | None:
        """Return the requests a second that versions with usable workers can take.

        None if another instance dispatches the service, or nothing was dispatched yet.
        """
        if self._peers.rank(service, True)[:1] != [self._peers.own]:
            return None
        allocator = self._dispatcher.allocators.get(service)
        if allocator is None:
            return None
        workers, now_s = self._catalogue.workers_of(service), self._clock.monotonic_s()
        return allocator.version_capacities(self._peers.own, workers, now_s)
