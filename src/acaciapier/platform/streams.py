"""Entries of the platform's store that tell which versions began streams."""

from typing import Annotated, Any

import msgspec

from ..gateway.models import AttemptId, ServiceName, SoftwareVersion
from ..gateway.software_versions import UNKNOWN_VERSION, BegunStream

KIND = "acaciapier-streams"

Number = Annotated[float, msgspec.Meta(ge=0)]


class _Group(msgspec.Struct):
    """Streams of one service that one version began, with the time to keep each."""

    service: str
    workspace: str
    version: str
    """Empty if it is not known, so that no worker may go on."""
    attempts: dict[str, Number]


class _Entry(msgspec.Struct):
    written_ms: int
    streams: list[_Group]


def encode_streams(
    streams: dict[BegunStream, float], written_ms: int
) -> dict[str, Any]:
    """Encode the streams of one instance, with the time in ms to keep each."""
    groups: dict[tuple[str, str, str], dict[str, float]] = {}
    for stream, keep_ms in streams.items():
        version = stream.software_version
        known = "" if version == UNKNOWN_VERSION else version
        key = stream.service, stream.workspace, known
        groups.setdefault(key, {})[stream.attempt] = round(keep_ms)
    entry = _Entry(written_ms, [_Group(*key, found) for key, found in groups.items()])
    return msgspec.to_builtins(entry)


def decode_streams(spec: Any) -> tuple[dict[BegunStream, float], int]:
    """Decode an entry: streams with times to keep, and when it was written.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        raise ValueError(f"the record of streams is malformed: {error}") from error
    streams = {
        BegunStream(
            AttemptId(attempt),
            group.workspace,
            ServiceName(group.service),
            SoftwareVersion(group.version) if group.version else UNKNOWN_VERSION,
        ): keep_ms
        for group in entry.streams
        for attempt, keep_ms in group.attempts.items()
    }
    return streams, entry.written_ms
