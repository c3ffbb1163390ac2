"""Simulates a load of staged requests on stage queues, without a network.

Time is simulated; each worker runs one call at a time. The load is one of the users'
sheets: two or three kinds of request over three stage services.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from acaciapier.core.clock import ManualClock
from acaciapier.gateway.dispatch.admission_queue import AdmissionEntry, AdmissionQueue
from acaciapier.gateway.dispatch.piece_groups import PieceGroup
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
from acaciapier.gateway.routing import abandon_after_ms
from acaciapier.gateway.stage_times import StageTimes

NETWORK_DELAY_S = 0.004
CHECK_PERIOD_S = 0.025
ENGINE_S = 0.16
MB = 1_000_000


@dataclass(frozen=True)
class Kind:
    """A kind of request: its route, arrivals per second and pieces of each stage."""

    route: RouteRule
    rate_per_s: float
    pieces: tuple[tuple[float, int], ...]
    value: float
    prompt_tokens: int = 2_400


@dataclass
class Outcome:
    """Answers that callers of one kind got."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0

    @property
    def share_in_time(self) -> float:
        return self.in_time / max(1, self.requests)


@dataclass(eq=False)
class Request:
    kind: Kind
    start_s: float
    counts: tuple[int, ...]
    serial: int
    first_try_s: float = 0.0
    """Time of the caller's first try."""
    retried: bool = False
    caller: int = 0
    done: set[int] = field(default_factory=set)
    submitted: set[int] = field(default_factory=set)
    handles: dict[int, list[str]] = field(default_factory=dict)
    data_centres: dict[int, str] = field(default_factory=dict)


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


def make_worker(service: str, number: int, data_centre: str = "a") -> Worker:
    """Return a ready stage worker."""
    return Worker(
        f"{service}-{number}",
        service,
        "10.0.0.1",
        1_000 + number,
        data_centre,
        1,
        WorkerState.READY,
        1,
    )


class StageCatalogue:
    def __init__(self, specs):
        rules = {ServiceName(n): ServiceRule(n, 500, None, s) for n, s in specs.items()}
        self.configuration = GatewayConfiguration(1, (), rules)


