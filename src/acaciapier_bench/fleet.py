"""Control cost of a fleet: real nodes over real loopback sockets.

Several nodes share a process, a few processes share the work. Processor time is
divided by the nodes, so the cost of an idle loop is shared too; memory is given as
the process's base and the slope for each node.
"""

import json
import subprocess
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import linear_regression
from typing import Annotated

import cappa
import msgspec

from .fleet_worker import (
    Answer,
    Command,
    Join,
    Kill,
    NodePlan,
    Publish,
    Quit,
    Read,
    Reading,
    Setup,
)

SEEDS = 3
RUMOUR_BYTES = 400
RUMOURS_PER_S = 0.4
REGIONS = 8
JOIN_SHARE = 0.5
REGION_DATA_CENTRES = 2
DETECT_S = 15.0
STOP_TIMEOUT_S = 10.0
DAEMONS = 510
MS_PER_S = 1000.0
_decoder = msgspec.json.Decoder(Answer)


@dataclass(frozen=True)
class FleetCost:
    """Measured cost of one node in a fleet of `nodes`."""

    nodes: int
    cpu_ms_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    messages_per_s: float
    memory_mb: float
    base_memory_mb: float
    connections: float
    opened_per_s: float
    rumour_p50_ms: float
    rumour_p99_ms: float
    rumour_max_ms: float
    rumours_heard_share: float
    detect_first_s: float
    detect_last_s: float
    false_deaths: int
    suspicions: int
    sent_by_type: dict[str, int]


