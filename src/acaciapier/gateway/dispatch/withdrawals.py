"""Requests to a dispatcher that end early, and what was reserved for them."""

from functools import singledispatch

from ...core.clock import Clock, to_s
from ...wire.messages.base import Message
from ...wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FreeResults,
    PermitEnded,
    PiecesMade,
    RunPieces,
)
from .outcomes import OUTCOME_CANCELLED

ENDED_KNOWN_MS = 2_000.0
"""Time for which a dispatcher knows that work has ended: messages of one connection are
handled in any order, and those of a closed one within its handshake timeout."""

MAX_ENDED = 10_000
"""Ends of work that are known at once: those of two seconds of the busiest service."""


@singledispatch
def make_cancellation(message: Message) -> Message:
    """Return the message that withdraws a request, and returns what it was granted."""
    raise TypeError(f"{type(message).__name__} is no question to a dispatcher")


@make_cancellation.register
def _(message: AcquireWorker) -> Message:
    return PermitEnded(message.service, message.permit, OUTCOME_CANCELLED, 0.0)


@make_cancellation.register(EnterStages)
@make_cancellation.register(RunPieces)
def _(message: EnterStages | RunPieces) -> Message:
    return CancelWork(message.service, message.attempt)


def make_return(message: Message, answer: Message) -> Message:
    """Return the message that gives back what the late answer to a request grants."""
    if isinstance(answer, PiecesMade):
        return FreeResults(message.service, answer.handles)
    return make_cancellation(message)


class EndedWork:
    """Names of work that has ended lately, within bounds of time and number.

    The end of a request may be handled before the request itself, or before an older
    list that names it. Neither must reserve anything then.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until_s: dict[tuple[str, str], float] = {}

    def record(self, service: str, name: str) -> None:
        """Record that a permit or the work of an attempt has ended."""
        now_s = self._clock.monotonic_s()
        while self._until_s:
            oldest = next(iter(self._until_s))
            expired = self._until_s[oldest] <= now_s
            if not expired and len(self._until_s) < MAX_ENDED:
                break
            del self._until_s[oldest]
        self._until_s.pop((service, name), None)
        self._until_s[service, name] = now_s + to_s(ENDED_KNOWN_MS)

    def __contains__(self, key: tuple[str, str]) -> bool:
        return self._until_s.get(key, 0.0) > self._clock.monotonic_s()

    def pop(self, service: str, name: str) -> bool:
        """Return whether work has ended lately, once: a later request is a new one."""
        ended = (service, name) in self
        self._until_s.pop((service, name), None)
        return ended
