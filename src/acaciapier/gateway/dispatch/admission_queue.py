"""Admission queue of a chain of stages: which requests start it, and when.

Handles bursts beyond the capacity of the stages. Without admission every request would
start, results of early stages would fill the memory of their workers, and nearly all
requests would be late together. With it, only as many requests are in progress as can
finish in time. The others wait before the chain, where they use no memory of the
workers, and start when the chain has spare capacity. Retries of refused requests are
then served first, so that few requests are refused twice.
"""

import bisect
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from .result_memory import Throughput
from .workspace_shares import WorkspaceShares

FORECAST_MARGIN_MS = 150.0
"""Margin added to the forecast time of a request: about the duration of one call."""

PRIORITY_STEP_MS = 60.0
"""Extra margin before the due time for each step of lower priority: when the chain
fills up, requests of lower priority wait first, so that those of higher priority are on
time."""

SATURATION_MS = 700.0
"""Minimum work in progress in a chain, in ms of processing time, at which its
throughput is measured. With less work the chain completes requests only as fast as they
arrive. A chain of three average calls takes as long."""

AIM_STEP_MS = 100.0
"""Requests whose aims differ by less are counted together."""

CERTAIN_WORK_SHARE = 0.8
"""Share of the work ahead of a request that is expected to run before it even in the
best case; used to decide that a request is infeasible."""

MIN_TIME_SHARE = 0.8
"""Minimum time of a request, as a share of the average time of its chain."""

REFUSAL_MEMORY_S = 8.0
"""How long a refusal is remembered, to recognize the retry. Callers retry after a third
of the time that they have left, at most a third of the longest deadline; the rest is
margin."""

MAX_REMEMBERED_REFUSALS = 5_000
"""Number of remembered refusals at which expired ones are removed."""

OVERDUE_GRACE_S = 1.0
"""Delay after its expiry at which a started request that was never reported as done is
no longer counted as in progress."""


@dataclass(eq=False)
class AdmissionEntry:
    """A request that waits for a chain of stages or has started it.

    Parameters
    ----------
    attempt : str
        Attempt of the request.
    owner : str
        Instance that serves it.
    stage : int
        Number of the last stage of its chain.
    pieces : int
        Pieces of that stage.
    due_s : float
        When that stage has to be done for the answer to be on time.
    expires_s : float
        When its results become useless.
    average_ms : float
        Average time of the chain, computed from the declared times of its stages.
    priority : int
        Priority of the request, 0 is the highest: that of its workspace, if set.
    route_priority : int
        Priority of its route, which orders the requests of one workspace.
    fingerprint : str
        Hash of its content and caller, which identifies a retried request.
    retried : bool
        Whether it was refused before.
    workspace : str
        Workspace of its caller.
    """

    attempt: str
    owner: str
    stage: int
    pieces: int
    due_s: float
    expires_s: float
    average_ms: float
    priority: int
    route_priority: int = 0
    fingerprint: str = ""
    retried: bool = False
    workspace: str = ""
    aim_ms: float = 0.0
    """Time from its arrival to `due_s`, before it was known to be a retry."""


