"""Typed values of the gateway: configuration, workers and requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

import msgspec

from ..core.ids import DataCentreId, InstanceId

ServiceName = NewType("ServiceName", str)
WorkerId = NewType("WorkerId", str)
AttemptId = NewType("AttemptId", str)
"""Id of one attempt of a caller; a repeated request bears another one."""

ResultHandle = NewType("ResultHandle", str)
"""Address and name of one stage result, as its maker gave it."""


class RequestKind(Enum):
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class StageRule:
    """One stage of a route.

    Parameters
    ----------
    service : ServiceName
        Whose workers do the work.
    after : tuple of int
        Numbers of the stages whose results it reads.
    result_bytes : int
        Approximate size of one result.
    """

    service: ServiceName
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route: which requests it matches and how they are served."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[tuple[ServiceName, float], ...]
    """Services with their weights."""
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    stages: tuple[StageRule, ...]
    pause_ms: float = 0.0
    """Longest pause between events of a stream in which it is still in time."""

    @property
    def repeatable(self) -> bool:
        """Whether the work may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Numbers of the stages that no other stage reads."""
        read = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in read)


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What one model worker of a service can do."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """What one stage worker of a service can do.

    Parameters
    ----------
    batch : int
        Pieces that one call may hold.
    call_ms, piece_ms : float
        Time of a call, and what each piece adds.
    result_bytes : float
        Room for results.
    result_ttl_ms : float
        Time after which the worker drops a result.
    """

    batch: int
    call_ms: float
    piece_ms: float
    result_bytes: float
    result_ttl_ms: float

    def duration_ms(self, pieces: int) -> float:
        """Return the expected time of a call with `pieces` pieces."""
        return self.call_ms + pieces * self.piece_ms


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """One service: how its workers are reached and what they can do."""

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None


@dataclass(frozen=True, slots=True)
class TenantRule:
    """One workspace with its keys."""

    name: str
    keys: frozenset[str]
    priority: int | None


@dataclass(frozen=True, slots=True)
class InputLimits:
    """Bounds on what a caller may send, and how slowly."""

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
    tenants: tuple[TenantRule, ...] | None = None
    limits: InputLimits = InputLimits()


class WorkerState(Enum):
    """Whether a worker takes work."""

    READY = "ready"
    DRAINING = "draining"


class Worker(msgspec.Struct, frozen=True):
    """One registered worker.

    Parameters
    ----------
    id : WorkerId
        Its name.
    service : ServiceName
        What it serves.
    host, port
        Its address; an ended worker's may be given to another service.
    data_centre : DataCentreId
        Where it is.
    slots : int
        Requests that it runs at once.
    state : WorkerState
        Whether it takes work.
    started_ms : int
        Unix time of its start in milliseconds, its incarnation; 0 if unknown.
    cold_ms : float
        For how much longer it is slow.
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

    @property
    def address(self) -> str:
        """Address as result handles name it."""
        return f"{self.host}:{self.port}"

    @property
    def key(self) -> str:
        """Name of this incarnation."""
        return f"{self.id}/{self.started_ms}"


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """One registered instance of the system.

    Parameters
    ----------
    instance : InstanceId
        Its name.
    host, port
        Where other instances connect.
    data_centre : DataCentreId
        Where it is.
    started_ms : int
        Unix time of its start in milliseconds, its incarnation.
    capacity : float
        Speed of its machine's link in Mbit/s times its cores; machines of little
        capacity decide for a service only if there is no other.
    """

    instance: InstanceId
    host: str
    port: int
    data_centre: DataCentreId
    started_ms: int
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, which other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller's request says about itself.

    Parameters
    ----------
    attempt : AttemptId
        Id of this attempt; empty if the caller sent none.
    deadline_ms : float or None
        For how long the caller waits.
    key : str or None
        Access key.
    prompt_tokens, output_tokens : int
        Size of the prompt and the most that may be generated.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    piece_counts : tuple of int
        Pieces of each stage.
    piece_key : str
        What the first stages work on.
    """

    attempt: AttemptId
    deadline_ms: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""

    @property
    def size_tokens(self) -> float:
        """Size by which a generation is valued."""
        return self.prompt_tokens + OUTPUT_TOKEN_VALUE * self.output_tokens


OUTPUT_TOKEN_VALUE = 10.0
"""Worth of a generated token in prompt tokens, from the users' scoring rules."""


class PieceFailure(Enum):
    """Why a stage worker made no result of a piece."""

    LATE = "late"
    INPUT_GONE = "gone"
    NO_ROOM = "room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage of one request."""

    attempt: AttemptId
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What became of a piece: a handle or a failure."""

    handle: str | None
    failure: PieceFailure | None = None


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load that a worker told in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What a worker's answer says besides its body.

    Parameters
    ----------
    attempt : str or None
        Attempt that it belongs to.
    marked : bool
        Whether it bears the worker's mark.
    not_run : bool
        Whether the worker did not run the request.
    wrong_worker : bool
        Whether another worker has the address.
    inputs_gone : bool
        Whether stage results that it needs are gone.
    leaving : bool
        Whether the connection ends after it, as those of a leaving worker do.
    load : WorkerLoad or None
        Load that the worker tells.
    """

    attempt: str | None
    marked: bool
    not_run: bool
    wrong_worker: bool
    inputs_gone: bool
    leaving: bool
    load: WorkerLoad | None
