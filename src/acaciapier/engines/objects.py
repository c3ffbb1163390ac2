"""Leases and the load allowance in the platform's object API."""

from dataclasses import dataclass

import msgspec

from ..store import ObjectStore, Purpose
from .allowance import ALLOWANCE_KIND, ALLOWANCE_NAME, AllowanceBody
from .leases import LEASE_KIND, LeaseBody


@dataclass(frozen=True)
class ReadLease:
    """A lease as it was read; version 0 and no body if there is none."""

    version: int
    body: LeaseBody | None


@dataclass(frozen=True)
class ReadAllowance:
    """The allowance as it was read; version 0 and empty if there is none."""

    version: int
    body: AllowanceBody


class ControlObjects:
    """Typed access to the objects that the control of engines keeps.

    All methods raise `acaciapier.exceptions.StoreUnavailable`; the writing ones
    raise `acaciapier.exceptions.VersionConflict`.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    """

    def __init__(self, store: ObjectStore):
        self._store = store

    async def read_lease(self, engine: str) -> ReadLease:
        """Return the lease of `engine`."""
        found = await self._store.get(LEASE_KIND, engine, purpose=Purpose.LEASES)
        if found is None:
            return ReadLease(0, None)
        return ReadLease(found.version, msgspec.convert(found.value, LeaseBody))

    async def write_lease(self, engine: str, body: LeaseBody, if_version: int) -> int:
        """Write the lease of `engine` and return its version."""
        return await self._store.put(
            LEASE_KIND,
            engine,
            msgspec.to_builtins(body),
            if_version,
            purpose=Purpose.LEASES,
        )

    async def read_allowance(self) -> ReadAllowance:
        """Return the permits of all loads."""
        found = await self._store.get(
            ALLOWANCE_KIND, ALLOWANCE_NAME, purpose=Purpose.LEASES
        )
        if found is None:
            return ReadAllowance(0, AllowanceBody())
        return ReadAllowance(found.version, msgspec.convert(found.value, AllowanceBody))

    async def write_allowance(self, body: AllowanceBody, if_version: int) -> int:
        """Write the permits of all loads and return the object's version."""
        return await self._store.put(
            ALLOWANCE_KIND,
            ALLOWANCE_NAME,
            msgspec.to_builtins(body),
            if_version,
            purpose=Purpose.LEASES,
        )
