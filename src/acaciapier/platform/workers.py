"""Entries of workers and of gateway instances in the platform's store."""

import re
from typing import Annotated, Any

import msgspec

from ..core.ids import DataCentreId, InstanceId
from ..gateway.models import (
    UNKNOWN_COLD_MS,
    PeerRecord,
    Worker,
    WorkerLoad,
    WorkerState,
)

WORKER_KIND = "servers"
PEER_KIND = "acaciapier-instances"
REPORT_PATH = b"/api/report"


MAX_PORT = 65_535
HOST_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*")
PORT_PATTERN = re.compile("[0-9]{1,5}")
MAX_SLOTS = 65_535
"""A worker runs one request a connection and accepts them on one port."""

MAX_COLD_MS = 3_600_000.0
"""Longest cold time. A longer one is taken for a mistake, since the worker would be
limited to a few requests a second until its next start."""

MAX_UNIX_MS = 2**53
"""Latest Unix time that a JSON number holds exactly."""

MAX_CAPACITY = 1e9
MAX_NAME_LENGTH = 255

MAX_COUNT = 2**31
"""Largest count of a reported load that is passed on between instances."""

PERCENT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
"""Plausible range of a reported slowdown: work that takes a hundred times as long ends
after every deadline."""

_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class _Entry(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: WorkerState
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    # Decoded on its own, so that an odd value does not hide the worker.
    cold_left_ms: Any = None
    # Unix time of the worker's start in ms, which identifies its incarnation.
    born: _UnixMs = 0


_ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]


class _Report(msgspec.Struct):
    born: _UnixMs | None = None


class _Instance(msgspec.Struct):
    host: str
    port: _Port
    zone: str
    started_ms: _UnixMs
    capacity: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0


def _check_host(host: str) -> None:
    """Raise `ValueError` unless a host is an address, or a name of valid labels."""
    if not HOST_PATTERN.fullmatch(host) or len(host) > MAX_NAME_LENGTH:
        raise ValueError(f"{host[:MAX_NAME_LENGTH]!r} is no host")


def _check_name(name: str) -> None:
    """Raise `ValueError` unless a name fits into a header."""
    if not (name.isascii() and name.isprintable() and len(name) <= MAX_NAME_LENGTH):
        raise ValueError(f"{name[:MAX_NAME_LENGTH]!r} is no name")


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
    _check_name(name)
    host, _, port = entry.addr.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"worker entry {name} has no address: {entry.addr[:99]!r}")
    _check_host(host)
    return Worker(
        id=name,
        service=entry.service,
        host=host,
        port=int(port),
        data_centre=entry.zone,
        slots=entry.slots,
        state=entry.state,
        started_ms=entry.born,
        cold_ms=_cold_ms(entry.cold_left_ms),
        software_version=entry.version,
    )


def _cold_ms(value: Any) -> float:
    try:
        return msgspec.convert(value, _ColdMs)
    except msgspec.ValidationError:
        return UNKNOWN_COLD_MS


def odd_cold_time(spec: Any) -> str | None:
    """Return the text of a readable entry's cold time if it is ignored."""
    value = spec.get("cold_left_ms")
    if value is None or _cold_ms(value) != UNKNOWN_COLD_MS:
        return None
    return repr(value)[:99]


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
    _check_name(name)
    _check_host(entry.host)
    return PeerRecord(
        InstanceId(name),
        entry.host,
        entry.port,
        DataCentreId(entry.zone),
        entry.started_ms,
        entry.capacity,
    )


def decode_load(value: str) -> WorkerLoad | None:
    """Decode the load that a worker reports; None if it is malformed.

    A malformed fourth figure, the slowdown in percent, is ignored like a missing one,
    and so are all further figures.
    """
    parts = value.split(",")
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
    except ValueError:
        return None
    if max(abs(running), abs(waiting), abs(slots)) > MAX_COUNT:
        return None
    slowdown = _decode_slowdown(parts[3]) if len(parts) > 3 else None
    return WorkerLoad(running, waiting, slots, slowdown)


def is_malformed_load(value: str) -> bool:
    """Return whether a worker's load has a figure that `decode_load` ignores."""
    load = decode_load(value)
    return load is None or (load.slowdown is None and value.count(",") >= 3)


def _decode_slowdown(percent: str) -> float | None:
    if not PERCENT_PATTERN.fullmatch(percent.strip(" \t")):
        return None
    slowdown = float(percent) / 100.0
    return slowdown if MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN else None
