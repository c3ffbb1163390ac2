"""The queue of one stage service: which pieces go into the next call.

Answers the load of many instances that each see too few pieces to fill a call:
all pieces of the fleet meet here, so calls grow with the load. When more work
waits than can be done in time, the least valuable is put behind.
"""

from collections.abc import Iterable, Sequence

from ..models import BatchSpec, PieceFailure, PieceResult, Worker
from .health import WorkerHealth
from .piece_groups import PieceGroup, StageCall
from .stage_order import fill, keep_valuable
from .stage_rooms import StoredResult, Throughput, WorkerRoom

LARGE_TRANSFER_BYTES = 1_000_000
"""From this size on, transfers of a group between data centres are avoided: on the
users' links they cost more than a late answer is worth."""

TRIAL_PIECES = 2
"""Pieces of the first call to a worker that failed before."""

MAX_TRIES = 4
"""Calls that may fail for a group; each costs a call's time."""

HOPELESS_SHARE = 0.8
"""Share of the work before a group that is surely done before it: some of it may
be cancelled, or prove lighter than declared."""

EXPIRES_SOON_CALLS = 4.0
"""A group that was put behind is taken along when it expires within so many calls:
the rest of its stages needs about three."""

SLOW_PACE = 2.0
"""A worker that needs more than twice the expected time is used last."""


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
        self._rooms: dict[str, WorkerRoom] = {}
        self._measure = Throughput()
        self._split: tuple[list[PieceGroup], list[PieceGroup]] | None = None
        self._split_s = 0.0

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
        declared = self.capacity_per_ms(workers, now_s)
        measured = self._measure.rate_per_ms
        return declared if measured is None else min(declared, measured)

    def capacity_per_ms(self, workers: Sequence[Worker], now_s: float) -> float:
        """Return the same by what the workers declare and their pace."""
        full = self.spec.max_pieces / self.spec.duration_ms(self.spec.max_pieces)
        paces = [
            max(1.0, self.health.pace(one.key))
            for one in workers
            if self.health.usable(one.key, now_s)
        ]
        declared = sum(full / pace for pace in paces if pace < SLOW_PACE)
        return declared or sum(full / pace for pace in paces)

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
        self._split = None

    def cancel(self, attempt: str) -> list[PieceGroup]:
        """Take the groups of an attempt out; return them."""
        gone = [one for one in self._groups if one.attempt == attempt]
        for call in self._busy.values():
            gone += [g for g, _ in call.parts if g.attempt == attempt and g not in gone]
        self._drop(gone)
        return gone

    def take_all(self) -> list[PieceGroup]:
        """Take every waiting group out, for another dispatcher."""
        groups = list(self._groups)
        self._drop(groups)
        return groups

    def take_hopeless(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[PieceGroup]:
        """Take out the groups that cannot be done before they expire.

        Those are known as soon as too much work is before them, so that their
        callers need not wait in vain.
        """
        rate = self.rate_per_ms(workers, now_s)
        hopeless = []
        ahead = 0
        for group in self.order(workers, now_s):
            pieces = len(group.waiting)
            need_ms = self.spec.duration_ms(pieces)
            if rate > 0:
                need_ms = max(need_ms, HOPELESS_SHARE * (ahead + pieces) / rate)
            if group.tries >= MAX_TRIES or now_s + need_ms / 1_000.0 > group.expires_s:
                hopeless.append(group)
            else:
                ahead += pieces
        self._drop(hopeless)
        return hopeless

    def _drop(self, groups: Iterable[PieceGroup]) -> None:
        """Take groups out, also those of which some pieces are in a call."""
        for group in groups:
            group.cancelled = True
        self._split = None
        self._groups = [one for one in self._groups if not one.cancelled]

    def waits_ms(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[tuple[int, float], ...]:
        """Return how long a new group of each rank would wait for its call."""
        rate = self.rate_per_ms(workers, now_s)
        if rate <= 0:
            return ()
        waits = []
        pieces = 0
        for priority in sorted({one.priority for one in self._groups}):
            pieces += sum(
                len(one.waiting) for one in self._groups if one.priority == priority
            )
            waits.append((priority, pieces / rate))
        return tuple(waits)

    def next_call(
        self, worker: Worker, workers: Sequence[Worker], now_s: float
    ) -> StageCall | None:
        """Return the next call for an idle worker, None if it is to wait."""
        if not self._groups or worker.key in self._busy:
            return None
        if not self.health.usable(worker.key, now_s):
            return None
        room = self._rooms.setdefault(worker.key, WorkerRoom())
        if room.blocked_until_s > now_s:
            return None
        free_bytes = room.share * self.spec.result_memory_bytes - room.used_bytes(now_s)
        most = (
            TRIAL_PIECES if self.health.on_trial(worker.key) else self.spec.max_pieces
        )
        kept, behind = self._not_better_elsewhere(worker, workers, now_s)
        pace = max(1.0, self.health.pace(worker.key))
        if pace >= SLOW_PACE:
            kept = self._slack_enough(kept, pace, workers, now_s)
            behind = self._slack_enough(behind, pace, workers, now_s)
        parts = fill(kept, most, free_bytes)
        parts += self._fill_up(parts, kept, behind, most, free_bytes, now_s)
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
        """Return the waiting groups, the next first."""
        kept, behind = self.split(workers, now_s)
        return kept + behind

    def split(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        """Return the groups that can be in time, and those put behind them.

        Groups that can be in time come by their due times. If they are too many,
        those with the least value a piece are put behind (after Moore and
        Hodgson); then come the late ones, by rank and expiry. The split holds for
        all calls that start at one moment.
        """
        if self._split is None or self._split_s != now_s:
            self._split = self._make_split(workers, now_s)
            self._split_s = now_s
        kept, behind = self._split
        return [g for g in kept if g.waiting], [g for g in behind if g.waiting]

    def _make_split(
        self, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        rate = self.rate_per_ms(workers, now_s) or 1e-9
        in_time, behind = [], []
        for group in self._groups:
            own_s = self.spec.duration_ms(len(group.waiting)) / 1_000.0
            late = now_s + own_s > group.latest_s
            (behind if late else in_time).append(group)
        kept, put_behind = keep_valuable(in_time, rate, now_s)
        behind += put_behind
        behind.sort(key=lambda one: (one.priority, one.expires_s))
        return kept, behind

    def finish(
        self, call: StageCall, results: Sequence[PieceResult], now_s: float
    ) -> list[PieceGroup]:
        """Take over the answer to a call; return the groups that are done."""
        self._split = None
        room = self._end(call)
        made = sum(one.handle is not None for one in results)
        enough = self.spec.max_pieces * (len(self._busy) + 1)
        self._measure.note(made, self.waiting_pieces, enough, now_s)
        until_s = now_s + self.spec.result_ttl_ms / 1_000.0
        done = []
        room.accept()
        failed = set()
        for (group, number), result in zip(call.items(), results, strict=True):
            if result.failure not in (None, PieceFailure.OUT_OF_MEMORY):
                failed.add(group)
            if result.handle is not None:
                room.results[result.handle] = StoredResult(
                    group.result_bytes, until_s, group.owner
                )
                group.results[number] = result
            else:
                group.waiting.append(number)
        for group, _ in call.parts:
            group.tries += group in failed
            if group.done and not group.cancelled:
                done.append(group)
            elif group.waiting and not group.cancelled and group not in self._groups:
                self._groups.append(group)
        return done

    def fail(self, call: StageCall) -> None:
        """Let all pieces of a failed call wait again."""
        self._split = None
        self._end(call)
        for group, numbers in call.parts:
            group.tries += 1
            group.waiting += numbers
            if not group.cancelled and group not in self._groups:
                self._groups.append(group)

    def note_no_room(self, worker: Worker, now_s: float) -> None:
        """Send nothing to a worker that had no room for a moment."""
        room = self._rooms.setdefault(worker.key, WorkerRoom())
        room.refuse(now_s)

    def free(
        self, handles: Iterable[str], workers: Sequence[Worker]
    ) -> dict[str, list[str]]:
        """Forget results; return the handles by the key of their worker.

        Results that another dispatcher had made are known by their address.
        """
        keys = _keys_by_address(workers)
        by_worker: dict[str, list[str]] = {}
        for handle in handles:
            key = keys.get(_address(handle))
            if key is None:
                continue
            by_worker.setdefault(key, []).append(handle)
            room = self._rooms.get(key)
            if room is not None:
                room.results.pop(handle, None)
        return by_worker

    def replace_results(
        self,
        owner: str,
        results: Iterable[tuple[str, int]],
        workers: Sequence[Worker],
        now_s: float,
    ) -> None:
        """Take over which results an instance holds, whoever had them made.

        Answers changes of dispatcher: a new one would fill rooms that are taken,
        and one that comes back would count results that another one freed.
        """
        for room in self._rooms.values():
            room.drop_owner(owner)
        keys = _keys_by_address(workers)
        until_s = now_s + self.spec.result_ttl_ms / 1_000.0
        for handle, size_bytes in results:
            key = keys.get(_address(handle))
            if key is not None:
                room = self._rooms.setdefault(key, WorkerRoom())
                room.results[handle] = StoredResult(size_bytes, until_s, owner)

    def describe(self, workers: Sequence[Worker], now_s: float) -> list[list]:
        """Return pace, used share of room and usability of each worker."""
        told = []
        for worker in workers:
            room = self._rooms.get(worker.key)
            used = (
                room.used_bytes(now_s) / self.spec.result_memory_bytes if room else 0.0
            )
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

    def _not_better_elsewhere(
        self, worker: Worker, workers: Sequence[Worker], now_s: float
    ) -> tuple[list[PieceGroup], list[PieceGroup]]:
        """Return `split`, less the groups that wait for another worker.

        A group waits for a worker near its data if the next call there has room
        for it and ends in time.
        """
        near: dict[str, list[float]] = {}
        for one in workers:
            if self.health.usable(one.key, now_s):
                free_s = self._free_at_s(one, now_s)
                near.setdefault(one.data_centre, []).append(free_s)
        room = {place: self.spec.max_pieces * len(free) for place, free in near.items()}
        kept, behind = self.split(workers, now_s)
        chosen = set()
        for group in kept + behind:
            place, pieces = group.data_centre, len(group.waiting)
            if (
                group.transfer_bytes < LARGE_TRANSFER_BYTES
                or place == worker.data_centre
                or place not in near
            ):
                chosen.add(group)
                continue
            room[place] -= pieces
            done_s = min(near[place]) + self.spec.duration_ms(pieces) / 1_000.0
            if room[place] < 0 or done_s > self._wanted_s(group, now_s):
                chosen.add(group)
        return (
            [one for one in kept if one in chosen],
            [one for one in behind if one in chosen],
        )

    def _fill_up(
        self,
        parts: list[tuple[PieceGroup, list[int]]],
        kept: list[PieceGroup],
        behind: list[PieceGroup],
        most: int,
        free_bytes: float,
        now_s: float,
    ) -> list[tuple[PieceGroup, list[int]]]:
        """Return pieces of groups put behind that a call takes besides.

        They make the call longer, so they are taken only as far as the others
        can bear it, or if they expire soon.
        """
        size = sum(len(numbers) for _, numbers in parts)
        free_bytes -= sum(len(numbers) * g.result_bytes for g, numbers in parts)
        most -= size
        if most <= 0 or not behind:
            return []
        if parts:
            taken = {group for group, _ in parts}
            due_s = min(group.due_s for group, _ in parts)
            slack_ms = (due_s - now_s) * 1_000.0 - self.spec.duration_ms(size)
            bearable = int(max(0.0, slack_ms) / self.spec.piece_ms)
            if any(one not in taken for one in kept):
                bearable = 0
            soon_s = now_s + EXPIRES_SOON_CALLS * self.spec.duration_ms(most) / 1_000.0
            pressing = [one for one in behind if one.expires_s <= soon_s]
            if bearable < most and pressing:
                behind = pressing[:1]
            else:
                most = min(most, bearable)
        return fill(behind, most, free_bytes)

    def _wanted_s(self, group: PieceGroup, now_s: float) -> float:
        """Return until when a group may wait for a worker near its data."""
        if now_s + self.spec.call_ms / 1_000.0 <= group.latest_s:
            return group.latest_s
        # It is late anyway, but its inputs take the room of others.
        return now_s + 2 * self.spec.duration_ms(self.spec.max_pieces) / 1_000.0

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

    def _start(self, call: StageCall, room: WorkerRoom) -> None:
        self._busy[call.worker.key] = call
        room.reserved_bytes += call.reserved_bytes
        for group, numbers in call.parts:
            taken = set(numbers)
            group.waiting = [one for one in group.waiting if one not in taken]
        self._groups = [one for one in self._groups if one.waiting]

    def _end(self, call: StageCall) -> WorkerRoom:
        del self._busy[call.worker.key]
        room = self._rooms.setdefault(call.worker.key, WorkerRoom())
        room.reserved_bytes = max(0.0, room.reserved_bytes - call.reserved_bytes)
        return room


def _address(handle: str) -> str:
    """Return the address of the worker at which a result lies."""
    return handle.partition("/")[0]


def _keys_by_address(workers: Sequence[Worker]) -> dict[str, str]:
    return {one.address: one.key for one in workers}
