"""Whether the KV cache of an engine has room for another request."""

from collections.abc import Iterable

from .slot_requests import SlotRequest, SlotReservation

MAX_KV_CACHE_SHARE = 0.85
"""Share of an engine's KV cache that running requests may fill; the rest is left to the
prefix cache."""


def fits_kv_cache(
    request: SlotRequest, held: Iterable[SlotReservation], cache_tokens: int
) -> bool:
    """Return whether a request fits beside those with the reserved slots `held`."""
    used = sum(
        reservation.prompt_tokens + reservation.output_tokens for reservation in held
    )
    needed = request.prompt_tokens + request.output_tokens
    return used + needed <= MAX_KV_CACHE_SHARE * cache_tokens
