"""Simulated model engine with continuous batching."""

import base64
from collections import OrderedDict
from dataclasses import fields

import msgspec
import trio

from acaciapier.core.clock import to_s

from .batch import Batch, BatchLimits, Stream, StreamState
from .engine_orders import Order, OrderTracker, StaleFencingNumber, Wanted
from .http import EventStream, Request, Response, error
from .outputs import is_poison, prefix_of
from .prefix_cache import CacheEventLog, PrefixCache, prefix_key
from .settings import EngineSettings
from .standin import Standin, build_standin
from .stream_reader import StreamReader
from .target import Envelope, Target
from .weight_loader import load_weights

MAX_STEP_LAG_S = 0.5


class KvBlob(msgspec.Struct):
    """KV cache entry of a prompt prefix, as transferred between engines."""

    model: str
    model_version: str
    prefix: str
    tokens: int


class Engine(Target):
    """A model engine whose streams all advance in one step loop."""

    role_kind = "generate"

    def __init__(self, settings: EngineSettings):
        super().__init__(settings)
        values = {f.name: getattr(settings, f.name) for f in fields(BatchLimits)}
        self.batch = Batch(BatchLimits(**values))
        self.events = CacheEventLog(
            to_s(settings.event_lag_ms), settings.event_gap_share, self.random
        )
        self.cache = PrefixCache(settings.cache_tokens, self.events)
        self.orders = OrderTracker(_initial_state(settings), settings.checks_fencing)
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self._work_available = trio.Event()
        self._order_received = trio.Event()
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
        add("POST", "/v1/orders", self._accept_order)

    def counts(self) -> tuple[int, int]:
        """Return the numbers of running and queued streams."""
        return len(self.batch.running), self.batch.queued

    async def run(self) -> None:
        """Run the step loop, the weight loader and the registration."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(super().run)
            nursery.start_soon(self._step_forever)
            nursery.start_soon(self._load_forever)

    # -- generation ----------------------------------------------------------

    async def _generate(self, request: Request) -> Response | EventStream:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        envelope = request.json(Envelope)
        await self.faults.hang_if_drawn(request)
        refusal = self.admission_refusal(envelope)
        if refusal is not None:
            return refusal
        if envelope.stream_id in self.streams:
            return error(409, "stream_exists", not_run=False)
        if self.batch.paused:
            return self.refuse("overload")
        stream = Stream(envelope)
        if not self.batch.enqueue(stream):
            return self.refuse("overload")
        self._store_stream(stream)
        self._work_available.set()
        return await self._wait_for_slot(stream) or self._start_reader(stream, 0)

    async def _wait_for_slot(self, stream: Stream) -> Response | None:
        """Wait for a slot; return a refusal if the stream ends without one."""
        deadline_ms = stream.envelope.deadline_ms
        with trio.move_on_after(to_s(deadline_ms or float("inf"))):
            await stream.dequeued.wait()
        if stream.state is StreamState.QUEUED:
            self.batch.remove(stream)
            stream.end(StreamState.CANCELLED, trio.current_time())
            return self.refuse("deadline")
        if stream.entry is None:
            return self.refuse("cancelled")
        return None

    def _start_reader(self, stream: Stream, start: int) -> EventStream:
        stream.readers += 1
        stream.orphaned_at_s = None
        reader = StreamReader(stream, start, self.faults, self.target_report)
        return EventStream(reader.chunks(), lambda: self._release_reader(stream))

    def _release_reader(self, stream: Stream) -> None:
        stream.readers -= 1
        if stream.readers == 0:
            stream.orphaned_at_s = trio.current_time()

    def _store_stream(self, stream: Stream) -> None:
        self.streams[stream.envelope.stream_id] = stream
        surplus = len(self.streams) - self.settings.kept_streams
        if surplus > 0:
            ended = [key for key, kept in self.streams.items() if kept.ended]
            for key in ended[:surplus]:
                del self.streams[key]

    async def _resume(self, request: Request) -> Response | EventStream:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        stream = self.streams.get(request.segments[2])
        if stream is None:
            return error(404, "not_found")
        return self._start_reader(stream, request.integer("from", 0))

    async def _cancel(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        stream = self.streams.get(request.segments[2])
        if stream is None:
            return error(404, "not_found")
        self._end_if_active(stream, StreamState.CANCELLED)
        return Response({"units": stream.units()})

    # -- the step loop -------------------------------------------------------

    async def _step_forever(self) -> None:
        due_s = trio.current_time()
        while True:
            if self.batch.idle:
                self._drained.set()
                self._work_available = trio.Event()
                await self._work_available.wait()
                due_s = trio.current_time()
            for stream in self.batch.admit(trio.current_time()):
                self._start(stream)
            step_ms = self.batch.start_step() * self.faults.current.slow_factor
            due_s = max(due_s, trio.current_time() - MAX_STEP_LAG_S) + to_s(step_ms)
            await trio.sleep_until(due_s)
            self._end_step()

    def _start(self, stream: Stream) -> None:
        """Log the start of a stream and look up its prefix in the cache."""
        envelope = stream.envelope
        stream.entry = self.work_log.start(self.settings.id, self.incarnation, envelope)
        if self.faults.current.crash_on_poison and is_poison(envelope.input):
            self.crash()
        if self.faults.draw("fail"):
            stream.fail_at_tokens = stream.total_tokens // 2
        prefix = prefix_of(envelope.input)
        words = min(len(prefix.split()), stream.prompt_tokens)
        now_s = trio.current_time()
        stream.cached_tokens = self.cache.look_up(prefix_key(prefix), words, now_s)
        stream.prefill_tokens_left = stream.prompt_tokens - stream.cached_tokens

    def _end_step(self) -> None:
        now_s = trio.current_time()
        for stream in self.batch.end_step():
            self._end(stream, StreamState.DONE)
        grace_s = to_s(self.settings.grace_ms)
        for stream in list(self.batch.running):
            if (
                stream.fail_at_tokens is not None
                and len(stream.tokens) >= stream.fail_at_tokens
            ):
                self._end(stream, StreamState.FAILED)
            elif (
                stream.orphaned_at_s is not None
                and now_s - stream.orphaned_at_s > grace_s
            ):
                self._end(stream, StreamState.CANCELLED)

    def _end_if_active(self, stream: Stream, state: StreamState) -> None:
        """End a queued or running stream; do nothing if it has already ended."""
        if not stream.ended:
            self._end(stream, state)

    def _end(self, stream: Stream, state: StreamState) -> None:
        self.batch.remove(stream)
        stream.end(state, trio.current_time())
        if stream.entry is not None:
            stream.entry.cancelled = state is StreamState.CANCELLED
            stream.entry.failed = state is StreamState.FAILED
            self.work_log.end(stream.entry, stream.units())

    # -- cache, orders and load ----------------------------------------------

    async def _show_cache_events(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        since = request.integer("since", 0)
        visible = self.events.since(since, trio.current_time())
        shown = [
            {"number": e.number, "type": e.type.value, "prefix": e.prefix}
            for e in visible
        ]
        next_number = visible[-1].number + 1 if visible else since
        return Response({"next": next_number, "events": shown})

    async def _export_kv(self, request: Request) -> Response:
        stream = self.streams.get(str(request.json().get("stream_id")))
        if stream is None:
            return error(404, "not_found")
        prefix = prefix_of(stream.envelope.input)
        blob = KvBlob(
            self.orders.current.model,
            self.orders.current.model_version,
            prefix_key(prefix),
            min(len(prefix.split()), stream.prompt_tokens),
        )
        encoded = base64.b64encode(msgspec.json.encode(blob)).decode()
        return Response({"blob": encoded})

    async def _import_kv(self, request: Request) -> Response:
        raw = base64.b64decode(str(request.json().get("blob")))
        blob = msgspec.json.decode(raw, type=KvBlob)
        current = self.orders.current
        if (blob.model, blob.model_version) != (current.model, current.model_version):
            return error(409, "other_model")
        self.cache.store(blob.prefix, blob.tokens, trio.current_time())
        return Response({"prefix": blob.prefix, "tokens": blob.tokens})

    async def _accept_order(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        try:
            self.orders.accept(request.json(Order))
        except StaleFencingNumber as stale:
            return error(409, "stale_fencing_number", highest=stale.highest)
        self.batch.paused = self.orders.must_load
        self._order_received.set()
        self._work_available.set()
        self.faults.drop_answer_if_drawn()
        return Response({"state": self.orders.state()}, 202)

    async def _load_forever(self) -> None:
        """Load the requested weights, each time after running streams have ended."""
        while True:
            self._order_received = trio.Event()
            if not self.orders.must_load:
                await self._order_received.wait()
                continue
            await self._drain()
            wanted = self.orders.wanted
            if self.settings.weight_store_url:
                await load_weights(
                    self.settings.weight_store_url,
                    wanted.model,
                    wanted.model_version,
                    self.random,
                )
            self.cache.clear(trio.current_time())
            self.orders.finish_load(wanted)
            self.batch.paused = self.orders.must_load
            self._work_available.set()

    async def _drain(self) -> None:
        while self.batch.running:
            self._drained = trio.Event()
            await self._drained.wait()

    async def _show_load(self, request: Request) -> Response:
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        report = msgspec.to_builtins(self.target_report())
        return Response({**report, "state": self.orders.state()})


def _initial_state(settings: EngineSettings) -> Wanted:
    return Wanted(
        settings.model, settings.model_version, settings.adapters, settings.role
    )


@build_standin.register
def _(settings: EngineSettings) -> Standin:
    return Engine(settings)
