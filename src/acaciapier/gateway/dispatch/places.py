"""Places at the workers of one service: which worker a request goes to, and when.

Answers bursts and uneven workers: one instance counts the places that all
instances hold, so no worker is asked for more than it runs at once, and requests
wait here by rank and due time and not at a worker that happens to be slow.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..models import ServiceRule, Worker
from ..stage_times import READ_MS_PER_TOKEN
from .health import WorkerHealth

DEFAULT_TOKEN_MS = 0.015
"""Time in which an engine reads a prompt token, until measured."""

RUNNING_TOKENS = 400.0
"""What a running request slows a new one by, as prompt tokens: the step time of a
request that generates about a hundred tokens beside it."""

CROSS_MS_PER_MB = 25.0
"""Delay that a megabyte of stage results between data centres is held equal to."""

REREAD_MS_PER_TOKEN = 0.1
"""Delay that a shared token is held equal to that another worker read just before:
its processor time counts, not only the delay of this request."""

REUSE_WINDOW_S = 7.0
"""Time after its last use in which a shared part is worth keeping together."""

MEMORY_SHARE = 0.85
"""Share of an engine's memory that requests may fill; the rest keeps prompts."""

FAILURE_PLACES = 3.0
"""Places that a worker that always fails seems to have taken."""

SLOW_PACE = 2.5
"""A worker that needs more than this multiple of the others' time is used last."""

FIRST_PART_MS = 100.0
"""Time from an idle engine's start to the first part of its answer, beside reading."""

BESIDE_MS = 0.25
"""What a request that runs beside it adds to the first part: four steps, each longer
by a twentieth of a ms."""

TIME_WEIGHT = 0.05
"""Weight of the newest call in the service's usual time."""

DEFAULT_SERVICE_MS = 50.0
"""Usual time of a call of a plain service, until measured."""

MAX_CHAINS = 5_000
"""Shared parts that are remembered before old ones are looked for."""

PERMIT_TTL_MS = 30_000.0
"""A place that nobody gave back is free after the longest deadline twice."""


@dataclass(eq=False)
class PlaceRequest:
    """A request that needs a place.

    Times are in seconds of the dispatcher's clock.
    """

    permit: str
    owner: str
    due_s: float
    expires_s: float
    priority: int = 0
    value: float = 1.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    input_bytes: dict[str, int] = field(default_factory=dict)
    """Size of the stage results to be fetched, by their data centre."""
    avoid: frozenset[str] = frozenset()


@dataclass(eq=False)
class Place:
    """A place that is held."""

    worker: str
    owner: str
    prompt_tokens: int
    output_tokens: int
    unread_tokens: float
    until_s: float
    started: bool = False
    expected_ms: float = 0.0
    """Time to the first part of the answer, as an engine usually needs."""


