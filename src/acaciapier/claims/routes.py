"""Which entries to commit a partition's claims through."""

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from .partition import Partitioner
from .peers import MembershipView

SUSPECT_MS = 2_000.0
MAX_COMMITTERS = 2


class OwnerRoutes:
    """Order in which entries are tried as committers of a partition.

    An entry that did not answer is passed over for `SUSPECT_MS`.

    Parameters
    ----------
    instance : InstanceId
        This process, which commits directly where its turn comes.
    partitioner : Partitioner
        Ranks the entries.
    membership : MembershipView
        The live entries.
    clock : Clock
        Source of the monotonic time.
    """

    def __init__(
        self,
        instance: InstanceId,
        partitioner: Partitioner,
        membership: MembershipView,
        clock: Clock,
    ):
        self._instance = instance
        self._partitioner = partitioner
        self._membership = membership
        self._clock = clock
        self._suspected_until_s: dict[InstanceId, float] = {}

    def committers_of(self, partition: int) -> list[InstanceId]:
        """Return the peers to try before committing directly."""
        ranking = self._ranking(partition)
        if self._instance in ranking:
            ranking = ranking[: ranking.index(self._instance)]
        return ranking[:MAX_COMMITTERS]

    def owns(self, partition: int) -> bool:
        """Tell whether this instance is first in rank."""
        return self._ranking(partition)[:1] == [self._instance]

    def suspect(self, peer: InstanceId) -> None:
        """Pass over a peer that did not answer."""
        now_s = self._clock.monotonic_s()
        self._suspected_until_s[peer] = now_s + to_s(SUSPECT_MS)

    def _ranking(self, partition: int) -> list[InstanceId]:
        now_s = self._clock.monotonic_s()
        self._suspected_until_s = {
            peer: until_s
            for peer, until_s in self._suspected_until_s.items()
            if until_s > now_s
        }
        live = self._membership.live_entries()
        candidates = [peer for peer in live if peer not in self._suspected_until_s]
        return self._partitioner.ranking(partition, candidates)
