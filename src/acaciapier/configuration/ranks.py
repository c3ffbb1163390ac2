"""Which instances watch the head: ranks by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from ..core.ids import InstanceId, RegionId
from .interfaces import Member

WATCHERS_PER_REGION = 2


def rank_in_region(
    members: Iterable[Member], instance: InstanceId, region: RegionId
) -> int:
    """Return the place of an instance in its region's order.

    The order needs no agreement: if views differ, a few more or fewer instances
    watch for a while, and none of them can do harm.
    """
    own = _weight(region, instance)
    weights = {_weight(region, one.instance) for one in members if one.region == region}
    return sum(weight > own for weight in weights)


def watchers_of(members: Iterable[Member], region: RegionId) -> list[InstanceId]:
    """Return the instances of a region that watch, the first rank first."""
    names = {one.instance for one in members if one.region == region}
    ordered = sorted(names, key=lambda name: _weight(region, name), reverse=True)
    return ordered[:WATCHERS_PER_REGION]


def _weight(region: RegionId, instance: InstanceId) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{region}/{instance}".encode()), instance
