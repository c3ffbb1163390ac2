"""Messages of membership: probes, records of members and targets, rumours."""

from enum import IntEnum

import msgspec

from .base import Message


class MemberState(IntEnum):
    """State of one incarnation of an instance, in the order of precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(IntEnum):
    """State of one incarnation of a target, in the order of precedence."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Word about one instance.

    `refutation` is raised by the instance itself, to contradict a suspicion.
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
    """What an instance says of itself from time to time; the highest number counts.

    `configuration_number` is the configuration that it has in force; `digest` is
    free for a component's use.
    """

    instance_id: str
    incarnation: int
    number: int
    configuration_number: int = 0
    digest: int = 0


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """Word about one target."""

    target_id: str
    incarnation: int
    state: TargetState
    pool: str
    kind: str
    data_centre: str
    region: str
    url: str


class Probe(Message, frozen=True):
    """Asks whether the peer is there.

    `doubted` is the refutation number at which the sender thinks the receiver
    suspect or dead, or -1. `list_age_ms` tells how old the sender's news from the
    instance list is.
    """

    statuses: tuple[MemberStatus, ...] = ()
    list_age_ms: int = 0
    doubted: int = -1


class ProbeAnswer(Message, frozen=True):
    """Answer to a probe, with the present word of the probed instance."""

    incarnation: int
    refutation: int
    statuses: tuple[MemberStatus, ...] = ()
    list_age_ms: int = 0
    doubted: int = -1


class IndirectProbe(Message, frozen=True):
    """Asks the peer to probe another instance."""

    instance_id: str
    timeout_ms: float


class IndirectProbeAnswer(Message, frozen=True):
    """Whether the other instance answered."""

    reached: bool


class MemberUpdates(Message, frozen=True):
    """Rumour: new words about instances."""

    records: tuple[MemberRecord, ...]


class TargetUpdates(Message, frozen=True):
    """Rumour: new words about targets."""

    records: tuple[TargetRecord, ...]


class RumourBatch(Message, frozen=True):
    """Rumours pushed to a peer, each an encoded message."""

    rumours: tuple[bytes, ...]


class RumourCheck(Message, frozen=True):
    """Compares recent rumours: `checksum` is the exclusive or of their hashes."""

    checksum: int


class RumourHashes(Message, frozen=True):
    """Answer to a check: hashes of the recent rumours, none if they are equal."""

    hashes: tuple[int, ...] = ()
    is_equal: bool = False


class RumourRequest(Message, frozen=True):
    """Asks for rumours by their hashes; the answer is a `RumourBatch`."""

    wanted: tuple[int, ...]


class SyncRequest(Message, frozen=True):
    """Compares tables: digests of members by data centre, of targets by bucket.

    `doubted` is as in `Probe`.
    """

    members: dict[str, int]
    targets: tuple[int, ...]
    doubted: int = -1


class SyncAnswer(Message, frozen=True):
    """Records of the parts that differ, and the parts wanted in return."""

    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
    wanted_data_centres: tuple[str, ...]
    wanted_buckets: tuple[int, ...]
    doubted: int = -1


class SyncRecords(Message, frozen=True):
    """Records sent in return for a `SyncAnswer`."""

    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
