"""State of one request while it is served."""

from dataclasses import dataclass, field

import xxhash

from ..core.ids import Fingerprint
from ..http.caller import IncomingRequest
from ..http.client import Framing, OutgoingRequest, ResponseHead
from ..platform import requests as request_format
from .dispatch.dispatch_client import Permit
from .models import (
    RequestKind,
    RequestMetadata,
    Resumption,
    RouteRule,
    ServiceName,
    SoftwareVersion,
    Worker,
)
from .pipeline import StageRun
from .response_memory import Reservation
from .software_versions import RETENTION_MS, UNKNOWN_VERSION, BegunStream

BASE_VALUE, REFERENCE_SIZE_TOKENS, MAX_VALUE = 0.3, 5_000.0, 4.0
"""A generation's value grows with its size, by the users' scoring rules. These refer to
the mean size, which is unknown here; a typical size replaces it."""

RESUMED_WITHIN_TIMEOUTS = 2.0
"""Time for which callers resume a stream, in timeouts of its route."""


@dataclass(eq=False)
class RequestState:
    """State of one request while it is served."""

    request: IncomingRequest
    metadata: RequestMetadata
    route: RouteRule
    workspace: str | None
    priority: int
    service: str
    deadline_s: float
    due_s: float
    abandon_at_s: float
    """Time at which the caller abandons the request if no part of the response came."""
    fingerprint: Fingerprint
    sends: int = 0
    """How often the request was sent to a worker."""
    runs: int = 0
    """How often a worker may have run the request."""
    may_have_run: bool = False
    tried_workers: set[str] = field(default_factory=set)
    unreported: set[str] = field(default_factory=set)
    """Workers that were not asked, as they gave no report in time."""
    stages: StageRun | None = None
    framing: Framing | None = None
    """Framing of the last response of a worker."""
    software_version: SoftwareVersion | None = None
    """Version of the workers that wrote the events that the caller has."""
    assigned_version: SoftwareVersion | None = None
    """Version whose workers are to begin the stream; None for any."""
    version_recorded: bool = False
    """Whether this version has been recorded under the attempt."""
    writer_in_doubt: bool = False
    """Whether another incarnation than the listed one may have written the events."""
    resumption: Resumption | None = None
    """The stream that the caller resumes."""
    answer_begun: bool = False
    """Whether a worker has begun a successful answer."""
    last_event_id: str | None = None
    """Id of the last event that was forwarded."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions whose workers and helper instances may get it; empty for any."""
    reservations: list[Reservation] = field(default_factory=list)
    """Memory for the responses of workers."""

    @property
    def attempts_used(self) -> bool:
        """Whether as many workers may have run the request as its route allows."""
        return self.runs >= self.route.max_attempts

    @property
    def bound_version(self) -> SoftwareVersion | None:
        """Version of the workers that may get the request; None for any."""
        return self.software_version or self.assigned_version

    @property
    def begun_stream(self) -> BegunStream:
        """The record of the stream's version, under the caller's attempt."""
        version = self.software_version or SoftwareVersion("")
        return BegunStream(
            self.metadata.attempt,
            self.workspace or "",
            ServiceName(self.service),
            UNKNOWN_VERSION if self.writer_in_doubt else version,
        )

    def deviating_stream(self, worker: Worker) -> BegunStream | None:
        """Return the stream if it is to begin at another version than assigned."""
        version = SoftwareVersion(worker.software_version) or UNKNOWN_VERSION
        if self.software_version is not None:
            return None
        if self.assigned_version in (None, version):
            return None
        return self.begun_stream._replace(software_version=version)

    @property
    def resumed_within_ms(self) -> float:
        """Longest time for which callers resume a stream of the route.

        The stream may have begun while the timeout of the route was longer.
        """
        return max(RETENTION_MS, RESUMED_WITHIN_TIMEOUTS * self.route.timeout_ms)

    @property
    def value(self) -> float:
        """Value of a response within its objective, relative to others of its route."""
        if self.route.kind is not RequestKind.STREAMING:
            return 1.0
        size = self.metadata.weighted_tokens / REFERENCE_SIZE_TOKENS
        return min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * size)


@dataclass(eq=False)
class WorkerSend:
    """One send of a request to a worker."""

    permit: Permit
    begun_s: float | None = None
    """Time at which the worker began to write the response."""
    writer_in_doubt: bool = False
    """Whether another incarnation than the listed one may have got the request."""

    @property
    def worker(self) -> Worker:
        """The worker."""
        return self.permit.worker


class WorkerDidNotRun(Exception):
    """A worker did not run the request; it may be sent to another worker."""

    def __init__(self, cause: str, inputs_missing: bool = False):
        self.cause = cause
        self.inputs_missing = inputs_missing


class RequestFailed(Exception):
    """The request may have run, and no successful response was received."""

    def __init__(
        self,
        cause: str,
        response: tuple[ResponseHead, bytes] | None = None,
        reservation: Reservation | None = None,
    ):
        self.cause = cause
        self.response = response
        self.reservation = reservation
        """Memory for the response."""


def request_fingerprint(request: IncomingRequest, key: str | None) -> Fingerprint:
    """Return a hash of a request's content and caller, equal for all attempts."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(part)
        digest.update(b"\x00")
    return Fingerprint(digest.hexdigest())


def outgoing_request(
    state: RequestState, worker: Worker, now_s: float
) -> OutgoingRequest:
    """Return a request as it is sent to a worker."""
    request = state.request
    headers = request_format.forwarded_headers(
        request.headers,
        (state.deadline_s - now_s) * 1_000.0,
        worker.id,
        state.workspace,
        state.stages.inputs if state.stages is not None else (),
        state.last_event_id,
    )
    return OutgoingRequest(request.method, request.target, headers, request.body)
