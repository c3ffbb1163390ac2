"""Measures store calls, bytes and latency of the ways to claim a request."""

import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Annotated

import cappa
import msgspec
import trio
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from acaciapier.claims import ClaimWindow
from acaciapier.core.clock import SystemClock
from acaciapier.store import ObjectStore, StoreBudget, Verb

from .claim_ways import WAYS, WayContext, make_uuid7

LOWEST_US, HIGHEST_US, DIGITS = 1, 10_000_000, 3
US_PER_MS = 1_000.0
US_PER_S = 1_000_000.0
RATES_PER_S = (1, 10, 100, 880)


@dataclass(frozen=True)
class ClaimCost:
    """What one way cost at one rate."""

    way: str
    rate_per_s: float
    claims: int
    refused: int
    p50_ms: float
    p99_ms: float
    writes_per_s: float
    reads_per_s: float
    sent_kb_per_s: float
    largest_kb: float


@contextmanager
def object_api(writes_per_s: float, latency_ms: float) -> Iterator[str]:
    """Run the object API's stand-in as a process; yields its URL."""
    settings = {"writes_per_s": writes_per_s, "latency_ms": latency_ms}
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "object-api.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "acaciapier_standins.main", "object-api"]
        process = subprocess.Popen(
            [*command, "--settings", str(path)], stdout=subprocess.PIPE, text=True
        )
        try:
            yield process.stdout.readline().split()[-1]
        finally:
            process.terminate()
            process.wait()


async def measure(
    command: "ClaimsCommand", way: str, rate_per_s: float, url: str
) -> ClaimCost:
    """Claim new requests at random times and return what it cost."""
    random = Random(command.seed)
    clock = SystemClock()
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    outcomes: list[bool] = []
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        budget = StoreBudget(rate_per_s=1_000.0, burst=1_000)
        stores = [
            await stack.enter_async_context(ObjectStore(url, budget, clock, random))
            for _ in range(command.entries)
        ]
        window = ClaimWindow(bucket_ms=command.bucket_ms)
        claim_one = WAYS[way](WayContext(stores, nursery, clock, random, window))

        async def claim() -> None:
            start_s = trio.current_time()
            request_id = make_uuid7(random, clock, command.spread_ms)
            outcomes.append(await claim_one(request_id))
            histogram.record_value(int((trio.current_time() - start_s) * US_PER_S))

        next_s = trio.current_time()
        end_s = next_s + command.seconds
        async with trio.open_nursery() as claims:
            while next_s < end_s:
                await trio.sleep_until(next_s)
                claims.start_soon(claim)
                next_s += random.expovariate(rate_per_s)
        took_s = trio.current_time() - end_s + command.seconds
        nursery.cancel_scope.cancel()
    return _cost(way, rate_per_s, took_s, outcomes, histogram, stores)


def _cost(
    way: str,
    rate_per_s: float,
    seconds: float,
    outcomes: list[bool],
    histogram: HdrHistogram,
    stores: list[ObjectStore],
) -> ClaimCost:
    counts = [pair for store in stores for pair in store.counts.items()]
    writes = [count for (_, verb), count in counts if verb is Verb.PUT]
    reads = [count for (_, verb), count in counts if verb is Verb.GET]
    return ClaimCost(
        way,
        rate_per_s,
        len(outcomes),
        outcomes.count(False),
        histogram.get_value_at_percentile(50) / US_PER_MS,
        histogram.get_value_at_percentile(99) / US_PER_MS,
        sum(count.calls for count in writes) / seconds,
        sum(count.calls for count in reads) / seconds,
        sum(count.sent_bytes for count in writes) / seconds / 1_000,
        max((count.largest_bytes for count in writes), default=0) / 1_000,
    )


def print_costs(costs: list[ClaimCost]) -> None:
    """Print the measured costs as a table."""
    table = Table("way", "claims/s", "claims", "refused", "p50 ms", "p99 ms")
    for title in ("writes/s", "reads/s", "kB/s", "largest kB"):
        table.add_column(title, justify="right")
    for cost in costs:
        table.add_row(
            cost.way,
            f"{cost.rate_per_s:g}",
            str(cost.claims),
            str(cost.refused),
            f"{cost.p50_ms:.1f}",
            f"{cost.p99_ms:.1f}",
            f"{cost.writes_per_s:.1f}",
            f"{cost.reads_per_s:.1f}",
            f"{cost.sent_kb_per_s:.1f}",
            f"{cost.largest_kb:.1f}",
        )
    Console(width=110).print(table)


@cappa.command(name="claims")
@dataclass
class ClaimsCommand:
    """Compare ways to claim requests against the object API's stand-in."""

    seconds: Annotated[float, cappa.Arg(long=True, help="per way and rate")] = 8.0
    entries: Annotated[int, cappa.Arg(long=True, help="entry instances")] = 9
    writes_per_s: Annotated[float, cappa.Arg(long=True, help="store's budget")] = 400.0
    latency_ms: Annotated[float, cappa.Arg(long=True, help="store's latency")] = 3.0
    bucket_ms: Annotated[int, cappa.Arg(long=True, help="width of a bucket")] = 1_000
    spread_ms: Annotated[float, cappa.Arg(long=True, help="callers' clock error")] = 0.0
    ways: Annotated[list[str], cappa.Arg(long="way", help="all by default")] = field(
        default_factory=lambda: list(WAYS)
    )
    rates_per_s: Annotated[list[float], cappa.Arg(long="rate", help="claims/s")] = (
        field(default_factory=lambda: list(RATES_PER_S))
    )
    seed: Annotated[int, cappa.Arg(long=True, help="seed of the arrivals")] = 1

    def __call__(self) -> None:
        """Measure every way at every rate, each against a fresh store."""
        costs = [
            self._measure(way, rate_per_s)
            for way in self.ways
            for rate_per_s in self.rates_per_s
        ]
        print_costs(costs)

    def _measure(self, way: str, rate_per_s: float) -> ClaimCost:
        with object_api(self.writes_per_s, self.latency_ms) as url:
            return trio.run(measure, self, way, rate_per_s, url)


if __name__ == "__main__":
    cappa.invoke(ClaimsCommand)
