"""The command `acaciapier-bench policy`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .deployments import DEPLOYMENTS
from .run import DEFAULT_SECONDS, PolicyOptions, run_policy
from .scenarios import SCENARIOS
from .table import PolicyRow
from .variants import VARIANTS

USAGE_ERROR = 2


@cappa.command(name="policy")
@dataclass
class Policy:
    """Measure routing, limits and retries against baselines on a mock clock."""

    deployment: Annotated[str, cappa.Arg(long=True)] = "riviere-noire"
    """Name of the deployment: riviere-noire or kartvel."""

    scenarios: Annotated[str, cappa.Arg(long=True)] = ",".join(SCENARIOS)
    """Scenarios to run, separated by commas."""

    variants: Annotated[str, cappa.Arg(long=True)] = ",".join(VARIANTS)
    """Variants to run, separated by commas."""

    seeds: Annotated[str, cappa.Arg(long=True)] = "1,2,3,4,5"
    """Seeds, separated by commas."""

    entries: Annotated[int, cappa.Arg(long=True)] = 9
    """Number of entry instances."""

    seconds: Annotated[float, cappa.Arg(long=True)] = DEFAULT_SECONDS
    """Time of arrivals that is counted."""

    def __call__(self) -> None:
        """Run and print the table, and how requests ended."""
        options = PolicyOptions(
            deployment=_known(self.deployment, DEPLOYMENTS)[0],
            scenarios=_known(self.scenarios, SCENARIOS),
            variants=_known(self.variants, VARIANTS),
            seeds=tuple(int(seed) for seed in self.seeds.split(",")),
            entries=self.entries,
            seconds=self.seconds,
        )
        table = run_policy(options, _print_outcomes)
        print(table.markdown())


def _print_outcomes(row: PolicyRow) -> None:
    counts = ", ".join(f"{name} {n}" for name, n in row.outcomes().most_common())
    print(f"{row.scenario}, {row.variant}: {counts}", flush=True)


def _known(text: str, names) -> tuple[str, ...]:
    wanted = tuple(text.split(","))
    unknown = [name for name in wanted if name not in names]
    if unknown:
        message = f"unknown: {', '.join(unknown)}; known: {', '.join(names)}"
        raise cappa.Exit(message, code=USAGE_ERROR)
    return wanted
