"""Rumours: messages that reach every instance of the fleet within seconds.

A new rumour is pushed at once to a few peers, and each instance that hears it for
the first time does the same. What a push misses, comparison of recent rumours with
one peer a second brings.
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
    RumourBatch,
    RumourCheck,
    RumourHashes,
    RumourRequest,
)
from .peers import PeerSelector
from .rumour_log import RumourLog

COALESCE_MS = 10.0
PUSH_GAP_MS = 200.0
COMPARE_PERIOD_MS = 1_000.0
COMPARE_TIMEOUT_MS = 1_000.0
MAX_OUTBOX = 1_024
MAX_BATCH = 64
MAX_RUMOUR_BYTES = 16_384

log = Logger(__name__)


@dataclass
class RumourCounters:
    """What became of rumours here."""

    published: int = 0
    heard_new: int = 0
    heard_again: int = 0
    dropped: int = 0


class Rumours:
    """Spreads messages over the fleet and hands new ones to handlers.

    A rumour is known by its bytes: publishing equal bytes again within minutes
    does nothing, so put a number or an incarnation into the message. Delivery is
    likely, at most once within minutes, and in no order; state that must converge
    needs its own comparison besides.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    peers : PeerSelector
        Chooses whom to tell.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    registry : MessageRegistry, optional
        Message types; all imported ones by default.

    Examples
    --------
    >>> rumours.on_new(TargetStrike, table.note_strike)
    >>> rumours.publish(TargetStrike(fingerprint, target, incarnation))
    """

    def __init__(
        self,
        network: PeerNetwork,
        peers: PeerSelector,
        clock: Clock,
        random: Random,
        registry: MessageRegistry | None = None,
    ):
        self.counters = RumourCounters()
        self._network = network
        self._peers = peers
        self._random = random
        self._registry = registry or MessageRegistry()
        self._log = RumourLog(clock)
        self._handlers: dict[type[Message], list[Callable[[Message], None]]] = {}
        self._outbox: deque[bytes] = deque(maxlen=MAX_OUTBOX)
        self._news = trio.Event()
        network.register(RumourBatch, self._take_batch)
        network.register(RumourCheck, self._compare)
        network.register(RumourRequest, self._answer_request)

    def on_new(
        self, message_type: type[Message], handler: Callable[[Message], None]
    ) -> None:
        """Call `handler` with each message of `message_type` that is new here."""
        self._handlers.setdefault(message_type, []).append(handler)

    def publish(self, message: Message) -> None:
        """Spread `message`; own handlers are not called.

        Raises
        ------
        ProtocolError
            If it is larger than 16 KiB.
        """
        rumour = encode_message(message)
        if len(rumour) > MAX_RUMOUR_BYTES:
            raise ProtocolError(f"a rumour of {len(rumour)} bytes is too large")
        if self._log.add(rumour):
            self.counters.published += 1
            self._push(rumour)

    async def run(self) -> None:
        """Push and compare until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_news)
            nursery.start_soon(self._compare_often)

    def flush(self) -> None:
        """Push what waits, without waiting for more."""
        while self._outbox:
            size = min(MAX_BATCH, len(self._outbox))
            batch = RumourBatch(tuple(self._outbox.popleft() for _ in range(size)))
            for peer in self._peers.push_targets():
                self._network.send_soon(peer, batch)

    def _push(self, rumour: bytes) -> None:
        if len(self._outbox) == MAX_OUTBOX:
            self.counters.dropped += 1
        self._outbox.append(rumour)
        self._news.set()

    async def _push_news(self) -> None:
        while True:
            await self._news.wait()
            await trio.sleep(to_s(COALESCE_MS))
            self._news = trio.Event()
            self.flush()
            await trio.sleep(to_s(PUSH_GAP_MS))

    async def _compare_often(self) -> None:
        while True:
            period_ms = COMPARE_PERIOD_MS * self._random.uniform(0.75, 1.25)
            await trio.sleep(to_s(period_ms))
            peer = self._peers.any_peer()
            if peer is not None:
                await self._compare_with(peer)

    async def _compare_with(self, peer: InstanceId) -> None:
        """Exchange with `peer` what one of the two lacks."""
        check = RumourCheck(self._log.checksum())
        try:
            answer = await self._network.call(peer, check, COMPARE_TIMEOUT_MS)
            if not isinstance(answer, RumourHashes) or answer.is_equal:
                return
            if missing := self._log.missing_from(answer.hashes):
                self._network.send_soon(peer, RumourBatch(missing))
            if wanted := self._log.unknown(answer.hashes):
                request = RumourRequest(wanted)
                batch = await self._network.call(peer, request, COMPARE_TIMEOUT_MS)
                if isinstance(batch, RumourBatch):
                    self._take(batch.rumours)
        except PeerUnavailable:
            return

    async def _compare(self, peer: InstanceId, message: RumourCheck) -> RumourHashes:
        if message.checksum == self._log.checksum():
            return RumourHashes(is_equal=True)
        return RumourHashes(self._log.offered())

    async def _answer_request(
        self, peer: InstanceId, message: RumourRequest
    ) -> RumourBatch:
        return RumourBatch(self._log.find(message.wanted))

    async def _take_batch(self, peer: InstanceId, message: RumourBatch) -> None:
        self._take(message.rumours)

    def _take(self, rumours: tuple[bytes, ...]) -> None:
        for rumour in rumours:
            if not self._log.add(rumour):
                self.counters.heard_again += 1
                continue
            self.counters.heard_new += 1
            self._push(rumour)
            self._deliver(rumour)

    def _deliver(self, rumour: bytes) -> None:
        try:
            message = self._registry.decode(rumour)
        except ProtocolError as error:
            log.info("rumour passed on unread: {}", error)
            return
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(message)
            except Exception:
                log.exception("handler of rumour {} failed", message_tag(type(message)))
