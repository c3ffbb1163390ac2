"""Load-balancing strategies: how to choose among the eligible targets."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from ..core.ids import DataCentreId
from .health import PoolHealth
from .settings import Choice
from .subset import rendezvous_rank
from .target_state import TargetState

REMOTE_PENALTY = 0.1
AFFINITY_COST_TOLERANCE = 0.75
MIN_PENALIZED_SLOWDOWN = 1.5


class Chooser(Protocol):
    """A load-balancing strategy."""

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return one of `candidates`, which must not be empty.

        `peer_calls_per_slot` is the mean number of calls per slot that other
        instances have in flight.
        """


class RandomChooser:
    """Chooses a candidate uniformly at random."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return a random candidate."""
        return self._random.choice(candidates)


class RoundRobinChooser:
    """Chooses the candidates in rotation."""

    def __init__(self, random: Random):
        self._next = random.randrange(1 << 16)

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return the next candidate of the rotation."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastOutstandingChooser:
    """Chooses the target with the fewest own calls; breaks ties at random."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return the candidate with the fewest own calls in flight."""
        return min(
            candidates,
            key=lambda candidate: (candidate.outstanding, self._random.random()),
        )


class LeastReportedChooser:
    """Chooses the target with the lowest last reported load, of any age."""

    def __init__(self, random: Random):
        self._random = random

    def choose(
        self,
        candidates: Sequence[TargetState],
        affinity_key: str | None,
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return the candidate with the lowest reported load."""

        def reported_load(candidate: TargetState) -> tuple[float, float]:
            calls = (
                candidate.load.running + candidate.load.queued if candidate.load else 0
            )
            return calls / candidate.slots, self._random.random()

        return min(candidates, key=reported_load)


class BlendChooser:
    """Power of two choices over own calls and the reported calls of peers.

    The weight of a report decays with its age, in favour of the pool's mean.

    Parameters
    ----------
    random : Random
        Source of randomness.
    own_data_centre : DataCentreId
        Where this instance runs; targets in other data centres cost slightly more.
    health : PoolHealth
        Measured slowdown of the targets.
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
        peer_calls_per_slot: float,
    ) -> TargetState:
        """Return the cheaper of two random targets, or the affinity key's target.

        The target of the affinity key may have the prefix in its cache; it is
        preferred while its cost is at most `AFFINITY_COST_TOLERANCE` higher.
        """
        best = min(
            self._sample_pair(candidates),
            key=lambda candidate: self._cost(candidate, peer_calls_per_slot),
        )
        if affinity_key is None:
            return best
        affinity_target = max(
            candidates,
            key=lambda candidate: rendezvous_rank(affinity_key, candidate.view.target),
        )
        max_cost = self._cost(best, peer_calls_per_slot) + AFFINITY_COST_TOLERANCE
        return (
            affinity_target
            if self._cost(affinity_target, peer_calls_per_slot) <= max_cost
            else best
        )

    def _sample_pair(self, candidates: Sequence[TargetState]) -> list[TargetState]:
        return self._random.sample(candidates, min(2, len(candidates)))

    def _cost(self, state: TargetState, peer_calls_per_slot: float) -> float:
        cost = (estimated_calls(state, peer_calls_per_slot) + 1) / state.slots
        slowdown = self._health.slowdown(state.view.target)
        if slowdown > MIN_PENALIZED_SLOWDOWN:
            cost *= slowdown
        if state.view.data_centre != self._own_data_centre:
            cost += REMOTE_PENALTY
        return cost


def mean_peer_calls_per_slot(states: Sequence[TargetState]) -> float:
    """Return the mean reported calls per slot by other instances."""
    known = [
        (state.peer_calls(), state.slots) for state in states if state.load is not None
    ]
    slots = sum(slot_count for _, slot_count in known)
    return sum(peer_calls for peer_calls, _ in known) / slots if slots else 0.0


def estimated_calls(state: TargetState, peer_calls_per_slot: float) -> float:
    """Return own calls in flight plus the estimated calls of other instances."""
    mean_calls = peer_calls_per_slot * state.slots
    peer_calls = state.peer_calls()
    if peer_calls is None:
        return state.outstanding + mean_calls
    weight = state.report_weight()
    return state.outstanding + weight * peer_calls + (1 - weight) * mean_calls


def make_chooser(
    choice: Choice,
    random: Random,
    own_data_centre: DataCentreId,
    health: PoolHealth,
) -> Chooser:
    """Return the chooser for a setting."""
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
