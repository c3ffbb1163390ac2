"""Worker of the fleet benchmark: several real nodes in one process.

It is driven by typed lines of JSON on its standard input and answers each with one
line. Times are of the system-wide monotonic clock, so workers can be compared.
"""

import resource
import sys
import time
from collections import Counter
from random import Random

import msgspec
import trio

from acaciapier.core.clock import SystemClock
from acaciapier.core.ids import InstanceId, PoolName
from acaciapier.membership import Membership, MembershipChange, Seed
from acaciapier.wire import FleetKeys, Message, PeerAddress, PeerIdentity, PeerNetwork
from acaciapier.wire.messages.membership import (
    MemberState,
    TargetRecord,
    TargetState,
)

LOOPBACK = "127.0.0.1"
POOLS = 20
PAGE_BYTES = resource.getpagesize()
_KEY = b"key of the fleet benchmark"


class BenchRumour(Message, frozen=True):
    """Rumour about as large as a change of configuration."""

    number: int
    sent_s: float
    payload: bytes


class NodePlan(msgspec.Struct, frozen=True):
    """One node to run."""

    name: str
    data_centre: str
    region: str


class Setup(msgspec.Struct, frozen=True, tag=True):
    """First command: the nodes and the number of targets they know."""

    nodes: list[NodePlan]
    targets: int


class Join(msgspec.Struct, frozen=True, tag=True):
    """Start membership, with seeds by name and port, over `spread_s` seconds."""

    seeds: dict[str, int]
    spread_s: float = 0.0


class Publish(msgspec.Struct, frozen=True, tag=True):
    """Publish one rumour from one node."""

    node: str
    number: int
    size_bytes: int


class Kill(msgspec.Struct, frozen=True, tag=True):
    """Stop one node without a word."""

    node: str


class Read(msgspec.Struct, frozen=True, tag=True):
    """Report what was counted since the last reading."""


class Quit(msgspec.Struct, frozen=True, tag=True):
    """Stop."""


Command = Setup | Join | Publish | Kill | Read | Quit


class Reading(msgspec.Struct):
    """What one worker counted since the last reading, summed over its nodes."""

    nodes: int
    wall_s: float
    cpu_s: float
    rss_bytes: int
    base_rss_bytes: int
    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]
    received_messages: dict[str, int]
    rumour_delays_s: list[float]
    deaths: list[tuple[str, str, float]]
    known: list[int]
    connections: int
    suspicions: int
    opened: int


class Answer(msgspec.Struct):
    """Answer to a command: ports after `Setup`, a reading after `Read`."""

    ports: dict[str, int] = {}
    reading: Reading | None = None


