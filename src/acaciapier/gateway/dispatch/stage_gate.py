"""Which requests may begin a chain of stages, and when.

Answers bursts beyond what the stages can do. Without it every request is begun,
results of early stages fill the rooms of their workers, and nearly all requests are
late together. With it, as many are inside the chain as can be done in time; the
others wait before it, hold no room, and are begun when there is time to spare. Those
that were refused and came back are first then, so that few are refused twice.
"""

import bisect
from dataclasses import dataclass

from .stage_rooms import Throughput

MARGIN_MS = 150.0
"""What a forecast may be wrong by: about the time of one call."""

RANK_MS = 60.0
"""What a rank of urgency is worth in time: less urgent requests stop being begun this
much earlier when the chain fills up, so that the urgent ones stay in time."""

SATURATED_MS = 700.0
"""Work inside a chain, as time, from which on its rate is measured: with less, the
rate is that of the arrivals. A chain of three usual calls takes as long."""

HOPELESS_SHARE = 0.8
"""Share of the work before a request that is surely done before it."""

LEAST_SHARE = 0.8
"""Share of the usual time that a request needs at least."""

REMEMBERED_S = 8.0
"""Time in which a refused request may come back: callers wait for a third of their
time left, a third of the longest deadline of the users' sheets, and a margin."""

MOST_REMEMBERED = 5_000
"""Refused requests that are remembered before old ones are dropped."""

OVERDUE_S = 1.0
"""A request that nobody reported as done counts so long after its expiry."""


@dataclass(eq=False)
class GateEntry:
    """A request before or inside a chain of stages.

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
        When that stage is to be done for an answer in time.
    expires_s : float
        When its results become useless.
    usual_ms : float
        Time that the chain usually takes.
    priority : int
        Rank of the request, 0 first: its workspace's, if that has one.
    route_priority : int
        Rank of its route, which orders the requests of one workspace.
    fingerprint : str
        Hash of its content and caller, by which a returning one is known.
    returning : bool
        Whether it was refused before.
    """

    attempt: str
    owner: str
    stage: int
    pieces: int
    due_s: float
    expires_s: float
    usual_ms: float
    priority: int
    route_priority: int = 0
    fingerprint: str = ""
    returning: bool = False


