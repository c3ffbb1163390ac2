"""The subcommand `soak`."""

import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from .builds import Build, BuildError, make_build
from .plan import ALL_FAULTS, FAULTS, SoakPlan
from .run import run_soak


@cappa.command(name="soak")
@dataclass
class SoakCommand:
    """Run real gateways under random faults and check the platform's promises."""

    seed: Annotated[list[int], cappa.Arg(long=True, help="Seeds to run.")] = field(
        default_factory=list
    )
    fresh_minutes: Annotated[
        float, cappa.Arg(long=True, help="Run fresh seeds for so long.")
    ] = 0.0
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the faults.")] = 8.0
    gateways: Annotated[int, cappa.Arg(long=True, help="Gateway processes.")] = 3
    callers: Annotated[int, cappa.Arg(long=True, help="Callers.")] = 8
    earlier_faults: Annotated[
        bool, cappa.Arg(long=True, help="Without announcements and restored stores.")
    ] = False
    fault: Annotated[
        list[str], cappa.Arg(long=True, help="Faults to play instead of all.")
    ] = field(default_factory=list)
    production: Annotated[
        str | None,
        cappa.Arg(long=True, help="Commit that runs first and is replaced meanwhile."),
    ] = None
    keep: Annotated[
        Path | None, cappa.Arg(long=True, help="Folder for settings and logs.")
    ] = None

    def __call__(self) -> None:
        """Run all seeds; exit with 1 if a promise was broken."""
        if self.production is None:
            self._run(None)
            return
        with tempfile.TemporaryDirectory() as made:
            try:
                earlier = make_build(self.production, Path(made))
            except BuildError as error:
                raise cappa.Exit(str(error), code=2) from error
            self._run(earlier)

    def _run(self, earlier: Build | None) -> None:
        broken = False
        for seed in self._seeds():
            faults = FAULTS if self.earlier_faults else ALL_FAULTS
            faults = tuple(self.fault) or faults
            plan = SoakPlan(seed, self.seconds, self.gateways, self.callers, faults)
            folder = self.keep / str(seed) if self.keep else None
            report = run_soak(plan, folder, earlier)
            lines = report.replaced + report.partitions
            print(report.summary(), *lines, sep="\n  ", flush=True)
            for line in report.broken:
                print(f"  {line}", flush=True)
            broken = broken or bool(report.broken)
        if broken:
            sys.exit(1)

    def _seeds(self):
        yield from self.seed
        until_s = time.monotonic() + 60.0 * self.fresh_minutes
        while time.monotonic() < until_s:
            yield random.SystemRandom().randrange(1_000_000)
