"""The queue of one stage service: which pieces go into the next call.

Answers the load of many instances that each see too few pieces to fill a call:
all pieces of the fleet meet here, so calls grow with the load. When more work
waits than can be done in time, the least valuable is put behind.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..models import BatchSpec, Piece, PieceResult, Worker
from .health import WorkerHealth

LARGE_RESULT_BYTES = 200_000
"""From this size on, a request's results are kept at one worker if they fit."""

LARGE_TRANSFER_BYTES = 1_000_000
"""From this size on, transfers of a group between data centres are avoided: on the
users' links they cost more than a late answer is worth."""

TRIAL_PIECES = 2
"""Pieces of the first call to a worker that failed before."""

MAX_TRIES = 4
"""Calls in which a piece may take part; each costs a call's time."""

MIN_CALL_SHARE = 0.35
"""A call that other workers can take is left to them below this share of a batch
when this worker is slow."""

SLOW_PACE = 2.0
"""A worker that needs more than twice the expected time is used last."""

NO_ROOM_MS = 150.0
"""Pause of a worker that had no room: about the time of one call."""


@dataclass(eq=False)
class PieceGroup:
    """All pieces of one stage of one request.

    Parameters
    ----------
    owner : str
        Instance that serves the request.
    pieces : list of Piece
        The pieces, in order.
    result_bytes : int
        Size of one result.
    due_s : float
        When the results are wanted for an answer in time, as things usually go.
    latest_s : float
        From when on the answer is late in any case.
    expires_s : float
        When they become useless.
    priority : int
        Rank of the request, 0 first.
    value : float
        What an answer in time is worth.
    data_centre : str
        Where the results are best made.
    transfer_bytes : int
        What is transferred between data centres if they are made elsewhere.
    """

    owner: str
    pieces: list[Piece]
    result_bytes: int
    due_s: float
    latest_s: float
    expires_s: float
    priority: int
    value: float
    data_centre: str = ""
    transfer_bytes: int = 0
    results: dict[int, PieceResult] = field(default_factory=dict)
    waiting: list[int] = field(default_factory=list)
    tries: int = 0
    cancelled: bool = False

    def __post_init__(self):
        self.waiting = list(range(len(self.pieces)))

    @property
    def attempt(self) -> str:
        """Attempt that the pieces belong to."""
        return self.pieces[0].attempt

    @property
    def done(self) -> bool:
        """Whether every piece has its result."""
        return len(self.results) == len(self.pieces)

    @property
    def density(self) -> float:
        """Value of a piece."""
        return self.value / len(self.pieces)


@dataclass(eq=False)
class StageCall:
    """One call to a worker: numbers of pieces by group."""

    worker: Worker
    parts: list[tuple[PieceGroup, list[int]]]
    expected_ms: float
    reserved_bytes: float
    ends_s: float = 0.0

    @property
    def size(self) -> int:
        """Number of pieces."""
        return sum(len(numbers) for _, numbers in self.parts)

    def items(self) -> list[tuple[PieceGroup, int]]:
        """Return all pieces in the order in which they are sent."""
        return [(group, n) for group, numbers in self.parts for n in numbers]


@dataclass
class _WorkerRoom:
    """Results that lie at one worker."""

    reserved_bytes: float = 0.0
    results: dict[str, tuple[float, float]] = field(default_factory=dict)
    blocked_until_s: float = 0.0

    def used_bytes(self, now_s: float) -> float:
        expired = [h for h, (_, until_s) in self.results.items() if until_s <= now_s]
        for handle in expired:
            del self.results[handle]
        return self.reserved_bytes + sum(size for size, _ in self.results.values())


