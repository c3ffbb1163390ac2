"""A frozen process in a fleet of real ones: who is declared dead by whom."""

import os
import signal
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from .fleet import FleetRun

RECOVERY_LIMIT_S = 60.0
POLL_S = 0.5


@dataclass(frozen=True)
class FreezeOutcome:
    """What followed a freeze of one process by SIGSTOP.

    Parameters
    ----------
    freeze_s : float
        Length of the freeze.
    nodes : int
        Nodes in all, one for each process.
    declared_dead_by : int
        Nodes that thought the frozen one dead at some time.
    false_deaths : int
        Times that a node thought one dead that was not frozen.
    recovery_s : float
        Time from the thaw until all nodes see all; negative if they never did.
    """

    freeze_s: float
    nodes: int
    declared_dead_by: int
    false_deaths: int
    recovery_s: float


def measure_freeze(nodes: int, freeze_s: float, settle_s: float) -> FreezeOutcome:
    """Freeze one of `nodes` processes and observe the others and itself."""
    run = FleetRun(nodes, processes=nodes, targets=0)
    try:
        run.join(settle_s)
        frozen = run.names[-1]
        pid = run.process_of(frozen).pid
        os.kill(pid, signal.SIGSTOP)
        try:
            time.sleep(freeze_s)
        finally:
            os.kill(pid, signal.SIGCONT)
        return _observe(run, frozen, nodes, freeze_s)
    finally:
        run.close()


def _observe(run: FleetRun, frozen: str, nodes: int, freeze_s: float) -> FreezeOutcome:
    start_s = time.monotonic()
    observers, false_deaths = set(), 0
    recovery_s = -1.0
    while time.monotonic() - start_s < RECOVERY_LIMIT_S:
        time.sleep(POLL_S)
        readings = run.read()
        for reading in readings:
            for observer, name, _ in reading.deaths:
                if name == frozen and observer != frozen:
                    observers.add(observer)
                else:
                    false_deaths += 1
        known = [count for reading in readings for count in reading.known]
        if recovery_s < 0 and all(count == nodes for count in known):
            recovery_s = time.monotonic() - start_s
            start_s = time.monotonic() - RECOVERY_LIMIT_S + 10.0
    return FreezeOutcome(freeze_s, nodes, len(observers), false_deaths, recovery_s)


@cappa.command(name="freeze")
@dataclass
class FreezeCommand:
    """Freeze one process of a fleet and report who was declared dead."""

    nodes: Annotated[int, cappa.Arg(long=True)] = 9
    freezes_s: Annotated[list[float], cappa.Arg(long=True)] = (2.0, 20.0)
    settle_s: Annotated[float, cappa.Arg(long=True)] = 12.0

    def __call__(self) -> None:
        """Print one outcome for each length."""
        for freeze_s in self.freezes_s:
            print(measure_freeze(self.nodes, freeze_s, self.settle_s))


if __name__ == "__main__":
    cappa.invoke(FreezeCommand)
