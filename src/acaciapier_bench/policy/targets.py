"""Fake targets: slots, a queue, lognormal service times, crashes and slowness."""

from collections import Counter, deque
from random import Random

import trio

from acaciapier.core.clock import to_ms, to_s
from acaciapier.core.ids import Incarnation, TargetId
from acaciapier.policy import TargetView
from acaciapier.targets.models import LoadBody, TargetBody

from .deployments import PoolPlan


class TargetDown(Exception):
    """The target's process is gone, or went while it served a call."""


class FakeTarget:
    """One target of a pool.

    Parameters
    ----------
    plan : PoolPlan
        What all targets of the pool have in common.
    number : int
        Number within the pool.
    data_centre : str
        Where it runs.
    load_lag_ms : float
        Age of the load that it reports.
    random : Random
        Source of service times.
    """

    def __init__(
        self,
        plan: PoolPlan,
        number: int,
        data_centre: str,
        load_lag_ms: float,
        random: Random,
    ):
        self.name = TargetId(f"{plan.name}-{number}")
        self.plan = plan
        self.data_centre = data_centre
        self.incarnation = 1
        self.up = True
        self.reviving = False
        self.slow_factor = 1.0
        self.calls = 0
        self.crashes = 0
        self.spent_ms: Counter[tuple[str, str]] = Counter()
        self._random = random
        self._lag_ms = load_lag_ms
        self._slots = trio.Semaphore(plan.slots)
        self._scopes: set[trio.CancelScope] = set()
        self._running = 0
        self._queued = 0
        self._history: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def view(self) -> TargetView:
        """Return the target as the platform's list shows it."""
        return TargetView(
            self.name,
            Incarnation(self.incarnation),
            self.plan.name,
            self.data_centre,
            "region",
            f"fake://{self.name}",
        )

    def body(self) -> TargetBody:
        """Return the target's word about itself, with its lagging load."""
        now_s = trio.current_time()
        while len(self._history) > 1 and self._history[1][0] <= now_s - to_s(
            self._lag_ms
        ):
            self._history.popleft()
        at_s, running, queued = self._history[0]
        age_ms = min(max(to_ms(now_s - at_s), 0.0), self._lag_ms)
        load = LoadBody(running, queued, self.plan.slots, age_ms)
        return TargetBody(self.name, self.incarnation, load=load)

    def guard(self) -> trio.CancelScope:
        """Return a scope that a crash cancels."""
        if not self.up:
            raise TargetDown(self.name)
        scope = trio.CancelScope()
        self._scopes.add(scope)
        return scope

    def unguard(self, scope: trio.CancelScope) -> None:
        """Forget a scope."""
        self._scopes.discard(scope)

    async def acquire(self) -> None:
        """Wait in the queue for a slot."""
        self.calls += 1
        self._change(queued=+1)
        try:
            await self._slots.acquire()
        finally:
            self._change(queued=-1)
        self._change(running=+1)

    def release(self, request_id: str, stage: str, started_s: float) -> None:
        """Give a slot back and record what was spent."""
        self._slots.release()
        self._change(running=-1)
        self.spent_ms[request_id, stage] += to_ms(trio.current_time() - started_s)

    def service_ms(self) -> float:
        """Draw the service time of one call."""
        drawn = self.plan.median_ms * self._random.lognormvariate(0, self.plan.sigma)
        return drawn * self.slow_factor

    def crash(self) -> None:
        """End the process and all its calls."""
        self.up = False
        self.crashes += 1
        for scope in tuple(self._scopes):
            scope.cancel()

    def restart(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        self.up = True
        self.reviving = False

    def _change(self, running: int = 0, queued: int = 0) -> None:
        self._running += running
        self._queued += queued
        self._history.append((trio.current_time(), self._running, self._queued))
