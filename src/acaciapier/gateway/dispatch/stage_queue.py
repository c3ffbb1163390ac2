"""Queue of one stage service: which pieces go into the next call.

It holds the pieces of all instances, so that calls grow with the load. When more work
waits than can be done in time, the least valuable groups are deprioritized.
"""

from collections.abc import Iterable, Sequence

from ..models import BatchSpec, PieceFailure, PieceResult, Worker
from ..worker_eligibility import Unavailability
from ..worker_limits import WorkerLimits
from .health import WorkerHealth
from .piece_groups import LARGE_TRANSFER_BYTES, PieceGroup, StageCall
from .result_memory import (
    ResultMemory,
    StoredResult,
    Throughput,
    address_of,
    keys_by_address,
)
from .stage_capacity import (
    SLOW_WORKER_SLOWDOWN,
    capacity_per_ms,
    next_call_ms,
    unavailability,
)
from .stage_order import deprioritized_pieces, fill_call, select_on_time

PROBATION_PIECES = 2
"""Maximum size of calls to a worker that has not succeeded since its exclusion."""

MAX_FAILED_CALLS = 4
"""Failed calls after which a group is refused; each delays it by the time of a call."""

CERTAIN_WORK_SHARE = 0.8
"""Share of the work ahead of a group that is expected to run before it even in the best
case: the rest may be cancelled or take less time than declared."""


