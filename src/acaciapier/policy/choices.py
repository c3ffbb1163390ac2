"""Ways to choose among the targets that may be used."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from ..core.ids import DataCentreId
from .health import PoolHealth
from .settings import Choice
from .subset import rendezvous_rank
from .target_state import TargetState

REMOTE_PENALTY = 0.1
AFFINITY_SLACK = 0.75
SLOWNESS_FLOOR = 1.5


class Chooser(Protocol):
    """Chooses one of several targets."""

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return one of `candidates`, of which there is at least one.

        `usual_others` is the mean of the other instances' calls per slot.
        """


class RandomChooser:
    """Chooses with equal chances."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return any candidate."""
        return self._random.choice(candidates)


class RoundRobinChooser:
    """Chooses in turn."""

    def __init__(self, random: Random):
        self._next = random.randrange(1 << 16)

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return the candidate after the last one."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastOutstandingChooser:
    """Chooses the fewest own calls in flight, ties by chance."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return the candidate with the fewest own calls in flight."""
        return min(candidates, key=lambda one: (one.outstanding, self._random.random()))


class LeastReportedChooser:
    """Chooses the lowest load in the last reports, whatever their age."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return the candidate with the lowest reported load."""

        def reported(one: TargetState) -> tuple[float, float]:
            calls = one.load.running + one.load.queued if one.load else 0
            return calls / one.slots, self._random.random()

        return min(candidates, key=reported)


class BlendChooser:
    """Two choices over a blend of own calls and reported load aged by its lag.

    Parameters
    ----------
    random : Random
        Source of chance.
    own_data_centre : DataCentreId
        Where this instance runs; targets elsewhere cost a little more.
    health : PoolHealth
        Measured slowness of the targets.
    """

    def __init__(
        self, random: Random, own_data_centre: DataCentreId, health: PoolHealth
    ):
        self._random = random
        self._own_data_centre = own_data_centre
        self._health = health

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        usual_others: float,
    ) -> TargetState:
        """Return the better of two, or the holder of a prefix if not much worse."""
        best = min(
            self._pair(candidates), key=lambda one: self._cost(one, usual_others)
        )
        if affinity_key is None:
            return best
        holder = max(
            candidates, key=lambda one: rendezvous_rank(affinity_key, one.view.target)
        )
        limit = self._cost(best, usual_others) + AFFINITY_SLACK
        return holder if self._cost(holder, usual_others) <= limit else best

    def _pair(self, candidates: Sequence[TargetState]) -> list[TargetState]:
        return self._random.sample(candidates, min(2, len(candidates)))

    def _cost(self, one: TargetState, usual_others: float) -> float:
        cost = (blended_calls(one, usual_others) + 1) / one.slots
        slowness = self._health.slowness(one.view.target)
        if slowness > SLOWNESS_FLOOR:
            cost *= slowness
        if one.view.data_centre != self._own_data_centre:
            cost += REMOTE_PENALTY
        return cost


def usual_others_per_slot(states: Sequence[TargetState]) -> float:
    """Return the mean reported calls of other instances per slot."""
    known = [(one.others(), one.slots) for one in states if one.load is not None]
    slots = sum(count for _, count in known)
    return sum(others for others, _ in known) / slots if slots else 0.0


def blended_calls(one: TargetState, usual_others_per_slot: float) -> float:
    """Return own calls in flight plus the expected calls of other instances."""
    usual = usual_others_per_slot * one.slots
    others = one.others()
    if others is None:
        return one.outstanding + usual
    weight = one.report_weight()
    return one.outstanding + weight * others + (1 - weight) * usual


def make_chooser(
    choice: Choice,
    random: Random,
    own_data_centre: DataCentreId,
    health: PoolHealth,
) -> Chooser:
    """Return the chooser that the settings name."""
    match choice:
        case Choice.RANDOM:
            return RandomChooser(random)
        case Choice.ROUND_ROBIN:
            return RoundRobinChooser(random)
        case Choice.LEAST_OUTSTANDING:
            return LeastOutstandingChooser(random)
        case Choice.LEAST_REPORTED:
            return LeastReportedChooser(random)
        case Choice.BLEND:
            return BlendChooser(random, own_data_centre, health)
