"""Which workers are cold, and how many requests a second they take.

This answers the load on workers that have just started, or whose data centre is used
again: while they are cold, a rate well above that of their service crashes them. The
requests are paced by `worker_limits.WorkerLimits`; here is decided for which workers
and until when.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..core.clock import Clock, to_s
from ..wire.messages.gateway import ColdWorkerEntry
from .heartbeat_schedule import HEARTBEAT_PERIOD_MS
from .models import ResponseMetadata, ServiceRule, Worker, WorkerKey
from .settings import DEFAULT_WORKER_HEARTBEAT_MS, GatewayBounds
from .worker_pace import ColdPace

COLD_BURST_MS = 50.0
"""Time by which a send to a cold worker may be ahead of a steady pace: two checks of
the queue. The bound counts in windows of 1 s, in which four dispatchers that do not yet
know of one another may all be ahead."""

FIRST_WAIT_MS = 250.0
"""Longest time in which a worker that becomes cold gets nothing: until the sends of
other dispatchers are reported."""

START_WAIT_MS = 1_000.0
"""Time after the start of an instance in which cold workers get nothing from it. What
its former incarnation sent then counts in no window any more."""

ENTRY_DELAY_MS = 1_000.0
"""An entry that arrives within this time after a worker became cold by its answer, or
after an evacuation, may have been written before; it shortens no cold time."""

SHARE_PERIOD_MS = 10_000.0
"""Time for which heartbeats hand on a cold time that an answer named; every pair of
instances exchanges some in it."""

MAX_SHARED = 64
"""Number of cold times in a heartbeat."""


@dataclass(eq=False)
class _ColdWorker:
    worker: Worker
    until_s: float
    origin: str
    told_s: float
    """When an answer, or the end of an evacuation, last told that it is cold."""
    shared_from_s: float = float("-inf")
    """When heartbeats began to hand it on: an answer told it, or a changed entry."""
    pace: ColdPace | None = None


class ColdWorkers:
    """Records until when workers are cold.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rule : callable
        Returns the rule of a service, or None.
    bounds : callable
        Returns the bounds of the operators. Without those of cold workers, and for
        services without a rate, no worker counts as cold.
    log : callable
        Writes a log event, given as a kind and fields.
    worker_heartbeat_ms : float
        Period at which workers write their entries.
    report_ms : callable
        Returns the period at which dispatchers report their sends to all instances; 0
        if there are no others.
    """

    def __init__(
        self,
        clock: Clock,
        rule: Callable[[str], ServiceRule | None],
        bounds: Callable[[], GatewayBounds],
        log: Callable[..., None],
        worker_heartbeat_ms: float = DEFAULT_WORKER_HEARTBEAT_MS,
        report_ms: Callable[[], float] = lambda: HEARTBEAT_PERIOD_MS,
    ):
        self._report_ms = report_ms
        self._clock = clock
        self._rule = rule
        self._bounds = bounds
        self._log = log
        self._heartbeat_ms = worker_heartbeat_ms
        self._started_s = clock.monotonic_s()
        self._cold: dict[WorkerKey, _ColdWorker] = {}
        self._listed: dict[WorkerKey, Worker] = {}
        self._ignored: set[WorkerKey] = set()
        """Workers of which it is logged that their cold time is ignored."""

    def update(self, workers: Iterable[Worker]) -> None:
        """Record the listed workers, with the cold times of entries that changed."""
        now_s = self._clock.monotonic_s()
        known, self._listed = self._listed, {}
        for worker in workers:
            key = worker.key
            self._listed[key] = worker
            if worker.cold_ms > 0 or key in self._cold:
                self._record_entry(worker, known.get(key), now_s)
        for key in self._cold.keys() - self._listed.keys():
            self._end(key, "entry removed")
        self._ignored &= self._listed.keys()

    def observe(
        self, worker: Worker, response: ResponseMetadata, sent_s: float | None = None
    ) -> None:
        """Record what an answer says; see `WorkerLimits.observe`."""
        if response.malformed_cold and worker.key not in self._ignored:
            self._ignored.add(worker.key)
            value = response.malformed_cold[0]
            self._log("cold_time_ignored", worker=worker.id, value=value)
        if response.cold_ms is None or worker.key not in self._listed:
            return
        now_s = self._clock.monotonic_s()
        known = self._cold.get(worker.key)
        # An answer to an earlier request may have been overtaken by newer data.
        is_newer = known is None or (sent_s is not None and sent_s > known.told_s)
        self._record(worker, response.cold_ms, now_s, now_s, is_newer, "answer")
        known = self._cold.get(worker.key)
        if known is not None and response.cold_ms > 0:
            known.shared_from_s = now_s

    def told_lately(self) -> tuple[ColdWorkerEntry, ...]:
        """Return the cold times that peers may not know, for heartbeats.

        An answer comes to one instance, and a changed entry to those that follow the
        store. Entries of new incarnations are fetched by all.
        """
        since_s = self._clock.monotonic_s() - to_s(SHARE_PERIOD_MS)
        told = [
            ColdWorkerEntry(key, self.left_ms(key))
            for key, known in self._cold.items()
            if known.shared_from_s >= since_s and self.left_ms(key) > 0
        ]
        return tuple(told[:MAX_SHARED])

    def merge(self, peer: str, entries: Iterable[ColdWorkerEntry]) -> None:
        """Record the cold times that a peer learned from answers."""
        for entry in entries:
            worker = self._listed.get(WorkerKey(entry.worker))
            if worker is not None and entry.left_ms > 0:
                now_s = self._clock.monotonic_s()
                origin = f"peer {peer}"
                self._record(worker, entry.left_ms, now_s, None, False, origin)

    def assume_cold(self, data_centre: str, now_s: float) -> None:
        """Hold the workers of a data centre for cold, when its evacuation ends.

        They got no requests in it, and entries that tell of it may be on their way.
        """
        for worker in self._listed.values():
            rule = self._rule(worker.service)
            if worker.data_centre == data_centre and rule and rule.cold_per_s > 0:
                cold_ms = rule.cold_start_ms + self._heartbeat_ms
                self._record(worker, cold_ms, now_s, now_s, False, "evacuation ended")

    def readmit(self, data_centre: str) -> None:
        """Hold the workers of a data centre for cold now that its evacuation ended."""
        self.assume_cold(data_centre, self._clock.monotonic_s())

    def left_ms(self, key: str) -> float:
        """Return for how long a worker is still cold, also if it is not limited."""
        known = self._cold.get(WorkerKey(key))
        if known is None:
            return 0.0
        return max(0.0, (known.until_s - self._clock.monotonic_s()) * 1_000.0)

    def all_left_ms(self) -> dict[WorkerKey, float]:
        """Return for how long workers are still cold, by the keys of the cold ones."""
        return {key: left_ms for key in self._cold if (left_ms := self.left_ms(key))}

    def pace(self, key: str) -> ColdPace | None:
        """Return the pace of a cold worker; None if it is warm or not limited."""
        if not self._cold:
            return None
        known = self._cold.get(WorkerKey(key))
        if known is None:
            return None
        if known.until_s <= self._clock.monotonic_s():
            self._end(known.worker.key, "time over")
            return None
        per_s = self._per_s(known.worker)
        if per_s is None:
            return None
        if known.pace is None:
            known.pace = self._make_pace(per_s)
            self._log_cold(known, per_s)
        known.pace.per_s = per_s
        return known.pace

    def peek_pace(self, key: str) -> ColdPace | None:
        """Return a copy of what `pace` returns; change nothing."""
        known = self._cold.get(WorkerKey(key))
        if known is None or known.until_s <= self._clock.monotonic_s():
            return None
        per_s = self._per_s(known.worker)
        if per_s is None:
            return None
        pace = self._make_pace(per_s) if known.pace is None else known.pace.copy()
        pace.per_s = per_s
        return pace

    def count_by_service(self) -> dict[str, int]:
        """Return the number of cold workers of each service that has some."""
        counts: dict[str, int] = {}
        for key in list(self._cold):
            if self.pace(key) is not None:
                service = self._cold[key].worker.service
                counts[service] = counts.get(service, 0) + 1
        return counts

    def _record_entry(self, worker: Worker, former: Worker | None, now_s: float):
        if worker.cold_ms < 0 or not _is_written_again(worker, former):
            return
        known = self._cold.get(worker.key)
        is_newer = known is None or now_s - known.told_s > to_s(ENTRY_DELAY_MS)
        self._record(worker, worker.cold_ms, now_s, None, is_newer, "entry")
        cold = self._cold.get(worker.key)
        if known is None and former is not None and cold is not None:
            # Peers that hold its incarnation for warm do not fetch the entry.
            cold.shared_from_s = now_s

    def _record(
        self,
        worker: Worker,
        cold_ms: float,
        now_s: float,
        told_s: float | None,
        is_newer: bool,
        origin: str,
    ) -> None:
        """Record a cold time; only newer data may shorten a known one."""
        until_s = now_s + to_s(cold_ms)
        known = self._cold.get(worker.key)
        if known is None:
            if cold_ms > 0:
                before_all_s = float("-inf")
                told_s = before_all_s if told_s is None else told_s
                cold = _ColdWorker(worker, until_s, origin, told_s)
                self._cold[worker.key] = cold
                # The pace starts now, not at the first request.
                self.pace(worker.key)
            return
        if cold_ms == 0 and is_newer:
            self._end(worker.key, origin)
            return
        known.worker = worker
        if is_newer or until_s > known.until_s:
            known.until_s = until_s
            if told_s is not None:
                known.told_s = told_s

    def _log_cold(self, cold: _ColdWorker, per_s: float) -> None:
        self._log(
            "worker_cold",
            worker=cold.worker.id,
            service=cold.worker.service,
            cold_ms=round(self.left_ms(cold.worker.key)),
            cold_per_s=per_s,
            origin=cold.origin,
        )

    def _end(self, key: WorkerKey, origin: str) -> None:
        ended = self._cold.pop(key)
        if ended.pace is not None:
            worker = ended.worker
            self._log(
                "worker_warm", worker=worker.id, service=worker.service, origin=origin
            )

    def _per_s(self, worker: Worker) -> float | None:
        """Return what a cold worker takes a second; None if it is not limited."""
        bounds, rule = self._bounds(), self._rule(worker.service)
        if bounds.cold_burst is None or bounds.cold_slack is None or rule is None:
            return None
        return rule.cold_per_s if rule.cold_per_s > 0 else None

    def _make_pace(self, per_s: float) -> ColdPace:
        """Return a pace by which nothing is due at once, as earlier sends are unknown.

        Several instances begin at the same time, and each counts only what it sent.
        """
        now_s = self._clock.monotonic_s()
        started_ms = (now_s - self._started_s) * 1_000.0
        wait_ms = max(min(1_000.0 / per_s, FIRST_WAIT_MS), START_WAIT_MS - started_ms)
        owed = per_s * to_s(wait_ms + COLD_BURST_MS)
        return ColdPace(
            per_s=per_s,
            owed=owed,
            paced_until_s=now_s,
            burst_ms=COLD_BURST_MS,
            report_ms=self._report_ms,
        )


def _is_written_again(worker: Worker, former: Worker | None) -> bool:
    """Return whether an entry differs from the known one of the same incarnation.

    Lists repeat unchanged entries. Peers hand on what is left of a cold time, and those
    of earlier builds no revision.
    """
    if former is None:
        return True
    if worker.entry_revision and former.entry_revision:
        return worker.entry_revision != former.entry_revision
    return worker.cold_ms != former.cold_ms
