"""Measures the log of changes and the time until a change is in force."""

from collections.abc import Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Annotated

import cappa
import msgspec
import trio
from rich.console import Console

from acaciapier.configuration import (
    ConfigurationLog,
    ObjectKey,
    Replace,
    RequestedChange,
    RequestedEdit,
)
from acaciapier.configuration.distribution import Distribution, Place
from acaciapier.configuration.records import to_value
from acaciapier.configuration.replica import ConfigurationReplica
from acaciapier.core.clock import SystemClock, to_ms
from acaciapier.core.ids import DataCentreId, Incarnation, InstanceId, RegionId
from acaciapier.membership import Membership, Seed
from acaciapier.objects import (
    DeclaredObject,
    Pipeline,
    Stage,
    StageKind,
    TargetPool,
    Workspace,
    stored_value,
)
from acaciapier.store import ObjectStore, StoreBudget, Verb
from acaciapier.wire import FleetKeys, PeerAddress, PeerIdentity, PeerNetwork
from acaciapier_standins import ObjectApiSettings, serve_standin

FLEET_KEY = b"bench-fleet-key-0000"
PIPELINES = 30
EDITS_PER_CHANGE = 200
STATUS_INTERVAL_S = 0.5
POLL_S = 0.05


class LogReport(msgspec.Struct):
    """Cost of accepting changes one after the other.

    Parameters
    ----------
    objects : int
        Declared objects in force.
    changes : int
        Changes that were accepted.
    changes_per_s : float
        Rate of one administration instance.
    calls_per_change : dict
        Calls of the object API by verb.
    sent_bytes_per_change, received_bytes_per_change : float
        Bytes to and from the object API.
    largest_head_bytes : int
        Largest size of the head.
    """

    objects: int
    changes: int
    changes_per_s: float
    calls_per_change: dict[str, float]
    sent_bytes_per_change: float
    received_bytes_per_change: float
    largest_head_bytes: int


class ForceReport(msgspec.Struct):
    """Time from the start of a change's call until it is in force everywhere.

    Parameters
    ----------
    instances, changes : int
        How many took part.
    p50_ms, p99_ms, max_ms : float
        Over all instances and changes.
    missing : int
        Pairs of instance and change that were not in force at the end.
    store_calls_per_s : float
        Calls of all daemons together.
    control_bytes_per_s : float
        Sent and received by one daemon, with its membership's messages.
    """

    instances: int
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    missing: int
    store_calls_per_s: float
    control_bytes_per_s: float


class OutageReport(msgspec.Struct):
    """What an outage of the object API does.

    Parameters
    ----------
    outage_s : float
        How long it was.
    freshness : dict
        Instances by freshness at the end of the outage.
    lowered : int
        Instances whose number went down.
    joined_number, newest_number : int
        What an instance that starts in the outage has, and the newest.
    current_after_ms : float
        Time from the end of the outage until every instance is current.
    change_after_ms : float
        Time from then until a new change is in force everywhere.
    """

    outage_s: float
    freshness: dict[str, int]
    lowered: int
    joined_number: int
    newest_number: int
    current_after_ms: float
    change_after_ms: float


class ConfigurationReport(msgspec.Struct):
    """All that was measured."""

    log: LogReport
    in_force: ForceReport
    outage: OutageReport


def bench_objects(workspaces: int) -> list[DeclaredObject]:
    """Return declared objects of the size to design for."""
    kinds = (StageKind.ENCODE, StageKind.RETRIEVE, StageKind.RERANK, StageKind.GENERATE)
    pools = [TargetPool(name=kind.value, serves=kind) for kind in kinds]
    stages = tuple(
        Stage(
            name=kind.value,
            kind=kind,
            pool=kind.value,
            needs=(kinds[index - 1].value,) if index else (),
        )
        for index, kind in enumerate(kinds)
    )
    pipelines = [
        Pipeline(name=f"pipeline-{index}", stages=stages) for index in range(PIPELINES)
    ]
    spaces = [
        Workspace(name=f"space-{index}", token_sha256=(f"{index:064x}",))
        for index in range(workspaces)
    ]
    return [*pools, *pipelines, *spaces]


@dataclass
class BenchNode:
    """One daemon in this process: peers, membership, store and replica."""

    network: PeerNetwork
    membership: Membership
    store: ObjectStore
    replica: ConfigurationReplica
    distribution: Distribution
    in_force_s: dict[int, float] = field(default_factory=dict)
    lowered: int = 0

    async def tell_status(self) -> None:
        """Tell peers the number in force, as a daemon does."""
        while True:
            self.membership.set_status(self.replica.number)
            await trio.sleep(STATUS_INTERVAL_S)

    def note(self, state) -> None:
        """Remember when a number came into force."""
        now_s = trio.current_time()
        last = max(self.in_force_s, default=0)
        self.lowered += state.number < last
        for number in range(last + 1, state.number + 1):
            self.in_force_s[number] = now_s

    @property
    def traffic_bytes(self) -> int:
        """Bytes of messages sent and received."""
        counters = self.network.counters
        sent = sum(counters.sent_bytes.values())
        return sent + sum(counters.received_bytes.values())


