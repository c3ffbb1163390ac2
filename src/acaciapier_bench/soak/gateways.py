"""The gateway processes of a soak."""

import random as random_module
import signal
import subprocess
from contextlib import suppress
from pathlib import Path

import trio

from acaciapier_standins.platform.platform import StandInPlatform
from acaciapier_standins.ports import free_ports

from .builds import Build, current_build
from .callers import HOST
from .checker import Announcements
from .gateway import ADDRESS_VARIABLE
from .partitions import Partitions
from .proxy import Link
from .rollout import Replacement

READY_S, READY_S_EACH = 20.0, 1.5
"""Time in which all gateways are ready, and what each adds: it takes about a second of
a processor, which it shares with the others."""

ANSWER_S = 2.0
SETTLED_S = 4.0
"""Time after which nothing is reserved: instances list what they hold each second, and
one such list may be lost."""

RESTART_AFTER_S = 0.3
"""Pause after which the platform starts a process again."""


class Gateways:
    """Starts, faults, replaces and ends the gateway processes.

    Parameters
    ----------
    platform : StandInPlatform
        What they run on.
    store_link : Link
        Their way to the store.
    folder : Path
        Where settings and logs go.
    partitions : Partitions or None
        Links of their own to the workers, if the soak cuts these.
    announcements : Announcements
        Told when a gateway is disturbed.
    nursery : trio.Nursery
        Runs the links between them.
    """

    def __init__(
        self,
        platform: StandInPlatform,
        store_link: Link,
        folder: Path,
        partitions: Partitions | None,
        announcements: Announcements,
        nursery: trio.Nursery,
    ):
        self.fronts: dict[str, int] = {}
        """Ports for callers, by gateway that runs or starts again."""
        self.links: dict[str, Link] = {}
        """Links by which the other gateways reach each one."""
        self.builds: dict[str, Build] = {}
        self._platform = platform
        self._store_link = store_link
        self._folder = folder
        self._partitions = partitions
        self._announcements = announcements
        self._nursery = nursery
        self._ports: dict[str, tuple[int, int, int]] = {}
        self._processes: dict[str, subprocess.Popen] = {}

    async def add(self, name: str, build: Build) -> None:
        """Start a gateway at ports of its own."""
        ports = self._ports[name] = tuple(free_ports(HOST, 3))
        link = self.links[name] = Link(ports[2])
        await self._nursery.start(link.run)
        self._write_settings(name)
        self.builds[name] = build
        self._start(name)
        self.fronts[name] = ports[0]

    async def wait_until_ready(self) -> None:
        """Wait until all gateways take requests."""
        with trio.fail_after(READY_S + READY_S_EACH * len(self.fronts)):
            for name in self.fronts:
                while not await self._is_ready(name):
                    await trio.sleep(0.1)

    async def harm(self, kind: str, name: str, length_s: float) -> None:
        """Send a gateway the signals of a fault."""
        process = self._processes[name]
        self._note_disturbed(name)
        with suppress(ProcessLookupError):
            if kind == "hup":
                process.send_signal(signal.SIGHUP)
            elif kind == "pause":
                self._note(self._announcements.struck_s, name)
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(length_s)
                process.send_signal(signal.SIGCONT)
                self._note_disturbed(name)
            elif kind == "kill":
                self._note(self._announcements.struck_s, name)
                process.kill()
            else:
                self._note(self._announcements.stopped_s, name)
                process.terminate()

    async def kill_all(self) -> None:
        """Kill all gateways at once."""
        for name in sorted(self.fronts):
            await self.harm("kill", name, 0.0)

    async def replace(self, name: str, build: Build, way: Replacement) -> str:
        """Replace a gateway by one of another build, and return the name of that one.

        A gateway that stops keeps running until it has answered its callers.
        """
        if way is Replacement.JOIN:
            fresh = f"{name}x"
            await self.add(fresh, build)
            while not await self._is_ready(fresh):
                await trio.sleep(0.1)
            del self.fronts[name]
            await self.harm("term", name, 0.0)
            return fresh
        self.builds[name] = build
        await self.harm("kill" if way is Replacement.KILL else "term", name, 0.0)
        return name

    async def restart_ended(self) -> None:
        """Start processes again that have ended, as the platform does."""
        while True:
            await trio.sleep(RESTART_AFTER_S)
            for name in self.fronts:
                if self._processes[name].poll() is not None:
                    self._note_disturbed(name)
                    self._start(name)

    def end(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def build_of(self, name: str) -> str:
        """Return the name of the build that a gateway runs, or is to run next."""
        build = self.builds.get(name)
        return build.name if build is not None else ""

    def pick(self, random: random_module.Random) -> str:
        """Return the name of a gateway that takes callers."""
        return random.choice(sorted(self.fronts))

    def _write_settings(self, name: str) -> None:
        first = next(iter(self._ports.values()))
        seeds = f"{HOST}:{first[2]}"
        text = self._platform.settings_text(name, self._ports[name], seeds)
        store = f"platform.addr={HOST}:"
        text = text.replace(
            f"{store}{self._platform.store_port}", f"{store}{self._store_link.port}"
        )
        (self._folder / f"{name}.conf").write_text(text)

    def _start(self, name: str) -> None:
        build = self.builds[name]
        environment = build.environment() | {
            "ACACIAPIER_BOOT": str(self._folder / f"{name}.conf"),
            "ACACIAPIER_FLEET_KEY": "the-key-of-the-soak",
        }
        module = "acaciapier.gateway.main"
        if self._partitions is not None:
            environment[ADDRESS_VARIABLE] = self._partitions.address_of_workers(name)
            module = "acaciapier_bench.soak.gateway"
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [build.python, "-m", module], env=environment, stdout=log, stderr=log
            )

    async def check_reserved(self) -> list[str]:
        """Return a line for each thing that is reserved some time after the load.

        Earlier builds do not tell what is reserved; one that does must tell it.
        """
        await trio.sleep(SETTLED_S)
        found, current = [], current_build().name
        for name in sorted(self.fronts):
            told = (await self._get(name, "/metrics")).decode().splitlines()
            told = [line for line in told if line.startswith("acaciapier_reserved{")]
            if not told and self.build_of(name) == current:
                found.append(f"{name} does not tell what is reserved")
            found += [
                f"{name}: {line} {SETTLED_S:g} s after the load"
                for line in told
                if float(line.rpartition(" ")[2])
            ]
        return found

    async def _is_ready(self, name: str) -> bool:
        return b" 200 " in await self._get(name, "/api/readyz")

    async def _get(self, name: str, path: str) -> bytes:
        """Return the status response of a gateway; nothing if there is none."""
        try:
            stream = await trio.open_tcp_stream(HOST, self._ports[name][1])
        except OSError:
            return b""
        data = []
        with trio.move_on_after(ANSWER_S):
            await self._exchange(stream, path, data)
        await trio.aclose_forcefully(stream)
        return b"".join(data)

    async def _exchange(
        self, stream: trio.SocketStream, path: str, data: list[bytes]
    ) -> None:
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        with suppress(trio.BrokenResourceError):
            await stream.send_all(request.encode())
            async for received in stream:
                data.append(received)

    def _note(self, times_s: dict[str, list[float]], name: str) -> None:
        times_s.setdefault(name, []).append(trio.current_time())

    def _note_disturbed(self, name: str) -> None:
        self._note(self._announcements.disturbed_s, name)