class Node:
    """One real node: its network, its membership and what it observed."""

    def __init__(self, plan: NodePlan):
        clock = SystemClock()
        identity = PeerIdentity(
            InstanceId(plan.name),
            int(time.time() * 1000),
            plan.data_centre,
            plan.region,
        )
        keys = FleetKeys((_KEY,))
        self.network = PeerNetwork(identity, keys, clock, Random(plan.name))
        self.scope = trio.CancelScope()
        self.membership: Membership | None = None
        self.rumour_delays_s: list[float] = []
        self.deaths: list[tuple[str, str, float]] = []
        self.port = 0

    async def serve(self, task_status) -> None:
        """Run the network until the node is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.port = await nursery.start(self.network.serve, LOOPBACK, 0)
                task_status.started()

    def join(self, seeds: dict[str, int], targets: list[TargetRecord]) -> None:
        """Start membership."""
        self.membership = Membership(
            self.network,
            None,
            SystemClock(),
            Random(f"{self.network.identity.instance_id}/membership"),
            PeerAddress(LOOPBACK, self.port),
            seeds=[
                Seed(InstanceId(n), PeerAddress(LOOPBACK, p)) for n, p in seeds.items()
            ],
        )
        for record in targets:
            self.membership.targets.merge(record)
        self.membership.subscribe(self._note_change)
        self.membership.gossip.on_new(BenchRumour, self._note_rumour)
        self._nursery.start_soon(self.membership.run)

    def _note_rumour(self, rumour: BenchRumour) -> None:
        self.rumour_delays_s.append(time.monotonic() - rumour.sent_s)

    def _note_change(self, change: MembershipChange) -> None:
        now_s = time.monotonic()
        own = self.network.identity.instance_id
        self.deaths += [
            (own, record.instance_id, now_s)
            for record in change.members
            if record.state is MemberState.DEAD
        ]


class Worker:
    """Runs the commands."""

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery
        self._nodes: dict[str, Node] = {}
        self._targets: list[TargetRecord] = []
        self._base_rss_bytes = read_rss_bytes()
        self._since = (time.monotonic(), time.process_time())

    async def run(self, command: Command) -> Answer:
        """Run one command and return its answer."""
        match command:
            case Setup():
                return await self._set_up(command)
            case Join():
                for number, node in enumerate(self._nodes.values()):
                    delay_s = command.spread_s * number / len(self._nodes)
                    self._nursery.start_soon(
                        self._join_later, node, command.seeds, delay_s
                    )
            case Publish():
                self._publish(command)
            case Kill():
                self._nodes.pop(command.node).scope.cancel()
            case Read():
                return Answer(reading=self._read())
        return Answer()

    async def _set_up(self, command: Setup) -> Answer:
        self._targets = make_targets(command.targets)
        for plan in command.nodes:
            node = self._nodes[plan.name] = Node(plan)
            await self._nursery.start(node.serve)
        return Answer(ports={name: node.port for name, node in self._nodes.items()})

    async def _join_later(
        self, node: Node, seeds: dict[str, int], delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        node.join(seeds, self._targets)

    def _publish(self, command: Publish) -> None:
        payload = Random(command.number).randbytes(command.size_bytes)
        rumour = BenchRumour(command.number, time.monotonic(), payload)
        self._nodes[command.node].membership.gossip.publish(rumour)

    def _read(self) -> Reading:
        """Sum up and start to count anew."""
        wall_s, cpu_s = time.monotonic(), time.process_time()
        nodes = list(self._nodes.values())
        counters = [node.network.counters for node in nodes]
        reading = Reading(
            nodes=len(nodes),
            wall_s=wall_s - self._since[0],
            cpu_s=cpu_s - self._since[1],
            rss_bytes=read_rss_bytes(),
            base_rss_bytes=self._base_rss_bytes,
            sent_bytes=dict(sum((c.sent_bytes for c in counters), Counter())),
            received_bytes=dict(sum((c.received_bytes for c in counters), Counter())),
            received_messages=dict(
                sum((c.received_messages for c in counters), Counter())
            ),
            rumour_delays_s=[d for node in nodes for d in node.rumour_delays_s],
            deaths=[death for node in nodes for death in node.deaths],
            known=[len(node.membership.members()) for node in nodes],
            connections=sum(node.network.connection_count for node in nodes),
            suspicions=sum(
                node.membership.member_tracker.counters.suspicions for node in nodes
            ),
            opened=sum(counter.opened_connections for counter in counters),
        )
        for node in nodes:
            counters = node.network.counters
            for counter in (
                counters.sent_bytes,
                counters.received_bytes,
                counters.sent_messages,
                counters.received_messages,
            ):
                counter.clear()
            counters.opened_connections = 0
            node.rumour_delays_s.clear()
            node.deaths.clear()
        self._since = (time.monotonic(), time.process_time())
        return reading


def make_targets(count: int) -> list[TargetRecord]:
    """Return `count` live targets over a few pools."""
    return [
        TargetRecord(
            f"target-{number:05d}",
            1,
            TargetState.LIVE,
            PoolName(f"pool-{number % POOLS}"),
            "encode",
            f"dc{number % 17}",
            f"region{number % 8}",
            f"http://10.{number >> 8}.{number & 255}.1:8000",
        )
        for number in range(count)
    ]


def read_rss_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def serve_commands() -> None:
    """Answer commands until `Quit` or the end of the input."""
    decoder = msgspec.json.Decoder(Command)
    lines = trio.wrap_file(sys.stdin)
    async with trio.open_nursery() as nursery:
        worker = Worker(nursery)
        while line := await lines.readline():
            command = decoder.decode(line)
            if isinstance(command, Quit):
                break
            answer = await worker.run(command)
            sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
            sys.stdout.flush()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(serve_commands)
