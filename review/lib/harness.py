"""Stand-ins for the review: a store, workers, clients, and the gateway as a process.

Uses only the standard library. All addresses are loopback addresses, all ports are free
ones that the system assigns, and all times are those of the real clock.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so that it tells nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()


def free_ports(count):
    """Return free ports; they are assigned together so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_message(reader):
    """Return start line, headers and body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(status, headers=(), body=b""):
    """Return the bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Serves HTTP/1.1, one request at a time on each connection."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()
        self._readers = {}

    async def listen(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=8_000_000
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._readers[writer] = reader
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.answer(*request, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            del self._readers[writer]
            writer.close()

    def has_left(self, writer):
        """Return whether the peer has closed the connection."""
        return writer.is_closing() or self._readers[writer].at_eof()

    async def answer(self, line, headers, body, writer):
        raise NotImplementedError

    def close(self):
        """Stop listening and close all connections, as when the process ends."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: lists, watches and conditional writes of objects."""

    def __init__(self, page=500, delay_s=0.004):
        super().__init__()
        self.page, self.delay_s = page, delay_s
        self.revision, self.oldest, self.era = 10, 10, 1
        self.objects, self.events = {}, []
        self.on_list = lambda kind, after: None
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=()):
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old["metadata"]["created"] if old else self.revision
        found = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "created": created,
                "finalizers": list(finalizers),
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = found
        self._record(kind, found, False)
        return found

    def delete(self, kind, name):
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._record(kind, found, True)

    def _record(self, kind, found, deleted):
        self.events.append((self.revision, kind, found, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ", 2)
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        await asyncio.sleep(self.delay_s)
        status, found = await self._run(method, kind, name, query, body)
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        writer.write(message(status, fields, json.dumps(found).encode()))
        return True

    async def _run(self, method, kind, name, query, body):
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not name:
            after = query.get("after", "")
            names = sorted(one for one in objects if one > after)
            found = {
                "items": [objects[one] for one in names[: self.page]],
                "has_more": len(names) > self.page,
                "current_rev": self.revision,
            }
            self.on_list(kind, after)
            return 200, json.loads(json.dumps(found))
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            old = objects.get(name)
            if old is None:
                return 404, {}
            if "rev" in query and int(query["rev"]) != old["metadata"]["rev"]:
                return 409, old
            self.delete(kind, name)
            return 200, old
        sent = json.loads(body)
        name = sent["metadata"]["name"]
        old = objects.get(name)
        if method == "POST" and old is not None:
            return 409, old
        if method == "PUT" and old is None:
            return 404, {}
        wanted = sent["metadata"].get("rev")
        if old is not None and wanted not in (None, old["metadata"]["rev"]):
            return 409, old
        if old is not None and old["spec"] == sent["spec"]:
            return 200, old
        return 200, self.put(kind, name, sent["spec"])

    async def _watch(self, kind, since, query):
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000.0
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, {}
            found = [
                {"object": one, "deleted": deleted}
                for revision, of, one, deleted in self.events
                if of == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker(Server):
    """Base of the workers: registers itself, and answers probes and reports."""

    def __init__(self, store, name, service, record, slots=8):
        super().__init__()
        self.store, self.name, self.service = store, name, service
        self.record, self.slots = record, slots
        self.born = int(time.time() * 1_000)
        self.state = "ready"

    async def start(self):
        await self.listen()
        self.register()
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def entry(self):
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def register(self):
        self.store.put("servers", self.name, self.entry())

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ", 2)
        if headers.get("expect-instance", self.name) != self.name:
            identity = [("Instance-Id", self.name), ("Not-Run", "1")]
            writer.write(message(421, identity))
            return True
        if target == "/api/report":
            report = {"queued": 0, "busy": False, "running": 0, "born": self.born}
            writer.write(message(200, self.state_headers(), json.dumps(report).encode()))
            return True
        return await self.work(method, target, headers, body, writer)

    def state_headers(self):
        return []

    async def work(self, method, target, headers, body, writer):
        raise NotImplementedError


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, folder, name, store, seeds="", extra=""):
        self.name = name
        self.front, self.ready, self.control = free_ports(3)
        self._settings = Path(folder) / f"{name}.conf"
        self._log = Path(folder) / f"{name}.log"
        self._settings.write_text(
            "\n".join(
                [
                    f"node={name}",
                    "role=gateway",
                    "class=edge",
                    "serves=edge,control",
                    f"ip={HOST}",
                    "zone=zone-a",
                    "region=region-1",
                    "zones.zone-a=region-1",
                    f"listen.front={HOST}:{self.front}",
                    f"listen.ready={HOST}:{self.ready}",
                    f"listen.control={HOST}:{self.control}",
                    f"seeds={seeds or f'{HOST}:{self.control}'}",
                    "bootstrap=true",
                    "limits.cpu_share=1.0",
                    "limits.cores=1",
                    "limits.memory_mb=300",
                    "limits.max_fds=4100",
                    "limits.link_mbps=1000.0",
                    "heartbeat_ms=1200",
                    "bounds.stable_ms=3000",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=8",
                    "bounds.converge_ms=2000",
                    "bounds.retry_ratio=0.2",
                    "bounds.retry_window_s=10",
                    "bounds.retry_slack=58",
                    "bounds.retry_after_s=7.5",
                    f"platform.addr={HOST}:{store.port}",
                    "platform.form=objects",
                    "platform.writes_per_s=400",
                    "platform.reads_per_s=2000",
                    "platform.history_s=20",
                    extra,
                ]
            )
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ACACIAPIER_BOOT": str(self._settings),
            "ACACIAPIER_FLEET_KEY": "a-key-for-the-review",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        return self

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(1_000), 1.0)
            return b" 200 " in answer
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=25.0):
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until_s:
                raise CannotRun(f"{self.name} does not get ready: {self.log()[-2_000:]}")
            await asyncio.sleep(0.05)

    def log(self):
        return self._log.read_text(errors="replace")

    def events(self, kind):
        """Return the lines of one kind in its log."""
        found = []
        for line in self.log().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") == kind:
                    found.append(entry)
        return found

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Client:
    """A client with one kept connection, which it opens anew when it has to."""

    def __init__(self, port, record):
        self._port, self._record = port, record
        self._reader = self._writer = None

    async def request(self, target, headers, body=b"{}", method="POST", timeout_s=10.0):
        """Return status, headers and body; status 0 if there is no whole answer."""
        attempt = headers.get("Attempt-Id", "")
        self._record.write(f"client sends {attempt} {method} {target}")
        try:
            answer = await asyncio.wait_for(
                self._ask(target, headers, body, method), timeout_s
            )
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            self.drop()
            self._record.write(f"client gets  {attempt} no whole answer")
            return 0, {}, b""
        line, got, content = answer
        status = int(line.split(" ")[1])
        if got.get("connection", "").lower() == "close":
            self.drop()
        self._record.write(f"client gets  {attempt} status {status} {content[:120]!r}")
        return status, got, content

    async def _ask(self, target, headers, body, method):
        if self._writer is None or self._reader.at_eof():
            self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        fields = {"Host": "orders.example", "Content-Length": str(len(body)), **headers}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self._writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        return await read_message(self._reader)

    def drop(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def route(name, kind, service, **fields):
    return {
        "name": name,
        "host": "orders.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6_000,
        "slo_ms": 1_500,
        "priority": 1,
        "max_attempts": 1,
        **fields,
    }


def configuration(version, routes, services, **fields):
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        **fields,
    }


def run(case, folder):
    """Run a case, a coroutine of the record and a temporary folder; exit as agreed."""
    record = Record(os.environ.get("RECORD_DIR", folder))
    gateways = []
    status = CANNOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, scratch, gateways), 115))
            status = BROKEN if broken else HELD
            record.write(f"the rule {'was broken' if broken else 'held'}")
            print(f"the rule {'was broken' if broken else 'held'}")
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
        finally:
            for gateway in gateways:
                gateway.end()
            keep = os.environ.get("KEEP")
            if keep:
                for path in Path(scratch).iterdir():
                    (Path(keep) / path.name).write_bytes(path.read_bytes())
    sys.stdout.flush()
    os._exit(status)
