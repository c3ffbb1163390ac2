"""What is known about one request while it is served."""

from dataclasses import dataclass, field

import xxhash

from ..core.ids import Fingerprint
from ..http.caller import IncomingRequest
from ..http.client import AnswerHead
from .event_stream import EventSplitter
from .models import RequestKind, RequestTerms, RouteRule
from .pipeline import StageRun

VALUE_BASE, VALUE_SIZE_TOKENS, VALUE_MOST = 0.3, 5_000.0, 4.0
"""Value of a generation by its size, from the users' scoring rules; the mean size
is not known here, so a usual one stands for it."""

LEAST_PATIENCE_MS = 2_000.0
"""Callers wait for a stream's first event at least so long, by the users' protocol."""

OBJECTIVES_WAITED, PAUSES_WAITED = 4.0, 8.0
"""The same in objectives and in longest pauses; the longest of the three counts."""


def caller_patience_ms(route: RouteRule, deadline_ms: float) -> float:
    """Return after which time without a part of the answer a caller leaves."""
    if route.kind is not RequestKind.STREAMING:
        return deadline_ms
    waited_ms = max(
        LEAST_PATIENCE_MS,
        OBJECTIVES_WAITED * route.objective_ms,
        PAUSES_WAITED * route.pause_ms,
    )
    return min(deadline_ms, waited_ms)


@dataclass(eq=False)
class RequestState:
    """What is known about one request while it is served."""

    request: IncomingRequest
    terms: RequestTerms
    route: RouteRule
    tenant: str | None
    priority: int
    service: str
    deadline_s: float
    due_s: float
    leaves_s: float
    """When the caller leaves if no part of the answer has come."""
    fingerprint: Fingerprint
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    stages: StageRun | None = None
    events: EventSplitter = field(default_factory=EventSplitter)
    """Events of a resumable stream that were forwarded."""

    @property
    def value(self) -> float:
        """What an answer in time is worth, relative to others of its route."""
        if self.route.kind is not RequestKind.STREAMING:
            return 1.0
        size = self.terms.size_tokens / VALUE_SIZE_TOKENS
        return min(VALUE_MOST, VALUE_BASE + (1 - VALUE_BASE) * size)


class NotRunThere(Exception):
    """A worker did not run the request; another one may be asked."""

    def __init__(self, cause: str, inputs_gone: bool = False):
        self.cause = cause
        self.inputs_gone = inputs_gone


class Failed(Exception):
    """The request may have run and has no good answer."""

    def __init__(self, cause: str, answer: tuple[AnswerHead, bytes] | None = None):
        self.cause = cause
        self.answer = answer


def request_fingerprint(request: IncomingRequest, key: str | None) -> Fingerprint:
    """Return a hash of a request's content and caller, not of its attempt."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(part)
        digest.update(b"\x00")
    return Fingerprint(digest.hexdigest())
