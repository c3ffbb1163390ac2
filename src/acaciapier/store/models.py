"""Objects, listings and watch batches of the object API."""

from enum import Enum
from typing import Any

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """One object of the platform's object API.

    Parameters
    ----------
    kind, name : str
        Identity of the object.
    version : int
        Store-wide revision of its last change.
    value : Any
        The JSON value.
    """

    kind: str
    name: str
    version: int
    value: Any


class Listing(msgspec.Struct, frozen=True):
    """The objects of one kind, and the revision to watch from."""

    revision: int
    items: tuple[StoredObject, ...] = ()


class WatchEventType(Enum):
    """Kind of a change of an object."""

    PUT = "put"
    DELETE = "delete"


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of an object."""

    type: WatchEventType
    object: StoredObject


class WatchBatch(msgspec.Struct, frozen=True):
    """The changes since a revision, and the revision to watch from next."""

    revision: int
    events: tuple[WatchEvent, ...] = ()


class PutBody(msgspec.Struct, frozen=True):
    """Body of a put request."""

    value: Any
    if_version: int | None


class VersionResponse(msgspec.Struct, frozen=True):
    """Response to a put or delete; a conflict's response has this field as well."""

    version: int = 0
