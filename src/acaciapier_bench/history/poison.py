"""A request that crashes each target that runs it, sent again and again."""

import os
import random
import shutil
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import trio
from rich.console import Console

from acaciapier import AcaciapierError, RequestError, Session
from acaciapier.core.clock import to_s

from ..deployment import Deployment
from ..plans import riviere_noire
from .callers import CallerOptions, Callers
from .checker import Violation, check_history, check_poison
from .records import History, latest_work
from .run import DEADLINE_MS, pipeline_uses, pipelines_of

CRASH_STATUS = 137
RESTART_AFTER_S = 0.5
WATCH_INTERVAL_S = 0.05
RESENDS = 8
DEFAULT_RETRY_AFTER_MS = 200
BLOCKED = "blocked"


@dataclass
class PoisonResult:
    """What a run of poisonous requests came to."""

    crashes: list[str] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    innocent_blocked: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)


class Supervisor:
    """Starts targets again that have crashed, as the platform does."""

    def __init__(self, deployment: Deployment, result: PoisonResult):
        self._deployment = deployment
        self._result = result

    async def run(self) -> None:
        """Watch all targets for ever."""
        async with trio.open_nursery() as nursery:
            for member in self._deployment.targets:
                nursery.start_soon(self._watch, member.name)

    async def _watch(self, name: str) -> None:
        while True:
            if self._deployment.members[name].process.poll() == CRASH_STATUS:
                self._result.crashes.append(name)
                await trio.sleep(RESTART_AFTER_S)
                await self._deployment.restart(name)
            await trio.sleep(WATCH_INTERVAL_S)


async def run_poison(seed: int, directory: Path) -> PoisonResult:
    """Send one poisonous content again and again among innocent requests."""
    result = PoisonResult()
    rng = random.Random(seed)
    plan = riviere_noire(entries=3, engines=4)
    async with Deployment(plan, directory) as deployment:
        await deployment.start()
        urls = tuple(member.url for member in deployment.entries)
        uses = tuple(use for use in pipeline_uses() if use.repeatable)
        options = CallerOptions(urls, uses, 6.0, 12.0, DEADLINE_MS)
        callers = Callers(options, random.Random(rng.getrandbits(64)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Supervisor(deployment, result).run)
            async with trio.open_nursery() as work:
                work.start_soon(callers.run)
                work.start_soon(_send_poison, urls, rng, result)
            nursery.cancel_scope.cancel()
        history = History(
            callers=callers.records, work=latest_work(deployment.book_lines())
        )
    result.innocent_blocked = [
        record.request_id for record in history.callers if record.cause == BLOCKED
    ]
    result.violations = check_history(history, pipelines_of(plan.bundle))
    result.violations += check_poison({"poison": len(result.crashes)})
    return result


async def _send_poison(
    urls: tuple[str, ...], rng: random.Random, result: PoisonResult
) -> None:
    """Send the content with a new id each time, when the caller may come back."""
    content: dict[str, Any] = {"text": "a drawing", "poison": True}
    for _ in range(RESENDS):
        async with Session([rng.choice(urls)], "test-token-hotels") as session:
            wait_ms = DEFAULT_RETRY_AFTER_MS
            try:
                await session.run("quote-short", content, deadline_ms=DEADLINE_MS)
                result.answers.append("done")
            except RequestError as error:
                final = error.final
                cause = final.cause.value if final.cause else ""
                result.answers.append(f"{final.outcome.value} ({cause})")
                wait_ms = final.retry_after_ms or wait_ms
            except AcaciapierError as error:
                result.answers.append(type(error).__name__)
            await trio.sleep(to_s(min(wait_ms, 1_000)))


@cappa.command(name="poison")
@dataclass
class PoisonCommand:
    """Send a request that crashes its targets, and count the crashes."""

    seeds: Annotated[list[int] | None, cappa.Arg(long="seed")] = None

    def __call__(self) -> None:
        """Run all seeds; exit with 1 if a condition did not hold."""
        console = Console(width=150)
        failed = False
        for seed in self.seeds or [1]:
            directory = Path(os.path.realpath("/tmp")) / f"poison-{os.getpid()}-{seed}"
            directory.mkdir()
            result = trio.run(run_poison, seed, directory)
            console.print(f"seed {seed}: crashes {result.crashes}")
            console.print(f"  answers {result.answers}")
            console.print(f"  innocent requests blocked: {result.innocent_blocked}")
            for violation in result.violations:
                console.print(f"  {violation}")
            failed |= bool(result.violations or result.innocent_blocked)
            shutil.rmtree(directory)
        raise cappa.Exit(code=1 if failed else 0)