class StageQueue:
    """Pieces that wait for the workers of one stage service.

    Parameters
    ----------
    spec : BatchSpec
        Capacity and call times of one worker.
    limits : WorkerLimits, optional
        Paces the calls to workers that have named a limit.
    """

    def __init__(self, spec: BatchSpec, limits: WorkerLimits | None = None):
        self._limits = limits or WorkerLimits()
        self.spec = spec
        self.health = WorkerHealth()
        self._groups: list[PieceGroup] = []
        self._busy: dict[str, StageCall] = {}
        self._memories: dict[str, ResultMemory] = {}
        self._throughput = Throughput()
        self._silent_since_s: dict[str, float] = {}
        """By worker, until it answers."""
        self._unused_handles: list[str] = []
        self._cached_priorities: tuple[list[PieceGroup], list[PieceGroup]] | None = None
        self._cached_priorities_s = 0.0

    @property
    def waiting_pieces(self) -> int:
        """Number of pieces that wait for a call."""
        return sum(len(group.waiting) for group in self._groups)

    @property
    def waiting_groups(self) -> tuple[PieceGroup, ...]:
        """Groups with waiting pieces."""
        return tuple(self._groups)

    def is_busy(self, worker: Worker) -> bool:
        """Return whether a call from this queue is in progress at a worker."""
        return worker.key in self._busy

    def rate_per_ms(self, workers: Sequence[Worker], now_s: float) -> float:
        """Return the capacity, or the measured throughput if that is lower."""
        declared = self.capacity_per_ms(workers, now_s)
        measured = self._throughput.rate_per_ms
        return declared if measured is None else min(declared, measured)

    def capacity_per_ms(self, workers: Sequence[Worker], now_s: float) -> float:
        """Return the rate by declared call times, slowdowns and limits."""
        return capacity_per_ms(
            self.spec, self.health, self._limits, workers, self._silent_since_s, now_s
        )

    def forecast_ms(
        self, group: PieceGroup, workers: Sequence[Worker], now_s: float
    ) -> float | None:
        """Return the time until a new group would be done; None if there is no worker.

        Groups of the same or a higher priority, or due no later, are served before it.
        """
        rate = self.rate_per_ms(workers, now_s)
        if rate <= 0:
            return None
        ahead = sum(
            len(other.waiting)
            for other in self._groups
            if other.priority <= group.priority or other.due_s <= group.due_s
        )
        min_ms = self.spec.duration_ms(len(group.pieces))
        return min_ms + max(next_call_ms(self._limits, workers, now_s), ahead / rate)

    def add(self, group: PieceGroup) -> None:
        """Add a group that waits."""
        self._groups.append(group)
        self._cached_priorities = None

    def cancel(self, attempt: str) -> list[PieceGroup]:
        """Remove and return the groups of an attempt."""
        removed = [group for group in self._groups if group.attempt == attempt]
        for call in self._busy.values():
            removed += [
                group
                for group, _ in call.parts
                if group.attempt == attempt and group not in removed
            ]
        self._remove(removed)
        return removed

    def pop_all(self) -> list[PieceGroup]:
        """Remove and return all waiting groups, for another dispatcher."""
        self._remove(groups := list(self._groups))
        return groups

    def pop_infeasible(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[PieceGroup]:
        """Remove and return the groups that cannot be done before they expire.

        Early refusal lets their callers retry while there is time. Groups with too many
        failed calls are included.
        """
        rate = self.rate_per_ms(workers, now_s)
        infeasible = []
        ahead = 0
        limits_ms = next_call_ms(self._limits, workers, now_s)
        for group in self.ordered_groups(workers, now_s):
            pieces = len(group.waiting)
            need_ms = limits_ms + self.spec.duration_ms(pieces)
            if rate > 0:
                need_ms = max(need_ms, CERTAIN_WORK_SHARE * (ahead + pieces) / rate)
            if (
                group.failed_calls >= MAX_FAILED_CALLS
                or (workers and not any(map(group.is_allowed_at, workers)))
                or now_s + need_ms / 1_000.0 > group.expires_s
            ):
                infeasible.append(group)
            else:
                ahead += pieces
        self._remove(infeasible)
        return infeasible

    def _remove(self, groups: Iterable[PieceGroup]) -> None:
        """Remove groups, including those with pieces in a call."""
        for group in groups:
            group.cancelled = True
        self._cached_priorities = None
        self._groups = [group for group in self._groups if not group.cancelled]

    def waits_ms(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[tuple[int, float], ...]:
        """Return how long a new group of each priority would wait for its call."""
        rate = self.rate_per_ms(workers, now_s)
        if rate <= 0:
            return ()
        waits = []
        pieces = 0
        for priority in sorted({group.priority for group in self._groups}):
            pieces += sum(
                len(group.waiting)
                for group in self._groups
                if group.priority == priority
            )
            waits.append((priority, pieces / rate))
        return tuple(waits)

    def next_call(
        self, worker: Worker, workers: Sequence[Worker], now_s: float
    ) -> StageCall | None:
        """Return the next call for an idle worker; None if it should wait."""
        if not self._groups or self._unavailability(worker, now_s) is not None:
            return None
        memory = self._memories.setdefault(worker.key, ResultMemory())
        free_bytes = (
            memory.usable_share * self.spec.result_memory_bytes
            - memory.used_bytes(now_s)
        )
        max_pieces = (
            PROBATION_PIECES
            if self.health.on_probation(worker.key)
            else self.spec.max_pieces
        )
        on_time, deprioritized = (
            [group for group in groups if group.is_allowed_at(worker)]
            for groups in self._eligible_groups(worker, workers, now_s)
        )
        slowdown = max(1.0, self.health.slowdown(worker.key))
        if slowdown >= SLOW_WORKER_SLOWDOWN:
            on_time = self._feasible_at_slow_worker(on_time, slowdown, workers, now_s)
            deprioritized = self._feasible_at_slow_worker(
                deprioritized, slowdown, workers, now_s
            )
        parts = fill_call(on_time, max_pieces, free_bytes)
        parts += deprioritized_pieces(
            self.spec, parts, on_time, deprioritized, max_pieces, free_bytes, now_s
        )
        if not parts:
            return None
        size = sum(len(numbers) for _, numbers in parts)
        reserved = sum(len(numbers) * group.result_bytes for group, numbers in parts)
        expected_ms = slowdown * self.spec.duration_ms(size)
        expected_end_s = now_s + expected_ms / 1_000.0
        call = StageCall(worker, parts, expected_ms, reserved, expected_end_s)
        self._limits.record_send(worker.key, now_s)
        self._start_call(call, memory)
        return call

    def _unavailability(self, worker: Worker, now_s: float) -> Unavailability | None:
        memory = self._memories.get(worker.key)
        is_busy, limits = worker.key in self._busy, self._limits
        return unavailability(worker, is_busy, self.health, limits, memory, now_s)

    def ordered_groups(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[PieceGroup]:
        """Return the waiting groups in the order in which they are served."""
        on_time, deprioritized = self.prioritize(workers, now_s)
        return on_time + deprioritized

    def prioritize(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        """Return the groups that can be on time, and the deprioritized ones.

        Groups that can be on time are ordered by due time. If there are too many, those
        with the lowest value per piece are deprioritized (Moore-Hodgson algorithm);
        they and late groups follow by priority and expiry. The result is cached for all
        calls that start at the same time.
        """
        if self._cached_priorities is None or self._cached_priorities_s != now_s:
            self._cached_priorities = self._compute_priorities(workers, now_s)
            self._cached_priorities_s = now_s
        on_time, deprioritized = self._cached_priorities
        return [group for group in on_time if group.waiting], [
            group for group in deprioritized if group.waiting
        ]

    def _compute_priorities(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        rate = self.rate_per_ms(workers, now_s) or 1e-9
        feasible, deprioritized = [], []
        for group in self._groups:
            call_s = self.spec.duration_ms(len(group.waiting)) / 1_000.0
            late = now_s + call_s > group.latest_s
            (deprioritized if late else feasible).append(group)
        on_time, displaced = select_on_time(feasible, rate, now_s)
        deprioritized += displaced
        deprioritized.sort(key=lambda group: (group.priority, group.expires_s))
        return on_time, deprioritized

    def finish(
        self, call: StageCall, results: Sequence[PieceResult], now_s: float
    ) -> list[PieceGroup]:
        """Record the results of a call and return the groups that are done."""
        self._cached_priorities = None
        if call.left:
            memory = self._memories.setdefault(call.worker.key, ResultMemory())
        else:
            memory = self._end_call(call)
        completed = sum(result.handle is not None for result in results)
        saturation_pieces = self.spec.max_pieces * (len(self._busy) + 1)
        self._throughput.record(
            completed, self.waiting_pieces, saturation_pieces, now_s
        )
        until_s = now_s + self.spec.result_ttl_ms / 1_000.0
        done = []
        memory.record_completed_call()
        failed = set()
        for (group, number), result in zip(call.items(), results, strict=True):
            if result.failure not in (None, PieceFailure.OUT_OF_MEMORY):
                failed.add(group)
            if result.handle is None:
                group.put_back(number)
            elif group.take(number, result):
                memory.results[result.handle] = StoredResult(
                    group.result_bytes, until_s, group.owner
                )
            else:
                self._unused_handles.append(result.handle)
        for group, _ in call.parts:
            group.failed_calls += group in failed
            if group.done and not group.cancelled:
                done.append(group)
        self._groups = [group for group in self._groups if group.waiting]
        self._queue_again(call)
        return done

    def fail(self, call: StageCall, counts: bool = True) -> None:
        """Return all pieces of a failed call to the queue; `counts` if it was sent."""
        for group, _ in call.parts:
            group.failed_calls += counts
        if not call.left:
            self._return_pieces(call)

    def leave(self, call: StageCall, now_s: float) -> None:
        """Return the pieces of a call to the queue whose worker is silent.

        The worker may be sound: its answer is used for the pieces that have no result
        by then.
        """
        call.left = True
        self._silent_since_s.setdefault(call.worker.key, now_s)
        self._return_pieces(call)

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker has answered, or that its connection has failed."""
        self._silent_since_s.pop(worker.key, None)

    def pop_unused(self) -> list[str]:
        """Remove and return the handles of second results of pieces."""
        handles, self._unused_handles = self._unused_handles, []
        return handles

    def _return_pieces(self, call: StageCall) -> None:
        self._cached_priorities = None
        self._end_call(call)
        for group, numbers in call.parts:
            for number in numbers:
                group.put_back(number)
        self._queue_again(call)

    def _queue_again(self, call: StageCall) -> None:
        """Queue the groups of a call that have pieces to run."""
        for group, _ in call.parts:
            if group.waiting and not group.cancelled and group not in self._groups:
                self._groups.append(group)

    def record_out_of_memory(self, worker: Worker, now_s: float) -> None:
        """Pause calls to a worker that ran out of memory for results."""
        memory = self._memories.setdefault(worker.key, ResultMemory())
        memory.record_out_of_memory(now_s)

    def release(
        self, handles: Iterable[str], workers: Sequence[Worker]
    ) -> dict[str, list[str]]:
        """Remove results and return their handles by the key of their worker.

        The address in a handle identifies the worker, also for results that another
        dispatcher requested.
        """
        keys = keys_by_address(workers)
        by_worker: dict[str, list[str]] = {}
        for handle in handles:
            key = keys.get(address_of(handle))
            if key is None:
                continue
            by_worker.setdefault(key, []).append(handle)
            memory = self._memories.get(key)
            if memory is not None:
                memory.results.pop(handle, None)
        return by_worker

    def replace_results(
        self,
        owner: str,
        results: Iterable[tuple[str, int]],
        workers: Sequence[Worker],
        now_s: float,
    ) -> None:
        """Replace the recorded results of an instance by those that it reports.

        Needed when the dispatcher changes: a new one would overfill memory that is
        already in use, and one that takes over again would count results that another
        one has released.
        """
        for memory in self._memories.values():
            memory.remove_owner(owner)
        keys = keys_by_address(workers)
        until_s = now_s + self.spec.result_ttl_ms / 1_000.0
        for handle, size_bytes in results:
            key = keys.get(address_of(handle))
            if key is not None:
                memory = self._memories.setdefault(key, ResultMemory())
                memory.results[handle] = StoredResult(size_bytes, until_s, owner)

    def describe(self, workers: Sequence[Worker], now_s: float) -> list[list]:
        """Return slowdown, share of memory in use and usability of each worker."""
        rows = []
        for worker in workers:
            memory = self._memories.get(worker.key, ResultMemory())
            used = memory.used_bytes(now_s) / self.spec.result_memory_bytes
            slowdown = round(self.health.slowdown(worker.key), 2)
            usable = self.health.usable(worker.key, now_s)
            rows.append([worker.id, slowdown, round(used, 2), usable])
        return rows

    def retain_workers(self, workers: Sequence[Worker]) -> None:
        """Remove the state of workers that are gone."""
        keys = {worker.key for worker in workers} | self._busy.keys()
        self.health.keep_only(keys)
        for memory in (self._memories, self._silent_since_s):
            for key in memory.keys() - keys:
                del memory[key]

    def _eligible_groups(
        self, worker: Worker, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        """Return the groups of `prioritize` that may run at a worker.

        A group with large inputs waits for a worker in the data centre of its data
        instead if the next call there has capacity for it and ends in time.
        """
        idle_at_s: dict[str, list[float]] = {}
        for other in workers:
            if self.health.usable(other.key, now_s):
                idle_s = self._idle_at_s(other, now_s)
                idle_at_s.setdefault(other.data_centre, []).append(idle_s)
        capacity = {
            data_centre: self.spec.max_pieces * len(times_s)
            for data_centre, times_s in idle_at_s.items()
        }
        on_time, deprioritized = self.prioritize(workers, now_s)
        eligible = set()
        for group in on_time + deprioritized:
            data_centre, pieces = group.data_centre, len(group.waiting)
            if (
                group.transfer_bytes < LARGE_TRANSFER_BYTES
                or data_centre == worker.data_centre
                or data_centre not in idle_at_s
            ):
                eligible.add(group)
                continue
            capacity[data_centre] -= pieces
            done_s = (
                min(idle_at_s[data_centre]) + self.spec.duration_ms(pieces) / 1_000.0
            )
            if capacity[data_centre] < 0 or done_s > self._near_data_deadline_s(
                group, now_s
            ):
                eligible.add(group)
        return (
            [group for group in on_time if group in eligible],
            [group for group in deprioritized if group in eligible],
        )

    def _near_data_deadline_s(self, group: PieceGroup, now_s: float) -> float:
        """Return when a call near a group's data must end for the group to await it."""
        if now_s + self.spec.call_ms / 1_000.0 <= group.latest_s:
            return group.latest_s
        # The group is late in any case, but its inputs occupy memory that others need.
        return now_s + 2 * self.spec.duration_ms(self.spec.max_pieces) / 1_000.0

    def _idle_at_s(self, worker: Worker, now_s: float) -> float:
        call = self._busy.get(worker.key)
        idle_s = now_s + self._limits.wait_ms(worker.key, now_s) / 1_000.0
        return idle_s if call is None else max(idle_s, call.expected_end_s)

    def _feasible_at_slow_worker(
        self,
        groups: list[PieceGroup],
        slowdown: float,
        workers: Sequence[Worker],
        now_s: float,
    ) -> list[PieceGroup]:
        """Return the groups that a slow worker can still complete in time.

        If all workers are slow, return all groups.
        """
        fast_workers = [
            other
            for other in workers
            if self.health.usable(other.key, now_s)
            and self.health.slowdown(other.key) < SLOW_WORKER_SLOWDOWN
        ]
        if not fast_workers:
            return groups
        needed_s = slowdown * self.spec.duration_ms(PROBATION_PIECES) / 1_000.0
        return [group for group in groups if now_s + needed_s <= group.latest_s]

    def _start_call(self, call: StageCall, memory: ResultMemory) -> None:
        self._busy[call.worker.key] = call
        memory.reserved_bytes += call.reserved_bytes
        for group, numbers in call.parts:
            started = set(numbers)
            group.waiting = [n for n in group.waiting if n not in started]
        self._groups = [group for group in self._groups if group.waiting]

    def _end_call(self, call: StageCall) -> ResultMemory:
        del self._busy[call.worker.key]
        memory = self._memories.setdefault(call.worker.key, ResultMemory())
        memory.reserved_bytes = max(0.0, memory.reserved_bytes - call.reserved_bytes)
        return memory
