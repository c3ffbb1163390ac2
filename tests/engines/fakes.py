"""In-memory store and engines that simulate lost answers, delays and fencing."""

import msgspec
import trio

from acaciapier.core.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
    PoolName,
    TargetId,
)
from acaciapier.engines import EngineRecord, EngineState, Holder, WantedPools
from acaciapier.engines.models import OrderAnswer, OrderStatus
from acaciapier.exceptions import StoreUnavailable, VersionConflict
from acaciapier.objects import StageKind, TargetPool
from acaciapier.store import StoredObject
from acaciapier_standins.object_table import Conflict, Missing, ObjectTable

POOL = PoolName("writers")


class MemoryStore:
    """Implements the methods of `ObjectStore` that engine control calls."""

    def __init__(self):
        self.table = ObjectTable()
        self.down = False
        self.lose_next_answers = 0
        self.puts = 0

    async def get(self, kind, name, *, purpose):
        await trio.sleep(0.001)
        if self.down:
            raise StoreUnavailable("down")
        try:
            found = self.table.get(kind, name)
        except Missing:
            return None
        value = msgspec.json.decode(found.value)
        return StoredObject(kind, name, found.version, value)

    async def put(self, kind, name, value, if_version, *, purpose):
        await trio.sleep(0.001)
        if self.down:
            raise StoreUnavailable("down")
        self.puts += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        try:
            version = self.table.put(kind, name, raw, if_version, 0.0)
        except Conflict as conflict:
            raise VersionConflict(name, conflict.present_version) from None
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            raise StoreUnavailable("lost", may_have_landed=True)
        return version


class MemoryEngine:
    """One engine; a load takes `load_s`, and `checks` enables fencing checks."""

    def __init__(self, name, load_s=5.0, checks=True):
        self.record = EngineRecord(
            TargetId(name), Incarnation(1), POOL, DataCentreId("dc"), "http://x"
        )
        self.state = EngineState("m", "1")
        self.load_s = load_s
        self.checks = checks
        self.reachable = True
        self.accepted_numbers = []
        self.accepted_versions = []
        self.loads = 0
        self.loaded_at_s = float("-inf")

    def report_state(self):
        loading = trio.current_time() < self.loaded_at_s
        highest = max(self.accepted_numbers, default=0) if self.checks else 0
        return msgspec.structs.replace(
            self.state, loading=loading, highest_fencing_number=highest
        )

    def accept_order(self, number, wanted):
        if (
            self.checks
            and self.accepted_numbers
            and number < max(self.accepted_numbers)
        ):
            return OrderAnswer(OrderStatus.STALE, max(self.accepted_numbers))
        self.accepted_numbers.append(number)
        self.accepted_versions.append(wanted.model_version)
        if self.state.needs_load(wanted):
            self.loads += 1
            self.loaded_at_s = trio.current_time() + self.load_s
        self.state = EngineState(
            wanted.model, wanted.model_version, wanted.adapters, wanted.role
        )
        return OrderAnswer(OrderStatus.ACCEPTED)


class MemoryEngines:
    """Implements `Engines`; orders wait until the event `orders_allowed` is set."""

    def __init__(self, engines, controllers=()):
        self.by_id = {engine.record.id: engine for engine in engines}
        self.controller_names = list(controllers)
        self.reads = 0
        self.orders_allowed = trio.Event()
        self.orders_allowed.set()

    def live(self):
        return [engine.record for engine in self.by_id.values()]

    def controllers(self):
        return self.controller_names

    async def read_state(self, engine):
        self.reads += 1
        await trio.sleep(0.001)
        found = self.by_id[engine.id]
        return found.report_state() if found.reachable else None

    async def order(self, engine, fencing_number, wanted):
        await self.orders_allowed.wait()
        await trio.sleep(0.001)
        found = self.by_id[engine.id]
        if not found.reachable:
            return OrderAnswer(OrderStatus.UNREACHABLE)
        return found.accept_order(fencing_number, wanted)


class WantedConfiguration:
    """Callable that returns the configuration in force, which tests can change."""

    def __init__(self, version="2", number=2):
        self.change(version, number)

    def change(self, version, number):
        pool = TargetPool(
            name=POOL, serves=StageKind.GENERATE, model="m", model_version=version
        )
        self.pools = WantedPools(number, (pool,))

    def __call__(self):
        return self.pools


def holder(name, incarnation=1):
    return Holder(InstanceId(name), Incarnation(incarnation))
