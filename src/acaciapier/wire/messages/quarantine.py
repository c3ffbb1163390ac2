"""Messages that share crash records between instances."""

import msgspec

from .base import Message


class CrashRecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of a crash record; its id makes merging idempotent."""

    record_id: str
    kind: str
    fingerprint: str
    pool: str | None
    target: str | None
    incarnation: int | None
    at_ms: int


class Strikes(Message, frozen=True):
    """New crash records, published to all instances."""

    records: tuple[CrashRecordEntry, ...]
