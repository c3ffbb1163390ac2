"""Reads and writes leases and the load allowance in the object API."""

from dataclasses import dataclass

import msgspec

from ..store import ObjectStore, Purpose
from .allowance import ALLOWANCE_KIND, ALLOWANCE_NAME, AllowanceBody
from .leases import LEASE_KIND, LeaseBody


@dataclass(frozen=True)
class VersionedLease:
    """A lease with its version; version 0 and no body if it does not exist."""

    version: int
    body: LeaseBody | None


@dataclass(frozen=True)
class VersionedAllowance:
    """The allowance with its version; version 0 and empty if it does not exist."""

    version: int
    body: AllowanceBody


class ControlObjects:
    """Typed access to the stored objects of engine control.

    All methods may raise `acaciapier.exceptions.StoreUnavailable`, and the writing
    ones also `acaciapier.exceptions.VersionConflict`.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    """

    def __init__(self, store: ObjectStore):
        self._store = store

    async def read_lease(self, engine: str) -> VersionedLease:
        """Return the lease of `engine`."""
        found = await self._store.get(LEASE_KIND, engine, purpose=Purpose.LEASES)
        if found is None:
            return VersionedLease(0, None)
        return VersionedLease(found.version, msgspec.convert(found.value, LeaseBody))

    async def write_lease(self, engine: str, body: LeaseBody, if_version: int) -> int:
        """Write the lease of `engine` and return its new version."""
        return await self._store.put(
            LEASE_KIND,
            engine,
            msgspec.to_builtins(body),
            if_version,
            purpose=Purpose.LEASES,
        )

    async def read_allowance(self) -> VersionedAllowance:
        """Return the permits of all loads."""
        found = await self._store.get(
            ALLOWANCE_KIND, ALLOWANCE_NAME, purpose=Purpose.LEASES
        )
        if found is None:
            return VersionedAllowance(0, AllowanceBody())
        return VersionedAllowance(
            found.version, msgspec.convert(found.value, AllowanceBody)
        )

    async def write_allowance(self, body: AllowanceBody, if_version: int) -> int:
        """Write the permits of all loads and return the object's new version."""
        return await self._store.put(
            ALLOWANCE_KIND,
            ALLOWANCE_NAME,
            msgspec.to_builtins(body),
            if_version,
            purpose=Purpose.LEASES,
        )
