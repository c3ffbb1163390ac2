"""The bounded part of a large pool that one instance calls."""

from collections.abc import Sequence

import xxhash

from ..core.ids import DataCentreId, RegionId
from .models import TargetView

MIN_LOCAL_TARGETS = 2


def rendezvous_rank(key: str, member: str) -> int:
    """Return the weight of `member` for `key`; the highest weight comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def choose_subset(
    targets: Sequence[TargetView],
    own_data_centre: DataCentreId,
    instance: str,
    size: int,
) -> list[TargetView]:
    """Return the targets that `instance` calls: of its own region, at most `size`.

    The choice depends on the names alone, so it moves little when targets come
    and go. A region with fewer than two targets is filled from the others.
    """
    region = _own_region(targets, own_data_centre)
    local = [one for one in targets if region is None or one.region == region]
    if len(local) >= MIN_LOCAL_TARGETS:
        return _highest(local, instance, size)
    others = [one for one in targets if one not in local]
    return local + _highest(others, instance, size - len(local))


def _own_region(
    targets: Sequence[TargetView], own_data_centre: DataCentreId
) -> RegionId | None:
    for one in targets:
        if one.data_centre == own_data_centre:
            return one.region
    return None


def _highest(targets: Sequence[TargetView], key: str, size: int) -> list[TargetView]:
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda one: rendezvous_rank(key, one.target))
    return ranked[-max(size, 0) :] if size > 0 else []
