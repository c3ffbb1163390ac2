"""Entry instances with their own policies over one set of fake targets."""

from collections import Counter
from dataclasses import replace
from random import Random

import trio

from acaciapier.core.clock import TrioClock, to_s
from acaciapier.core.ids import (
    DataCentreId,
    InstanceId,
    RequestId,
    RunId,
)
from acaciapier.pipeline.context import ExecutorServices
from acaciapier.pipeline.executor import Executor
from acaciapier.pipeline.models import CallerRequest, FinalEvent, RunIdentity
from acaciapier.pipeline.read_coalescer import ReadCoalescer
from acaciapier.pipeline.record import RunRecord
from acaciapier.pipeline.resume import ResumeTokenSigner
from acaciapier.policy import PathPolicy, PoolLimits, ReportedLoad, WorkspaceLimits

from .deployments import Deployment
from .targets import FakeTarget
from .transport import FakeTransport
from .variants import VARIANTS, make_settings

LIMITS = PoolLimits(
    max_outstanding=64, retry_share_percent=10.0, hedge_share_percent=5.0
)
WORKSPACES = ("w0", "w1", "w2", "w3", "w4")
WORKSPACE_LIMITS = WorkspaceLimits(weight=1.0, rate_per_s=10_000.0, burst=10_000)
LIST_LAG_MS = 500.0
LOAD_LAG_MS = 200.0
STRIKE_LAG_MS = 10.0
SUPERVISE_S = 0.05
DOWN_S = 2.0
SHARE_LOADS_MS = 200.0
FLEET_KEY = b"measured"


class CountingPolicy(PathPolicy):
    """The policy, with a count of the extra calls that it granted.

    Without `full_reports` it hears neither first parts nor service times.
    """

    granted: Counter[str]
    full_reports: bool

    def first_part(self, target, fingerprint, elapsed_ms) -> None:
        """Take the report over if the variant has full ones."""
        if self.full_reports:
            super().first_part(target, fingerprint, elapsed_ms)

    def ended(self, report, fingerprint) -> None:
        """Take the report over, without the service time if it is a plain one."""
        if not self.full_reports:
            report = replace(report, service_ms=None)
        super().ended(report, fingerprint)

    def may_retry(self, pool, typical_ms, remaining_ms) -> bool:
        """Count a granted retry."""
        granted = super().may_retry(pool, typical_ms, remaining_ms)
        self.granted["retries"] += granted
        return granted

    def may_hedge(self, pool) -> bool:
        """Count a granted hedge."""
        granted = super().may_hedge(pool)
        self.granted["hedges"] += granted
        return granted


class Entry:
    """One entry instance: a policy and an executor over the shared targets."""

    def __init__(self, fleet: "Fleet", number: int, nursery: trio.Nursery):
        self.data_centre = fleet.deployment.data_centres[
            number % len(fleet.deployment.data_centres)
        ]
        self.up = True
        self.scopes: set[trio.CancelScope] = set()
        clock = TrioClock()
        random = Random(fleet.random.random())
        settings = make_settings(fleet.variant, number, fleet.entry_count)
        self.policy = CountingPolicy(
            clock, random, settings, DataCentreId(self.data_centre)
        )
        self.policy.granted = fleet.granted
        self.policy.full_reports = VARIANTS[fleet.variant].full_reports
        for workspace in WORKSPACES:
            self.policy.update_workspace(workspace, WORKSPACE_LIMITS)
        self._clock = clock
        self._pipeline = fleet.deployment.pipeline
        transport = FakeTransport(fleet.targets, self.data_centre)
        self._executor = Executor(
            ExecutorServices(
                policy=self.policy,
                transport=transport,
                record_cost=lambda entry: None,
                record_target_status=lambda target, word: None,
                tokens=ResumeTokenSigner([FLEET_KEY]),
                instance=InstanceId(settings.instance),
                clock=clock,
                random=random,
                background=nursery,
                read_coalescer=ReadCoalescer(clock),
            )
        )

    async def run(self, request: CallerRequest) -> FinalEvent | None:
        """Return how a request ended, or None if this instance was killed."""
        identity = RunIdentity(request.request_id, RunId(request.request_id), 1)
        record = RunRecord(request, identity, self._clock)
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await self._executor.run(request, self._pipeline, record)
            finally:
                self.scopes.discard(scope)
        return record.final

    def kill(self) -> None:
        """End the process with all its runs."""
        self.up = False
        for scope in tuple(self.scopes):
            scope.cancel()