class StageQueue:
    """Pieces that wait for the workers of one stage service.

    Parameters
    ----------
    spec : BatchSpec
        What one worker can do.
    """

    def __init__(self, spec: BatchSpec):
        self.spec = spec
        self.health = WorkerHealth()
        self._groups: list[PieceGroup] = []
        self._busy: dict[str, StageCall] = {}
        self._rooms: dict[str, _WorkerRoom] = {}

    @property
    def waiting_pieces(self) -> int:
        """Number of pieces that wait for a call."""
        return sum(len(group.waiting) for group in self._groups)

    @property
    def waiting_groups(self) -> tuple[PieceGroup, ...]:
        """Groups of which some pieces wait."""
        return tuple(self._groups)

    def busy(self, worker: Worker) -> bool:
        """Return whether a worker has a call of ours."""
        return worker.key in self._busy

    def rate_per_ms(self, workers: Sequence[Worker], now_s: float) -> float:
        """Return how many pieces the usable workers make in a millisecond."""
        full = self.spec.batch / self.spec.duration_ms(self.spec.batch)
        paces = [
            max(1.0, self.health.pace(one.key))
            for one in workers
            if self.health.usable(one.key, now_s)
        ]
        return sum(full / pace for pace in paces if pace < SLOW_PACE) or sum(
            full / pace for pace in paces
        )

    def forecast_ms(
        self, group: PieceGroup, workers: Sequence[Worker], now_s: float
    ) -> float | None:
        """Return when a new group would be done if it waited behind all others.

        None if no worker is there.
        """
        rate = self.rate_per_ms(workers, now_s)
        if rate <= 0:
            return None
        ahead = sum(
            len(one.waiting)
            for one in self._groups
            if one.priority <= group.priority or one.due_s <= group.due_s
        )
        least_ms = self.spec.duration_ms(len(group.pieces))
        return least_ms + ahead / rate

    def add(self, group: PieceGroup) -> None:
        """Let a group wait."""
        self._groups.append(group)

    def cancel(self, attempt: str) -> list[PieceGroup]:
        """Take the groups of an attempt out; return them."""
        gone = [one for one in self._groups if one.attempt == attempt]
        for call in self._busy.values():
            gone += [g for g, _ in call.parts if g.attempt == attempt and g not in gone]
        for group in gone:
            group.cancelled = True
        self._groups = [one for one in self._groups if not one.cancelled]
        return gone

    def take_all(self) -> list[PieceGroup]:
        """Take every waiting group out, for another dispatcher."""
        groups, self._groups = self._groups, []
        return groups

    def take_hopeless(self, now_s: float) -> list[PieceGroup]:
        """Take out the groups that can no longer be done before they expire."""
        least_s = self.spec.call_ms / 1_000.0
        hopeless = [one for one in self._groups if now_s + least_s > one.expires_s]
        hopeless += [
            one
            for one in self._groups
            if one.tries >= MAX_TRIES and one not in hopeless
        ]
        if hopeless:
            self._groups = [one for one in self._groups if one not in hopeless]
        return hopeless

    def next_call(
        self, worker: Worker, workers: Sequence[Worker], now_s: float
    ) -> StageCall | None:
        """Return the next call for an idle worker, None if it is to wait."""
        if not self._groups or worker.key in self._busy:
            return None
        if not self.health.usable(worker.key, now_s):
            return None
        room = self._rooms.setdefault(worker.key, _WorkerRoom())
        if room.blocked_until_s > now_s:
            return None
        free_bytes = self.spec.result_bytes - room.used_bytes(now_s)
        most = TRIAL_PIECES if self.health.on_trial(worker.key) else self.spec.batch
        ordered = [
            one
            for one in self.order(workers, now_s)
            if not self._better_elsewhere(one, worker, workers, now_s)
        ]
        pace = max(1.0, self.health.pace(worker.key))
        if pace >= SLOW_PACE:
            ordered = self._slack_enough(ordered, pace, workers, now_s)
        parts = _fill(ordered, most, free_bytes)
        if not parts:
            return None
        size = sum(len(numbers) for _, numbers in parts)
        reserved = sum(len(numbers) * g.result_bytes for g, numbers in parts)
        expected_ms = pace * self.spec.duration_ms(size)
        ends_s = now_s + expected_ms / 1_000.0
        call = StageCall(worker, parts, expected_ms, reserved, ends_s)
        self._start(call, room)
        return call

    def order(self, workers: Sequence[Worker], now_s: float) -> list[PieceGroup]:
        """Return the waiting groups, the next first.

        Groups that can be in time come by their due times. If they are too many,
        those with the least value a piece are put behind (after Moore and
        Hodgson); then come the late ones, by rank and expiry.
        """
        rate = self.rate_per_ms(workers, now_s) or 1e-9
        in_time, late = [], []
        for group in self._groups:
            own_s = self.spec.duration_ms(len(group.waiting)) / 1_000.0
            (in_time if now_s + own_s <= group.latest_s else late).append(group)
        kept, behind = _keep_valuable(in_time, rate, now_s)
        behind += late
        behind.sort(key=lambda one: (one.priority, one.expires_s))
        return kept + behind

    def finish(
        self, call: StageCall, results: Sequence[PieceResult], now_s: float
    ) -> list[PieceGroup]:
        """Take over the answer to a call; return the groups that are done."""
        room = self._end(call)
        until_s = now_s + self.spec.result_ttl_ms / 1_000.0
        done = []
        for (group, number), result in zip(call.items(), results, strict=True):
            if result.handle is not None:
                room.results[result.handle] = (group.result_bytes, until_s)
                group.results[number] = result
            else:
                group.waiting.append(number)
        for group, _ in call.parts:
            if group.done:
                done.append(group)
            elif group.waiting and not group.cancelled and group not in self._groups:
                self._groups.append(group)
        return done

    def fail(self, call: StageCall) -> None:
        """Let all pieces of a failed call wait again."""
        self._end(call)
        for group, numbers in call.parts:
            group.waiting += numbers
            if not group.cancelled and group not in self._groups:
                self._groups.append(group)

    def note_no_room(self, worker: Worker, now_s: float) -> None:
        """Send nothing to a worker that had no room for a moment."""
        room = self._rooms.setdefault(worker.key, _WorkerRoom())
        room.blocked_until_s = now_s + NO_ROOM_MS / 1_000.0

    def free(self, handles: Iterable[str]) -> dict[str, list[str]]:
        """Forget results; return the handles by the key of their worker."""
        by_worker: dict[str, list[str]] = {}
        for handle in handles:
            for key, room in self._rooms.items():
                if room.results.pop(handle, None) is not None:
                    by_worker.setdefault(key, []).append(handle)
                    break
        return by_worker

    def describe(self, workers: Sequence[Worker], now_s: float) -> list[list]:
        """Return pace, used share of room and usability of each worker."""
        told = []
        for worker in workers:
            room = self._rooms.get(worker.key)
            used = room.used_bytes(now_s) / self.spec.result_bytes if room else 0.0
            pace = round(self.health.pace(worker.key), 2)
            usable = self.health.usable(worker.key, now_s)
            told.append([worker.id, pace, round(used, 2), usable])
        return told

    def keep_workers(self, workers: Sequence[Worker]) -> None:
        """Forget what is known of workers that are gone."""
        keys = {one.key for one in workers} | self._busy.keys()
        self.health.keep_only(keys)
        for key in self._rooms.keys() - keys:
            del self._rooms[key]

    def _better_elsewhere(
        self,
        group: PieceGroup,
        worker: Worker,
        workers: Sequence[Worker],
        now_s: float,
    ) -> bool:
        """Return whether a group is to wait for a worker near its data.

        It is, if one of those has it done in time; a late one waits for a call at
        most, as its inputs take the room of others.
        """
        if group.transfer_bytes < LARGE_TRANSFER_BYTES:
            return False
        if group.data_centre in ("", worker.data_centre):
            return False
        near = [
            one
            for one in workers
            if one.data_centre == group.data_centre
            and self.health.usable(one.key, now_s)
        ]
        if not near:
            return False
        free_s = min(self._free_at_s(one, now_s) for one in near)
        ahead = sum(
            len(one.waiting)
            for one in self._groups
            if one.data_centre == group.data_centre and one.due_s < group.due_s
        )
        calls_ahead = ahead // (self.spec.batch * len(near))
        full_s = self.spec.duration_ms(self.spec.batch) / 1_000.0
        own_s = self.spec.duration_ms(len(group.waiting)) / 1_000.0
        done_s = free_s + calls_ahead * full_s + own_s
        if now_s + own_s > group.latest_s:
            return free_s <= now_s + full_s and not calls_ahead
        return done_s <= group.latest_s

    def _free_at_s(self, worker: Worker, now_s: float) -> float:
        call = self._busy.get(worker.key)
        return now_s if call is None else max(now_s, call.ends_s)

    def _slack_enough(
        self,
        groups: list[PieceGroup],
        pace: float,
        workers: Sequence[Worker],
        now_s: float,
    ) -> list[PieceGroup]:
        """Return the groups that a slow worker still makes in time.

        Without a worker that is not slow, all of them.
        """
        others = [
            one
            for one in workers
            if self.health.usable(one.key, now_s)
            and self.health.pace(one.key) < SLOW_PACE
        ]
        if not others:
            return groups
        need_s = pace * self.spec.duration_ms(TRIAL_PIECES) / 1_000.0
        return [one for one in groups if now_s + need_s <= one.latest_s]

    def _start(self, call: StageCall, room: _WorkerRoom) -> None:
        self._busy[call.worker.key] = call
        room.reserved_bytes += call.reserved_bytes
        for group, numbers in call.parts:
            taken = set(numbers)
            group.waiting = [one for one in group.waiting if one not in taken]
            group.tries += 1
        self._groups = [one for one in self._groups if one.waiting]

    def _end(self, call: StageCall) -> _WorkerRoom:
        del self._busy[call.worker.key]
        room = self._rooms.setdefault(call.worker.key, _WorkerRoom())
        room.reserved_bytes = max(0.0, room.reserved_bytes - call.reserved_bytes)
        return room


