"""Which engines of a pool start to load next."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

TRIES_PER_ROOM = 2.0


@dataclass(frozen=True)
class EngineStatus:
    """One engine of a pool during a roll-out.

    Parameters
    ----------
    id : str
        Identity of the engine.
    needs_load : bool
        Whether it runs other weights than wanted.
    in_service : bool
        Whether it serves requests now.
    """

    id: str
    needs_load: bool
    in_service: bool


def choose_by_cap(
    engines: Sequence[EngineStatus], room: int, most_out: int
) -> list[str]:
    """Return the engines to load now under a cap on those out of service.

    Engines that are out of service and need a load go first, because loading them
    takes nothing away; the others follow in the order of their ids.

    Parameters
    ----------
    engines : sequence of EngineStatus
        The engines to choose from, with those out of service.
    room : int
        Loads that the weight store's allowance still admits.
    most_out : int
        Most of `engines` that may be out of service at once.
    """
    waiting = sorted(
        (one for one in engines if one.needs_load),
        key=lambda one: (one.in_service, one.id),
    )
    out = sum(not one.in_service for one in engines)
    chosen: list[str] = []
    for one in waiting:
        if len(chosen) == room:
            break
        if not one.in_service:
            chosen.append(one.id)
        elif out < most_out:
            chosen.append(one.id)
            out += 1
    return chosen


class AttemptPacer:
    """Keeps many holders from rushing for the same permit.

    A holder tries with a chance such that about `TRIES_PER_ROOM` of them try for each
    free permit. The chance doubles while permits stay free, since then few holders
    have engines left, and falls back after a refusal.

    Parameters
    ----------
    random : random.Random
        Source of the draws.
    """

    def __init__(self, random: Random):
        self._random = random
        self._factor = 1.0

    def admits(self, room: int, holders: int) -> bool:
        """Return whether to try for `room` free permits that `holders` share."""
        chance = self._factor * TRIES_PER_ROOM * room / holders
        if self._random.random() < chance:
            return True
        self._factor *= 2
        return False

    def slow_down(self) -> None:
        """Take a refusal: others were there first."""
        self._factor = 1.0
