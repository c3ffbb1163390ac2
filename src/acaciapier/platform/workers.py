"""Entries of workers and of gateway instances in the platform's store."""

from typing import Any

import msgspec

from ..core.ids import DataCentreId, InstanceId
from ..gateway.models import PeerRecord, Worker, WorkerLoad, WorkerState

WORKER_KIND = "servers"
PEER_KIND = "acaciapier-instances"
REPORT_PATH = b"/api/report"


class _Entry(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: WorkerState
    version: str
    slots: int = 1
    cold_left_ms: float = 0.0
    # Unix time of the worker's start in ms, which identifies its incarnation.
    born: int = 0


class _Report(msgspec.Struct):
    born: int | None = None


class _Instance(msgspec.Struct):
    host: str
    port: int
    zone: str
    started_ms: int
    capacity: float = 1.0


def decode_worker(name: str, spec: Any) -> Worker:
    """Decode the value of a worker's entry.

    Raises
    ------
    ValueError
        If the entry is malformed or has no valid address.
    """
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        raise ValueError(f"worker entry {name} is malformed: {error}") from error
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"worker entry {name} has no address: {entry.addr!r}")
    return Worker(
        id=name,
        service=entry.service,
        host=host,
        port=int(port),
        data_centre=entry.zone,
        slots=entry.slots,
        state=entry.state,
        started_ms=entry.born,
        cold_ms=entry.cold_left_ms,
        software_version=entry.version,
    )


def decode_report_start(body: bytes) -> int | None:
    """Return the Unix time in ms of a worker's start from its report; None if missing.

    Raises
    ------
    ValueError
        If the report is malformed.
    """
    try:
        return msgspec.json.decode(body, type=_Report).born
    except msgspec.MsgspecError as error:
        raise ValueError(f"a worker's report is malformed: {error}") from error


def encode_peer(peer: PeerRecord) -> dict[str, Any]:
    """Encode the value of an instance's own entry."""
    return {
        "host": peer.host,
        "port": peer.port,
        "zone": peer.data_centre,
        "started_ms": peer.started_ms,
        "capacity": peer.capacity,
    }


def decode_peer(name: str, spec: Any) -> PeerRecord:
    """Decode an instance's entry, or raise `ValueError`."""
    try:
        entry = msgspec.convert(spec, _Instance)
    except msgspec.ValidationError as error:
        raise ValueError(f"instance entry {name} is malformed: {error}") from error
    return PeerRecord(
        InstanceId(name),
        entry.host,
        entry.port,
        DataCentreId(entry.zone),
        entry.started_ms,
        entry.capacity,
    )


def decode_load(value: str) -> WorkerLoad | None:
    """Decode the load that a worker reports; None if it is malformed."""
    try:
        running, waiting, slots = (int(part) for part in value.split(","))
    except ValueError:
        return None
    return WorkerLoad(running, waiting, slots)
