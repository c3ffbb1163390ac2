"""Applies accepted changes to a state."""

from collections.abc import Mapping

from ..objects import Change, DeletedRecord, Edit, parse_stored
from .state import ConfigurationState, ObjectKey, VersionedObject

MAX_DELETED_RECORDS = 10_000


def apply_change(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Return the state that results from applying `change`.

    Raises
    ------
    ValueError
        If the number of `change` does not directly follow the state's number.
    """
    if change.number != state.number + 1:
        raise ValueError(f"change {change.number} does not follow {state.number}")
    objects = dict(state.objects)
    deleted = dict(state.deleted)
    for edit in change.edits:
        _apply_edit(edit, change.number, objects, deleted)
    floor = _evict_deletions(deleted, state.version_floor)
    return ConfigurationState(
        change.number, objects.values(), deleted.values(), version_floor=floor
    )


def _apply_edit(
    edit: Edit,
    number: int,
    objects: dict[ObjectKey, VersionedObject],
    deleted: dict[ObjectKey, DeletedRecord],
) -> None:
    key = ObjectKey(edit.kind, edit.name)
    if edit.value is None:
        objects.pop(key, None)
        deleted[key] = DeletedRecord(edit.kind, edit.name, edit.new_version, number)
        return
    deleted.pop(key, None)
    declared = parse_stored(edit.value)
    objects[key] = VersionedObject(edit.new_version, declared, number)


def _evict_deletions(deleted: dict[ObjectKey, DeletedRecord], floor: int) -> int:
    """Remove the oldest records of deletions over the limit.

    Returns the new version floor: the first version of a name without a record is
    above it, so no version of an evicted name is used twice.
    """
    while len(deleted) > MAX_DELETED_RECORDS:
        oldest = min(deleted, key=lambda key: deleted[key].number)
        floor = max(floor, deleted.pop(oldest).version)
    return floor


def current_versions(
    state: ConfigurationState, keys: list[ObjectKey]
) -> Mapping[ObjectKey, int]:
    """Return the current version of each key; 0 for objects that do not exist."""
    current = {key: state.get(key.kind, key.name) for key in keys}
    return {
        key: versioned.version if versioned else 0 for key, versioned in current.items()
    }
