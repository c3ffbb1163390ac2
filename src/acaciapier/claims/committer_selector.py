"""Selection of the entries through which a partition's claims are committed."""

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from .interfaces import MembershipView
from .partition import Partitioner

SUSPICION_MS = 2_000.0
MAX_REMOTE_COMMITTERS = 2


class CommitterSelector:
    """Selects the entries to try as committers of a partition, in order.

    An entry that did not answer is skipped for `SUSPICION_MS`.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance. It commits directly instead of trying entries that
        rank below it.
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
        """Return the peers to try, in order, before committing directly."""
        ranking = self._ranking(partition)
        if self._instance in ranking:
            ranking = ranking[: ranking.index(self._instance)]
        return ranking[:MAX_REMOTE_COMMITTERS]

    def owns(self, partition: int) -> bool:
        """Return whether this instance ranks first for a partition."""
        return self._ranking(partition)[:1] == [self._instance]

    def suspect(self, peer: InstanceId) -> None:
        """Skip a peer that did not answer, for `SUSPICION_MS`."""
        now_s = self._clock.monotonic_s()
        self._suspected_until_s[peer] = now_s + to_s(SUSPICION_MS)

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
