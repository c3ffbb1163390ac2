"""The time in which an id may be claimed, and after which claims are collected."""

from dataclasses import dataclass
from enum import Enum
from uuid import RFC_4122, UUID

from ..core.ids import RequestId

UUID_VERSION = 7
UUID_BITS_BELOW_TIME = 80


class WindowState(Enum):
    """Where an id's time lies."""

    VALID = "valid"
    EXPIRED = "expired"

    EARLY = "early"
    """Ahead, beyond what any clock within the error bound allows."""

    EARLY_OR_VALID = "early_or_valid"
    """Ahead, but a faster clock may have let it pass."""


@dataclass(frozen=True)
class ClaimWindow:
    """Rule that ties an id's time to the life of its claim.

    A claim may be taken while ``id time - ahead <= now <= id time + valid``. A
    bucket is deleted only when every clock within the error bound is past the
    end of that window, so no claim is taken after its bucket is gone.

    Parameters
    ----------
    valid_ms : int
        Age up to which an id may be claimed.
    ahead_ms : int
        How far ahead of the clock an id may lie.
    clock_error_ms : int
        Bound on the difference between an instance's clock and true time.
    bucket_ms : int
        Width of a bucket of ids.
    """

    valid_ms: int = 600_000
    ahead_ms: int = 30_000
    clock_error_ms: int = 5_000
    bucket_ms: int = 1_000

    def state(self, id_ms: int, now_ms: int) -> WindowState:
        """Return where `id_ms` lies at `now_ms`, both since the Unix epoch."""
        if now_ms - id_ms > self.valid_ms:
            return WindowState.EXPIRED
        ahead_ms = id_ms - now_ms - self.ahead_ms
        if ahead_ms <= 0:
            return WindowState.VALID
        if ahead_ms <= 2 * self.clock_error_ms:
            return WindowState.EARLY_OR_VALID
        return WindowState.EARLY

    def bucket_of(self, id_ms: int) -> int:
        """Return the number of the bucket that `id_ms` belongs to."""
        return id_ms // self.bucket_ms

    def first_kept_bucket(self, now_ms: int) -> int:
        """Return the number of the oldest bucket that may not be collected."""
        kept_ms = now_ms - self.valid_ms - 2 * self.clock_error_ms
        return self.bucket_of(kept_ms)


def uuid7_ms(request_id: RequestId) -> int | None:
    """Return the time of a UUID version 7 in ms since the epoch, else None."""
    try:
        parsed = UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or parsed.variant != RFC_4122:
        return None
    return parsed.int >> UUID_BITS_BELOW_TIME