class WorkerProcess:
    """A worker that answers one command at a time."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "acaciapier_bench.fleet_worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def run(self, command: Command) -> Answer:
        """Send a command and return its answer."""
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        self._process.stdin.flush()
        return _decoder.decode(self._process.stdout.readline())

    def close(self) -> None:
        """Stop the worker."""
        self._process.stdin.write(msgspec.json.encode(Quit()) + b"\n")
        self._process.stdin.close()
        try:
            self._process.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def plan_nodes(count: int, data_centre_nodes: int = 15) -> list[NodePlan]:
    """Return nodes over data centres of bounded size, and up to eight regions."""
    data_centres = max(3, -(-count // data_centre_nodes))
    plans = []
    for number in range(count):
        place = number % data_centres
        region = f"region{min(place // REGION_DATA_CENTRES, REGIONS - 1)}"
        plans.append(NodePlan(f"entry-{number:03d}", f"dc{place}", region))
    return plans


class FleetRun:
    """One fleet over some worker processes.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    processes : int
        Number of workers.
    targets : int
        Targets that each node knows.
    data_centre_nodes : int, optional
        Largest number of nodes in a data centre.
    """

    def __init__(
        self, nodes: int, processes: int, targets: int, data_centre_nodes: int = 15
    ):
        self._plans = plan_nodes(nodes, data_centre_nodes)
        self._workers = [WorkerProcess() for _ in range(processes)]
        self._home: dict[str, WorkerProcess] = {}
        ports = {}
        for number, worker in enumerate(self._workers):
            share = self._plans[number::processes]
            ports |= worker.run(Setup(share, targets)).ports
            self._home |= {plan.name: worker for plan in share}
        names = [plan.name for plan in self._plans[:SEEDS]]
        self._seeds = {name: ports[name] for name in names}

    @property
    def names(self) -> list[str]:
        """Names of the nodes."""
        return [plan.name for plan in self._plans]

    def process_of(self, name: str) -> WorkerProcess:
        """Return the worker that runs a node."""
        return self._home[name]

    def join(self, settle_s: float) -> None:
        """Start membership everywhere, wait, and count from zero."""
        for worker in self._workers:
            worker.run(Join(self._seeds, settle_s * JOIN_SHARE))
        time.sleep(settle_s)
        self.read()

    def measure(self, settle_s: float, measure_s: float) -> FleetCost:
        """Return the cost at rest with rumours, then the time to detect a kill."""
        self.join(settle_s)
        published = self._publish_for(measure_s)
        time.sleep(2.0)
        readings = self.read()
        incomplete = [n for r in readings for n in r.known if n != len(self._plans)]
        if incomplete:
            print(f"nodes that do not know the whole fleet: {len(incomplete)}")
        killed = self._plans[-1].name
        killed_s = time.monotonic()
        self._home[killed].run(Kill(killed))
        time.sleep(DETECT_S)
        deaths = [death for reading in self.read() for death in reading.deaths]
        delays_s = [at_s - killed_s for _, name, at_s in deaths if name == killed]
        false_deaths = len([d for r in readings for d in r.deaths])
        false_deaths += len(deaths) - len(delays_s)
        if len(delays_s) != len(self._plans) - 1:
            print(f"kill detected by {len(delays_s)} of {len(self._plans) - 1}")
        return summarise(readings, published, delays_s, false_deaths)

    def close(self) -> None:
        """Stop all workers."""
        for worker in self._workers:
            worker.close()

    def read(self) -> list[Reading]:
        """Return what the workers counted since the last reading."""
        return [worker.run(Read()).reading for worker in self._workers]

    def _publish_for(self, seconds: float) -> int:
        count = max(1, int(seconds * RUMOURS_PER_S))
        for number in range(count):
            plan = self._plans[number % len(self._plans)]
            self._home[plan.name].run(Publish(plan.name, number, RUMOUR_BYTES))
            time.sleep(seconds / count)
        return count


def summarise(
    readings: list[Reading], published: int, detect_s: list[float], false_deaths: int
) -> FleetCost:
    """Return the cost of one node from the readings of all workers."""
    nodes = sum(reading.nodes for reading in readings)
    wall_s = max(reading.wall_s for reading in readings)
    delays_s = sorted(d for reading in readings for d in reading.rumour_delays_s)

    def per_node_s(name: str) -> float:
        totals = (sum(getattr(reading, name).values()) for reading in readings)
        return sum(totals) / nodes / wall_s

    rss = sum(r.rss_bytes - r.base_rss_bytes for r in readings)
    base = sum(reading.base_rss_bytes for reading in readings) / len(readings)
    return FleetCost(
        nodes=nodes,
        cpu_ms_per_s=sum(r.cpu_s for r in readings) * MS_PER_S / nodes / wall_s,
        sent_bytes_per_s=per_node_s("sent_bytes"),
        received_bytes_per_s=per_node_s("received_bytes"),
        messages_per_s=per_node_s("received_messages"),
        memory_mb=rss / nodes / 1e6,
        base_memory_mb=base / 1e6,
        connections=sum(r.connections for r in readings) / nodes,
        opened_per_s=sum(r.opened for r in readings) / nodes / wall_s,
        rumour_p50_ms=_quantile(delays_s, 0.5) * MS_PER_S,
        rumour_p99_ms=_quantile(delays_s, 0.99) * MS_PER_S,
        rumour_max_ms=_quantile(delays_s, 1.0) * MS_PER_S,
        rumours_heard_share=len(delays_s) / (published * max(1, nodes - 1)),
        detect_first_s=min(detect_s, default=float("nan")),
        detect_last_s=max(detect_s, default=float("nan")),
        false_deaths=false_deaths,
        suspicions=sum(reading.suspicions for reading in readings),
        sent_by_type=_sum_by_type(readings, nodes * wall_s),
    )


def _sum_by_type(readings: list[Reading], divisor: float) -> dict[str, int]:
    """Return the bytes a second that one node sends of each type, largest first."""
    total = sum((Counter(reading.sent_bytes) for reading in readings), Counter())
    return {name: round(size / divisor) for name, size in total.most_common(8)}


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def extrapolate(costs: list[FleetCost], daemons: int = DAEMONS) -> dict[str, float]:
    """Return each figure at `daemons` by a straight line through the costs."""
    names = (
        "cpu_ms_per_s",
        "sent_bytes_per_s",
        "received_bytes_per_s",
        "messages_per_s",
        "memory_mb",
    )
    sizes = [cost.nodes for cost in costs]
    result = {}
    for name in names:
        line = linear_regression(sizes, [getattr(cost, name) for cost in costs])
        result[name] = line.intercept + line.slope * daemons
    return result


def _rounded(values: dict) -> dict:
    return {
        name: round(value, 2) if isinstance(value, float) else value
        for name, value in values.items()
    }


def measure_fleet(
    nodes: int,
    processes: int,
    targets: int,
    settle_s: float,
    measure_s: float,
    data_centre_nodes: int = 15,
) -> FleetCost:
    """Run one fleet and return the cost of one node."""
    run = FleetRun(nodes, processes, targets, data_centre_nodes)
    try:
        return run.measure(settle_s, measure_s)
    finally:
        run.close()


@cappa.command(name="fleet")
@dataclass
class FleetCommand:
    """Measure the control cost of fleets of real nodes on loopback."""

    sizes: Annotated[list[int], cappa.Arg(long=True)] = (9, 30, 60, 100)
    processes: Annotated[int, cappa.Arg(long=True)] = 2
    targets: Annotated[int, cappa.Arg(long=True)] = 0
    data_centre_nodes: Annotated[int, cappa.Arg(long=True)] = 15
    settle_s: Annotated[float, cappa.Arg(long=True)] = 20.0
    measure_s: Annotated[float, cappa.Arg(long=True)] = 20.0
    output: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Print one line of JSON for each size, then the extrapolation."""
        costs = []
        for size in self.sizes:
            cost = measure_fleet(
                size,
                self.processes,
                self.targets,
                self.settle_s,
                self.measure_s,
                self.data_centre_nodes,
            )
            costs.append(cost)
            print(json.dumps(_rounded(asdict(cost))))
        if len(costs) > 1:
            line = extrapolate(costs)
            print(f"at {DAEMONS} daemons, by a straight line:")
            print(json.dumps(_rounded(line)))
        if self.output is not None:
            self.output.write_text(json.dumps([asdict(cost) for cost in costs]))


if __name__ == "__main__":
    cappa.invoke(FleetCommand)
