"""Permits of admitted requests, and the calls that these have not sent yet."""

from collections.abc import Sequence

from ..core.ids import Fingerprint, PoolName, WorkspaceId
from .admission import Admission
from .models import Permit, StageEstimate


class PermitTable:
    """The permits that are issued and not yet released.

    Parameters
    ----------
    admission : Admission
        Gets the changes of the number of pending calls.
    """

    def __init__(self, admission: Admission):
        self._admission = admission
        self._permits: dict[Fingerprint, list[Permit]] = {}

    def issue(
        self,
        workspace: WorkspaceId,
        estimates: Sequence[StageEstimate],
        fingerprint: Fingerprint,
    ) -> Permit:
        """Return a permit, with one pending call for each stage."""
        permit = Permit(workspace, fingerprint)
        for estimate in estimates:
            pool = estimate.pool
            permit.pending[pool] = permit.pending.get(pool, 0) + 1
            self._admission.add_pending(pool, 1)
        self._permits.setdefault(fingerprint, []).append(permit)
        return permit

    def sent(self, pool: PoolName, fingerprint: Fingerprint) -> None:
        """Remove one pending call of a request that has now been sent."""
        for permit in self._permits.get(fingerprint, ()):
            if permit.pending.get(pool, 0) > 0:
                permit.pending[pool] -= 1
                self._admission.add_pending(pool, -1)
                return

    def release(self, permit: Permit) -> bool:
        """Release a permit and its pending calls; False if already released."""
        if permit.released:
            return False
        permit.released = True
        for pool, calls in permit.pending.items():
            self._admission.add_pending(pool, -calls)
        same_fingerprint = self._permits[permit.fingerprint]
        same_fingerprint.remove(permit)
        if not same_fingerprint:
            del self._permits[permit.fingerprint]
        return True
