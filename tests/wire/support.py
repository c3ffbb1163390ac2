"""Messages and networks for the tests of the internal protocol."""

from contextlib import asynccontextmanager
from random import Random

import trio

from acaciapier.core.clock import SystemClock
from acaciapier.wire import FleetKeys, Message, PeerIdentity, PeerNetwork

KEY = b"a fleet key of 32 bytes for tests"
LOOPBACK = "127.0.0.1"


class EchoCall(Message, frozen=True):
    text: str
    delay_ms: float = 0.0


class CountCall(Message, frozen=True):
    count: int


class CountItem(Message, frozen=True):
    number: int
    padding: bytes = b""


class RenamedCall(Message, frozen=True, tag="OutwardName"):
    text: str


class FailingCall(Message, frozen=True):
    pass


def make_network(name: str, keys=(KEY,), **options) -> PeerNetwork:
    identity = PeerIdentity(name, 1, "dc1", "region1")
    seed = sum(name.encode())
    return PeerNetwork(
        identity, FleetKeys(keys), SystemClock(), Random(seed), **options
    )


class Peers:
    """Two running networks, `a` and `b`, that know each other."""

    def __init__(self, **options):
        self.a = make_network("a", **options)
        self.b = make_network("b", **options)
        self.sent_items = 0
        for network in (self.a, self.b):
            network.register(EchoCall, self.echo)
            network.register(FailingCall, self.fail)
            network.register_stream(CountCall, self.count)

    async def echo(self, peer, message):
        await trio.sleep(message.delay_ms / 1000)
        return EchoCall(f"{peer}:{message.text}")

    async def fail(self, peer, message):
        raise KeyError("planted")

    async def count(self, peer, message):
        for number in range(message.count):
            self.sent_items += 1
            yield CountItem(number, b"x" * 1000)


@asynccontextmanager
async def running_peers(**options):
    peers = Peers(**options)
    async with trio.open_nursery() as nursery:
        ports = {}
        for name in ("a", "b"):
            network = getattr(peers, name)
            ports[name] = await nursery.start(network.serve, LOOPBACK, 0)
        for network in (peers.a, peers.b):
            network.set_addresses({k: (LOOPBACK, p) for k, p in ports.items()})
        peers.ports = ports
        yield peers
        await peers.a.aclose()
        await peers.b.aclose()
