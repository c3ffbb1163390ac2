"""Choice of a target within one pool."""

from collections.abc import Callable, Collection, Sequence
from random import Random

from result import Err, Ok, Result

from ..core.clock import Clock
from ..core.ids import DataCentreId, Fingerprint, PoolName, TargetId
from ..core.outcomes import Cause
from .choices import blended_calls, make_chooser, usual_others_per_slot
from .health import Measure, PoolHealth
from .levels import SmoothedLevel
from .models import CallOutcome, CallReport, HeardLoad, PoolLimits, Refused, TargetView
from .settings import PolicySettings
from .stage_times import SlidingQuantiles
from .subset import choose_subset
from .target_state import CallInFlight, TargetState

NO_TARGET_RETRY_MS = 1_000
FULL_RETRY_MS = 250
FLAGRANT_FACTOR = 4.5
FLAGRANT_QUANTILE = 0.75
USUAL_CALLS_WINDOW_S = 1.0
UNCERTAIN_CALLS = 4.0
MAX_COMPARABLE_WAIT = 0.5
BAD_OUTCOMES = (CallOutcome.FAILED, CallOutcome.CRASHED)


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
        self.times = SlidingQuantiles(clock)
        self.first_part_times = SlidingQuantiles(clock)
        self.service_times = SlidingQuantiles(clock)
        self.health = PoolHealth(clock)
        self._clock = clock
        self._settings = settings
        self._own_data_centre = own_data_centre
        self._chooser = make_chooser(
            settings.choice, random, own_data_centre, self.health
        )
        self.instances = settings.instances
        self._max_outstanding = 1
        self._own_calls = SmoothedLevel(clock, USUAL_CALLS_WINDOW_S)
        self._states: dict[TargetId, TargetState] = {}
        self._leaving: dict[TargetId, TargetState] = {}

    @property
    def states(self) -> Collection[TargetState]:
        """The targets that may get new calls."""
        return self._states.values()

    def update(self, limits: PoolLimits, targets: Sequence[TargetView]) -> None:
        """Take over the pool's limits and its present targets."""
        self._max_outstanding = limits.max_outstanding
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
        state = self.state(target)
        if state is not None:
            usual = usual_others_per_slot(tuple(self.states))
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
        if self.health.is_healthy(target):
            self.first_part_times.add(elapsed_ms)
        if call is not None and call.waiting_share <= MAX_COMPARABLE_WAIT:
            if _is_flagrant(elapsed_ms, self.first_part_times):
                self.health.flagrant(target)
            self.health.succeeded(target, elapsed_ms, Measure.FIRST_PART)

    def ended(self, report: CallReport, fingerprint: Fingerprint) -> None:
        """Take over how a call ended."""
        state = self.state(report.target)
        if state is None or state.view.incarnation != report.incarnation:
            return
        call = state.ended(fingerprint)
        if call is not None:
            self._own_calls.change(-1)
        if report.load is not None:
            state.reported(report.load, heard=True)
        if report.target in self._states:
            self._judge(report, call)
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
        states = self.states
        slots = sum(one.slots for one in states)
        usual = usual_others_per_slot(tuple(states))
        own = sum(one.outstanding for one in states)
        others = sum(blended_calls(one, usual) for one in states) - own
        usual_own = self._own_calls.average()
        certainty = usual_own / (usual_own + UNCERTAIN_CALLS)
        growth = certainty * (own - usual_own) * (self.instances - 1)
        return own + max(0.0, others + growth), slots

    def calls_per_slot(self) -> float:
        """Return the blended calls in flight per slot."""
        calls, slots = self.calls_and_slots()
        return calls / slots if slots else 0.0

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
        if not self._settings.health:
            return self._chooser.choose(free, affinity_key)
        self._note_overdue(free)
        if probes:
            probe = self.health.take_probe([one.view.target for one in free])
            if probe is not None:
                return self._states[probe]
        healthy = [one for one in free if self.health.is_healthy(one.view.target)]
        return self._chooser.choose(healthy or free, affinity_key)

    def _note_overdue(self, states: list[TargetState]) -> None:
        by_parts = self.first_part_times.quantile_ms(FLAGRANT_QUANTILE) is not None
        times = self.first_part_times if by_parts else self.times
        for one in states:
            if one.may_note_overdue() and one.outstanding:
                age_ms = one.oldest_age_ms(unanswered=by_parts)
                if _is_flagrant(age_ms, times):
                    self.health.flagrant(one.view.target)

    def _judge(self, report: CallReport, call: CallInFlight | None) -> None:
        unreachable = report.outcome is CallOutcome.REFUSED and report.load is None
        if report.outcome is CallOutcome.DONE:
            self._take_times(report, call)
        elif report.outcome in BAD_OUTCOMES or unreachable:
            crashed = unreachable or report.outcome is CallOutcome.CRASHED
            self.health.failed(report.target, crashed=crashed)
        elif call is not None and call.waiting_share <= MAX_COMPARABLE_WAIT:
            self.health.overdue(report.target, report.elapsed_ms)

    def _take_times(self, report: CallReport, call: CallInFlight | None) -> None:
        service_ms = _service_ms(report, call)
        if self.health.is_healthy(report.target):
            self.times.add(report.elapsed_ms)
            self.service_times.add(service_ms)
            if report.service_ms and _is_flagrant(service_ms, self.service_times):
                self.health.flagrant(report.target)
        self.health.succeeded(report.target, service_ms)

    def _drop_if_idle(self, target: TargetId) -> None:
        state = self._leaving[target]
        if not state.outstanding:
            del self._leaving[target]


def _is_flagrant(elapsed_ms: float, times: SlidingQuantiles) -> bool:
    usual_ms = times.quantile_ms(FLAGRANT_QUANTILE)
    return usual_ms is not None and elapsed_ms > FLAGRANT_FACTOR * usual_ms


def _service_ms(report: CallReport, call: CallInFlight | None) -> float:
    """Return the time of a call without its wait in the target's queue."""
    if report.service_ms:
        return report.service_ms
    waiting = call.waiting_share if call else 0.0
    return report.elapsed_ms / (1.0 + waiting)
