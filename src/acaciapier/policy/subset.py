"""Subsetting: one instance calls only a bounded part of a large pool."""

from collections.abc import Sequence

import xxhash

from ..core.ids import DataCentreId, RegionId
from .models import TargetView

MIN_LOCAL_TARGETS = 2


def rendezvous_rank(key: str, member: str) -> int:
    """Return the rendezvous-hashing weight of `member` for `key`.

    The member with the highest weight is preferred.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def choose_subset(
    targets: Sequence[TargetView],
    own_data_centre: DataCentreId,
    instance: str,
    size: int,
) -> list[TargetView]:
    """Return the targets that `instance` calls: at most `size`, of its own region.

    The choice depends only on the names, so it changes little when targets join
    or leave. A region with fewer than two targets is filled up from other regions.
    """
    region = _own_region(targets, own_data_centre)
    local = [view for view in targets if region is None or view.region == region]
    if len(local) >= MIN_LOCAL_TARGETS:
        return _highest_ranked(local, instance, size)
    others = [view for view in targets if view not in local]
    return local + _highest_ranked(others, instance, size - len(local))


def _own_region(
    targets: Sequence[TargetView], own_data_centre: DataCentreId
) -> RegionId | None:
    for view in targets:
        if view.data_centre == own_data_centre:
            return view.region
    return None


def _highest_ranked(
    targets: Sequence[TargetView], key: str, size: int
) -> list[TargetView]:
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda view: rendezvous_rank(key, view.target))
    return ranked[-max(size, 0) :] if size > 0 else []
