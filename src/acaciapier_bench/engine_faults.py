"""Rolls new weights out with real controllers that are killed and frozen.

Run it by ``python -m acaciapier_bench.engine_faults``. It starts an object API, an
instance list, a weight store, engines and controllers, changes the pool's model
version, kills one controller and freezes another during the loads, and compares what
the engines run and what the weight store served.
"""

import random
import sys
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import trio

from acaciapier.configuration import (
    ConfigurationLog,
    ObjectKey,
    Replace,
    RequestedChange,
    RequestedEdit,
)
from acaciapier.core.clock import SystemClock
from acaciapier.store import ObjectStore, StoreBudget
from acaciapier_standins import WeightStoreSettings, serve_standin

from .deployment import Deployment, Plan, Pool
from .seeding import seed_configuration

ENGINES = 8
CONTROLLERS = 3
MODEL_BYTES = 3e9
TRANSFER_BYTES_PER_S = 1e9
FREEZE_S = 15.0
LIMIT_S = 180.0
POOL = {"kind": "pool", "name": "generate", "serves": "generate", "model": "m"}


@dataclass(frozen=True)
class FaultReport:
    """What one run showed."""

    took_s: float
    loads: int
    most_loading: int
    versions: tuple[str, ...]

    def problems(self) -> list[str]:
        """Return what must not have been."""
        found = []
        if set(self.versions) != {"2"}:
            found.append(f"engines run versions {self.versions}")
        if self.most_loading > ENGINES // 4:
            found.append(f"{self.most_loading} engines loaded at once")
        if self.loads != ENGINES:
            found.append(f"{self.loads} loads for {ENGINES} engines")
        return found


async def run_faults(directory: Path) -> FaultReport:
    """Run the roll-out with faults and return what was seen."""
    weights_settings = WeightStoreSettings(
        default_size_bytes=MODEL_BYTES, transfer_bytes_per_s=TRANSFER_BYTES_PER_S
    )
    async with trio.open_nursery() as nursery:
        weights = await nursery.start(serve_standin, weights_settings)
        plan = _plan(weights.url)
        async with Deployment(plan, directory) as deployment:
            await deployment.start()
            report = await _roll_out(deployment, weights.standin)
        nursery.cancel_scope.cancel()
    return report


def _plan(weight_store_url: str) -> Plan:
    engine = {
        "model": "m",
        "model_version": "1",
        "weight_store_url": weight_store_url,
    }
    return Plan(
        bundle=Path(),
        pools=(Pool("generate", "engine", ENGINES, engine),),
        entries=0,
        data_centres=("dc-1",),
        region="region-1",
        seeded=False,
    )


async def _roll_out(deployment: Deployment, weights: Any) -> FaultReport:
    store_url = deployment.members["object-api"].url
    await seed_configuration(store_url, [{**POOL, "model_version": "1"}])
    for number in range(1, CONTROLLERS + 1):
        await deployment.start_instance("controller", number)
    await trio.sleep(5.0)
    await _change_version(store_url, "2")
    started_s = trio.current_time()
    with trio.move_on_after(LIMIT_S):
        while weights.loading == 0:
            await trio.sleep(0.05)
        await deployment.kill("controller-1")
        deployment.freeze("controller-2")
        await trio.sleep(FREEZE_S)
        deployment.thaw("controller-2")
        while set(await _versions(deployment)) != {"2"}:
            await trio.sleep(0.2)
    took_s = trio.current_time() - started_s
    versions = tuple(await _versions(deployment))
    loads = sum(weights.report()["calls"].get("m", {}).values())
    return FaultReport(took_s, loads, weights.most_loading, versions)


async def _versions(deployment: Deployment) -> list[str]:
    """Return what the engines run; an engine that loads has the word `loading`."""
    words = [await deployment.target_word(one.name) for one in deployment.targets]
    states = [word["state"] for word in words]
    return ["loading" if s["loading"] else s["model_version"] for s in states]


async def _change_version(store_url: str, version: str) -> None:
    clock, source = SystemClock(), random.Random(1)
    pool = {**POOL, "model_version": version}
    edit = RequestedEdit(ObjectKey("pool", "generate"), 1, Replace(pool))
    async with ObjectStore(store_url, StoreBudget(), clock, source) as store:
        log = ConfigurationLog(store, clock, source)
        answer = await log.submit(RequestedChange("roll-out", "bench", (edit,)))
    if answer.is_err():
        raise SystemExit(str(answer.unwrap_err()))


def main() -> None:
    """Run once, print what was seen, and fail if something must not have been."""
    with TemporaryDirectory() as directory:
        report = trio.run(run_faults, Path(directory))
    print(report)
    problems = report.problems()
    if problems:
        sys.exit("; ".join(problems))


if __name__ == "__main__":
    main()
