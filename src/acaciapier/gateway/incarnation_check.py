"""Provides connections to the listed incarnations of workers."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from weakref import WeakKeyDictionary

import trio

from ..core.clock import Clock, to_s
from ..http.client import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    OutgoingRequest,
)
from ..platform import requests as request_format
from ..platform import workers as worker_format
from .catalogue import Catalogue
from .connection_pool import WorkerConnectionPool
from .incarnations import Incarnations, Verdict
from .models import RequestKind, ResponseMetadata, Worker, WorkerId, WorkerKey
from .request_state import RequestState, WorkerDidNotRun, WorkerSend
from .response_memory import ResponseMemory
from .software_versions import UNKNOWN_VERSION, BegunStream
from .supervision import TaskSupervisor
from .worker_eligibility import Ineligibility
from .worker_notices import WorkerNotices

REPORT_TIMEOUT_MS = 300.0
"""A report needs no slot and takes about one round trip."""

BACKGROUND_REPORT_TIMEOUT_MS = 1_000.0
"""Timeout of a report that delays no stream."""

SILENCE_REPORT_TIMEOUT_MS = 2_000.0
"""Timeout of the next report for a request that got none before: a sound worker may be
silent for a second or so."""

PROOF_TIMEOUT_MS = 60.0
"""Longest delay of a first event, or of the repetition of a broken stream, by a report
that is still in progress."""

FINISHED_PROOF_TIMEOUT_MS = 2 * REPORT_TIMEOUT_MS
"""Longest wait after a stream has ended: for one report in progress and another one."""

COLD_CHECK_PERIOD_MS = 25.0
"""Period of checking whether a cold worker may be asked: that of its dispatcher."""

MAX_REPORT_BYTES = 262_144


class CheckedConnections:
    """Connections of the pool, with the incarnation of the worker checked if needed.

    Only streams that may be resumed are checked; others are written by one worker.
    Streams for which no check is needed first begin at once, and a report in the
    background proves their connections. Without this proof their versions are unknown.

    Parameters
    ----------
    connections : WorkerConnectionPool
        Pool of connections to workers.
    incarnations : Incarnations
        Decides when to check.
    catalogue : Catalogue
        Registered workers.
    notices : WorkerNotices
        Notified of incarnations that have ended.
    clock : Clock
        Source of time.
    observer : object
        Notified of checks through ``decided``.
    tasks : TaskSupervisor
        Runs reports in the background.
    withdraw : callable
        Withdraws the recorded version of a stream.
    memory : ResponseMemory
        Bounds the responses in progress.
    """

    def __init__(
        self,
        connections: WorkerConnectionPool,
        incarnations: Incarnations,
        catalogue: Catalogue,
        notices: WorkerNotices,
        clock: Clock,
        observer,
        tasks: TaskSupervisor,
        withdraw: Callable[[BegunStream], None],
        memory: ResponseMemory,
    ):
        self._memory = memory
        self._connections = connections
        self._incarnations = incarnations
        self._catalogue = catalogue
        self._notices = notices
        self._clock = clock
        self._observer = observer
        self._tasks = tasks
        self._withdraw = withdraw
        self._reports: dict[WorkerKey, trio.Event] = {}
        """Ends of the reports in progress in the background."""
        self._streams: dict[WorkerSend, tuple[RequestState, HttpConnection]] = {}
        """Sends of streams in progress that began without a check."""
        self._reported: WeakKeyDictionary[HttpConnection, int] = WeakKeyDictionary()
        """Number of exchanges of connections after their last report."""

    @asynccontextmanager
    async def acquire(
        self, state: RequestState, send: WorkerSend, force_new: bool = False
    ) -> AsyncIterator[HttpConnection]:
        """Provide a connection to a worker for one send of a request.

        Raises
        ------
        ConnectFailed
            If no idle connection is usable and a new one cannot be opened.
        WorkerDidNotRun
            If the worker is another incarnation than the listed one, or if this is
            unknown and the request's version is not to change.
        """
        repeatable, worker = state.route.repeatable, send.worker
        verdict = None
        if self._needs_check(state, worker):
            timeout_ms = REPORT_TIMEOUT_MS
            if state.software_version is not None and worker.id in state.unreported:
                timeout_ms = SILENCE_REPORT_TIMEOUT_MS
            for new in (force_new, True):
                async with self._connections.acquire(
                    worker,
                    repeatable,
                    force_new=new,
                    request=state.metadata.attempt,
                    allowed_regions=state.allowed_regions,
                ) as connection:
                    reused = connection.exchanges > 0
                    verdict = await self._check(state, worker, connection, timeout_ms)
                    if verdict is Verdict.SAME:
                        yield connection
                        return
                if verdict is Verdict.UNKNOWN or not reused:
                    break
            if state.software_version is not None:
                state.unreported.add(worker.id)
                self._refuse(state, worker, "incarnation_unknown")
            force_new = True
        async with self._connections.acquire(
            worker,
            repeatable,
            force_new=force_new,
            request=state.metadata.attempt,
            allowed_regions=state.allowed_regions,
        ) as connection:
            if not _may_be_resumed(state):
                yield connection
                return
            after_check = verdict is Verdict.UNKNOWN
            self._prove(worker, connection.opened_s, after_check)
            self._streams[send] = state, connection
            try:
                yield connection
            except BaseException as error:
                if isinstance(error, (ConnectionBroken, trio.TooSlowError)):
                    await self.wait_for_proof(worker, connection)
                self._end_stream(state, send, connection)
                raise
            if worker.key in self._reports:
                # The caller has all events; it may still miss the last of them.
                self._tasks.start_soon(self._end_proved, state, send, connection)
            else:
                self._end_stream(state, send, connection)

    async def wait_for_proof(
        self,
        worker: Worker,
        connection: HttpConnection,
        timeout_ms: float = PROOF_TIMEOUT_MS,
    ) -> None:
        """Wait for a report in progress that may prove a connection."""
        with trio.move_on_after(to_s(timeout_ms)):
            while not self._is_proved(worker, connection):
                ended = self._reports.get(worker.key)
                if ended is None:
                    return
                await ended.wait()

    async def is_version_known(
        self, state: RequestState, worker: Worker, connection: HttpConnection
    ) -> bool:
        """Return whether it is known which version wrote a stream's events so far."""
        await self.wait_for_proof(worker, connection)
        return not self._is_in_doubt(state, worker, connection)

    def _is_proved(self, worker: Worker, connection: HttpConnection) -> bool:
        return self._incarnations.is_proved(worker, connection.opened_s)

    async def _end_proved(
        self, state: RequestState, send: WorkerSend, connection: HttpConnection
    ) -> None:
        """Withdraw the version of a finished stream if no report proves it."""
        await self.wait_for_proof(send.worker, connection, FINISHED_PROOF_TIMEOUT_MS)
        self._end_stream(state, send, connection)
        if state.version_recorded and state.software_version == UNKNOWN_VERSION:
            self._withdraw(state.begun_stream)

    def _end_stream(
        self, state: RequestState, send: WorkerSend, connection: HttpConnection
    ) -> None:
        """Forget the version of a stream that another incarnation may have written."""
        del self._streams[send]
        if send.begun_s is None or not self._is_in_doubt(
            state, send.worker, connection
        ):
            return
        listed = self._catalogue.workers.get(WorkerId(send.worker.id))
        self._log(
            state.metadata.attempt,
            send.worker,
            "stream_version_unknown",
            listed=listed.software_version if listed is not None else None,
            former=state.software_version,
        )
        state.software_version = UNKNOWN_VERSION

    def _is_in_doubt(
        self, state: RequestState, worker: Worker, connection: HttpConnection
    ) -> bool:
        """Return whether another incarnation may have written a stream's events.

        The version is known if the incarnation that was found there has come to be
        listed with the same version.
        """
        listed = self._catalogue.workers.get(WorkerId(worker.id))
        return not (
            state.software_version in (None, UNKNOWN_VERSION)
            or self._is_proved(worker, connection)
            or (
                listed is not None
                and self._incarnations.is_successor(worker, listed)
                and listed.software_version == state.software_version
            )
        )

    def _prove(self, worker: Worker, opened_s: float, after_check: bool) -> None:
        """Ask for a report in the background if a connection is not proved.

        `after_check` tells that a check of it got no report in time.
        """
        now_s = self._clock.monotonic_s()
        if self._incarnations.wants_report(worker, opened_s, now_s, after_check):
            self._reports[worker.key] = trio.Event()
            self._tasks.start_soon(self._ask_in_background, worker)

    async def _ask_in_background(self, worker: Worker) -> None:
        """Ask for reports until all connections are proved, or one proves none."""
        again = True
        while again:
            verdict = Verdict.UNKNOWN
            try:
                verdict = await self._ask_any(worker)
            finally:
                ended = self._reports.pop(worker.key)
                again = self._incarnations.end_report(worker, verdict)
                if again:
                    self._reports[worker.key] = trio.Event()
                ended.set()

    def _doubt_streams(self, ended: Worker) -> None:
        """Withdraw the versions of streams that an ended incarnation may not write."""
        for send, (state, connection) in self._streams.items():
            if send.worker.key != ended.key or self._is_proved(ended, connection):
                continue
            send.writer_in_doubt = True
            if send.begun_s is None:
                continue
            state.writer_in_doubt = True
            if state.version_recorded:
                self._withdraw(state.begun_stream)

    async def _ask_any(self, worker: Worker) -> Verdict:
        """Ask for a report over any connection to a worker."""
        for new in (False, True):
            if self._catalogue.eligibility.is_evacuated(worker):
                break
            try:
                async with self._connections.acquire(
                    worker, repeatable=True, force_new=new
                ) as connection:
                    if self._catalogue.eligibility.is_evacuated(worker):
                        break
                    reused = connection.exchanges > 0
                    verdict = await self._ask(
                        "", worker, connection, BACKGROUND_REPORT_TIMEOUT_MS
                    )
                    self._reported[connection] = connection.exchanges
            except ConnectFailed as error:
                self._log("", worker, "worker_report_failed", reason=str(error))
                verdict, reused = None, False
            except WorkerDidNotRun:
                return Verdict.DIFFERENT
            if verdict is not None:
                return verdict
            if not reused:
                self.record_failure(worker)
                break
        return Verdict.UNKNOWN

    def record_failure(self, worker: Worker) -> None:
        """Record that a connection to a worker was refused or broken."""
        self._incarnations.record_failure(worker, self._clock.monotonic_s())

    def is_late_report(
        self, connection: HttpConnection, status: int, response: ResponseMetadata
    ) -> bool:
        """Return whether the first response after a check may be a copy of the report.

        Reports carry no attempt and no seal.
        """
        return (
            connection.exchanges == self._reported.get(connection, -1) + 1
            and status == 200
            and response.attempt is None
            and not response.has_seal
            and not response.not_run
        )

    def _needs_check(self, state: RequestState, worker: Worker) -> bool:
        if not _may_be_resumed(state):
            return False
        versions = self._catalogue.serving.of(worker.service)
        return self._incarnations.needs_check(
            worker, state.software_version, versions, self._clock.monotonic_s()
        )

    async def _check(
        self,
        state: RequestState,
        worker: Worker,
        connection: HttpConnection,
        timeout_ms: float,
    ) -> Verdict | None:
        """Return whether a connection leads to the listed incarnation.

        Return None if the connection is closed.

        Raises
        ------
        WorkerDidNotRun
            If it leads elsewhere.
        """
        if self._is_proved(worker, connection):
            return Verdict.SAME
        if self._catalogue.eligibility.is_evacuated(worker):
            state.sends -= 1  # nothing was sent
            self._refuse(state, worker, Ineligibility.EVACUATED.value)
        attempt = state.metadata.attempt
        verdict = await self._ask(attempt, worker, connection, timeout_ms)
        if verdict is None:
            return None
        if verdict is Verdict.DIFFERENT:
            raise WorkerDidNotRun("incarnation_differs")
        refusal = self._notices.refusal(worker)
        if refusal is not None:
            self._refuse(state, worker, refusal)
        if verdict is Verdict.SAME:
            if not connection.reusable or connection.has_unread_input():
                return None
            connection.exchanges = 0
            self._reported[connection] = 0
        return verdict

    async def _ask(
        self,
        request: str,
        worker: Worker,
        connection: HttpConnection,
        timeout_ms: float = REPORT_TIMEOUT_MS,
    ) -> Verdict | None:
        """Ask for a worker's report; return None if the connection is closed.

        `request` is the id of the request that it is for, for logs.

        Raises
        ------
        WorkerDidNotRun
            If the address belongs to another worker.
        """
        if connection.exchanges == 0 and not await self._may_ask(worker, timeout_ms):
            self._log(request, worker, "worker_not_asked", reason="worker_cold")
            return Verdict.UNKNOWN
        if self._catalogue.eligibility.is_evacuated(worker):
            return Verdict.UNKNOWN
        asked_s = self._clock.monotonic_s()
        try:
            with trio.fail_after(to_s(timeout_ms)):
                started_ms = await self._receive_report(request, worker, connection)
        except ConnectionBroken as error:
            self._log(request, worker, "worker_report_failed", reason=str(error))
            return None
        except (ValueError, trio.TooSlowError) as error:
            self._log(request, worker, "worker_report_failed", reason=repr(error))
            started_ms = None
        verdict = self._incarnations.judge(worker, started_ms, asked_s)
        self._log(request, worker, "worker_incarnation_checked", result=verdict.value)
        if verdict is Verdict.DIFFERENT:
            self._log(
                request,
                worker,
                "worker_incarnation_differs",
                listed=worker.started_ms,
                reported=started_ms,
            )
            self._notices.record_ended(worker, "report")
            self._doubt_streams(worker)
        return verdict

    async def _may_ask(self, worker: Worker, timeout_ms: float) -> bool:
        """Wait until a cold worker may get a call on a new connection."""
        with trio.move_on_after(to_s(timeout_ms)):
            while not self._notices.may_ask(worker):
                await trio.sleep(to_s(COLD_CHECK_PERIOD_MS))
            return True
        return False

    async def _receive_report(
        self, request: str, worker: Worker, connection: HttpConnection
    ) -> int | None:
        """Return the start time in a worker's report; None if it names none.

        Raises
        ------
        ConnectionBroken
            If the connection breaks.
        ValueError
            If the response is no report.
        WorkerDidNotRun
            If the address belongs to another worker.
        """
        headers = request_format.worker_call_headers(worker.id)
        path = worker_format.REPORT_PATH
        await connection.send(OutgoingRequest(b"GET", path, headers))
        head = await connection.receive_head()
        reservation = self._memory.reservation(worker.key, connection, request)
        with reservation:
            body = await connection.receive_full_body(
                MAX_REPORT_BYTES, reservation.reserve
            )
        response = request_format.decode_response_metadata(head)
        self._notices.observe(worker, response)
        if response.wrong_worker:
            self._catalogue.record_draining(worker, "report")
            self._doubt_streams(worker)
            self._log(request, worker, "worker_not_asked", reason="wrong_worker")
            raise WorkerDidNotRun("wrong_worker")
        if head.status != 200:
            connection.forbid_reuse()
            raise ValueError(f"status {head.status}")
        return worker_format.decode_report_start(body)

    def _refuse(self, state: RequestState, worker: Worker, reason: str) -> None:
        """Raise `WorkerDidNotRun`."""
        attempt = state.metadata.attempt
        self._log(attempt, worker, "worker_not_asked", reason=reason)
        raise WorkerDidNotRun(reason)

    def _log(self, request: str, worker: Worker, kind: str, **fields) -> None:
        self._observer.decided(kind, request, worker=worker.id, **fields)


def _may_be_resumed(state: RequestState) -> bool:
    return state.route.kind is RequestKind.STREAMING and state.route.resumable
