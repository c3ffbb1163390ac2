"""State, accepted patches and place in the store, kept together and in step."""

from ..objects import Change, ObjectRecord, parse_stored, stored_value
from .decisions import PatchIndex, PatchRecord
from .limits import LogLimits, encoded_bytes
from .records import SnapshotPart, to_value
from .state import EMPTY_STATE, ConfigurationState, VersionedObject
from .transitions import apply_change


class Ledger:
    """All that follows from the changes up to a number.

    Parameters
    ----------
    limits : LogLimits
        How many patches are remembered.
    """

    def __init__(self, limits: LogLimits):
        self._limits = limits
        self.state: ConfigurationState = EMPTY_STATE
        self.patches = PatchIndex((), limits.kept_patches)

    @property
    def number(self) -> int:
        """Number of the last change."""
        return self.state.number

    def apply(self, change: Change) -> None:
        """Take in the next change; changes that are held already are skipped."""
        if change.number <= self.number:
            return
        self.state = apply_change(self.state, change)
        self.patches.add_change(change)

    def load(self, parts: list[SnapshotPart]) -> None:
        """Start again from a snapshot that is newer than what is held."""
        if parts[0].number <= self.number:
            return
        self.state = state_of_parts(parts)
        records = (record for part in parts for record in part.patches)
        self.patches = PatchIndex(records, self._limits.kept_patches)

    def to_parts(self, block_starts: tuple[int, ...]) -> list[SnapshotPart]:
        """Return the parts of a snapshot of what is held."""
        return split_snapshot(
            self.state, tuple(self.patches), block_starts, self._limits.part_bytes
        )


def state_of_parts(parts: list[SnapshotPart]) -> ConfigurationState:
    """Return the state that a snapshot's parts hold together."""
    objects = [
        VersionedObject(record.version, parse_stored(record.value), record.number)
        for part in parts
        for record in part.objects
    ]
    deleted = [record for part in parts for record in part.deleted]
    floor = parts[0].version_floor
    return ConfigurationState(parts[0].number, objects, deleted, version_floor=floor)


def split_snapshot(
    state: ConfigurationState,
    patches: tuple[PatchRecord, ...] = (),
    block_starts: tuple[int, ...] = (),
    part_bytes: int = LogLimits.part_bytes,
) -> list[SnapshotPart]:
    """Split a state into parts of bounded size.

    Parameters
    ----------
    state : ConfigurationState
        What to write.
    patches : tuple of PatchRecord
        Accepted patches to recognise again.
    block_starts : tuple of int
        First numbers of the history blocks.
    part_bytes : int
        Largest size of a part, but for one record that is larger by itself.
    """
    objects = [
        ("objects", ObjectRecord(one.version, one.number, stored_value(one.declared)))
        for one in state
    ]
    deleted = [("deleted", record) for record in state.deleted.values()]
    known = [("patches", record) for record in patches]
    groups = _group_by_size([*objects, *deleted, *known], part_bytes)
    return [
        _part_of(state, group, block_starts if index == 0 else ())
        for index, group in enumerate(groups)
    ]


def _group_by_size(records: list, part_bytes: int) -> list[list]:
    groups: list[list] = [[]]
    filled_bytes = 0
    for field, record in records:
        size_bytes = encoded_bytes(to_value(record)) + 1
        if groups[-1] and filled_bytes + size_bytes > part_bytes:
            groups.append([])
            filled_bytes = 0
        groups[-1].append((field, record))
        filled_bytes += size_bytes
    return groups


def _part_of(state: ConfigurationState, group: list, block_starts) -> SnapshotPart:
    fields: dict[str, list] = {"objects": [], "deleted": [], "patches": []}
    for field, record in group:
        fields[field].append(record)
    return SnapshotPart(
        state.number,
        state.version_floor,
        tuple(fields["objects"]),
        tuple(fields["deleted"]),
        tuple(fields["patches"]),
        block_starts,
    )
