"""Faults that befall the processes of a history, at random times."""

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from ..deployment import Deployment
from .records import LeavingRecord

MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5
LEAVE_S = 5.0


@dataclass
class FaultLog:
    """What was done, for the record of the run."""

    lines: list[str] = field(default_factory=list)
    leaving: list[LeavingRecord] = field(default_factory=list)

    def add(self, line: str) -> None:
        """Write down one fault with its time."""
        self.lines.append(f"{time.time():.3f} {line}")


class FaultInjector:
    """Causes one fault after another until it is cancelled.

    Parameters
    ----------
    deployment : Deployment
        The processes.
    rng : random.Random
        Source of times, kinds and victims.
    kinds : sequence of str
        Names of the faults to cause; see `ALL_KINDS`.
    """

    def __init__(self, deployment: Deployment, rng: random.Random, kinds):
        self.log = FaultLog()
        self._deployment = deployment
        self._random = rng
        self._kinds = tuple(kinds)
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Cause faults for ever."""
        while True:
            await trio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            kind = self._random.choice(self._kinds)
            await ALL_KINDS[kind](self)

    async def kill_entry(self) -> None:
        """Kill an entry instance and start it again."""
        name = self._entry()
        self.log.add(f"kill {name}")
        await self._deployment.kill(name)
        await trio.sleep(self._random.uniform(0.2, 1.0))
        await self._deployment.restart(name)

    async def stop_entry(self) -> None:
        """Stop an entry instance gracefully and start it again."""
        name = self._entry()
        self.log.add(f"stop {name}")
        await self._deployment.terminate(name)
        await self._deployment.restart(name)

    async def freeze_entry(self) -> None:
        """Freeze an entry instance for a while."""
        name = self._entry()
        self.log.add(f"freeze {name}")
        self._deployment.freeze(name)
        await trio.sleep(self._random.uniform(0.5, 3.0))
        self._deployment.thaw(name)

    async def kill_admin(self) -> None:
        """Kill an administration instance and start it again."""
        name = self._admin()
        self.log.add(f"kill {name}")
        with trio.CancelScope(shield=True):
            await self._deployment.kill(name)
        await trio.sleep(self._random.uniform(0.2, 1.0))
        await self._deployment.restart(name)

    async def freeze_admin(self) -> None:
        """Freeze an administration instance for a while."""
        name = self._admin()
        self.log.add(f"freeze {name}")
        self._deployment.freeze(name)
        await trio.sleep(self._random.uniform(0.5, 3.0))
        self._deployment.thaw(name)

    async def kill_target(self) -> None:
        """Kill a target and start it again."""
        name = self._target()
        self.log.add(f"kill {name}")
        await self._deployment.kill(name)
        await trio.sleep(self._random.uniform(0.2, 1.0))
        await self._deployment.restart(name)

    async def cut_targets(self) -> None:
        """Let a target cut some connections in the middle of an answer."""
        await self._disturb(self._target(), {"cut": {"share": 0.3}})

    async def garbage(self) -> None:
        """Let a target give wrong answers."""
        await self._disturb(self._target(), {"garbage": {"share": 0.3}})

    async def doubled(self) -> None:
        """Let a target answer twice."""
        await self._disturb(self._target(), {"doubled": {"share": 0.3}})

    async def straggler(self) -> None:
        """Slow a target down tenfold."""
        await self._disturb(self._target(), {"slow_factor": 10.0})

    async def refusing(self) -> None:
        """Let a target refuse some calls."""
        await self._disturb(self._target(), {"refuse": {"share": 0.5}})

    async def leave(self) -> None:
        """Let a target leave, then replace it."""
        name = self._target()
        self.log.add(f"{name} leaves")
        incarnation = (await self._deployment.target_word(name))["incarnation"]
        await self._deployment.control(name, {"leaving": True})
        since_ms = time.time() * 1000
        self.log.leaving.append(
            LeavingRecord(target=name, incarnation=incarnation, since_ms=since_ms)
        )
        await trio.sleep(LEAVE_S)
        await self._deployment.kill(name)
        await self._deployment.restart(name)

    async def store_outage(self) -> None:
        """Let the object API answer nothing but errors."""
        await self._disturb("object-api", {"outage": "error"})

    async def store_hang(self) -> None:
        """Let the object API not answer at all."""
        await self._disturb("object-api", {"outage": "hang"})

    async def store_slow(self) -> None:
        """Let the object API answer late."""
        await self._disturb("object-api", {"delay_ms": 300.0})

    async def store_lost(self) -> None:
        """Let answers of the object API be lost after their change."""
        await self._disturb("object-api", {"lost": {"share": 0.3}})

    async def store_stale(self) -> None:
        """Let the object API read from an older copy."""
        await self._disturb("object-api", {"stale_ms": 500.0})

    async def _disturb(self, name: str, faults: dict) -> None:
        self.log.add(f"{name}: {faults}")
        await self._deployment.control(name, faults)
        await trio.sleep(self._random.uniform(0.5, 3.0))
        await self._deployment.control(name, {"reset": True})

    def _entry(self) -> str:
        return self._random.choice(self._deployment.entries).name

    def _admin(self) -> str:
        return self._random.choice(self._deployment.admins).name

    def _target(self) -> str:
        return self._random.choice(self._deployment.targets).name


KINDS: dict[str, Callable[[FaultInjector], Awaitable[None]]] = {
    "kill-entry": FaultInjector.kill_entry,
    "stop-entry": FaultInjector.stop_entry,
    "freeze-entry": FaultInjector.freeze_entry,
    "kill-target": FaultInjector.kill_target,
    "cut": FaultInjector.cut_targets,
    "garbage": FaultInjector.garbage,
    "doubled": FaultInjector.doubled,
    "straggler": FaultInjector.straggler,
    "refuse": FaultInjector.refusing,
    "leave": FaultInjector.leave,
    "store-outage": FaultInjector.store_outage,
    "store-hang": FaultInjector.store_hang,
    "store-slow": FaultInjector.store_slow,
    "store-lost": FaultInjector.store_lost,
    "store-stale": FaultInjector.store_stale,
}

ADMIN_KINDS: dict[str, Callable[[FaultInjector], Awaitable[None]]] = {
    "kill-admin": FaultInjector.kill_admin,
    "freeze-admin": FaultInjector.freeze_admin,
}
STORE_KINDS = {
    name: cause for name, cause in KINDS.items() if name.startswith("store-")
}
ALL_KINDS = KINDS | ADMIN_KINDS