class BenchFleet:
    """Daemons in one process, over loopback, with a stand-in of the object API."""

    def __init__(self, url: str, nursery: trio.Nursery, stack: AsyncExitStack):
        self.clock = SystemClock()
        self.nodes: list[BenchNode] = []
        self._url = url
        self._nursery = nursery
        self._stack = stack
        self._seeds: tuple[Seed, ...] = ()

    async def store(self, seed: int) -> ObjectStore:
        """Open a client of the object API."""
        budget = StoreBudget(rate_per_s=500.0, burst=500)
        store = ObjectStore(self._url, budget, self.clock, Random(seed))
        return await self._stack.enter_async_context(store)

    async def add(self, index: int, region: str) -> BenchNode:
        """Start one daemon; returns once it has its first state."""
        clock, random = self.clock, Random(index)
        identity = PeerIdentity(
            InstanceId(f"entry-{index}"),
            Incarnation(1),
            DataCentreId(f"{region}-1"),
            RegionId(region),
        )
        network = PeerNetwork(identity, FleetKeys([FLEET_KEY]), clock, random)
        serve = partial(network.serve, "127.0.0.1", 0)
        address = PeerAddress("127.0.0.1", await self._nursery.start(serve))
        membership = Membership(
            network, None, clock, random, address, role="entry", seeds=self._seeds
        )
        replica = ConfigurationReplica(clock)
        store = await self.store(index)
        distribution = Distribution(
            replica,
            store,
            network,
            membership.rumours,
            membership,
            Place(identity.instance_id, identity.region),
            clock,
            random,
        )
        node = BenchNode(network, membership, store, replica, distribution)
        replica.on_change(node.note)
        await self._nursery.start(membership.run)
        await self._nursery.start(distribution.run)
        self._nursery.start_soon(node.tell_status)
        self._seeds = self._seeds or (Seed(identity.instance_id, address),)
        self.nodes.append(node)
        return node

    def all_have(self, number: int) -> bool:
        """Return whether a number is in force on every daemon."""
        return all(node.replica.number >= number for node in self.nodes)

    def all_current(self) -> bool:
        """Return whether every daemon knows that it is current."""
        return all(one.replica.freshness.value == "current" for one in self.nodes)


@asynccontextmanager
async def open_fleet():
    """Run a stand-in of the object API; gives it and an empty fleet."""
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        bound = await nursery.start(serve_standin, ObjectApiSettings())
        yield bound.standin, BenchFleet(bound.url, nursery, stack)
        nursery.cancel_scope.cancel()


async def fill(log: ConfigurationLog, workspaces: int) -> None:
    """Declare the objects, a bounded number in each change."""
    objects = bench_objects(workspaces)
    for start in range(0, len(objects), EDITS_PER_CHANGE):
        edits = tuple(
            RequestedEdit(ObjectKey(one.kind, one.name), 0, Replace(stored_value(one)))
            for one in objects[start : start + EDITS_PER_CHANGE]
        )
        answer = await log.submit(RequestedChange(f"fill-{start}", "bench", edits))
        answer.unwrap()


async def change_pipeline(log: ConfigurationLog, turn: int) -> int:
    """Change the deadline of one pipeline; return the change's number."""
    key = ObjectKey("pipeline", f"pipeline-{turn % PIPELINES}")
    present = log.state.get(*key)
    value = stored_value(present.declared) | {"deadline_ms": 3_000 + turn}
    edit = RequestedEdit(key, present.version, Replace(value))
    answer = await log.submit(RequestedChange(f"turn-{turn}", "bench", (edit,)))
    return answer.unwrap().number


async def measure_log(fleet: BenchFleet, changes: int, workspaces: int):
    """Accept changes one after the other; return the log and the report."""
    store = await fleet.store(-1)
    log = ConfigurationLog(store, fleet.clock, Random(0))
    await fill(log, workspaces)
    before = _calls_by_verb(store)
    sent, received = _bytes_of(store)
    largest = 0
    started_s = trio.current_time()
    for turn in range(changes):
        await change_pipeline(log, turn)
        size_bytes = len(msgspec.json.encode(to_value(log.head)))
        largest = max(largest, size_bytes)
    took_s = trio.current_time() - started_s
    after = _calls_by_verb(store)
    sent_after, received_after = _bytes_of(store)
    report = LogReport(
        len(log.state),
        changes,
        changes / took_s,
        {
            verb: (count - before.get(verb, 0)) / changes
            for verb, count in after.items()
        },
        (sent_after - sent) / changes,
        (received_after - received) / changes,
        largest,
    )
    return log, report


