"""Selection of the peers that an instance communicates with.

Most traffic stays within the data centre. Each instance also has a few contacts in
other data centres of its region and in other regions. They are chosen by a hash that
includes the current epoch: within an epoch the contacts stay the same, so that
connections are reused, and the communication graph changes with each epoch.
"""

from random import Random

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..wire import PeerIdentity
from ..wire.messages.membership import MemberRecord
from .digests import hash_text
from .member_table import MemberTable

SAME_REGION_CONTACTS = 2
OTHER_REGION_CONTACTS = 2
CONTACT_EPOCH_S = 900.0
MIN_REFRESH_INTERVAL_S = 1.0
LOCAL_FANOUT = 3
REMOTE_FANOUT = 2
REMOTE_PEER_SHARE = 0.25


class PeerSelector:
    """Chooses peers from the member table.

    Parameters
    ----------
    identity : PeerIdentity
        Identity of this instance.
    table : MemberTable
        The known instances.
    clock : Clock
        Source of time, for epochs and refreshes.
    random : random.Random
        Source of randomness.
    """

    def __init__(
        self, identity: PeerIdentity, table: MemberTable, clock: Clock, random: Random
    ):
        self._identity = identity
        self._table = table
        self._clock = clock
        self._random = random
        self._refresh_key = (-1, -1)
        self._local: list[InstanceId] = []
        self._remote: list[InstanceId] = []
        self._probe_order: list[InstanceId] = []
        self._refreshed_s = 0.0
        self._offset_s = random.uniform(0, CONTACT_EPOCH_S)

    @property
    def local(self) -> list[InstanceId]:
        """Running peers in the same data centre."""
        self._refresh()
        return self._local

    @property
    def remote(self) -> list[InstanceId]:
        """Contacts in other data centres."""
        self._refresh()
        return self._remote

    def pick_gossip_peers(self) -> list[InstanceId]:
        """Return a few random peers to push gossip to."""
        chosen = _sample(self._random, self.local, LOCAL_FANOUT)
        return chosen + _sample(self._random, self.remote, REMOTE_FANOUT)

    def pick_random_peer(self) -> InstanceId | None:
        """Return a random peer, mostly from the same data centre."""
        pools = [self.local, self.remote]
        if self._random.random() < REMOTE_PEER_SHARE:
            pools.reverse()
        pool = pools[0] or pools[1]
        return self._random.choice(pool) if pool else None

    def pick_probe_peer(self) -> InstanceId | None:
        """Return the next peer to probe.

        Local peers are probed round-robin, in an order that is shuffled for each
        round; some of the probes go to a random remote contact instead.
        """
        remote = self.remote
        use_remote = self._random.random() < REMOTE_PEER_SHARE or not self.local
        if remote and use_remote:
            return self._random.choice(remote)
        known = set(self.local)
        while self._probe_order:
            peer = self._probe_order.pop()
            if peer in known:
                return peer
        self._probe_order = list(self.local)
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def pick_probe_helpers(self, probed: InstanceId, count: int) -> list[InstanceId]:
        """Return up to `count` peers that can probe `probed` for this instance."""
        local = [peer for peer in self.local if peer != probed]
        chosen = _sample(self._random, local, count)
        remote = [peer for peer in self.remote if peer != probed]
        return chosen or _sample(self._random, remote, count)

    def _refresh(self) -> None:
        """Recompute the lists after a change of the table or the epoch.

        This is limited to once a second, since it iterates over all instances.
        """
        now_s = self._clock.monotonic_s() + self._offset_s
        epoch = int(now_s // CONTACT_EPOCH_S)
        if self._refresh_key == (self._table.revision, epoch):
            return
        has_peers = bool(self._local or self._remote)
        if has_peers and now_s - self._refreshed_s < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self._refresh_key = (self._table.revision, epoch)
        others = [
            record
            for record in self._table.running()
            if record.instance_id != self._identity.instance_id
        ]
        self._local = [
            InstanceId(record.instance_id)
            for record in others
            if record.data_centre == self._identity.data_centre
        ]
        remote = [r for r in others if r.data_centre != self._identity.data_centre]
        near = [r for r in remote if r.region == self._identity.region]
        far = [r for r in remote if r.region != self._identity.region]
        self._remote = self._rank(near, epoch, SAME_REGION_CONTACTS)
        self._remote += self._rank(far, epoch, OTHER_REGION_CONTACTS)

    def _rank(
        self, records: list[MemberRecord], epoch: int, count: int
    ) -> list[InstanceId]:
        prefix = f"{self._identity.instance_id}/{epoch}/"
        ranked = sorted(records, key=lambda r: hash_text(prefix + r.instance_id))
        return [InstanceId(record.instance_id) for record in ranked[:count]]


def _sample(random: Random, pool: list[InstanceId], count: int) -> list[InstanceId]:
    return random.sample(pool, min(count, len(pool)))
