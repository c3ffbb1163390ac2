"""Accepted changes of the configuration, as stored and as sent to peers."""

from typing import Any

import msgspec


class Edit(msgspec.Struct, frozen=True):
    """The part of a change that concerns one declared object.

    Parameters
    ----------
    kind, name : str
        Identity of the object.
    base_version : int
        Version before; 0 if the object did not exist.
    new_version : int
        Version after; versions of one name only rise, also over a deletion.
    value : dict or None
        JSON value after; None if the object was deleted.
    previous_number : int
        Number of the change that made the version before; 0 if there is none.
    """

    kind: str
    name: str
    base_version: int
    new_version: int
    value: dict[str, Any] | None
    previous_number: int = 0


class Change(msgspec.Struct, frozen=True):
    """A set of edits that was accepted as a whole.

    Parameters
    ----------
    number : int
        Place in the one order of all changes, from 1 without gaps.
    patch_id : str
        The operator's name for the change; a resend carries the same.
    author : str
        Who made it.
    made_at_ms : int
        When it was accepted, in milliseconds since the Unix epoch.
    fingerprint : str
        Hash of what was asked for, to tell a resend from a reused patch id.
    edits : tuple of Edit
        What changed; no object twice.
    """

    number: int
    patch_id: str
    author: str
    made_at_ms: int
    fingerprint: str
    edits: tuple[Edit, ...]

    @property
    def encoded_bytes(self) -> int:
        """Size of the change in JSON."""
        return len(msgspec.json.encode(self))


class ObjectRecord(msgspec.Struct, frozen=True):
    """A declared object in a snapshot.

    Parameters
    ----------
    version : int
        The object's own version.
    number : int
        Number of the change that made this version.
    value : dict
        JSON value of the object.
    """

    version: int
    number: int
    value: dict[str, Any]


class DeletedRecord(msgspec.Struct, frozen=True):
    """The last version of a deleted object, so that no version is used twice."""

    kind: str
    name: str
    version: int
    number: int
