"""Restarts and replacements of workers with other software versions."""

import random as random_module
import time
from collections.abc import Awaitable, Callable, Container
from typing import Any

import trio

from acaciapier_standins.platform.example import KINDS
from acaciapier_standins.platform.platform import StandInPlatform

from .proxy import Link
from .streams import Lifetime

STREAMING = "model"
"""The service whose workers write streams."""

EVENT_GAP_S = 0.1
REMOVED_AFTER_S = 2.5
"""Time after which a worker leaves that reported that it drains."""


class Releases:
    """Gives the workers that write streams other software versions.

    Parameters
    ----------
    platform : StandInPlatform
        Runs the workers.
    links : dict of str to Link
        Links to the workers; replaced workers are removed.
    drained_s : dict of str to float
        When workers were reported as draining.
    add_worker : callable
        Starts a worker of a name, service, kind and version.
    nursery : trio.Nursery
        Runs what goes on in the background.
    """

    def __init__(
        self,
        platform: StandInPlatform,
        links: dict[str, Link],
        drained_s: dict[str, float],
        add_worker: Callable[[str, str, str, str], Awaitable[None]],
        nursery: trio.Nursery,
    ):
        self.lifetimes: list[Lifetime] = []
        self._platform = platform
        self._links = links
        self._drained_s = drained_s
        self._add_worker = add_worker
        self._nursery = nursery
        self._restarting: set[str] = set()
        self._count = 0

    def begin(self, name: str, kind: str, version: str) -> dict[str, Any]:
        """Note the start of a worker and return what it is started with."""
        if kind != KINDS[STREAMING]:
            return {"version": version}
        self.lifetimes.append(Lifetime(name, version, trio.current_time()))
        return {"version": version, "gap_s": EVENT_GAP_S}

    def end(self, name: str) -> None:
        """Note that a worker leaves or serves less from now on."""
        for lifetime in self.lifetimes:
            if lifetime.worker == name:
                lifetime.until_s = min(lifetime.until_s, trio.current_time())

    async def upgrade(
        self, random: random_module.Random, leaving: Container[str]
    ) -> None:
        """Start a worker again under its id with another software version.

        Its entry tells the version a short while after it serves.
        """
        names = self._names()
        name = random.choice(names)
        if name in leaving or name in self._drained_s or name in self._restarting:
            return
        self._restarting.add(name)
        worker, link = self._platform.workers[name], self._links[name]
        self.end(name)
        link.faults.refuse = True
        link.reset_all()
        versions = {self._platform.workers[other].version for other in names}
        others = sorted(versions - {worker.version})
        worker.version = random.choice(others or ["v1"])
        worker.started_ms = int(time.time() * 1_000)
        await trio.sleep(random.uniform(0.1, 0.5))
        link.faults.refuse = False
        self.lifetimes.append(Lifetime(name, worker.version, trio.current_time()))
        await trio.sleep(random.uniform(0.0, 0.5))
        self._platform.register(
            name, version=worker.version, born=worker.started_ms, seq=1
        )
        self._restarting.discard(name)

    async def release(
        self, random: random_module.Random, all_versions: bool = False
    ) -> None:
        """Replace the workers of the earliest version one after the other.

        With `all_versions`, all workers are replaced, so that one version is left.
        """
        self._count += 1
        version = f"v{2 + self._count}"
        numbers = {
            name: int(self._platform.workers[name].version[1:])
            for name in self._names()
        }
        earliest = min(numbers.values())
        replaced = [
            name
            for name, number in numbers.items()
            if all_versions or number == earliest
        ]
        for name in replaced:
            if name in self._restarting or name not in self._links:
                continue
            fresh = f"{STREAMING}-{version}-{name.rpartition('-')[2]}"
            await self._add_worker(fresh, STREAMING, KINDS[STREAMING], version)
            self._nursery.start_soon(self._retire, name)
            if not all_versions:
                await trio.sleep(random.uniform(0.2, 1.0))

    def _names(self) -> list[str]:
        return sorted(name for name in self._links if name.startswith(STREAMING))

    async def _retire(self, name: str) -> None:
        if self._links.pop(name, None) is None:
            return
        self.end(name)
        self._drained_s.setdefault(name, trio.current_time())
        self._platform.register(name, state="draining")
        await trio.sleep(REMOVED_AFTER_S)
        self._platform.crash(name)
        self._platform.deregister(name)
