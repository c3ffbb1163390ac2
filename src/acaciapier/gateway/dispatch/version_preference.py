"""Which software version a service is kept to while earlier builds are running.

Gateways of early builds keep no records of streams. A stream that its caller resumes
there is requested from the dispatcher like a new one, at workers of any version. While
such gateways are running, the dispatcher grants workers of one version to requests that
name none.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from copy import copy
from dataclasses import dataclass, field, replace
from itertools import chain

from ...core.clock import to_s
from ...core.ids import InstanceId
from ...wire.messages.gateway import AcquireWorker
from ..catalogue import Catalogue
from ..models import RouteRule, ServiceName, SoftwareVersion, Worker
from ..routing import abandon_after_ms
from ..software_versions import UNKNOWN_VERSION
from .slot_requests import MAX_PLACEMENT_PARTS, SlotReservation
from .slots import PERMIT_TTL_MS, SlotAllocator

MAX_SLOTS_RATIO = 3.0
"""A version is preferred to one that has less than its slots divided by this. A change
has a price, since streams of the former version may still be resumed."""

MAX_ENDED_CALLS = 10_000
"""Maximum number of ended calls that are remembered for a service."""


class VersionPreference:
    """The preferred software version of a service."""

    def __init__(self):
        self.version: SoftwareVersion | None = None

    def update(self, slots: dict[SoftwareVersion, int]) -> SoftwareVersion | None:
        """Return the preferred version, given the slots of the ready workers.

        It is the one with the most slots, of several the first by name. It stays the
        preferred one while it has workers and no other has far more slots.
        """
        best = min(slots, key=lambda version: (-slots[version], version), default=None)
        if best is not None and (
            self.version not in slots
            or slots[best] > MAX_SLOTS_RATIO * slots[self.version]
        ):
            self.version = best
        return self.version


@dataclass(frozen=True, slots=True)
class EndedCall:
    """A call whose stream its caller may resume."""

    reservation: SlotReservation
    ended_s: float


@dataclass(eq=False)
class _ServiceState:
    preference: VersionPreference = field(default_factory=VersionPreference)
    ended: deque[EndedCall] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED_CALLS)
    )
    logged: SoftwareVersion | None = None
    ambiguous: set[SoftwareVersion] = field(default_factory=set)
    """Versions of unfinished streams that were logged last."""

    def remove_before(self, oldest_s: float) -> None:
        """Remove the calls that ended before a time."""
        while self.ended and self.ended[0].ended_s < oldest_s:
            self.ended.popleft()


class KeptVersions:
    """Keeps services to one software version while it matters.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration and workers.
    earlier_instances : callable
        Returns the listed instances that keep no records of streams.
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        earlier_instances: Callable[[], Collection[InstanceId]] = tuple,
        log: Callable[..., None] = lambda kind, **fields: None,
    ):
        self._catalogue = catalogue
        self._earlier_instances = earlier_instances
        self._log = log
        self._services: dict[str, _ServiceState] = {}

    def choose(
        self,
        owner: InstanceId,
        message: AcquireWorker,
        allocator: SlotAllocator,
        now_s: float,
    ) -> SoftwareVersion | None:
        """Return the version of the workers that a request may be granted.

        None if the request names one itself or may run at any. `UNKNOWN_VERSION` if an
        instance without records may resume a stream of one of several versions.
        """
        earlier = self._earlier_instances()
        if not earlier:
            self._end("no earlier build")
            return None
        if message.software_version is not None or message.any_version:
            return None
        routes = self._resumable_routes(message.service)
        if not routes:
            return None
        state = self._services.setdefault(message.service, _ServiceState())
        workers = self._catalogue.workers_of(ServiceName(message.service))
        version = self._update(message.service, state, allocator, workers, earlier)
        if owner not in earlier:
            return version
        unfinished = self._unfinished_versions(state, message, allocator, routes, now_s)
        if len(unfinished) > 1:
            if unfinished != state.ambiguous:
                self._log(
                    "stream_version_ambiguous",
                    service=message.service,
                    instance=owner,
                    software_versions=sorted(unfinished),
                )
            state.ambiguous = unfinished
            return UNKNOWN_VERSION
        return unfinished.pop() if unfinished else version

    def peek(
        self,
        owner: InstanceId,
        message: AcquireWorker,
        allocator: SlotAllocator,
        now_s: float,
    ) -> SoftwareVersion | None:
        """Return what `choose` returns; change and log nothing."""
        view = KeptVersions(self._catalogue, self._earlier_instances)
        for service, state in self._services.items():
            view._services[service] = replace(
                state,
                preference=copy(state.preference),
                ended=state.ended.copy(),
                ambiguous=set(state.ambiguous),
            )
        return view.choose(owner, message, allocator, now_s)

    def record_end(
        self, service: str, reservations: Iterable[SlotReservation], now_s: float
    ) -> None:
        """Record calls that have ended, or whose instance went down.

        A complete answer may not have reached its caller completely.
        """
        state = self._services.get(service)
        if state is not None:
            state.ended.extend(EndedCall(one, now_s) for one in reservations)

    def _update(
        self,
        service: str,
        state: _ServiceState,
        allocator: SlotAllocator,
        workers: Sequence[Worker],
        earlier: Collection[InstanceId],
    ) -> SoftwareVersion | None:
        """Update the preferred version of a service, and log what changes."""
        slots: dict[SoftwareVersion, int] = {}
        for worker in workers:
            version = worker.software_version
            slots[version] = slots.get(version, 0) + allocator.slots(worker)
        version = state.preference.update(slots)
        kept = version if len(slots) > 1 else None
        if kept is None:
            self._log_end(service, state, "one software version")
        elif kept != state.logged:
            self._log(
                "software_version_kept",
                service=service,
                software_version=kept,
                former=state.logged,
                slots=slots,
                earlier_builds=sorted(earlier),
            )
            state.logged = kept
        return version

    def _end(self, reason: str) -> None:
        for service, state in self._services.items():
            self._log_end(service, state, reason)
        self._services.clear()

    def _log_end(self, service: str, state: _ServiceState, reason: str) -> None:
        if state.logged is not None:
            self._log("software_version_kept_ended", service=service, reason=reason)
            state.logged = None

    def _unfinished_versions(
        self,
        state: _ServiceState,
        message: AcquireWorker,
        allocator: SlotAllocator,
        routes: Sequence[RouteRule],
        now_s: float,
    ) -> set[SoftwareVersion]:
        """Return the versions of the streams that a request may resume."""
        abandoned_ms = max(abandon_after_ms(one, one.timeout_ms) for one in routes)
        state.remove_before(now_s - to_s(abandoned_ms))
        ended = (call.reservation for call in state.ended)
        # The end of a call may have been reported to another dispatcher.
        timeout_ms = max(route.timeout_ms for route in routes)
        ended_until_s = now_s + to_s(PERMIT_TTL_MS - timeout_ms)
        running = (
            reservation
            for reservation in allocator.reservations
            if reservation.until_s > ended_until_s
        )
        versions = {
            self._version_of(reservation)
            for reservation in chain(ended, running)
            if _may_be_resumed(reservation, message)
        }
        return versions - {None}

    def _version_of(self, reservation: SlotReservation) -> SoftwareVersion | None:
        """Return the version of a slot's worker; None if it is not known."""
        if reservation.software_version is None:
            for worker in self._catalogue.workers.values():
                if worker.key == reservation.worker:
                    return worker.software_version
        return reservation.software_version

    def _resumable_routes(self, service: str) -> list[RouteRule]:
        """Return the routes to a service whose callers resume streams."""
        configuration = self._catalogue.configuration
        return [
            route
            for route in (configuration.routes if configuration is not None else ())
            if route.resumes_streams
            and any(name == service for name, _ in route.services)
        ]


def _may_be_resumed(reservation: SlotReservation, message: AcquireWorker) -> bool:
    """Return whether a request may continue what a slot was granted to.

    A stream is resumed with the prompt with which it was begun.
    """
    request = reservation.request
    if request is None:
        return True
    parts = message.parts[:MAX_PLACEMENT_PARTS]
    return not request.any_version and request.parts == parts
