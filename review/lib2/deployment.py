"""A small deployment on loopback for the cases of the second review.

The gateways are the project's own processes, started with the command of the deploy
file. Store and workers are the project's stand-ins, in the process of the case.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

import trio  # noqa: E402

from acaciapier_standins.platform.platform import StandInPlatform  # noqa: E402
from acaciapier_standins.ports import free_ports  # noqa: E402

HOST = "127.0.0.1"
READY_S = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the case."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def write(self, *words) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._start_s:8.3f} " + " ".join(map(str, words))
        print(line, file=self._file, flush=True)


class Gateways:
    """Starts, signals and ends gateway processes."""

    def __init__(self, platform: StandInPlatform, folder: Path, record: Record):
        self._platform = platform
        self._folder = folder
        self._record = record
        self._processes: dict[str, subprocess.Popen] = {}
        self._ports: dict[str, tuple[int, int, int]] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = deploy["roles"]["gateway"]

    def start(self, name: str, zone: str = "zone-a", settings=lambda text: text):
        """Start a gateway process, with new ports at its first start."""
        if name not in self._ports:
            self._ports[name] = tuple(free_ports(HOST, 3))
        seeds = ",".join(f"{HOST}:{ports[2]}" for ports in self._ports.values())
        text = self._platform.settings_text(name, self._ports[name], seeds, zone=zone)
        path = self._folder / f"{name}.conf"
        path.write_text(settings(text))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= self._role["env"] | {
            "ACACIAPIER_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write("start", name, "pid", self._processes[name].pid)

    def front(self, name: str) -> int:
        """Return the port for callers."""
        return self._ports[name][0]

    def ready_port(self, name: str) -> int:
        """Return the port of the readiness checks."""
        return self._ports[name][1]

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process; None while it runs."""
        return self._processes[name].poll()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway that this case started."""
        self._record.write("signal", number.name, name)
        self._processes[name].send_signal(number)

    async def is_ready(self, name: str, timeout_s: float = 1.0) -> bool:
        """Ask for readiness as the platform does."""
        data = b""
        with trio.move_on_after(timeout_s):
            try:
                stream = await trio.open_tcp_stream(HOST, self.ready_port(name))
                async with stream:
                    await stream.send_all(
                        b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    data = await stream.receive_some(65_536)
            except (OSError, trio.BrokenResourceError):
                pass
        return data.startswith(b"HTTP/1.1 200")

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until gateways say that they take requests."""
        with trio.fail_after(READY_S):
            for name in names:
                while not await self.is_ready(name):
                    await trio.sleep(0.1)
        self._record.write("ready", *names)

    def memory_mb(self, name: str) -> float:
        """Return the highest resident memory so far, in MB."""
        try:
            status = Path(f"/proc/{self.pid(name)}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024 / 1e6
        return 0.0

    def end(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Answer:
    """What a caller got for one request: status 0 if the connection ended first."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def __str__(self) -> str:
        return f"status={self.status} whole={self.whole} body={self.body[:60]!r}"


async def ask(
    port: int,
    path: str,
    attempt: str,
    method: str = "POST",
    body: bytes = b"x",
    deadline_ms: int = 1_500,
    wait_s: float | None = None,
    headers: tuple[tuple[str, str], ...] = (),
    host: str = "orders.example",
) -> Answer:
    """Send one request on a connection of its own and read its answer."""
    import h11

    connection = h11.Connection(h11.CLIENT)
    fields = [
        ("Host", host),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        *headers,
    ]
    if method != "GET":
        fields.append(("Content-Length", str(len(body))))
    status, answer, data, whole = 0, {}, b"", False
    with trio.move_on_after(deadline_ms / 1_000 if wait_s is None else wait_s):
        try:
            stream = await trio.open_tcp_stream(HOST, port)
            async with stream:
                request = h11.Request(method=method, target=path, headers=fields)
                sent = connection.send(request)
                if method != "GET":
                    sent += connection.send(h11.Data(data=body))
                await stream.send_all(sent + connection.send(h11.EndOfMessage()))
                while True:
                    event = connection.next_event()
                    if event is h11.NEED_DATA:
                        connection.receive_data(await stream.receive_some(65_536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                        answer = {k.decode(): v.decode() for k, v in event.headers}
                    elif isinstance(event, h11.Data):
                        data += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        whole = True
                        break
                    else:
                        break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
    return Answer(status, answer, data, whole)


def run_case(folder: Path, play) -> None:
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(folder)
    result = 2

    async def main() -> None:
        nonlocal result
        async with trio.open_nursery() as nursery:
            platform = StandInPlatform(nursery)
            platform.memory_mb = 300.0
            platform.max_descriptors = 4_100
            with tempfile.TemporaryDirectory() as temporary:
                gateways = Gateways(platform, Path(temporary), record)
                try:
                    await platform.start()
                    with trio.fail_after(110.0):
                        result = await play(platform, gateways, record, nursery)
                finally:
                    gateways.end()
                    keep = os.environ.get("KEEP_LOGS")
                    if keep:
                        import shutil

                        shutil.copytree(temporary, keep, dirs_exist_ok=True)
            nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except BaseException as error:  # noqa: BLE001
        record.write("could not run:", repr(error))
        import traceback

        traceback.print_exc()
        result = 2
    record.write("exit", result)
    print({0: "held", 1: "broken", 2: "could not run"}[result])
    sys.exit(result)
