"""Passes changes of membership and configuration to the policy."""

from collections.abc import Callable

import trio

from ..configuration import ConfigurationState
from ..core.clock import to_s
from ..core.ids import DataCentreId, Incarnation, PoolName, RegionId, TargetId
from ..membership import Membership
from ..objects.models import TargetPool
from ..policy import PathPolicy, PoolLimits, TargetView, WorkspaceLimits
from ..wire.messages.membership import TargetRecord
from .models import TargetBody

REFRESH_INTERVAL_MS = 250.0


class TargetDirectory:
    """Updates the policy with the live targets and the configured limits.

    Parameters
    ----------
    membership : Membership
        Source of the live targets and instances.
    policy : PathPolicy
        Policy that is updated.
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        membership: Membership,
        policy: PathPolicy,
        configuration: Callable[[], ConfigurationState],
    ):
        self._membership = membership
        self._policy = policy
        self._configuration = configuration
        self._applied_pools: dict[str, tuple[TargetPool, tuple[TargetRecord, ...]]] = {}
        self._applied_number = -1
        self._changed = trio.Event()
        membership.subscribe(self._handle_membership_change)

    def record_target_status(self, target: TargetView, status: TargetBody) -> None:
        """Record the status of a target; one that is leaving is removed at once."""
        target_id = TargetId(status.id)
        self._membership.record_target_report(
            target_id, status.incarnation, status.leaving
        )

    def has_targets(self, pool: str) -> bool:
        """Return whether `pool` has at least one live target."""
        return bool(self._membership.targets.usable(PoolName(pool)))

    async def run(self) -> None:
        """Refresh after each membership change, and at least once per interval."""
        while True:
            self.refresh()
            self._changed = trio.Event()
            with trio.move_on_after(to_s(REFRESH_INTERVAL_MS)):
                await self._changed.wait()

    def refresh(self) -> None:
        """Pass what has changed since the last refresh to the policy."""
        state = self._configuration()
        for pool in state.pools:
            self._refresh_pool(pool)
        if state.number != self._applied_number:
            self._applied_number = state.number
            self._refresh_workspaces(state)
        self._policy.update_instances(len(self._membership.live_entries()))

    def _refresh_pool(self, pool: TargetPool) -> None:
        records = self._membership.targets.usable(PoolName(pool.name))
        if self._applied_pools.get(pool.name) == (pool, records):
            return
        self._applied_pools[pool.name] = (pool, records)
        limits = PoolLimits(
            pool.max_outstanding, pool.retry_share_percent, pool.hedge_share_percent
        )
        views = [target_view(record) for record in records]
        self._policy.update_pool(PoolName(pool.name), limits, views)

    def _refresh_workspaces(self, state: ConfigurationState) -> None:
        for workspace in state.workspaces:
            limits = WorkspaceLimits(
                workspace.weight, workspace.rate_per_s, workspace.burst
            )
            self._policy.update_workspace(workspace.name, limits)

    def _handle_membership_change(self, change) -> None:
        if change.targets:
            self.refresh()
        self._changed.set()


def target_view(record: TargetRecord) -> TargetView:
    """Return the view of a target that the policy works on."""
    return TargetView(
        target=TargetId(record.target_id),
        incarnation=Incarnation(record.incarnation),
        pool=PoolName(record.pool),
        data_centre=DataCentreId(record.data_centre),
        region=RegionId(record.region),
        url=record.url,
    )
