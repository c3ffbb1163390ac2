"""Messages between gateway instances."""

import msgspec

from .base import Message


class ServiceWait(msgspec.Struct, frozen=True, array_like=True):
    """How long new work of each rank would wait at a service."""

    service: str
    waits_ms: tuple[tuple[int, float], ...]


class Beat(Message, frozen=True):
    """Heartbeat: what the sender knows and whether it stops; also its answer."""

    configuration_revision: int
    workers_revision: int
    workers_digest: int
    stopping: bool
    waits: tuple[ServiceWait, ...] = ()
    follows_store: bool = False
    uptime_ms: float = 0.0


class FetchNews(Message, frozen=True):
    """Asks for a configuration or workers newer than the given revisions."""

    configuration_revision: int
    workers_revision: int
    wants_peers: bool = False


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One instance of a peer's table."""

    instance: str
    host: str
    port: int
    data_centre: str
    started_ms: int
    capacity: float = 1.0


class WorkerEntry(msgspec.Struct, frozen=True, array_like=True):
    """One worker of a peer's table."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: str
    started_ms: int
    cold_ms: float


class News(Message, frozen=True):
    """Answer to `FetchNews`; what is not newer is left out."""

    configuration_revision: int
    configuration: bytes | None
    workers_revision: int
    workers: tuple[WorkerEntry, ...] | None
    peers: tuple[PeerEntry, ...] = ()


class EnterStages(Message, frozen=True):
    """Asks the dispatcher of a chain's last stage whether a request may begin.

    `count` is the number of its pieces in that stage. Times are milliseconds from now:
    `due_ms` until that stage is to be done, `expires_ms` until it is useless;
    `usual_ms` is how long the chain usually takes; `fingerprint` is a hash of content
    and caller, by which a request that was refused is known when it returns.
    """

    service: str
    attempt: str
    stage: int
    count: int
    due_ms: float
    expires_ms: float
    usual_ms: float
    priority: int
    route_priority: int
    fingerprint: str


class StagesEntered(Message, frozen=True):
    """A request may begin its stages."""


class RunPieces(Message, frozen=True):
    """Asks a dispatcher to have all pieces of one stage of a request made.

    Times are milliseconds from now: `due_ms` until the results are wanted,
    `latest_ms` until they are late in any case, `expires_ms` until they are useless.
    """

    service: str
    attempt: str
    stage: int
    count: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    due_ms: float
    latest_ms: float
    expires_ms: float
    priority: int
    value: float
    data_centre: str
    transfer_bytes: int = 0


class PiecesMade(Message, frozen=True):
    """Handles of all pieces, in order."""

    handles: tuple[str, ...]


class WorkRefused(Message, frozen=True):
    """Nothing was done: why, and when it is worth another try."""

    cause: str
    retry_after_ms: float


class FreeResults(Message, frozen=True):
    """Gives up results of a stage service."""

    service: str
    handles: tuple[str, ...]


class CancelWork(Message, frozen=True):
    """The caller of an attempt is gone; its waiting pieces are not wanted."""

    service: str
    attempt: str


class AcquireWorker(Message, frozen=True):
    """Asks a dispatcher for a place at one worker of a service."""

    service: str
    permit: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    input_bytes: tuple[tuple[str, int], ...]
    priority: int
    value: float
    due_ms: float
    expires_ms: float
    avoid: tuple[str, ...]
    repeat: bool


class WorkerGranted(Message, frozen=True):
    """A place at one incarnation of a worker."""

    worker: str
    started_ms: int


class PermitEnded(Message, frozen=True):
    """Gives a place back and tells how the call ended."""

    service: str
    permit: str
    outcome: str
    elapsed_ms: float


class PermitStarted(Message, frozen=True):
    """The first part of the answer has come."""

    service: str
    permit: str
    elapsed_ms: float


class HeldResults(Message, frozen=True):
    """All stage results that an instance holds at a service, for a new dispatcher."""

    service: str
    results: tuple[tuple[str, int], ...]
    """Handle and size in bytes of each."""


class HeldPermits(Message, frozen=True):
    """All places that an instance holds at a service, for a new dispatcher."""

    service: str
    permits: tuple[tuple[str, str, int, int], ...]
    """Permit, worker, prompt tokens and output tokens of each."""
