"""Limits per workspace, worked out on this instance alone."""

import math
from dataclasses import dataclass

from ..core.clock import MILLISECONDS_PER_SECOND, Clock
from ..core.ids import WorkspaceId
from .models import WorkspaceLimits

USAGE_WINDOW_S = 2.0
ACTIVE_WINDOW_S = 2.0
DEFAULT_LIMITS = WorkspaceLimits(weight=1.0, rate_per_s=100.0, burst=100)


class TokenBucket:
    """Allows a rate and a burst.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rate_per_s, burst : float
        Tokens that flow in each second, and most that are kept.
    """

    def __init__(self, clock: Clock, rate_per_s: float, burst: float):
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at_s = clock.monotonic_s()

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Set a new rate and burst; what was saved is kept."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_ms(self) -> float:
        """Return the time until a token is there, 0 if one is."""
        self._refill()
        missing = 1.0 - self._tokens
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate_per_s * MILLISECONDS_PER_SECOND

    def take(self) -> None:
        """Take one token."""
        self._tokens -= 1.0

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._at_s = now_s


@dataclass
class WorkspaceUse:
    """Limits and recent use of one workspace; `usage` decays."""

    limits: WorkspaceLimits
    bucket: TokenBucket
    usage: float = 0.0
    usage_at_s: float = 0.0
    asked_at_s: float = float("-inf")


class FairShares:
    """Rates of the workspaces, and who uses more than a weighted fair share.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    instances : int
        Instances over which rate and burst are divided.
    """

    def __init__(self, clock: Clock, instances: int):
        self._clock = clock
        self._instances = max(instances, 1)
        self._uses: dict[WorkspaceId, WorkspaceUse] = {}

    def update(self, workspace: WorkspaceId, limits: WorkspaceLimits) -> None:
        """Take over the limits of a workspace."""
        use = self._uses.get(workspace)
        if use is None:
            bucket = TokenBucket(self._clock, *self._own_part(limits))
            self._uses[workspace] = WorkspaceUse(limits, bucket)
            return
        use.limits = limits
        use.bucket.configure(*self._own_part(limits))

    def update_instances(self, instances: int) -> None:
        """Divide rates over another number of instances."""
        self._instances = max(instances, 1)
        for workspace, use in self._uses.items():
            self.update(workspace, use.limits)

    def rate_wait_ms(self, workspace: WorkspaceId) -> float:
        """Note that `workspace` asks, and return how long its rate makes it wait."""
        use = self._use(workspace)
        use.asked_at_s = self._clock.monotonic_s()
        return use.bucket.wait_ms()

    def admitted(self, workspace: WorkspaceId) -> None:
        """Count an admitted request."""
        use = self._use(workspace)
        use.bucket.take()
        use.usage = self._usage(use) + 1.0
        use.usage_at_s = self._clock.monotonic_s()

    def is_over_share(self, workspace: WorkspaceId) -> bool:
        """Return whether `workspace` used more than its share of late.

        The share is by weight among the workspaces that asked recently.
        """
        now_s = self._clock.monotonic_s()
        active = [
            one
            for one in self._uses.values()
            if now_s - one.asked_at_s <= ACTIVE_WINDOW_S
        ]
        use = self._use(workspace)
        weights = sum(one.limits.weight for one in active)
        total = sum(self._usage(one) for one in active)
        if not weights:
            return False
        return self._usage(use) > total * use.limits.weight / weights + 1e-9

    def _usage(self, use: WorkspaceUse) -> float:
        passed_s = self._clock.monotonic_s() - use.usage_at_s
        return use.usage * math.exp(-passed_s / USAGE_WINDOW_S)

    def _use(self, workspace: WorkspaceId) -> WorkspaceUse:
        if workspace not in self._uses:
            self.update(workspace, DEFAULT_LIMITS)
        return self._uses[workspace]

    def _own_part(self, limits: WorkspaceLimits) -> tuple[float, float]:
        burst = max(1.0, limits.burst / self._instances)
        return limits.rate_per_s / self._instances, burst
