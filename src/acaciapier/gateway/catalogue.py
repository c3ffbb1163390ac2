"""Newest configuration and worker table that an instance knows.

All revisions of the platform's store come from one counter. Data from the store and
from other instances is therefore ordered by revision, and older data never replaces
newer data.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec
import xxhash

from ..core.clock import Clock
from .models import GatewayConfiguration, ServiceName, Worker, WorkerId, WorkerState

EXPIRED_WORKER_GRACE_MS = 1_700.0
"""Workers whose entries expired during a store outage register again within 2,000 ms
of its end. The grace period is shorter by the time in which the last request sent still
arrives."""


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
    """

    def __init__(
        self,
        clock: Clock,
        decode_configuration: Callable[[object], GatewayConfiguration],
        on_change: Callable[..., None] = lambda *args, **fields: None,
    ):
        self.configuration: GatewayConfiguration | None = None
        self.configuration_revision = 0
        self.configuration_source = b""
        self.workers_revision = 0
        self.workers_digest = 0
        self.workers: dict[WorkerId, Worker] = {}
        self._clock = clock
        self._decode = decode_configuration
        self._on_change = on_change
        self._by_service: dict[ServiceName, tuple[Worker, ...]] = {}
        self._data_centres: dict[str, str] = {}
        self._expired_since_s: dict[WorkerId, float] = {}

    @property
    def complete(self) -> bool:
        """Whether a configuration and workers are known."""
        return self.configuration is not None and self.workers_revision > 0

    def workers_of(self, service: ServiceName) -> tuple[Worker, ...]:
        """Return the ready workers of a service, sorted by id."""
        self._remove_expired()
        return self._by_service.get(service, ())

    def locate(self, address: str) -> str:
        """Return the data centre of the worker at `address`, or "" if unknown."""
        return self._data_centres.get(address, "")

    def usable(self, worker: Worker) -> bool:
        """Return whether this incarnation of a worker is still listed as ready."""
        known = self.workers.get(worker.id)
        return (
            known is not None
            and known.key == worker.key
            and known.state is WorkerState.READY
        )

    def update_configuration(self, revision: int, source: bytes, origin: str) -> bool:
        """Replace the configuration if `revision` is newer; return whether it was.

        `source` is the stored JSON form, and `origin` names the sender for the log.
        """
        if revision <= self.configuration_revision:
            return False
        try:
            decoded = self._decode(msgspec.json.decode(source))
        except (ValueError, msgspec.MsgspecError) as error:
            self._on_change(
                "configuration_unreadable",
                revision=revision,
                origin=origin,
                error=str(error),
            )
            return False
        self.configuration = decoded
        self.configuration_revision = revision
        self.configuration_source = source
        self._on_change(
            "configuration_in_force",
            version=decoded.version,
            revision=revision,
            origin=origin,
            routes=len(decoded.routes),
        )
        return True

    def update_workers(
        self,
        revision: int,
        workers: Iterable[Worker],
        origin: str,
        after_outage: bool = False,
    ) -> bool:
        """Replace all workers if `revision` is newer; return whether it was.

        With `after_outage`, ready workers that are missing from the list are kept for
        a grace period, since their entries may have expired during the outage.
        """
        if revision <= self.workers_revision:
            return False
        listed = {WorkerId(worker.id): worker for worker in workers}
        missing = [
            worker for worker in self.workers.values() if worker.id not in listed
        ]
        for worker in missing:
            self._remove(worker, after_outage, origin, revision)
        for worker in listed.values():
            self._put(worker, origin, revision)
        self._update_indexes(revision)
        return True

    def apply_worker_changes(
        self,
        revision: int,
        changes: Iterable[tuple[WorkerId, Worker | None]],
        origin: str,
        after_outage: bool = False,
    ) -> None:
        """Apply changes up to `revision`; None marks a removed entry."""
        for worker_id, worker in changes:
            if worker is not None:
                self._put(worker, origin, revision)
            elif worker_id in self.workers:
                self._remove(self.workers[worker_id], after_outage, origin, revision)
        self._update_indexes(max(revision, self.workers_revision))

    def record_draining(self, worker: Worker, origin: str) -> None:
        """Mark a worker as draining after it announced its shutdown in an answer."""
        if self.usable(worker):
            leaving = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
            self._put(leaving, origin, self.workers_revision)
            self._update_indexes(self.workers_revision)

    def _put(self, worker: Worker, origin: str, revision: int) -> None:
        known = self.workers.get(WorkerId(worker.id))
        self._expired_since_s.pop(WorkerId(worker.id), None)
        self.workers[WorkerId(worker.id)] = worker
        if known is None or (known.state, known.key) != (worker.state, worker.key):
            self._on_change(
                "worker_" + worker.state.value,
                worker=worker.id,
                service=worker.service,
                started_ms=worker.started_ms,
                revision=revision,
                origin=origin,
            )

    def _remove(
        self, worker: Worker, after_outage: bool, origin: str, revision: int
    ) -> None:
        worker_id = WorkerId(worker.id)
        if after_outage and worker.state is WorkerState.READY:
            if worker_id not in self._expired_since_s:
                self._expired_since_s[worker_id] = self._clock.monotonic_s()
            return
        self._expired_since_s.pop(worker_id, None)
        del self.workers[worker_id]
        self._on_change(
            "worker_gone",
            worker=worker.id,
            service=worker.service,
            revision=revision,
            origin=origin,
        )

    def _remove_expired(self) -> None:
        if not self._expired_since_s:
            return
        oldest_s = self._clock.monotonic_s() - EXPIRED_WORKER_GRACE_MS / 1_000.0
        expired = [
            worker_id
            for worker_id, since_s in self._expired_since_s.items()
            if since_s <= oldest_s
        ]
        for worker_id in expired:
            self._remove(self.workers[worker_id], False, "lapse", self.workers_revision)
        if expired:
            self._update_indexes(self.workers_revision)

    def _update_indexes(self, revision: int) -> None:
        """Set the revision and rebuild the indexes and digest of the worker table."""
        self.workers_revision = revision
        by_service: dict[ServiceName, list[Worker]] = {}
        for worker in self.workers.values():
            if worker.state is WorkerState.READY:
                by_service.setdefault(ServiceName(worker.service), []).append(worker)
        self._by_service = {
            service: tuple(sorted(workers, key=lambda worker: worker.id))
            for service, workers in by_service.items()
        }
        self._data_centres = {
            worker.address: worker.data_centre for worker in self.workers.values()
        }
        self.workers_digest = _digest(self.workers)


def _digest(workers: Mapping[WorkerId, Worker]) -> int:
    """Return a hash by which instances compare their worker tables."""
    keys = sorted((worker.key, worker.state.value) for worker in workers.values())
    return xxhash.xxh3_64_intdigest(repr(keys).encode())
