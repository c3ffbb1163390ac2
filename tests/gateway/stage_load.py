"""Plays a load of staged requests against stage queues, without a network.

Time is simulated; each worker does one call at a time. The load is one of the
users' sheets: two or three kinds of request over three stage services.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.piece_groups import PieceGroup
from acaciapier.gateway.dispatch.stage_gate import GateEntry, StageGate
from acaciapier.gateway.dispatch.stage_queue import StageQueue
from acaciapier.gateway.models import (
    AttemptId,
    BatchSpec,
    GatewayConfiguration,
    Piece,
    PieceResult,
    RequestKind,
    RequestMetadata,
    RouteRule,
    ServiceName,
    ServiceRule,
    StageRule,
    Worker,
    WorkerState,
)
from acaciapier.gateway.request_state import abandon_after_ms
from acaciapier.gateway.stage_times import StageTimes

HOP_S = 0.004
TICK_S = 0.025
ENGINE_S = 0.16
MB = 1_000_000


@dataclass(frozen=True)
class Kind:
    """A kind of request: route, arrivals a second and pieces of each stage."""

    route: RouteRule
    per_s: float
    pieces: tuple[tuple[float, int], ...]
    value: float
    prompt_tokens: int = 2_400


@dataclass
class Outcome:
    """What callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    lost: int = 0
    refused_again: int = 0

    @property
    def share_in_time(self) -> float:
        return self.in_time / max(1, self.asked)


@dataclass(eq=False)
class Request:
    kind: Kind
    start_s: float
    counts: tuple[int, ...]
    serial: int
    first_s: float = 0.0
    """When the caller asked first."""
    returned: bool = False
    caller: int = 0
    done: set[int] = field(default_factory=set)
    asked: set[int] = field(default_factory=set)
    handles: dict[int, list[str]] = field(default_factory=dict)
    zones: dict[int, str] = field(default_factory=dict)


def make_route(name, priority, objective_ms, timeout_ms, stages) -> RouteRule:
    """Return a streaming route over stages (service, after, result bytes)."""
    return RouteRule(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RequestKind.STREAMING,
        services=((ServiceName("model"), 1.0),),
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        priority=priority,
        max_attempts=1,
        public=False,
        resumable=False,
        stages=tuple(StageRule(ServiceName(s), a, b) for s, a, b in stages),
    )


def make_worker(service: str, number: int, zone: str = "a") -> Worker:
    """Return a ready stage worker."""
    return Worker(
        f"{service}-{number}",
        service,
        "10.0.0.1",
        1_000 + number,
        zone,
        1,
        WorkerState.READY,
        1,
    )


class _Catalogue:
    def __init__(self, specs):
        rules = {ServiceName(n): ServiceRule(n, 500, None, s) for n, s in specs.items()}
        self.configuration = GatewayConfiguration(1, (), rules)


