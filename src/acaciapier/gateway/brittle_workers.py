"""Brittle workers: how many requests at once they have proved to take.

This answers the load on workers that fall over when they have to reject more than some
requests in a second. The rejections of all instances count together, so the dispatcher
of a service keeps all grants within the room that a worker has proved to have, and
risks rejections only as far as the worker survives them.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..wire.messages.gateway import BrittleWorkerEntry
from .models import ResponseMetadata, Worker, WorkerKey
from .worker_rooms import (
    BEFORE_ALL_S,
    FIRST_PROBE_DELAY_S,
    REJECTION_WINDOW_S,
    SentWithin,
    WorkerRoom,
)

MAX_PROBE_DELAY_S = 12.0
"""The same after probes that failed one after another."""

ABANDONED_S = 0.5
"""Time for which a request that was given up may still occupy its worker."""

STURDY_REJECTIONS = 2
"""Rejections that a worker must survive not to be handled with special care: another
request may be rejected at the same moment."""

PROVING_SUCCESSES = 4
"""Requests that a brittle worker must take beyond its proven room before it counts as
larger."""

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


class BrittleWorkers:
    """Records which workers are brittle, and decides which of them get a request.

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
        self._rooms: dict[WorkerKey, WorkerRoom] = {}
        self._lowered_s: dict[str, float] = {}
        """When a worker of a service last proved to have less room; what becomes of
        requests that were granted before tells nothing more."""
        self._shrunk_s: dict[str, float] = {}
        """When the room of a service's workers last shrank by an unknown part."""
        self._taken_shares: dict[str, float] = {}
        """Share of its slots that some worker of a service has proved to fill."""

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
            _put(self._notices, key, known)
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
        _put(self._ended_s, key, max(sent_s, self._ended_s.get(key, BEFORE_ALL_S)))
        if sent_s > shared.named_s:
            del self._services[service]
            self._taken_shares.pop(service, None)

    def forget(self, key: str, origin: str) -> None:
        """Forget a notice that a dispatcher has seen end."""
        if self._notices.pop(WorkerKey(key), None) is not None:
            self._end(WorkerKey(key), origin)

    def _end(self, key: WorkerKey, origin: str) -> None:
        """Note that a worker is not brittle any more."""
        self._log("worker_brittle_ended", worker=key, origin=origin)
        if key in self._rooms:
            self._rooms[key].tested = False

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

    def pause_ms(self, worker: Worker) -> float:
        """Return for how long a stage worker gets no call after one that failed.

        A call that timed out, or that another dispatcher made, may still occupy it.
        """
        rejections = self.rejections(worker)
        fragile = rejections is not None and rejections < STURDY_REJECTIONS
        return REJECTION_WINDOW_S * 1_000.0 if fragile else 0.0

    def room(self, worker: Worker, slots: int) -> int:
        """Return how many requests a worker takes for certain, at most its slots."""
        rejections = self.rejections(worker)
        if rejections is None:
            return slots
        return self._proven(worker, slots, rejections)

    def _proven(self, worker: Worker, slots: int, rejections: int) -> int:
        known = self._rooms.get(worker.key)
        proven = known.proven if known is not None else 0
        return max(1, min(slots, proven, self._most(worker, slots, rejections)))

    def _most(self, worker: Worker, slots: int, rejections: int) -> int:
        """Return the room that some worker of the service has proved to have.

        Where hardly a rejection is survived, one request less, since slots become free
        a moment later at the worker than here.
        """
        taken = self._taken(worker.service, slots)
        return taken - (rejections < STURDY_REJECTIONS)

    def _taken(self, service: str, slots: int) -> int:
        """Return the most requests that some worker of a service has taken at once."""
        return int(self._taken_shares.get(service, 0.0) * slots + 1e-6)

    def allows(
        self, worker: Worker, slots: int, now_s: float, may_probe: bool = True
    ) -> bool:
        """Return whether a worker may get a request now.

        Parameters
        ----------
        worker : Worker
            The worker.
        slots : int
            Requests that it is declared to run at once.
        now_s : float
            Current time.
        may_probe : bool
            Whether the request may be sent beyond the proven room.
        """
        rejections = self.rejections(worker)
        known = self._rooms.get(worker.key)
        if rejections is None or known is None:
            return True
        proven = self._proven(worker, slots, rejections)
        recent = known.recent_rejections(now_s)
        occupied = known.occupied(now_s)
        if recent and recent >= rejections:
            proven = max(1, proven - 1)
        if occupied < proven:
            return True
        if not known.proven or not may_probe:
            return False
        if occupied > proven or known.probes or recent:
            return False
        if rejections == 0:
            return occupied < self._most(worker, slots, rejections)
        return now_s >= known.probe_after_s

    def record_send(self, worker: Worker, slots: int, now_s: float) -> SentWithin:
        """Count a request that is granted."""
        rejections = self.rejections(worker)
        starts_brittle = rejections is not None and worker.key not in self._rooms
        known = self._room(worker.key)
        known.tested = known.tested or starts_brittle
        level = known.occupied(now_s) + 1
        probe = rejections is not None and level > self._proven(
            worker, slots, rejections
        )
        probes_ended = known.probes_made - known.probes
        known.held += 1
        known.probes += probe
        known.probes_made += probe
        return SentWithin(level, probe, probes_ended)

    def record_held(self, key: str) -> None:
        """Count a request that an earlier dispatcher granted."""
        known = self._room(WorkerKey(key))
        known.held += 1
        known.proven = max(known.proven, known.held)

    def record_release(self, key: str, sent: SentWithin | None) -> None:
        """Count a granted request as ended."""
        known = self._rooms.get(WorkerKey(key))
        if known is not None:
            known.held = max(0, known.held - 1)
            if sent is not None and sent.probe:
                known.probes = max(0, known.probes - 1)

    def record_taken(
        self, service: str, key: str, slots: int, sent: SentWithin, granted_s: float
    ) -> None:
        """Record that a worker took a request."""
        known = self._room(WorkerKey(key))
        if granted_s <= self._lowered_s.get(service, BEFORE_ALL_S):
            return
        spare = self._spare(service)
        used = max(1, self._taken(service, slots) - spare)
        raised = sent.level > known.proven
        level = sent.level
        if self._is_brittle(service, key) and level > used:
            if granted_s <= known.rejected_s:
                return
            # Another request may have just ended, so one success proves little.
            known.successes += 1
            if known.successes < PROVING_SUCCESSES:
                return
            raised = True
            level += spare
        if raised:
            known.proven, known.successes = level, 0
            known.probe_delay_s = FIRST_PROBE_DELAY_S
        share = min(level, known.proven) / slots
        if share > self._taken_shares.get(service, 0.0):
            self._taken_shares[service] = share

    def record_rejected(
        self,
        service: str,
        key: str,
        slots: int,
        sent: SentWithin | None,
        granted_s: float,
        now_s: float,
    ) -> None:
        """Record that a worker rejected a request for want of room."""
        known = self._room(WorkerKey(key))
        known.add_rejection(now_s)
        known.probe_after_s = now_s + known.probe_delay_s
        known.successes = 0
        known.rejected_s = now_s
        # A request within the proven room may arrive after one beyond it.
        probed = sent is not None and known.probes_made > sent.probes_ended
        tested = known.tested
        known.tested = tested or self._is_brittle(service, key)
        lowered_s = max(known.lowered_s, self._shrunk_s.get(service, BEFORE_ALL_S))
        once = tested and now_s - lowered_s > REJECTION_WINDOW_S
        if probed or once:
            known.probe_delay_s = min(MAX_PROBE_DELAY_S, 2 * known.probe_delay_s)
        if (probed and tested) or granted_s <= self._lowered_s.get(
            service, BEFORE_ALL_S
        ):
            return
        before = 0 if sent is None else sent.level - 1
        taken = min(known.proven, max(known.held, before))
        if once:
            known.proven = max(1, min(taken, known.proven - 1))
        else:
            known.proven = self._shrunk(service, taken, slots, now_s)
        known.lowered_s = now_s
        self._lower(service, key, slots, known, now_s)

    def record_broken(
        self,
        service: str,
        key: str,
        slots: int,
        sent: SentWithin | None,
        granted_s: float,
        now_s: float,
    ) -> None:
        """Record that a worker broke off a request that it had not begun to answer.

        One that falls over does so, mostly without the rejection that brought it down.
        One that has no other request, or has taken none yet, failed for another reason.
        """
        known = self._room(WorkerKey(key))
        alone = sent is not None and sent.level == 1
        if alone or not known.proven or known.broken:
            return
        if not self._is_brittle(service, key):
            return
        known.broken = True
        if granted_s > self._lowered_s.get(service, BEFORE_ALL_S):
            taken = min(known.proven, known.held)
            known.proven = self._shrunk(service, taken, slots, now_s)
            self._lower(service, key, slots, known, now_s)

    def _shrunk(self, service: str, taken: int, slots: int, now_s: float) -> int:
        """Return the room of a worker that has become smaller by an unknown part.

        Where each trial costs a fall, it is the geometric mean of the known bounds: one
        request, and those that the service's workers got.
        """
        self._shrunk_s[service] = now_s
        shared = self._services.get(service)
        if shared is None or shared.rejections > 0:
            return max(1, taken // 2)
        given = max(1, self._taken(service, slots) - 1)
        # One request less than this is sent; see `_most`.
        return math.isqrt(given) + 1

    def _spare(self, service: str) -> int:
        """Return how many requests are kept free of the room but for probes."""
        shared = self._services.get(service)
        return int(shared is not None and shared.rejections == 1)

    def _lower(
        self, service: str, key: str, slots: int, known: WorkerRoom, now_s: float
    ) -> None:
        """Lower the room that the workers of a service are expected to have."""
        self._lowered_s[service] = now_s
        share = known.proven / slots
        self._taken_shares[service] = min(share, self._taken_shares.get(service, 1.0))
        if self._is_brittle(service, key):
            self._log("worker_room", worker=key, room=known.proven, held=known.held)

    def _is_brittle(self, service: str, key: str) -> bool:
        return service in self._services or WorkerKey(key) in self._notices

    def record_abandoned(self, key: str, now_s: float) -> None:
        """Record that a request was given up before its answer was complete."""
        known = self._room(WorkerKey(key))
        known.abandoned_until_s.append(now_s + ABANDONED_S)

    def _room(self, key: WorkerKey) -> WorkerRoom:
        known = self._rooms.get(key)
        if known is None:
            known = WorkerRoom()
            _put(self._rooms, key, known)
        return known

    def _log_named(self, key: WorkerKey, rejections: int, origin: str) -> None:
        self._log(
            "worker_brittle", worker=key, rejections_per_s=rejections, origin=origin
        )


def _put(table: dict, key: WorkerKey, value) -> None:
    table[key] = value
    if len(table) > MAX_WORKERS:
        del table[next(iter(table))]
