"""Stand-in of a model engine that batches continuously."""

import base64
from collections import OrderedDict
from dataclasses import fields

import msgspec
import trio

from acaciapier.core.clock import to_s

from .batch import Batch, BatchLimits, Stream, StreamState
from .engine_orders import Order, OrderDesk, StaleFencingNumber, Wanted
from .http import EventStream, Request, Response, error
from .outputs import is_poison, prefix_of
from .prefix_cache import CacheEventLog, PrefixCache, prefix_key
from .settings import EngineSettings
from .standin import Standin, build_standin
from .stream_reader import StreamReader
from .target import Envelope, Target
from .weight_loader import load_weights

MAX_BACKLOG_S = 0.5


class KvBlob(msgspec.Struct):
    """The KV cache of a prompt, as one engine hands it to another."""

    model: str
    model_version: str
    prefix: str
    tokens: int


class Engine(Target):
    """A model engine: one step timer drives all its streams."""

    role_kind = "generate"

    def __init__(self, settings: EngineSettings):
        super().__init__(settings)
        values = {f.name: getattr(settings, f.name) for f in fields(BatchLimits)}
        self.batch = Batch(BatchLimits(**values))
        self.events = CacheEventLog(
            to_s(settings.event_lag_ms), settings.event_gap_share, self.random
        )
        self.cache = PrefixCache(settings.cache_tokens, self.events)
        self.desk = OrderDesk(_first_state(settings), settings.checks_fencing)
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self._work = trio.Event()
        self._ordered = trio.Event()
        self._drained = trio.Event()
        self._add_routes()

    def _add_routes(self) -> None:
        add = self.app.add
        add("POST", "/v1/generate", self._generate)
        add("GET", "/v1/streams/*", self._resume)
        add("DELETE", "/v1/streams/*", self._cancel)
        add("GET", "/v1/cache/events", self._show_cache_events)
        add("POST", "/v1/kv/export", self._export_kv)
        add("POST", "/v1/kv/import", self._import_kv)
        add("POST", "/v1/orders", self._take_order)

    def counts(self) -> tuple[int, int]:
        """Return how many streams run and how many wait."""
        return len(self.batch.running), self.batch.queued

    async def run(self) -> None:
        """Run the step loop, the loads of weights and the registration."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(super().run)
            nursery.start_soon(self._step_forever)
            nursery.start_soon(self._load_forever)

    # -- generation ----------------------------------------------------------

    async def _generate(self, request: Request) -> Response | EventStream:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        envelope = request.json(Envelope)
        await self.faults.hang_if_drawn(request)
        refusal = self.refusal_at_door(envelope)
        if refusal is not None:
            return refusal
        if envelope.stream_id in self.streams:
            return error(409, "stream_exists", not_run=False)
        if self.batch.paused:
            return self.refuse("overload")
        stream = Stream(envelope)
        if not self.batch.enqueue(stream):
            return self.refuse("overload")
        self._remember(stream)
        self._work.set()
        return await self._wait_for_slot(stream) or self._read(stream, 0)

    async def _wait_for_slot(self, stream: Stream) -> Response | None:
        """Wait until a stream leaves the queue; returns its refusal if it ends so."""
        deadline_ms = stream.envelope.deadline_ms
        with trio.move_on_after(to_s(deadline_ms or float("inf"))):
            await stream.left_queue.wait()
        if stream.state is StreamState.QUEUED:
            self.batch.withdraw(stream)
            stream.end(StreamState.CANCELLED, trio.current_time())
            return self.refuse("deadline")
        if stream.entry is None:
            return self.refuse("cancelled")
        return None

    def _read(self, stream: Stream, start: int) -> EventStream:
        stream.readers += 1
        stream.orphaned_s = None
        reader = StreamReader(stream, start, self.faults, self.target_report)
        return EventStream(reader.chunks(), lambda: self._drop_reader(stream))

    def _drop_reader(self, stream: Stream) -> None:
        stream.readers -= 1
        if stream.readers == 0:
            stream.orphaned_s = trio.current_time()

    def _remember(self, stream: Stream) -> None:
        self.streams[stream.envelope.stream_id] = stream
        surplus = len(self.streams) - self.settings.kept_streams
        if surplus > 0:
            ended = [key for key, kept in self.streams.items() if kept.ended]
            for key in ended[:surplus]:
                del self.streams[key]

    async def _resume(self, request: Request) -> Response | EventStream:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        stream = self.streams.get(request.segments[2])
        if stream is None:
            return error(404, "not_found")
        return self._read(stream, request.integer("from", 0))

    async def _cancel(self, request: Request) -> Response:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        stream = self.streams.get(request.segments[2])
        if stream is None:
            return error(404, "not_found")
        self._end_early(stream, StreamState.CANCELLED)
        return Response({"units": stream.units()})

    # -- the step loop -------------------------------------------------------

    async def _step_forever(self) -> None:
        due_s = trio.current_time()
        while True:
            if self.batch.idle:
                self._drained.set()
                self._work = trio.Event()
                await self._work.wait()
                due_s = trio.current_time()
            for stream in self.batch.admit(trio.current_time()):
                self._start(stream)
            step_ms = self.batch.start_step() * self.faults.present.slow_factor
            due_s = max(due_s, trio.current_time() - MAX_BACKLOG_S) + to_s(step_ms)
            await trio.sleep_until(due_s)
            self._end_step()

    def _start(self, stream: Stream) -> None:
        """Record the start of a stream and look its prefix up in the cache."""
        envelope = stream.envelope
        stream.entry = self.book.start(self.settings.id, self.incarnation, envelope)
        if self.faults.present.crash_on_poison and is_poison(envelope.input):
            self.crash()
        if self.faults.draw("fail"):
            stream.fails_at = stream.wanted // 2
        prefix = prefix_of(envelope.input)
        words = min(len(prefix.split()), stream.prompt_tokens)
        now_s = trio.current_time()
        stream.cached_tokens = self.cache.look_up(prefix_key(prefix), words, now_s)
        stream.prefill_left = stream.prompt_tokens - stream.cached_tokens

    def _end_step(self) -> None:
        now_s = trio.current_time()
        for stream in self.batch.end_step():
            self._end(stream, StreamState.DONE)
        grace_s = to_s(self.settings.grace_ms)
        for stream in list(self.batch.running):
            if stream.fails_at is not None and len(stream.tokens) >= stream.fails_at:
                self._end(stream, StreamState.FAILED)
            elif stream.orphaned_s is not None and now_s - stream.orphaned_s > grace_s:
                self._end(stream, StreamState.CANCELLED)

    def _end_early(self, stream: Stream, state: StreamState) -> None:
        """End a stream that is queued or running; ended ones stay as they are."""
        if not stream.ended:
            self._end(stream, state)

    def _end(self, stream: Stream, state: StreamState) -> None:
        self.batch.withdraw(stream)
        stream.end(state, trio.current_time())
        if stream.entry is not None:
            stream.entry.cancelled = state is StreamState.CANCELLED
            stream.entry.failed = state is StreamState.FAILED
            self.book.end(stream.entry, stream.units())

    # -- cache, orders and load ----------------------------------------------

    async def _show_cache_events(self, request: Request) -> Response:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        since = request.integer("since", 0)
        visible = self.events.since(since, trio.current_time())
        shown = [
            {"number": e.number, "type": e.type.value, "prefix": e.prefix}
            for e in visible
        ]
        following = visible[-1].number + 1 if visible else since
        return Response({"next": following, "events": shown})

    async def _export_kv(self, request: Request) -> Response:
        stream = self.streams.get(str(request.json().get("stream_id")))
        if stream is None:
            return error(404, "not_found")
        prefix = prefix_of(stream.envelope.input)
        blob = KvBlob(
            self.desk.present.model,
            self.desk.present.model_version,
            prefix_key(prefix),
            min(len(prefix.split()), stream.prompt_tokens),
        )
        encoded = base64.b64encode(msgspec.json.encode(blob)).decode()
        return Response({"blob": encoded})

    async def _import_kv(self, request: Request) -> Response:
        raw = base64.b64decode(str(request.json().get("blob")))
        blob = msgspec.json.decode(raw, type=KvBlob)
        present = self.desk.present
        if (blob.model, blob.model_version) != (present.model, present.model_version):
            return error(409, "other_model")
        self.cache.store(blob.prefix, blob.tokens, trio.current_time())
        return Response({"prefix": blob.prefix, "tokens": blob.tokens})

    async def _take_order(self, request: Request) -> Response:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        try:
            self.desk.take(request.json(Order))
        except StaleFencingNumber as stale:
            return error(409, "stale_fencing_number", highest=stale.highest)
        self.batch.paused = self.desk.must_load
        self._ordered.set()
        self._work.set()
        self.faults.lose_answer()
        return Response({"state": self.desk.state()}, 202)

    async def _load_forever(self) -> None:
        """Load the wanted weights once the running streams have ended."""
        while True:
            self._ordered = trio.Event()
            if not self.desk.must_load:
                await self._ordered.wait()
                continue
            await self._drain()
            wanted = self.desk.wanted
            if self.settings.weight_store_url:
                await load_weights(
                    self.settings.weight_store_url,
                    wanted.model,
                    wanted.model_version,
                    self.random,
                )
            self.cache.clear(trio.current_time())
            self.desk.finish_load(wanted)
            self.batch.paused = self.desk.must_load
            self._work.set()

    async def _drain(self) -> None:
        while self.batch.running:
            self._drained = trio.Event()
            await self._drained.wait()

    async def _show_load(self, request: Request) -> Response:
        refusal = await self.faults.disturb(request)
        if refusal is not None:
            return refusal
        report = msgspec.to_builtins(self.target_report())
        return Response({**report, "state": self.desk.state()})


def _first_state(settings: EngineSettings) -> Wanted:
    return Wanted(
        settings.model, settings.model_version, settings.adapters, settings.role
    )


@build_standin.register
def _(settings: EngineSettings) -> Standin:
    return Engine(settings)
