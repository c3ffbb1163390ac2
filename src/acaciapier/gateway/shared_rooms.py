"""Rooms of brittle workers while several instances dispatch their service.

Instances may disagree for seconds about who dispatches a service, and the requests of a
dispatcher that stops run on. Dispatchers therefore report in heartbeats what they hold
at brittle workers, and each keeps to its part of a worker's room.
"""

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..core.clock import to_s
from ..wire.messages.gateway import BrittleUse
from .brittle_notices import BrittleNotice
from .models import WorkerKey

PAUSE_S = 1.0
"""Time without work for a worker after which a dispatcher joins the others anew."""

REPORT_DELAY_S = 0.25
"""Time in which a due report arrives, and requests beyond a smaller part end."""

ECHO_S = 0.1
"""Least age difference of a newer report. Reports that were handed on seem newer by the
time of their way, and would keep alive what a dispatcher reported before it ended."""

TOLD_S = 4.0
"""Time after its last work for a worker in which a dispatcher reports that it holds
nothing there."""

LOG_PERIOD_S = 4.0
"""Minimum time between log events that a worker's room is shared."""

MAX_REPORTS = 256
"""Number of reports of use in a heartbeat."""

BEFORE_ALL_S = float("-inf")


@dataclass(eq=False, slots=True)
class _OwnUse:
    """Work of this instance for one worker."""

    service: str
    room: int
    waiting_s: float
    """When work last waited for the worker."""
    joined_s: float
    """When it began to wait without a pause."""
    logged_s: float = BEFORE_ALL_S


@dataclass(eq=False, slots=True)
class _Use:
    """What another dispatcher reported of one worker."""

    held: int
    room: int
    waits: bool
    at_s: float
    service: str
    rejections: int
    named_s: float


class SharedRooms:
    """Divides the rooms of brittle workers among the dispatchers that use them.

    Parameters
    ----------
    own : str
        Incarnation of this instance, under which its use is reported.
    report_ms : callable
        Returns the period at which dispatchers report; 0 if there are no others.
    """

    def __init__(self, own: str = "", report_ms: Callable[[], float] = lambda: 0.0):
        self._own = own
        self._report_ms = report_ms
        self._uses: dict[WorkerKey, _OwnUse] = {}
        self._others: dict[WorkerKey, dict[str, _Use]] = {}

    def record_waiting(
        self, key: WorkerKey, service: str, room: int, now_s: float
    ) -> None:
        """Record that work waits for a worker, which has room for `room` requests."""
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = _OwnUse(service, room, now_s, now_s)
        elif now_s - use.waiting_s > PAUSE_S:
            use.joined_s = now_s
        use.room, use.waiting_s = room, now_s

    def part(self, key: WorkerKey, room: int, now_s: float) -> int | None:
        """Return how many requests this dispatcher may have at a worker.

        None if no other one uses the worker. A dispatcher that joins others has no part
        until they know of it. What a leaving one holds belongs to nobody.
        """
        others = self._fresh(key, now_s)
        if not others:
            return None
        use = self._uses.get(key)
        joined_s = now_s if use is None else use.joined_s
        if now_s - joined_s < to_s(self._report_ms()) + REPORT_DELAY_S:
            return 0
        left = max(0, room - sum(one.held for one in others.values() if not one.waits))
        sharing = [self._own, *(name for name, one in others.items() if one.waits)]
        sharing.sort(key=lambda name: (zlib.crc32(f"{key} {name}".encode()), name))
        share, rest = divmod(left, len(sharing))
        part = share + (sharing.index(self._own) < rest)
        # Long requests of others may still take more than their part.
        free = max(0, room - sum(one.held for one in others.values()))
        return min(part, free)

    def reported_room(self, key: WorkerKey, now_s: float) -> tuple[int, float] | None:
        """Return the largest room that others reported lately, and when."""
        rooms = [(one.room, one.at_s) for one in self._fresh(key, now_s).values()]
        return max(rooms, default=None)

    def is_used(self, now_s: float) -> bool:
        """Return whether work of this instance lately waited for a brittle worker."""
        return any(now_s - use.waiting_s < TOLD_S for use in self._uses.values())

    def should_log(self, key: WorkerKey, now_s: float) -> bool:
        """Return whether to log that a room is shared; once in a while."""
        use = self._uses.get(key)
        if use is None or now_s - use.logged_s < LOG_PERIOD_S:
            return False
        use.logged_s = now_s
        return True

    def merge(self, reports: Iterable[BrittleUse], now_s: float) -> None:
        """Record what a peer reported, of itself and of others."""
        for report in reports:
            if report.dispatcher == self._own:
                continue
            at_s = now_s - to_s(max(0.0, report.age_ms))
            by_dispatcher = self._others.setdefault(WorkerKey(report.worker), {})
            known = by_dispatcher.get(report.dispatcher)
            if known is None or at_s > known.at_s + ECHO_S:
                by_dispatcher[report.dispatcher] = _Use(
                    report.held,
                    report.room,
                    report.waits,
                    at_s,
                    report.service,
                    report.rejections,
                    now_s - to_s(max(0.0, report.named_age_ms)),
                )

    def reports(
        self,
        held: Callable[[WorkerKey], int],
        notice: Callable[[str, WorkerKey], BrittleNotice | None],
        stopping: bool,
        now_s: float,
    ) -> tuple[BrittleUse, ...]:
        """Return the use of all dispatchers, for a message to a peer.

        That of others is handed on, as not all dispatchers reach one another.

        Parameters
        ----------
        held : callable
            Returns how many requests or calls this instance holds at a worker.
        notice : callable
            Returns the notice of a service's worker; None if it is not brittle.
        stopping : bool
            Whether this instance sends nothing more to workers.
        now_s : float
            Current time.
        """
        uses: list[tuple[WorkerKey, str, _Use]] = []
        for key, own in list(self._uses.items()):
            count, named = held(key), notice(own.service, key)
            idle = not count and now_s - own.waiting_s > TOLD_S
            if named is None or idle:
                del self._uses[key]
                continue
            waits = not stopping and now_s - own.waiting_s <= PAUSE_S
            use = _Use(
                count,
                own.room,
                waits,
                now_s,
                own.service,
                named.rejections,
                named.named_s,
            )
            uses.append((key, self._own, use))
        for key in list(self._others):
            uses += [(key, *other) for other in self._fresh(key, now_s).items()]
        return tuple(
            BrittleUse(
                key,
                name,
                use.held,
                use.room,
                use.waits,
                (now_s - use.at_s) * 1_000.0,
                use.service,
                use.rejections,
                (now_s - use.named_s) * 1_000.0,
            )
            for key, name, use in uses[:MAX_REPORTS]
        )

    def _fresh(self, key: WorkerKey, now_s: float) -> dict[str, _Use]:
        """Return the uses of others that still count; forget older ones."""
        known = self._others.get(key)
        if not known:
            return {}
        since_s = now_s - PAUSE_S - to_s(self._report_ms())
        for name in [name for name, one in known.items() if one.at_s < since_s]:
            del known[name]
        if not known:
            del self._others[key]
        return known
