"""Callers that keep their connections and note what they received."""

import random as random_module
from dataclasses import dataclass

import h11
import trio

HOST = "127.0.0.1"
ANSWER_TIMEOUT_S = 6.0
KINDS = ("lookup", "confirm", "chat", "mail", "staged")


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
    """

    def __init__(
        self,
        name: str,
        ports: dict[str, int],
        random: random_module.Random,
        records: list[Received],
    ):
        self._name = name
        self._ports = ports
        self._random = random
        self._records = records
        self._stream: trio.SocketStream | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._gateway = ""

    async def run(self, until_s: float) -> None:
        """Send requests until a time."""
        serial = 0
        while trio.current_time() < until_s:
            serial += 1
            await self._ask(f"{self._name}-{serial}")
            await trio.sleep(self._random.expovariate(8.0))
        self._drop()

    async def _ask(self, attempt: str) -> None:
        kind = self._random.choice(KINDS)
        record = Received(attempt, kind, self._gateway, trio.current_time())
        self._records.append(record)
        leaves = self._random.random() < 0.05
        limit_s = self._random.uniform(0.01, 0.2) if leaves else ANSWER_TIMEOUT_S
        with trio.move_on_after(limit_s) as scope:
            try:
                if self._stream is None:
                    await self._connect()
                record.gateway = self._gateway
                await self._send(attempt, kind)
                await self._receive(record)
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.RemoteProtocolError,
            ):
                record.never_sent = self._stream is None
                self._drop()
        record.left = leaves and scope.cancelled_caught
        record.ended_s = trio.current_time()
        if scope.cancelled_caught or not record.whole:
            self._drop()

    async def _connect(self) -> None:
        self._gateway = self._random.choice(sorted(self._ports))
        self._stream = await trio.open_tcp_stream(HOST, self._ports[self._gateway])
        self._parser = h11.Connection(h11.CLIENT)

    async def _send(self, attempt: str, kind: str) -> None:
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        body = b'{"n": 1}' * self._random.choice((1, 1, 8_000))
        headers = [
            ("Host", "orders.example"),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", "4000"),
            ("Content-Length", str(len(body))),
            ("Chunk-Count", "2,2"),
            ("Chunk-Key", "k"),
        ]
        request = h11.Request(method="POST", target=f"/{kind}/1", headers=headers)
        data = self._parser.send(request) + self._parser.send(h11.Data(data=body))
        await self._stream.send_all(data + self._parser.send(h11.EndOfMessage()))

    async def _receive(self, record: Received) -> None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._stream.receive_some(65_536))
            elif isinstance(event, h11.Response):
                record.status = event.status_code
                record.seal = dict(event.headers).get(b"server-seal", b"").decode()
            elif isinstance(event, h11.Data):
                record.body += event.data
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