class Fleet:
    """All entries and targets of one run."""

    def __init__(
        self, deployment: Deployment, variant: str, entries: int, random: Random
    ):
        self.deployment = deployment
        self.variant = variant
        self.entry_count = entries
        self.random = random
        self.granted: Counter[str] = Counter()
        self.targets = self._make_targets()
        self.entries: list[Entry] = []

    def start(self, nursery: trio.Nursery) -> None:
        """Start the entries and the tasks that keep them informed."""
        self.entries = [Entry(self, n, nursery) for n in range(self.entry_count)]
        self.list_targets()
        nursery.start_soon(self._share_strikes)
        nursery.start_soon(self._supervise)
        if VARIANTS[self.variant].share_loads:
            nursery.start_soon(self._share_loads)

    def list_targets(self) -> None:
        """Give all entries the present list of targets."""
        for pool in self.deployment.pools:
            views = [
                one.view()
                for one in self.targets.values()
                if one.plan is pool and one.up
            ]
            for entry in self.entries:
                entry.policy.update_pool(pool.name, LIMITS, views)

    async def _supervise(self) -> None:
        """Start crashed targets again after a while."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(SUPERVISE_S)
                for target in self.targets.values():
                    if not target.up and not target.reviving:
                        target.reviving = True
                        nursery.start_soon(self._revive, target)

    async def _revive(self, target: FakeTarget) -> None:
        await trio.sleep(to_s(LIST_LAG_MS))
        self.list_targets()
        await trio.sleep(DOWN_S)
        target.restart()
        await trio.sleep(to_s(LIST_LAG_MS))
        self.list_targets()

    def any_entry(self) -> Entry:
        """Return what the platform's balancer chooses."""
        return self.random.choice([entry for entry in self.entries if entry.up])

    def make_request(self, number: int, deadline_ms: float, **content) -> CallerRequest:
        """Return a request of a random workspace."""
        content = {"number": number, "prefix": number} | content
        return CallerRequest(
            workspace=self.random.choice(WORKSPACES),
            request_id=RequestId(f"r{number}"),
            pipeline=self.deployment.pipeline.name,
            input=content,
            deadline_ms=int(deadline_ms),
        )

    async def _share_strikes(self) -> None:
        while True:
            await trio.sleep(to_s(STRIKE_LAG_MS))
            new = [
                strike
                for entry in self.entries
                for strike in entry.policy.pop_new_crash_records()
            ]
            if new:
                for entry in self.entries:
                    entry.policy.merge_crash_records(new)

    async def _share_loads(self) -> None:
        """Pass the loads that entries hear on to the other entries."""
        while True:
            await trio.sleep(to_s(SHARE_LOADS_MS))
            for entry in self.entries:
                for heard in entry.policy.pop_reported_loads():
                    self._pass_on(heard, entry)

    def _pass_on(self, heard: ReportedLoad, hearer: Entry) -> None:
        for entry in self.entries:
            if entry is not hearer and entry.up:
                entry.policy.load_reported(heard.target, heard.incarnation, heard.load)

    def _make_targets(self) -> dict[str, FakeTarget]:
        centres = self.deployment.data_centres
        targets = [
            FakeTarget(
                plan,
                number,
                centres[number % len(centres)],
                LOAD_LAG_MS,
                Random(self.random.random()),
            )
            for plan in self.deployment.pools
            for number in range(plan.targets)
        ]
        return {one.name: one for one in targets}


def resent(request: CallerRequest, attempt: int, deadline_ms: float) -> CallerRequest:
    """Return the request as its caller sends it again, under a new id."""
    name = RequestId(f"{request.request_id}.{attempt}")
    return replace(request, request_id=name, deadline_ms=int(deadline_ms))
