"""Decides which workers a request may use at all, whatever their load."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import Enum

from .evacuations import Evacuations
from .models import Worker, WorkerId, WorkerState


class Ineligibility(Enum):
    """Why a worker must not get a request, however long the request waits."""

    DRAINING = "draining"
    OTHER_REGION = "other_region"
    OTHER_VERSION = "other_version"
    EVACUATED = "evacuated"


class Unavailability(Enum):
    """Why a worker gets no request at this moment; it may get one later."""

    UNHEALTHY = "unhealthy"
    NO_FREE_SLOT = "no_free_slot"
    NO_MEMORY = "no_memory"
    BLOCKED = "blocked"
    """The worker asked the instance to send nothing for a time."""
    UNREACHABLE = "unreachable"
    COLD = "cold"
    LIMITED = "limited"
    BRITTLE = "brittle"
    SLOW = "slow"
    """It gets requests only if no faster worker is available."""


class WorkerEligibility:
    """Says which workers a request may use, with the reason for each other worker.

    It answers requests that must not reach a worker even if all others are overloaded:
    those to data centres that operators empty, outside the regions that a route or
    workspace allows, or at another software version than that of a begun stream.

    Parameters
    ----------
    evacuations : Evacuations, optional
        The evacuated data centres.
    regions : mapping of str to str, optional
        Region of each data centre. One that is missing is in no region.
    """

    def __init__(
        self,
        evacuations: Evacuations | None = None,
        regions: Mapping[str, str] | None = None,
    ):
        self._evacuations = evacuations
        self._regions = regions or {}

    def reason(
        self,
        worker: Worker,
        software_version: str | None = None,
        allowed_regions: Collection[str] = (),
    ) -> Ineligibility | None:
        """Return why a worker must not get a request; None if it may get it.

        A worker counts as evacuated only if the request could use it otherwise.

        Parameters
        ----------
        worker : Worker
            The worker as it is listed now.
        software_version : str or None
            Version to which the request is bound, if any.
        allowed_regions : collection of str
            Regions that the request may enter; empty for any.
        """
        if worker.state is not WorkerState.READY:
            return Ineligibility.DRAINING
        if not self.is_allowed(worker.data_centre, allowed_regions):
            return Ineligibility.OTHER_REGION
        if software_version not in (None, worker.software_version):
            return Ineligibility.OTHER_VERSION
        if self.is_evacuated(worker):
            return Ineligibility.EVACUATED
        return None

    def is_evacuated(self, worker: Worker) -> bool:
        """Return whether nothing new at all may reach a worker."""
        evacuations = self._evacuations
        return (
            evacuations is not None and worker.data_centre in evacuations.data_centres
        )

    def is_open(self, worker: Worker) -> bool:
        """Return whether a worker may be connected to at all."""
        return not self.is_evacuated(worker)

    def is_allowed(self, data_centre: str, allowed_regions: Collection[str]) -> bool:
        """Return whether a data centre is in one of the allowed regions."""
        return not allowed_regions or self._regions.get(data_centre) in allowed_regions

    def select(
        self,
        workers: Sequence[Worker],
        software_version: str | None = None,
        allowed_regions: Collection[str] = (),
    ) -> Sequence[Worker]:
        """Return the workers that a request may use."""
        return [
            worker
            for worker in workers
            if self.reason(worker, software_version, allowed_regions) is None
        ]

    def explain(
        self,
        workers: Iterable[Worker],
        software_version: str | None = None,
        allowed_regions: Collection[str] = (),
    ) -> dict[WorkerId, Ineligibility]:
        """Return the workers that a request must not use, with the reasons."""
        reasons = {
            WorkerId(worker.id): self.reason(worker, software_version, allowed_regions)
            for worker in workers
        }
        return {key: reason for key, reason in reasons.items() if reason is not None}
