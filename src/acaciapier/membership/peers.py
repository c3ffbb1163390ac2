"""Choice of the peers that an instance talks to.

Most traffic stays inside the data centre. Each instance also has a few contacts
in other data centres of its region and in other regions. They are ranked by a
hash, so they stay the same for a while and connections are used again; the hash
changes with time, so that the graph over the fleet does too.
"""

from random import Random

from ..core.clock import Clock
from ..core.ids import InstanceId
from ..wire import PeerIdentity
from ..wire.messages.membership import MemberRecord
from .digests import hash_text
from .member_table import MemberTable

NEAR_CONTACTS = 2
FAR_CONTACTS = 2
CONTACT_EPOCH_S = 900.0
REFRESH_GAP_S = 1.0
LOCAL_FAN_OUT = 3
REMOTE_FAN_OUT = 2
REMOTE_PROBE_SHARE = 0.25


class PeerSelector:
    """Chooses peers from the member table.

    Parameters
    ----------
    identity : PeerIdentity
        Who chooses.
    table : MemberTable
        Known instances.
    clock : Clock
        Tells when contacts change.
    random : random.Random
        Source of chance.
    """

    def __init__(
        self, identity: PeerIdentity, table: MemberTable, clock: Clock, random: Random
    ):
        self._identity = identity
        self._table = table
        self._clock = clock
        self._random = random
        self._key = (-1, -1)
        self._local: list[InstanceId] = []
        self._remote: list[InstanceId] = []
        self._round: list[InstanceId] = []
        self._refreshed_s = 0.0
        self._offset_s = random.uniform(0, CONTACT_EPOCH_S)

    @property
    def local(self) -> list[InstanceId]:
        """Running peers in the own data centre."""
        self._refresh()
        return self._local

    @property
    def remote(self) -> list[InstanceId]:
        """Contacts outside the own data centre."""
        self._refresh()
        return self._remote

    def push_targets(self) -> list[InstanceId]:
        """Return the few peers that a rumour is pushed to."""
        chosen = _sample(self._random, self.local, LOCAL_FAN_OUT)
        return chosen + _sample(self._random, self.remote, REMOTE_FAN_OUT)

    def any_peer(self) -> InstanceId | None:
        """Return one peer, mostly from the own data centre."""
        pools = [self.local, self.remote]
        if self._random.random() < REMOTE_PROBE_SHARE:
            pools.reverse()
        pool = pools[0] or pools[1]
        return self._random.choice(pool) if pool else None

    def next_probe(self) -> InstanceId | None:
        """Return whom to probe: in turn, in an order new for each round."""
        remote = self.remote
        use_remote = self._random.random() < REMOTE_PROBE_SHARE or not self.local
        if remote and use_remote:
            return self._random.choice(remote)
        known = set(self.local)
        while self._round:
            peer = self._round.pop()
            if peer in known:
                return peer
        self._round = list(self.local)
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def helpers(self, target: InstanceId, count: int) -> list[InstanceId]:
        """Return peers that may probe `target` in our place."""
        local = [peer for peer in self.local if peer != target]
        chosen = _sample(self._random, local, count)
        remote = [peer for peer in self.remote if peer != target]
        return chosen or _sample(self._random, remote, count)

    def _refresh(self) -> None:
        """Compute the lists again after a change of the table or the epoch.

        While changes come fast this happens once a second, as it costs a pass over
        all instances.
        """
        now_s = self._clock.monotonic_s() + self._offset_s
        epoch = int(now_s // CONTACT_EPOCH_S)
        if self._key == (self._table.revision, epoch):
            return
        has_peers = bool(self._local or self._remote)
        if has_peers and now_s - self._refreshed_s < REFRESH_GAP_S:
            return
        self._refreshed_s = now_s
        self._key = (self._table.revision, epoch)
        others = [
            record
            for record in self._table.present()
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
        self._remote = self._rank(near, epoch, NEAR_CONTACTS)
        self._remote += self._rank(far, epoch, FAR_CONTACTS)

    def _rank(
        self, records: list[MemberRecord], epoch: int, count: int
    ) -> list[InstanceId]:
        prefix = f"{self._identity.instance_id}/{epoch}/"
        ranked = sorted(records, key=lambda r: hash_text(prefix + r.instance_id))
        return [InstanceId(record.instance_id) for record in ranked[:count]]


def _sample(random: Random, pool: list[InstanceId], count: int) -> list[InstanceId]:
    return random.sample(pool, min(count, len(pool)))
