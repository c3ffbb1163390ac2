"""Whether a request waits for the slot of a faster worker."""

DEFERRAL_SHARE = 0.25
"""Share of the gained time that the expected wait for that slot may take: a request
that waits for it delays those after it, too."""

MAX_DEFERRED = 8
"""Requests that wait for slots of faster workers at a time, which bounds the time that
one assignment takes."""


def is_worth_waiting(gain_ms: float, slots_per_ms: float, ahead: int) -> bool:
    """Return whether the time gained at faster workers is worth the wait for a slot.

    Their slots become free at the rate `slots_per_ms`; `ahead` requests wait already.
    """
    if ahead >= MAX_DEFERRED or not slots_per_ms:
        return False
    return (ahead + 1) / slots_per_ms < DEFERRAL_SHARE * gain_ms
