"""Continuous batching: streams, slots and the duration of each step."""

import hashlib
import heapq
from dataclasses import dataclass
from enum import Enum
from itertools import count

import trio
from trio.lowlevel import ParkingLot

from .book import WorkEntry
from .outputs import count_words, generation_seed, token_at
from .target import Envelope


class StreamState(Enum):
    """Where a stream is on its way."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Stream:
    """One generation; it keeps its tokens, so that readers can come back.

    Parameters
    ----------
    envelope : Envelope
        The call that asked for it.
    """

    def __init__(self, envelope: Envelope):
        self.envelope = envelope
        self.state = StreamState.QUEUED
        self.tokens: list[str] = []
        self.wanted = _wanted_tokens(envelope)
        self.fails_at: int | None = None
        self.prompt_tokens = count_words(envelope.input)
        self.cached_tokens = 0
        self.prefill_left = self.prompt_tokens
        self.readers = 0
        self.orphaned_s: float | None = None
        self.started_s = 0.0
        self.ended_s = 0.0
        self.entry: WorkEntry | None = None
        self.changed = ParkingLot()
        self.left_queue = trio.Event()
        self._seed = generation_seed(envelope.workspace, envelope.input)

    @property
    def ended(self) -> bool:
        """Return whether no further token will come."""
        return self.state not in (StreamState.QUEUED, StreamState.RUNNING)

    def emit(self, number: int) -> None:
        """Generate up to `number` further tokens and wake the readers."""
        start = len(self.tokens)
        end = min(self.wanted, start + number)
        self.tokens += [token_at(self._seed, offset) for offset in range(start, end)]
        self.changed.unpark_all()

    def end(self, state: StreamState, now_s: float) -> None:
        """Set the final state and wake the readers."""
        self.state = state
        self.ended_s = now_s
        self.left_queue.set()
        self.changed.unpark_all()

    def digest(self) -> str:
        """Return the hexadecimal SHA-256 of all tokens."""
        return hashlib.sha256("".join(self.tokens).encode()).hexdigest()

    def units(self) -> dict[str, float]:
        """Return the tokens spent so far; cached ones are part of the prompt's."""
        if self.state is StreamState.QUEUED or self.entry is None:
            return {}
        return {
            "prompt_tokens": float(self.prompt_tokens - self.prefill_left),
            "cached_tokens": float(self.cached_tokens),
            "generated_tokens": float(len(self.tokens)),
        }


def _wanted_tokens(envelope: Envelope) -> int:
    asked = int(envelope.parameters.get("tokens", envelope.max_tokens))
    return max(1, min(asked, envelope.max_tokens))


@dataclass(frozen=True)
class BatchLimits:
    """Speeds and sizes of a batch; times in milliseconds."""

    slots: int
    max_queued: int
    step_ms: float
    step_ms_per_stream: float
    tokens_per_step: int
    prefill_ms_per_token: float
    prefill_tokens_per_step: int


class Batch:
    """Streams that share one step timer; prefill is spread over steps.

    Parameters
    ----------
    limits : BatchLimits
        Speeds and sizes.
    """

    def __init__(self, limits: BatchLimits):
        self.limits = limits
        self.running: list[Stream] = []
        self.paused = False
        self._queue: list[tuple[int, int, Stream]] = []
        self._numbers = count()

    @property
    def queued(self) -> int:
        """Return how many streams wait for a slot."""
        return len(self._queue)

    @property
    def idle(self) -> bool:
        """Return whether a step would do nothing."""
        return not self.running and (self.paused or not self._queue)

    def enqueue(self, stream: Stream) -> bool:
        """Queue a stream, lower priorities first; False if the queue is full."""
        free = self.limits.slots - len(self.running)
        if len(self._queue) >= self.limits.max_queued + max(0, free):
            return False
        item = (stream.envelope.priority, next(self._numbers), stream)
        heapq.heappush(self._queue, item)
        return True

    def withdraw(self, stream: Stream) -> None:
        """Take a queued or running stream out."""
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
            stream.left_queue.set()
            self.running.append(stream)
            admitted.append(stream)
        return admitted

    def start_step(self) -> float:
        """Spread prefill over the streams; returns the step's length in ms."""
        limits = self.limits
        left = limits.prefill_tokens_per_step
        for stream in self.running:
            done = min(left, stream.prefill_left)
            stream.prefill_left -= done
            left -= done
        prefilled = limits.prefill_tokens_per_step - left
        return (
            limits.step_ms
            + limits.step_ms_per_stream * len(self.running)
            + limits.prefill_ms_per_token * prefilled
        )

    def end_step(self) -> list[Stream]:
        """Emit tokens to all prefilled streams; returns those that are complete."""
        complete = []
        for stream in self.running:
            if stream.prefill_left == 0:
                stream.emit(self.limits.tokens_per_step)
                if len(stream.tokens) >= stream.wanted:
                    complete.append(stream)
        return complete

    def _has_free_slot(self) -> bool:
        return len(self.running) < self.limits.slots
