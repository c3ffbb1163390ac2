"""Table of the fleet's instances; records may be merged in any order."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..core.clock import Clock
from ..core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from ..wire.messages.membership import MemberRecord, MemberState, MemberStatus
from .digests import BucketDigests

ENTRY_ROLE = "entry"
TOMBSTONE_SYNC_S = 7_200.0
TOMBSTONE_RETENTION_S = 14_400.0
_RUNNING_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True)
class Member:
    """Last known state of an instance."""

    instance: InstanceId
    incarnation: Incarnation
    state: MemberState
    role: str
    data_centre: DataCentreId
    region: RegionId
    configuration_number: int
    digest: int

    @property
    def is_running(self) -> bool:
        """Whether the instance counts as running: alive, or suspected but not dead."""
        return self.state in _RUNNING_STATES


def precedence(record: MemberRecord) -> tuple:
    """Return the sort key of `record`; the record with the highest key wins."""
    return msgspec.structs.astuple(record)[1:]


class MemberTable:
    """The newest record of every instance.

    `merge` keeps the record that is highest by incarnation, then refutation, then
    state. It is commutative and idempotent, so records may arrive in any order and
    repeatedly. Records of dead and left instances are kept as tombstones for a while.

    Parameters
    ----------
    clock : Clock
        Source of time, for the expiry of tombstones.
    """

    def __init__(self, clock: Clock):
        self.revision = 0
        self._clock = clock
        self._records: dict[InstanceId, MemberRecord] = {}
        self._changed_s: dict[InstanceId, float] = {}
        self._statuses: dict[InstanceId, MemberStatus] = {}
        self._synced: set[InstanceId] = set()
        self._digests = BucketDigests()
        self._views: dict[str, tuple[int, tuple]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, instance_id: InstanceId) -> MemberRecord | None:
        """Return the newest record of an instance."""
        return self._records.get(instance_id)

    def records(self) -> Iterable[MemberRecord]:
        """Return all records, in no particular order."""
        return self._records.values()

    def merge(self, record: MemberRecord) -> bool:
        """Store `record` if it is newer; return whether it changed the table."""
        instance_id = InstanceId(record.instance_id)
        current = self._records.get(instance_id)
        if current is not None and precedence(current) >= precedence(record):
            return False
        if instance_id in self._synced:
            self._digests.toggle(current.data_centre, current)
        self._records[instance_id] = record
        self._changed_s[instance_id] = self._clock.monotonic_s()
        self._synced.add(instance_id)
        self._digests.toggle(record.data_centre, record)
        self.revision += 1
        return True

    def merge_status(self, status: MemberStatus) -> bool:
        """Store `status` if it is newer; return whether it was stored."""
        current = self._statuses.get(status.instance_id)
        if current is not None and _status_order(current) >= _status_order(status):
            return False
        self._statuses[status.instance_id] = status
        return True

    def members(self) -> tuple[Member, ...]:
        """Return all known instances, ordered by id."""
        return tuple(self._make_member(key) for key in sorted(self._records))

    def running(self) -> tuple[MemberRecord, ...]:
        """Return the records of running instances, ordered by id."""
        return self._view("running", self._find_running)

    def live_entries(self) -> tuple[InstanceId, ...]:
        """Return the sorted ids of running entry instances."""
        return self._view("live_entries", self._find_live_entries)

    def addresses(self) -> dict[InstanceId, tuple[str, int]]:
        """Return the addresses of all instances that have not left, dead ones too."""
        return {
            InstanceId(record.instance_id): (record.host, record.port)
            for record in self._records.values()
            if record.state is not MemberState.LEFT
        }

    def digests(self) -> dict[str, int]:
        """Return a digest for each data centre of its records to synchronize."""
        return self._digests.as_dict()

    def records_to_sync(self, data_centres: Iterable[str]) -> tuple[MemberRecord, ...]:
        """Return the records of some data centres that are synchronized with peers."""
        wanted = set(data_centres)
        return tuple(
            self._records[key]
            for key in self._synced
            if self._records[key].data_centre in wanted
        )

    def expire(self) -> None:
        """Expire tombstones: first stop synchronizing them, later remove them."""
        now_s = self._clock.monotonic_s()
        for instance_id, record in list(self._records.items()):
            if record.state in _RUNNING_STATES:
                continue
            age_s = now_s - self._changed_s[instance_id]
            if age_s > TOMBSTONE_SYNC_S and instance_id in self._synced:
                self._synced.discard(instance_id)
                self._digests.toggle(record.data_centre, record)
            if age_s > TOMBSTONE_RETENTION_S:
                del self._records[instance_id], self._changed_s[instance_id]
                self.revision += 1
        for instance_id in self._statuses.keys() - self._records.keys():
            del self._statuses[instance_id]

    def _find_running(self) -> tuple[MemberRecord, ...]:
        found = [r for r in self._records.values() if r.state in _RUNNING_STATES]
        return tuple(sorted(found, key=lambda record: record.instance_id))

    def _find_live_entries(self) -> tuple[InstanceId, ...]:
        return tuple(
            InstanceId(record.instance_id)
            for record in self.running()
            if record.role == ENTRY_ROLE
        )

    def _view(self, name: str, compute) -> tuple:
        """Return a cached view; it is recomputed after a change of the table."""
        revision, view = self._views.get(name, (-1, ()))
        if revision != self.revision:
            view = compute()
            self._views[name] = (self.revision, view)
        return view

    def _make_member(self, instance_id: InstanceId) -> Member:
        record = self._records[instance_id]
        status = self._statuses.get(instance_id)
        if status is None or status.incarnation != record.incarnation:
            status = MemberStatus(instance_id, record.incarnation, 0)
        return Member(
            instance_id,
            Incarnation(record.incarnation),
            record.state,
            record.role,
            DataCentreId(record.data_centre),
            RegionId(record.region),
            status.configuration_number,
            status.digest,
        )


def _status_order(status: MemberStatus) -> tuple[int, int]:
    return (status.incarnation, status.number)
