"""Measures the log of changes and the time until a change is in force."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from acaciapier.configuration import (
    ConfigurationLog,
    ObjectKey,
    Replace,
    RequestedChange,
    RequestedEdit,
)
from acaciapier.configuration.records import to_value
from acaciapier.core.clock import to_ms
from acaciapier.objects import (
    DeclaredObject,
    Pipeline,
    Stage,
    StageKind,
    TargetPool,
    Workspace,
    stored_value,
)
from acaciapier.store import ObjectStore, Verb

from .fleet import BenchFleet, open_fleet
from .reports import ConfigurationReport, ForceReport, LogReport, OutageReport

PIPELINES = 30
EDITS_PER_CHANGE = 200
POLL_S = 0.05


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
    own_bytes = sum(node.configuration_bytes for node in fleet.nodes)
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
    own_bytes = sum(node.configuration_bytes for node in fleet.nodes) - own_bytes
    return ForceReport(
        len(fleet.nodes),
        changes,
        _percentile(delays_ms, 50),
        _percentile(delays_ms, 99),
        delays_ms[-1],
        len(fleet.nodes) * changes - len(delays_ms),
        calls / took_s,
        traffic_bytes / took_s / len(fleet.nodes),
        own_bytes / took_s / len(fleet.nodes),
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
