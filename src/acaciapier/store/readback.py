"""Conditional writes whose outcome is verified by a read if it is unknown."""

from collections.abc import Callable
from typing import Any

from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from .budget import Purpose
from .client import ObjectStore
from .models import StoredObject


async def put_with_readback(
    store: ObjectStore,
    kind: str,
    name: str,
    value: Any,
    if_version: int | None,
    contains_update: Callable[[StoredObject], bool],
    *,
    purpose: Purpose,
) -> int:
    """Write an object; after a lost answer or a conflict, read it back.

    Parameters
    ----------
    contains_update : callable
        Whether an object contains this update, by a batch id or nonce in it.

    Returns
    -------
    int
        The version written; if others wrote since, the version they wrote.

    Raises
    ------
    VersionConflict
        If another version is present that does not contain the update.
    StoreUnavailable
        If the update is not known to be written; `may_have_landed` tells whether it
        may have been or still may be.
    """
    try:
        return await store.put(kind, name, value, if_version, purpose=purpose)
    except VersionConflict as conflict:
        return await _read_back(store, kind, name, contains_update, conflict, purpose)
    except StoreUnavailable as unavailable:
        if not unavailable.may_have_landed:
            raise
        return await _read_back(
            store, kind, name, contains_update, unavailable, purpose
        )


async def _read_back(
    store: ObjectStore,
    kind: str,
    name: str,
    contains_update: Callable[[StoredObject], bool],
    failure: StoreError,
    purpose: Purpose,
) -> int:
    """Return the version present if it contains the update; else raise `failure`.

    If the read fails, the update may have been written, even after a conflict: an
    earlier attempt may have caused it.
    """
    try:
        present = await store.get(kind, name, purpose=purpose)
    except StoreUnavailable as read_error:
        raise StoreUnavailable(
            f"{kind}/{name} cannot be read back", True, read_error.retry_after_ms
        ) from failure
    if present is not None and contains_update(present):
        return present.version
    raise failure