class StageGate:
    """Admission to the chains that end with one stage service.

    Requests wait in two lists: the fresh ones, which can be in time, and the late
    ones in the order in which they begin.
    """

    def __init__(self):
        self._fresh: list[GateEntry] = []
        self._late: list[GateEntry] = []
        self._inside: dict[str, GateEntry] = {}
        self._pieces_inside = 0
        self._measure = Throughput()
        self._refused: dict[str, tuple[float, float]] = {}

    @property
    def waiting(self) -> int:
        """Number of requests before the chain."""
        return len(self._fresh) + len(self._late)

    @property
    def pieces_inside(self) -> int:
        """Pieces of the last stage that are still to be made for begun requests."""
        return self._pieces_inside

    def add(self, entry: GateEntry, now_s: float) -> None:
        """Let a request wait before the chain.

        One that was refused is wanted at the time at which it was wanted first.
        """
        due_s, until_s = self._refused.pop(entry.fingerprint, (0.0, 0.0))
        if now_s < until_s:
            entry.returning = True
            entry.due_s = min(entry.due_s, due_s)
            bisect.insort(self._late, entry, key=_late_order)
        else:
            self._fresh.append(entry)

    def remove(self, attempt: str) -> list[GateEntry]:
        """Forget a request that is given up; return it if it was waiting."""
        waiting = [one for one in self._all_waiting() if one.attempt == attempt]
        self._drop_waiting(set(waiting))
        self._take_out(attempt)
        return waiting

    def remove_owner(self, owner: str) -> list[GateEntry]:
        """Forget the requests of an instance; return those that were waiting."""
        known = [*self._all_waiting(), *self._inside.values()]
        attempts = [one.attempt for one in known if one.owner == owner]
        return [entry for attempt in attempts for entry in self.remove(attempt)]

    def take_all(self) -> list[GateEntry]:
        """Take every waiting request out, for another dispatcher."""
        waiting = self._all_waiting()
        self._fresh, self._late = [], []
        return waiting

    def finish(
        self, attempt: str, stage: int, capacity_per_ms: float, now_s: float
    ) -> None:
        """Note that a stage of a request is done; only the last one counts."""
        entry = self._inside.get(attempt)
        if entry is not None and entry.stage == stage:
            self._take_out(attempt)
            saturated = int(capacity_per_ms * SATURATED_MS)
            self._measure.note(entry.pieces, self._pieces_inside, saturated, now_s)

    def take_admitted(self, capacity_per_ms: float, now_s: float) -> list[GateEntry]:
        """Take out the requests that may begin now.

        `capacity_per_ms` is the number of pieces that the workers of the last stage
        make in a millisecond.
        """
        self._sort_out_late(now_s)
        admitted = []
        rate = self._rate_per_ms(capacity_per_ms)
        while rate > 0:
            entry = self._take_next(rate, now_s)
            if entry is None:
                break
            self._take_out(entry.attempt)
            self._inside[entry.attempt] = entry
            self._pieces_inside += entry.pieces
            admitted.append(entry)
        return admitted

    def take_hopeless(self, capacity_per_ms: float, now_s: float) -> list[GateEntry]:
        """Take out the requests that cannot be done before they expire."""
        self._drop_overdue(now_s)
        rate = self._rate_per_ms(capacity_per_ms)
        hopeless = []
        ahead = self._pieces_inside
        for entry in [*self._late, *self._fresh]:
            need_ms = LEAST_SHARE * entry.usual_ms
            if rate > 0:
                work = HOPELESS_SHARE * (ahead + entry.pieces)
                need_ms = max(need_ms, work / rate)
            if now_s + need_ms / 1_000.0 > entry.expires_s:
                hopeless.append(entry)
            else:
                ahead += entry.pieces
        self._drop_waiting(set(hopeless))
        for entry in hopeless:
            self._remember(entry, now_s)
        return hopeless

    def clear_ms(self, capacity_per_ms: float) -> float:
        """Return when all that waits and is inside now will be done."""
        rate = self._rate_per_ms(capacity_per_ms)
        waiting = sum(one.pieces for one in self._all_waiting())
        return (self._pieces_inside + waiting) / rate if rate > 0 else 0.0

    def _remember(self, entry: GateEntry, now_s: float) -> None:
        if not entry.fingerprint:
            return
        if len(self._refused) >= MOST_REMEMBERED:
            self._refused = {
                known: (due_s, until_s)
                for known, (due_s, until_s) in self._refused.items()
                if now_s < until_s
            }
        self._refused[entry.fingerprint] = (entry.due_s, now_s + REMEMBERED_S)

    def _all_waiting(self) -> list[GateEntry]:
        return [*self._fresh, *self._late]

    def _drop_waiting(self, entries: set[GateEntry]) -> None:
        if entries:
            self._fresh = [one for one in self._fresh if one not in entries]
            self._late = [one for one in self._late if one not in entries]

    def _sort_out_late(self, now_s: float) -> None:
        """Put the requests behind that are late whatever is inside."""
        late = [one for one in self._fresh if not self._in_time(one, 0.0, now_s)]
        for entry in late:
            self._fresh.remove(entry)
            bisect.insort(self._late, entry, key=_late_order)

    def _take_next(self, rate: float, now_s: float) -> GateEntry | None:
        """Take out the request to begin next.

        With time to spare one that came back, else one in time, else a late one.
        """
        busy_ms = self._pieces_inside / rate
        late = self._late[0] if self._late else None
        spare = late is not None and busy_ms <= late.usual_ms
        if spare and late.returning:
            return self._late.pop(0)
        in_time = [one for one in self._fresh if self._in_time(one, busy_ms, now_s)]
        if in_time:
            entry = min(in_time, key=lambda one: one.due_s + _rank_s(one))
            self._fresh.remove(entry)
            return entry
        return self._late.pop(0) if spare else None

    def _in_time(self, entry: GateEntry, busy_ms: float, now_s: float) -> bool:
        need_ms = max(busy_ms, entry.usual_ms) + MARGIN_MS
        return now_s + need_ms / 1_000.0 + _rank_s(entry) <= entry.due_s

    def _rate_per_ms(self, capacity_per_ms: float) -> float:
        measured = self._measure.rate_per_ms
        return capacity_per_ms if measured is None else min(capacity_per_ms, measured)

    def _take_out(self, attempt: str) -> GateEntry | None:
        entry = self._inside.pop(attempt, None)
        if entry is not None:
            self._pieces_inside -= entry.pieces
        return entry

    def _drop_overdue(self, now_s: float) -> None:
        overdue = [
            one.attempt
            for one in self._inside.values()
            if one.expires_s + OVERDUE_S <= now_s
        ]
        for attempt in overdue:
            self._take_out(attempt)


def _rank_s(entry: GateEntry) -> float:
    return RANK_MS * (entry.priority + entry.route_priority) / 1_000.0


def _late_order(entry: GateEntry) -> tuple[bool, int, int, float]:
    ranks = entry.priority, entry.route_priority
    return not entry.returning, *ranks, entry.expires_s
