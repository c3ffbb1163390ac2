"""What happens to a fleet during a run."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from .fleet import Fleet

FAULT_AFTER_S = 12.0
FAULT_GAP_S = 4.0
SLOW_FACTOR = 10.0

Fault = Callable[[Fleet], Awaitable[None]]


@dataclass(frozen=True)
class Scenario:
    """A load, as a share of the capacity, and a fault.

    Parameters
    ----------
    name : str
        Name on the command line.
    load : float
        Arrivals as a share of what the scarcest pool can serve.
    fault : callable or None
        What goes wrong.
    poison : bool
        Whether one caller sends a request that crashes its engine, again and
        again.
    """

    name: str
    load: float
    fault: Fault | None = None
    poison: bool = False


async def slow_target(fleet: Fleet) -> None:
    """Make one engine ten times slower."""
    await trio.sleep(FAULT_AFTER_S)
    fleet.targets["generate-1"].slow_factor = SLOW_FACTOR


async def slow_from_start(fleet: Fleet) -> None:
    """Make one engine ten times slower before the first request."""
    fleet.targets["generate-1"].slow_factor = SLOW_FACTOR


async def crash_targets(fleet: Fleet) -> None:
    """Crash an engine, later two at once, and then a reranker."""
    await trio.sleep(FAULT_AFTER_S)
    fleet.targets["generate-0"].crash()
    await trio.sleep(FAULT_GAP_S)
    fleet.targets["generate-1"].crash()
    fleet.targets["generate-2"].crash()
    await trio.sleep(FAULT_GAP_S)
    fleet.targets["rerank-0"].crash()


async def kill_entries(fleet: Fleet) -> None:
    """Kill one entry instance, and another one later."""
    await trio.sleep(FAULT_AFTER_S)
    fleet.entries[0].kill()
    await trio.sleep(FAULT_GAP_S)
    fleet.entries[1].kill()


SCENARIOS = {
    one.name: one
    for one in (
        Scenario("calm", 0.5),
        Scenario("busy", 0.9),
        Scenario("full", 1.0),
        Scenario("burst", 3.0),
        Scenario("straggler", 0.5, slow_target),
        Scenario("straggler-from-start", 0.5, slow_from_start),
        Scenario("crashes", 0.5, crash_targets),
        Scenario("poison", 0.5, poison=True),
        Scenario("entry-kill", 0.5, kill_entries),
    )
}
