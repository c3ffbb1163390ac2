"""State at the end of the log: the configuration and the accepted patches."""

from ..objects import Change, ObjectRecord, parse_stored, stored_value
from .decisions import PatchIndex, PatchRecord
from .limits import LogLimits, encoded_size_bytes
from .records import SnapshotPart, to_value
from .state import EMPTY_STATE, ConfigurationState, VersionedObject
from .transitions import apply_change


class LogState:
    """Configuration and recent patches that result from the changes up to a number.

    Parameters
    ----------
    limits : LogLimits
        Sets how many patches are recorded and how large snapshot parts are.
    """

    def __init__(self, limits: LogLimits):
        self._limits = limits
        self.state: ConfigurationState = EMPTY_STATE
        self.patches = PatchIndex((), limits.kept_patches)

    @property
    def number(self) -> int:
        """Number of the last applied change."""
        return self.state.number

    def apply(self, change: Change) -> None:
        """Apply the next change; ignore one that was applied before."""
        if change.number <= self.number:
            return
        self.state = apply_change(self.state, change)
        self.patches.add_change(change)

    def load(self, parts: list[SnapshotPart]) -> None:
        """Replace the state by a snapshot, if the snapshot is newer."""
        if parts[0].number <= self.number:
            return
        self.state = state_from_parts(parts)
        records = (record for part in parts for record in part.patches)
        self.patches = PatchIndex(records, self._limits.kept_patches)

    def to_parts(self, block_starts: tuple[int, ...]) -> list[SnapshotPart]:
        """Return a snapshot of this state, split into parts."""
        return split_snapshot(
            self.state, tuple(self.patches), block_starts, self._limits.part_bytes
        )


def state_from_parts(parts: list[SnapshotPart]) -> ConfigurationState:
    """Return the state that the parts of a snapshot hold."""
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
        State to split.
    patches : tuple of PatchRecord
        Accepted patches whose resends are recognised.
    block_starts : tuple of int
        Number of the first change of each history block.
    part_bytes : int
        Maximum size of a part; a single record that is larger makes a part of its
        own.
    """
    objects = [
        (
            "objects",
            ObjectRecord(
                versioned.version, versioned.number, stored_value(versioned.declared)
            ),
        )
        for versioned in state
    ]
    deleted = [("deleted", record) for record in state.deleted.values()]
    patch_records = [("patches", record) for record in patches]
    groups = _group_by_size([*objects, *deleted, *patch_records], part_bytes)
    return [
        _make_part(state, group, block_starts if index == 0 else ())
        for index, group in enumerate(groups)
    ]


def _group_by_size(records: list, part_bytes: int) -> list[list]:
    groups: list[list] = [[]]
    filled_bytes = 0
    for field, record in records:
        size_bytes = encoded_size_bytes(to_value(record)) + 1
        if groups[-1] and filled_bytes + size_bytes > part_bytes:
            groups.append([])
            filled_bytes = 0
        groups[-1].append((field, record))
        filled_bytes += size_bytes
    return groups


def _make_part(state: ConfigurationState, group: list, block_starts) -> SnapshotPart:
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
