"""The decisions on a request's path, behind one object."""

from collections.abc import Collection, Iterable, Sequence
from random import Random

from result import Err, Ok, Result

from ..core.clock import Clock
from ..core.ids import (
    DataCentreId,
    Fingerprint,
    Incarnation,
    PoolName,
    StageName,
    TargetId,
    WorkspaceId,
)
from ..core.outcomes import Cause, Outcome
from .admission import Admission, is_overloaded
from .deadlines import critical_path_ms, stage_share_ms
from .extra_calls import ExtraCalls
from .fairness import FairShares
from .forecast import Forecast
from .models import (
    CallReport,
    HeardLoad,
    Load,
    Permit,
    PoolLimits,
    Refused,
    StageEstimate,
    Strike,
    TargetView,
    WorkspaceLimits,
)
from .permits import PermitBook
from .placement import Placement, PlacementRequest
from .quarantine import Quarantine
from .routing import PoolRouter
from .settings import PolicySettings

OVER_SHARE_FACTOR = 0.75
MIN_RETRY_AFTER_MS = 100
RETRY_JITTER = 0.5


class PathPolicy:
    """Admits requests, chooses targets and limits what is sent again.

    It does no input or output; its calls return at once. One instance of the
    system has one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of chance.
    settings : PolicySettings
        Settings and baselines.
    own_data_centre : DataCentreId
        Where this instance runs.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        settings: PolicySettings,
        own_data_centre: DataCentreId,
    ):
        self._clock = clock
        self._random = random
        self._settings = settings
        self._own_data_centre = own_data_centre
        self._instances = max(settings.instances, 1)
        self._routers: dict[PoolName, PoolRouter] = {}
        self._extra: dict[PoolName, ExtraCalls] = {}
        self._pool_of: dict[TargetId, PoolName] = {}
        self._shares = FairShares(clock, settings.instances)
        self._admission = Admission(clock)
        self._forecast = Forecast(self._routers, self._admission)
        self._quarantine = Quarantine(clock, random, settings)
        self._placement = Placement(self._quarantine, settings.quarantine)
        self._permits = PermitBook(self._admission)

    def update_pool(
        self, pool: PoolName, limits: PoolLimits, targets: Sequence[TargetView]
    ) -> None:
        """Take over a pool's limits and its live targets."""
        router = self._routers.get(pool)
        if router is None:
            router = PoolRouter(
                pool, self._clock, self._random, self._settings, self._own_data_centre
            )
            router.instances = self._instances
            self._routers[pool] = router
            self._extra[pool] = ExtraCalls(router, limits, self._settings)
        router.update(limits, targets)
        self._extra[pool].configure(limits)
        gone = [
            name
            for name, owner in self._pool_of.items()
            if owner == pool and router.state(name) is None
        ]
        for name in gone:
            del self._pool_of[name]
        self._pool_of.update((one.target, pool) for one in targets)

    def update_workspace(self, workspace: WorkspaceId, limits: WorkspaceLimits) -> None:
        """Take over a workspace's limits."""
        self._shares.update(workspace, limits)

    def update_instances(self, instances: int) -> None:
        """Set the number of live entry instances that share the limits."""
        self._instances = max(instances, 1)
        self._shares.update_instances(self._instances)
        for router in self._routers.values():
            router.instances = self._instances

    def admit(
        self,
        workspace: WorkspaceId,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
        fingerprint: Fingerprint,
    ) -> Result[Permit, Refused]:
        """Return the right to run a request, or why it cannot run now."""
        blocked = self.blocked(fingerprint)
        if blocked is not None:
            return Err(blocked)
        wait_ms = self._shares.rate_wait_ms(workspace)
        if wait_ms > 0:
            message = f"workspace {workspace} is over its rate"
            return Err(self._refused(Cause.RATE_LIMIT, wait_ms, message))
        excess_ms = self._excess_ms(workspace, estimates, remaining_ms)
        if excess_ms > 0:
            message = "the pipeline cannot finish within the deadline now"
            return Err(self._refused(Cause.OVERLOAD, excess_ms, message))
        self._shares.admitted(workspace)
        return Ok(self._permits.issue(workspace, estimates, fingerprint))

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Give a permit back; a second time has no effect."""
        if not self._permits.take_back(permit):
            return
        if outcome is Outcome.DONE:
            self._admission.was_in_time()
        elif any(is_overloaded(self._routers.get(one)) for one in permit.pending):
            self._admission.was_late()

    def pick(
        self,
        pool: PoolName,
        *,
        exclude: frozenset[TargetId],
        affinity_key: str | None,
        suspect: bool,
        fingerprint: Fingerprint | None = None,
    ) -> Result[TargetView, Refused]:
        """Return the target for a call, or why there is none.

        Parameters
        ----------
        pool : PoolName
            Pool of the stage.
        exclude : frozenset of TargetId
            Targets that may not be chosen, such as those of earlier attempts.
        affinity_key : str or None
            Hash of a prompt prefix that a target may have in its cache.
        suspect : bool
            Whether `suspected` holds for the request.
        fingerprint : Fingerprint, optional
            Content of the request; keeps its copies on few targets.

        Returns
        -------
        Result of TargetView or Refused
            For a suspect, a refusal may only mean that it has to wait for
            `retry_after_ms`.
        """
        router = self._routers.get(pool)
        if router is None:
            message = f"pool {pool} is not known"
            return Err(Refused(Cause.NO_TARGET, MIN_RETRY_AFTER_MS, message))
        return self._placement.pick(
            router,
            PlacementRequest(exclude, affinity_key, suspect, fingerprint),
            probes=self._extra[pool].can_probe(),
        )

    def sent(self, target: TargetId, fingerprint: Fingerprint) -> None:
        """Note that a call is being sent to `target`."""
        pool = self._pool_of.get(target)
        if pool is None:
            return
        self._routers[pool].sent(target, fingerprint)
        self._extra[pool].sent()
        self._quarantine.sent(fingerprint, pool, target)
        self._permits.sent(pool, fingerprint)

    def first_part(
        self, target: TargetId, fingerprint: Fingerprint, elapsed_ms: float
    ) -> None:
        """Note that the first part of a streamed answer arrived after `elapsed_ms`."""
        pool = self._pool_of.get(target)
        if pool is not None:
            self._routers[pool].first_part(target, fingerprint, elapsed_ms)

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Take over how a call ended."""
        router = self._routers.get(report.pool)
        if router is not None:
            router.ended(report, fingerprint)
        if self._settings.quarantine:
            self._quarantine.ended(report, fingerprint)

    def load_reported(
        self, target: TargetId, incarnation: Incarnation, load: Load
    ) -> None:
        """Take over a load that was read from a target, or heard by a peer."""
        pool = self._pool_of.get(target)
        if pool is not None:
            self._routers[pool].load_reported(target, incarnation, load)

    def take_heard_loads(self) -> tuple[HeardLoad, ...]:
        """Return the loads heard here since the last call, to be sent to peers.

        A peer takes them over with `load_reported`, with the time on the way
        added to their age.
        """
        routers = self._routers.values()
        return tuple(load for one in routers for load in one.take_heard_loads())

    def stage_budget_ms(
        self,
        estimates: Sequence[StageEstimate],
        stage: StageName,
        remaining_ms: float,
    ) -> float:
        """Return how long `stage` may take so that the later ones can still end."""
        return stage_share_ms(
            estimates,
            stage,
            remaining_ms,
            self._forecast.expected_ms,
            self._forecast.ample_ms,
        )

    def can_finish(
        self,
        estimates: Sequence[StageEstimate],
        stages_left: Collection[StageName],
        remaining_ms: float,
    ) -> bool:
        """Return whether the stages left can end in time if all goes well."""
        if remaining_ms <= 0:
            return False
        if not self._settings.admission:
            return True
        needed_ms = critical_path_ms(estimates, stages_left, self._forecast.quick_ms)
        if needed_ms <= remaining_ms:
            return True
        self._admission.was_late()
        return False

    def may_retry(self, pool: PoolName, typical_ms: float, remaining_ms: float) -> bool:
        """Return whether a retry may be sent, and take it out of the budget."""
        extra = self._extra.get(pool)
        return extra is not None and extra.may_retry(typical_ms, remaining_ms)

    def hedge_after_ms(self, pool: PoolName, remaining_ms: float) -> float | None:
        """Return after which time a call should be hedged, or None for never."""
        extra = self._extra.get(pool)
        return extra.hedge_after_ms(remaining_ms) if extra else None

    def may_hedge(self, pool: PoolName) -> bool:
        """Return whether a hedge may be sent, and take it out of the budget."""
        extra = self._extra.get(pool)
        return extra is not None and extra.may_hedge()

    def blocked(self, fingerprint: Fingerprint) -> Refused | None:
        """Return why a request's content may not run, or None."""
        return self._quarantine.blocked(fingerprint)

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request's content was in flight at a crash."""
        return self._quarantine.suspected(fingerprint)

    def strikes(self) -> tuple[Strike, ...]:
        """Return all records of the quarantine, for an instance that lacks some."""
        return self._quarantine.records()

    def take_new_strikes(self) -> tuple[Strike, ...]:
        """Return the records made here since the last call, to be sent to peers."""
        return self._quarantine.take_new_records()

    def merge_strikes(self, strikes: Iterable[Strike]) -> None:
        """Take over records of other instances, in any order and repeatedly."""
        self._quarantine.merge(strikes)

    def release_fingerprint(self, fingerprint: Fingerprint) -> None:
        """Clear a request's content on an operator's order."""
        self._quarantine.release(fingerprint)

    def _excess_ms(
        self,
        workspace: WorkspaceId,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
    ) -> float:
        """Return by how much a request would come too late, 0 or less if in time."""
        if remaining_ms <= 0:
            return MIN_RETRY_AFTER_MS
        if not self._settings.admission:
            return 0.0
        over_share = self._shares.is_over_share(workspace)
        queue_share = OVER_SHARE_FACTOR if over_share else 1.0
        return self._forecast.excess_ms(estimates, remaining_ms, queue_share)

    def _refused(self, cause: Cause, wait_ms: float, message: str) -> Refused:
        spread = 1.0 + RETRY_JITTER * self._random.random()
        after_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * spread
        return Refused(cause, int(after_ms), message)
