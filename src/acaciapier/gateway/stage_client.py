"""Calls to stage workers."""

from collections.abc import Sequence

from ..http.client import OutgoingRequest
from ..platform import requests as terms_format
from ..platform import stages as stage_format
from .dispatch.stage_feeder import WorkerRefused
from .models import Piece, PieceResult, Worker
from .supervision import TaskSupervisor
from .worker_pool import WorkerConnections

MAX_ANSWER_BYTES = 1_000_000
"""An answer names a handle of some tens of bytes for each piece of one call."""


class StageClient:
    """Calls stage workers over kept connections.

    Parameters
    ----------
    connections : WorkerConnections
        Connections to workers.
    tasks : TaskSupervisor
        Where long bodies are written.
    """

    def __init__(self, connections: WorkerConnections, tasks: TaskSupervisor):
        self._connections = connections
        self._tasks = tasks

    async def run(
        self, worker: Worker, pieces: Sequence[tuple[Piece, float]]
    ) -> list[PieceResult]:
        """Have pieces made, each with its remaining time in ms.

        Raises
        ------
        ConnectFailed, ConnectionBroken
            If the worker was not reached, or broke off.
        WorkerRefused
            If it did not run the call.
        ValueError
            If its answer is malformed.
        """
        body = stage_format.encode_run(pieces)
        answer = await self._call(worker, stage_format.RUN_PATH, body)
        return stage_format.decode_run(answer, len(pieces))

    async def free(self, worker: Worker, handles: Sequence[str]) -> None:
        """Give up results of a worker."""
        body = stage_format.encode_free(handles)
        await self._call(worker, stage_format.FREE_PATH, body)

    async def _call(self, worker: Worker, path: bytes, body: bytes) -> bytes:
        headers = terms_format.worker_call_headers(worker.id)
        request = OutgoingRequest(b"POST", path, headers, body)
        async with self._connections.lease(worker, repeatable=True) as connection:
            await connection.send(request, self._tasks)
            head = await connection.receive_head()
            answer = await connection.receive_whole_body(MAX_ANSWER_BYTES)
        told = terms_format.decode_answer(head)
        if told.not_run or head.status != 200:
            raise WorkerRefused(f"status {head.status}", told.wrong_worker)
        return answer
