"""Bounds the memory of all responses that are received and passed on at once.

A small response needs no reservation. A larger one waits until there is memory for all
of it, so that each one that has memory can end; its connection is not read meanwhile.
Each worker gets at most a share, so that one that sends without end leaves memory for
the others.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from types import TracebackType

import trio

from ..core.clock import Clock, to_ms
from ..http.client import UNRESERVED_BYTES, HttpConnection

BYTES_PER_MB = 1_000_000.0
MEMORY_SHARE = 0.25
"""Share of the memory of the process that large responses may take."""

WORKER_SHARE = 0.5
"""Share of it that the responses of one worker may take."""

HELD_MS = 1_000.0
"""Time after which a response may lose its memory to one that waits: its worker or its
caller is slow, or sends or reads nothing."""

CHECK_PERIOD_S = 0.1
"""Period of checking for such responses."""


class Reservation:
    """Memory that one response has or waits for.

    As a context manager it is released at the end, unless the response is complete.

    Parameters
    ----------
    memory : ResponseMemory
        Memory that it is part of.
    worker : str
        Key of the worker that responds.
    request : str
        Id of the request, for the log.
    revoke : callable
        Ends the response, so that its memory can be released.
    """

    def __init__(
        self,
        memory: "ResponseMemory",
        worker: str,
        request: str,
        revoke: Callable[[], None],
    ):
        self.worker = worker
        self.request = request
        self.size_bytes = 0
        """Bytes that it has, or waits for."""
        self.granted = trio.Event()
        self.since_s = 0.0
        """Time at which the memory was granted, or the response was complete."""
        self.passed_on = False
        """Whether the whole response is there and is sent to its caller."""
        self.revoked = False
        self._complete = False
        self._memory = memory
        self._revoke = revoke

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is memory for so many bytes."""
        self.release()
        self.size_bytes, self.granted = size_bytes, trio.Event()
        self._memory.request(self)
        try:
            await self.granted.wait()
        except trio.Cancelled:
            self.release()
            raise

    async def fit(self, size_bytes: int, max_bytes: int) -> bool:
        """Reserve `max_bytes` while a part has grown large; return whether it waited.

        They are released when the part is small again.
        """
        if size_bytes <= UNRESERVED_BYTES:
            if self.size_bytes:
                self.release()
            return False
        if self.size_bytes:
            return False
        await self.reserve(max_bytes)
        return True

    def complete(self, body: bytes) -> None:
        """Reserve only what the response takes that is there as a whole."""
        self._memory.resize(self, len(body))
        self._complete = True

    def pass_on(self, revoke: Callable[[], None]) -> None:
        """Keep the memory while the response is sent, which `revoke` ends."""
        self._memory.resize(self, self.size_bytes)
        self._revoke = revoke
        self.passed_on, self.revoked = True, False

    def release(self) -> None:
        """Give up the memory, or the wait for it."""
        self._memory.release(self)
        self.size_bytes = 0

    def revoke(self) -> None:
        """End the response, for another one that waits."""
        self.revoked = True
        self._revoke()

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._complete:
            self.release()


