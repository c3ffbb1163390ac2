"""Compares ways to roll new weights out over a pool of engines.

A plain cap on the engines out of service is compared with the rotating window of
Skourtis et al., "Latency Minimization in SSD Clusters for Free": engines on a ring,
all but a window of them serve only, and the window moves one place each frame.
Run it by ``python -m acaciapier_bench.rollout``.
"""

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from acaciapier.core.clock import ManualClock
from acaciapier.engines.allowance import max_out_of_service
from acaciapier.engines.rollout import EngineStatus, choose_by_cap

STEP_S = 1.0
MAX_S = 7_200.0
SEEDS = range(5)


@dataclass(frozen=True)
class Scenario:
    """A pool, its load times and its faults.

    Parameters
    ----------
    name : str
        Name in the table.
    size : int
        Engines of the pool.
    share_percent : float
        Most engines that may be out of service.
    demand_share : float
        Demand, as a share of the whole pool's capacity.
    median_load_s, sigma : float
        Lognormal time of one load, with the drain before it.
    straggler_share : float
        Share of loads that take `STRAGGLER_FACTOR` times as long.
    failures_per_engine_h : float
        Failures an engine and hour; it comes back after a pause, to be loaded.
    """

    name: str
    size: int = 24
    share_percent: float = 25.0
    demand_share: float = 0.8
    median_load_s: float = 30.0
    sigma: float = 0.3
    straggler_share: float = 0.0
    failures_per_engine_h: float = 0.0


STRAGGLER_FACTOR = 6.0
REPAIR_S = 20.0

SCENARIOS = (
    Scenario("even loads", sigma=0.05),
    Scenario("uneven loads"),
    Scenario("stragglers", straggler_share=0.05),
    Scenario("failures", failures_per_engine_h=2.0),
    Scenario(
        "failures and stragglers", straggler_share=0.05, failures_per_engine_h=2.0
    ),
    Scenario("large pool", size=96, straggler_share=0.05, failures_per_engine_h=1.0),
    Scenario("small pool", size=4, straggler_share=0.05),
)


@dataclass
class SimulatedEngine:
    """One engine on its way from the old weights to the new ones."""

    id: str
    done: bool = False
    loading: bool = False
    down: bool = False
    until_s: float = 0.0

    @property
    def in_service(self) -> bool:
        """Return whether it serves requests."""
        return not self.loading and not self.down

    def status(self) -> EngineStatus:
        """Return what a policy sees of it."""
        needs = not self.done and not self.loading and not self.down
        return EngineStatus(self.id, needs, self.in_service)


@dataclass
class Outcome:
    """What one run measured."""

    took_s: float = 0.0
    least_in_service: int = 10**9
    unserved_engine_s: float = 0.0
    over_cap_engine_s: float = 0.0


Policy = Callable[[Sequence[EngineStatus], float], list[str]]


@dataclass
class CapPolicy:
    """Starts loads as soon as the cap admits them.

    Parameters
    ----------
    scenario : Scenario
        The pool.
    factor : float
        The cap, in parts of the share that the scenario admits.
    """

    scenario: Scenario
    factor: float = 1.0

    def __call__(self, engines: Sequence[EngineStatus], now_s: float) -> list[str]:
        """Return the engines that start to load now."""
        share_percent = self.factor * self.scenario.share_percent
        most = max_out_of_service(len(engines), share_percent)
        return choose_by_cap(engines, len(engines), most)


@dataclass
class WindowPolicy:
    """Starts loads only in the window of the ring, which moves with time.

    Parameters
    ----------
    scenario : Scenario
        The pool.
    stay_factor : float
        How long an engine stays in the window, in median load times.
    capped : bool
        Whether the cap applies as well.
    """

    scenario: Scenario
    stay_factor: float
    capped: bool = False

    def __call__(self, engines: Sequence[EngineStatus], now_s: float) -> list[str]:
        """Return the engines that start to load now."""
        ring = sorted(engines, key=lambda one: one.id)
        width = max_out_of_service(len(ring), self.scenario.share_percent)
        stay_s = self.stay_factor * self.scenario.median_load_s
        first = int(now_s / (stay_s / width))
        window = {ring[(first + place) % len(ring)].id for place in range(width)}
        if not self.capped:
            return [one.id for one in ring if one.needs_load and one.id in window]
        limited = [
            EngineStatus(one.id, one.needs_load and one.id in window, one.in_service)
            for one in ring
        ]
        return choose_by_cap(limited, len(ring), width)


