"""Data types of the gateway: configuration, workers and requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from ..core.ids import DataCentreId, InstanceId
from .prompt_parts import PartId, PromptParts

ServiceName = NewType("ServiceName", str)
WorkerId = NewType("WorkerId", str)
WorkerKey = NewType("WorkerKey", str)
"""Id of one incarnation of a worker."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a worker's software; empty if it reports none."""

AttemptId = NewType("AttemptId", str)
"""Id that a caller gives to one attempt; a retry by the caller has a new id."""

ResultHandle = NewType("ResultHandle", str)
"""Reference to a stage result: the address of the worker that stores it, and a name."""


class StorePosition(NamedTuple):
    """Point in the history of the platform's store, ordered by term and revision.

    The store starts a new term when it is restored from a copy. Revisions then go back,
    and those after the copy are assigned again.
    """

    term: int
    revision: int


NO_POSITION = StorePosition(0, 0)
"""Position of an instance that has read nothing from the store."""


class RequestKind(Enum):
    """Whether a request may be retried, and whether its response is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class StageRule:
    """One stage of a route.

    Parameters
    ----------
    service : ServiceName
        Service whose workers run the stage.
    after : tuple of int
        Indices of the stages whose results this stage reads.
    result_bytes : int
        Approximate size of one result.
    """

    service: ServiceName
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route: the requests that it matches and how they are served."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[tuple[ServiceName, float], ...]
    """Candidate services with their weights."""
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    stages: tuple[StageRule, ...]
    max_event_gap_ms: float = 0.0
    """Longest gap between two events of a stream that meets the route's objective."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions whose workers may get its requests; empty for any."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def resumes_streams(self) -> bool:
        """Whether its callers resume streams that broke off."""
        return self.resumable and self.kind is RequestKind.STREAMING

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Indices of the stages whose results no other stage reads."""
        read = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in read)


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of one model worker of a service.

    Parameters
    ----------
    slots : int
        Requests that it runs concurrently.
    kv_cache_tokens : int
        Size of its KV cache in tokens.
    """

    slots: int
    kv_cache_tokens: int


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """Capacity and speed of one stage worker of a service.

    Parameters
    ----------
    max_pieces : int
        Maximum number of pieces in one call.
    call_ms, piece_ms : float
        Fixed duration of a call, and the additional duration per piece.
    result_memory_bytes : float
        Memory for results.
    result_ttl_ms : float
        Time after which the worker evicts a result.
    """

    max_pieces: int
    call_ms: float
    piece_ms: float
    result_memory_bytes: float
    result_ttl_ms: float

    def duration_ms(self, pieces: int) -> float:
        """Return the expected duration of a call with `pieces` pieces."""
        return self.call_ms + pieces * self.piece_ms


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """One service: connection limit and capacity of its workers."""

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None
    cold_per_s: float = 0.0
    """Requests a second that a cold worker takes from all instances; 0 if unlimited."""
    cold_start_ms: float = 0.0
    """For how long a worker is cold after it has started."""


@dataclass(frozen=True, slots=True)
class WorkspaceRule:
    """One workspace with its access keys."""

    name: str
    keys: frozenset[str]
    priority: int | None
    allowed_regions: frozenset[str] = frozenset()
    """Regions whose workers may get its requests; empty for any."""


@dataclass(frozen=True, slots=True)
class InputLimits:
    """Limits on the size of a caller's input and on the time it may take to send it."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class GatewayConfiguration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: Mapping[ServiceName, ServiceRule] = field(default_factory=dict)
    workspaces: tuple[WorkspaceRule, ...] | None = None
    limits: InputLimits = InputLimits()
    ignored_fields: tuple[tuple[str, str], ...] = ()
    """Path and text of the fields that are ignored since their values are odd."""


class WorkerState(Enum):
    """Whether a worker accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


UNKNOWN_COLD_MS = -1.0
"""Cold time of a worker whose entry names none, or one that is ignored."""


