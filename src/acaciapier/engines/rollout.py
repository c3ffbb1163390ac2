"""Selection of the engines of a pool that start to load next."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

ATTEMPTS_PER_PERMIT = 2.0


@dataclass(frozen=True)
class EngineStatus:
    """One engine of a pool during a roll-out.

    Parameters
    ----------
    id : str
        Identity of the engine.
    needs_load : bool
        Whether it needs other weights than those in memory.
    in_service : bool
        Whether it serves requests.
    """

    id: str
    needs_load: bool
    in_service: bool


def choose_by_cap(
    engines: Sequence[EngineStatus], free_permits: int, max_out: int
) -> list[str]:
    """Return the engines to load now, with a cap on those out of service.

    Engines that are already out of service come first, because loading them does not
    reduce the serving capacity. The others follow in the order of their ids.

    Parameters
    ----------
    engines : sequence of EngineStatus
        All engines of the pool, including those out of service.
    free_permits : int
        Number of loads that may still start in the fleet.
    max_out : int
        Maximum number of `engines` that may be out of service at once.
    """
    candidates = sorted(
        (engine for engine in engines if engine.needs_load),
        key=lambda engine: (engine.in_service, engine.id),
    )
    out = sum(not engine.in_service for engine in engines)
    chosen: list[str] = []
    for engine in candidates:
        if len(chosen) == free_permits:
            break
        if not engine.in_service:
            chosen.append(engine.id)
        elif out < max_out:
            chosen.append(engine.id)
            out += 1
    return chosen


class AttemptPacer:
    """Limits how many holders compete for the same permit.

    Each holder attempts with a probability such that about `ATTEMPTS_PER_PERMIT`
    holders attempt for each free permit. The probability doubles while permits stay
    free, since then few holders have engines left to load, and returns to its initial
    value after a refusal.

    Parameters
    ----------
    random : random.Random
        Source of randomness.
    """

    def __init__(self, random: Random):
        self._random = random
        self._chance_factor = 1.0

    def should_attempt(self, free_permits: int, holder_count: int) -> bool:
        """Return whether to attempt to acquire free permits now."""
        chance = self._chance_factor * ATTEMPTS_PER_PERMIT * free_permits / holder_count
        if self._random.random() < chance:
            return True
        self._chance_factor *= 2
        return False

    def record_refusal(self) -> None:
        """Reset the probability, since other holders took the permits."""
        self._chance_factor = 1.0
