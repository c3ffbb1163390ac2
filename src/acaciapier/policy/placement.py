"""Choice of a target under the rules of the quarantine."""

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
    """For what a target is wanted; the fields are those of `PathPolicy.pick`."""

    exclude: frozenset[TargetId]
    affinity_key: str | None
    suspect: bool
    fingerprint: Fingerprint | None


class Placement:
    """Keeps suspects alone, and other requests off their targets.

    Parameters
    ----------
    quarantine : Quarantine
        Who is a suspect.
    enabled : bool
        Whether the rules of the quarantine apply.
    """

    def __init__(self, quarantine: Quarantine, enabled: bool):
        self._quarantine = quarantine
        self._enabled = enabled

    def pick(
        self, router: PoolRouter, request: PlacementRequest, *, probes: bool
    ) -> Result[TargetView, Refused]:
        """Return the target for a call; `probes` allows one that was set aside."""
        if not self._enabled:
            return router.pick(request.exclude, request.affinity_key, _any_target)
        if request.suspect:
            return self._pick_for_suspect(router, request)
        only = None
        if request.fingerprint is not None:
            only = self._quarantine.only_targets(request.fingerprint, router.pool)
        return router.pick(
            request.exclude,
            request.affinity_key,
            lambda one: only is None or one.view.target in only,
            avoid=self._runs_suspect,
            probes=probes,
        )

    def _pick_for_suspect(
        self, router: PoolRouter, request: PlacementRequest
    ) -> Result[TargetView, Refused]:
        """Choose a target that runs no other suspect, in the order of the trial."""
        fingerprint = request.fingerprint
        if fingerprint is None:
            picked = router.pick(
                request.exclude,
                request.affinity_key,
                lambda one: not self._runs_suspect(one),
                probes=False,
            )
            return picked.map_err(lambda _: _waiting(SUSPECT_RETRY_MS))
        settling_ms = self._quarantine.settling_ms(fingerprint)
        if settling_ms > 0:
            return Err(_waiting(settling_ms))
        usable = set(router.usable(request.exclude))
        only = self._quarantine.only_targets(fingerprint, router.pool)
        if only is not None:
            usable &= only
        names = [state.view.target for state in router.states]
        for name in self._quarantine.trial_order(fingerprint, names):
            state = router.state(name)
            if name in usable and not self._runs_suspect(state, besides=fingerprint):
                return Ok(state.view)
        return Err(_waiting(SUSPECT_RETRY_MS))

    def _runs_suspect(
        self, state: TargetState, besides: Fingerprint | None = None
    ) -> bool:
        return self._quarantine.is_suspect_on(state.fingerprints, besides)


def _waiting(retry_after_ms: int) -> Refused:
    message = "the request has to run alone"
    return Refused(Cause.TARGET_CRASHED, retry_after_ms, message)


def _any_target(state: TargetState) -> bool:
    return True
