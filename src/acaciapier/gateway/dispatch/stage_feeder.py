"""Sends the pieces of one stage service to its workers, call by call."""

from collections.abc import Callable, Sequence

import trio

from ...core.clock import Clock, to_s
from ...exceptions import AcaciapierError
from ...http.client import ConnectFailed, ConnectionBroken
from ..models import BatchSpec, PieceFailure, PieceResult, Worker
from ..supervision import TaskSupervisor
from .piece_groups import PieceGroup, StageCall
from .stage_queue import StageQueue

CALL_PATIENCE = 1.7
"""A call that takes longer than this multiple of its expected time is given up:
pieces differ by half of it at most, and a second call must still be in time."""

CALL_PATIENCE_MS = 200.0
"""What round trips and transfers of results may add to a call."""

TICK_MS = 40.0
"""Period in which excluded workers and expired groups are looked at."""

FREE_PATIENCE_MS = 1_000.0
"""Time after which freeing results is given up; they last four times as long."""

REPORT_PERIOD_MS = 1_000.0
"""Period of the line that tells the load of a service, while there is any."""

FREE_DELAY_MS = 10.0
"""Results that are given up within this time share one call."""


class WorkerRefused(AcaciapierError):
    """The worker did not run the call.

    Parameters
    ----------
    wrong_worker : bool
        Whether another worker has its address now.
    """

    def __init__(self, message: str, wrong_worker: bool = False):
        self.wrong_worker = wrong_worker
        super().__init__(message)


