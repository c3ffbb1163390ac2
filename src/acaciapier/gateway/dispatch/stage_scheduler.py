"""Scheduler of one stage service: sends pieces to its workers, one call at a time."""

from collections.abc import Callable, Sequence
from functools import partial

import trio

from ...core.clock import Clock, to_s
from ...exceptions import AcaciapierError
from ...http.client import ConnectFailed, ConnectionBroken
from ..models import BatchSpec, PieceFailure, PieceResult, Worker
from ..supervision import TaskSupervisor
from ..worker_limits import WorkerLimits
from .health import FIRST_EXCLUSION_MS, MAX_EXCLUSION_MS
from .piece_groups import PieceGroup, StageCall
from .refusal import CANCELLED
from .stage_capacity import SOUND_SILENCE_MS, most_pieces
from .stage_queue import StageQueue

CALL_TIMEOUT_FACTOR = 1.7
"""Time after which the worker of a call is silent, as a multiple of the call's expected
time. Pieces vary by at most half of it, and a second call must still be able to finish
in time."""

CALL_TIMEOUT_MARGIN_MS = 200.0
"""Time that round trips and transfers of results may add to a call."""

MAX_LATE_RATIO = 4.0
"""Largest ratio of measured to expected time that a late answer counts for in its
worker's slowdown: a silence tells little of the following calls."""

CHECK_PERIOD_MS = 40.0
"""Interval at which excluded workers and infeasible groups are checked."""

RELEASE_TIMEOUT_MS = 1_000.0
"""Timeout of a call that releases results; unreleased results expire at the worker
after four times as long."""

MAX_WAIT_SHARE = 0.5
"""Share of its time in which a new group must be done to wait for excluded workers. One
that is refused instead leaves its caller time for another try."""

REPORT_PERIOD_MS = 1_000.0
"""Interval at which the load of a service is logged while pieces wait."""

LIMITED_RELEASE_PERIOD_MS = 2_000.0
"""Time between releases of results at a limited worker while pieces wait."""

RELEASE_DELAY_MS = 10.0
"""Delay of a release call; results of a worker released within it go into one call."""


class WorkerRefused(AcaciapierError):
    """The worker did not run the call.

    Parameters
    ----------
    wrong_worker : bool
        Whether another worker has its address now.
    retry_after_ms : float
        For how long the worker wants no further calls.
    not_asked : bool
        Whether nothing was sent, since the worker must get no calls.
    """

    def __init__(
        self,
        message: str,
        wrong_worker: bool = False,
        retry_after_ms: float = 0.0,
        not_asked: bool = False,
    ):
        self.not_asked = not_asked
        self.wrong_worker = wrong_worker
        self.retry_after_ms = retry_after_ms
        super().__init__(message)


