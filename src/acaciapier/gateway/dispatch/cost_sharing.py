"""Costs that dispatchers learned, as they hand them on to their successors."""

from collections.abc import Callable, Mapping, Sequence

from ...core.clock import Clock, to_s
from ...wire.messages.gateway import CostEntry, ServiceCosts
from .slots import SlotAllocator

COSTS_PERIOD_MS = 1_000.0
"""Interval at which the costs that heartbeats carry are computed again."""

RECENT_COSTS_MS = 10_000.0
"""Time after the last finished request for which heartbeats carry a service's costs:
its dispatcher may be another one meanwhile."""

MAX_SHARED_SERVICES = 8
"""Services whose costs heartbeats carry."""


class CostSharing:
    """Hands learned costs on by heartbeats, so that the next dispatcher has them.

    Parameters
    ----------
    allocators : mapping of str to SlotAllocator
        The services that this instance dispatches.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(
        self,
        allocators: Mapping[str, SlotAllocator],
        clock: Clock,
        log: Callable[..., None],
    ):
        self._allocators = allocators
        self._clock = clock
        self._log = log
        self._shared: tuple[ServiceCosts, ...] = ()
        self._shared_s = -to_s(COSTS_PERIOD_MS)
        self._uneven_services: set[str] = set()
        self._known: dict[str, tuple[CostEntry, ...]] = {}
        """Costs that other dispatchers learned, by service."""

    def shared(self) -> tuple[ServiceCosts, ...]:
        """Return the costs that were learned here lately, for heartbeats."""
        now_s = self._clock.monotonic_s()
        if now_s - self._shared_s >= to_s(COSTS_PERIOD_MS):
            self._shared_s = now_s
            oldest_s = now_s - to_s(RECENT_COSTS_MS)
            costs = (
                ServiceCosts(service, allocator.placement.costs.shared())
                for service, allocator in self._allocators.items()
                if allocator.placement.costs.updated_s >= oldest_s
            )
            learned = [one for one in costs if one.entries]
            self._shared = tuple(learned[:MAX_SHARED_SERVICES])
            self._log_uneven_services()
        return self._shared

    def merge(self, costs: Sequence[ServiceCosts]) -> None:
        """Keep what another dispatcher learned, to start with it as its successor."""
        for learned in costs[:MAX_SHARED_SERVICES]:
            self._known[learned.service] = learned.entries

    def known(self, service: str) -> tuple[CostEntry, ...]:
        """Return what another dispatcher learned of a service."""
        return self._known.get(service, ())

    def pop(self, service: str) -> tuple[CostEntry, ...]:
        """Return what another dispatcher learned of a service, and forget it."""
        return self._known.pop(service, ())

    def _log_uneven_services(self) -> None:
        """Log which services' costs are uneven now, or alike again."""
        for service, allocator in self._allocators.items():
            uneven = allocator.placement.costs.uneven
            if uneven != (service in self._uneven_services):
                self._uneven_services ^= {service}
                self._log(
                    "request_costs",
                    service=service,
                    uneven=uneven,
                    average_ms=round(allocator.average_ms, 1),
                )
