"""Accepted configuration changes, in the form that is stored and sent to peers."""

from typing import Any

import msgspec


class Edit(msgspec.Struct, frozen=True):
    """The part of a change that modifies one declared object.

    Parameters
    ----------
    kind, name : str
        Identity of the object.
    base_version : int
        Version before the edit; 0 if the object did not exist.
    new_version : int
        Version after the edit. Versions of one name only increase, even if the object
        is deleted and created again.
    value : dict or None
        JSON value after the edit; None if the object was deleted.
    previous_number : int
        Number of the change that created `base_version`; 0 if there is none.
    """

    kind: str
    name: str
    base_version: int
    new_version: int
    value: dict[str, Any] | None
    previous_number: int = 0


class Change(msgspec.Struct, frozen=True):
    """A set of edits that was accepted atomically.

    Parameters
    ----------
    number : int
        Position in the total order of all changes, from 1 without gaps.
    patch_id : str
        Id that the operator's client chose for the change; resends repeat it.
    author : str
        Name of the operator who made the change.
    made_at_ms : int
        Time of acceptance, in milliseconds since the Unix epoch.
    fingerprint : str
        Hash of the requested edits; distinguishes a resend from another request that
        reuses the patch id.
    edits : tuple of Edit
        The edits, at most one for each object.
    """

    number: int
    patch_id: str
    author: str
    made_at_ms: int
    fingerprint: str
    edits: tuple[Edit, ...]

    @property
    def encoded_bytes(self) -> int:
        """Size of the change in JSON, in bytes."""
        return len(msgspec.json.encode(self))


class ObjectRecord(msgspec.Struct, frozen=True):
    """A declared object as stored in a snapshot.

    Parameters
    ----------
    version : int
        Version of the object.
    number : int
        Number of the change that created this version.
    value : dict
        JSON value of the object.
    """

    version: int
    number: int
    value: dict[str, Any]


class DeletedRecord(msgspec.Struct, frozen=True):
    """The last version of a deleted object; keeps its versions from being reused."""

    kind: str
    name: str
    version: int
    number: int