class PromptMemory:
    """Which parts of prompts a worker has probably kept, the oldest dropped first.

    Parameters
    ----------
    capacity_tokens : int
        Memory of the worker.
    """

    def __init__(self, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._used = 0
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def kept_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt need not be read again."""
        kept = 0
        chain: tuple[str, ...] = ()
        for name, tokens in parts:
            chain = (*chain, name)
            if chain not in self._parts:
                break
            kept += tokens
        return kept

    def note(self, parts: Sequence[tuple[str, int]]) -> None:
        """Note that a prompt is read; its last part is not shared."""
        chain: tuple[str, ...] = ()
        for name, tokens in parts[:-1]:
            chain = (*chain, name)
            if chain in self._parts:
                self._parts.move_to_end(chain)
            else:
                self._parts[chain] = tokens
                self._used += tokens
        while self._used > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._used -= tokens


class PlaceBook:
    """Places of one service.

    Parameters
    ----------
    rule : ServiceRule
        The service.
    """

    def __init__(self, rule: ServiceRule):
        self.rule = rule
        self.health = WorkerHealth()
        self.usual_ms = DEFAULT_SERVICE_MS
        self._token_ms = DEFAULT_TOKEN_MS
        self._first_part_ratio = 1.0
        self._places: dict[str, Place] = {}
        self._held: dict[str, set[str]] = {}
        self._memories: dict[str, PromptMemory] = {}
        self._last_read_s: dict[tuple[str, ...], float] = {}
        self._waiting: list[PlaceRequest] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Number of places that are held."""
        return len(self._places)

    def slots(self, worker: Worker) -> int:
        """Return how many requests a worker runs at once."""
        return self.rule.engine.slots if self.rule.engine else max(1, worker.slots)

    def forecast_ms(self, request: PlaceRequest, workers: Sequence[Worker]) -> float:
        """Return how long a new request would wait for its place."""
        slots = sum(self.slots(one) for one in workers) or 1
        ahead = sum(1 for one in self._waiting if one.priority <= request.priority)
        return self.usual_ms * (ahead + 1) / slots if self._waiting else 0.0

    def add(self, request: PlaceRequest) -> None:
        """Let a request wait for `assign`."""
        self._waiting.append(request)

    def cancel(self, permit: str) -> None:
        """Take a waiting request out."""
        self._waiting = [one for one in self._waiting if one.permit != permit]

    def take_all(self) -> list[PlaceRequest]:
        """Take every waiting request out, for another dispatcher."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def take_expired(self, now_s: float) -> list[PlaceRequest]:
        """Take out the requests that no worker can serve in time any more."""
        expired = [one for one in self._waiting if one.expires_s <= now_s]
        if expired:
            self._waiting = [one for one in self._waiting if one.expires_s > now_s]
        return expired

    def assign(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[tuple[PlaceRequest, Worker]]:
        """Give free places to waiting requests, the most urgent first."""
        if not self._waiting:
            return []
        self._drop_overdue(now_s)
        given = []
        self._waiting.sort(key=lambda one: (one.due_s < now_s, one.priority, one.due_s))
        for request in list(self._waiting):
            recent = self._recent_tokens(request, now_s)
            worker = self._choose(request, workers, recent, now_s)
            if worker is None:
                continue
            self._waiting.remove(request)
            self._hold(request, worker, now_s)
            given.append((request, worker))
        return given

    def started(self, permit: str, elapsed_ms: float, now_s: float) -> None:
        """Note the first part of an answer, and learn from its time."""
        place = self._places.get(permit)
        if place is None or place.started:
            return
        place.started = True
        if place.unread_tokens > 0:
            observed = min(elapsed_ms / place.unread_tokens, 10 * DEFAULT_TOKEN_MS)
            self._token_ms += TIME_WEIGHT * (observed - self._token_ms)
        place.unread_tokens = 0.0
        if place.expected_ms > 0:
            ratio = elapsed_ms / place.expected_ms
            usual = self._first_part_ratio
            self.health.note_pace(place.worker, ratio / max(usual, 0.1), now_s)
            change = min(ratio, SLOW_PACE * usual) - usual
            self._first_part_ratio += TIME_WEIGHT * change

    def ended(self, permit: str) -> Place | None:
        """Free a place; None if it is not held."""
        place = self._places.pop(permit, None)
        if place is not None:
            self._held[place.worker].discard(permit)
        return place

    def note_time(self, key: str, elapsed_ms: float, now_s: float) -> None:
        """Learn the usual time from a good call, and a plain worker's pace.

        An engine's pace shows in its first parts: whole answers differ in length.
        """
        self.usual_ms += TIME_WEIGHT * (elapsed_ms - self.usual_ms)
        self.health.succeeded(key)
        if self.rule.engine is None:
            self.health.note_pace(key, elapsed_ms / max(self.usual_ms, 1.0), now_s)

    def restore(self, permit: str, place: Place) -> None:
        """Count a place that another dispatcher gave."""
        if permit not in self._places:
            self._places[permit] = place
            self._held.setdefault(place.worker, set()).add(permit)

    def drop_owner(self, owner: str, but: frozenset[str] = frozenset()) -> None:
        """Free the places of an instance, except those that it still holds."""
        lost = [p for p, place in self._places.items() if place.owner == owner]
        for permit in lost:
            if permit not in but:
                self.ended(permit)

    def keep_workers(self, workers: Sequence[Worker]) -> None:
        """Forget what is known of workers that are gone."""
        keys = {one.key for one in workers}
        self.health.keep_only(keys)
        for key in self._memories.keys() - keys:
            del self._memories[key]

    def _choose(
        self,
        request: PlaceRequest,
        workers: Sequence[Worker],
        recent: int,
        now_s: float,
    ) -> Worker | None:
        usable = [
            one
            for one in workers
            if self.health.usable(one.key, now_s) and self._has_room(one, request)
        ]
        fresh = [one for one in usable if one.id not in request.avoid]
        usable = fresh or usable
        quick = [one for one in usable if self._is_quick(one, now_s)]
        return min(
            quick or usable,
            key=lambda one: (self._cost(one, request, recent), one.key),
            default=None,
        )

    def _is_quick(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker is not slow, or is due to be tried again."""
        if self.health.pace(worker.key) < SLOW_PACE:
            return True
        held = self._held.get(worker.key, ())
        waits = any(not self._places[permit].started for permit in held)
        return not waits and self.health.pace_is_old(worker.key, now_s)

    def _has_room(self, worker: Worker, request: PlaceRequest) -> bool:
        held = self._held.get(worker.key, ())
        if self.health.on_trial(worker.key) and held:
            return False
        if len(held) >= self.slots(worker):
            return False
        if self.rule.engine is None or not held:
            return True
        used = sum(self._tokens(permit) for permit in held)
        wanted = request.prompt_tokens + request.output_tokens
        return used + wanted <= MEMORY_SHARE * self.rule.engine.kv_cache_tokens

    def _tokens(self, permit: str) -> int:
        place = self._places[permit]
        return place.prompt_tokens + place.output_tokens

    def _recent_tokens(self, request: PlaceRequest, now_s: float) -> int:
        """Return how many shared tokens of a prompt some worker read just before."""
        tokens = 0
        chain: tuple[str, ...] = ()
        for name, count in request.parts[:-1]:
            chain = (*chain, name)
            if now_s - self._last_read_s.get(chain, -1e9) > REUSE_WINDOW_S:
                break
            tokens += count
        return tokens

    def _cost(self, worker: Worker, request: PlaceRequest, recent: int) -> float:
        """Return the delay that a request would meet at a worker, in ms.

        `recent` is the number of its shared tokens that were read just before.
        """
        held = self._held.get(worker.key, ())
        failing = FAILURE_PLACES * self.health.failures(worker.key)
        if self.rule.engine is None:
            return (len(held) + failing) / self.slots(worker) * self.usual_ms
        unread = sum(self._places[permit].unread_tokens for permit in held)
        kept = self._kept(worker, request)
        own = request.prompt_tokens - kept
        again_ms = max(0, recent - kept) * REREAD_MS_PER_TOKEN
        tokens = unread + own + RUNNING_TOKENS * (len(held) + failing)
        elsewhere = sum(
            size
            for data_centre, size in request.input_bytes.items()
            if data_centre != worker.data_centre
        )
        pace = max(1.0, self.health.pace(worker.key))
        transfer_ms = elsewhere / 1e6 * CROSS_MS_PER_MB
        return tokens * self._token_ms * pace + again_ms + transfer_ms

    def _kept(self, worker: Worker, request: PlaceRequest) -> int:
        memory = self._memories.get(worker.key)
        return memory.kept_tokens(request.parts) if memory else 0

    def _hold(self, request: PlaceRequest, worker: Worker, now_s: float) -> None:
        self.ended(request.permit)
        unread = request.prompt_tokens - self._kept(worker, request)
        expected_ms = self._first_part_ms(worker, unread)
        self._places[request.permit] = Place(
            worker.key,
            request.owner,
            request.prompt_tokens,
            request.output_tokens,
            unread,
            now_s + PERMIT_TTL_MS / 1_000.0,
            expected_ms=expected_ms,
        )
        self._held.setdefault(worker.key, set()).add(request.permit)
        if self.rule.engine is not None:
            memory = self._memories.get(worker.key)
            if memory is None:
                capacity = self.rule.engine.kv_cache_tokens
                memory = self._memories[worker.key] = PromptMemory(capacity)
            memory.note(request.parts)
            self._note_read(request, now_s)

    def _first_part_ms(self, worker: Worker, unread: float) -> float:
        """Return when an engine usually sends the first part; 0 for other workers."""
        if self.rule.engine is None:
            return 0.0
        held = self._held.get(worker.key, ())
        unread += sum(self._places[permit].unread_tokens for permit in held)
        return FIRST_PART_MS + READ_MS_PER_TOKEN * unread + BESIDE_MS * len(held)

    def _note_read(self, request: PlaceRequest, now_s: float) -> None:
        chain: tuple[str, ...] = ()
        for name, _ in request.parts[:-1]:
            chain = (*chain, name)
            self._last_read_s[chain] = now_s
        if len(self._last_read_s) > MAX_CHAINS:
            oldest_s = now_s - REUSE_WINDOW_S
            self._last_read_s = {
                chain: read_s
                for chain, read_s in self._last_read_s.items()
                if read_s >= oldest_s
            }

    def _drop_overdue(self, now_s: float) -> None:
        overdue = [p for p, place in self._places.items() if place.until_s < now_s]
        for permit in overdue:
            self.ended(permit)
