"""Load balancing within one pool."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from ..core.clock import Clock
from ..core.ids import DataCentreId, Fingerprint, PoolName, TargetId
from ..core.outcomes import Cause
from .choices import estimated_calls, make_chooser, mean_peer_calls_per_slot
from .health import PoolHealth
from .levels import SmoothedLevel
from .models import (
    CallReport,
    Load,
    PoolLimits,
    Refused,
    ReportedLoad,
    TargetView,
)
from .observations import Observations
from .settings import PolicySettings
from .subset import choose_subset
from .target_state import TargetState

NO_TARGET_RETRY_MS = 1_000
FULL_RETRY_MS = 250
OWN_CALLS_WINDOW_S = 1.0
PEER_LOAD_REFRESH_S = 0.02
GROWTH_HALF_WEIGHT_CALLS = 4.0


@dataclass(frozen=True)
class PeerLoad:
    """Estimated calls of the other instances to a pool, as of `computed_at_s`."""

    computed_at_s: float
    calls_per_slot: float
    calls: float
    slots: int


class PoolRouter:
    """Chooses targets of one pool, and tracks their load and health.

    Parameters
    ----------
    pool : PoolName
        Name of the pool.
    clock : Clock
        Source of monotonic time.
    random : Random
        Source of randomness.
    settings : PolicySettings
        Settings of the choice of targets.
    own_data_centre : DataCentreId
        Where this instance runs.
    """

    def __init__(
        self,
        pool: PoolName,
        clock: Clock,
        random: Random,
        settings: PolicySettings,
        own_data_centre: DataCentreId,
    ):
        self.pool = pool
        self.health = PoolHealth(clock)
        self.observations = Observations(clock, self.health)
        self._clock = clock
        self._settings = settings
        self._own_data_centre = own_data_centre
        self._chooser = make_chooser(
            settings.choice, random, own_data_centre, self.health
        )
        self.instances = settings.instances
        self._subset_share = 1.0
        self._peer_load: PeerLoad | None = None
        self._max_outstanding = 1
        self._own_calls = SmoothedLevel(clock, OWN_CALLS_WINDOW_S)
        self._states: dict[TargetId, TargetState] = {}
        self._draining: dict[TargetId, TargetState] = {}

    @property
    def sharing_instances(self) -> float:
        """Mean number of instances that call the same target, including this one."""
        return max(1.0, self.instances * self._subset_share)

    @property
    def states(self) -> Collection[TargetState]:
        """The targets that can get new calls."""
        return self._states.values()

    def update(self, limits: PoolLimits, targets: Sequence[TargetView]) -> None:
        """Set the limits and the live targets of the pool."""
        self._max_outstanding = limits.max_outstanding
        self._peer_load = None
        chosen = choose_subset(
            targets,
            self._own_data_centre,
            self._settings.instance,
            self._settings.subset_size,
        )
        previous = self._draining | self._states
        self._states = {view.target: self._state_for(view, previous) for view in chosen}
        self._draining = {
            name: state
            for name, state in previous.items()
            if name not in self._states and state.outstanding
        }
        for name in previous:
            if name not in self._states:
                self.health.remove(name)
        self._subset_share = len(chosen) / max(len(targets), 1)
        self._own_calls.set(sum(state.outstanding for state in self.states))

    def state(self, target: TargetId) -> TargetState | None:
        """Return the state of `target`, including one that only finishes its calls."""
        return self._states.get(target) or self._draining.get(target)

    def pick(
        self,
        exclude: Collection[TargetId],
        affinity_key: str | None,
        allowed: Callable[[TargetState], bool],
        *,
        avoid: Callable[[TargetState], bool] | None = None,
        probes: bool = True,
    ) -> Result[TargetView, Refused]:
        """Return a target that is not excluded and that `allowed` accepts.

        Targets for which `avoid` is true are chosen only if there is no other.
        """
        states = [
            state
            for name, state in self._states.items()
            if name not in exclude and allowed(state)
        ]
        if not states:
            message = f"pool {self.pool} has no target left"
            return Err(Refused(Cause.NO_TARGET, NO_TARGET_RETRY_MS, message))
        free = [state for state in states if state.outstanding < self._max_outstanding]
        if not free:
            message = f"all targets of pool {self.pool} are full"
            return Err(Refused(Cause.OVERLOAD, FULL_RETRY_MS, message))
        if avoid is not None:
            free = [state for state in free if not avoid(state)] or free
        return Ok(self._choose(free, affinity_key, probes).view)

    def usable_targets(self, exclude: Collection[TargetId]) -> list[TargetId]:
        """Return the targets that are not excluded, full or ejected.

        If all remaining targets are ejected, these are returned.
        """
        names = [name for name in self._states if name not in exclude]
        free = [
            name
            for name in names
            if self._states[name].outstanding < self._max_outstanding
        ]
        return [name for name in free if self.health.is_healthy(name)] or free

    def sent(self, target: TargetId, fingerprint: Fingerprint) -> None:
        """Count a call as in flight."""
        state = self._states.get(target)
        if state is not None:
            peer_calls_per_slot = self._current_peer_load().calls_per_slot
            state.sent(fingerprint, estimated_calls(state, peer_calls_per_slot))
            self._own_calls.change(+1)

    def first_part_received(
        self, target: TargetId, fingerprint: Fingerprint, elapsed_ms: float
    ) -> None:
        """Record the time until the first part of a call's answer."""
        state = self._states.get(target)
        if state is None:
            return
        call = state.record_first_part(fingerprint)
        self.observations.first_part_received(target, elapsed_ms, call)

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Record the end of a call."""
        state = self.state(report.target)
        if state is None or state.view.incarnation != report.incarnation:
            return
        call = state.ended(fingerprint)
        if call is not None and report.target in self._states:
            self._own_calls.change(-1)
        if report.load is not None:
            state.record_load(report.load, direct=True)
        if report.target in self._states:
            self.observations.ended(report, call)
        else:
            self._remove_if_idle(report.target)

    def pop_reported_loads(self) -> list[ReportedLoad]:
        """Return and clear the loads that targets reported in their answers."""
        reported = [(state.view, state.pop_unshared_load()) for state in self.states]
        return [
            ReportedLoad(view.target, view.incarnation, load)
            for view, load in reported
            if load is not None
        ]

    def calls_and_slots(self) -> tuple[float, int]:
        """Return the estimated calls in flight, and the slots, of all targets.

        The estimate assumes that, since the reports, the calls of each peer changed
        by as much as those of this instance differ from their recent average. The
        change weighs less while that average is small.
        """
        peers = self._current_peer_load()
        own = self._own_calls.level
        average_own = self._own_calls.average()
        growth_weight = average_own / (average_own + GROWTH_HALF_WEIGHT_CALLS)
        growth = growth_weight * (own - average_own) * (self.sharing_instances - 1.0)
        return own + max(0.0, peers.calls + growth), peers.slots

    def load_reported(self, target: TargetId, incarnation: int, load: Load) -> None:
        """Record a load that did not arrive with the answer to a call."""
        state = self.state(target)
        if state is not None and state.view.incarnation == incarnation:
            state.record_load(load, direct=False)
            self._peer_load = None

    def calls_per_slot(self) -> float:
        """Return the estimated calls in flight per slot."""
        calls, slots = self.calls_and_slots()
        return calls / slots if slots else 0.0

    def _current_peer_load(self) -> PeerLoad:
        """Return the load by other instances, cached for `PEER_LOAD_REFRESH_S`."""
        now_s = self._clock.monotonic_s()
        cached = self._peer_load
        if cached is not None and now_s - cached.computed_at_s < PEER_LOAD_REFRESH_S:
            return cached
        states = tuple(self.states)
        mean_calls_per_slot = mean_peer_calls_per_slot(states)
        calls = sum(
            estimated_calls(state, mean_calls_per_slot) - state.outstanding
            for state in states
        )
        slots = sum(state.slots for state in states)
        self._peer_load = PeerLoad(now_s, mean_calls_per_slot, calls, slots)
        return self._peer_load

    def _state_for(self, view: TargetView, previous) -> TargetState:
        state = previous.get(view.target)
        if state is not None and state.view.incarnation == view.incarnation:
            state.view = view
            if view.target not in self._states:
                self.health.add(view.target)
            return state
        self.health.add(view.target)
        return TargetState(view, self._clock, self._settings.report_lag_ms)

    def _choose(
        self, free: list[TargetState], affinity_key: str | None, probes: bool
    ) -> TargetState:
        peer_calls_per_slot = self._current_peer_load().calls_per_slot
        if not self._settings.health:
            return self._chooser.choose(free, affinity_key, peer_calls_per_slot)
        self.observations.eject_overdue(free)
        if probes:
            probe_target = self.health.claim_due_probe(
                [state.view.target for state in free]
            )
            if probe_target is not None:
                return self._states[probe_target]
        healthy = [state for state in free if self.health.is_healthy(state.view.target)]
        return self._chooser.choose(healthy or free, affinity_key, peer_calls_per_slot)

    def _remove_if_idle(self, target: TargetId) -> None:
        state = self._draining[target]
        if not state.outstanding:
            del self._draining[target]
