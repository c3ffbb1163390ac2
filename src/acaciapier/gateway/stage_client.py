"""Client of stage workers."""

from collections.abc import Sequence

from ..core.clock import Clock
from ..http.client import OutgoingRequest
from ..platform import requests as request_format
from ..platform import stages as stage_format
from .connection_pool import WorkerConnectionPool
from .dispatch.stage_scheduler import WorkerRefused
from .models import Piece, PieceResult, Worker
from .supervision import TaskSupervisor
from .worker_notices import WorkerNotices

MAX_RESPONSE_BYTES = 1_000_000
"""A response contains a handle of some tens of bytes for each piece of a call."""


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
    """

    def __init__(
        self,
        connections: WorkerConnectionPool,
        tasks: TaskSupervisor,
        notices: WorkerNotices,
        clock: Clock,
    ):
        self._connections = connections
        self._tasks = tasks
        self._notices = notices
        self._clock = clock

    async def run(
        self, worker: Worker, pieces: Sequence[tuple[Piece, float]]
    ) -> list[PieceResult]:
        """Run pieces, each given with its remaining time in ms, in one call.

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
        response = await self._call(worker, stage_format.RUN_PATH, body)
        return stage_format.decode_run(response, len(pieces))

    async def free(self, worker: Worker, handles: Sequence[str]) -> None:
        """Tell a worker to free results."""
        body = stage_format.encode_free(handles)
        await self._call(worker, stage_format.FREE_PATH, body)

    async def _call(self, worker: Worker, path: bytes, body: bytes) -> bytes:
        refusal = self._notices.refusal(worker)
        if refusal is not None:
            raise WorkerRefused(
                refusal, retry_after_ms=self._notices.blocked_ms(worker)
            )
        sent_s = self._clock.monotonic_s()
        headers = request_format.worker_call_headers(worker.id)
        request = OutgoingRequest(b"POST", path, headers, body)
        async with self._connections.acquire(worker, repeatable=True) as connection:
            await connection.send(request, self._tasks)
            head = await connection.receive_head()
            response_body = await connection.receive_full_body(MAX_RESPONSE_BYTES)
        response = request_format.decode_response_metadata(head)
        ran = head.status == 200 and path == stage_format.RUN_PATH
        self._notices.observe(worker, response, sent_s if ran else None)
        if response.not_run or head.status != 200:
            raise WorkerRefused(
                f"status {head.status}",
                response.wrong_worker,
                self._notices.blocked_ms(worker),
            )
        return response_body
