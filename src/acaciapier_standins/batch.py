"""Simulation of continuous batching: streams, slots and step durations."""

import hashlib
import heapq
from dataclasses import dataclass
from enum import Enum
from itertools import count

import trio
from trio.lowlevel import ParkingLot

from .outputs import count_words, generation_seed, token_at
from .records import WorkEntry
from .target import Envelope


class StreamState(Enum):
    """State in the life cycle of a stream."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Stream:
    """One generation; it keeps its tokens, so that a reader can resume it.

    Parameters
    ----------
    envelope : Envelope
        The call that requested the generation.
    """

    def __init__(self, envelope: Envelope):
        self.envelope = envelope
        self.state = StreamState.QUEUED
        self.tokens: list[str] = []
        self.total_tokens = _requested_tokens(envelope)
        self.fail_at_tokens: int | None = None
        self.prompt_tokens = count_words(envelope.input)
        self.cached_tokens = 0
        self.prefill_tokens_left = self.prompt_tokens
        self.readers = 0
        self.orphaned_at_s: float | None = None
        self.started_s = 0.0
        self.ended_s = 0.0
        self.entry: WorkEntry | None = None
        self.changed = ParkingLot()
        self.dequeued = trio.Event()
        self._seed = generation_seed(envelope.workspace, envelope.input)

    @property
    def ended(self) -> bool:
        """Return whether the stream will generate no further tokens."""
        return self.state not in (StreamState.QUEUED, StreamState.RUNNING)

    def emit(self, number: int) -> None:
        """Generate up to `number` further tokens and wake the readers."""
        start = len(self.tokens)
        end = min(self.total_tokens, start + number)
        self.tokens += [token_at(self._seed, offset) for offset in range(start, end)]
        self.changed.unpark_all()

    def end(self, state: StreamState, now_s: float) -> None:
        """Set the final state and wake the readers."""
        self.state = state
        self.ended_s = now_s
        self.dequeued.set()
        self.changed.unpark_all()

    def digest(self) -> str:
        """Return the hexadecimal SHA-256 of all tokens."""
        return hashlib.sha256("".join(self.tokens).encode()).hexdigest()

    def units(self) -> dict[str, float]:
        """Return the tokens used so far; prompt tokens include the cached ones."""
        if self.state is StreamState.QUEUED or self.entry is None:
            return {}
        return {
            "prompt_tokens": float(self.prompt_tokens - self.prefill_tokens_left),
            "cached_tokens": float(self.cached_tokens),
            "generated_tokens": float(len(self.tokens)),
        }


def _requested_tokens(envelope: Envelope) -> int:
    requested = int(envelope.parameters.get("tokens", envelope.max_tokens))
    return max(1, min(requested, envelope.max_tokens))


@dataclass(frozen=True)
class BatchLimits:
    """Step costs and size limits of a batch; times in milliseconds."""

    slots: int
    max_queued: int
    step_ms: float
    step_ms_per_stream: float
    tokens_per_step: int
    prefill_ms_per_token: float
    prefill_tokens_per_step: int


class Batch:
    """Streams that advance together in steps; long prefills take several steps.

    Parameters
    ----------
    limits : BatchLimits
        Step costs and size limits.
    """

    def __init__(self, limits: BatchLimits):
        self.limits = limits
        self.running: list[Stream] = []
        self.paused = False
        self._queue: list[tuple[int, int, Stream]] = []
        self._numbers = count()

    @property
    def queued(self) -> int:
        """Return the number of streams that wait for a slot."""
        return len(self._queue)

    @property
    def idle(self) -> bool:
        """Return whether no stream runs and none can be admitted."""
        return not self.running and (self.paused or not self._queue)

    def enqueue(self, stream: Stream) -> bool:
        """Queue a stream, lowest priority value first; return False if full."""
        free = self.limits.slots - len(self.running)
        if len(self._queue) >= self.limits.max_queued + max(0, free):
            return False
        item = (stream.envelope.priority, next(self._numbers), stream)
        heapq.heappush(self._queue, item)
        return True

    def remove(self, stream: Stream) -> None:
        """Remove a queued or running stream."""
        if stream in self.running:
            self.running.remove(stream)
            return
        self._queue = [item for item in self._queue if item[2] is not stream]
        heapq.heapify(self._queue)

    def admit(self, now_s: float) -> list[Stream]:
        """Move queued streams to free slots and return them."""
        admitted = []
        while self._queue and not self.paused and self._has_free_slot():
            stream = heapq.heappop(self._queue)[2]
            stream.state = StreamState.RUNNING
            stream.started_s = now_s
            stream.dequeued.set()
            self.running.append(stream)
            admitted.append(stream)
        return admitted

    def start_step(self) -> float:
        """Prefill the running streams and return the duration of the step in ms."""
        limits = self.limits
        left = limits.prefill_tokens_per_step
        for stream in self.running:
            done = min(left, stream.prefill_tokens_left)
            stream.prefill_tokens_left -= done
            left -= done
        prefilled = limits.prefill_tokens_per_step - left
        return (
            limits.step_ms
            + limits.step_ms_per_stream * len(self.running)
            + limits.prefill_ms_per_token * prefilled
        )

    def end_step(self) -> list[Stream]:
        """Generate tokens for prefilled streams and return the complete streams."""
        complete = []
        for stream in self.running:
            if stream.prefill_tokens_left == 0:
                stream.emit(self.limits.tokens_per_step)
                if len(stream.tokens) >= stream.total_tokens:
                    complete.append(stream)
        return complete

    def _has_free_slot(self) -> bool:
        return len(self.running) < self.limits.slots
