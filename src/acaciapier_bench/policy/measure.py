"""One run of a scenario, and what its callers and targets saw."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import trio
from trio.testing import MockClock

from acaciapier.core.clock import to_ms, to_s
from acaciapier.core.outcomes import Cause, Outcome
from acaciapier.pipeline.models import CallerRequest, FinalEvent

from .deployments import DEADLINE_MS, Deployment
from .fleet import Fleet, resent
from .scenarios import FAULT_AFTER_S, Scenario
from .transport import POISON

WARM_UP_S = 10.0
WARM_UP_LOAD = 0.5
SETTLE_S = 3.0
POISON_SENDS = 10
POISON_PAUSE_S = 0.5
RESEND_PAUSE_MS = 50.0


@dataclass
class RunResult:
    """Counts and times of one run; times in milliseconds."""

    seconds: float
    sent: int = 0
    done_ms: list[float] = field(default_factory=list)
    settled_done: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    poison_crashes: int = 0
    calls_per_request: float = 0.0
    retry_share: float = 0.0
    hedge_share: float = 0.0
    wasted_share: dict[str, float] = field(default_factory=dict)

    @property
    def attainment(self) -> float:
        """Share of requests answered within their deadline."""
        return len(self.done_ms) / max(self.sent, 1)

    @property
    def goodput_per_s(self) -> float:
        """Answers within their deadlines in each second, after settling."""
        return self.settled_done / (self.seconds - SETTLE_S)

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the answered requests' times."""
        ordered = sorted(self.done_ms)
        if not ordered:
            return 0.0
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class Measurement:
    """Drives one fleet by open-loop callers.

    Parameters
    ----------
    deployment : Deployment
        Pools and pipeline.
    scenario : Scenario
        Load and faults.
    variant : str
        Name of the policy's settings.
    entries : int
        Number of entry instances.
    seconds : float
        Time during which requests arrive and are counted.
    seed : int
        Seed of arrivals, service times and choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        variant: str,
        entries: int,
        seconds: float,
        seed: int,
    ):
        self._scenario = scenario
        self._random = Random(seed)
        self._fleet = Fleet(deployment, variant, entries, self._random)
        self._capacity_per_s = deployment.capacity_per_s
        self._used: set[str] = set()
        self.result = RunResult(seconds)

    def run(self) -> RunResult:
        """Run the scenario on a mock clock."""
        trio.run(self._main, clock=MockClock(autojump_threshold=0))
        return self.result

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            self._fleet.start(nursery)
            if self._scenario.fault is not None:
                nursery.start_soon(self._scenario.fault, self._fleet)
            async with trio.open_nursery() as callers:
                if self._scenario.poison:
                    callers.start_soon(self._send_poison)
                await self._send_all(callers)
            nursery.cancel_scope.cancel()
        self._sum_up()

    async def _send_all(self, callers: trio.Nursery) -> None:
        end_s = WARM_UP_S + self.result.seconds
        number = 0
        while trio.current_time() < end_s:
            number += 1
            request = self._fleet.make_request(number, DEADLINE_MS)
            counted = trio.current_time() >= WARM_UP_S
            callers.start_soon(self._call, request, counted)
            load = self._scenario.load
            if not counted:
                load = min(load, WARM_UP_LOAD)
            rate_per_s = load * self._capacity_per_s
            await trio.sleep(self._random.expovariate(rate_per_s))

    async def _call(self, request: CallerRequest, counted: bool) -> None:
        started_s = trio.current_time()
        final = await self._send(request, started_s)
        elapsed_ms = to_ms(trio.current_time() - started_s)
        done = final is not None and final.outcome == Outcome.DONE.value
        in_time = done and elapsed_ms <= DEADLINE_MS
        since_s = trio.current_time() - WARM_UP_S
        self.result.settled_done += (
            in_time and SETTLE_S <= since_s <= self.result.seconds
        )
        if not counted:
            return
        self.result.sent += 1
        if in_time:
            self.result.done_ms.append(elapsed_ms)
        self.result.outcomes[_class_of(final)] += 1

    async def _send(self, request: CallerRequest, started_s: float):
        """Send a request, and once more if its entry instance was killed."""
        final = await self._fleet.any_entry().run(request)
        if final is None:
            await trio.sleep(to_s(RESEND_PAUSE_MS))
            left_ms = DEADLINE_MS - to_ms(trio.current_time() - started_s)
            again = resent(request, 1, max(left_ms, 1))
            self._used.add(again.request_id)
            final = await self._fleet.any_entry().run(again)
        elif final.outcome == Outcome.DONE.value:
            self._used.add(request.request_id)
        return final

    async def _send_poison(self) -> None:
        await trio.sleep(FAULT_AFTER_S)
        poison = self._fleet.make_request(0, DEADLINE_MS, **{POISON: True})
        for attempt in range(POISON_SENDS):
            before = self._crashes()
            await self._fleet.any_entry().run(resent(poison, attempt, DEADLINE_MS))
            self.result.poison_crashes += self._crashes() - before
            await trio.sleep(POISON_PAUSE_S)

    def _crashes(self) -> int:
        return sum(one.crashes for one in self._fleet.targets.values())

    def _sum_up(self) -> None:
        spent: Counter[str] = Counter()
        useful: Counter[str] = Counter()
        distinct = set()
        calls = 0
        for target in self._fleet.targets.values():
            calls += target.calls
            for (request_id, stage), spent_ms in target.spent_ms.items():
                spent[stage] += spent_ms
                distinct.add((request_id, stage))
                if request_id in self._used:
                    useful[stage] += spent_ms
        extra = self._fleet.granted
        first = max(len(distinct), 1)
        runs = {request_id for request_id, _ in distinct}
        self.result.calls_per_request = calls / max(len(runs), 1)
        self.result.retry_share = extra["retries"] / first
        self.result.hedge_share = extra["hedges"] / first
        self.result.wasted_share = {
            stage: 1.0 - useful[stage] / spent[stage] for stage in spent if spent[stage]
        }


def _class_of(final: FinalEvent | None) -> str:
    if final is None:
        return "killed"
    if final.outcome == Outcome.DONE.value:
        return final.outcome
    return f"{final.outcome}/{final.cause or Cause.INTERNAL.value}"
