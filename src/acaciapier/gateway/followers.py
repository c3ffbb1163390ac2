"""Selection of the instances that follow the store in a large fleet.

Calls to the store are charged and rate-limited for the whole fleet, so only a few
followers watch it. The other instances poll it rarely and get updates from peers, which
heartbeats announce at little cost.
"""

from collections.abc import Callable

from ..core.ids import InstanceId
from .peers import Peers

RANK_KEY = "store"
"""Key by which instances are ranked to select the followers."""

FOLLOWER_COUNT = 4
"""Followers in a large fleet. If the store rejects calls from a third of the machines,
two or more followers still reach it in nine of ten cases."""

MIN_SOURCES = 2
"""Followers that must report that they reach the store before an instance relies on
them. With only one, an outage at this follower goes unnoticed until its watch ends."""


class StoreFollowers:
    """Decides whether this instance is a follower of the store.

    Parameters
    ----------
    peers : Peers
        The other instances and the state that they report in heartbeats.
    """

    def __init__(self, peers: Peers):
        self._peers = peers

    @property
    def large_fleet(self) -> bool:
        """Whether the fleet is too large for all instances to follow the store."""
        return self._peers.large_fleet

    def chosen(self) -> list[InstanceId]:
        """Return the followers of a large fleet, which the ranking selects."""
        return self._peers.rank(RANK_KEY, True)[:FOLLOWER_COUNT]

    @property
    def relies_on_others(self) -> bool:
        """Whether the followers of a large fleet follow the store for this instance."""
        return self.large_fleet and self._peers.own not in self.chosen()

    def should_follow(self) -> bool:
        """Return whether this instance must follow the store itself.

        That is the case in a small fleet, if it is selected, or if too few of the
        selected followers report that they reach the store.
        """
        if not self.large_fleet:
            return True
        return self._lacks_sources(self._peers.follows_store)

    def should_follow_evacuations(self) -> bool:
        """Return whether this instance must watch the evacuations itself.

        Followers alone do so in a small fleet, too: each watch is charged, and
        heartbeats hand a change on at once.
        """
        return self._lacks_sources(self._peers.follows_evacuations)

    def _lacks_sources(self, is_source: Callable[[InstanceId], bool]) -> bool:
        """Return whether it is selected, or too few selected ones are sources."""
        chosen = self.chosen()
        if self._peers.own in chosen:
            return True
        return sum(map(is_source, chosen)) < MIN_SOURCES
