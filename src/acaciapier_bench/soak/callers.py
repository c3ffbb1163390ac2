"""Callers that keep their connections and note what they received."""

import math
import random as random_module
import re
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from .changes import CALLERS_KEY, RESUMABLE

HOST = "127.0.0.1"
ANSWER_TIMEOUT_S = 6.0
KINDS = ("lookup", "confirm", "chat", "mail", "staged")
EVENTS = 4
"""Number of events of each stream."""

DEADLINE_S = 4.0
MOST_RESUMPTIONS = 4
RESUMED_SHARE = 0.4
"""Share of the streams on resumable routes whose connection breaks at the caller."""

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)(?: (v\d+))?\n\n")


@dataclass
class Received:
    """One request of a caller and what came of it."""

    attempt: str
    kind: str
    gateway: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    body: bytes = b""
    seal: str = ""
    left: bool = False
    never_sent: bool = False
    resumes: str = ""
    """Attempt that brought the first event, if this one takes its stream up."""
    last_id: int = 0
    """Id of the last event that earlier attempts brought."""
    retry_after_s: float = 0.0
    """Time after which a refusal lets the caller come back."""
    build: str = ""
    """Build that the gateway ran when it was asked."""

    def events(self) -> list[tuple[int, str]]:
        """Return the ids and software versions of the whole events of a stream."""
        found = _EVENT.finditer(self.body)
        return [(int(one[1]), (one[4] or b"").decode()) for one in found]


class SoakCaller:
    """Sends requests one after the other over a kept connection.

    Parameters
    ----------
    name : str
        Prefix of its attempts.
    ports : dict of str to int
        Front ports of the gateways.
    random : random.Random
        Choices.
    records : list of Received
        Where results are noted.
    resumes : bool
        Whether it takes up broken streams, and asks for more that can be taken up.
    build_of : callable
        Returns the name of the build that a gateway runs.
    reused_s : callable
        Returns for how long a connection may be idle and is used again.
    """

    def __init__(
        self,
        name: str,
        ports: dict[str, int],
        random: random_module.Random,
        records: list[Received],
        resumes: bool = False,
        build_of: Callable[[str], str] = lambda gateway: "",
        reused_s: Callable[[float], float] = lambda now_s: math.inf,
    ):
        self._name = name
        self._ports = ports
        self._random = random
        self._records = records
        self._resumes = resumes
        self._build_of = build_of
        self._reused_s = reused_s
        self._idle_since_s = 0.0
        self._stream: trio.SocketStream | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._gateway = ""

    async def run(self, until_s: float) -> None:
        """Send requests until a time."""
        serial = 0
        while trio.current_time() < until_s:
            serial += 1
            kinds = (*KINDS, *(RESUMABLE,) * 5) if self._resumes else KINDS
            attempt = f"{self._name}-{serial}"
            record = Received(attempt, self._random.choice(kinds), "", 0.0)
            await self._ask(record)
            if self._resumes and record.kind == RESUMABLE:
                await self._resume(record)
            await trio.sleep(self._random.expovariate(8.0))
        self._drop()

    async def _resume(self, first: Received) -> None:
        """Take a broken stream up at a random gateway until it is whole."""
        until_s, last = first.sent_s + DEADLINE_S, first
        last_id = number = sent = 0
        while sent < MOST_RESUMPTIONS:
            last_id = max([last_id, *(event_id for event_id, _ in last.events())])
            if last_id in (0, EVENTS) or (last.whole and last.status == 200):
                return
            await trio.sleep(last.retry_after_s + self._random.uniform(0.0, 0.3))
            if trio.current_time() > until_s:
                return
            self._drop()
            last = Received(f"{first.attempt}.{number}", first.kind, "", 0.0)
            last.resumes, last.last_id = first.attempt, last_id
            await self._ask(last, until_s)
            number += 1
            sent += not last.never_sent

    async def _ask(self, record: Received, until_s: float | None = None) -> None:
        record.gateway, record.sent_s = self._gateway, trio.current_time()
        self._records.append(record)
        leaves = self._random.random() < 0.05
        limit_s = self._random.uniform(0.01, 0.2) if leaves else ANSWER_TIMEOUT_S
        if record.sent_s - self._idle_since_s > self._reused_s(record.sent_s):
            self._drop()
        with trio.move_on_after(limit_s) as scope:
            try:
                if self._stream is None:
                    await self._connect()
                record.build = self._build_of(self._gateway)
                await self._send(record, until_s)
                await self._receive(record)
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.RemoteProtocolError,
            ):
                record.never_sent = self._stream is None
                self._drop()
        record.gateway = self._gateway
        record.left |= leaves and scope.cancelled_caught
        record.ended_s = self._idle_since_s = trio.current_time()
        if scope.cancelled_caught or not record.whole:
            self._drop()

    async def _connect(self) -> None:
        self._gateway = self._random.choice(sorted(self._ports))
        self._stream = await trio.open_tcp_stream(HOST, self._ports[self._gateway])
        self._parser = h11.Connection(h11.CLIENT)

    async def _send(self, record: Received, until_s: float | None) -> None:
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        left_s = DEADLINE_S if until_s is None else until_s - trio.current_time()
        left_s = max(0.001, left_s)
        body = b'{"n": 1}' * self._random.choice((1, 1, 8_000))
        headers = [
            ("Host", "orders.example"),
            ("Attempt-Id", record.attempt),
            ("Deadline-Ms", str(int(1_000 * left_s))),
            ("Content-Length", str(len(body))),
            ("Chunk-Count", "2,2"),
            ("Chunk-Key", "k"),
            ("Key", CALLERS_KEY),
        ]
        if record.resumes:
            headers.append(("Last-Event-Id", str(record.last_id)))
            headers.append(("Resumes", record.resumes))
        target = f"/{record.kind}/1"
        request = h11.Request(method="POST", target=target, headers=headers)
        data = self._parser.send(request) + self._parser.send(h11.Data(data=body))
        await self._stream.send_all(data + self._parser.send(h11.EndOfMessage()))

    async def _receive(self, record: Received) -> None:
        breaks_after = math.inf
        if self._resumes and record.kind == RESUMABLE:
            if self._random.random() < RESUMED_SHARE:
                breaks_after = self._random.randint(1, 3)
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._stream.receive_some(65_536))
            elif isinstance(event, h11.Response):
                record.status = event.status_code
                headers = dict(event.headers)
                record.seal = headers.get(b"server-seal", b"").decode()
                record.retry_after_s = float(headers.get(b"retry-after", 0.0))
            elif isinstance(event, h11.Data):
                record.body += event.data
                if len(record.events()) >= breaks_after:
                    record.left = True
                    raise trio.BrokenResourceError("the connection broke")
            elif isinstance(event, h11.EndOfMessage):
                record.whole = True
                if self._parser.our_state is h11.MUST_CLOSE:
                    self._drop()
                return
            else:
                raise trio.BrokenResourceError("closed without an answer")

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None
