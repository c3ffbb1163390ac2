"""Measures what open streams cost one entry instance."""

import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import trio
from rich.console import Console
from rich.table import Table

from acaciapier import AcaciapierError, Session
from acaciapier.core.clock import SystemClock, to_ms

from .deployment import Deployment
from .load import Percentiles, new_histogram, percentiles, record_s
from .path_cost import DIRECTORY_PREFIX, TOKEN, ProcessUse, bench_plan

STEP_MS = 500.0
SAMPLE_S = 5.0
OPENINGS_PER_S = 40.0
DEADLINE_MS = 600_000
DEFAULT_STEPS = (1, 250, 500, 1_000)
BYTES_PER_KB = 1_000


@dataclass(frozen=True)
class StreamPoint:
    """What the entry used with a number of streams open."""

    streams: int
    cores: float
    resident_bytes: int
    first_part: Percentiles


class StreamHolder:
    """Opens streams in turn and keeps them open."""

    def __init__(self, session: Session, nursery: trio.Nursery):
        self._session = session
        self._nursery = nursery
        self._clock = SystemClock()
        self._opened = 0
        self.first_part = new_histogram()

    async def grow(self, streams: int) -> None:
        """Open streams until `streams` of them have had their first part."""
        self.first_part = new_histogram()
        started = self._opened
        while started < streams:
            self._nursery.start_soon(self._hold, started)
            started += 1
            await trio.sleep(1 / OPENINGS_PER_S)
        while self._opened < streams:
            await trio.sleep(0.05)

    async def _hold(self, number: int) -> None:
        started_s = self._clock.monotonic_s()
        follower = self._session.follow(
            "one", {"text": f"stream {number}"}, deadline_ms=DEADLINE_MS
        )
        first = True
        async for _ in follower.parts():
            if first:
                first = False
                self._opened += 1
                record_s(self.first_part, self._clock.monotonic_s() - started_s)
        answer = follower.answer
        raise AcaciapierError(f"stream {number} ended with {answer.count} tokens")


async def measure_streams(
    directory: Path, steps: tuple[int, ...], console: Console
) -> None:
    """Open streams step by step, and sample the entry at each step."""
    points: list[StreamPoint] = []
    async with Deployment(bench_plan(directory, 3, STEP_MS), directory) as deployment:
        await deployment.start()
        entry = deployment.members["entry-1"]
        async with Session([entry.url], TOKEN) as session:
            async with trio.open_nursery() as nursery:
                holder = StreamHolder(session, nursery)
                for streams in steps:
                    await holder.grow(streams)
                    points.append(await _sample(entry.process.pid, streams, holder))
                nursery.cancel_scope.cancel()
    console.print(_table(points))


async def _sample(pid: int, streams: int, holder: StreamHolder) -> StreamPoint:
    before = ProcessUse.of(pid)
    started_s = trio.current_time()
    await trio.sleep(SAMPLE_S)
    after = ProcessUse.of(pid)
    cores = (after.cpu_s - before.cpu_s) / (trio.current_time() - started_s)
    first_part = percentiles(holder.first_part)
    return StreamPoint(streams, cores, after.resident_bytes, first_part)


def _table(points: list[StreamPoint]) -> Table:
    table = Table(
        "streams",
        "cores",
        "RSS MB",
        "KB a stream",
        "first part p50 ms",
        "p99 ms",
        title=f"Open streams of one entry, a token each {to_ms(STEP_MS / 1e3):g} ms",
    )
    base = points[0]
    for point in points:
        more = point.streams - base.streams
        grown = (point.resident_bytes - base.resident_bytes) / BYTES_PER_KB
        table.add_row(
            str(point.streams),
            f"{point.cores:.3f}",
            f"{point.resident_bytes / 1e6:.1f}",
            f"{grown / more:.1f}" if more else "",
            f"{point.first_part.p50_ms:.1f}",
            f"{point.first_part.p99_ms:.1f}",
        )
    return table


@cappa.command(name="streams")
@dataclass
class StreamsCommand:
    """Measure memory and CPU of one entry instance by its open streams."""

    steps: Annotated[list[int] | None, cappa.Arg(long="streams")] = None

    def __call__(self) -> None:
        """Run the measurement."""
        steps = tuple(self.steps or DEFAULT_STEPS)
        with tempfile.TemporaryDirectory(prefix=DIRECTORY_PREFIX) as directory:
            trio.run(measure_streams, Path(directory), steps, Console(width=120))
