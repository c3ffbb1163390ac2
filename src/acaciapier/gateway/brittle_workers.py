"""Brittle workers: how many requests at once they have proved to take.

This answers the load on workers that fall over when they have to reject more than some
requests in a second. The rejections of all instances count together, so the dispatcher
of a service keeps all grants within the room that a worker has proved to have, and
risks rejections only as far as the worker survives them.
"""

import math
from collections.abc import Callable, Iterable

from ..wire.messages.gateway import BrittleUse
from .brittle_notices import BrittleNotices, put_bounded
from .models import Worker, WorkerKey
from .shared_rooms import SharedRooms
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

STAGE_ROOM = 1
"""Calls that a brittle stage worker takes at once."""

PROVING_SUCCESSES = 4
"""Requests that a brittle worker must take beyond its proven room before it counts as
larger."""


class BrittleWorkers(BrittleNotices):
    """Records which workers are brittle, and decides which of them get a request.

    Parameters
    ----------
    log : callable
        Writes a log event, given as a kind and fields.
    shared : SharedRooms, optional
        Divides rooms among the dispatchers that use a worker.
    """

    def __init__(
        self,
        log: Callable[..., None] = lambda kind, **fields: None,
        shared: SharedRooms | None = None,
    ):
        super().__init__(log)
        self._shared = shared or SharedRooms()
        self._calls: dict[WorkerKey, int] = {}
        """Calls in progress at stage workers."""
        self._rooms: dict[WorkerKey, WorkerRoom] = {}
        self._lowered_s: dict[str, float] = {}
        """When a worker of a service last proved to have less room; what becomes of
        requests that were granted before tells nothing more."""
        self._shrunk_s: dict[str, float] = {}
        """When the room of a service's workers last shrank by an unknown part."""
        self._taken_shares: dict[str, float] = {}
        """Share of its slots that some worker of a service has proved to fill."""

    def _end(self, key: WorkerKey, origin: str) -> None:
        super()._end(key, origin)
        if key in self._rooms:
            self._rooms[key].tested = False

    def _service_ended(self, service: str) -> None:
        self._taken_shares.pop(service, None)

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
        return int(self._taken_share(service) * slots + 1e-6)

    def _taken_share(self, service: str) -> float:
        return self._taken_shares.get(service, 0.0)

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
        if rejections is None:
            return True
        known = self._rooms.get(worker.key)
        proven = self._proven(worker, slots, rejections)
        part = self._shared.part(
            worker.key, proven + self._spare(worker.service), now_s
        )
        if known is None:
            return part is None or part > 0
        recent = known.recent_rejections(now_s)
        occupied = known.occupied(now_s)
        if part is not None:
            return occupied < part and (not recent or recent < rejections)
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

    def allows_call(self, worker: Worker, now_s: float) -> bool:
        """Return whether a stage worker may get a call, beside those of others."""
        if self.rejections(worker) is None:
            return True
        part = self._shared.part(worker.key, STAGE_ROOM, now_s)
        return part is None or self._calls.get(worker.key, 0) < part

    @property
    def calls(self) -> int:
        """Calls in progress at all stage workers."""
        return sum(self._calls.values())

    def record_call(self, key: WorkerKey, count: int) -> None:
        """Count a call at a stage worker that begins (1) or ends (-1)."""
        calls = self._calls.get(key, 0) + count
        if calls > 0:
            self._calls[key] = calls
        else:
            self._calls.pop(key, None)

    def record_waiting(
        self,
        workers: Iterable[Worker],
        now_s: float,
        slots: Callable[[Worker], int] | None = None,
    ) -> None:
        """Record that work waits for brittle workers, and adopt rooms that others know.

        Parameters
        ----------
        workers : iterable of Worker
            Workers that may get it.
        now_s : float
            Current time.
        slots : callable, optional
            Returns how many requests a worker is declared to run at once; not given
            for stage workers.
        """
        if not self._services and not self._notices:
            return
        for worker in workers:
            rejections = self.rejections(worker)
            if rejections is None:
                continue
            key, room = worker.key, STAGE_ROOM
            if slots is not None:
                self._adopt_room(worker, slots(worker), now_s)
                proven = self._proven(worker, slots(worker), rejections)
                self._shared.record_waiting(key, worker.service, proven, now_s)
                room = proven + self._spare(worker.service)
            else:
                self._shared.record_waiting(key, worker.service, room, now_s)
            part = self._shared.part(key, room, now_s)
            if part is not None and self._shared.should_log(key, now_s):
                self._log("brittle_room_shared", worker=key, room=room, part=part)

    def _adopt_room(self, worker: Worker, slots: int, now_s: float) -> None:
        """Start with the room that another dispatcher has proved."""
        reported = self._shared.reported_room(worker.key, now_s)
        if reported is None:
            return
        room, at_s = reported
        known = self._rooms.get(worker.key) or WorkerRoom(tested=True)
        lowered_s = self._lowered_s.get(worker.service, BEFORE_ALL_S)
        # A room that this instance has measured may be newer than the reported one.
        if not known.proven and at_s > lowered_s:
            put_bounded(self._rooms, worker.key, known)
            known.proven = min(room, slots)
            share = max(known.proven / slots, self._taken_share(worker.service))
            self._taken_shares[worker.service] = share

    def is_used(self, now_s: float) -> bool:
        """Return whether work of this instance lately waited for a brittle worker."""
        return self._shared.is_used(now_s)

    def merge_use(self, peer: str, reports: Iterable[BrittleUse], now_s: float) -> None:
        """Record what a peer reported of the use of brittle workers."""
        for report in reports:
            named_s = now_s - max(0.0, report.named_age_ms) / 1_000.0
            self.record(
                report.service,
                report.worker,
                report.rejections,
                named_s,
                BEFORE_ALL_S,
                f"peer {peer}",
            )
        self._shared.merge(reports, now_s)

    def reported_use(self, stopping: bool, now_s: float) -> tuple[BrittleUse, ...]:
        """Return the use of brittle workers, for a message to a peer."""
        return self._shared.reports(
            self._held,
            lambda service, key: self.find(key) or self._services.get(service),
            stopping,
            now_s,
        )

    def _held(self, key: WorkerKey) -> int:
        known = self._rooms.get(key)
        return self._calls.get(key, 0) + (0 if known is None else known.held)

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

    def record_abandoned(self, key: str, now_s: float) -> None:
        """Record that a request was given up before its answer was complete."""
        known = self._room(WorkerKey(key))
        known.abandoned_until_s.append(now_s + ABANDONED_S)

    def _room(self, key: WorkerKey) -> WorkerRoom:
        known = self._rooms.get(key)
        if known is None:
            known = WorkerRoom()
            put_bounded(self._rooms, key, known)
        return known