class StageLoad:
    """One simulation of a load.

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
        data_centres = "abc"
        self.workers = {
            name: tuple(
                make_worker(name, n, data_centres[n % len(data_centres)])
                for n in range(count)
            )
            for name, count in workers.items()
        }
        self.times = StageTimes(StageCatalogue(specs))
        self.outcomes = {kind.route.name: Outcome() for kind in kinds}
        self.stage_ms = Counter()
        self.calls = Counter()
        self.pieces = Counter()
        self.bursts = []
        self.workspace_priority = 0
        self.callers_retry = False
        """Whether refused callers retry once."""
        self.callers_wait = False
        """Whether callers wait until their deadline for the first part of an answer."""
        self.transferred_bytes = 0
        self._events = []
        self._sequence = itertools.count()
        self._groups = {}
        self.admission_queues: dict[str, AdmissionQueue] = {}
        self._entries: dict[AdmissionEntry, Request] = {}
        self._checking: set[str] = set()

    def add_admission_queues(self) -> None:
        """Let requests wait for admission before their chains of stages."""
        self.admission_queues = {name: AdmissionQueue() for name in self.specs}

    def run(self, seconds: float) -> dict[str, Outcome]:
        """Simulate `seconds` of arrivals and all the work that they cause."""
        for kind in self.kinds:
            self._schedule(
                self.random.expovariate(kind.rate_per_s), self._arrive, kind, seconds
            )
        while self._events:
            at_s, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
            action(*args)
        return self.outcomes

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def _schedule(self, delay_s, action, *args):
        entry = (self.now_s + delay_s, next(self._sequence), action, args)
        heapq.heappush(self._events, entry)

    def _rate(self, kind) -> float:
        rate = kind.rate_per_s
        for name, from_s, to_s, factor in self.bursts:
            if name in (kind.route.name, "*") and from_s <= self.now_s < to_s:
                rate *= factor
        return rate

    def _arrive(self, kind, until_s):
        if self.now_s >= until_s:
            return
        self._schedule(
            self.random.expovariate(self._rate(kind)), self._arrive, kind, until_s
        )
        counts = tuple(self._piece_count(*kind_pieces) for kind_pieces in kind.pieces)
        serial = next(self._sequence)
        request = Request(kind, self.now_s, counts, serial, self.now_s, caller=serial)
        self.outcomes[kind.route.name].requests += 1
        self._start(request)

    def _start(self, request):
        stages = request.kind.route.stages
        if self.admission_queues and stages[-1].after:
            self._schedule(NETWORK_DELAY_S, self._enter, request, len(stages) - 1)
        else:
            self._start_stages(request)

    def _refuse(self, request, retry_after_ms):
        """Let a caller retry once, after at most a third of its time left."""
        kind = request.kind
        left_s = request.first_try_s + kind.route.timeout_ms / 1_000 - self.now_s
        if request.retried or left_s <= 0 or not self.callers_retry:
            self.outcomes[kind.route.name].refused += 1
            self.outcomes[kind.route.name].refused_twice += request.retried
            return
        retry = Request(
            kind,
            0.0,
            request.counts,
            next(self._sequence),
            request.first_try_s,
            True,
            request.caller,
        )
        self._schedule(min(retry_after_ms / 1_000, left_s / 3), self._retry, retry)

    def _retry(self, request):
        request.start_s = self.now_s
        self._start(request)

    def _enter(self, request, number):
        """Wait for admission to the chain that ends with a stage."""
        kind, service = request.kind, request.kind.route.stages[number].service
        window = self._window(request, number)
        entry = AdmissionEntry(
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
        self.admission_queues[service].add(entry, self.now_s)
        self._admit(service)

    def _admit(self, service):
        queue = self.admission_queues[service]
        for entry in queue.pop_admitted(self._capacity(service), self.now_s):
            self._start_stages(self._entries.pop(entry))
        if queue.waiting and service not in self._checking:
            self._checking.add(service)
            self._schedule(CHECK_PERIOD_S, self._check_admission, service)

    def _check_admission(self, service):
        self._checking.discard(service)
        self._admit(service)
        queue, capacity = self.admission_queues[service], self._capacity(service)
        retry_after_ms = 250 + queue.backlog_ms(capacity) / 2
        for entry in queue.pop_infeasible(capacity, self.now_s):
            self._refuse(self._entries.pop(entry), retry_after_ms)

    def _capacity(self, service):
        workers = self.workers[service]
        return self.queues[service].capacity_per_ms(workers, self.now_s)

    def _piece_count(self, share, mean) -> int:
        if self.random.random() >= share:
            return 0
        if mean >= 6:
            return mean
        return max(1, round(self.random.lognormvariate(0, 0.5) * mean * 0.9))

    def _start_stages(self, request):
        stages = request.kind.route.stages
        for number, stage in enumerate(stages):
            if number in request.submitted or not set(stage.after) <= request.done:
                continue
            request.submitted.add(number)
            if request.counts[number] == 0:
                request.done.add(number)
                self._start_stages(request)
                return
            self._schedule(NETWORK_DELAY_S, self._submit, request, number)
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
            *self._best_data_centre(request, number),
        )
        self._groups[group] = (request, number, self.now_s)
        self.queues[stage.service].add(group)
        self._start_calls(stage.service)

    def _window(self, request, number):
        kind = request.kind
        timeout_ms = kind.route.timeout_ms
        if not self.callers_wait:
            timeout_ms = abandon_after_ms(kind.route, timeout_ms)
        elapsed_ms = (self.now_s - request.start_s) * 1_000
        return self.times.window(
            kind.route,
            self.times.engine_ms(ServiceName("model"), self._metadata(kind)),
            request.counts,
            number,
            kind.route.objective_ms - elapsed_ms,
            timeout_ms - elapsed_ms,
        )

    def _best_data_centre(self, request, number):
        """Return a stage's preferred data centre and the transfer that it saves."""
        stages = request.kind.route.stages
        if not stages[number].after:
            if stages[number].result_bytes < MB:
                return "", 0
            size = stages[number].result_bytes * request.counts[number]
            return "abc"[request.serial % 3], size
        before = stages[number].after[0]
        handles = request.counts[before] * request.counts[number]
        return request.data_centres[before], stages[before].result_bytes * handles

    def _metadata(self, kind):
        return RequestMetadata(AttemptId("x"), None, None, kind.prompt_tokens, 80)

    def _start_calls(self, service):
        queue = self.queues[service]
        for group in queue.pop_infeasible(self.workers[service], self.now_s):
            request, _, _ = self._groups.pop(group)
            if self.admission_queues:
                self.admission_queues[service].remove(str(id(request)))
            self.outcomes[request.kind.route.name].refused += 1
        for worker in self.workers[service]:
            call = queue.next_call(worker, self.workers[service], self.now_s)
            if call is None:
                continue
            self.calls[service] += 1
            self.pieces[service] += call.size
            duration_s = self.specs[service].duration_ms(call.size) / 1_000
            self._schedule(duration_s + NETWORK_DELAY_S, self._finish, service, call)

    def _finish(self, service, call):
        queue = self.queues[service]
        address = call.worker.address
        handles = [
            PieceResult(f"{address}/{next(self._sequence)}") for _ in call.items()
        ]
        for group in queue.finish(call, handles, self.now_s):
            request, number, since_s = self._groups.pop(group)
            if self.admission_queues:
                admissions, capacity = (
                    self.admission_queues[service],
                    self._capacity(service),
                )
                admissions.finish(str(id(request)), number, capacity, self.now_s)
                self._admit(service)
            self.times.observe(ServiceName(service), (self.now_s - since_s) * 1_000)
            if group.data_centre not in ("", call.worker.data_centre):
                self.transferred_bytes += group.transfer_bytes
            self.stage_ms[service] += (self.now_s - since_s) * 1_000
            request.done.add(number)
            request.data_centres[number] = call.worker.data_centre
            request.handles[number] = [
                result.handle for result in group.results.values()
            ]
            self._release_read(request)
            self._start_stages(request)
        self._start_calls(service)

    def _release_read(self, request):
        """Release the results that every reader has read."""
        stages = request.kind.route.stages
        for number in list(request.handles):
            readers = [n for n, reader in enumerate(stages) if number in reader.after]
            if readers and request.done.issuperset(readers):
                self._release(request, number)

    def _release(self, request, number):
        service = request.kind.route.stages[number].service
        self.queues[service].release(request.handles.pop(number), self.workers[service])
        self._schedule(NETWORK_DELAY_S, self._start_calls, service)

    def _end(self, request):
        for number in list(request.handles):
            self._schedule(ENGINE_S, self._release, request, number)
        outcome = self.outcomes[request.kind.route.name]
        taken_s = self.now_s - request.first_try_s + ENGINE_S
        if taken_s * 1_000 <= request.kind.route.objective_ms:
            outcome.in_time += 1
        else:
            outcome.late += 1


