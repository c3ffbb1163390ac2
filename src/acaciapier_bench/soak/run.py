"""One seeded soak: gateways as processes, faults in series that overlap."""

import os
import random as random_module
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from acaciapier.platform.workers import PEER_KIND
from acaciapier_standins.platform.example import KINDS, ROUTES, services
from acaciapier_standins.platform.platform import StandInPlatform, configuration
from acaciapier_standins.platform.workers import ENDLESS
from acaciapier_standins.ports import free_ports

from .callers import HOST, Received, SoakCaller
from .checker import Announcements, check, check_planned_work
from .gateway import ADDRESS_VARIABLE
from .partitions import BEFORE_S, Partitions, Way, check_partitions
from .plan import (
    FRAMING_FAULTS,
    PARTITION_FAULTS,
    PLANNED_FAULTS,
    REFUSAL_FAULTS,
    SoakPlan,
)
from .proxy import Link
from .releases import Releases
from .streams import StreamCounts, check_streams

RECOVERY_S = 4.0
"""Time after the last fault in which the deployment recovers."""

START_S, START_S_EACH = 20.0, 1.5
"""Time in which all gateways are ready, and what each adds: it takes about a second of
a processor, which it shares with the others."""

RESTART_AFTER_S = 0.3
"""Pause after which the platform starts a process again."""

LIMIT_PER_S = 1.0
WRITE_AGAIN_S = 1.2
"""Time after a restore of the store until operators and workers have written again."""

TURN_AWAY_S = 2.0
SILENCE_S = 1.0
SERVICES = services(call_ms=20.0, item_ms=1.0)


@dataclass
class SoakReport:
    """What one soak saw."""

    plan: SoakPlan
    faults: list[str] = field(default_factory=list)
    records: list[Received] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    streams: StreamCounts = field(default_factory=StreamCounts)
    partitions: list[str] = field(default_factory=list)
    """What callers noticed of each partition."""

    def summary(self) -> str:
        """Return one line."""
        done = sum(one.whole and one.status == 200 for one in self.records)
        line = (
            f"seed {self.plan.seed}: {done} of {len(self.records)} requests done, "
            f"{len(self.faults)} faults, {len(self.broken)} promises broken"
        )
        streams = self.streams
        if streams.went_on.count:
            line += (
                f"; {streams.went_on} resumed streams went on, {streams.refused} were "
                f"refused, {streams.began} new ones began; with two workers of their "
                f"version {streams.went_on_of_served} went on; {streams.mixed} streams "
                f"mixed, {streams.mixed_within} of them within an answer"
            )
        return line