class Worker(msgspec.Struct, frozen=True):
    """One registered worker.

    Parameters
    ----------
    id : WorkerId
        Name of the worker.
    service : ServiceName
        Service that it belongs to.
    host, port
        Its address. After the worker has stopped, a worker of another service may
        get the same address.
    data_centre : DataCentreId
        Data centre in which it runs.
    slots : int
        Requests that it runs concurrently.
    state : WorkerState
        Whether it accepts new requests.
    started_ms : int
        Unix time of its start in milliseconds, which serves as its incarnation; 0 if
        unknown.
    cold_ms : float
        Remaining time at the receipt of its entry in which it is cold; 0 if it is warm,
        and `UNKNOWN_COLD_MS` if the entry does not tell.
    software_version : SoftwareVersion
        Version of its software. Versions have no order, and what two of them write
        does not fit together.
    entry_revision : int
        Revision of its entry in the store, which tells an entry that was written again
        from one that is only listed again; 0 if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: WorkerState
    started_ms: int
    cold_ms: float = 0.0
    software_version: str = ""
    entry_revision: int = 0

    @property
    def address(self) -> str:
        """Address in the form that result handles use."""
        return f"{self.host}:{self.port}"

    @property
    def key(self) -> WorkerKey:
        """Identifier of this incarnation of the worker."""
        return WorkerKey(f"{self.id}/{self.started_ms}")


@dataclass(frozen=True, slots=True)
class ServingRecord:
    """What served lately, as the store keeps it for instances that start.

    Parameters
    ----------
    versions : frozenset of tuple of str
        Services and the software versions of their workers.
    routes : frozenset of str
        Digests of where all routes led.
    within_ms : float
        Time within which they served or were in force.
    term : int
        Term of the store in which this was written.
    """

    versions: frozenset[tuple[str, str]]
    routes: frozenset[str]
    within_ms: float
    term: int


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """One registered gateway instance.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    host, port
        Address to which other instances connect.
    data_centre : DataCentreId
        Data centre in which it runs.
    started_ms : int
        Unix time of its start in milliseconds, which serves as its incarnation.
    capacity : float
        Link speed of its machine in Mbit/s multiplied by its cores. Instances of
        little capacity become the dispatcher of a service only if there is no other.
    """

    instance: InstanceId
    host: str
    port: int
    data_centre: DataCentreId
    started_ms: int
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a caller's request, from its headers.

    Parameters
    ----------
    attempt : AttemptId
        Id of this attempt; empty if the caller sent none.
    deadline_ms : float or None
        Time within which the caller expects the response.
    key : str or None
        Access key.
    prompt_tokens, output_tokens : int
        Size of the prompt and maximum size of the generated output.
    parts : PromptParts
        Parts of the prompt in order.
    piece_counts : tuple of int
        Number of pieces in each stage.
    piece_key : str
        Identifies the input of the first stages.
    """

    attempt: AttemptId
    deadline_ms: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: PromptParts = field(default_factory=PromptParts)
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""

    @property
    def shared_part_ids(self) -> tuple[PartId, ...]:
        """Ids of all parts but the last, which is the request's own."""
        return tuple(part.id for part in self.parts)[:-1]

    @property
    def weighted_tokens(self) -> float:
        """Size of a generation in equivalent prompt tokens."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens


OUTPUT_TOKEN_WEIGHT = 10.0
"""Value of a generated token in prompt tokens, from the users' scoring rules."""


@dataclass(frozen=True, slots=True)
class Resumption:
    """A caller's request to resume a stream that broke off.

    Parameters
    ----------
    after : str
        Id of the last event that the caller has received.
    attempt : AttemptId or None
        Attempt that brought the first event; None if the caller does not name it.
    """

    after: str
    attempt: AttemptId | None


class PieceFailure(Enum):
    """Why a stage worker produced no result for a piece."""

    DEADLINE_EXCEEDED = "late"
    INPUT_MISSING = "gone"
    OUT_OF_MEMORY = "room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage of one request."""

    attempt: AttemptId
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]


MAX_HANDLE_BYTES = 128
"""Longest handle that is accepted: an address and some hexadecimal digits. Handles of
a request go into messages between instances and into headers."""


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Outcome of a piece: the handle of its result, or a failure."""

    handle: str | None
    failure: PieceFailure | None = None


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load that a worker reported in a response."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """How long work takes there at this moment, 1.0 is usual; None if not reported."""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata of a worker's response, from its status and headers.

    Parameters
    ----------
    attempt : str or None
        Attempt that the response belongs to.
    has_seal : bool
        Whether it carries the worker's seal.
    not_run : bool
        Whether the worker did not run the request.
    promises_not_run : bool
        Whether callers take its status as a statement that the request did not run.
        The worker makes this statement only if `not_run` is set.
    wrong_worker : bool
        Whether the address now belongs to another worker.
    inputs_missing : bool
        Whether the worker no longer finds the stage results that it needs.
    closes_connection : bool
        Whether the worker closes the connection after this response; a worker that
        shuts down does so.
    load : WorkerLoad or None
        Load that the worker reported.
    leaving : bool
        Whether the worker announced its shutdown.
    retry_after_ms : float or None
        For how long the worker wants no requests from this instance; it gives one only
        when it turns a request away.
    malformed_retry_after : str or None
        Such a time in a form that is not understood.
    limit_per_s : float or None
        Requests a second that the worker takes from all instances together.
    malformed_limits : tuple of str
        Such limits in a form that is not understood.
    brittle_rejections : int or None
        Rejections in a second that the worker survives, if it is brittle.
    malformed_brittle : tuple of str
        Such numbers in a form that is not understood.
    cold_ms : float or None
        For how long the worker is still cold; 0 if it is warm.
    malformed_cold : tuple of str
        Such times in a form that is not understood, or too long.
    malformed_load : str or None
        A load of which at least one figure is not understood.
    """

    attempt: str | None
    has_seal: bool
    not_run: bool
    promises_not_run: bool
    wrong_worker: bool
    inputs_missing: bool
    closes_connection: bool
    load: WorkerLoad | None
    leaving: bool = False
    retry_after_ms: float | None = None
    malformed_retry_after: str | None = None
    limit_per_s: float | None = None
    malformed_limits: tuple[str, ...] = ()
    brittle_rejections: int | None = None
    malformed_brittle: tuple[str, ...] = ()
    cold_ms: float | None = None
    malformed_cold: tuple[str, ...] = ()
    malformed_load: str | None = None
