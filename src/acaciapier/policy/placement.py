"""Choice of a target, subject to the quarantine."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..core.ids import Fingerprint, TargetId
from ..core.outcomes import Cause
from .models import Refused, TargetView
from .quarantine import Quarantine
from .routing import PoolRouter
from .target_state import TargetState

SUSPECT_RETRY_MS = 100


@dataclass(frozen=True)
class PlacementRequest:
    """Parameters of the choice of a target; see `PathPolicy.pick`."""

    exclude: frozenset[TargetId]
    affinity_key: str | None
    suspect: bool
    fingerprint: Fingerprint | None


class Placement:
    """Isolates suspects from each other, and other requests from suspects.

    Parameters
    ----------
    quarantine : Quarantine
        Decides which requests are suspects.
    enabled : bool
        Whether the quarantine applies.
    """

    def __init__(self, quarantine: Quarantine, enabled: bool):
        self._quarantine = quarantine
        self._enabled = enabled

    def pick(
        self, router: PoolRouter, request: PlacementRequest, *, probes: bool
    ) -> Result[TargetView, Refused]:
        """Return the target for a call; `probes` allows a probe of an ejected one."""
        if not self._enabled:
            return router.pick(request.exclude, request.affinity_key, _allow_any_target)
        if request.suspect:
            return self._pick_for_suspect(router, request)
        allowed = None
        if request.fingerprint is not None:
            allowed = self._quarantine.allowed_targets(request.fingerprint, router.pool)
        return router.pick(
            request.exclude,
            request.affinity_key,
            lambda state: allowed is None or state.view.target in allowed,
            avoid=self._runs_suspect,
            probes=probes,
        )

    def _pick_for_suspect(
        self, router: PoolRouter, request: PlacementRequest
    ) -> Result[TargetView, Refused]:
        """Choose a target that runs no other suspect, in the trial order."""
        fingerprint = request.fingerprint
        if fingerprint is None:
            picked = router.pick(
                request.exclude,
                request.affinity_key,
                lambda state: not self._runs_suspect(state),
                probes=False,
            )
            return picked.map_err(lambda _: _wait_refusal(SUSPECT_RETRY_MS))
        settle_wait_ms = self._quarantine.settle_wait_ms(fingerprint)
        if settle_wait_ms > 0:
            return Err(_wait_refusal(settle_wait_ms))
        usable_targets = set(router.usable_targets(request.exclude))
        allowed = self._quarantine.allowed_targets(fingerprint, router.pool)
        if allowed is not None:
            usable_targets &= allowed
        pool_targets = [state.view.target for state in router.states]
        for target in self._quarantine.trial_order(fingerprint, pool_targets):
            state = router.state(target)
            if target in usable_targets and not self._runs_suspect(
                state, excluding=fingerprint
            ):
                return Ok(state.view)
        return Err(_wait_refusal(SUSPECT_RETRY_MS))

    def _runs_suspect(
        self, state: TargetState, excluding: Fingerprint | None = None
    ) -> bool:
        return self._quarantine.includes_suspect(state.fingerprints, excluding)


def _wait_refusal(retry_after_ms: int) -> Refused:
    message = "the request has to run alone"
    return Refused(Cause.TARGET_CRASHED, retry_after_ms, message)


def _allow_any_target(state: TargetState) -> bool:
    return True