class StageFeeder:
    """Dispatcher of one stage service.

    Parameters
    ----------
    service : str
        Name of the service.
    spec : BatchSpec
        What its workers can do.
    workers : callable
        Returns the workers that take work.
    client : object
        Coroutines ``run(worker, pieces)`` and ``free(worker, handles)``.
    clock : Clock
        Source of time.
    log : callable
        Told decisions, as a kind and fields.
    tasks : TaskSupervisor
        Where calls run.
    """

    def __init__(
        self,
        service: str,
        spec: BatchSpec,
        workers: Callable[[], Sequence[Worker]],
        client,
        clock: Clock,
        log: Callable[..., None],
        tasks: TaskSupervisor,
    ):
        self.service = service
        self.queue = StageQueue(spec)
        self.calls = 0
        self.pieces_sent = 0
        self._workers = workers
        self._client = client
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._done: dict[PieceGroup, Callable[[PieceGroup, str | None], None]] = {}
        self._to_free: dict[str, list[str]] = {}
        self._ticking = False
        self._report_s = 0.0
        self._hopeless_s = 0.0

    def submit(
        self, group: PieceGroup, done: Callable[[PieceGroup, str | None], None]
    ) -> None:
        """Have a group made; `done` is told a reason if it was not."""
        self._done[group] = done
        self.queue.add(group)
        self.pump()
        self._start_tick()

    def forecast_ms(self, group: PieceGroup) -> float | None:
        """Return when a new group would be done; None without a worker."""
        now_s = self._clock.monotonic_s()
        return self.queue.forecast_ms(group, self._workers(), now_s)

    def capacity_per_ms(self) -> float:
        """Return how many pieces the workers can make in a millisecond."""
        return self.queue.capacity_per_ms(self._workers(), self._clock.monotonic_s())

    def waits_ms(self) -> tuple[tuple[int, float], ...]:
        """Return how long new groups of each rank would wait."""
        return self.queue.waits_ms(self._workers(), self._clock.monotonic_s())

    def cancel(self, attempt: str) -> None:
        """Give up the groups of an attempt."""
        for group in self.queue.cancel(attempt):
            self._finish(group, "cancelled")
            self.free(r.handle for r in group.results.values() if r.handle)

    def free(self, handles) -> None:
        """Give up results."""
        freed = self.queue.free(handles, self._workers())
        if not freed:
            return
        start = not self._to_free
        for key, names in freed.items():
            self._to_free.setdefault(key, []).extend(names)
        if start:
            self._tasks.start_soon(self._send_freed)
        self.pump()

    def replace_results(self, owner: str, results: Sequence[tuple[str, int]]) -> None:
        """Take over which results an instance holds."""
        now_s = self._clock.monotonic_s()
        self.queue.replace_results(owner, results, self._workers(), now_s)

    def hand_over(self, reason: str) -> None:
        """Give all waiting groups back to their owners."""
        for group in self.queue.take_all():
            self._finish(group, reason)

    def pump(self) -> None:
        """Start a call at each idle worker for which there is work."""
        now_s = self._clock.monotonic_s()
        workers = self._workers()
        self.queue.keep_workers(workers)
        if now_s >= self._hopeless_s:
            self._hopeless_s = now_s + to_s(TICK_MS)
            for group in self.queue.take_hopeless(workers, now_s):
                self._finish(group, "hopeless")
        idle = [one for one in workers if not self.queue.busy(one)]
        idle.sort(key=lambda one: self.queue.health.pace(one.key))
        for worker in idle:
            call = self.queue.next_call(worker, workers, now_s)
            if call is not None:
                self._tasks.start_soon(self._run, call)

    def _start_tick(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._tasks.start_soon(self._tick)

    async def _tick(self) -> None:
        while self.queue.waiting_pieces:
            await trio.sleep(to_s(TICK_MS))
            self.pump()
            self._report()
        self._ticking = False

    def _report(self) -> None:
        """Tell the load of the service from time to time."""
        now_s = self._clock.monotonic_s()
        if now_s < self._report_s:
            return
        self._report_s = now_s + to_s(REPORT_PERIOD_MS)
        self._log(
            "stage_load",
            service=self.service,
            waiting=self.queue.waiting_pieces,
            groups=len(self.queue.waiting_groups),
            calls=self.calls,
            pieces=self.pieces_sent,
            workers=self.queue.describe(self._workers(), now_s),
        )

    async def _run(self, call: StageCall) -> None:
        """Make one call, and let its pieces wait again if it fails."""
        self.calls += 1
        self.pieces_sent += call.size
        start_s = self._clock.monotonic_s()
        pieces = [
            (group.pieces[number], (group.expires_s - start_s) * 1_000.0)
            for group, number in call.items()
        ]
        worker, key = call.worker, call.worker.key
        results = None
        patience_ms = CALL_PATIENCE * call.expected_ms + CALL_PATIENCE_MS
        reason = f"no answer in {patience_ms:.0f} ms"
        with trio.move_on_after(to_s(patience_ms)):
            try:
                results = await self._client.run(worker, pieces)
            except (
                ConnectFailed,
                ConnectionBroken,
                WorkerRefused,
                ValueError,
            ) as error:
                reason = str(error)
        now_s = self._clock.monotonic_s()
        elapsed_ms = (now_s - start_s) * 1_000.0
        if results is None:
            self.queue.fail(call)
            excluded_ms = self.queue.health.exclude(key, now_s)
            self._log(
                "stage_call_failed",
                service=self.service,
                worker=worker.id,
                pieces=call.size,
                elapsed_ms=round(elapsed_ms),
                reason=reason,
                excluded_ms=excluded_ms,
            )
        else:
            self._take_over(call, results, elapsed_ms, now_s)
        self.pump()
        self._start_tick()

    def _take_over(
        self,
        call: StageCall,
        results: list[PieceResult],
        elapsed_ms: float,
        now_s: float,
    ) -> None:
        failures = [one.failure for one in results if one.failure is not None]
        spec = self.queue.spec
        if not failures:
            ratio = elapsed_ms / spec.duration_ms(call.size)
            self.queue.health.succeeded(call.worker.key)
            self.queue.health.note_pace(call.worker.key, ratio, now_s)
        if PieceFailure.OUT_OF_MEMORY in failures:
            self.queue.note_no_room(call.worker, now_s)
        if failures:
            self._log(
                "pieces_failed",
                service=self.service,
                worker=call.worker.id,
                reasons=sorted({one.value for one in failures}),
                failed=len(failures),
                of=call.size,
            )
        gone = {
            group
            for (group, _), result in zip(call.items(), results, strict=True)
            if result.failure is PieceFailure.INPUT_MISSING
        }
        for group in self.queue.finish(call, results, now_s):
            self._finish(group, None)
        for group in gone:
            self.queue.cancel(group.attempt)
            self._finish(group, "input_gone")
        for group, _ in call.parts:
            if group.cancelled:
                self.free([r.handle for r in group.results.values() if r.handle])

    def _finish(self, group: PieceGroup, reason: str | None) -> None:
        done = self._done.pop(group, None)
        if done is not None:
            done(group, reason)

    async def _send_freed(self) -> None:
        await trio.sleep(to_s(FREE_DELAY_MS))
        freed, self._to_free = self._to_free, {}
        by_key = {one.key: one for one in self._workers()}
        for key, handles in freed.items():
            if key not in by_key:
                continue
            self._tasks.start_soon(self._free_at, by_key[key], handles)

    async def _free_at(self, worker: Worker, handles: list[str]) -> None:
        """Free results of one worker; it drops them itself after their time."""
        reason = f"no answer in {FREE_PATIENCE_MS:g} ms"
        with trio.move_on_after(to_s(FREE_PATIENCE_MS)):
            try:
                await self._client.free(worker, handles)
                return
            except (ConnectFailed, ConnectionBroken, WorkerRefused) as error:
                reason = str(error)
        self._log(
            "results_not_freed",
            service=self.service,
            worker=worker.id,
            results=len(handles),
            reason=reason,
        )
