"""Admitted requests, and the calls that they have still to send."""

from collections.abc import Sequence

from ..core.ids import Fingerprint, PoolName, WorkspaceId
from .admission import Admission
from .models import Permit, StageEstimate


class PermitBook:
    """The permits that are out.

    Parameters
    ----------
    admission : Admission
        Hears of the calls that are still to come.
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
        """Take one call of a request out of those that are pending."""
        for permit in self._permits.get(fingerprint, ()):
            if permit.pending.get(pool, 0) > 0:
                permit.pending[pool] -= 1
                self._admission.add_pending(pool, -1)
                return

    def take_back(self, permit: Permit) -> bool:
        """Forget a permit; False if it was taken back already."""
        if permit.released:
            return False
        permit.released = True
        for pool, calls in permit.pending.items():
            self._admission.add_pending(pool, -calls)
        held = self._permits[permit.fingerprint]
        held.remove(permit)
        if not held:
            del self._permits[permit.fingerprint]
        return True
