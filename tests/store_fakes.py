"""In-memory object API, peer network and membership with faults."""

from dataclasses import dataclass
from random import Random

import msgspec
import trio

from acaciapier.exceptions import PeerUnavailable, StoreUnavailable, VersionConflict
from acaciapier.store import Listing, StoredObject


class StoreTable:
    """Objects with store-wide versions and conditional updates, without faults."""

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.previous: dict[tuple[str, str], StoredObject | None] = {}

    def get(self, kind, name):
        return self.objects.get((kind, name))

    def put(self, kind, name, value, if_version):
        present = self._check(kind, name, if_version)
        decoded = msgspec.json.decode(msgspec.json.encode(value))
        self.revision += 1
        self.previous[kind, name] = present
        self.objects[kind, name] = StoredObject(kind, name, self.revision, decoded)
        return self.revision

    def delete(self, kind, name, if_version):
        if self._check(kind, name, if_version) is None:
            return 0
        self.revision += 1
        self.previous[kind, name] = self.objects.pop((kind, name))
        return self.revision

    def list(self, kind, prefix):
        items = [
            stored
            for (stored_kind, name), stored in sorted(self.objects.items())
            if stored_kind == kind and name.startswith(prefix)
        ]
        return Listing(self.revision, tuple(items))

    def _check(self, kind, name, if_version):
        present = self.objects.get((kind, name))
        version = present.version if present else 0
        if if_version is not None and if_version != version:
            raise VersionConflict(f"{kind}/{name}", version)
        return present


@dataclass
class StoreFaults:
    """Probabilities of the faults of a call, and the outage switch."""

    out: bool = False
    lost_before: float = 0.0
    lost_after: float = 0.0
    late: float = 0.0
    old_read: float = 0.0
    latency_s: float = 0.005


class FakeStore:
    """Client of a shared `StoreTable` for one instance, with fault injection."""

    def __init__(self, table: StoreTable, faults: StoreFaults, random: Random, nursery):
        self.table = table
        self.faults = faults
        self.random = random
        self.nursery = nursery
        self.pause_ms = 0.0
        self.calls = 0

    @property
    def reachable(self):
        """Imitates a circuit breaker, which detects an outage by some failed calls."""
        return not self.faults.out or self.random.random() < 0.3

    async def get(self, kind, name, *, purpose):
        await self._simulate_latency()
        old = self.table.previous.get((kind, name))
        if old is not None and self.random.random() < self.faults.old_read:
            return old
        return self.table.get(kind, name)

    async def put(self, kind, name, value, if_version, *, purpose):
        return await self._change(self.table.put, kind, name, value, if_version)

    async def delete(self, kind, name, if_version, *, purpose):
        return await self._change(self.table.delete, kind, name, if_version)

    async def list(self, kind, prefix="", *, purpose):
        await self._simulate_latency()
        return self.table.list(kind, prefix)

    async def _change(self, change, *arguments):
        await self._simulate_latency(may_have_landed=True)
        draw = self.random.random()
        if draw < self.faults.lost_before:
            raise StoreUnavailable(may_have_landed=True)
        if draw < self.faults.lost_before + self.faults.late:
            self.nursery.start_soon(self._change_late, change, *arguments)
            raise StoreUnavailable(may_have_landed=True)
        version = change(*arguments)
        if draw > 1.0 - self.faults.lost_after:
            raise StoreUnavailable(may_have_landed=True)
        await trio.sleep(self.random.uniform(0.0, self.faults.latency_s))
        return version

    async def _change_late(self, change, *arguments):
        await trio.sleep(self.random.uniform(0.0, 2.0))
        try:
            change(*arguments)
        except VersionConflict:
            pass

    async def _simulate_latency(self, may_have_landed=False):
        self.calls += 1
        await trio.sleep(self.random.uniform(0.0, self.faults.latency_s))
        if self.faults.out:
            raise StoreUnavailable(may_have_landed=may_have_landed)


class FakeFleet:
    """Networks of instances that reach each other unless they are in `cut`."""

    def __init__(self, random: Random, latency_s: float = 0.003):
        self.random = random
        self.latency_s = latency_s
        self.handlers = {}
        self.cut = set()
        self.live = []

    def join(self, instance):
        self.handlers[instance] = {}
        if instance not in self.live:
            self.live.append(instance)
        return FakePeers(self, instance)

    def live_entries(self):
        return list(self.live)


class FakePeers:
    """Network client of one instance."""

    def __init__(self, fleet: FakeFleet, instance):
        self.fleet = fleet
        self.instance = instance

    def register(self, message_type, handler):
        self.fleet.handlers[self.instance][message_type] = handler

    async def call(self, peer, message, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000):
            await trio.sleep(self.fleet.random.uniform(0.0, self.fleet.latency_s))
            if {peer, self.instance} & self.fleet.cut:
                await trio.sleep_forever()
            handler = self.fleet.handlers.get(peer, {}).get(type(message))
            if handler is None:
                raise PeerUnavailable(peer)
            answer = await handler(self.instance, message)
            await trio.sleep(self.fleet.random.uniform(0.0, self.fleet.latency_s))
            if not {peer, self.instance} & self.fleet.cut:
                return answer
            await trio.sleep_forever()
        raise PeerUnavailable(peer)
