"""What an instance knows of the configuration and of the workers.

Revisions of the platform's store are one counter, so knowledge from the store
and from other instances is ordered by it and never goes back.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec
import xxhash

from ..core.clock import Clock
from .models import GatewayConfiguration, ServiceName, Worker, WorkerId, WorkerState

LAPSE_GRACE_MS = 1_700.0
"""Entries that lapsed in an outage of the store are back within 2,000 ms of its
return; less the time in which the last request sent still arrives."""


class Catalogue:
    """The newest known configuration and workers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    decode_configuration : callable
        Decodes the stored form of a configuration; raises `ValueError`.
    on_change : callable, optional
        Told what changed, as a kind and fields for the log.
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
        self._lapsed: dict[WorkerId, float] = {}

    @property
    def complete(self) -> bool:
        """Whether a configuration and workers are known."""
        return self.configuration is not None and self.workers_revision > 0

    def workers_of(self, service: ServiceName) -> tuple[Worker, ...]:
        """Return the workers of a service that take work."""
        self._drop_lapsed()
        return self._by_service.get(service, ())

    def locate(self, address: str) -> str:
        """Return the data centre of the worker at an address, empty if unknown."""
        return self._data_centres.get(address, "")

    def usable(self, worker: Worker) -> bool:
        """Return whether this incarnation of a worker still takes work."""
        known = self.workers.get(worker.id)
        return (
            known is not None
            and known.key == worker.key
            and known.state is WorkerState.READY
        )

    def offer_configuration(self, revision: int, source: bytes, origin: str) -> bool:
        """Take over a stored configuration if it is newer than the known one."""
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

    def offer_workers(
        self,
        revision: int,
        workers: Iterable[Worker],
        origin: str,
        after_outage: bool = False,
    ) -> bool:
        """Take over the full list of workers if it is newer than the known one."""
        if revision <= self.workers_revision:
            return False
        fresh = {WorkerId(worker.id): worker for worker in workers}
        missing = [one for one in self.workers.values() if one.id not in fresh]
        for worker in missing:
            self._remove(worker, after_outage, origin, revision)
        for worker in fresh.values():
            self._put(worker, origin, revision)
        self._settle(revision)
        return True

    def apply_worker_changes(
        self,
        revision: int,
        changes: Iterable[tuple[WorkerId, Worker | None]],
        origin: str,
        after_outage: bool = False,
    ) -> None:
        """Apply changes up to `revision`; None stands for a removed entry."""
        for worker_id, worker in changes:
            if worker is not None:
                self._put(worker, origin, revision)
            elif worker_id in self.workers:
                self._remove(self.workers[worker_id], after_outage, origin, revision)
        self._settle(max(revision, self.workers_revision))

    def note_leaving(self, worker: Worker, origin: str) -> None:
        """Stop using a worker that said itself that it leaves."""
        if self.usable(worker):
            leaving = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
            self._put(leaving, origin, self.workers_revision)
            self._settle(self.workers_revision)

    def _put(self, worker: Worker, origin: str, revision: int) -> None:
        known = self.workers.get(WorkerId(worker.id))
        self._lapsed.pop(WorkerId(worker.id), None)
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
            if worker_id not in self._lapsed:
                self._lapsed[worker_id] = self._clock.monotonic_s()
            return
        self._lapsed.pop(worker_id, None)
        del self.workers[worker_id]
        self._on_change(
            "worker_gone",
            worker=worker.id,
            service=worker.service,
            revision=revision,
            origin=origin,
        )

    def _drop_lapsed(self) -> None:
        if not self._lapsed:
            return
        oldest_s = self._clock.monotonic_s() - LAPSE_GRACE_MS / 1_000.0
        expired = [one for one, since_s in self._lapsed.items() if since_s <= oldest_s]
        for worker_id in expired:
            self._remove(self.workers[worker_id], False, "lapse", self.workers_revision)
        if expired:
            self._settle(self.workers_revision)

    def _settle(self, revision: int) -> None:
        """Recompute what is derived from the table of workers."""
        self.workers_revision = revision
        by_service: dict[ServiceName, list[Worker]] = {}
        for worker in self.workers.values():
            if worker.state is WorkerState.READY:
                by_service.setdefault(ServiceName(worker.service), []).append(worker)
        self._by_service = {
            service: tuple(sorted(workers, key=lambda one: one.id))
            for service, workers in by_service.items()
        }
        self._data_centres = {
            one.address: one.data_centre for one in self.workers.values()
        }
        self.workers_digest = _digest(self.workers)


def _digest(workers: Mapping[WorkerId, Worker]) -> int:
    """Return a hash by which instances compare their tables."""
    keys = sorted((one.key, one.state.value) for one in workers.values())
    return xxhash.xxh3_64_intdigest(repr(keys).encode())
