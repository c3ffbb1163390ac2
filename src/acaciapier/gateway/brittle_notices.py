"""Which workers say that they are brittle, and how many rejections they survive."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..wire.messages.gateway import BrittleWorkerEntry
from .models import ResponseMetadata, Worker, WorkerKey
from .worker_rooms import BEFORE_ALL_S

MAX_WORKERS = 2_000
"""Number of workers that are remembered; the oldest are forgotten first."""


@dataclass(eq=False)
class BrittleNotice:
    """What a worker's answers say of how many rejections a second it survives."""

    rejections: int
    named_s: float
    """When an answer last said so."""
    since_s: float
    """When one first said so."""


class BrittleNotices:
    """Records which workers are brittle.

    Answers overtake one another. A lower number therefore applies at once, but only the
    answer to a request that was sent after a worker had last advertised that it is
    brittle may raise the number or end the notice. The workers of a service are brittle
    at the same time, so a worker that has not answered since counts as brittle, too.

    Parameters
    ----------
    log : callable
        Writes a log event, given as a kind and fields.
    """

    def __init__(self, log: Callable[..., None] = lambda kind, **fields: None):
        self._log = log
        self._notices: dict[WorkerKey, BrittleNotice] = {}
        self._services: dict[str, BrittleNotice] = {}
        """Latest notice of any worker of a service."""
        self._ended_s: dict[WorkerKey, float] = {}
        """When the latest request was sent whose answer had no notice."""

    def observe(
        self,
        worker: Worker,
        response: ResponseMetadata,
        now_s: float,
        sent_s: float | None = None,
    ) -> None:
        """Record what an answer says; see `WorkerLimits.observe`."""
        for value in response.malformed_brittle:
            self._log("worker_brittle_ignored", worker=worker.id, value=value)
        if response.brittle_rejections is not None:
            asked_s = BEFORE_ALL_S if sent_s is None else sent_s
            rejections = response.brittle_rejections
            self.record(
                worker.service, worker.key, rejections, now_s, asked_s, "answer"
            )
        elif sent_s is not None and not response.malformed_brittle:
            self.record_none(worker.service, worker.key, sent_s, "answer")

    def record(
        self,
        service: str,
        key: str,
        rejections: int,
        named_s: float,
        sent_s: float,
        origin: str,
    ) -> None:
        """Record that an answer to a request sent at `sent_s` named a number."""
        key = WorkerKey(key)
        known = self._notices.get(key)
        if known is None:
            if named_s <= self._ended_s.get(key, BEFORE_ALL_S):
                return
            known = BrittleNotice(rejections, named_s, named_s)
            put_bounded(self._notices, key, known)
            self._log_named(key, rejections, origin)
        lowers = rejections < known.rejections and named_s >= known.named_s
        raises = rejections > known.rejections and sent_s > known.named_s
        if lowers or raises:
            known.rejections = rejections
            self._log_named(key, rejections, origin)
        known.named_s = max(known.named_s, named_s)
        shared = self._services.get(service)
        if shared is None:
            shared = BrittleNotice(known.rejections, named_s, named_s)
            self._services[service] = shared
        shared.rejections = min(shared.rejections, known.rejections)
        shared.named_s = max(shared.named_s, named_s)

    def record_none(self, service: str, key: str, sent_s: float, origin: str) -> None:
        """Record that an answer to a request sent at `sent_s` named no number."""
        key = WorkerKey(key)
        shared = self._services.get(service)
        known = self._notices.get(key)
        if known is not None and sent_s > known.named_s:
            del self._notices[key]
            self._end(key, origin)
        if shared is None or key in self._notices:
            return
        put_bounded(
            self._ended_s, key, max(sent_s, self._ended_s.get(key, BEFORE_ALL_S))
        )
        if sent_s > shared.named_s:
            del self._services[service]
            self._service_ended(service)

    def forget(self, key: str, origin: str) -> None:
        """Forget a notice that a dispatcher has seen end."""
        if self._notices.pop(WorkerKey(key), None) is not None:
            self._end(WorkerKey(key), origin)

    def _end(self, key: WorkerKey, origin: str) -> None:
        """Note that a worker is not brittle any more."""
        self._log("worker_brittle_ended", worker=key, origin=origin)

    def find(self, key: str) -> BrittleNotice | None:
        """Return the notice of a worker; None if it has given none."""
        return self._notices.get(WorkerKey(key))

    def named_by(self, workers: Iterable[Worker]) -> list[tuple[str, str, int]]:
        """Return service, id and rejections of the brittle workers."""
        return [
            (worker.service, worker.id, notice.rejections)
            for worker in workers
            if (notice := self.find(worker.key)) is not None
        ]

    def merge(
        self,
        peer: str,
        service: str,
        entries: Iterable[BrittleWorkerEntry],
        now_s: float,
    ) -> None:
        """Record the notices that a peer knows."""
        for entry in entries:
            named_s = now_s - max(0.0, entry.age_ms) / 1_000.0
            self.record(
                service,
                entry.worker,
                entry.rejections,
                named_s,
                BEFORE_ALL_S,
                f"peer {peer}",
            )

    def entries(
        self, workers: Iterable[Worker], now_s: float
    ) -> tuple[BrittleWorkerEntry, ...]:
        """Return the notices of workers, for a message to a peer."""
        if not self._notices:
            return ()
        return tuple(
            BrittleWorkerEntry(
                worker.key, notice.rejections, (now_s - notice.named_s) * 1_000.0
            )
            for worker in workers
            if (notice := self.find(worker.key)) is not None
        )

    def rejections(self, worker: Worker) -> int | None:
        """Return the rejections a second that a worker survives; None if sound."""
        known = self._notices.get(worker.key)
        if known is not None:
            return known.rejections
        shared = self._services.get(worker.service)
        if shared is None:
            return None
        sound = self._ended_s.get(worker.key, BEFORE_ALL_S) > shared.since_s
        return None if sound else shared.rejections

    def _is_brittle(self, service: str, key: str) -> bool:
        return service in self._services or WorkerKey(key) in self._notices

    def _service_ended(self, service: str) -> None:
        """Note that the workers of a service are not brittle any more."""

    def _log_named(self, key: WorkerKey, rejections: int, origin: str) -> None:
        self._log(
            "worker_brittle", worker=key, rejections_per_s=rejections, origin=origin
        )


def put_bounded(table: dict, key: WorkerKey, value) -> None:
    """Set the value of a worker; forget the oldest one if there are too many."""
    table[key] = value
    if len(table) > MAX_WORKERS:
        del table[next(iter(table))]
