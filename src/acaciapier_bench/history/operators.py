"""Lets operators race over real processes under faults, and checks the log."""

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import trio
from rich.console import Console

from ..deployment import Deployment
from ..plans import riviere_noire
from .faults import ADMIN_KINDS, STORE_KINDS, FaultInjector
from .operator_checker import LogViolation, check_operators
from .operator_records import OperatorHistory
from .racing import AdminCaller, RacingOperator
from .seeds import choose_faults, run_seeds
from .watching import NumberWatcher, read_log, read_objects

ADMINS = 2
ENTRIES = 2
ENGINES = 1
FAULTS = tuple(ADMIN_KINDS | STORE_KINDS)


@dataclass(frozen=True)
class OperatorsOptions:
    """One run: its seed, length, operators and faults."""

    seed: int
    seconds: float
    operators: int = 4
    kinds: tuple[str, ...] = FAULTS
    timed: bool = True


@dataclass(frozen=True)
class OperatorsResult:
    """What a run came to."""

    options: OperatorsOptions
    history: OperatorHistory
    violations: list[LogViolation]
    faults: list[str]

    def outcomes(self) -> dict[str, int]:
        """Return the number of sendings by outcome."""
        counts = Counter(
            answer.outcome.value
            for patch in self.history.patches
            for answer in patch.answers
        )
        return dict(counts.most_common())


async def run_operators(options: OperatorsOptions, directory: Path) -> OperatorsResult:
    """Race operators under faults, then check what they were told."""
    plan = riviere_noire(entries=ENTRIES, engines=ENGINES, others=("admin",) * ADMINS)
    rng = random.Random(options.seed)
    async with Deployment(plan, directory) as deployment:
        await deployment.start()
        operators = [
            RacingOperator(
                f"operator-{number}",
                deployment.admins,
                random.Random(rng.getrandbits(64)),
            )
            for number in range(1, options.operators + 1)
        ]
        injectors = _injectors(deployment, rng, options.kinds)
        caller = AdminCaller()
        watcher = NumberWatcher(deployment, caller)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await _race(operators, injectors, options)
            await clear_faults(deployment)
            cleared_s = trio.current_time()
            log = await read_log(caller, deployment.admins)
            settled_ms = await watcher.wait_for(log[-1].number, cleared_s)
            nursery.cancel_scope.cancel()
        objects = await read_objects(caller, deployment.admins)
        log = await read_log(caller, deployment.admins)
        await caller.aclose()
    history = OperatorHistory(
        patches=[record for one in operators for record in one.records],
        numbers=watcher.records,
        changes=log,
        objects=list(objects.objects),
        settled_ms=settled_ms,
    )
    violations = check_operators(history, options.timed)
    lines = sorted(line for one in injectors for line in one.log.lines)
    return OperatorsResult(options, history, violations, lines)


def _injectors(
    deployment: Deployment, rng: random.Random, kinds: tuple[str, ...]
) -> list[FaultInjector]:
    """Return one injector for administration instances and one for the store."""
    groups = [
        [kind for kind in kinds if kind in group]
        for group in (ADMIN_KINDS, STORE_KINDS)
    ]
    return [
        FaultInjector(deployment, random.Random(rng.getrandbits(64)), group)
        for group in groups
        if group
    ]


async def _race(
    operators: list[RacingOperator],
    injectors: list[FaultInjector],
    options: OperatorsOptions,
) -> None:
    async with trio.open_nursery() as faults:
        for injector in injectors:
            faults.start_soon(injector.run)
        async with trio.open_nursery() as nursery:
            for operator in operators:
                nursery.start_soon(operator.run, options.seconds)
        faults.cancel_scope.cancel()


async def clear_faults(deployment: Deployment) -> None:
    """End all faults: the store answers and every administration instance runs."""
    await deployment.control("object-api", {"reset": True})
    for member in deployment.admins:
        deployment.thaw(member.name)
        if member.process.poll() is not None:
            await deployment.restart(member.name)


@cappa.command(name="operators")
@dataclass
class OperatorsCommand:
    """Race operators under faults and check the log of accepted changes."""

    seeds: Annotated[list[int] | None, cappa.Arg(long="seed")] = None
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    operators: Annotated[int, cappa.Arg(long=True)] = 4
    faults: Annotated[
        list[str] | None, cappa.Arg(long="fault", help=f"of {', '.join(FAULTS)}")
    ] = None
    timed: Annotated[
        bool, cappa.Arg(long="--timed/--untimed", help="check bounds on time")
    ] = True
    keep: Annotated[Path | None, cappa.Arg(long=True, help="where to keep logs")] = None

    def __call__(self) -> None:
        """Run all seeds; exit with 1 if a condition did not hold."""
        run_seeds("operators", self.seeds or [1], self.keep, self._run, show_result)

    async def _run(self, seed: int, directory: Path) -> OperatorsResult:
        options = OperatorsOptions(
            seed=seed,
            seconds=self.seconds,
            operators=self.operators,
            kinds=choose_faults(self.faults, FAULTS),
            timed=self.timed,
        )
        return await run_operators(options, directory)


def show_result(result: OperatorsResult, console: Console) -> None:
    """Print what a run came to."""
    history = result.history
    settled = "never"
    if history.settled_ms is not None:
        settled = f"after {history.settled_ms:.0f} ms"
    console.print(
        f"seed {result.options.seed}: {len(history.patches)} patches, "
        f"{len(history.changes)} changes, {len(history.numbers)} numbers, "
        f"{len(result.faults)} faults, in force everywhere {settled}, "
        f"{len(result.violations)} violations"
    )
    for outcome, count in result.outcomes().items():
        console.print(f"  {count:5d} {outcome}")
    for violation in result.violations:
        console.print(f"  [red]{violation}[/red]", highlight=False)
