"""Interfaces through which the administration API observes and controls the fleet."""

from typing import Protocol

from ..core.ids import Fingerprint
from .bodies import CostLine, InstanceStatus


class FleetStatus(Protocol):
    """Reports which configuration each instance runs."""

    async def instances(self) -> list[InstanceStatus]:
        """Return the status of each known instance."""


class Drains(Protocol):
    """Takes instances and targets out of service."""

    async def drain(self, kind: str, identity: str) -> bool:
        """Start a drain; return False if there is no such instance or target.

        Parameters
        ----------
        kind : {"instance", "target"}
            Whether `identity` is the id of an instance or of a target.
        """


class Releases(Protocol):
    """Releases fingerprints that were blocked for crashing targets."""

    async def release(self, fingerprint: Fingerprint) -> bool:
        """Release a fingerprint; return False if it is not blocked."""


class Costs(Protocol):
    """Sums up the costs of stages."""

    async def costs(self, workspace: str | None) -> list[CostLine]:
        """Return the costs of one workspace, or of all if it is None."""
