"""Table of the fleet's instances, merged from words that come in any order."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..core.clock import Clock
from ..core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from ..wire.messages.membership import MemberRecord, MemberState, MemberStatus
from .digests import BucketDigests

ENTRY_ROLE = "entry"
OFFER_ENDED_S = 7_200.0
KEEP_ENDED_S = 14_400.0
_PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True)
class Member:
    """What is known about one instance, for views and operators."""

    instance: InstanceId
    incarnation: Incarnation
    state: MemberState
    role: str
    data_centre: DataCentreId
    region: RegionId
    configuration_number: int
    digest: int

    @property
    def present(self) -> bool:
        """Whether it counts as running: alive, or only suspected."""
        return self.state in _PRESENT


def precedence(record: MemberRecord) -> tuple:
    """Return the key by which the highest word about an instance wins."""
    return msgspec.structs.astuple(record)[1:]


class MemberTable:
    """Newest word about every instance.

    `merge` keeps the highest word by incarnation, then refutation, then state,
    so the order and the number of times that words arrive do not matter.

    Parameters
    ----------
    clock : Clock
        Dates changes, to forget instances that ended long ago.
    """

    def __init__(self, clock: Clock):
        self.revision = 0
        self._clock = clock
        self._records: dict[InstanceId, MemberRecord] = {}
        self._changed_s: dict[InstanceId, float] = {}
        self._statuses: dict[InstanceId, MemberStatus] = {}
        self._offered: set[InstanceId] = set()
        self._digests = BucketDigests()
        self._views: dict[str, tuple[int, tuple]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, instance_id: InstanceId) -> MemberRecord | None:
        """Return the newest word about an instance."""
        return self._records.get(instance_id)

    def records(self) -> Iterable[MemberRecord]:
        """Return all words, in no order."""
        return self._records.values()

    def merge(self, record: MemberRecord) -> bool:
        """Take `record` if it is newer; tell whether it changed the table."""
        instance_id = InstanceId(record.instance_id)
        present = self._records.get(instance_id)
        if present is not None and precedence(present) >= precedence(record):
            return False
        if instance_id in self._offered:
            self._digests.toggle(present.data_centre, present)
        self._records[instance_id] = record
        self._changed_s[instance_id] = self._clock.monotonic_s()
        self._offered.add(instance_id)
        self._digests.toggle(record.data_centre, record)
        self.revision += 1
        return True

    def merge_status(self, status: MemberStatus) -> bool:
        """Take `status` if it is newer; tell whether it is."""
        present = self._statuses.get(status.instance_id)
        if present is not None and _status_order(present) >= _status_order(status):
            return False
        self._statuses[status.instance_id] = status
        return True

    def members(self) -> tuple[Member, ...]:
        """Return every known instance, ordered by id."""
        return tuple(self._member(key) for key in sorted(self._records))

    def present(self) -> tuple[MemberRecord, ...]:
        """Return the words about running instances, ordered by id."""
        return self._view("present", self._find_present)

    def live_entries(self) -> tuple[InstanceId, ...]:
        """Return the ids of running entry instances, ordered."""
        return self._view("live_entries", self._find_live_entries)

    def addresses(self) -> dict[InstanceId, tuple[str, int]]:
        """Return where the instances listen, those thought dead included."""
        return {
            InstanceId(record.instance_id): (record.host, record.port)
            for record in self._records.values()
            if record.state is not MemberState.LEFT
        }

    def digests(self) -> dict[str, int]:
        """Return a digest of the offered words for each data centre."""
        return self._digests.as_dict()

    def offered(self, data_centres: Iterable[str]) -> tuple[MemberRecord, ...]:
        """Return the words about instances of some data centres, for peers."""
        wanted = set(data_centres)
        return tuple(
            self._records[key]
            for key in self._offered
            if self._records[key].data_centre in wanted
        )

    def expire(self) -> None:
        """Stop to offer, later forget, instances that ended long ago."""
        now_s = self._clock.monotonic_s()
        for instance_id, record in list(self._records.items()):
            if record.state in _PRESENT:
                continue
            age_s = now_s - self._changed_s[instance_id]
            if age_s > OFFER_ENDED_S and instance_id in self._offered:
                self._offered.discard(instance_id)
                self._digests.toggle(record.data_centre, record)
            if age_s > KEEP_ENDED_S:
                del self._records[instance_id], self._changed_s[instance_id]
                self.revision += 1
        for instance_id in self._statuses.keys() - self._records.keys():
            del self._statuses[instance_id]

    def _find_present(self) -> tuple[MemberRecord, ...]:
        found = [r for r in self._records.values() if r.state in _PRESENT]
        return tuple(sorted(found, key=lambda record: record.instance_id))

    def _find_live_entries(self) -> tuple[InstanceId, ...]:
        return tuple(
            InstanceId(record.instance_id)
            for record in self.present()
            if record.role == ENTRY_ROLE
        )

    def _view(self, name: str, compute) -> tuple:
        """Return a view, computed again only after a change."""
        revision, view = self._views.get(name, (-1, ()))
        if revision != self.revision:
            view = compute()
            self._views[name] = (self.revision, view)
        return view

    def _member(self, instance_id: InstanceId) -> Member:
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
