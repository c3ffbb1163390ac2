"""The entry of the platform's store that tells which versions begin which streams."""

from typing import Annotated, Any

import msgspec

from ..gateway.models import ServiceName, SoftwareVersion
from ..gateway.version_splits import (
    UNITS,
    ServiceSplits,
    SplitGeneration,
    SplitRecord,
    VersionSplit,
)

KIND = "acaciapier-splits"
NAME = "current"

Units = Annotated[int, msgspec.Meta(ge=1, le=UNITS)]
Split = Annotated[dict[str, Units], msgspec.Meta(min_length=1)]


class _Former(msgspec.Struct):
    units: Split
    replaced_ms: int


class _Service(msgspec.Struct):
    units: Split
    former: list[_Former]
    life_ms: Annotated[float, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct):
    services: dict[str, _Service]
    within_ms: Annotated[float, msgspec.Meta(ge=0)]
    term: int
    number: int


def encode_record(record: SplitRecord) -> dict[str, Any]:
    """Encode the value of the entry."""
    services = {
        service: _Service(
            dict(splits.current.units),
            [
                _Former(dict(split.units), replaced_ms)
                for split, replaced_ms in splits.former.items()
            ],
            splits.life_ms,
        )
        for service, splits in sorted(record.services.items())
    }
    term, number = record.generation
    return msgspec.to_builtins(_Entry(services, record.within_ms, term, number))


def decode_record(spec: Any) -> SplitRecord:
    """Decode the value of the entry, or raise `ValueError`."""
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        raise ValueError(f"the record of splits is malformed: {error}") from error
    services = {
        ServiceName(name): ServiceSplits(
            _decode_split(service.units),
            {_decode_split(one.units): one.replaced_ms for one in service.former},
            service.life_ms,
        )
        for name, service in entry.services.items()
    }
    generation = SplitGeneration(entry.term, entry.number)
    return SplitRecord(services, entry.within_ms, generation)


def _decode_split(units: dict[str, int]) -> VersionSplit:
    return VersionSplit(
        tuple((SoftwareVersion(version), own) for version, own in sorted(units.items()))
    )