@dataclass
class Rollout:
    """One simulated roll-out on a clock that is moved by hand."""

    scenario: Scenario
    policy: Policy
    source: Random
    clock: ManualClock = field(default_factory=ManualClock)
    outcome: Outcome = field(default_factory=Outcome)

    def run(self) -> Outcome:
        """Run until every engine has the new weights, and return what was measured."""
        engines = [
            SimulatedEngine(f"e{number:04}") for number in range(self.scenario.size)
        ]
        while not all(one.done for one in engines):
            now_s = self.clock.monotonic_s()
            if now_s > MAX_S:
                break
            self._move(engines, now_s)
            by_id = {one.id: one for one in engines}
            for key in self.policy([one.status() for one in engines], now_s):
                by_id[key].loading = True
                by_id[key].until_s = now_s + self._draw_load_s()
            self._measure(engines)
            self.clock.advance(STEP_S)
        self.outcome.took_s = self.clock.monotonic_s()
        return self.outcome

    def _move(self, engines: Iterable[SimulatedEngine], now_s: float) -> None:
        """End loads and repairs that are due, and let engines fail."""
        chance = self.scenario.failures_per_engine_h * STEP_S / 3_600
        for one in engines:
            if (one.loading or one.down) and now_s >= one.until_s:
                one.done = one.done or one.loading
                one.loading = one.down = False
            if not one.down and chance and self.source.random() < chance:
                one.done = one.loading = False
                one.down = True
                one.until_s = now_s + REPAIR_S

    def _draw_load_s(self) -> float:
        load_s = self.scenario.median_load_s
        load_s *= self.source.lognormvariate(0.0, self.scenario.sigma)
        straggles = self.source.random() < self.scenario.straggler_share
        return load_s * STRAGGLER_FACTOR if straggles else load_s

    def _measure(self, engines: Sequence[SimulatedEngine]) -> None:
        serving = sum(one.in_service for one in engines)
        demand = self.scenario.demand_share * len(engines)
        most = max_out_of_service(len(engines), self.scenario.share_percent)
        loading = sum(one.loading for one in engines)
        outcome = self.outcome
        outcome.least_in_service = min(outcome.least_in_service, serving)
        outcome.unserved_engine_s += max(0.0, demand - serving) * STEP_S
        outcome.over_cap_engine_s += max(0, loading - most) * STEP_S


def policies_of(scenario: Scenario) -> dict[str, Policy]:
    """Return the policies to compare, by their names."""
    policies: dict[str, Policy] = {
        f"cap x {factor}": CapPolicy(scenario, factor) for factor in (1.0, 0.7, 0.5)
    }
    for factor in (1.0, 1.5, 2.5):
        policies[f"window {factor}"] = WindowPolicy(scenario, factor)
        policies[f"window {factor} + cap"] = WindowPolicy(scenario, factor, True)
    return policies


def compare(scenario: Scenario, seeds: Iterable[int]) -> dict[str, list[Outcome]]:
    """Return the outcomes of each policy, one a seed."""
    return {
        name: [Rollout(scenario, policy, Random(seed)).run() for seed in seeds]
        for name, policy in policies_of(scenario).items()
    }


def main() -> None:
    """Print a table of medians over the seeds."""
    print("scenario | policy | took s | least in service | unserved | over cap")
    for scenario in SCENARIOS:
        for name, outcomes in compare(scenario, SEEDS).items():
            print(_row(scenario, name, outcomes))


def _row(scenario: Scenario, name: str, outcomes: Sequence[Outcome]) -> str:
    took = statistics.median(one.took_s for one in outcomes)
    least = statistics.median(one.least_in_service for one in outcomes)
    unserved = statistics.median(one.unserved_engine_s for one in outcomes)
    over = statistics.median(one.over_cap_engine_s for one in outcomes)
    share = 100 * least / scenario.size
    return (
        f"{scenario.name} | {name} | {took:.0f} | {share:.0f}%"
        f" | {unserved:.0f} | {over:.0f}"
    )


if __name__ == "__main__":
    main()
