"""Time window in which ids can be claimed and claims are kept."""

from dataclasses import dataclass
from enum import Enum
from uuid import RFC_4122, UUID

from ..core.ids import RequestId

UUID_VERSION = 7
UUID_TIME_SHIFT_BITS = 80


class WindowState(Enum):
    """Position of an id's timestamp relative to the window."""

    VALID = "valid"
    EXPIRED = "expired"

    EARLY = "early"
    """Too far in the future for every clock within the error bound."""

    EARLY_OR_VALID = "early_or_valid"
    """Too far in the future here, but possibly valid by a faster clock."""


@dataclass(frozen=True)
class ClaimWindow:
    """Relates the timestamp of an id to the lifetime of its claim.

    A request may be claimed while ``id time - ahead <= now <= id time + valid``. A
    bucket is deleted only after this window has ended by every clock within the
    error bound, so no request is claimed after the deletion of its bucket.

    Parameters
    ----------
    valid_ms : int
        Maximum age at which an id can be claimed.
    ahead_ms : int
        Maximum time by which an id may be ahead of the clock.
    clock_error_ms : int
        Maximum difference between an instance's clock and true time.
    bucket_ms : int
        Time span of the ids in one bucket.
    """

    valid_ms: int = 600_000
    ahead_ms: int = 30_000
    clock_error_ms: int = 5_000
    bucket_ms: int = 1_000

    def state(self, id_ms: int, now_ms: int) -> WindowState:
        """Return the state of `id_ms` at `now_ms`, both in ms since the Unix epoch."""
        if now_ms - id_ms > self.valid_ms:
            return WindowState.EXPIRED
        excess_ms = id_ms - now_ms - self.ahead_ms
        if excess_ms <= 0:
            return WindowState.VALID
        if excess_ms <= 2 * self.clock_error_ms:
            return WindowState.EARLY_OR_VALID
        return WindowState.EARLY

    def bucket_of(self, id_ms: int) -> int:
        """Return the number of the bucket for ids with the timestamp `id_ms`."""
        return id_ms // self.bucket_ms

    def first_kept_bucket(self, now_ms: int) -> int:
        """Return the number of the oldest bucket that must not be deleted."""
        oldest_kept_ms = now_ms - self.valid_ms - 2 * self.clock_error_ms
        return self.bucket_of(oldest_kept_ms)


def uuid7_ms(request_id: RequestId) -> int | None:
    """Return the timestamp of a UUID version 7 in ms since the Unix epoch.

    Returns None if `request_id` is not a UUID version 7.
    """
    try:
        parsed = UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or parsed.variant != RFC_4122:
        return None
    return parsed.int >> UUID_TIME_SHIFT_BITS
