"""Choice of a target within one pool."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from ..core.clock import Clock
from ..core.ids import DataCentreId, Fingerprint, PoolName, TargetId
from ..core.outcomes import Cause
from .choices import blended_calls, make_chooser, usual_others_per_slot
from .health import PoolHealth
from .levels import SmoothedLevel
from .models import (
    CallReport,
    HeardLoad,
    Load,
    PoolLimits,
    Refused,
    TargetView,
)
from .observations import Observations
from .settings import PolicySettings
from .subset import choose_subset
from .target_state import TargetState

NO_TARGET_RETRY_MS = 1_000
FULL_RETRY_MS = 250
USUAL_CALLS_WINDOW_S = 1.0
OTHERS_S = 0.02
UNCERTAIN_CALLS = 4.0


@dataclass(frozen=True)
class OthersLoad:
    """Calls of the other instances at a pool, at the time `at_s`."""

    at_s: float
    usual_per_slot: float
    calls: float
    slots: int


class PoolRouter:
    """Chooses targets of one pool and follows their load and health.

    Parameters
    ----------
    pool : PoolName
        Name of the pool.
    clock : Clock
        Source of monotonic time.
    random : Random
        Source of chance.
    settings : PolicySettings
        How targets are chosen.
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
        self.observed = Observations(clock, self.health)
        self._clock = clock
        self._settings = settings
        self._own_data_centre = own_data_centre
        self._chooser = make_chooser(
            settings.choice, random, own_data_centre, self.health
        )
        self.instances = settings.instances
        self._subset_share = 1.0
        self._others_known: OthersLoad | None = None
        self._max_outstanding = 1
        self._own_calls = SmoothedLevel(clock, USUAL_CALLS_WINDOW_S)
        self._states: dict[TargetId, TargetState] = {}
        self._leaving: dict[TargetId, TargetState] = {}

    @property
    def sharers(self) -> float:
        """Number of instances that send calls to the same targets, with this one."""
        return max(1.0, self.instances * self._subset_share)

    @property
    def states(self) -> Collection[TargetState]:
        """The targets that may get new calls."""
        return self._states.values()

    def update(self, limits: PoolLimits, targets: Sequence[TargetView]) -> None:
        """Take over the pool's limits and its present targets."""
        self._max_outstanding = limits.max_outstanding
        self._others_known = None
        chosen = choose_subset(
            targets,
            self._own_data_centre,
            self._settings.instance,
            self._settings.subset_size,
        )
        old = self._leaving | self._states
        self._states = {one.target: self._state_for(one, old) for one in chosen}
        self._leaving = {
            name: state
            for name, state in old.items()
            if name not in self._states and state.outstanding
        }
        for name in old:
            if name not in self._states:
                self.health.remove(name)
        self._subset_share = len(chosen) / max(len(targets), 1)
        self._own_calls.set(sum(one.outstanding for one in self.states))

    def state(self, target: TargetId) -> TargetState | None:
        """Return what is known about `target`, also while it is leaving."""
        return self._states.get(target) or self._leaving.get(target)

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

        Targets that `avoid` names are chosen only where there is no other.
        """
        states = [
            state
            for name, state in self._states.items()
            if name not in exclude and allowed(state)
        ]
        if not states:
            message = f"pool {self.pool} has no target left"
            return Err(Refused(Cause.NO_TARGET, NO_TARGET_RETRY_MS, message))
        free = [one for one in states if one.outstanding < self._max_outstanding]
        if not free:
            message = f"all targets of pool {self.pool} are full"
            return Err(Refused(Cause.OVERLOAD, FULL_RETRY_MS, message))
        if avoid is not None:
            free = [one for one in free if not avoid(one)] or free
        return Ok(self._choose(free, affinity_key, probes).view)

    def usable(self, exclude: Collection[TargetId]) -> list[TargetId]:
        """Return the targets that are not excluded, set aside or full."""
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
            usual = self._others().usual_per_slot
            state.sent(fingerprint, blended_calls(state, usual))
            self._own_calls.change(+1)

    def first_part(
        self, target: TargetId, fingerprint: Fingerprint, elapsed_ms: float
    ) -> None:
        """Take over when the first part of a call's answer arrived."""
        state = self._states.get(target)
        if state is None:
            return
        call = state.answered(fingerprint)
        self.observed.first_part(target, elapsed_ms, call)

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Take over how a call ended."""
        state = self.state(report.target)
        if state is None or state.view.incarnation != report.incarnation:
            return
        call = state.ended(fingerprint)
        if call is not None and report.target in self._states:
            self._own_calls.change(-1)
        if report.load is not None:
            state.reported(report.load, heard=True)
        if report.target in self._states:
            self.observed.ended(report, call)
        else:
            self._drop_if_idle(report.target)

    def take_heard_loads(self) -> list[HeardLoad]:
        """Return the loads that answers brought since the last call."""
        heard = [(state.view, state.take_heard()) for state in self.states]
        return [
            HeardLoad(view.target, view.incarnation, load)
            for view, load in heard
            if load is not None
        ]

    def calls_and_slots(self) -> tuple[float, int]:
        """Return the expected calls in flight, and the slots, of all targets.

        Other instances are taken to have changed their calls since the
        reports as this one has, on the average.
        """
        others = self._others()
        own = self._own_calls.level
        usual_own = self._own_calls.average()
        certainty = usual_own / (usual_own + UNCERTAIN_CALLS)
        growth = certainty * (own - usual_own) * (self.sharers - 1.0)
        return own + max(0.0, others.calls + growth), others.slots

    def load_reported(self, target: TargetId, incarnation: int, load: Load) -> None:
        """Take over a load that did not come with the answer to a call."""
        state = self.state(target)
        if state is not None and state.view.incarnation == incarnation:
            state.reported(load, heard=False)
            self._others_known = None

    def calls_per_slot(self) -> float:
        """Return the blended calls in flight per slot."""
        calls, slots = self.calls_and_slots()
        return calls / slots if slots else 0.0

    def _others(self) -> OthersLoad:
        """Return the load by other instances, worked out every `OTHERS_S`."""
        now_s = self._clock.monotonic_s()
        known = self._others_known
        if known is not None and now_s - known.at_s < OTHERS_S:
            return known
        states = tuple(self.states)
        usual = usual_others_per_slot(states)
        calls = sum(blended_calls(one, usual) - one.outstanding for one in states)
        slots = sum(one.slots for one in states)
        self._others_known = OthersLoad(now_s, usual, calls, slots)
        return self._others_known

    def _state_for(self, view: TargetView, old) -> TargetState:
        state = old.get(view.target)
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
        usual = self._others().usual_per_slot
        if not self._settings.health:
            return self._chooser.choose(free, affinity_key, usual)
        self.observed.note_overdue(free)
        if probes:
            probe = self.health.take_probe([one.view.target for one in free])
            if probe is not None:
                return self._states[probe]
        healthy = [one for one in free if self.health.is_healthy(one.view.target)]
        return self._chooser.choose(healthy or free, affinity_key, usual)

    def _drop_if_idle(self, target: TargetId) -> None:
        state = self._leaving[target]
        if not state.outstanding:
            del self._leaving[target]
