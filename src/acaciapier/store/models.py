"""Objects, listings and watch batches as the object API answers them."""

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
    """What happened to an object."""

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


class VersionAnswer(msgspec.Struct, frozen=True):
    """Answer to a put or delete, and part of the answer to a conflict."""

    version: int = 0