class AdmissionQueue:
    """Admission to the chains that end with one stage service.

    Requests wait in two lists: those that can still be on time, and the late ones in
    the order in which they start.
    """

    def __init__(self):
        self._on_time: list[AdmissionEntry] = []
        self._late: list[AdmissionEntry] = []
        self._started: dict[str, AdmissionEntry] = {}
        self._started_pieces = 0
        self._pieces_by_kind: Counter[tuple[tuple[int, int], int]] = Counter()
        """Started pieces by the urgency and the aim of their requests."""
        self._throughput = Throughput()
        self._refused: dict[str, tuple[float, float]] = {}
        self._shares = WorkspaceShares()

    @property
    def waiting(self) -> int:
        """Number of requests that wait before the chain."""
        return len(self._on_time) + len(self._late)

    @property
    def started_pieces(self) -> int:
        """Pieces of the last stage that started requests still need."""
        return self._started_pieces

    def add(self, entry: AdmissionEntry, now_s: float) -> None:
        """Add a request that waits before the chain.

        A retried request keeps the due time of its first try.
        """
        entry.aim_ms = (entry.due_s - now_s) * 1_000.0
        due_s, until_s = self._refused.pop(entry.fingerprint, (0.0, 0.0))
        if now_s < until_s:
            entry.retried = True
            entry.due_s = min(entry.due_s, due_s)
            bisect.insort(self._late, entry, key=_late_sort_key)
        else:
            self._on_time.append(entry)

    def remove(self, attempt: str) -> list[AdmissionEntry]:
        """Remove a request that is given up; return it if it was waiting."""
        waiting = [entry for entry in self._all_waiting() if entry.attempt == attempt]
        self._remove_waiting(set(waiting))
        self._pop_started(attempt)
        return waiting

    def remove_owner(self, owner: str) -> list[AdmissionEntry]:
        """Remove the requests of an instance; return those that were waiting."""
        entries = [*self._all_waiting(), *self._started.values()]
        attempts = [entry.attempt for entry in entries if entry.owner == owner]
        return [entry for attempt in attempts for entry in self.remove(attempt)]

    def remove_overdue(self, now_s: float) -> None:
        """Remove started requests that were never reported as done.

        Another dispatcher may have run their pieces.
        """
        overdue = [
            entry.attempt
            for entry in self._started.values()
            if entry.expires_s + OVERDUE_GRACE_S <= now_s
        ]
        for attempt in overdue:
            self._pop_started(attempt)

    def pop_all(self) -> list[AdmissionEntry]:
        """Remove and return all waiting requests, for another dispatcher."""
        waiting = self._all_waiting()
        self._on_time, self._late = [], []
        return waiting

    def finish(
        self, attempt: str, stage: int, capacity_per_ms: float, now_s: float
    ) -> None:
        """Record a completed stage of a request; all but the last one are ignored."""
        entry = self._started.get(attempt)
        if entry is not None and entry.stage == stage:
            self._pop_started(attempt)
            saturation_pieces = int(capacity_per_ms * SATURATION_MS)
            self._throughput.record(
                entry.pieces, self._started_pieces, saturation_pieces, now_s
            )

    def pop_admitted(
        self, capacity_per_ms: float, now_s: float
    ) -> list[AdmissionEntry]:
        """Remove and return the requests that may start now.

        `capacity_per_ms` is the number of pieces that the workers of the last stage
        complete in a millisecond.
        """
        self._move_late(now_s)
        admitted = []
        rate = self._rate_per_ms(capacity_per_ms)
        while rate > 0:
            entry = self._pop_next(rate, now_s)
            if entry is None:
                break
            self._pop_started(entry.attempt)
            self._started[entry.attempt] = entry
            self._started_pieces += entry.pieces
            self._pieces_by_kind[_kind(entry)] += entry.pieces
            self._shares.record(entry.workspace, entry.pieces, now_s)
            admitted.append(entry)
        return admitted

    def pop_infeasible(
        self, capacity_per_ms: float, now_s: float
    ) -> list[AdmissionEntry]:
        """Remove and return the requests that cannot be done before they expire."""
        self.remove_overdue(now_s)
        rate = self._rate_per_ms(capacity_per_ms)
        infeasible = []
        ahead = self._started_pieces
        above = self._above_share(now_s)
        for entry in _ordered_by_share([*self._late, *self._on_time], above):
            need_ms = MIN_TIME_SHARE * entry.average_ms
            if rate > 0:
                work = CERTAIN_WORK_SHARE * (ahead + entry.pieces)
                need_ms = max(need_ms, work / rate)
            if now_s + need_ms / 1_000.0 > entry.expires_s:
                infeasible.append(entry)
            else:
                ahead += entry.pieces
        self._remove_waiting(set(infeasible))
        for entry in infeasible:
            self._remember_refusal(entry, now_s)
        return infeasible

    def is_above_share(self, entry: AdmissionEntry, now_s: float) -> bool:
        """Return whether the workspace of a new request is above its fair share."""
        workspaces = {one.workspace for one in self._all_waiting()}
        return entry.workspace in self._shares.above(
            workspaces | {entry.workspace}, now_s
        )

    def backlog_ms(self, capacity_per_ms: float) -> float:
        """Return how long the waiting and the started requests need altogether."""
        rate = self._rate_per_ms(capacity_per_ms)
        waiting = sum(entry.pieces for entry in self._all_waiting())
        return (self._started_pieces + waiting) / rate if rate > 0 else 0.0

    def _remember_refusal(self, entry: AdmissionEntry, now_s: float) -> None:
        if not entry.fingerprint:
            return
        if len(self._refused) >= MAX_REMEMBERED_REFUSALS:
            self._refused = {
                fingerprint: (due_s, until_s)
                for fingerprint, (due_s, until_s) in self._refused.items()
                if now_s < until_s
            }
        self._refused[entry.fingerprint] = (entry.due_s, now_s + REFUSAL_MEMORY_S)

    def _all_waiting(self) -> list[AdmissionEntry]:
        return [*self._on_time, *self._late]

    def _remove_waiting(self, entries: set[AdmissionEntry]) -> None:
        if entries:
            self._on_time = [entry for entry in self._on_time if entry not in entries]
            self._late = [entry for entry in self._late if entry not in entries]

    def _move_late(self, now_s: float) -> None:
        """Move requests that would be late even in an empty chain to the late list."""
        late = [
            entry
            for entry in self._on_time
            if not self._can_be_on_time(entry, 0.0, now_s)
        ]
        for entry in late:
            self._on_time.remove(entry)
            bisect.insort(self._late, entry, key=_late_sort_key)

    def _pop_next(self, rate: float, now_s: float) -> AdmissionEntry | None:
        """Remove and return the request to start next.

        If the chain has spare capacity, a retried request is first; then a request that
        can be on time; then, with spare capacity, a late one.
        """
        in_progress_ms = self._started_pieces / rate
        above = self._above_share(now_s)
        late = next(iter(_ordered_by_share(self._late, above)), None)
        has_slack = late is not None and in_progress_ms <= late.average_ms
        if has_slack and late.retried and late.workspace not in above:
            self._late.remove(late)
            return late
        feasible = [
            entry
            for entry in self._on_time
            if self._can_be_on_time(entry, self._pieces_before(entry) / rate, now_s)
        ]
        feasible.sort(key=lambda entry: entry.due_s + _priority_offset_s(entry))
        if feasible:
            entry = _ordered_by_share(feasible, above)[0]
            self._on_time.remove(entry)
            return entry
        if has_slack:
            self._late.remove(late)
            return late
        return None

    def _above_share(self, now_s: float) -> Collection[str]:
        workspaces = {entry.workspace for entry in self._all_waiting()}
        return self._shares.above(workspaces, now_s)

    def _pieces_before(self, entry: AdmissionEntry) -> int:
        """Return the started pieces that do not give way to those of an entry.

        In the queues of the stages a less urgent request gives way. One that has
        enough time for the other's whole chain first is on time all the same.
        """
        least_aim_ms = entry.aim_ms + entry.average_ms
        yielding = (
            pieces
            for (urgency, aim_ms), pieces in self._pieces_by_kind.items()
            if urgency > _urgency(entry) and aim_ms >= least_aim_ms
        )
        return self._started_pieces - sum(yielding)

    def _can_be_on_time(
        self, entry: AdmissionEntry, in_progress_ms: float, now_s: float
    ) -> bool:
        need_ms = max(in_progress_ms, entry.average_ms) + FORECAST_MARGIN_MS
        return now_s + need_ms / 1_000.0 + _priority_offset_s(entry) <= entry.due_s

    def _rate_per_ms(self, capacity_per_ms: float) -> float:
        measured = self._throughput.rate_per_ms
        return capacity_per_ms if measured is None else min(capacity_per_ms, measured)

    def _pop_started(self, attempt: str) -> AdmissionEntry | None:
        entry = self._started.pop(attempt, None)
        if entry is not None:
            self._started_pieces -= entry.pieces
            self._pieces_by_kind[_kind(entry)] -= entry.pieces
            if not self._pieces_by_kind[_kind(entry)]:
                del self._pieces_by_kind[_kind(entry)]
        return entry


