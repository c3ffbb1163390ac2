"""Provides connections to the listed incarnations of workers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from weakref import WeakSet

import trio

from ..core.clock import Clock, to_s
from ..http.client import ConnectionBroken, HttpConnection, OutgoingRequest
from ..platform import requests as request_format
from ..platform import workers as worker_format
from .catalogue import Catalogue
from .connection_pool import WorkerConnectionPool
from .incarnations import Incarnations, Verdict
from .models import RequestKind, ResponseMetadata, Worker, WorkerId
from .request_state import RequestState, WorkerDidNotRun
from .software_versions import UNKNOWN_VERSION
from .worker_notices import WorkerNotices

REPORT_TIMEOUT_MS = 300.0
"""A report needs no slot and takes about one round trip."""

MAX_REPORT_BYTES = 262_144


class CheckedConnections:
    """Connections of the pool, with the incarnation of the worker checked if needed.

    Only streams that may be resumed are checked; others are written by one worker.

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
    """

    def __init__(
        self,
        connections: WorkerConnectionPool,
        incarnations: Incarnations,
        catalogue: Catalogue,
        notices: WorkerNotices,
        clock: Clock,
        observer,
    ):
        self._connections = connections
        self._incarnations = incarnations
        self._catalogue = catalogue
        self._notices = notices
        self._clock = clock
        self._observer = observer
        self._confirmed: WeakSet[HttpConnection] = WeakSet()

    @asynccontextmanager
    async def acquire(
        self, state: RequestState, worker: Worker, force_new: bool = False
    ) -> AsyncIterator[HttpConnection]:
        """Provide a connection to a worker for one request.

        Raises
        ------
        ConnectFailed
            If no idle connection is usable and a new one cannot be opened.
        WorkerDidNotRun
            If the worker is another incarnation than the listed one, or if this is
            unknown and the request's version is not to change.
        """
        repeatable = state.route.repeatable
        if self._needs_check(state, worker):
            for new in (force_new, True):
                async with self._connections.acquire(
                    worker, repeatable, force_new=new, request=state.metadata.attempt
                ) as connection:
                    reused = connection.exchanges > 0
                    verdict = await self._check(state, worker, connection)
                    if verdict is Verdict.SAME:
                        yield connection
                        return
                if verdict is Verdict.UNKNOWN or not reused:
                    break
            if state.software_version is not None:
                self._refuse(state, worker, "incarnation_unknown")
            force_new = True
        async with self._connections.acquire(
            worker,
            repeatable,
            force_new=force_new,
            request=state.metadata.attempt,
        ) as connection:
            try:
                yield connection
            except Exception:
                self._review_version(state, worker)
                raise

    def _review_version(self, state: RequestState, worker: Worker) -> None:
        """Forget the version of a stream that another incarnation may have written.

        The connection was not checked, and a new entry of the worker came meanwhile.
        """
        listed = self._catalogue.workers.get(WorkerId(worker.id))
        if (
            state.software_version in (None, UNKNOWN_VERSION)
            or listed is None
            or listed.key == worker.key
            or listed.software_version == state.software_version
        ):
            return
        self._log(
            state,
            worker,
            "stream_version_unknown",
            listed=listed.software_version,
            former=state.software_version,
        )
        state.software_version = UNKNOWN_VERSION

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
            connection in self._confirmed
            and connection.exchanges == 1
            and status == 200
            and response.attempt is None
            and not response.has_seal
            and not response.not_run
        )

    def _needs_check(self, state: RequestState, worker: Worker) -> bool:
        if state.route.kind is not RequestKind.STREAMING or not state.route.resumable:
            return False
        versions = self._catalogue.serving.of(worker.service)
        return self._incarnations.needs_check(
            worker, state.software_version, versions, self._clock.monotonic_s()
        )

    async def _check(
        self, state: RequestState, worker: Worker, connection: HttpConnection
    ) -> Verdict | None:
        """Return whether a connection leads to the listed incarnation.

        Return None if the connection is closed.

        Raises
        ------
        WorkerDidNotRun
            If it leads elsewhere.
        """
        if connection in self._confirmed:
            return Verdict.SAME
        asked_s = self._clock.monotonic_s()
        try:
            with trio.fail_after(to_s(REPORT_TIMEOUT_MS)):
                started_ms = await self._receive_report(state, worker, connection)
        except ConnectionBroken as error:
            self._log(state, worker, "worker_report_failed", reason=str(error))
            return None
        except (ValueError, trio.TooSlowError) as error:
            self._log(state, worker, "worker_report_failed", reason=repr(error))
            started_ms = None
        verdict = self._incarnations.judge(worker, started_ms, asked_s)
        self._log(state, worker, "worker_incarnation_checked", result=verdict.value)
        if verdict is Verdict.DIFFERENT:
            self._log(
                state,
                worker,
                "worker_incarnation_differs",
                listed=worker.started_ms,
                reported=started_ms,
            )
            self._notices.record_ended(worker, "report")
            raise WorkerDidNotRun("incarnation_differs")
        refusal = self._notices.refusal(worker)
        if refusal is not None:
            self._refuse(state, worker, refusal)
        if verdict is Verdict.SAME:
            if not connection.reusable or connection.has_unread_input():
                return None
            connection.exchanges = 0
            self._confirmed.add(connection)
        return verdict

    async def _receive_report(
        self, state: RequestState, worker: Worker, connection: HttpConnection
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
        body = await connection.receive_full_body(MAX_REPORT_BYTES)
        response = request_format.decode_response_metadata(head)
        self._notices.observe(worker, response)
        if response.wrong_worker:
            self._catalogue.record_draining(worker, "report")
            self._refuse(state, worker, "wrong_worker")
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        return worker_format.decode_report_start(body)

    def _refuse(self, state: RequestState, worker: Worker, reason: str) -> None:
        """Raise `WorkerDidNotRun`."""
        self._log(state, worker, "worker_not_asked", reason=reason)
        raise WorkerDidNotRun(reason)

    def _log(self, state: RequestState, worker: Worker, kind: str, **fields) -> None:
        self._observer.decided(kind, state.metadata.attempt, worker=worker.id, **fields)
