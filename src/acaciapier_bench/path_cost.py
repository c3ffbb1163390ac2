"""Measures what the path through one entry instance costs."""

import json
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
import trio
from rich.console import Console
from rich.table import Table

from acaciapier.configuration.state import token_digest

from .deployment import Deployment, Plan, Pool
from .load import LoadReport

TOKEN = "bench-token"
ANSWER_TOKENS = 240
ENGINE_STEP_MS = 9.0
DIRECTORY_PREFIX = "acaciapier-"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def bench_objects() -> list[dict]:
    """Return the declared objects of the measurement."""
    generate = {
        "name": "draft",
        "kind": "generate",
        "pool": "generate",
        "typical_ms": 2_500,
        "max_tokens": ANSWER_TOKENS,
    }
    chain = [
        {"name": "embed", "kind": "encode", "pool": "encode", "typical_ms": 5},
        {
            "name": "search",
            "kind": "retrieve",
            "pool": "retrieve",
            "needs": ["embed"],
            "typical_ms": 5,
        },
        {
            "name": "rank",
            "kind": "rerank",
            "pool": "rerank",
            "needs": ["search"],
            "typical_ms": 5,
        },
        {**generate, "needs": ["rank"]},
    ]
    pools = ["encode", "retrieve", "rerank", "generate"]
    return [
        *[
            {"kind": "pool", "name": name, "serves": name, "max_outstanding": 2_000}
            for name in pools
        ],
        {
            "kind": "pipeline",
            "name": "one",
            "deadline_ms": 60_000,
            "stages": [generate],
        },
        {"kind": "pipeline", "name": "four", "deadline_ms": 60_000, "stages": chain},
        {
            "kind": "workspace",
            "name": "bench",
            "rate_per_s": 10_000,
            "burst": 10_000,
            "token_sha256": [token_digest(TOKEN)],
        },
    ]


def bench_plan(directory: Path, engines: int, step_ms: float = ENGINE_STEP_MS) -> Plan:
    """Return a plan with one entry instance and fast targets."""
    bundle = directory / "bench-bundle.json"
    bundle.write_text(json.dumps(bench_objects()))
    fast = {"median_ms": 3.0, "slots": 64, "max_queued": 2_000}
    engine = {
        "step_ms": step_ms,
        "step_ms_per_stream": 0.0,
        "slots": 2_000,
        "max_queued": 2_000,
    }
    return Plan(
        bundle=bundle,
        pools=(
            Pool("encode", "pool", 1, {"serves": "encode", **fast}),
            Pool("retrieve", "pool", 1, {"serves": "retrieve", **fast}),
            Pool("rerank", "pool", 1, {"serves": "rerank", **fast}),
            Pool("generate", "engine", engines, engine),
        ),
        entries=1,
        data_centres=("a",),
        region="r",
    )


@dataclass(frozen=True)
class ProcessUse:
    """CPU time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int

    @classmethod
    def of(cls, pid: int) -> "ProcessUse":
        """Read what process `pid` has used so far."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return cls(ticks / CLOCK_TICKS_PER_S, pages * PAGE_BYTES)


@dataclass(frozen=True)
class PathPoint:
    """One load through the entry, and what the entry used for it."""

    name: str
    report: LoadReport
    cores: float
    resident_bytes: int

    @property
    def tokens_per_s(self) -> float:
        """Tokens that arrived at callers, per second."""
        return self.report.tokens / self.report.seconds

    @property
    def requests_per_s(self) -> float:
        """Requests that were done, per second."""
        return self.report.outcomes.get("done", 0) / self.report.seconds


class PathMeasurement:
    """Runs loads against one deployment and keeps their points."""

    def __init__(self, deployment: Deployment, seconds: float):
        self._deployment = deployment
        self._seconds = seconds
        self.points: list[PathPoint] = []

    @property
    def _entry_pid(self) -> int:
        return self._deployment.members["entry-1"].process.pid

    async def measure(
        self, name: str, pipeline: str, rate_per_s: float, direct: bool = False
    ) -> PathPoint:
        """Run one load in a process of its own."""
        before = ProcessUse.of(self._entry_pid)
        report = await self._run_load(pipeline, rate_per_s, direct)
        after = ProcessUse.of(self._entry_pid)
        cores = (after.cpu_s - before.cpu_s) / report.seconds
        point = PathPoint(name, report, cores, after.resident_bytes)
        self.points.append(point)
        return point

    async def _run_load(
        self, pipeline: str, rate_per_s: float, direct: bool
    ) -> LoadReport:
        members = self._deployment.members
        names = [
            n for n in members if n.startswith("generate-" if direct else "entry-")
        ]
        output = self._deployment.directory / "load.json"
        command = [sys.executable, "-m", "acaciapier_bench.main", "load"]
        for name in names:
            command += ["--url", members[name].url]
        command += ["--pipeline", pipeline, "--token", TOKEN]
        command += ["--rate", str(rate_per_s), "--seconds", str(self._seconds)]
        command += ["--deadline-ms", "60000", "--output", str(output)]
        command += ["--max-tokens", str(ANSWER_TOKENS)]
        if direct:
            command.append("--direct")
        await trio.run_process(command, stderr=subprocess.STDOUT)
        return msgspec.json.decode(output.read_bytes(), type=LoadReport)


async def measure_path(
    directory: Path, seconds: float, rates: tuple[float, ...], console: Console
) -> list[PathPoint]:
    """Measure a calm load, the given loads and direct calls, in one deployment."""
    plan = bench_plan(directory, engines=3)
    async with Deployment(plan, directory) as deployment:
        await deployment.start()
        measurement = PathMeasurement(deployment, seconds)
        await measurement.measure("warm-up", "four", 5.0)
        for rate in rates:
            await measurement.measure(f"direct {rate:g}/s", "one", rate, direct=True)
            await measurement.measure(f"one stage {rate:g}/s", "one", rate)
            await measurement.measure(f"four stages {rate:g}/s", "four", rate)
    console.print(_table(measurement.points))
    return measurement.points


def _table(points: list[PathPoint]) -> Table:
    columns = (
        "load",
        "done/s",
        "tokens/s",
        "cores",
        "tokens/s per core",
        "first p50",
        "first p99",
        "gap p50",
        "gap p95",
        "RSS MB",
        "outcomes",
    )
    table = Table(*columns, title="One entry instance (times in ms)")
    for point in points:
        report = point.report
        per_core = point.tokens_per_s / point.cores if point.cores else 0.0
        table.add_row(
            point.name,
            f"{point.requests_per_s:.1f}",
            f"{point.tokens_per_s:.0f}",
            f"{point.cores:.3f}",
            f"{per_core:.0f}",
            f"{report.first_part.p50_ms:.1f}",
            f"{report.first_part.p99_ms:.1f}",
            f"{report.gap.p50_ms:.1f}",
            f"{report.gap.p95_ms:.1f}",
            f"{point.resident_bytes / 1e6:.0f}",
            str(report.outcomes),
        )
    return table


@cappa.command(name="path")
@dataclass
class PathCommand:
    """Measure requests/s, tokens/s and added latency of one entry instance."""

    seconds: Annotated[float, cappa.Arg(long=True, help="of each load")] = 15.0
    rates: Annotated[list[float] | None, cappa.Arg(long="rate")] = None

    def __call__(self) -> None:
        """Run the measurement."""
        rates = tuple(self.rates or (5.0, 17.0))
        with tempfile.TemporaryDirectory(prefix=DIRECTORY_PREFIX) as directory:
            console = Console(width=160)
            trio.run(measure_path, Path(directory), self.seconds, rates, console)
