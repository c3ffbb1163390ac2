"""Replaces the gateways of one build by another, one after the other."""

import random as random_module
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

from .builds import Build

FIRST_S = 1.0
"""Time for which all gateways still run the earlier build."""

REPLACED_SHARE = 0.6
"""Share of the time of the faults within which all are replaced."""


class Replacement(Enum):
    """How a gateway is replaced by one of another build."""

    STOP = "stop"
    KILL = "kill"
    JOIN = "join"
    """It leaves for good, and a new one joins at another address."""


class Course(Enum):
    """How far a rollout goes."""

    COMPLETE = "complete"
    HALFWAY = "halfway"
    BACK = "back"
    """All gateways are replaced, and return to the earlier build afterwards."""


class Rollout:
    """Replaces all gateways at times that the seed picks.

    Parameters
    ----------
    earlier, later : Build
        What runs before and after.
    gateways : list of str
        Names of the gateways.
    random : random.Random
        Choices.
    replace : callable
        Replaces one gateway, given its name, the build and how; returns the name of the
        gateway in its place.
    ways : list of Replacement
        Ways to pick from.
    """

    def __init__(
        self,
        earlier: Build,
        later: Build,
        gateways: list[str],
        random: random_module.Random,
        replace: Callable[[str, Build, Replacement], Awaitable[str]],
        ways: list[Replacement],
    ):
        self.course = random.choice(list(Course))
        self.done: list[str] = []
        """A line for each replacement."""
        self._earlier = earlier
        self._later = later
        self._gateways = gateways
        self._random = random
        self._replace = replace
        self._ways = ways

    async def run(self, seconds: float) -> None:
        """Replace the gateways while faults are played for `seconds`."""
        count = len(self._gateways)
        names = self._random.sample(self._gateways, count)
        if self.course is Course.HALFWAY:
            names = names[: max(1, count // 2)]
        await trio.sleep(FIRST_S)
        steps = count * (2 if self.course is Course.BACK else 1)
        pause_s = REPLACED_SHARE * seconds / steps
        fresh = [await self._replace_one(name, self._later, pause_s) for name in names]
        if self.course is Course.BACK:
            for name in fresh:
                await self._replace_one(name, self._earlier, pause_s)

    async def _replace_one(self, name: str, build: Build, pause_s: float) -> str:
        way = self._random.choice(self._ways)
        self.done.append(f"{name} to {build.name} by {way.value}")
        fresh = await self._replace(name, build, way)
        await trio.sleep(self._random.uniform(0.5, 1.5) * pause_s)
        return fresh
