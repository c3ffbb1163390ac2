"""Ways to claim a request, each over the object API's real client."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from uuid import UUID

import trio

from acaciapier.claims import ClaimRequest, ClaimService, ClaimWindow, Granted
from acaciapier.claims.committer import COMMIT_INTERVAL_MS
from acaciapier.claims.partition import Partitioner, bucket_name, claim_key
from acaciapier.core.clock import Clock, epoch_ms, to_s
from acaciapier.core.ids import InstanceId
from acaciapier.exceptions import PeerUnavailable, StoreError
from acaciapier.store import ObjectStore, Purpose
from acaciapier.wire.messages import Message
from acaciapier.wire.messages.claims import Claim

CLAIM_TIMEOUT_MS = 1_500.0
UUID_TIME_SHIFT = 80
UUID_VERSION_BITS = 7 << 76
UUID_VARIANT_BITS = 2 << 62

ClaimOne = Callable[[str], Awaitable[bool]]


def make_uuid7(random: Random, clock: Clock, spread_ms: float = 0.0) -> str:
    """Return a UUID version 7 by a clock that is off by up to `spread_ms`."""
    time_ms = epoch_ms(clock.now()) + int(random.uniform(-spread_ms, spread_ms))
    random_bits = random.getrandbits(12) << 64 | random.getrandbits(62)
    fixed_bits = UUID_VERSION_BITS | UUID_VARIANT_BITS
    return str(UUID(int=time_ms << UUID_TIME_SHIFT | fixed_bits | random_bits))


class LocalFleet:
    """Calls between entries in one process, without a wire."""

    def __init__(self):
        self.handlers: dict[InstanceId, dict[type, Callable]] = {}

    def live_entries(self) -> list[InstanceId]:
        """Return all entries that joined."""
        return list(self.handlers)

    def join(self, instance: InstanceId) -> "LocalPeers":
        """Add an entry and return its view of the fleet."""
        self.handlers[instance] = {}
        return LocalPeers(self, instance)


class LocalPeers:
    """The fleet as one entry sees it."""

    def __init__(self, fleet: LocalFleet, instance: InstanceId):
        self._fleet = fleet
        self._instance = instance

    def register(self, message_type: type[Message], handler: Callable) -> None:
        """Let `handler` answer one type of messages."""
        self._fleet.handlers[self._instance][message_type] = handler

    async def call(
        self, peer: InstanceId, message: Message, timeout_ms: float
    ) -> Message:
        """Call the peer's handler."""
        with trio.move_on_after(to_s(timeout_ms)):
            return await self._fleet.handlers[peer][type(message)](
                self._instance, message
            )
        raise PeerUnavailable(peer)


@dataclass(frozen=True)
class WayContext:
    """What a way is built from: one store session for each entry."""

    stores: list[ObjectStore]
    nursery: trio.Nursery
    clock: Clock
    random: Random
    window: ClaimWindow


def group_commit(context: WayContext) -> ClaimOne:
    """Claim by buckets that owners commit in groups, as the entries do."""
    fleet = LocalFleet()
    services = []
    for number, store in enumerate(context.stores):
        instance = InstanceId(f"entry-{number}")
        service = ClaimService(
            instance,
            1,
            store,
            fleet.join(instance),
            fleet,
            context.clock,
            Random(context.random.getrandbits(64)),
            context.window,
        )
        context.nursery.start_soon(service.run)
        services.append(service)

    async def claim_one(request_id: str) -> bool:
        request = ClaimRequest("bench", request_id, "content", CLAIM_TIMEOUT_MS)
        result = await context.random.choice(services).claim(request)
        return isinstance(result, Granted)

    return claim_one


def object_per_claim(context: WayContext) -> ClaimOne:
    """Claim by creating one object for each request."""

    async def claim_one(request_id: str) -> bool:
        store = context.random.choice(context.stores)
        claim = Claim(claim_key("bench", request_id), "content", "entry-0", 1, "0")
        return await _create(store, claim.key, claim)

    return claim_one


def created_log(context: WayContext) -> ClaimOne:
    """Claim by group-committed objects of a log for each partition."""
    partitioner = Partitioner()
    queues: dict[int, list] = defaultdict(list)
    for partition in range(partitioner.partitions):
        store = context.stores[partition % len(context.stores)]
        context.nursery.start_soon(_write_log, store, partition, queues)

    async def claim_one(request_id: str) -> bool:
        key = claim_key("bench", request_id)
        ended, landed = trio.Event(), []
        claim = Claim(key, "content", "entry-0", 1, "0" * 24)
        queues[partitioner.partition_of(key)].append((claim, ended, landed))
        with trio.move_on_after(to_s(CLAIM_TIMEOUT_MS)):
            await ended.wait()
        return bool(landed)

    return claim_one


async def _write_log(store: ObjectStore, partition: int, queues: dict) -> None:
    number = 0
    while True:
        group = queues.pop(partition, [])
        if group:
            number += 1
            claims = [claim for claim, _, _ in group]
            created = await _create(store, bucket_name(partition, number), claims)
            for _, ended, landed in group:
                landed.extend([True] * created)
                ended.set()
        await trio.sleep(to_s(COMMIT_INTERVAL_MS if group else 1.0))


async def _create(store: ObjectStore, name: str, value) -> bool:
    try:
        await store.put("claims", name, value, 0, purpose=Purpose.CLAIMS)
    except StoreError:
        return False
    return True


WAYS: dict[str, Callable[[WayContext], ClaimOne]] = {
    "group commit": group_commit,
    "object per claim": object_per_claim,
    "created log": created_log,
}
