"""Ranking of the instances that may dispatch a service."""

from collections.abc import Iterable

from ...core.ids import InstanceId
from ...policy.subset import rendezvous_rank
from ..models import PeerRecord

MIN_CAPACITY_SHARE = 0.5
"""Share of the largest capacity in the fleet. Instances below it become dispatchers
only if there is no other, since the calls of one stage service saturate a slow link."""


def rank_dispatchers(
    key: str, members: Iterable[tuple[bool, PeerRecord]]
) -> list[InstanceId]:
    """Rank instances by hash, with low-capacity and recently started ones last.

    Parameters
    ----------
    key : str
        The service, or another purpose.
    members : iterable of tuple
        Whether an instance has run for long, and its record.
    """
    ranked = list(members)
    max_capacity = max((record.capacity for _, record in ranked), default=0.0)
    ranked.sort(
        key=lambda member: (
            member[0],
            member[1].capacity >= MIN_CAPACITY_SHARE * max_capacity,
            rendezvous_rank(key, member[1].instance),
        ),
        reverse=True,
    )
    return [record.instance for _, record in ranked]