def order_load(scale: float = 1.0, seed: int = 1) -> StageLoad:
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


def vetting_load(seed: int = 1) -> StageLoad:
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


def boards_load(seed: int = 1) -> StageLoad:
    """Return a load in which many requests have more time than the more urgent ones."""
    chain = [("ward", (), 8_000), ("sms", (0,), 60_000), ("donor", (1,), 6_000)]
    sort = make_route("sort", 2, 3_000, 5_000, chain)
    draft = make_route("draft", 1, 1_500, 15_000, chain)
    circular = make_route("circular", 0, 800, 6_000, [("ward", (), 3 * MB)])
    pieces = ((1, 1), (1, 8), (1, 16))
    kinds = [
        Kind(sort, 110.0, pieces, 0.79, 1_800),
        Kind(draft, 16.2, pieces, 1.1, 543),
        Kind(circular, 52.0, ((0.7, 2.5),), 5.5, 2_890),
    ]
    specs = {
        "ward": BatchSpec(14, 150.0, 9.2, 77e6, 4_000.0),
        "sms": BatchSpec(66, 150.0, 1.9, 12e6, 4_000.0),
        "donor": BatchSpec(96, 150.0, 1.3, 1.7e6, 4_000.0),
    }
    return StageLoad(specs, {"ward": 11, "sms": 8, "donor": 11}, kinds, seed)
