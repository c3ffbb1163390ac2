"""Messages by which gateway instances find the software version of a stream."""

from typing import Any

import msgspec

from .base import Message


class StreamEntry(msgspec.Struct, frozen=True, array_like=True):
    """The software version of the workers that wrote the events of one attempt."""

    attempt: str
    workspace: str
    service: str
    software_version: str
    keep_ms: float = 0.0
    """For how long the record is kept; 0 if the sender leaves that to the receiver."""


class StreamsBegun(Message, frozen=True):
    """Asks an instance to keep the software versions of streams that have begun."""

    streams: tuple[StreamEntry, ...]


class FindStream(Message, frozen=True):
    """Asks for the record of an attempt, and which versions serve its services."""

    attempt: str
    """Empty if the caller named none."""
    workspace: str
    services: tuple[str, ...]
    within_ms: float = 0.0
    """For how long a version counts after its last worker was removed; 0 leaves that to
    the receiver."""
    host: str = ""
    target: str = ""
    """The caller's request, by which its route is found, without its query."""


class ServiceVersions(msgspec.Struct, frozen=True, array_like=True):
    """Software versions that an instance has lately seen serving a service."""

    service: str
    software_versions: tuple[str, ...]


class VersionSplits(Message, frozen=True):
    """Tells an instance of the newest record of splits that is in the store."""

    record: dict[str, Any]
    """The value of the store's entry."""


class StreamFound(Message, frozen=True):
    """Answer to `FindStream`; `stream` is None if the instance has no record."""

    stream: StreamEntry | None
    versions: tuple[ServiceVersions, ...]
    current: bool
    """Whether the instance reads the list of workers from the store at present."""
    known_ms: float
    """For how long it has known a list of workers."""
    within_ms: float = 60_000.0
    """For how long versions count after their last worker was removed."""
    route_services: tuple[str, ...] = ()
    """Services to which the route of the request leads, or led within that time."""
    routes_known_ms: float = 0.0
    """For how long the instance has known a configuration."""
    splits: tuple[int, int] | None = None
    """Generation of the splits that it knows; None from earlier builds."""