class Soak:
    """Runs one plan.

    Parameters
    ----------
    plan : SoakPlan
        Size and seed.
    folder : Path
        Where settings and logs of the gateways go.
    """

    def __init__(self, plan: SoakPlan, folder: Path):
        self.report = SoakReport(plan)
        self._plan = plan
        self._folder = folder
        self._random = random_module.Random(plan.seed)
        self._processes: dict[str, subprocess.Popen] = {}
        self._ports: dict[str, tuple[int, int, int]] = {}
        self._drained_s: dict[str, float] = {}
        self._announcements = Announcements()
        self._links: dict[str, Link] = {}
        self._peer_links: dict[str, Link] = {}
        self._version = 1
        names = [f"edge-{number + 1}" for number in range(plan.gateways)]
        self._partitions = Partitions(names) if plan.has_partitions else None

    async def run(self) -> SoakReport:
        """Run the soak and check it."""
        async with trio.open_nursery() as nursery:
            try:
                await self._start(nursery)
                await self._play()
            finally:
                self._end_processes()
            nursery.cancel_scope.cancel()
        return self.report

    async def _start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._platform = StandInPlatform(nursery)
        self._releases = Releases(
            self._platform, self._links, self._drained_s, self._add_worker, nursery
        )
        await self._platform.start()
        self._store_link = Link(self._platform.store_port)
        await nursery.start(self._store_link.run)
        self._platform.store.translate = self._translate
        self._platform.configure(configuration(1, ROUTES, SERVICES))
        for service, kind in KINDS.items():
            for number in (1, 2, 3, 4) if self._plan.has_versions else (1, 2, 3):
                version = f"v{1 + number % 2}" if self._plan.has_versions else None
                await self._add_worker(f"{service}-{number}", service, kind, version)
        for number in range(self._plan.gateways):
            name = f"edge-{number + 1}"
            self._ports[name] = tuple(free_ports(HOST, 3))
            self._peer_links[name] = Link(self._ports[name][2])
            await nursery.start(self._peer_links[name].run)
            self._write_settings(name)
            self._start_gateway(name)
        with trio.fail_after(START_S + START_S_EACH * self._plan.gateways):
            for name in self._ports:
                while not await self._is_ready(name):
                    await trio.sleep(0.1)

    def _translate(self, kind: str, name: str, spec: Any) -> Any:
        """Let gateways reach one another by their links."""
        if kind != PEER_KIND or name not in self._peer_links:
            return spec
        return spec | {"port": self._peer_links[name].port}

    async def _add_worker(
        self, name: str, service: str, kind: str, version: str | None = None
    ) -> None:
        fields = {"kind": kind}
        if version is not None:
            fields |= self._releases.begin(name, kind, version)
        worker = await self._platform.add_worker(name, service, **fields)
        link = self._links[name] = Link(int(worker.address.rpartition(":")[2]))
        await self._nursery.start(link.run)
        worker.address = f"{HOST}:{link.port}"
        if self._partitions is not None:
            worker.address = await self._partitions.add_worker(link.port, self._nursery)
        self._platform.register(name, addr=worker.address)

    def _write_settings(self, name: str) -> None:
        first = next(iter(self._ports.values()))
        seeds = f"{HOST}:{first[2]}"
        text = self._platform.settings_text(name, self._ports[name], seeds)
        store = f"platform.addr={HOST}:"
        text = text.replace(
            f"{store}{self._platform.store_port}", f"{store}{self._store_link.port}"
        )
        (self._folder / f"{name}.conf").write_text(text)

    def _start_gateway(self, name: str) -> None:
        environment = os.environ | {
            "ACACIAPIER_BOOT": str(self._folder / f"{name}.conf"),
            "ACACIAPIER_FLEET_KEY": "the-key-of-the-soak",
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        module = "acaciapier.gateway.main"
        if self._partitions is not None:
            environment[ADDRESS_VARIABLE] = self._partitions.address_of_workers(name)
            module = "acaciapier_bench.soak.gateway"
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module],
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def _is_ready(self, name: str) -> bool:
        try:
            stream = await trio.open_tcp_stream(HOST, self._ports[name][1])
        except OSError:
            return False
        async with stream:
            await stream.send_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await stream.receive_some(1_000)

    async def _play(self) -> None:
        start_s = trio.current_time()
        self._faults_end_s = faults_end_s = start_s + self._plan.seconds
        calm_from_s = faults_end_s + RECOVERY_S
        until_s = calm_from_s + 2.0
        fronts = {name: ports[0] for name, ports in self._ports.items()}
        self._nursery.start_soon(self._restart_ended)
        async with trio.open_nursery() as nursery:
            for number in range(self._plan.callers):
                caller = SoakCaller(
                    f"c{number}",
                    fronts,
                    random_module.Random(self._plan.seed * 1_000 + number),
                    self.report.records,
                    self._plan.has_versions,
                )
                nursery.start_soon(caller.run, until_s)
            if self._partitions is not None:
                await trio.sleep(BEFORE_S)
            while trio.current_time() < faults_end_s:
                await trio.sleep(self._random.expovariate(2.0))
                fault = self._random.choice(self._plan.faults)
                nursery.start_soon(self._inject, fault)
        self.report.broken = check(
            self.report.records,
            self._platform.run_log,
            self._drained_s,
            calm_from_s,
            self._announcements,
        )
        if self._partitions is not None:
            found, self.report.partitions = check_partitions(
                self.report.records,
                self._partitions.played,
                self._announcements.remembers,
            )
            self.report.broken += found
        if self._plan.has_versions:
            found, self.report.streams = check_streams(
                self.report.records,
                self._releases.lifetimes,
                self._announcements.remembers,
            )
            self.report.broken += found
        if set(self._plan.faults) <= set(PLANNED_FAULTS):
            self.report.broken += check_planned_work(
                self.report.records, self._platform.run_log
            )

    async def _inject(self, kind: str) -> None:
        length_s = self._random.uniform(0.3, 2.5)
        self.report.faults.append(kind)
        name = self._random.choice(sorted(self._ports))
        worker = self._random.choice(sorted(self._links))
        if kind in ("kill", "pause", "term", "hup"):
            await self._harm_process(kind, name, length_s)
        elif kind == "store_restored":
            await self._restore_store(length_s)
        elif kind.startswith("store"):
            await self._harm_store(kind, length_s)
        elif kind.startswith("peer"):
            await self._harm_peer(kind, name, length_s)
        elif kind == "config":
            self._version += self._random.randint(1, 5)
            self._platform.configure(configuration(self._version, ROUTES, SERVICES))
        elif kind == "compact":
            self._platform.store.compact()
        elif kind in PARTITION_FAULTS:
            way = Way(kind.removeprefix("partition_"))
            await self._partitions.play(way, self._random, self._faults_end_s)
        elif kind == "upgrade":
            await self._releases.upgrade(self._random, self._announcements.leaving_s)
        elif kind == "release":
            await self._releases.release(self._random)
        else:
            await self._harm_worker(kind, worker, length_s)

    async def _harm_process(self, kind: str, name: str, length_s: float) -> None:
        process = self._processes[name]
        self._note_disturbed(name)
        with suppress(ProcessLookupError):
            if kind == "hup":
                process.send_signal(signal.SIGHUP)
            elif kind == "pause":
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(length_s)
                process.send_signal(signal.SIGCONT)
                self._note_disturbed(name)
            elif kind == "kill":
                process.kill()
            else:
                process.terminate()

    async def _restart_ended(self) -> None:
        """Start processes again that have ended, as the platform does."""
        while True:
            await trio.sleep(RESTART_AFTER_S)
            for name, process in list(self._processes.items()):
                if process.poll() is not None:
                    self._note_disturbed(name)
                    self._start_gateway(name)

    def _note_disturbed(self, name: str) -> None:
        times = self._announcements.disturbed_s.setdefault(name, [])
        times.append(trio.current_time())

    async def _restore_store(self, age_s: float) -> None:
        """Take the store away for a moment and let it return from a copy."""
        faults, store = self._platform.store.faults, self._platform.store
        faults.down = True
        await trio.sleep(RESTART_AFTER_S)
        store.restore(age_s)
        faults.down = False
        await trio.sleep(WRITE_AGAIN_S)
        self._platform.write_again()

    async def _harm_store(self, kind: str, length_s: float) -> None:
        faults, link = self._platform.store.faults, self._store_link
        if kind == "store_down":
            faults.down = True
        elif kind == "store_silent":
            faults.silent = True
        elif kind == "store_slow":
            faults.delay_s = 0.3
        elif kind == "store_cut":
            link.faults.cut_to_client = True
        else:
            link.reset_all()
        await trio.sleep(length_s)
        faults.down = faults.silent = link.faults.cut_to_client = False
        faults.delay_s = 0.0

    async def _harm_peer(self, kind: str, name: str, length_s: float) -> None:
        link = self._peer_links[name]
        if kind == "peer_reset":
            link.reset_all()
        link.faults.cut_to_server = kind == "peer_cut"
        link.faults.cut_to_client = kind == "peer_deaf"
        link.faults.delay_s = 0.15 if kind == "peer_slow" else 0.0
        await trio.sleep(length_s)
        link.faults.cut_to_server = link.faults.cut_to_client = False
        link.faults.delay_s = 0.0

    async def _harm_worker(self, kind: str, name: str, length_s: float) -> None:
        worker, link = self._platform.workers[name], self._links[name]
        if kind in ("drain", "leaving", "limit", "turn_away"):
            self._releases.end(name)
        if kind == "worker_reset":
            link.reset_all()
        elif kind == "worker_cut":
            link.faults.cut_to_server = True
        elif kind == "worker_mute":
            worker.faults.mute = True
        elif kind == "worker_crash":
            link.faults.refuse = True
            link.reset_all()
        elif kind == "drain":
            self._drained_s.setdefault(name, trio.current_time())
            self._platform.register(name, state="draining")
            service, _, number = name.partition("-")
            fresh = f"{service}-{number}x"
            if fresh not in self._links:
                await self._add_worker(fresh, service, KINDS[service], worker.version)
        elif kind == "leaving":
            self._announcements.leaving_s.setdefault(name, trio.current_time())
            worker.faults.leaving = True
            service, _, number = name.partition("-")
            fresh = f"{service}-{number}y"
            if fresh not in self._links:
                await self._add_worker(fresh, service, KINDS[service], worker.version)
        elif kind == "limit":
            now_s = trio.current_time()
            self._announcements.limits.setdefault(name, (LIMIT_PER_S, now_s))
            worker.faults.limit = str(LIMIT_PER_S)
        elif kind == "endless":
            if worker.kind != "stage":
                worker.faults.endless = self._random.choice(sorted(ENDLESS))
        elif kind == "turn_away":
            worker.faults.turn_away = str(TURN_AWAY_S)
        elif kind == "silence":
            await self._silence(name)
            return
        elif kind == "extra":
            worker.faults.extra_answer = True
        elif kind == "busy":
            worker.faults.status = 503
        elif kind in REFUSAL_FAULTS:
            worker.faults.refuse_share = 0.5
            worker.faults.late_copy_s = 0.01 if kind == "full_twice" else None
        elif kind in FRAMING_FAULTS:
            worker.faults.unframed = True
            # Callers cannot tell that a plain answer without a length is cut.
            cut = kind == "unframed_break" and worker.kind == "stream"
            worker.faults.cut_after = 2 if cut else None
        else:
            worker.faults.cut_after = 2
        await trio.sleep(length_s)
        worker.faults.mute = worker.faults.extra_answer = False
        worker.faults.unframed = False
        worker.faults.status = worker.faults.late_copy_s = None
        worker.faults.refuse_share = 0.0
        worker.faults.cut_after = None
        worker.faults.turn_away = worker.faults.endless = None
        link.faults.cut_to_server = link.faults.refuse = False

    async def _silence(self, name: str) -> None:
        faults, over = self._platform.workers[name].faults, trio.Event()
        faults.silence = over
        await trio.sleep(SILENCE_S)
        over.set()
        if faults.silence is over:
            faults.silence = None

    def _end_processes(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def run_soak(plan: SoakPlan, folder: Path | None = None) -> SoakReport:
    """Run one soak; settings and logs stay in `folder` if one is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(Soak(plan, folder).run)
    with tempfile.TemporaryDirectory() as made:
        return trio.run(Soak(plan, Path(made)).run)
