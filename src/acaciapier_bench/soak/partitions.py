"""Partitions of gateways from all workers, and what callers may notice of them."""

import random as random_module
import socket
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import trio

from acaciapier.http.caller import LINGER_RESET
from acaciapier.policy.subset import rendezvous_rank
from acaciapier_standins.platform.example import KINDS

from .callers import Received
from .gateway import WORKERS_HOST
from .proxy import Link
from .streams import STABLE_S, Share

BEFORE_S = 2.0
"""Time without a partition before each one."""

BACK_S, BACK_FOR_S = 2.0, 2.0
"""Time after a partition in which gateways serve again, and length of its check."""

SHORTEST_S, LONGEST_S = 4.0, 8.0
SERVED_FACTOR = 2 / 3
MOST_FAILED, FAILED_SHARE = 10, 1 / 50
FEWEST_TRIES = 5


class Way(Enum):
    """What a partition does to the connections of a gateway to workers."""

    SILENT = "silent"
    """All connections hang, and new ones are not established."""
    RESET = "reset"
    """All connections are reset, new ones when they are established."""
    REFUSED = "refused"
    """All connections are reset, and new ones are refused."""
    OLD_LIVE = "old_live"
    """Only new connections are refused."""


WHO = ("one", "most", "all", "dispatcher")


@dataclass
class Partition:
    """One partition."""

    gateways: list[str]
    way: Way
    from_s: float
    until_s: float

    def __str__(self):
        length_s = self.until_s - self.from_s
        return f"{self.way.value} for {length_s:.1f} s: {' '.join(self.gateways)}"


class PartitionLink(Link):
    """The connections of one gateway to one worker.

    Parameters
    ----------
    host : str
        Address on which it listens.
    port : int
        Port on which it listens, and port of the server.
    """

    def __init__(self, host: str, port: int):
        super().__init__(port)
        self.port = port
        self._host = host
        self._way: Way | None = None
        self._over = trio.Event()
        self._listening = trio.CancelScope()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        async with trio.open_nursery() as handlers:
            while True:
                listeners = await trio.open_tcp_listeners(self.port, host=self._host)
                self._listening = trio.CancelScope()
                if self._way is None:
                    task_status.started()
                    task_status = trio.TASK_STATUS_IGNORED
                with self._listening:
                    await trio.serve_listeners(
                        self._serve, listeners, handler_nursery=handlers
                    )
                if self._way is Way.SILENT:
                    with _full_listener(self._host, self.port):
                        await self._over.wait()
                await self._over.wait()

    async def cut(self, way: Way, length_s: float) -> None:
        """Cut the connections for a time."""
        self._way, self._over = way, trio.Event()
        if way is not Way.RESET:
            self._listening.cancel()
        if way is Way.SILENT:
            self.faults.cut_to_server = self.faults.cut_to_client = True
        elif way is not Way.OLD_LIVE:
            self.reset_all()
        await trio.sleep(length_s)
        self._way = None
        self.faults.cut_to_server = self.faults.cut_to_client = False
        self._over.set()

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._way is Way.RESET:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            await trio.aclose_forcefully(client)
            return
        await super()._serve(client)


@contextmanager
def _full_listener(host: str, port: int):
    """Listen with a full queue, so that the kernel drops all attempts to connect."""
    with (
        socket.create_server((host, port), backlog=0),
        socket.socket() as filler,
    ):
        filler.setblocking(False)
        filler.connect_ex((host, port))
        yield


