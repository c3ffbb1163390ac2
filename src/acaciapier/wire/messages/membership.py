"""Messages of membership: probes, records of members and targets, and gossip."""

from enum import IntEnum

import msgspec

from .base import Message


class MemberState(IntEnum):
    """State of one incarnation of an instance; a higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(IntEnum):
    """State of one incarnation of a target; a higher value takes precedence."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State and address of one instance.

    `refutation` is a counter that only the instance itself increases, to refute a
    suspicion.
    """

    instance_id: str
    incarnation: int
    refutation: int
    state: MemberState
    role: str
    data_centre: str
    region: str
    host: str
    port: int


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status that an instance publishes periodically; the highest number wins.

    `configuration_number` is the number of the configuration that the instance
    applies. The meaning of `digest` is up to the component that sets it.
    """

    instance_id: str
    incarnation: int
    number: int
    configuration_number: int = 0
    digest: int = 0


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """State and address of one target."""

    target_id: str
    incarnation: int
    state: TargetState
    pool: str
    kind: str
    data_centre: str
    region: str
    url: str


class Probe(Message, frozen=True):
    """Checks whether the peer is alive.

    `suspected_refutation` is the refutation at which the sender considers the
    receiver suspect or dead, or -1. `list_age_ms` is the age of the newest reading
    of the instance list that the sender knows of.
    """

    statuses: tuple[MemberStatus, ...] = ()
    list_age_ms: int = 0
    suspected_refutation: int = -1


class ProbeAnswer(Message, frozen=True):
    """Answer to a probe, with the current incarnation and refutation."""

    incarnation: int
    refutation: int
    statuses: tuple[MemberStatus, ...] = ()
    list_age_ms: int = 0
    suspected_refutation: int = -1


class IndirectProbe(Message, frozen=True):
    """Requests that the peer probe another instance."""

    instance_id: str
    timeout_ms: float


class IndirectProbeAnswer(Message, frozen=True):
    """Answer to `IndirectProbe`: whether the other instance answered the probe."""

    reached: bool


class MemberUpdates(Message, frozen=True):
    """Gossip message with new records of instances."""

    records: tuple[MemberRecord, ...]


class TargetUpdates(Message, frozen=True):
    """Gossip message with new records of targets."""

    records: tuple[TargetRecord, ...]


class GossipBatch(Message, frozen=True, tag="RumourBatch"):
    """Gossip messages pushed to a peer, each of them encoded."""

    messages: tuple[bytes, ...]


class GossipCheck(Message, frozen=True, tag="RumourCheck"):
    """Compares recent gossip: `checksum` is the XOR of the advertised hashes."""

    checksum: int


class GossipHashes(Message, frozen=True, tag="RumourHashes"):
    """Answer to a check: the advertised hashes, or none if the checksums are equal."""

    hashes: tuple[int, ...] = ()
    is_equal: bool = False


class GossipRequest(Message, frozen=True, tag="RumourRequest"):
    """Requests gossip messages by their hashes; answered by a `GossipBatch`."""

    wanted: tuple[int, ...]


class SyncRequest(Message, frozen=True):
    """Compares tables by digests of members by data centre and of targets by bucket.

    `suspected_refutation` is described in `Probe`.
    """

    members: dict[str, int]
    targets: tuple[int, ...]
    suspected_refutation: int = -1


class SyncAnswer(Message, frozen=True):
    """Records of the parts that differ, and the parts requested in return."""

    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
    wanted_data_centres: tuple[str, ...]
    wanted_buckets: tuple[int, ...]
    suspected_refutation: int = -1


class SyncRecords(Message, frozen=True):
    """Records of the parts that a `SyncAnswer` requested."""

    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
