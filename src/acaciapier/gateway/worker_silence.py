"""Tells after what time a worker that sends nothing is taken to be silent."""

import math

import trio

from ..core.clock import to_s
from ..http.client import HttpConnection
from .models import RequestKind, RouteRule, ServiceName, Worker, WorkerId

MIN_STREAM_IDLE_TIMEOUT_MS = 1_000.0
"""Shortest time without data after which another worker is asked to resume a stream:
half of the minimum abandonment timeout of callers."""

STREAM_IDLE_GAPS = 3.3
"""The same as a multiple of the event gap that the route's callers accept; they abandon
a stream after eight such gaps."""

HEAD_TIMEOUT_OBJECTIVES = 1.75
"""Time without a response after which a repeatable plain request is sent to another
worker, in latency objectives: usual work takes less."""

HEAD_TIMEOUT_SHARE = 0.35
"""Largest such time, and that of resumable streams, as a share of the route's timeout:
it leaves time for a second run."""

GOES_ON_WITHIN_MS = 50.0
"""Time within which workers go on that were silent for the same reason."""


RECENT_SHARE = 0.7
"""A part that came within this share of the time after which a worker is silent came
while it was silent."""


class WorkerActivity:
    """When workers last sent an event of a stream, for the last two of each service."""

    def __init__(self):
        self._latest: dict[ServiceName, tuple[WorkerId, float]] = {}
        self._before: dict[ServiceName, tuple[WorkerId, float]] = {}
        """The latest event of another worker than that of the latest one."""

    def record(self, worker: Worker) -> None:
        """Record that a worker has sent an event."""
        latest = self._latest.get(worker.service)
        if latest is not None and latest[0] != worker.id:
            self._before[worker.service] = latest
        self._latest[worker.service] = worker.id, trio.current_time()

    def others_send(self, worker: Worker, silence_s: float) -> bool:
        """Return whether another worker of the service has sent an event lately.

        `silence_s` is the time after which a worker is silent.
        """
        for events in (self._latest, self._before):
            other, sent_s = events.get(worker.service, (worker.id, 0.0))
            if other != worker.id:
                return trio.current_time() - sent_s < RECENT_SHARE * silence_s
        return False


def head_timeout_s(route: RouteRule) -> float:
    """Return after what time a worker without a response is silent.

    The first event of a stream is due within its objective, plain responses usually
    come sooner than theirs. It is infinite if no other worker may run the request.
    """
    if not route.repeatable:
        return math.inf
    longest_ms = HEAD_TIMEOUT_SHARE * route.timeout_ms
    if route.kind is RequestKind.STREAMING:
        return to_s(min(route.objective_ms, longest_ms))
    return to_s(min(HEAD_TIMEOUT_OBJECTIVES * route.objective_ms, longest_ms))


def stream_idle_timeout_s(route: RouteRule) -> float:
    """Return after what time without an event a stream's worker is silent."""
    if not route.repeatable:
        return math.inf
    gaps_ms = STREAM_IDLE_GAPS * route.max_event_gap_ms
    return to_s(max(MIN_STREAM_IDLE_TIMEOUT_MS, gaps_ms))


async def goes_on(connection: HttpConnection) -> bool:
    """Return whether a silent worker sends more shortly after another one did."""
    with trio.CancelScope(shield=True):
        await trio.sleep(to_s(GOES_ON_WITHIN_MS))
    return connection.has_unread_input()
