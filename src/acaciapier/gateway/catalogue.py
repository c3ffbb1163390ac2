"""Newest configuration and worker table that an instance knows.

Data from the store and from other instances is ordered by the store's position, which
is its term and its revision, and older data never replaces newer data. A store that was
restored shows a copy that is some seconds old. Therefore:

- configurations are ordered by their version first;
- a worker that has left or is draining stays so, and one that the copy lacks is kept,
  until the workers have had time to write their entries again.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from ..core.clock import Clock, to_s
from .evacuations import Evacuations
from .idle_timeouts import IdleTimeouts
from .models import (
    NO_POSITION,
    GatewayConfiguration,
    ServiceName,
    ServiceRule,
    StorePosition,
    Worker,
    WorkerId,
    WorkerKey,
    WorkerState,
)
from .routing import FormerRoutes
from .settings import DEFAULT_WORKER_HEARTBEAT_MS
from .software_versions import ServingVersions
from .worker_digest import with_version_of, worker_digest
from .worker_eligibility import Ineligibility, WorkerEligibility

EXPIRED_WORKER_GRACE_MS = 1_700.0
"""Workers whose entries expired during a store outage register again within 2,000 ms
of its end. The grace period is shorter by the time in which the last request sent still
arrives."""

EXPIRY_HEARTBEATS = 3
"""Heartbeats that a worker misses until its entry expires."""

RESTORE_MARGIN_MS = 1_400.0
"""Time in which the end of entries is seen here, and the second list is made."""

NO_WORKER = "no_worker"
"""Cause of a refusal if a service has no worker that could serve it later."""
MAX_REMEMBERED_WORKERS = 5_000
"""Number of workers that have left, or are leaving, which an instance remembers."""


class Catalogue:
    """Holds the newest known configuration and workers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    decode_configuration : callable
        Decodes the stored form of a configuration; raises `ValueError`.
    on_change : callable, optional
        Called on each change with an event name and its fields for the log.
    worker_heartbeat_ms : float, optional
        Period at which workers write their entries.
    evacuate : bool, optional
        Whether evacuations of data centres are followed.
    regions : mapping of str to str, optional
        Region of each data centre.
    """

    def __init__(
        self,
        clock: Clock,
        decode_configuration: Callable[[object], GatewayConfiguration],
        on_change: Callable[..., None] = lambda *args, **fields: None,
        worker_heartbeat_ms: float = DEFAULT_WORKER_HEARTBEAT_MS,
        evacuate: bool = False,
        regions: Mapping[str, str] | None = None,
    ):
        self.restore_window_ms = (
            EXPIRY_HEARTBEATS * worker_heartbeat_ms + RESTORE_MARGIN_MS
        )
        """Time in a new term in which the worker table may still show the copy: until
        the entries of ended workers have expired."""
        self.configuration: GatewayConfiguration | None = None
        self.configuration_position = NO_POSITION
        self.configuration_source = b""
        self.workers_position = NO_POSITION
        self.first_term = 0
        """First term of the store that was seen here."""
        self.workers_digest = 0
        self.workers: dict[WorkerId, Worker] = {}
        self.evacuations = Evacuations(
            clock, evacuate, self.restore_window_ms, on_change
        )
        self.eligibility = WorkerEligibility(self.evacuations, regions)
        self.serving = ServingVersions(clock)
        self.former_routes = FormerRoutes(clock)
        self.idle_timeouts = IdleTimeouts(clock)
        self._configuration_s: float | None = None
        self._workers_s: float | None = None
        """When a configuration, or workers, were last received."""
        self._clock = clock
        self._decode = decode_configuration
        self._on_change = on_change
        self._by_service: dict[ServiceName, tuple[Worker, ...]] = {}
        self._indexed_without: frozenset[str] = frozenset()
        """Data centres that were evacuated when the index was made."""
        self._data_centres: dict[str, str] = {}
        self._kept_until_s: dict[WorkerId, float] = {}
        """Until when workers are kept whose entries may be written again."""
        self._leaving: dict[WorkerKey, str] = {}
        """Addresses of workers that announced their shutdown in an answer, by the key
        of their incarnation; oldest first."""
        self._gone: dict[WorkerKey, str] = {}
        """Keys of incarnations whose entries were removed; oldest first."""
        self._restored_until_s = 0.0
        """End of the restore window of the current term."""
        self._unsettled = False
        """Whether no list was applied since the last restore window ended."""

    @property
    def complete(self) -> bool:
        """Whether a configuration and workers are known, and what is evacuated."""
        return (
            self.configuration is not None
            and self.workers_position > NO_POSITION
            and self.evacuations.settled
        )

    @property
    def configuration_age_ms(self) -> float | None:
        """Time since a configuration was last received, also one that was known."""
        return self._age_ms(self._configuration_s)

    @property
    def workers_age_ms(self) -> float | None:
        """Time since workers were last received."""
        return self._age_ms(self._workers_s)

    def _age_ms(self, since_s: float | None) -> float | None:
        if since_s is None:
            return None
        return (self._clock.monotonic_s() - since_s) * 1_000.0

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if none is known."""
        return self.configuration.version if self.configuration is not None else 0

    @property
    def services(self) -> Collection[ServiceName]:
        """Services of the configuration."""
        return self.configuration.services if self.configuration is not None else ()

    def rule(self, service: ServiceName) -> ServiceRule | None:
        """Return the rule of a service; None if the configuration lacks it."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(service)

    def workers_of(self, service: ServiceName) -> tuple[Worker, ...]:
        """Return the workers of a service that requests may use, sorted by id."""
        self._remove_expired()
        if self._indexed_without != self.evacuations.data_centres:
            self._update_indexes(self.workers_position)
        return self._by_service.get(service, ())

    def open_workers(self) -> list[Worker]:
        """Return the listed workers that may be connected to, also draining ones."""
        return list(filter(self.eligibility.is_open, self.workers.values()))

    def refusal_cause(
        self,
        service: str,
        software_version: str | None = None,
        allowed_regions: Collection[str] = (),
    ) -> str:
        """Return why a service has no worker that a request may use."""
        reasons = self.eligibility.explain(
            (worker for worker in self.workers.values() if worker.service == service),
            software_version,
            allowed_regions,
        ).values()
        for reason in (Ineligibility.EVACUATED, Ineligibility.OTHER_REGION):
            if reason in reasons:
                return reason.value
        return NO_WORKER

    def barred_cause(
        self, service: ServiceName, allowed_regions: Collection[str] = ()
    ) -> str | None:
        """Return why evacuations or regions leave a service no worker, if they do."""
        if not (self.evacuations.data_centres or allowed_regions):
            return None
        is_allowed = self.eligibility.is_allowed
        for worker in self.workers_of(service):
            if is_allowed(worker.data_centre, allowed_regions):
                return None
        cause = self.refusal_cause(service, allowed_regions=allowed_regions)
        return None if cause == NO_WORKER else cause

    def locate(self, address: str) -> str:
        """Return the data centre of the worker at `address`, or "" if unknown."""
        return self._data_centres.get(address, "")

    def usable(self, worker: Worker, allowed_regions: Collection[str] = ()) -> bool:
        """Return whether requests may still use this incarnation of a worker."""
        known = self.find(worker.key)
        if known is None:
            return False
        return self.eligibility.reason(known, None, allowed_regions) is None

    def ineligibility(
        self,
        worker: Worker,
        software_version: str | None = None,
        allowed_regions: Collection[str] = (),
    ) -> Ineligibility | None:
        """Return why a worker that was granted must not get a request now, if so."""
        known = self.find(worker.key) or worker
        return self.eligibility.reason(known, software_version, allowed_regions)

    def has_newer_configuration(self, version: int, position: StorePosition) -> bool:
        """Return whether a configuration is newer than the one in force."""
        return (version, position) > (self.version, self.configuration_position)

    def update_configuration(
        self, position: StorePosition, source: bytes, origin: str
    ) -> bool:
        """Replace the configuration if the given one is newer; return whether it was.

        `source` is the stored JSON form, and `origin` names the sender for the log.
        """
        self._configuration_s = self._clock.monotonic_s()
        if source == self.configuration_source:
            self.configuration_position = max(position, self.configuration_position)
            return False
        try:
            decoded = self._decode(msgspec.json.decode(source))
        except (ValueError, msgspec.MsgspecError) as error:
            self._on_change(
                "configuration_unreadable",
                term=position.term,
                revision=position.revision,
                origin=origin,
                error=str(error),
            )
            return False
        if not self.has_newer_configuration(decoded.version, position):
            self.idle_timeouts.replaced(decoded.limits.idle_timeout_ms)
            self._on_change(
                "configuration_outdated",
                version=decoded.version,
                in_force=self.version,
                term=position.term,
                revision=position.revision,
                origin=origin,
            )
            return False
        self.configuration_position = position
        if self.configuration is not None:
            self.former_routes.replace(self.configuration, decoded)
            self.idle_timeouts.replaced(self.configuration.limits.idle_timeout_ms)
        else:
            self.former_routes.begin(decoded)
        self.configuration = decoded
        self.configuration_source = source
        self._on_change(
            "configuration_in_force",
            version=decoded.version,
            term=position.term,
            revision=position.revision,
            origin=origin,
            routes=len(decoded.routes),
        )
        for field, value in decoded.ignored_fields:
            self._on_change("configuration_field_ignored", field=field, value=value)
        return True

    def update_workers(
        self,
        position: StorePosition,
        workers: Iterable[Worker],
        origin: str,
        after_outage: bool = False,
    ) -> bool:
        """Replace all workers if `position` is newer; return whether it was.

        With `after_outage`, ready workers that are missing from the list are kept for
        a grace period, since their entries may have expired during the outage.
        """
        self._begin_term(position)
        self._workers_s = self._clock.monotonic_s()
        is_known = position == self.workers_position and not self._unsettled
        if position < self.workers_position or is_known:
            self._add_versions(workers)
            return False
        restored = self._restored
        self._unsettled = restored
        listed = {WorkerId(worker.id): worker for worker in workers}
        missing = [
            worker for worker in self.workers.values() if worker.id not in listed
        ]
        for worker in missing:
            self._remove(worker, after_outage or restored, origin, position)
        for worker in listed.values():
            if not (restored and self._is_outdated(worker)):
                self._put(worker, origin, position)
        self._update_indexes(position)
        return True

    def apply_worker_changes(
        self,
        position: StorePosition,
        changes: Iterable[tuple[WorkerId, Worker | None]],
        origin: str,
        after_outage: bool = False,
    ) -> None:
        """Apply changes up to `position`; None marks a removed entry.

        Changes up to an earlier position than the known one are part of what is known,
        as it may come from a peer and the store's answer be old.
        """
        self._begin_term(position)
        self._workers_s = self._clock.monotonic_s()
        if position < self.workers_position:
            return
        for worker_id, worker in changes:
            if worker is not None:
                self._put(worker, origin, position)
            elif worker_id in self.workers:
                self._remove(self.workers[worker_id], after_outage, origin, position)
        self._update_indexes(position)

    def record_draining(self, worker: Worker, origin: str) -> None:
        """Mark a worker as draining until the store or a peer has newer data."""
        known = self.find(worker.key)
        if known is not None and known.state is WorkerState.READY:
            draining = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
            self._put(draining, origin, self.workers_position)
            self._update_indexes(self.workers_position)

    def record_leaving(self, key: WorkerKey, address: str, origin: str) -> bool:
        """Record that a worker announced its shutdown; return whether that is news.

        This incarnation is not used again, whatever the store or peers still list.
        `address` is empty if it is unknown.
        """
        if key in self._leaving and address in ("", self._leaving[key]):
            return False
        _remember(self._leaving, key, address)
        worker = self.find(key)
        if worker is not None and self.is_leaving(worker):
            self.record_draining(worker, origin)
        return True

    def find(self, key: WorkerKey) -> Worker | None:
        """Return an incarnation of a worker, if it is listed."""
        known = self.workers.get(WorkerId(key.rpartition("/")[0]))
        return known if known is not None and known.key == key else None

    def is_leaving(self, worker: Worker) -> bool:
        """Return whether a worker has announced its shutdown in an answer."""
        address = self._leaving.get(worker.key)
        if worker.started_ms:
            return address is not None
        # Without a start time, another incarnation is known by its address.
        return address == worker.address

    def _begin_term(self, position: StorePosition) -> None:
        """Start the restore window if `position` is the first one of a new term."""
        if position.term <= self.workers_position.term:
            return
        if self.workers_position == NO_POSITION:
            self.first_term = position.term
            return
        now_s = self._clock.monotonic_s()
        self._restored_until_s = now_s + to_s(self.restore_window_ms)
        self._on_change(
            "workers_restored",
            term=position.term,
            revision=position.revision,
            previous_term=self.workers_position.term,
            previous_revision=self.workers_position.revision,
        )

    @property
    def _restored(self) -> bool:
        """Whether the store may still list workers as they were in its copy."""
        return self._clock.monotonic_s() < self._restored_until_s

    def _is_outdated(self, worker: Worker) -> bool:
        """Return whether a restored entry is older than what is known of its worker."""
        known = self.workers.get(WorkerId(worker.id))
        if known is None:
            return worker.key in self._gone
        if worker.started_ms < known.started_ms:
            self._keep_for_now(WorkerId(worker.id))
            return True
        return worker.key == known.key and known.state is WorkerState.DRAINING

    def _put(self, worker: Worker, origin: str, position: StorePosition) -> None:
        worker_id = WorkerId(worker.id)
        known = self.workers.get(worker_id)
        self._kept_until_s.pop(worker_id, None)
        self._gone.pop(worker.key, None)
        if known is not None and known.key == worker.key:
            worker = with_version_of(worker, known)
        if worker.state is WorkerState.READY and self.is_leaving(worker):
            worker = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
        self.workers[worker_id] = worker
        if known is None or (known.state, known.key) != (worker.state, worker.key):
            self._on_change(
                "worker_" + worker.state.value,
                worker=worker.id,
                service=worker.service,
                software_version=worker.software_version,
                started_ms=worker.started_ms,
                term=position.term,
                revision=position.revision,
                origin=origin,
            )

    def _add_versions(self, workers: Iterable[Worker]) -> None:
        """Add the software versions that are missing for known incarnations."""
        for worker in workers:
            known = self.find(worker.key)
            if known is not None:
                self.workers[WorkerId(worker.id)] = with_version_of(known, worker)
        self._update_indexes(self.workers_position)

    def _remove(
        self, worker: Worker, may_return: bool, origin: str, position: StorePosition
    ) -> None:
        worker_id = WorkerId(worker.id)
        if may_return and worker.state is WorkerState.READY:
            self._keep_for_now(worker_id)
            return
        self._kept_until_s.pop(worker_id, None)
        del self.workers[worker_id]
        _remember(self._gone, worker.key, "")
        self._on_change(
            "worker_gone",
            worker=worker.id,
            service=worker.service,
            term=position.term,
            revision=position.revision,
            origin=origin,
        )

    def _keep_for_now(self, worker_id: WorkerId) -> None:
        """Keep a worker, if it is known, until its entry may no longer come back."""
        if worker_id in self.workers and worker_id not in self._kept_until_s:
            now_s = self._clock.monotonic_s()
            self._kept_until_s[worker_id] = now_s + to_s(EXPIRED_WORKER_GRACE_MS)

    def _remove_expired(self) -> None:
        if not self._kept_until_s:
            return
        now_s = self._clock.monotonic_s()
        expired = [
            worker_id
            for worker_id, until_s in self._kept_until_s.items()
            if until_s <= now_s
        ]
        for worker_id in expired:
            worker = self.workers[worker_id]
            self._remove(worker, False, "lapse", self.workers_position)
        if expired:
            self._update_indexes(self.workers_position)

    def _update_indexes(self, position: StorePosition) -> None:
        """Set the position and rebuild the indexes and digest of the worker table."""
        self.workers_position = position
        self._indexed_without = self.evacuations.data_centres
        by_service: dict[ServiceName, list[Worker]] = {}
        for worker in self.workers.values():
            if self.eligibility.reason(worker) is None:
                by_service.setdefault(ServiceName(worker.service), []).append(worker)
        self._by_service = {
            service: tuple(sorted(workers, key=lambda worker: worker.id))
            for service, workers in by_service.items()
        }
        self._data_centres = {
            worker.address: worker.data_centre for worker in self.workers.values()
        }
        self.serving.update(self.workers.values())
        self.workers_digest = worker_digest(self.workers)


def _remember(memory: dict[WorkerKey, str], key: WorkerKey, value: str) -> None:
    """Add an entry to a bounded memory and drop the oldest one if it is full."""
    memory[key] = value
    if len(memory) > MAX_REMEMBERED_WORKERS:
        del memory[next(iter(memory))]
