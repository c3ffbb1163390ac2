"""Selects the instances that watch the head, by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from ..core.ids import InstanceId, RegionId
from .interfaces import Member

WATCHERS_PER_REGION = 2


def rank_in_region(
    members: Iterable[Member], instance: InstanceId, region: RegionId
) -> int:
    """Return the rank of an instance in its region; 0 is the first watcher.

    Instances compute ranks without coordination. If their membership views
    differ, a few more or fewer instances watch for a while, which is harmless.
    """
    own = _weight(region, instance)
    weights = {
        _weight(region, member.instance)
        for member in members
        if member.region == region
    }
    return sum(weight > own for weight in weights)


def region_watchers(members: Iterable[Member], region: RegionId) -> list[InstanceId]:
    """Return the instances of a region that watch the head, in order of rank."""
    instances = {member.instance for member in members if member.region == region}
    ordered = sorted(
        instances, key=lambda instance_id: _weight(region, instance_id), reverse=True
    )
    return ordered[:WATCHERS_PER_REGION]


def _weight(region: RegionId, instance: InstanceId) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{region}/{instance}".encode()), instance
