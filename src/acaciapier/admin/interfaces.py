"""What the administration API needs from the rest of the fleet."""

from typing import Protocol

from ..core.ids import Fingerprint
from .bodies import CostLine, InstanceStatus


class FleetStatus(Protocol):
    """Tells what every instance runs."""

    async def instances(self) -> list[InstanceStatus]:
        """Return the status of each instance that is known."""


class Drains(Protocol):
    """Takes instances and targets out of service."""

    async def drain(self, kind: str, identity: str) -> bool:
        """Start a drain; return False if there is nothing of that name.

        Parameters
        ----------
        kind : {"instance", "target"}
            What `identity` names.
        """


class Releases(Protocol):
    """Releases fingerprints that were blocked for crashing targets."""

    async def release(self, fingerprint: Fingerprint) -> bool:
        """Release a fingerprint; return False if it is not blocked."""


class Costs(Protocol):
    """Sums up what stages cost."""

    async def costs(self, workspace: str | None) -> list[CostLine]:
        """Return the costs of one workspace, or of all."""