class Partitions:
    """Cuts gateways off from all workers.

    Parameters
    ----------
    gateways : list of str
        Names of all gateways.
    """

    def __init__(self, gateways: list[str]):
        self.played: list[Partition] = []
        self._links: dict[str, list[PartitionLink]] = {name: [] for name in gateways}

    def address_of_workers(self, gateway: str) -> str:
        """Return the address to which a gateway resolves the host name of workers."""
        return f"127.0.1.{1 + sorted(self._links).index(gateway)}"

    async def add_worker(self, port: int, nursery: trio.Nursery) -> str:
        """Serve the port of a worker to all gateways and return its address."""
        for gateway, links in self._links.items():
            link = PartitionLink(self.address_of_workers(gateway), port)
            links.append(link)
            await nursery.start(link.run)
            for partition in self.played:
                left_s = partition.until_s - trio.current_time()
                if gateway in partition.gateways and left_s > 0.0:
                    nursery.start_soon(link.cut, partition.way, left_s)
        return f"{WORKERS_HOST}:{port}"

    async def play(self, way: Way, random: random_module.Random, end_s: float) -> None:
        """Cut some gateways off until a time at the latest, if there is time enough."""
        now_s = trio.current_time()
        who = random.choice(WHO)
        length_s = min(random.uniform(SHORTEST_S, LONGEST_S), end_s - now_s)
        calm = BEFORE_S + BACK_S + BACK_FOR_S
        if length_s < SHORTEST_S or any(now_s < p.until_s + calm for p in self.played):
            return
        gateways = self._choose(who, random)
        self.played.append(Partition(gateways, way, now_s, now_s + length_s))
        async with trio.open_nursery() as nursery:
            for gateway in gateways:
                for link in self._links[gateway]:
                    nursery.start_soon(link.cut, way, length_s)

    def _choose(self, who: str, random: random_module.Random) -> list[str]:
        names = sorted(self._links)
        if who == "dispatcher":
            service = random.choice(sorted(KINDS))
            return [max(names, key=lambda name: rendezvous_rank(service, name))]
        count = {"one": 1, "most": len(names) // 2 + 1, "all": len(names)}[who]
        return sorted(random.sample(names, count))


def check_partitions(
    records: Iterable[Received],
    partitions: Iterable[Partition],
    remembers: Callable[[str, float, float], bool],
) -> tuple[list[str], list[str]]:
    """Return a line for each broken promise, and one with figures for each partition.

    Parameters
    ----------
    records : iterable of Received
        What callers got.
    partitions : iterable of Partition
        What was played.
    remembers : callable
        Returns whether a gateway ran undisturbed between two times.
    """
    tries = [
        one
        for one in records
        if not one.resumes
        and not one.left
        and remembers(one.gateway, one.sent_s - STABLE_S, one.ended_s)
    ]
    found, figures = [], []
    for partition in partitions:
        lines, figure = _check_partition(tries, partition)
        found += [f"{partition}: {line}" for line in lines]
        figures.append(f"{partition}: {figure}")
    return found, figures


def _check_partition(
    tries: list[Received], partition: Partition
) -> tuple[list[str], str]:
    from_s, until_s = partition.from_s, partition.until_s
    before, cut_off, others, back = Share(), Share(), Share(), Share()
    back_by_gateway: dict[str, Share] = {}
    for one in tries:
        done = one.whole and one.status == 200
        if from_s - BEFORE_S <= one.sent_s < from_s and one.ended_s < from_s:
            before.add(done)
        elif from_s + STABLE_S <= one.sent_s < until_s:
            (cut_off if one.gateway in partition.gateways else others).add(done)
        elif until_s + BACK_S <= one.sent_s < until_s + BACK_S + BACK_FOR_S:
            back.add(done)
            back_by_gateway.setdefault(one.gateway, Share()).add(done)
    found = []
    failed = cut_off.count - cut_off.done
    most_failed = MOST_FAILED + FAILED_SHARE * (cut_off.count + others.count)
    seldom = cut_off.rate < SERVED_FACTOR * others.rate
    if others.count and seldom and failed > most_failed:
        found.append(
            f"partitioned gateways served {cut_off} first tries, the others {others}"
        )
    if others.count >= FEWEST_TRIES and others.rate < SERVED_FACTOR * before.rate:
        found.append(f"the others served {others} first tries, {before} before")
    for gateway, share in sorted(back_by_gateway.items()):
        if share.count >= FEWEST_TRIES and share.rate < SERVED_FACTOR * before.rate:
            found.append(f"{gateway} served {share} afterwards, {before} before")
    return found, (
        f"{cut_off} first tries served, at the others {others}, before {before}, "
        f"afterwards {back}"
    )
