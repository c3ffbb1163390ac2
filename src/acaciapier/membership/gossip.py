"""Gossip: messages that reach every instance of the fleet within seconds.

A new message is pushed at once to a few peers, and each instance that receives it for
the first time pushes it on. Messages that were lost on the way are recovered by
anti-entropy: once a second an instance compares its recent messages with one peer.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio
from logbook import Logger

from ..core.clock import Clock, to_s
from ..core.ids import InstanceId
from ..exceptions import PeerUnavailable, ProtocolError
from ..wire import Message, MessageRegistry, PeerNetwork, encode_message
from ..wire.messages import message_tag
from ..wire.messages.membership import (
    GossipBatch,
    GossipCheck,
    GossipHashes,
    GossipRequest,
)
from .gossip_log import GossipLog
from .peers import PeerSelector

COALESCE_MS = 10.0
MIN_PUSH_INTERVAL_MS = 200.0
COMPARE_PERIOD_MS = 1_000.0
COMPARE_TIMEOUT_MS = 1_000.0
MAX_OUTBOX_MESSAGES = 1_024
MAX_BATCH_MESSAGES = 64
MAX_MESSAGE_BYTES = 16_384

log = Logger("acaciapier.membership.rumours")


@dataclass
class GossipCounters:
    """Number of published, received and dropped gossip messages."""

    published: int = 0
    received_new: int = 0
    received_duplicates: int = 0
    dropped: int = 0


class Gossip:
    """Broadcasts messages to the fleet and passes received ones to handlers.

    A message is identified by its encoded bytes: publishing the same bytes again
    within minutes has no effect, so include a number or an incarnation. Delivery is
    probable but not guaranteed, unordered, and at most once within minutes; state
    that must converge also needs an anti-entropy mechanism of its own.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    peers : PeerSelector
        Chooses the peers to send to.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    registry : MessageRegistry, optional
        Message types that can be decoded; by default all imported ones.

    Examples
    --------
    >>> gossip.on_new(TargetCrash, table.record_crash)
    >>> gossip.publish(TargetCrash(fingerprint, target, incarnation))
    """

    def __init__(
        self,
        network: PeerNetwork,
        peers: PeerSelector,
        clock: Clock,
        random: Random,
        registry: MessageRegistry | None = None,
    ):
        self.counters = GossipCounters()
        self._network = network
        self._peers = peers
        self._random = random
        self._registry = registry or MessageRegistry()
        self._log = GossipLog(clock)
        self._handlers: dict[type[Message], list[Callable[[Message], None]]] = {}
        self._outbox: deque[bytes] = deque(maxlen=MAX_OUTBOX_MESSAGES)
        self._outbox_filled = trio.Event()
        network.register(GossipBatch, self._handle_batch)
        network.register(GossipCheck, self._handle_check)
        network.register(GossipRequest, self._handle_request)

    def on_new(
        self, message_type: type[Message], handler: Callable[[Message], None]
    ) -> None:
        """Call `handler` once with each received message of `message_type`."""
        self._handlers.setdefault(message_type, []).append(handler)

    def publish(self, message: Message) -> None:
        """Broadcast `message`; handlers of this instance are not called.

        Raises
        ------
        ProtocolError
            If the encoded message is larger than 16 KiB.
        """
        encoded = encode_message(message)
        if len(encoded) > MAX_MESSAGE_BYTES:
            raise ProtocolError(
                f"a gossip message of {len(encoded)} bytes is too large"
            )
        if self._log.add(encoded):
            self.counters.published += 1
            self._enqueue(encoded)

    async def run(self) -> None:
        """Push new messages and compare with peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_loop)
            nursery.start_soon(self._compare_loop)

    def flush(self) -> None:
        """Send all queued messages now, without waiting to fill a batch."""
        while self._outbox:
            size = min(MAX_BATCH_MESSAGES, len(self._outbox))
            batch = GossipBatch(tuple(self._outbox.popleft() for _ in range(size)))
            for peer in self._peers.pick_gossip_peers():
                self._network.send_soon(peer, batch)

    def _enqueue(self, encoded: bytes) -> None:
        if len(self._outbox) == MAX_OUTBOX_MESSAGES:
            self.counters.dropped += 1
        self._outbox.append(encoded)
        self._outbox_filled.set()

    async def _push_loop(self) -> None:
        while True:
            await self._outbox_filled.wait()
            await trio.sleep(to_s(COALESCE_MS))
            self._outbox_filled = trio.Event()
            self.flush()
            await trio.sleep(to_s(MIN_PUSH_INTERVAL_MS))

    async def _compare_loop(self) -> None:
        while True:
            period_ms = COMPARE_PERIOD_MS * self._random.uniform(0.75, 1.25)
            await trio.sleep(to_s(period_ms))
            peer = self._peers.pick_random_peer()
            if peer is not None:
                await self._compare_with(peer)

    async def _compare_with(self, peer: InstanceId) -> None:
        """Compare recent messages with `peer`; exchange those that either lacks."""
        check = GossipCheck(self._log.checksum())
        try:
            answer = await self._network.call(peer, check, COMPARE_TIMEOUT_MS)
            if not isinstance(answer, GossipHashes) or answer.is_equal:
                return
            if missing := self._log.missing_from(answer.hashes):
                self._network.send_soon(peer, GossipBatch(missing))
            if wanted := self._log.unknown(answer.hashes):
                request = GossipRequest(wanted)
                batch = await self._network.call(peer, request, COMPARE_TIMEOUT_MS)
                if isinstance(batch, GossipBatch):
                    self._receive(batch.messages)
        except PeerUnavailable:
            return

    async def _handle_check(
        self, peer: InstanceId, message: GossipCheck
    ) -> GossipHashes:
        if message.checksum == self._log.checksum():
            return GossipHashes(is_equal=True)
        return GossipHashes(self._log.advertised_hashes())

    async def _handle_request(
        self, peer: InstanceId, message: GossipRequest
    ) -> GossipBatch:
        return GossipBatch(self._log.find(message.wanted))

    async def _handle_batch(self, peer: InstanceId, message: GossipBatch) -> None:
        self._receive(message.messages)

    def _receive(self, messages: tuple[bytes, ...]) -> None:
        for encoded in messages:
            if not self._log.add(encoded):
                self.counters.received_duplicates += 1
                continue
            self.counters.received_new += 1
            self._enqueue(encoded)
            self._deliver(encoded)

    def _deliver(self, encoded: bytes) -> None:
        try:
            message = self._registry.decode(encoded)
        except ProtocolError as error:
            log.info("gossip message forwarded but not decoded: {}", error)
            return
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(message)
            except Exception:
                log.exception(
                    "handler of gossip message {} failed", message_tag(type(message))
                )
