"""Messages about requests that crash their targets."""

import msgspec

from .base import Message


class StrikeRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the quarantine; its id makes merging idempotent."""

    record_id: str
    kind: str
    fingerprint: str
    pool: str | None
    target: str | None
    incarnation: int | None
    at_ms: int


class Strikes(Message, frozen=True):
    """New records of the quarantine, spread to all instances."""

    records: tuple[StrikeRecord, ...]
