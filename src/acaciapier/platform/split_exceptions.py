"""Entries of the store for streams that began at another version than assigned."""

from typing import Any

import msgspec
import xxhash

from ..gateway.models import AttemptId, ServiceName, SoftwareVersion
from ..gateway.software_versions import UNKNOWN_VERSION, BegunStream

KIND = "acaciapier-split-exceptions"


class _Entry(msgspec.Struct):
    attempt: str
    workspace: str
    service: str
    version: str
    """Empty if it is not known, so that no worker may go on."""
    written_ms: int


def entry_name(workspace: str, attempt: AttemptId) -> str:
    """Return the name of an attempt's entry."""
    return xxhash.xxh3_128_hexdigest(f"{workspace}\x00{attempt}".encode())


def encode_exception(stream: BegunStream, written_ms: int) -> dict[str, Any]:
    """Encode a stream, with the Unix time in ms of the writing."""
    known = stream.software_version
    version = "" if known == UNKNOWN_VERSION else known
    return msgspec.to_builtins(
        _Entry(
            stream.attempt,
            stream.workspace,
            stream.service,
            version,
            written_ms,
        )
    )


def decode_exception(spec: Any) -> tuple[BegunStream, int]:
    """Decode an entry: the stream, and the Unix time in ms of its writing.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        raise ValueError(f"the exception of a split is malformed: {error}") from error
    version = SoftwareVersion(entry.version) if entry.version else UNKNOWN_VERSION
    stream = BegunStream(
        AttemptId(entry.attempt), entry.workspace, ServiceName(entry.service), version
    )
    return stream, entry.written_ms
