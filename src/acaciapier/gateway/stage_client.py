"""Client of stage workers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from weakref import WeakKeyDictionary

import trio
import xxhash

from ..core.clock import Clock, to_s
from ..http.client import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    OutgoingRequest,
    ResponseHead,
)
from ..platform import requests as request_format
from ..platform import stages as stage_format
from .connection_pool import WorkerConnectionPool
from .dispatch.stage_scheduler import WorkerRefused
from .models import Piece, PieceResult, ServiceName, Worker
from .response_memory import ResponseMemory
from .supervision import TaskSupervisor
from .worker_eligibility import Ineligibility
from .worker_notices import WorkerNotices

MAX_ANSWERS = 500
"""Answers with results that one connection carries. Second copies of them may arrive as
long as it is open."""

MAX_COPIES = 8
"""Second copies of answers that are skipped before the answer to a call."""

MAX_RESPONSE_BYTES = 1_000_000
"""A response contains a handle of some tens of bytes for each piece of a call."""


@dataclass
class _Silence:
    """What to do when a call has no answer for a while."""

    after_ms: float
    on_silence: Callable[[], None]
    connection: HttpConnection | None = None
    """Connection of the call, once there is one."""


class StageClient:
    """Calls stage workers over persistent connections.

    Parameters
    ----------
    connections : WorkerConnectionPool
        Pool of connections to workers.
    tasks : TaskSupervisor
        Runs the tasks that write long request bodies.
    notices : WorkerNotices
        What the workers announced.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    memory : ResponseMemory
        Bounds the responses in progress.
    ineligibility : callable, optional
        Returns why a worker must get nothing, as it is listed now; None if it may. The
        region of a worker does not change, so that the dispatcher's choice needs no
        check of it.
    """

    def __init__(
        self,
        connections: WorkerConnectionPool,
        tasks: TaskSupervisor,
        notices: WorkerNotices,
        clock: Clock,
        log: Callable[..., None],
        memory: ResponseMemory,
        ineligibility: Callable[[Worker], Ineligibility | None] = lambda worker: None,
    ):
        self._ineligibility = ineligibility
        self._memory = memory
        self._connections = connections
        self._tasks = tasks
        self._notices = notices
        self._clock = clock
        self._log = log
        self._answers: WeakKeyDictionary[HttpConnection, set[int]] = WeakKeyDictionary()
        """Hashes of the answers with results that came over each connection."""

    async def run(
        self,
        worker: Worker,
        pieces: Sequence[tuple[Piece, float]],
        silence_ms: float,
        on_silence: Callable[[], None],
    ) -> list[PieceResult]:
        """Run pieces, each given with its remaining time in ms, in one call.

        `on_silence` is called if there is no answer after `silence_ms`; the call goes
        on.

        Raises
        ------
        ConnectFailed, ConnectionBroken
            If the worker could not be reached, or the connection broke.
        WorkerRefused
            If the worker did not run the call.
        ValueError
            If its response is malformed.
        """
        body = stage_format.encode_run(pieces)
        results: list[PieceResult] = []
        silence = _Silence(silence_ms, on_silence)
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, worker, silence)
            try:
                await self._call(
                    worker,
                    stage_format.RUN_PATH,
                    body,
                    lambda body: results.extend(
                        stage_format.decode_run(body, len(pieces))
                    ),
                    silence,
                )
            except Exception as error:
                # Raised from here, it would leave the nursery as a group.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            try:
                if isinstance(failure, ConnectFailed):
                    self._check_eligible(worker)
                raise failure
            finally:
                # Its traceback refers to this frame.
                del failure
        return results

    async def free(self, worker: Worker, handles: Sequence[str]) -> None:
        """Tell a worker to free results."""
        body = stage_format.encode_free(handles)
        await self._call(worker, stage_format.FREE_PATH, body)

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this instance does not reach a service's workers itself."""
        return self._connections.is_partitioned(service)

    async def _watch(self, worker: Worker, silence: "_Silence") -> None:
        await trio.sleep(to_s(silence.after_ms))
        # The worker is slow or silent, or its link is cut.
        self._connections.record_silence(worker, silence.connection)
        silence.on_silence()

    def _is_copy(self, connection: HttpConnection, body: bytes) -> bool:
        """Return whether a response has the results of an earlier one.

        Responses to calls have no id: a second copy of one, which arrives late on its
        connection, would be taken for the next one.
        """
        handles = stage_format.decode_handles(body)
        if not handles:
            return False
        answers = self._answers.setdefault(connection, set())
        answer = xxhash.xxh3_64_intdigest(handles[0].encode())
        if answer in answers:
            return True
        answers.add(answer)
        if len(answers) >= MAX_ANSWERS:
            connection.forbid_reuse()
        return False

    async def _call(
        self,
        worker: Worker,
        path: bytes,
        body: bytes,
        decode: Callable[[bytes], None] = lambda body: None,
        silence: "_Silence | None" = None,
    ) -> None:
        """Make a call; `decode` gets the body of the response if the call was run."""
        self._check_eligible(worker)
        refusal = self._notices.refusal(worker)
        if refusal is not None:
            raise WorkerRefused(
                refusal, retry_after_ms=self._notices.blocked_ms(worker)
            )
        sent_s = self._clock.monotonic_s()
        headers = request_format.worker_call_headers(worker.id)
        request = OutgoingRequest(b"POST", path, headers, body)
        async with self._connections.acquire(worker, repeatable=True) as connection:
            self._check_eligible(worker)
            if silence is not None:
                silence.connection = connection
            try:
                await connection.send(request, self._tasks)
                head, response_body = await self._receive(worker, connection)
            except trio.Cancelled:
                # The worker is slow, or its link is cut.
                self._connections.record_silence(worker, connection)
                raise
            response = request_format.decode_response_metadata(head)
            if response.not_run or head.status != 200:
                # A second copy of it would be taken for the response to a later call.
                connection.forbid_reuse()
            else:
                if path == stage_format.RUN_PATH and not stage_format.decode_handles(
                    response_body
                ):
                    # Without a handle a second copy of it is not recognised.
                    connection.forbid_reuse()
                try:
                    decode(response_body)
                except ValueError:
                    # It may be the answer to another call, and this one's follows.
                    connection.close()
                    raise
        ran = head.status == 200 and path == stage_format.RUN_PATH
        self._notices.observe(worker, response, sent_s if ran else None)
        if response.not_run or head.status != 200:
            raise WorkerRefused(
                f"status {head.status}",
                response.wrong_worker,
                self._notices.blocked_ms(worker),
            )

    def _check_eligible(self, worker: Worker) -> None:
        """Raise `WorkerRefused` if a worker must get nothing any more."""
        reason = self._ineligibility(worker)
        if reason is not None:
            raise WorkerRefused(reason.value, not_asked=True)

    async def _receive(
        self, worker: Worker, connection: HttpConnection
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a call; skip copies of earlier ones."""
        for _ in range(MAX_COPIES):
            head = await connection.receive_head()
            with self._memory.reservation(worker.key, connection) as reservation:
                body = await connection.receive_full_body(
                    MAX_RESPONSE_BYTES, reservation.reserve
                )
            if not self._is_copy(connection, body):
                return head, body
            self._log("stage_answer_skipped", worker=worker.id)
            connection.expect_another_response()
        raise ConnectionBroken(f"{worker.address}: copies of earlier answers")