def _urgency(entry: AdmissionEntry) -> tuple[int, int]:
    return entry.priority, entry.route_priority


def _kind(entry: AdmissionEntry) -> tuple[tuple[int, int], int]:
    """Return urgency and aim of a request, which are about the same for its route."""
    return _urgency(entry), int(entry.aim_ms // AIM_STEP_MS * AIM_STEP_MS)


def _priority_offset_s(entry: AdmissionEntry) -> float:
    return PRIORITY_STEP_MS * (entry.priority + entry.route_priority) / 1_000.0


def _ordered_by_share(
    entries: list[AdmissionEntry], above: Collection[str]
) -> list[AdmissionEntry]:
    """Return entries with those of workspaces above their share after their equals.

    Entries of one priority, retried or not, exchange places; all others keep theirs.
    """
    if not above:
        return entries
    equals: dict[tuple, list[AdmissionEntry]] = {}
    for entry in entries:
        equals.setdefault(_rank(entry), []).append(entry)
    ordered = {
        rank: iter(sorted(group, key=lambda entry: entry.workspace in above))
        for rank, group in equals.items()
    }
    return [next(ordered[_rank(entry)]) for entry in entries]


def _rank(entry: AdmissionEntry) -> tuple[bool, int, int]:
    return not entry.retried, entry.priority, entry.route_priority


def _late_sort_key(entry: AdmissionEntry) -> tuple[bool, int, int, float]:
    return *_rank(entry), entry.expires_s
