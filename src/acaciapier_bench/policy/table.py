"""Results of several runs as a table with means and spreads."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import mean

from .measure import RunResult

HEADINGS = (
    "scenario",
    "variant",
    "attainment %",
    "goodput /s",
    "p50 ms",
    "p99 ms",
    "calls per request",
    "retries %",
    "hedges %",
    "waste by stage %",
    "poison crashes",
)


@dataclass(frozen=True)
class PolicyRow:
    """One variant in one scenario, over all seeds."""

    scenario: str
    variant: str
    runs: tuple[RunResult, ...]

    def cells(self) -> list[str]:
        """Return the row's cells; means, with lowest and highest in brackets."""
        return [
            self.scenario,
            self.variant,
            _spread([100 * one.attainment for one in self.runs], 1),
            _spread([one.goodput_per_s for one in self.runs], 1),
            _spread([one.percentile_ms(0.5) for one in self.runs], 0),
            _spread([one.percentile_ms(0.99) for one in self.runs], 0),
            _spread([one.calls_per_request for one in self.runs], 2),
            _spread([100 * one.retry_share for one in self.runs], 1),
            _spread([100 * one.hedge_share for one in self.runs], 1),
            self._waste(),
            str(max(one.poison_crashes for one in self.runs)),
        ]

    def outcomes(self) -> Counter[str]:
        """Return how the requests of all runs ended."""
        return sum((one.outcomes for one in self.runs), Counter())

    def _waste(self) -> str:
        stages = self.runs[0].wasted_share
        shares = {
            stage: mean(one.wasted_share.get(stage, 0.0) for one in self.runs)
            for stage in stages
        }
        return ", ".join(f"{stage} {100 * shares[stage]:.1f}" for stage in stages)


@dataclass
class PolicyTable:
    """All rows of one command."""

    deployment: str
    entries: int
    seconds: float
    seeds: tuple[int, ...]
    rows: list[PolicyRow] = field(default_factory=list)

    def row(self, scenario: str, variant: str) -> PolicyRow:
        """Return the row of a scenario and a variant."""
        return next(
            one
            for one in self.rows
            if one.scenario == scenario and one.variant == variant
        )

    def markdown(self) -> str:
        """Return the table in Markdown, below a line that says what was run."""
        seeds = ", ".join(map(str, self.seeds))
        title = (
            f"{self.deployment}, {self.entries} entries, {self.seconds:g} s of "
            f"arrivals, seeds {seeds}: mean (lowest to highest)"
        )
        lines = [title, "", _line(HEADINGS), _line(["---"] * len(HEADINGS))]
        lines += [_line(row.cells()) for row in self.rows]
        return "\n".join(lines)


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _spread(values: list[float], digits: int) -> str:
    low, high = min(values), max(values)
    return f"{mean(values):.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"
