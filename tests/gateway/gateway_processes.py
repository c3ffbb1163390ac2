"""Gateways as processes of their own on the stand-in platform of a test."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from acaciapier.platform.settings import FLEET_KEY_VARIABLE, PATH_VARIABLE
from acaciapier_standins.platform.example import KINDS, ROUTES
from acaciapier_standins.platform.platform import HOST, StandInPlatform, configuration
from acaciapier_standins.ports import free_ports

from .support import ENVIRONMENT, SERVICES, Caller

READY_S = 20.0
COMMAND = (sys.executable, "-m", "acaciapier.gateway.main")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class GatewayProcess:
    """One gateway process.

    Parameters
    ----------
    name : str
        Name of the instance.
    ports : sequence of int
        Ports for callers, readiness, and other instances.
    folder : Path
        Where its settings and its log are.
    """

    def __init__(self, name: str, ports: list[int], folder: Path):
        self.name = name
        self.front, self._ready, self.control = ports
        self._settings_path = folder / f"{name}.conf"
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None

    def start(self, settings_text: str, command: Sequence[str] = COMMAND) -> None:
        """Start the process."""
        self._settings_path.write_text(settings_text)
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                env=os.environ
                | {PATH_VARIABLE: str(self._settings_path)}
                | {FLEET_KEY_VARIABLE: ENVIRONMENT[FLEET_KEY_VARIABLE]},
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def resident_bytes(self) -> int:
        """Memory of the process."""
        statm = Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors of the process."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    @property
    def log(self) -> str:
        """What the process has written."""
        return self._log_path.read_text()

    def caller(self) -> Caller:
        """Return a new client."""
        return Caller(self.front)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the process takes requests."""
        with trio.fail_after(READY_S):
            while not await self._is_ready():
                assert self.running, self.log
                await trio.sleep(0.05)

    def end(self) -> None:
        """End the process."""
        if self.running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()

    async def _is_ready(self) -> bool:
        try:
            stream = await trio.open_tcp_stream(HOST, self._ready)
        except OSError:
            return False
        async with stream:
            await stream.send_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await stream.receive_some(1_000)


class ProcessDeployment:
    """Gateway processes and the stand-in platform that they run on."""

    def __init__(
        self,
        platform: StandInPlatform,
        gateways: list[GatewayProcess],
        first_start: bool = False,
    ):
        self.platform = platform
        self.gateways = gateways
        self._first_start = first_start

    def settings_text(self, gateway: GatewayProcess) -> str:
        """Return the settings of a gateway; the first one is the seed."""
        ports = (gateway.front, gateway._ready, gateway.control)
        seeds = f"{HOST}:{self.gateways[0].control}"
        return self.platform.settings_text(
            gateway.name, ports, seeds, self._first_start
        )


@asynccontextmanager
async def gateway_processes(
    folder: Path,
    count: int = 1,
    memory_mb: float = 256.0,
    routes=ROUTES,
    services=SERVICES,
    first_start: bool = False,
    max_descriptors: int = 1_024,
    limits: dict | None = None,
    joined: Mapping[str, str] | None = None,
):
    """Run gateway processes on a platform with two workers per service.

    `memory_mb` and `max_descriptors` are in their settings, and `limits` replaces some
    of the configuration's limits on input. `first_start` tells whether their settings
    call this the first start of the system. `joined` names further workers of the
    service `model`, with their software versions, that are listed before it.
    """
    async with trio.open_nursery() as nursery:
        platform = StandInPlatform(nursery)
        platform.memory_mb = memory_mb
        platform.max_descriptors = max_descriptors
        await platform.start()
        configured = configuration(1, routes, services)
        configured["limits"].update(limits or {})
        platform.configure(configured)
        for service, kind in KINDS.items():
            for number in (1, 2):
                await platform.add_worker(f"{service}-{number}", service, kind=kind)
        for name, version in (joined or {}).items():
            await platform.add_worker(
                name, "model", kind=KINDS["model"], version=version
            )
        ports = free_ports(HOST, 3 * count)
        gateways = [
            GatewayProcess(f"edge-{n + 1}", ports[3 * n : 3 * n + 3], folder)
            for n in range(count)
        ]
        world = ProcessDeployment(platform, gateways, first_start)
        try:
            for gateway in gateways:
                gateway.start(world.settings_text(gateway))
            for gateway in gateways:
                await gateway.wait_ready()
            yield world
        finally:
            for gateway in gateways:
                gateway.end()
            nursery.cancel_scope.cancel()