async def measure_in_force(
    fleet: BenchFleet, log: ConfigurationLog, changes: int, rate_per_s: float
) -> ForceReport:
    """Accept changes at a rate; measure when each is in force on each daemon."""
    started_s = trio.current_time()
    calls = sum(sum(_calls_by_verb(one.store).values()) for one in fleet.nodes)
    traffic_bytes = sum(node.traffic_bytes for node in fleet.nodes)
    asked_s: dict[int, float] = {}
    for turn in range(changes):
        now_s = trio.current_time()
        asked_s[await change_pipeline(log, 10_000 + turn)] = now_s
        await trio.sleep(1 / rate_per_s)
    await trio.sleep(7.0)
    took_s = trio.current_time() - started_s
    delays_ms = sorted(
        to_ms(node.in_force_s[number] - at_s)
        for node in fleet.nodes
        for number, at_s in asked_s.items()
        if number in node.in_force_s
    )
    calls = sum(sum(_calls_by_verb(one.store).values()) for one in fleet.nodes) - calls
    traffic_bytes = sum(node.traffic_bytes for node in fleet.nodes) - traffic_bytes
    return ForceReport(
        len(fleet.nodes),
        changes,
        _percentile(delays_ms, 50),
        _percentile(delays_ms, 99),
        delays_ms[-1],
        len(fleet.nodes) * changes - len(delays_ms),
        calls / took_s,
        traffic_bytes / took_s / len(fleet.nodes),
    )


async def measure_outage(
    fleet: BenchFleet, log: ConfigurationLog, standin, outage_s: float
) -> OutageReport:
    """Take the store away, start a daemon meanwhile, and bring the store back."""
    standin.faults.change({"outage": "error"})
    await trio.sleep(outage_s)
    freshness: dict[str, int] = {}
    for node in fleet.nodes:
        name = node.replica.freshness.value
        freshness[name] = freshness.get(name, 0) + 1
    joined = await fleet.add(len(fleet.nodes), "r0")
    joined_number = joined.replica.number
    standin.faults.change({"reset": True})
    returned_s = trio.current_time()
    while not fleet.all_current():
        await trio.sleep(POLL_S)
    current_s = trio.current_time()
    newest = log.state.number
    number = await change_pipeline(log, 20_000)
    while not fleet.all_have(number):
        await trio.sleep(POLL_S)
    return OutageReport(
        outage_s,
        freshness,
        sum(node.lowered for node in fleet.nodes),
        joined_number,
        newest,
        to_ms(current_s - returned_s),
        to_ms(trio.current_time() - current_s),
    )


@dataclass(frozen=True)
class ConfigurationOptions:
    """Sizes of the measurement."""

    instances: int = 30
    regions: int = 3
    workspaces: int = 1_400
    log_changes: int = 300
    changes: int = 40
    rate_per_s: float = 2.0
    outage_s: float = 15.0


async def measure_configuration(options: ConfigurationOptions) -> ConfigurationReport:
    """Measure the log, the time until changes are in force, and an outage."""
    async with open_fleet() as (standin, fleet):
        log, log_report = await measure_log(
            fleet, options.log_changes, options.workspaces
        )
        for index in range(options.instances):
            await fleet.add(index, f"r{index % options.regions}")
        await trio.sleep(5.0)
        force = await measure_in_force(fleet, log, options.changes, options.rate_per_s)
        outage = await measure_outage(fleet, log, standin, options.outage_s)
        return ConfigurationReport(log_report, force, outage)


@cappa.command(name="configuration", help="Measure changes of the configuration.")
@dataclass
class ConfigurationCommand:
    """Measure changes of the configuration: their cost and when they are in force."""

    instances: Annotated[int, cappa.Arg(long=True, help="daemons")] = 30
    regions: Annotated[int, cappa.Arg(long=True, help="regions")] = 3
    workspaces: Annotated[int, cappa.Arg(long=True, help="declared")] = 1_400
    changes: Annotated[int, cappa.Arg(long=True, help="changes to follow")] = 40
    rate_per_s: Annotated[float, cappa.Arg(long="--rate-per-s")] = 2.0
    outage_s: Annotated[float, cappa.Arg(long="--outage-s")] = 15.0

    def __call__(self) -> None:
        """Run the measurement and print its report as JSON."""
        options = ConfigurationOptions(
            instances=self.instances,
            regions=self.regions,
            workspaces=self.workspaces,
            changes=self.changes,
            rate_per_s=self.rate_per_s,
            outage_s=self.outage_s,
        )
        report = trio.run(measure_configuration, options)
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
        Console().print(text, highlight=False, markup=False)


def _calls_by_verb(store: ObjectStore) -> dict[str, int]:
    calls: dict[str, int] = {verb.value: 0 for verb in Verb}
    for (_, verb), count in store.counts.items():
        calls[verb.value] += count.calls
    return calls


def _bytes_of(store: ObjectStore) -> tuple[int, int]:
    counts = store.counts.values()
    return sum(c.sent_bytes for c in counts), sum(c.received_bytes for c in counts)


def _percentile(ordered: Iterable[float], percent: float) -> float:
    values = list(ordered)
    return values[min(len(values) - 1, int(len(values) * percent / 100))]


if __name__ == "__main__":
    cappa.invoke(ConfigurationCommand)
