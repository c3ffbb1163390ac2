"""What workers announced in their answers: that they leave, or want fewer requests.

All paths to workers (requests, calls of stages, releases of results) report the answers
here and ask here before they send. This answers the load on workers that shed it or
shut down, which would otherwise get requests that they turn away.
"""

from collections.abc import Callable, Iterable

from ..core.clock import Clock, to_s
from .catalogue import Catalogue
from .dispatch.worker_load import WorkerLoads
from .models import ResponseMetadata, Worker, WorkerKey
from .worker_limits import WorkerLimits

MAX_RETRY_AFTER_MS = 3_600_000.0
"""Longest time for which a worker may turn requests away. A longer one is taken for a
mistake, since the worker would stay unused until its next start."""

SHARE_PERIOD_MS = 10_000.0
"""Time for which heartbeats hand on that a worker leaves; every pair of instances
exchanges some in it, directly or by way of a dispatcher."""

MAX_MALFORMED_LOADS = 1_000
"""Workers whose malformed loads are remembered, so that each is logged once."""


class WorkerNotices:
    """Records what workers announced, and decides whether they get requests.

    Parameters
    ----------
    catalogue : Catalogue
        Marks leaving workers as draining.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    on_leaving : callable
        Called when a worker is known to leave, so that waiting work goes elsewhere.
    limits : WorkerLimits
        Records the limits that workers name.

    Attributes
    ----------
    loads : WorkerLoads
        The slowdowns that workers report.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        clock: Clock,
        log: Callable[..., None],
        on_leaving: Callable[[], None],
        limits: WorkerLimits,
    ):
        self._catalogue = catalogue
        self._clock = clock
        self._log = log
        self._on_leaving = on_leaving
        self._limits = limits
        self.loads = WorkerLoads()
        self._malformed_loads: set[WorkerKey] = set()
        self._turned_away_until_s: dict[WorkerKey, float] = {}
        self._leaving_since_s: dict[WorkerKey, float] = {}

    def observe(
        self, worker: Worker, response: ResponseMetadata, sent_s: float | None = None
    ) -> None:
        """Record what an answer of a worker announces.

        An answer with another worker's statement that it has this address says nothing
        about `worker`. `sent_s` is when the request was sent, if the answer is the
        worker's own to it, see `WorkerLimits.observe`.
        """
        if response.wrong_worker:
            return
        now_s = self._clock.monotonic_s()
        self._limits.observe(worker, response, now_s, sent_s)
        self._limits.brittle.observe(worker, response, now_s, sent_s)
        self.loads.record(worker.key, response.load, now_s)
        if response.malformed_load is not None:
            self._log_malformed_load(worker, response.malformed_load)
        if response.leaving:
            self._record_leaving(worker.key, worker.address, "answer")
        if response.malformed_retry_after is not None:
            self._log_ignored(worker, response.malformed_retry_after)
        if response.retry_after_ms is None:
            return
        if response.retry_after_ms > MAX_RETRY_AFTER_MS:
            self._log_ignored(worker, f"{response.retry_after_ms:g} ms")
        else:
            self._record_turned_away(worker, response.retry_after_ms)

    def blocked_ms(self, worker: Worker) -> float:
        """Return for how long a worker wants no requests from this instance."""
        until_s = self._turned_away_until_s.get(worker.key)
        if until_s is None:
            return 0.0
        left_ms = (until_s - self._clock.monotonic_s()) * 1_000.0
        if left_ms <= 0:
            del self._turned_away_until_s[worker.key]
        return max(0.0, left_ms)

    def refusal(self, worker: Worker) -> str | None:
        """Return why a worker must get no request now; None if it may get one."""
        if self._catalogue.is_leaving(worker):
            return "worker_leaving"
        if self.blocked_ms(worker) > 0:
            return "worker_turns_away"
        return None

    def may_ask(self, worker: Worker) -> bool:
        """Count a report call on a new connection, if the worker may get it now.

        Calls to workers that are not cold need not be counted.
        """
        if not self._limits.is_cold(worker.key):
            return True
        now_s = self._clock.monotonic_s()
        if self._limits.wait_ms(worker.key, now_s):
            return False
        self._limits.record_send(worker.key, now_s)
        return True

    def record_ended(self, worker: Worker, origin: str) -> None:
        """Record that this incarnation of a worker has ended, for all instances."""
        self._record_leaving(worker.key, worker.address, origin)

    def shared_leaving(self) -> tuple[WorkerKey, ...]:
        """Return the leaving workers that heartbeats hand on."""
        oldest_s = self._clock.monotonic_s() - to_s(SHARE_PERIOD_MS)
        for key, since_s in list(self._leaving_since_s.items()):
            if since_s < oldest_s:
                del self._leaving_since_s[key]
        return tuple(self._leaving_since_s)

    def merge(self, peer: str, leaving: Iterable[str]) -> None:
        """Record the leaving workers that a peer handed on."""
        for key in leaving:
            known = self._catalogue.find(WorkerKey(key))
            address = known.address if known is not None else ""
            self._record_leaving(WorkerKey(key), address, f"peer {peer}")

    def _log_ignored(self, worker: Worker, value: str) -> None:
        self._log("retry_after_ignored", worker=worker.id, value=value)

    def _log_malformed_load(self, worker: Worker, value: str) -> None:
        """Log that a figure is ignored, once for each worker."""
        if worker.key in self._malformed_loads:
            return
        if len(self._malformed_loads) >= MAX_MALFORMED_LOADS:
            self._malformed_loads.clear()
        self._malformed_loads.add(worker.key)
        self._log("load_ignored", worker=worker.id, value=value[:80])

    def _record_leaving(self, key: WorkerKey, address: str, origin: str) -> None:
        if self._catalogue.record_leaving(key, address, origin):
            self._leaving_since_s[key] = self._clock.monotonic_s()
            self._on_leaving()

    def _record_turned_away(self, worker: Worker, retry_after_ms: float) -> None:
        now_s = self._clock.monotonic_s()
        for key, until_s in list(self._turned_away_until_s.items()):
            if until_s <= now_s:
                del self._turned_away_until_s[key]
        until_s = now_s + to_s(retry_after_ms)
        known_s = self._turned_away_until_s.get(worker.key, 0.0)
        self._turned_away_until_s[worker.key] = max(known_s, until_s)
        self._log(
            "worker_turned_away",
            worker=worker.id,
            service=worker.service,
            retry_after_ms=round(retry_after_ms),
        )
