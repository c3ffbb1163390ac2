"""Conditional updates whose lost answers are read back and recognised."""

from collections.abc import Callable
from typing import Any

from ..exceptions import StoreError, StoreUnavailable, VersionConflict
from .budget import Purpose
from .client import ObjectStore
from .models import StoredObject


async def put_recognised(
    store: ObjectStore,
    kind: str,
    name: str,
    value: Any,
    if_version: int | None,
    is_ours: Callable[[StoredObject], bool],
    *,
    purpose: Purpose,
) -> int:
    """Write an object; after a lost answer, read it back.

    Parameters
    ----------
    is_ours : callable
        Whether an object holds this update, by a batch id or nonce in its value.

    Returns
    -------
    int
        The version written; if others wrote since, the version they wrote.

    Raises
    ------
    VersionConflict
        If another version is present that does not hold the update.
    StoreUnavailable
        If the update did not land so far; `may_have_landed` tells whether it may
        still do so.
    """
    try:
        return await store.put(kind, name, value, if_version, purpose=purpose)
    except VersionConflict as conflict:
        return await _read_back(store, kind, name, is_ours, conflict, purpose)
    except StoreUnavailable as lost:
        if not lost.may_have_landed:
            raise
        return await _read_back(store, kind, name, is_ours, lost, purpose)


async def _read_back(
    store: ObjectStore,
    kind: str,
    name: str,
    is_ours: Callable[[StoredObject], bool],
    failure: StoreError,
    purpose: Purpose,
) -> int:
    """Return the version present if it holds the update; else raise `failure`.

    If nothing can be read, an earlier sending of the update may have landed, even
    where this one met a conflict.
    """
    try:
        present = await store.get(kind, name, purpose=purpose)
    except StoreUnavailable as out:
        raise StoreUnavailable(
            f"{kind}/{name} cannot be read back", True, out.retry_after_ms
        ) from failure
    if present is not None and is_ours(present):
        return present.version
    raise failure
