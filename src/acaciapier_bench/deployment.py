"""A local deployment: stand-ins and instances as separate processes."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore
import trio

from acaciapier.objects import load_bundle
from acaciapier_standins.ports import free_ports

from .seeding import seed_configuration

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
HOST = "127.0.0.1"
MODULES = {
    "entry": "acaciapier.entry.main",
    "admin": "acaciapier.admin.main",
    "controller": "acaciapier.engines.main",
}
INSTANCE_MODULES = frozenset(MODULES.values())
FLEET_KEY = "local-fleet-key-for-tests"


class DeploymentError(Exception):
    """A process did not start, or ended too early."""


@dataclass
class Member:
    """One process of the deployment."""

    name: str
    module: str
    arguments: list[str]
    url: str
    directory: Path
    process: trio.Process | None = None
    frozen: bool = False

    @property
    def log_path(self) -> Path:
        """File with what the process prints."""
        return self.directory / f"{self.name}.log"

    def log_text(self) -> str:
        """Return what the process has printed."""
        return self.log_path.read_text() if self.log_path.exists() else ""


@dataclass(frozen=True)
class Pool:
    """Stand-ins of one target pool."""

    name: str
    kind: str
    count: int
    settings: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Plan:
    """What a deployment is made of."""

    bundle: Path
    pools: tuple[Pool, ...]
    entries: int
    data_centres: tuple[str, ...]
    region: str
    object_api: dict[str, Any] = field(default_factory=dict)
    instance_list: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)
    admin: dict[str, Any] = field(default_factory=dict)
    controller: dict[str, Any] = field(default_factory=dict)
    others: tuple[str, ...] = ()
    seeded: bool = True


class Deployment:
    """Starts, faults and stops the processes of a plan.

    Examples
    --------
    >>> async with Deployment(plan) as deployment:  # doctest: +SKIP
    ...     await deployment.start()
    ...     await deployment.kill("entry-1")
    """

    def __init__(self, plan: Plan, directory: Path | None = None):
        self.plan = plan
        self._owns_directory = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix="acaciapier-"))
        self.members: dict[str, Member] = {}
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=2.0)

    async def __aenter__(self) -> "Deployment":
        return self

    async def __aexit__(self, *exc_info) -> None:
        with trio.CancelScope(shield=True):
            await self.stop()
            await self._pool.aclose()
        if self._owns_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    @property
    def entries(self) -> list[Member]:
        """All entry instances."""
        return [m for m in self.members.values() if m.name.startswith("entry-")]

    @property
    def admins(self) -> list[Member]:
        """All administration instances."""
        return [m for m in self.members.values() if m.name.startswith("admin-")]

    @property
    def targets(self) -> list[Member]:
        """All targets."""
        names = {pool.name for pool in self.plan.pools}
        return [
            member
            for member in self.members.values()
            if member.name.rpartition("-")[0] in names
        ]

    async def start(self) -> None:
        """Start everything and wait until requests can be served."""
        plan = self.plan
        await self._start_standin("object-api", "object-api", plan.object_api)
        await self._start_standin("instance-list", "instance-list", plan.instance_list)
        if plan.seeded:
            objects = [one.model_dump(mode="json") for one in load_bundle(plan.bundle)]
            await seed_configuration(self.members["object-api"].url, objects)
        async with trio.open_nursery() as nursery:
            for pool in plan.pools:
                for number in range(1, pool.count + 1):
                    nursery.start_soon(self._start_target, pool, number)
        async with trio.open_nursery() as nursery:
            for number in range(1, plan.entries + 1):
                nursery.start_soon(self.start_instance, "entry", number)
            for index, role in enumerate(plan.others, start=1):
                number = plan.others[:index].count(role)
                nursery.start_soon(self.start_instance, role, number)
        for member in self.entries:
            await self._wait_until_ready(member)
        for member in self.admins:
            await self._wait_for_port(member)

    async def stop(self) -> None:
        """Stop everything in reverse order; end what does not stop in time."""
        for member in self.members.values():
            self.thaw(member.name)
        instances = [m for m in self.members.values() if m.module in INSTANCE_MODULES]
        async with trio.open_nursery() as nursery:
            for member in instances:
                nursery.start_soon(self.terminate, member.name)
        async with trio.open_nursery() as nursery:
            for member in reversed(self.members.values()):
                nursery.start_soon(self.terminate, member.name)

    async def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        process = self.members[name].process
        if process.poll() is None:
            process.kill()
        await process.wait()

    async def terminate(self, name: str) -> int:
        """End a process with SIGTERM and return its exit code."""
        process = self.members[name].process
        if process is None:
            return 0
        if process.poll() is None:
            process.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S):
            return await process.wait()
        process.kill()
        return await process.wait()

    async def restart(self, name: str) -> None:
        """Start a process again that has ended; leave one that runs."""
        member = self.members[name]
        if member.process.poll() is None:
            return
        await self._spawn(member)
        if member in self.entries:
            await self._wait_until_ready(member)

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP, unless it has ended."""
        member = self.members[name]
        if member.process.poll() is not None:
            return
        os.kill(member.process.pid, signal.SIGSTOP)
        member.frozen = True

    def thaw(self, name: str) -> None:
        """Let a stopped process go on."""
        member = self.members[name]
        if member.frozen and member.process.poll() is None:
            os.kill(member.process.pid, signal.SIGCONT)
        member.frozen = False

    async def control(self, name: str, faults: dict[str, Any]) -> None:
        """Set faults of a stand-in."""
        await self._pool.request(
            "POST",
            f"{self.members[name].url}/control",
            headers=[(b"content-type", b"application/json")],
            content=json.dumps(faults).encode(),
        )

    async def target_word(self, name: str) -> dict[str, Any]:
        """Return what a target says about itself."""
        url = f"{self.members[name].url}/v1/load"
        response = await self._pool.request("GET", url)
        return json.loads(response.content)

    async def book(self, name: str) -> dict[str, Any]:
        """Return the book of a stand-in."""
        url = f"{self.members[name].url}/book"
        response = await self._pool.request("GET", url)
        return json.loads(response.content)

    def book_lines(self) -> list[dict[str, Any]]:
        """Return all lines that targets have written to their books."""
        lines: list[dict[str, Any]] = []
        for path in sorted(self.directory.glob("*.book")):
            for line in path.read_text().splitlines():
                lines.append(json.loads(line))
        return lines

    async def _start_standin(
        self, name: str, kind: str, settings: dict[str, Any]
    ) -> None:
        port = free_port()
        path = self._write_settings(name, {**settings, "port": port})
        arguments = [kind, "--settings", str(path)]
        url = f"http://{HOST}:{port}"
        member = Member(
            name, "acaciapier_standins.main", arguments, url, self.directory
        )
        self.members[name] = member
        await self._spawn(member)
        await self._wait_for_port(member)

    async def _start_target(self, pool: Pool, number: int) -> None:
        name = f"{pool.name}-{number}"
        centres = self.plan.data_centres
        settings = {
            **pool.settings,
            "id": name,
            "pool": pool.name,
            "seed": number,
            "data_centre": centres[number % len(centres)],
            "region": self.plan.region,
            "instance_list_url": self.members["instance-list"].url,
            "book_path": str(self.directory / f"{name}.book"),
        }
        await self._start_standin(name, pool.kind, settings)

    async def start_instance(self, role: str, number: int) -> None:
        """Start an instance of a role and do not wait for it."""
        name = f"{role}-{number}"
        port = free_port()
        settings = {
            **getattr(self.plan, role),
            **self._fleet_settings(name, number),
            "listen": {"host": HOST, "port": port},
        }
        path = self._write_settings(name, settings)
        member = Member(
            name,
            MODULES[role],
            ["--settings", str(path)],
            f"http://{HOST}:{port}",
            self.directory,
        )
        self.members[name] = member
        await self._spawn(member)

    def _fleet_settings(self, name: str, number: int) -> dict[str, Any]:
        centres = self.plan.data_centres
        return {
            "instance": {
                "id": name,
                "data_centre": centres[number % len(centres)],
                "region": self.plan.region,
            },
            "inner": {"host": HOST, "port": free_port()},
            "fleet_keys": [FLEET_KEY],
            "platform": {
                "object_api_url": self.members["object-api"].url,
                "instance_list_url": self.members["instance-list"].url,
            },
        }

    async def _spawn(self, member: Member) -> None:
        command = [sys.executable, "-m", member.module, *member.arguments]
        with open(member.log_path, "ab") as output:
            member.process = await trio.lowlevel.open_process(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    async def _wait_for_port(self, member: Member) -> None:
        port = int(member.url.rpartition(":")[2])
        with trio.move_on_after(START_TIMEOUT_S):
            while member.process.poll() is None:
                try:
                    stream = await trio.open_tcp_stream(HOST, port)
                except OSError:
                    await trio.sleep(POLL_S)
                else:
                    await stream.aclose()
                    return
        raise DeploymentError(f"{member.name} has not started: {member.log_text()}")

    async def _wait_until_ready(self, member: Member) -> None:
        await self._wait_for_port(member)
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                response = await self._pool.request("GET", f"{member.url}/readyz")
                if response.status == 200:
                    return
                await trio.sleep(POLL_S)

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path


def free_port() -> int:
    """Return a TCP port that nothing listens on."""
    return free_ports(HOST, 1)[0]