class StageLoad:
    """One run of a load.

    Parameters
    ----------
    specs : dict of str to BatchSpec
        Stage services.
    workers : dict of str to int
        Number of workers of each.
    kinds : list of Kind
        The load.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, specs, workers, kinds, seed=1):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.specs = specs
        self.kinds = kinds
        self.queues = {name: StageQueue(spec) for name, spec in specs.items()}
        zones = "abc"
        self.workers = {
            name: tuple(
                make_worker(name, n, zones[n % len(zones)]) for n in range(count)
            )
            for name, count in workers.items()
        }
        self.times = StageTimes(_Catalogue(specs))
        self.outcomes = {kind.route.name: Outcome() for kind in kinds}
        self.stage_ms = Counter()
        self.calls = Counter()
        self.pieces = Counter()
        self.bursts = []
        self.workspace_priority = 0
        self.returning = False
        """Whether refused callers come back once."""
        self.patient = False
        """Whether callers stay until their deadline without any part of an answer."""
        self.moved_bytes = 0
        self._events = []
        self._order = itertools.count()
        self._groups = {}
        self.gates: dict[str, StageGate] = {}
        self._entries: dict[GateEntry, Request] = {}
        self._ticking: set[str] = set()

    def add_gates(self) -> None:
        """Let chains of stages begin only as the dispatchers admit them."""
        self.gates = {name: StageGate() for name in self.specs}

    def run(self, seconds: float) -> dict[str, Outcome]:
        """Play arrivals for `seconds`, and all that follows from them."""
        for kind in self.kinds:
            self._at(self.random.expovariate(kind.per_s), self._arrive, kind, seconds)
        while self._events:
            at_s, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
            action(*args)
        return self.outcomes

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def _at(self, delay_s, action, *args):
        entry = (self.now_s + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, entry)

    def _rate(self, kind) -> float:
        rate = kind.per_s
        for name, from_s, to_s, factor in self.bursts:
            if name in (kind.route.name, "*") and from_s <= self.now_s < to_s:
                rate *= factor
        return rate

    def _arrive(self, kind, until_s):
        if self.now_s >= until_s:
            return
        self._at(self.random.expovariate(self._rate(kind)), self._arrive, kind, until_s)
        counts = tuple(self._count(*one) for one in kind.pieces)
        serial = next(self._order)
        request = Request(kind, self.now_s, counts, serial, self.now_s, caller=serial)
        self.outcomes[kind.route.name].asked += 1
        self._begin(request)

    def _begin(self, request):
        stages = request.kind.route.stages
        if self.gates and stages[-1].after:
            self._at(HOP_S, self._enter, request, len(stages) - 1)
        else:
            self._go_on(request)

    def _refuse(self, request, after_ms):
        """Let a caller come back once, after at most a third of its time left."""
        kind = request.kind
        left_s = request.first_s + kind.route.timeout_ms / 1_000 - self.now_s
        if request.returned or left_s <= 0 or not self.returning:
            self.outcomes[kind.route.name].lost += 1
            self.outcomes[kind.route.name].refused_again += request.returned
            return
        again = Request(
            kind,
            0.0,
            request.counts,
            next(self._order),
            request.first_s,
            True,
            request.caller,
        )
        self._at(min(after_ms / 1_000, left_s / 3), self._come_back, again)

    def _come_back(self, request):
        request.start_s = self.now_s
        self._begin(request)

    def _enter(self, request, number):
        """Wait before the chain that ends with a stage."""
        kind, service = request.kind, request.kind.route.stages[number].service
        window = self._window(request, number)
        entry = GateEntry(
            str(id(request)),
            "x",
            number,
            request.counts[number],
            self.now_s + window.due_ms / 1_000,
            self.now_s + window.expires_ms / 1_000,
            self.times.chain_ms(kind.route, request.counts, number),
            self.workspace_priority,
            kind.route.priority,
            str(request.caller),
        )
        self._entries[entry] = request
        self.gates[service].add(entry, self.now_s)
        self._update_gate(service)

    def _update_gate(self, service):
        gate = self.gates[service]
        for entry in gate.take_admitted(self._capacity(service), self.now_s):
            self._go_on(self._entries.pop(entry))
        if gate.waiting and service not in self._ticking:
            self._ticking.add(service)
            self._at(TICK_S, self._tick_gate, service)

    def _tick_gate(self, service):
        self._ticking.discard(service)
        self._update_gate(service)
        gate, capacity = self.gates[service], self._capacity(service)
        after_ms = 250 + gate.clear_ms(capacity) / 2
        for entry in gate.take_hopeless(capacity, self.now_s):
            self._refuse(self._entries.pop(entry), after_ms)

    def _capacity(self, service):
        workers = self.workers[service]
        return self.queues[service].capacity_per_ms(workers, self.now_s)

    def _count(self, share, mean) -> int:
        if self.random.random() >= share:
            return 0
        if mean >= 6:
            return mean
        return max(1, round(self.random.lognormvariate(0, 0.5) * mean * 0.9))

    def _go_on(self, request):
        stages = request.kind.route.stages
        for number, stage in enumerate(stages):
            if number in request.asked or not set(stage.after) <= request.done:
                continue
            request.asked.add(number)
            if request.counts[number] == 0:
                request.done.add(number)
                self._go_on(request)
                return
            self._at(HOP_S, self._submit, request, number)
        if len(request.done) == len(stages):
            self._end(request)

    def _submit(self, request, number):
        kind = request.kind
        stage = kind.route.stages[number]
        window = self._window(request, number)
        group = PieceGroup(
            "x",
            [
                Piece(AttemptId(str(id(request))), number, n, "k", ())
                for n in range(request.counts[number])
            ],
            stage.result_bytes,
            self.now_s + window.due_ms / 1_000,
            self.now_s + window.latest_ms / 1_000,
            self.now_s + window.expires_ms / 1_000,
            kind.route.priority,
            kind.value,
            *self._best_place(request, number),
        )
        self._groups[group] = (request, number, self.now_s)
        self.queues[stage.service].add(group)
        self._pump(stage.service)

    def _window(self, request, number):
        kind = request.kind
        stays_ms = kind.route.timeout_ms
        if not self.patient:
            stays_ms = abandon_after_ms(kind.route, stays_ms)
        elapsed_ms = (self.now_s - request.start_s) * 1_000
        return self.times.window(
            kind.route,
            self.times.engine_ms(self._terms(kind)),
            request.counts,
            number,
            kind.route.objective_ms - elapsed_ms,
            stays_ms - elapsed_ms,
        )

    def _best_place(self, request, number):
        """Return where a stage is best run, and what is transferred otherwise."""
        stages = request.kind.route.stages
        if not stages[number].after:
            if stages[number].result_bytes < MB:
                return "", 0
            size = stages[number].result_bytes * request.counts[number]
            return "abc"[request.serial % 3], size
        before = stages[number].after[0]
        handles = request.counts[before] * request.counts[number]
        return request.zones[before], stages[before].result_bytes * handles

    def _terms(self, kind):
        return RequestMetadata(AttemptId("x"), None, None, kind.prompt_tokens, 80)

    def _pump(self, service):
        queue = self.queues[service]
        for group in queue.take_hopeless(self.workers[service], self.now_s):
            request, _, _ = self._groups.pop(group)
            if self.gates:
                self.gates[service].remove(str(id(request)))
            self.outcomes[request.kind.route.name].lost += 1
        for worker in self.workers[service]:
            call = queue.next_call(worker, self.workers[service], self.now_s)
            if call is None:
                continue
            self.calls[service] += 1
            self.pieces[service] += call.size
            took_s = self.specs[service].duration_ms(call.size) / 1_000
            self._at(took_s + HOP_S, self._finish, service, call)

    def _finish(self, service, call):
        queue = self.queues[service]
        address = call.worker.address
        handles = [PieceResult(f"{address}/{next(self._order)}") for _ in call.items()]
        for group in queue.finish(call, handles, self.now_s):
            request, number, since_s = self._groups.pop(group)
            if self.gates:
                gate, capacity = self.gates[service], self._capacity(service)
                gate.finish(str(id(request)), number, capacity, self.now_s)
                self._update_gate(service)
            self.times.observe(ServiceName(service), (self.now_s - since_s) * 1_000)
            if group.data_centre not in ("", call.worker.data_centre):
                self.moved_bytes += group.transfer_bytes
            self.stage_ms[service] += (self.now_s - since_s) * 1_000
            request.done.add(number)
            request.zones[number] = call.worker.data_centre
            request.handles[number] = [one.handle for one in group.results.values()]
            self._free_read(request)
            self._go_on(request)
        self._pump(service)

    def _free_read(self, request):
        """Free the results of which every reader is done."""
        stages = request.kind.route.stages
        for number in list(request.handles):
            readers = [n for n, one in enumerate(stages) if number in one.after]
            if readers and request.done.issuperset(readers):
                self._free(request, number)

    def _free(self, request, number):
        service = request.kind.route.stages[number].service
        self.queues[service].free(request.handles.pop(number), self.workers[service])
        self._at(HOP_S, self._pump, service)

    def _end(self, request):
        for number in list(request.handles):
            self._at(ENGINE_S, self._free, request, number)
        outcome = self.outcomes[request.kind.route.name]
        taken_s = self.now_s - request.first_s + ENGINE_S
        if taken_s * 1_000 <= request.kind.route.objective_ms:
            outcome.in_time += 1
        else:
            outcome.late += 1


def order_desk(scale: float = 1.0, seed: int = 1) -> StageLoad:
    """Return the load of nine machines that read orders, quote and chat."""
    blank = ("blank", (), 8_000)
    quote = make_route("quote", 1, 920, 6_000, [("blank", (), 3 * MB)])
    mail = make_route(
        "mail", 0, 1_500, 5_000, [blank, ("lathe", (0,), 60_000), ("desk", (1,), 6_000)]
    )
    chat = make_route(
        "chat",
        2,
        1_500,
        15_000,
        [
            ("blank", (), 3 * MB),
            blank,
            ("lathe", (1,), 60_000),
            ("desk", (2,), 6_000),
        ],
    )
    kinds = [
        Kind(quote, 20.9 * scale, ((0.7, 2.5),), 3.4, 9_000),
        Kind(mail, 24.5 * scale, ((1, 1), (1, 8), (1, 16)), 1.9),
        Kind(chat, 12.7 * scale, ((0.4, 1.5), (1, 1), (1, 8), (1, 16)), 0.78),
    ]
    specs = {
        "blank": BatchSpec(13, 150.0, 9.85, 69e6, 4_000.0),
        "lathe": BatchSpec(55, 150.0, 2.28, 9.2e6, 4_000.0),
        "desk": BatchSpec(84, 150.0, 1.486, 1.4e6, 4_000.0),
    }
    return StageLoad(specs, {"blank": 3, "lathe": 3, "desk": 4}, kinds, seed)


def vetting_desk(seed: int = 1) -> StageLoad:
    """Return the load of 72 machines that draft dossiers and summaries."""
    lookup = ("registry", (), 8_000)
    chain = [("sanctions", (0,), 60_000), ("portal", (1,), 6_000)]
    papers = ("registry", (), 3 * MB)
    dossier = make_route(
        "dossier",
        1,
        1_600,
        8_000,
        [papers, lookup, ("sanctions", (1,), 60_000), ("portal", (2,), 6_000)],
    )
    summary = make_route("summary", 0, 1_500, 5_000, [lookup, *chain])
    chat = make_route("chat", 2, 800, 15_000, [papers])
    kinds = [
        Kind(dossier, 78.8, ((0.4, 1.5), (1, 1), (1, 6), (1, 16)), 3.4, 9_000),
        Kind(summary, 92.0, ((1, 1), (1, 6), (1, 16)), 1.9),
        Kind(chat, 41.3, ((0.7, 2.5),), 0.87, 700),
    ]
    specs = {
        "registry": BatchSpec(13, 150.0, 7.0, 58.5e6, 4_000.0),
        "sanctions": BatchSpec(60, 150.0, 2.13, 10.3e6, 4_000.0),
        "portal": BatchSpec(96, 150.0, 1.3, 1.7e6, 4_000.0),
    }
    return StageLoad(specs, {"registry": 9, "sanctions": 8, "portal": 11}, kinds, seed)
