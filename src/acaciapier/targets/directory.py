"""Keeps the policy in step with membership and configuration."""

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
    """Gives the policy the live targets and the limits in force.

    Parameters
    ----------
    membership : Membership
        Knows the targets.
    policy : PathPolicy
        Takes them.
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
        self._given: dict[str, tuple[TargetPool, tuple[TargetRecord, ...]]] = {}
        self._number = -1
        self._changed = trio.Event()
        membership.subscribe(self._note_change)

    def hear_target(self, target: TargetView, word: TargetBody) -> None:
        """Take a target's own word about itself; a leaving one is dropped at once."""
        target_id = TargetId(word.id)
        self._membership.record_target_report(target_id, word.incarnation, word.leaving)

    def has_targets(self, pool: str) -> bool:
        """Tell whether at least one live target of `pool` is known."""
        return bool(self._membership.targets.usable(PoolName(pool)))

    async def run(self) -> None:
        """Refresh after each change, and from time to time."""
        while True:
            self.refresh()
            self._changed = trio.Event()
            with trio.move_on_after(to_s(REFRESH_INTERVAL_MS)):
                await self._changed.wait()

    def refresh(self) -> None:
        """Give the policy what has changed."""
        state = self._configuration()
        for pool in state.pools:
            self._refresh_pool(pool)
        if state.number != self._number:
            self._number = state.number
            self._refresh_workspaces(state)
        self._policy.update_instances(len(self._membership.live_entries()))

    def _refresh_pool(self, pool: TargetPool) -> None:
        records = self._membership.targets.usable(PoolName(pool.name))
        if self._given.get(pool.name) == (pool, records):
            return
        self._given[pool.name] = (pool, records)
        limits = PoolLimits(
            pool.max_outstanding, pool.retry_share_percent, pool.hedge_share_percent
        )
        views = [view_of(record) for record in records]
        self._policy.update_pool(PoolName(pool.name), limits, views)

    def _refresh_workspaces(self, state: ConfigurationState) -> None:
        for workspace in state.workspaces:
            limits = WorkspaceLimits(
                workspace.weight, workspace.rate_per_s, workspace.burst
            )
            self._policy.update_workspace(workspace.name, limits)

    def _note_change(self, change) -> None:
        if change.targets:
            self.refresh()
        self._changed.set()


def view_of(record: TargetRecord) -> TargetView:
    """Return a target as the policy sees it."""
    return TargetView(
        target=TargetId(record.target_id),
        incarnation=Incarnation(record.incarnation),
        pool=PoolName(record.pool),
        data_centre=DataCentreId(record.data_centre),
        region=RegionId(record.region),
        url=record.url,
    )
