"""Selects the instances that hold the record of a stream."""

from collections.abc import Iterable

from ..core.ids import InstanceId
from ..policy.subset import rendezvous_rank
from .models import AttemptId

COPIES = 2
"""Copies of a record at other instances. They are chosen by the attempt, so that a few
simultaneous crashes lose the records of a few streams only."""


def ranked_holders(
    attempt: AttemptId, instances: Iterable[InstanceId]
) -> list[InstanceId]:
    """Return the instances in the order in which they should hold a record."""
    return sorted(
        instances,
        key=lambda instance: rendezvous_rank(attempt, instance),
        reverse=True,
    )


def new_holders(
    attempt: AttemptId, candidates: list[InstanceId], lost: InstanceId | None
) -> list[InstanceId]:
    """Return the instances that get a copy of an attempt's record.

    Parameters
    ----------
    attempt : AttemptId
        The attempt.
    candidates : list of InstanceId
        Instances that may hold records now.
    lost : InstanceId or None
        The instance that lost its copies; None if all holders get one.
    """
    holders = ranked_holders(attempt, candidates)[:COPIES]
    if lost is None:
        return holders
    if lost in candidates:  # It has started anew.
        return [holder for holder in holders if holder == lost]
    # One more, as an instance that has become a candidate lately ranks among them.
    former = ranked_holders(attempt, [*candidates, lost])[: COPIES + 1]
    return holders if lost in former else []