def _keep_valuable(
    groups: Iterable[PieceGroup], rate_per_ms: float, now_s: float
) -> tuple[list[PieceGroup], list[PieceGroup]]:
    """Split groups into those that can all be in time, and the rest."""
    kept: list[PieceGroup] = []
    behind: list[PieceGroup] = []
    pieces = 0
    for group in sorted(groups, key=lambda one: one.due_s):
        kept.append(group)
        pieces += len(group.waiting)
        while now_s + pieces / rate_per_ms / 1_000.0 > group.latest_s:
            least = min(kept, key=lambda one: (-one.priority, one.density))
            kept.remove(least)
            behind.append(least)
            pieces -= len(least.waiting)
            if least is group or not kept:
                break
    return kept, behind


def _fill(
    groups: Iterable[PieceGroup], most: int, free_bytes: float
) -> list[tuple[PieceGroup, list[int]]]:
    """Fill a call with pieces, in order; groups with large results stay whole."""
    parts = []
    for group in groups:
        if most <= 0:
            break
        fits = int(free_bytes // group.result_bytes) if group.result_bytes else most
        count = min(len(group.waiting), most, fits)
        if count <= 0:
            continue
        if count < len(group.waiting) and parts:
            if group.result_bytes >= LARGE_RESULT_BYTES:
                continue
        parts.append((group, group.waiting[:count]))
        most -= count
        free_bytes -= count * group.result_bytes
    return parts
