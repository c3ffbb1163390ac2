"""Facade of the policy: one object for all decisions on the request path."""

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
    CrashRecord,
    Load,
    Permit,
    PoolLimits,
    Refused,
    ReportedLoad,
    StageEstimate,
    TargetView,
    WorkspaceLimits,
)
from .permits import PermitTable
from .placement import Placement, PlacementRequest
from .quarantine import Quarantine
from .routing import PoolRouter
from .settings import PolicySettings

OVER_SHARE_QUEUE_FACTOR = 0.75
MIN_RETRY_AFTER_MS = 100
RETRY_AFTER_JITTER = 0.5


class PathPolicy:
    """Admits requests, chooses targets, and limits retries and hedges.

    It does no I/O and never blocks. Each instance has its own `PathPolicy`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of randomness.
    settings : PolicySettings
        Settings, including those of the baselines.
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
        self._extra_calls: dict[PoolName, ExtraCalls] = {}
        self._pool_of: dict[TargetId, PoolName] = {}
        self._fair_shares = FairShares(clock, settings.instances)
        self._admission = Admission(clock)
        self._forecast = Forecast(self._routers, self._admission)
        self._quarantine = Quarantine(clock, random, settings)
        self._placement = Placement(self._quarantine, settings.quarantine)
        self._permits = PermitTable(self._admission)

    def update_pool(
        self, pool: PoolName, limits: PoolLimits, targets: Sequence[TargetView]
    ) -> None:
        """Set the limits and the live targets of a pool."""
        router = self._routers.get(pool)
        if router is None:
            router = PoolRouter(
                pool, self._clock, self._random, self._settings, self._own_data_centre
            )
            router.instances = self._instances
            self._routers[pool] = router
            self._extra_calls[pool] = ExtraCalls(router, limits, self._settings)
        router.update(limits, targets)
        self._extra_calls[pool].configure(limits)
        removed = [
            name
            for name, owning_pool in self._pool_of.items()
            if owning_pool == pool and router.state(name) is None
        ]
        for name in removed:
            del self._pool_of[name]
        self._pool_of.update((view.target, pool) for view in targets)

    def update_workspace(self, workspace: WorkspaceId, limits: WorkspaceLimits) -> None:
        """Set the limits of a workspace."""
        self._fair_shares.update(workspace, limits)

    def update_instances(self, instances: int) -> None:
        """Set the number of live entry instances that share the limits."""
        self._instances = max(instances, 1)
        self._fair_shares.update_instances(self._instances)
        for router in self._routers.values():
            router.instances = self._instances

    def admit(
        self,
        workspace: WorkspaceId,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
        fingerprint: Fingerprint,
    ) -> Result[Permit, Refused]:
        """Return a permit to run a request, or why it is refused now."""
        blocked = self.blocked(fingerprint)
        if blocked is not None:
            return Err(blocked)
        wait_ms = self._fair_shares.rate_wait_ms(workspace)
        if wait_ms > 0:
            message = f"workspace {workspace} is over its rate"
            return Err(self._refusal(Cause.RATE_LIMIT, wait_ms, message))
        excess_ms = self._excess_ms(workspace, estimates, remaining_ms)
        if excess_ms > 0:
            message = "the pipeline cannot finish within the deadline now"
            return Err(self._refusal(Cause.OVERLOAD, excess_ms, message))
        self._fair_shares.record_admitted(workspace)
        return Ok(self._permits.issue(workspace, estimates, fingerprint))

    def release(self, permit: Permit, outcome: Outcome) -> None:
        """Release a permit; releasing it again has no effect."""
        if not self._permits.release(permit):
            return
        if outcome is Outcome.DONE:
            self._admission.record_on_time()
        elif any(is_overloaded(self._routers.get(pool)) for pool in permit.pending):
            self._admission.record_late()

    def pick(
        self,
        pool: PoolName,
        *,
        exclude: frozenset[TargetId],
        affinity_key: str | None,
        suspect: bool,
        fingerprint: Fingerprint | None = None,
    ) -> Result[TargetView, Refused]:
        """Return the target for a call, or why none is available.

        Parameters
        ----------
        pool : PoolName
            Pool of the stage.
        exclude : frozenset of TargetId
            Targets not to choose, such as those of earlier attempts.
        affinity_key : str or None
            Hash of a prompt prefix that a target may have cached.
        suspect : bool
            Whether the request is a suspect, as returned by `suspected`.
        fingerprint : Fingerprint, optional
            Hash of the request; limits concurrent copies to few targets.

        Returns
        -------
        Result of TargetView or Refused
            For a suspect, a refusal may only mean that it has to wait for
            `retry_after_ms` before it can run in isolation.
        """
        router = self._routers.get(pool)
        if router is None:
            message = f"pool {pool} is not known"
            return Err(Refused(Cause.NO_TARGET, MIN_RETRY_AFTER_MS, message))
        return self._placement.pick(
            router,
            PlacementRequest(exclude, affinity_key, suspect, fingerprint),
            probes=self._extra_calls[pool].can_probe(),
        )

    def sent(self, target: TargetId, fingerprint: Fingerprint) -> None:
        """Record that a call is being sent to `target`."""
        pool = self._pool_of.get(target)
        if pool is None:
            return
        self._routers[pool].sent(target, fingerprint)
        self._extra_calls[pool].sent()
        self._quarantine.sent(fingerprint, pool, target)
        self._permits.sent(pool, fingerprint)

    def first_part_received(
        self, target: TargetId, fingerprint: Fingerprint, elapsed_ms: float
    ) -> None:
        """Record that a streamed answer's first part arrived after `elapsed_ms`."""
        pool = self._pool_of.get(target)
        if pool is not None:
            self._routers[pool].first_part_received(target, fingerprint, elapsed_ms)

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Record the end of a call."""
        router = self._routers.get(report.pool)
        if router is not None:
            router.ended(report, fingerprint)
        if self._settings.quarantine:
            self._quarantine.ended(report, fingerprint)

    def load_reported(
        self, target: TargetId, incarnation: Incarnation, load: Load
    ) -> None:
        """Record a load that was read from a target or received from a peer."""
        pool = self._pool_of.get(target)
        if pool is not None:
            self._routers[pool].load_reported(target, incarnation, load)

    def pop_reported_loads(self) -> tuple[ReportedLoad, ...]:
        """Return and clear the loads that targets reported here, to send to peers.

        A peer passes them to `load_reported`, with the transmission time added to
        their age.
        """
        routers = self._routers.values()
        return tuple(load for router in routers for load in router.pop_reported_loads())

    def stage_budget_ms(
        self,
        estimates: Sequence[StageEstimate],
        stage: StageName,
        remaining_ms: float,
    ) -> float:
        """Return how long `stage` may take so that later stages can finish on time."""
        return stage_share_ms(
            estimates,
            stage,
            remaining_ms,
            self._forecast.expected_ms,
            self._forecast.upper_bound_ms,
        )

    def can_finish(
        self,
        estimates: Sequence[StageEstimate],
        remaining_stages: Collection[StageName],
        remaining_ms: float,
    ) -> bool:
        """Return whether the remaining stages can finish on time, optimistically."""
        if remaining_ms <= 0:
            return False
        if not self._settings.admission:
            return True
        needed_ms = critical_path_ms(
            estimates, remaining_stages, self._forecast.optimistic_ms
        )
        if needed_ms <= remaining_ms:
            return True
        self._admission.record_late()
        return False

    def may_retry(self, pool: PoolName, typical_ms: float, remaining_ms: float) -> bool:
        """Return whether a retry may be sent; if so, charge it to the budget."""
        extra = self._extra_calls.get(pool)
        return extra is not None and extra.may_retry(typical_ms, remaining_ms)

    def hedge_after_ms(self, pool: PoolName, remaining_ms: float) -> float | None:
        """Return the delay after which to hedge a call, or None for no hedge."""
        extra = self._extra_calls.get(pool)
        return extra.hedge_after_ms(remaining_ms) if extra else None

    def may_hedge(self, pool: PoolName) -> bool:
        """Return whether a hedge may be sent; if so, charge it to the budget."""
        extra = self._extra_calls.get(pool)
        return extra is not None and extra.may_hedge()

    def blocked(self, fingerprint: Fingerprint) -> Refused | None:
        """Return a refusal if a fingerprint is blocked, otherwise None."""
        return self._quarantine.blocked(fingerprint)

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether a fingerprint was in flight at a crash not cleared since."""
        return self._quarantine.suspected(fingerprint)

    def crash_records(self) -> tuple[CrashRecord, ...]:
        """Return all crash records, for a peer that may lack some."""
        return self._quarantine.records()

    def pop_new_crash_records(self) -> tuple[CrashRecord, ...]:
        """Return and clear the crash records created here, to send to peers."""
        return self._quarantine.pop_new_records()

    def merge_crash_records(self, records: Iterable[CrashRecord]) -> None:
        """Merge crash records of other instances; order and repetition are harmless."""
        self._quarantine.merge(records)

    def release_fingerprint(self, fingerprint: Fingerprint) -> None:
        """Clear a fingerprint on request of an operator."""
        self._quarantine.release(fingerprint)

    def _excess_ms(
        self,
        workspace: WorkspaceId,
        estimates: Sequence[StageEstimate],
        remaining_ms: float,
    ) -> float:
        """Return by how much a request would be late; 0 or less if on time."""
        if remaining_ms <= 0:
            return MIN_RETRY_AFTER_MS
        if not self._settings.admission:
            return 0.0
        over_share = self._fair_shares.is_over_share(workspace)
        queue_share = OVER_SHARE_QUEUE_FACTOR if over_share else 1.0
        return self._forecast.excess_ms(estimates, remaining_ms, queue_share)

    def _refusal(self, cause: Cause, wait_ms: float, message: str) -> Refused:
        jitter = 1.0 + RETRY_AFTER_JITTER * self._random.random()
        after_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * jitter
        return Refused(cause, int(after_ms), message)