class StageScheduler:
    """Scheduler of one stage service.

    Parameters
    ----------
    service : str
        Name of the service.
    spec : BatchSpec
        Capacity and call times of its workers.
    workers : callable
        Returns the workers that accept work.
    client : object
        Coroutines ``run(worker, pieces, silence_ms, on_silence)`` and ``free(worker,
        handles)``, and a method ``is_partitioned(service)``.
    clock : Clock
        Source of time.
    log : callable
        Writes a log event, given as a kind and fields.
    tasks : TaskSupervisor
        Runs the calls.
    limits : WorkerLimits
        Paces the calls to workers that have named a limit.
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
        limits: WorkerLimits,
    ):
        self.service = service
        self.queue = StageQueue(spec, limits)
        self._limits = limits
        self.calls = 0
        self.pieces_sent = 0
        self._workers = workers
        self._client = client
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._on_done: dict[PieceGroup, Callable[[PieceGroup, str | None], None]] = {}
        self._handles_to_release: dict[str, list[str]] = {}
        self._released_s: dict[str, float] = {}
        """Time of the last release call to each limited worker."""
        self._checking = False
        self._partitioned = False
        self._hand_over_reason: str | None = None
        """Why the pieces of failed calls return to their owners, if they do."""
        self._unanswered: set[str] = set()
        """Workers excluded after calls without an answer on the present path."""
        self._next_report_s = 0.0
        self._next_expiry_check_s = 0.0

    def submit(
        self, group: PieceGroup, on_done: Callable[[PieceGroup, str | None], None]
    ) -> None:
        """Queue a group; `on_done` gets the group and, if it failed, a reason."""
        self._on_done[group] = on_done
        self.queue.add(group)
        self.start_calls()
        self._start_checks()

    def forecast_ms(self, group: PieceGroup) -> float | None:
        """Return the time until a new group would be done; None without a worker."""
        self._update_path()
        now_s = self._clock.monotonic_s()
        return self.queue.forecast_ms(group, self._workers(), now_s)

    def may_wait(self, group: PieceGroup) -> bool:
        """Return whether a new group should wait until a worker is not excluded."""
        left_ms = (group.expires_s - self._clock.monotonic_s()) * 1_000.0
        excluded_ms = self.excluded_ms()
        spec = self.queue.spec
        done_ms = excluded_ms + spec.duration_ms(len(group.pieces))
        pieces = self.queue.waiting_pieces + len(group.pieces)
        return (
            0 < excluded_ms
            and done_ms <= MAX_WAIT_SHARE * left_ms
            and pieces <= most_pieces(spec, len(self._workers()), left_ms)
        )

    def excluded_ms(self) -> float:
        """Return after what time a worker accepts calls again; 0 if there is none."""
        now_s = self._clock.monotonic_s()
        health = self.queue.health
        return min(
            (health.excluded_ms(worker.key, now_s) for worker in self._workers()),
            default=0.0,
        )

    def capacity_per_ms(self) -> float:
        """Return how many pieces the workers complete in a millisecond."""
        return self.queue.capacity_per_ms(self._workers(), self._clock.monotonic_s())

    def waits_ms(self) -> tuple[tuple[int, float], ...]:
        """Return how long a new group of each priority would wait."""
        return self.queue.waits_ms(self._workers(), self._clock.monotonic_s())

    def cancel(self, attempt: str) -> None:
        """Cancel the groups of an attempt."""
        for group in self.queue.cancel(attempt):
            self._complete(group, CANCELLED)
            self.release_results(
                result.handle for result in group.results.values() if result.handle
            )

    def release_results(self, handles) -> None:
        """Remove results from the queue and release them at their workers."""
        released = self.queue.release(handles, self._workers())
        if not released:
            return
        start = not self._handles_to_release
        for key, names in released.items():
            self._handles_to_release.setdefault(key, []).extend(names)
        if start:
            self._tasks.start_soon(self._send_releases)
        self.start_calls()

    def replace_results(self, owner: str, results: Sequence[tuple[str, int]]) -> None:
        """Replace the recorded results of an instance by those that it reports."""
        now_s = self._clock.monotonic_s()
        self.queue.replace_results(owner, results, self._workers(), now_s)

    def hand_over(self, reason: str, for_good: bool = False) -> None:
        """Return all waiting groups to their owners.

        `for_good` tells that the pieces of calls to brittle workers which fail later go
        back as well: this instance stops, and another one calls the workers.
        """
        if for_good:
            self._hand_over_reason = reason
        for group in self.queue.pop_all():
            self._complete(group, reason)

    def start_calls(self) -> None:
        """Start a call at each idle worker for which there is work."""
        self._update_path()
        now_s = self._clock.monotonic_s()
        workers = self._workers()
        self.queue.retain_workers(workers)
        if now_s >= self._next_expiry_check_s:
            self._next_expiry_check_s = now_s + to_s(CHECK_PERIOD_MS)
            for group in self.queue.pop_infeasible(workers, now_s):
                self._complete(group, "hopeless")
        if self.queue.waiting_pieces:
            self._limits.brittle.record_waiting(workers, now_s)
        idle = [worker for worker in workers if not self.queue.is_busy(worker)]
        idle.sort(key=lambda worker: self.queue.health.slowdown(worker.key))
        for worker in idle:
            call = self.queue.next_call(worker, workers, now_s)
            if call is not None:
                self._tasks.start_soon(self._run_call, call)

    def _update_path(self) -> bool:
        """Return whether this instance is partitioned from the service.

        Calls without an answer say nothing about the workers once the path to them has
        changed.
        """
        partitioned = self._client.is_partitioned(self.service)
        if partitioned != self._partitioned:
            self._partitioned = partitioned
            for key in self._unanswered:
                self.queue.health.readmit(key)
            self._unanswered.clear()
        return partitioned

    def _start_checks(self) -> None:
        if not self._checking:
            self._checking = True
            self._tasks.start_soon(self._check_periodically)

    async def _check_periodically(self) -> None:
        try:
            while self.queue.waiting_pieces:
                await trio.sleep(to_s(CHECK_PERIOD_MS))
                self.start_calls()
                self._report()
        finally:
            self._checking = False

    def _report(self) -> None:
        """Log the load of the service once per period."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + to_s(REPORT_PERIOD_MS)
        self._log(
            "stage_load",
            service=self.service,
            waiting=self.queue.waiting_pieces,
            groups=len(self.queue.waiting_groups),
            calls=self.calls,
            pieces=self.pieces_sent,
            workers=self.queue.describe(self._workers(), now_s),
        )

    async def _run_call(self, call: StageCall) -> None:
        """Run one call; if it fails, its pieces return to the queue.

        They also do so while its worker is silent, which may answer all the same.
        """
        self.calls += 1
        self.pieces_sent += call.size
        start_s = self._clock.monotonic_s()
        pieces = [
            (group.pieces[number], (group.expires_s - start_s) * 1_000.0)
            for group, number in call.items()
        ]
        worker = call.worker
        results = None
        silence_ms = CALL_TIMEOUT_FACTOR * call.expected_ms + CALL_TIMEOUT_MARGIN_MS
        reason = f"no answer in {silence_ms:.0f} ms"
        retry_after_ms = 0.0
        answered = not_asked = False
        partitioned = self._update_path()
        expires_s = max(group.expires_s for group, _ in call.parts)
        longest_s = to_s(silence_ms + SOUND_SILENCE_MS)
        timeout_s = max(to_s(silence_ms), min(expires_s - start_s, longest_s))
        on_silence = partial(self._leave, call, start_s, partitioned, reason)
        self._limits.brittle.record_call(worker.key, 1)
        with trio.move_on_after(timeout_s) as timeout:
            try:
                results = await self._client.run(worker, pieces, silence_ms, on_silence)
            except WorkerRefused as refusal:
                answered = True
                reason = str(refusal)
                retry_after_ms = refusal.retry_after_ms
                not_asked = refusal.not_asked
            except ValueError as error:
                answered = True
                reason = str(error)
            except (ConnectFailed, ConnectionBroken) as error:
                reason = str(error)
            finally:
                self._limits.brittle.record_call(worker.key, -1)
        now_s = self._clock.monotonic_s()
        if timeout.cancelled_caught:
            reason = f"no answer in {(now_s - start_s) * 1_000.0:.0f} ms"
        else:
            self.queue.record_answer(worker)
        if results is None:
            self.queue.fail(call, counts=not not_asked)
            self._next_expiry_check_s = now_s
            excluded_ms = 0.0
            same_path = self._update_path() == partitioned
            if not not_asked and (answered or (same_path and not call.left)):
                excluded_ms = self._exclude(worker, answered, retry_after_ms, now_s)
            self._log_failure(call, start_s, reason, excluded_ms)
        else:
            self._record_results(call, results, (now_s - start_s) * 1_000.0, now_s)
        if results is None:
            self._hand_over_failed(worker)
        self.start_calls()
        self._start_checks()

    def _leave(
        self, call: StageCall, start_s: float, partitioned: bool, reason: str
    ) -> None:
        """Run the pieces of a call elsewhere, too, as its worker is silent."""
        now_s = self._clock.monotonic_s()
        self.queue.leave(call, now_s)
        self._next_expiry_check_s = now_s
        excluded_ms = 0.0
        if self._update_path() == partitioned:
            excluded_ms = self._exclude(call.worker, False, 0.0, now_s)
        self._log_failure(call, start_s, reason, excluded_ms)
        self._hand_over_failed(call.worker)
        self.start_calls()
        self._start_checks()

    def _hand_over_failed(self, worker: Worker) -> None:
        """Return what waits after a failed call if this instance stops.

        Sent from here, it would come on top of what the next dispatcher sends.
        """
        is_brittle = self._limits.brittle.rejections(worker) is not None
        if self._hand_over_reason is not None and is_brittle:
            self.hand_over(self._hand_over_reason)

    def _log_failure(
        self, call: StageCall, start_s: float, reason: str, excluded_ms: float
    ) -> None:
        elapsed_ms = (self._clock.monotonic_s() - start_s) * 1_000.0
        self._log(
            "stage_call_failed",
            service=self.service,
            worker=call.worker.id,
            pieces=call.size,
            elapsed_ms=round(elapsed_ms),
            reason=reason,
            excluded_ms=excluded_ms,
        )

    def _exclude(
        self, worker: Worker, answered: bool, retry_after_ms: float, now_s: float
    ) -> float:
        """Exclude a worker after a failed call; return for how many ms."""
        min_ms = max(retry_after_ms, self._limits.brittle.pause_ms(worker))
        max_ms = MAX_EXCLUSION_MS
        if answered or min_ms:
            self._unanswered.discard(worker.key)
        else:
            self._unanswered.add(worker.key)
        if self._partitioned and not answered:
            # The instance that passes the call on may have failed.
            max_ms = FIRST_EXCLUSION_MS
        return self.queue.health.exclude(worker.key, now_s, max_ms, min_ms)

    def _record_results(
        self,
        call: StageCall,
        results: list[PieceResult],
        elapsed_ms: float,
        now_s: float,
    ) -> None:
        failures = [result.failure for result in results if result.failure is not None]
        spec = self.queue.spec
        if not failures:
            ratio = elapsed_ms / spec.duration_ms(call.size)
            if call.left:
                ratio = min(ratio, MAX_LATE_RATIO)
            self.queue.health.record_success(call.worker.key)
            self._unanswered.discard(call.worker.key)
            self.queue.health.record_slowdown(call.worker.key, ratio, now_s)
        if PieceFailure.OUT_OF_MEMORY in failures:
            self.queue.record_out_of_memory(call.worker, now_s)
        if failures:
            self._log(
                "pieces_failed",
                service=self.service,
                worker=call.worker.id,
                reasons=sorted({failure.value for failure in failures}),
                failed=len(failures),
                of=call.size,
            )
        groups_without_inputs = {
            group
            for (group, _), result in zip(call.items(), results, strict=True)
            if result.failure is PieceFailure.INPUT_MISSING and not group.done
        }
        for group in self.queue.finish(call, results, now_s):
            self._complete(group, None)
        self.release_results(self.queue.pop_unused())
        for group in groups_without_inputs:
            self.queue.cancel(group.attempt)
            self._complete(group, "input_gone")
        for group, _ in call.parts:
            if group.cancelled:
                self.release_results(
                    [
                        result.handle
                        for result in group.results.values()
                        if result.handle
                    ]
                )

    def _complete(self, group: PieceGroup, reason: str | None) -> None:
        on_done = self._on_done.pop(group, None)
        if on_done is not None:
            on_done(group, reason)

    async def _send_releases(self) -> None:
        await trio.sleep(to_s(RELEASE_DELAY_MS))
        while self._handles_to_release:
            now_s = self._clock.monotonic_s()
            workers_by_key = {worker.key: worker for worker in self._workers()}
            for key in list(self._handles_to_release):
                worker = workers_by_key.get(key)
                if worker is None:
                    del self._handles_to_release[key]
                elif self._may_release(key, now_s):
                    self._limits.record_send(key, now_s)
                    handles = self._handles_to_release.pop(key)
                    self._tasks.start_soon(self._release_at, worker, handles)
            if self._handles_to_release:
                await trio.sleep(to_s(CHECK_PERIOD_MS))

    def _may_release(self, key: str, now_s: float) -> bool:
        """Return whether the limit of a worker leaves room for a release call.

        While pieces wait, most of the limit is left to them.
        """
        if self._limits.limit_per_s(key) is None:
            self._released_s.pop(key, None)
            return True
        if self._limits.wait_ms(key, now_s):
            return False
        released_s = self._released_s.setdefault(key, now_s)
        recent = now_s - released_s < to_s(LIMITED_RELEASE_PERIOD_MS)
        if recent and self.queue.waiting_pieces:
            return False
        self._released_s[key] = now_s
        return True

    async def _release_at(self, worker: Worker, handles: list[str]) -> None:
        """Release results of one worker; on failure they expire at the worker."""
        reason = f"no answer in {RELEASE_TIMEOUT_MS:g} ms"
        with trio.move_on_after(to_s(RELEASE_TIMEOUT_MS)):
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
