"""Rate limits and weighted fair shares per workspace, computed on one instance."""

import math
from dataclasses import dataclass

from ..core.clock import MILLISECONDS_PER_SECOND, Clock
from ..core.ids import WorkspaceId
from .models import WorkspaceLimits

USAGE_WINDOW_S = 2.0
ACTIVE_WINDOW_S = 2.0
DEFAULT_LIMITS = WorkspaceLimits(weight=1.0, rate_per_s=100.0, burst=100)


class TokenBucket:
    """Token bucket with a rate and a burst.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rate_per_s, burst : float
        Tokens added per second, and the capacity of the bucket.
    """

    def __init__(self, clock: Clock, rate_per_s: float, burst: float):
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_s = clock.monotonic_s()

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Set a new rate and burst; available tokens are kept, up to the burst."""
        self._refill()
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_ms(self) -> float:
        """Return the time until a token is available, or 0 if one is now."""
        self._refill()
        missing = 1.0 - self._tokens
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate_per_s * MILLISECONDS_PER_SECOND

    def take(self) -> None:
        """Remove one token."""
        self._tokens -= 1.0

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at_s = now_s


@dataclass
class WorkspaceState:
    """Limits and recent usage of one workspace.

    `usage` counts admitted requests, with exponential decay.
    """

    limits: WorkspaceLimits
    bucket: TokenBucket
    usage: float = 0.0
    usage_updated_s: float = 0.0
    last_request_s: float = float("-inf")


class FairShares:
    """Applies rate limits, and detects workspaces above their weighted fair share.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    instances : int
        Number of instances among which rates and bursts are divided.
    """

    def __init__(self, clock: Clock, instances: int):
        self._clock = clock
        self._instances = max(instances, 1)
        self._states: dict[WorkspaceId, WorkspaceState] = {}

    def update(self, workspace: WorkspaceId, limits: WorkspaceLimits) -> None:
        """Set the limits of a workspace."""
        state = self._states.get(workspace)
        if state is None:
            bucket = TokenBucket(self._clock, *self._instance_share(limits))
            self._states[workspace] = WorkspaceState(limits, bucket)
            return
        state.limits = limits
        state.bucket.configure(*self._instance_share(limits))

    def update_instances(self, instances: int) -> None:
        """Divide rates among a new number of instances."""
        self._instances = max(instances, 1)
        for workspace, state in self._states.items():
            self.update(workspace, state.limits)

    def rate_wait_ms(self, workspace: WorkspaceId) -> float:
        """Record a request of `workspace`; return the wait that its rate imposes."""
        state = self._state(workspace)
        state.last_request_s = self._clock.monotonic_s()
        return state.bucket.wait_ms()

    def record_admitted(self, workspace: WorkspaceId) -> None:
        """Count an admitted request."""
        state = self._state(workspace)
        state.bucket.take()
        state.usage = self._decayed_usage(state) + 1.0
        state.usage_updated_s = self._clock.monotonic_s()

    def is_over_share(self, workspace: WorkspaceId) -> bool:
        """Return whether the recent usage of `workspace` exceeds its fair share.

        The share is by weight among the workspaces with recent requests.
        """
        now_s = self._clock.monotonic_s()
        active = [
            other
            for other in self._states.values()
            if now_s - other.last_request_s <= ACTIVE_WINDOW_S
        ]
        state = self._state(workspace)
        weights = sum(other.limits.weight for other in active)
        total = sum(self._decayed_usage(other) for other in active)
        if not weights:
            return False
        return self._decayed_usage(state) > total * state.limits.weight / weights + 1e-9

    def _decayed_usage(self, state: WorkspaceState) -> float:
        elapsed_s = self._clock.monotonic_s() - state.usage_updated_s
        return state.usage * math.exp(-elapsed_s / USAGE_WINDOW_S)

    def _state(self, workspace: WorkspaceId) -> WorkspaceState:
        if workspace not in self._states:
            self.update(workspace, DEFAULT_LIMITS)
        return self._states[workspace]

    def _instance_share(self, limits: WorkspaceLimits) -> tuple[float, float]:
        burst = max(1.0, limits.burst / self._instances)
        return limits.rate_per_s / self._instances, burst
