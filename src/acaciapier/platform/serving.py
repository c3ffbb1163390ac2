"""The entry of the platform's store that tells what served lately."""

from typing import Annotated, Any

import msgspec

from ..gateway.models import ServingRecord

KIND = "acaciapier-serving"
NAME = "lately"


class _Entry(msgspec.Struct):
    versions: dict[str, list[str]]
    routes: list[str]
    within_ms: Annotated[float, msgspec.Meta(ge=0)]
    term: int


def encode_record(record: ServingRecord) -> dict[str, Any]:
    """Encode the value of the entry."""
    versions: dict[str, list[str]] = {}
    for service, version in sorted(record.versions):
        versions.setdefault(service, []).append(version)
    return {
        "versions": versions,
        "routes": sorted(record.routes),
        "within_ms": record.within_ms,
        "term": record.term,
    }


def decode_record(spec: Any) -> ServingRecord:
    """Decode the value of the entry, or raise `ValueError`."""
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        raise ValueError(f"the record of what served is malformed: {error}") from error
    return ServingRecord(
        frozenset(
            (service, version)
            for service, versions in entry.versions.items()
            for version in versions
        ),
        frozenset(entry.routes),
        entry.within_ms,
        entry.term,
    )
