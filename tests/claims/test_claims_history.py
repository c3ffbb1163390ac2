"""Random histories of `ClaimService` under faults, on a mock clock, fixed seeds."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from uuid import UUID

import pytest
import trio

from acaciapier.claims import (
    ClaimRequest,
    ClaimService,
    ClaimWindow,
    Done,
    Early,
    Expired,
    Granted,
    Invalid,
    MayHaveRun,
    Partitioner,
    Reused,
    Running,
    Unavailable,
)
from acaciapier.core.clock import TrioClock, epoch_ms
from acaciapier.core.outcomes import Outcome
from store_fakes import FakeFleet, FakeStore, StoreFaults, StoreTable

SEEDS = range(6)
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
WINDOW = ClaimWindow(
    valid_ms=20_000, ahead_ms=1_000, clock_error_ms=500, bucket_ms=2_000
)


def uuid7(random: Random, now_ms: int) -> str:
    tail = (7 << 76) | (random.getrandbits(12) << 64) | (2 << 62)
    return str(UUID(int=(now_ms << 80) | tail | random.getrandbits(62)))


@dataclass
class History:
    """Number of runs of each request, and the results that callers received."""

    runs: Counter = field(default_factory=Counter)
    results: list = field(default_factory=list)

    def check(self):
        twice = [key for key, count in self.runs.items() if count > 1]
        assert not twice, f"ran more than once: {twice}"


class Deployment:
    """Entries that share a fake store; callers resend requests to other entries."""

    def __init__(self, seed: int, nursery, service_type=ClaimService):
        self.random = Random(seed)
        self.nursery = nursery
        self.clock = TrioClock()
        self.table = StoreTable()
        self.faults = StoreFaults()
        self.fleet = FakeFleet(self.random)
        self.history = History()
        self.service_type = service_type
        self.services = {}
        self.scopes = {}
        self.incarnations = Counter()
        for entry in ENTRIES:
            self.start(entry)

    def start(self, entry):
        self.incarnations[entry] += 1
        store = FakeStore(self.table, self.faults, self.random, self.nursery)
        peers = self.fleet.join(entry)
        service = self.service_type(
            entry,
            self.incarnations[entry],
            store,
            peers,
            self.fleet,
            self.clock,
            Random(self.random.getrandbits(64)),
            WINDOW,
            Partitioner(2),
        )
        self.services[entry] = service
        self.scopes[entry] = trio.CancelScope()
        self.nursery.start_soon(self._run, service, self.scopes[entry])

    async def _run(self, service, scope):
        with scope:
            await service.run()

    def kill(self, entry):
        self.scopes[entry].cancel()
        self.fleet.handlers[entry] = {}

    async def call(self, request: ClaimRequest, entry: str):
        service = self.services[entry]
        result = await service.claim(request)
        if self.services[entry] is not service:
            return None
        self.history.results.append(result)
        if isinstance(result, Granted):
            self.history.runs[request.request_id] += 1
            await trio.sleep(self.random.uniform(0.0, 1.0))
            outcome = self.random.choices([Outcome.DONE, Outcome.UNKNOWN], [9, 1])[0]
            service.record_outcome(result, outcome, 3, "digest")
        return result


async def caller(deployment: Deployment, requests: int):
    """Send each request several times to random entries, with overlapping calls."""
    random = deployment.random
    for _ in range(requests):
        request_id = uuid7(random, epoch_ms(deployment.clock.now()))
        request = ClaimRequest("w", request_id, "content", random.choice([300, 2_000]))
        async with trio.open_nursery() as nursery:
            for _ in range(random.randint(2, 4)):
                entry = random.choice(ENTRIES)
                nursery.start_soon(deployment.call, request, entry)
                await trio.sleep(random.choice([0.0, 0.05, 0.5, 3.0]))
        if random.random() < 0.1:
            await trio.sleep(25.0)
            assert isinstance(
                await deployment.call(request, random.choice(ENTRIES)), Expired | None
            )


async def inject_faults(deployment: Deployment):
    """Inject outages, lost responses, network cuts and restarts at random times."""
    random = deployment.random
    faults = deployment.faults
    while True:
        await trio.sleep(random.uniform(0.2, 2.0))
        faults.out = random.random() < 0.15
        faults.lost_before = random.choice([0.0, 0.1])
        faults.lost_after = random.choice([0.0, 0.2])
        faults.late = random.choice([0.0, 0.1])
        faults.old_read = random.choice([0.0, 0.2])
        deployment.fleet.cut = set(random.sample(ENTRIES, random.choice([0, 0, 1, 2])))
        if random.random() < 0.2:
            entry = random.choice(ENTRIES)
            deployment.kill(entry)
            deployment.start(entry)


async def run_history(seed, service_type=ClaimService, requests=10, callers=4):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(seed, nursery, service_type)
        nursery.start_soon(inject_faults, deployment)
        async with trio.open_nursery() as callers_nursery:
            for _ in range(callers):
                callers_nursery.start_soon(caller, deployment, requests)
        nursery.cancel_scope.cancel()
    return deployment


@pytest.mark.parametrize("seed", SEEDS)
async def test_requests_run_at_most_once_under_faults(seed, autojump_clock):
    deployment = await run_history(seed)
    deployment.history.check()
    result_types = Counter(type(result) for result in deployment.history.results)
    assert result_types[Granted] >= 10
    assert result_types[Done] + result_types[Running] >= 5


async def test_without_faults_every_request_runs_once(autojump_clock):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(1, nursery)
        clock = deployment.clock
        for _ in range(20):
            request_id = uuid7(deployment.random, epoch_ms(clock.now()))
            request = ClaimRequest("w", request_id, "content", 1_000)
            first = await deployment.call(request, "entry-1")
            assert isinstance(first, Granted)
            second = await deployment.call(request, "entry-2")
            assert second == Done("entry-1", 1, 3, "digest") or isinstance(
                second, MayHaveRun
            )
        other = ClaimRequest("w", request_id, "other", 1_000)
        assert await deployment.call(other, "entry-3") == Reused()
        assert (
            await deployment.call(
                ClaimRequest("x", request_id, "other", 1_000), "entry-3"
            )
            != Reused()
        )
        nursery.cancel_scope.cancel()


async def test_a_request_that_was_not_run_may_be_sent_again(autojump_clock):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(2, nursery)
        now_ms = epoch_ms(deployment.clock.now())
        request = ClaimRequest("w", uuid7(deployment.random, now_ms), "content", 1_000)
        first = await deployment.services["entry-1"].claim(request)
        assert isinstance(first, Granted)
        during = await deployment.services["entry-2"].claim(request)
        assert during == Running("entry-1", 1)
        deployment.services["entry-1"].record_outcome(first, Outcome.NOT_RUN)
        again = await deployment.services["entry-2"].claim(request)
        assert isinstance(again, Granted)
        nursery.cancel_scope.cancel()


async def test_an_outage_refuses_and_a_resend_after_it_runs(autojump_clock):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(3, nursery)
        now_ms = epoch_ms(deployment.clock.now())
        request = ClaimRequest("w", uuid7(deployment.random, now_ms), "content", 1_000)
        deployment.faults.out = True
        refused = await deployment.services["entry-1"].claim(request)
        assert isinstance(refused, Unavailable)
        deployment.faults.out = False
        await trio.sleep(5.0)
        again = await deployment.services["entry-2"].claim(request)
        assert isinstance(again, Granted)
        nursery.cancel_scope.cancel()


async def test_ids_outside_the_window_are_refused(autojump_clock):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(4, nursery)
        claim = deployment.services["entry-1"].claim
        now_ms = epoch_ms(deployment.clock.now())

        async def claim_at(offset_ms):
            request_id = uuid7(deployment.random, now_ms + offset_ms)
            return await claim(ClaimRequest("w", request_id, "content", 1_000))

        assert await claim_at(-21_000) == Expired()
        assert await claim_at(1_500) == Early(not_run=False)
        assert await claim_at(9_000) == Early(not_run=True)
        assert await claim(ClaimRequest("w", "order-1", "c", 1_000)) == Invalid()
        nursery.cancel_scope.cancel()


async def test_a_slow_store_does_not_increase_the_number_of_writers(autojump_clock):
    async with trio.open_nursery() as nursery:
        deployment = Deployment(5, nursery)
        deployment.faults.latency_s = 1.6
        for _ in range(40):
            request_id = uuid7(deployment.random, epoch_ms(deployment.clock.now()))
            request = ClaimRequest("w", request_id, "content", 3_000)
            entry = deployment.random.choice(ENTRIES)
            nursery.start_soon(deployment.call, request, entry)
            await trio.sleep(0.05)
        await trio.sleep(3.0)
        writers = [s for s in deployment.services.values() if s._store.calls]
        nursery.cancel_scope.cancel()
    assert len(writers) <= 2, "more instances wrote than there are partitions"
