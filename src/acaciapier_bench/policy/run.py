"""Runs scenarios and variants with several seeds."""

from collections.abc import Callable
from dataclasses import dataclass

from .deployments import DEPLOYMENTS
from .measure import Measurement
from .scenarios import SCENARIOS
from .table import PolicyRow, PolicyTable
from .variants import VARIANTS

DEFAULT_SEEDS = (1, 2, 3, 4, 5)
DEFAULT_SECONDS = 15.0


@dataclass(frozen=True)
class PolicyOptions:
    """What to run.

    Parameters
    ----------
    deployment : str
        Name of a deployment.
    scenarios, variants : tuple of str
        Names of what to run; each variant runs in each scenario.
    seeds : tuple of int
        One run for each.
    entries : int
        Number of entry instances.
    seconds : float
        Time of arrivals that is counted.
    """

    deployment: str = "riviere-noire"
    scenarios: tuple[str, ...] = tuple(SCENARIOS)
    variants: tuple[str, ...] = tuple(VARIANTS)
    seeds: tuple[int, ...] = DEFAULT_SEEDS
    entries: int = 9
    seconds: float = DEFAULT_SECONDS


def run_policy(
    options: PolicyOptions, on_row: Callable[[PolicyRow], None] = lambda row: None
) -> PolicyTable:
    """Run all combinations and return their table.

    Parameters
    ----------
    options : PolicyOptions
        What to run.
    on_row : callable
        Receives each row as soon as it is measured.
    """
    table = PolicyTable(
        options.deployment, options.entries, options.seconds, options.seeds
    )
    for scenario in options.scenarios:
        for variant in options.variants:
            row = _run_row(options, scenario, variant)
            table.rows.append(row)
            on_row(row)
    return table


def _run_row(options: PolicyOptions, scenario: str, variant: str) -> PolicyRow:
    runs = tuple(
        Measurement(
            DEPLOYMENTS[options.deployment],
            SCENARIOS[scenario],
            variant,
            options.entries,
            options.seconds,
            seed,
        ).run()
        for seed in options.seeds
    )
    return PolicyRow(scenario, variant, runs)
