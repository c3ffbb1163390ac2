"""Runs a history of concurrent processes under faults and checks it."""

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import trio
from rich.console import Console

from acaciapier.objects import Pipeline, load_bundle

from ..deployment import Deployment
from ..plans import riviere_noire
from .callers import CallerOptions, Callers, PipelineUse
from .checker import Violation, check_graceful_stop, check_history
from .faults import KINDS, FaultInjector
from .records import History, latest_work
from .seeds import choose_faults, run_seeds

DEADLINE_MS = 6_000
WORKSPACES = ("hotels", "agents")
REPEATABLE = ("quote-short", "delivery")
CLAIMED = ("confirm-order", "book-dispatch")
SETTLE_S = 1.0
GRACEFUL_KINDS = frozenset(("stop-entry",))


@dataclass(frozen=True)
class HistoryOptions:
    """One run: its seed, length, load and faults."""

    seed: int
    seconds: float
    rate_per_s: float
    kinds: tuple[str, ...]
    entries: int = 3
    injectors: int = 1
    timed: bool = True


@dataclass(frozen=True)
class HistoryResult:
    """What a run came to."""

    options: HistoryOptions
    history: History
    violations: list[Violation]
    faults: list[str]

    def outcomes(self) -> dict[str, int]:
        """Return the number of sendings by outcome and cause."""
        counts: Counter[str] = Counter()
        for record in self.history.callers:
            cause = f" ({record.cause})" if record.cause else ""
            counts[f"{record.outcome}{cause}"] += 1
        return dict(counts.most_common())


async def run_history(options: HistoryOptions, directory: Path) -> HistoryResult:
    """Run callers and faults against a deployment, then check the books."""
    plan = riviere_noire(entries=options.entries, engines=3)
    rng = random.Random(options.seed)
    async with Deployment(plan, directory) as deployment:
        await deployment.start()
        callers = Callers(
            CallerOptions(
                urls=tuple(member.url for member in deployment.entries),
                uses=pipeline_uses(),
                rate_per_s=options.rate_per_s,
                seconds=options.seconds,
                deadline_ms=DEADLINE_MS,
            ),
            random.Random(rng.getrandbits(64)),
        )
        injectors = [
            FaultInjector(deployment, random.Random(rng.getrandbits(64)), options.kinds)
            for _ in range(options.injectors)
        ]
        async with trio.open_nursery() as nursery:
            for injector in injectors:
                if options.kinds:
                    nursery.start_soon(injector.run)
            await callers.run()
            nursery.cancel_scope.cancel()
        await trio.sleep(SETTLE_S)
        work = latest_work(deployment.book_lines())
    leaving = [record for one in injectors for record in one.log.leaving]
    history = History(callers=callers.records, work=work, leaving=leaving)
    violations = check_history(history, pipelines_of(plan.bundle), options.timed)
    if options.kinds and set(options.kinds) <= GRACEFUL_KINDS:
        violations += check_graceful_stop(history)
    lines = sorted(line for one in injectors for line in one.log.lines)
    return HistoryResult(options, history, violations, lines)


def pipeline_uses() -> tuple[PipelineUse, ...]:
    """Return the pipelines that callers of a history use."""
    uses = []
    for workspace in WORKSPACES:
        token = f"test-token-{workspace}"
        uses += [PipelineUse(name, workspace, token, True) for name in REPEATABLE]
        uses += [PipelineUse(name, workspace, token, False) for name in CLAIMED]
        uses.append(PipelineUse("quote-short", workspace, token, False))
    return tuple(uses)


def pipelines_of(bundle: Path) -> dict[str, Pipeline]:
    """Return the pipelines of a bundle by name."""
    objects = load_bundle(bundle)
    return {one.name: one for one in objects if isinstance(one, Pipeline)}


@cappa.command(name="history")
@dataclass
class HistoryCommand:
    """Run processes under faults and check what callers and targets wrote down."""

    seeds: Annotated[list[int] | None, cappa.Arg(long="seed")] = None
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    rate_per_s: Annotated[float, cappa.Arg(long="rate")] = 8.0
    faults: Annotated[
        list[str] | None, cappa.Arg(long="fault", help=f"of {', '.join(KINDS)}")
    ] = None
    injectors: Annotated[int, cappa.Arg(long=True, help="faults at a time")] = 1
    entries: Annotated[int, cappa.Arg(long=True)] = 3
    keep: Annotated[Path | None, cappa.Arg(long=True, help="where to keep logs")] = None

    def __call__(self) -> None:
        """Run all seeds; exit with 1 if a condition did not hold."""
        run_seeds("history", self.seeds or [1], self.keep, self._run, show_result)

    async def _run(self, seed: int, directory: Path) -> HistoryResult:
        options = HistoryOptions(
            seed=seed,
            seconds=self.seconds,
            rate_per_s=self.rate_per_s,
            kinds=choose_faults(self.faults, KINDS),
            entries=self.entries,
            injectors=self.injectors,
        )
        return await run_history(options, directory)


def show_result(result: HistoryResult, console: Console) -> None:
    """Print what a run came to."""
    history = result.history
    console.print(
        f"seed {result.options.seed}: {len(history.callers)} sendings, "
        f"{len(history.work)} pieces of work, {len(result.faults)} faults, "
        f"{len(result.violations)} violations"
    )
    for outcome, count in result.outcomes().items():
        console.print(f"  {count:5d} {outcome}")
    for violation in result.violations:
        console.print(f"  [red]{violation}[/red]", highlight=False)