class ResponseMemory:
    """Decides which large responses have memory, and which wait.

    Parameters
    ----------
    memory_mb : float
        Limit on the memory of the process, in units of 10^6 bytes. Whatever it is, one
        response may always be received.
    clock : Clock
        Source of time.
    log : callable
        Logs an event with its fields.
    """

    def __init__(self, memory_mb: float, clock: Clock, log: Callable[..., None]):
        self.limit_bytes = MEMORY_SHARE * memory_mb * BYTES_PER_MB
        self.used_bytes = 0
        self._clock = clock
        self._log = log
        self._granted: dict[Reservation, None] = {}
        """Reservations that have memory; the earliest first."""
        self._waiting: dict[Reservation, None] = {}
        self._used_by: Counter[str] = Counter()
        """Bytes by worker."""

    @property
    def waiting(self) -> int:
        """Number of responses that wait for memory."""
        return len(self._waiting)

    def reservation(
        self, worker: str, connection: HttpConnection, request: str = ""
    ) -> Reservation:
        """Return a reservation for a response on a connection, at first of nothing."""
        return Reservation(self, worker, request, connection.close)

    def request(self, asking: Reservation) -> None:
        """Grant the bytes that a reservation asks for, now or later."""
        self._waiting[asking] = None
        self._grant()
        if asking in self._waiting:
            self._log_reservation("response_waits", asking)

    def resize(self, granted: Reservation, size_bytes: int) -> None:
        """Change the size of a reservation that has memory, from now on."""
        if granted not in self._granted:
            return
        self._count(granted.worker, size_bytes - granted.size_bytes)
        granted.size_bytes, granted.since_s = size_bytes, self._clock.monotonic_s()
        self._grant()

    def release(self, released: Reservation) -> None:
        """Release a reservation that has memory or waits for it, if any."""
        self._waiting.pop(released, None)
        if released in self._granted:
            del self._granted[released]
            self._count(released.worker, -released.size_bytes)
        self._grant()

    def revoke_overdue(self) -> None:
        """End responses that have held memory for long, if others wait for it.

        These are responses to callers that read slowly, and those of a worker that
        takes more than the worker of the next response that waits.
        """
        if not self._waiting:
            return
        waiting = self._least_used(self._waiting)
        missing = waiting.size_bytes - (self.limit_bytes - self.used_bytes)
        overdue = [one for one in self._granted if self._may_revoke(one, waiting)]
        if not self._is_within_share(waiting):
            overdue = [one for one in overdue if one.worker == waiting.worker]
            missing = waiting.size_bytes
        overdue.sort(key=lambda one: -self._used_by[one.worker])
        for one in overdue:
            if missing <= 0:
                break
            missing -= one.size_bytes
            self._log_reservation("response_ended_for_memory", one)
            one.revoke()

    async def revoke_periodically(self) -> None:
        """Check for overdue responses, until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            self.revoke_overdue()

    def _grant(self) -> None:
        while (granted := self._next()) is not None and self._fits(granted):
            del self._waiting[granted]
            self._granted[granted] = None
            granted.since_s, granted.passed_on = self._clock.monotonic_s(), False
            self._count(granted.worker, granted.size_bytes)
            granted.granted.set()

    def _next(self) -> Reservation | None:
        """Return the next one to grant: the first one of the worker that has least.

        Workers that have their share are passed over.
        """
        within = [one for one in self._waiting if self._is_within_share(one)]
        return self._least_used(within) if within else None

    def _least_used(self, reservations: Iterable[Reservation]) -> Reservation:
        """Return the first one of the worker that has least."""
        return min(reservations, key=lambda one: self._used_by[one.worker])

    def _may_revoke(self, granted: Reservation, waiting: Reservation) -> bool:
        held_ms = to_ms(self._clock.monotonic_s() - granted.since_s)
        if granted.revoked or held_ms < HELD_MS:
            return False
        has_more = self._used_by[granted.worker] > self._used_by[waiting.worker]
        return granted.passed_on or has_more

    def _is_within_share(self, waiting: Reservation) -> bool:
        used_bytes = self._used_by[waiting.worker]
        share_bytes = WORKER_SHARE * self.limit_bytes
        return not used_bytes or used_bytes + waiting.size_bytes <= share_bytes

    def _fits(self, waiting: Reservation) -> bool:
        free_bytes = self.limit_bytes - self.used_bytes
        return not self.used_bytes or waiting.size_bytes <= free_bytes

    def _count(self, worker: str, change_bytes: int) -> None:
        self.used_bytes += change_bytes
        self._used_by[worker] += change_bytes
        if not self._used_by[worker]:
            del self._used_by[worker]

    def _log_reservation(self, event: str, reservation: Reservation) -> None:
        self._log(
            event,
            request=reservation.request,
            worker=reservation.worker,
            size_bytes=reservation.size_bytes,
            used_bytes=self.used_bytes,
            passed_on=reservation.passed_on,
            waiting=len(self._waiting),
        )
