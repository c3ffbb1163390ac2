"""Synchronization with the store across outages."""

import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.exceptions import StoreUnavailable
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.models import StorePosition
from acaciapier.gateway.sync import StoreSync
from acaciapier.platform import configuration as configuration_format
from acaciapier.platform import workers as worker_format
from acaciapier.platform.configuration import decode_configuration
from acaciapier.platform.store import Snapshot

from .test_instance_state import record


class UnresponsiveStore:
    """Store that answers lists but no watch, as after an outage that lost them.

    The watch of the configuration fails once `configuration_lost` is set.
    """

    def __init__(self):
        self.lists: list[str] = []
        self.configuration_lost = trio.Event()

    async def list(self, kind: str) -> Snapshot:
        self.lists.append(kind)
        return Snapshot([], StorePosition(1, 1))

    async def watch(self, kind: str, position: StorePosition, wait_ms: int) -> Snapshot:
        if (
            kind == configuration_format.OBJECT_KIND
            and not self.configuration_lost.is_set()
        ):
            await self.configuration_lost.wait()
            raise StoreUnavailable("reset")
        await trio.sleep_forever()

    async def create(self, kind: str, name: str, value) -> None:
        await trio.sleep_forever()


class AlwaysFollowing:
    """Followers of a small fleet: this instance always follows the store itself."""

    large_fleet = False

    def should_follow(self) -> bool:
        return True


class NoPeers:
    """Table of other instances that ignores their records."""

    def set_records(self, records) -> None:
        pass


async def test_all_watches_are_restarted_when_the_store_recovers():
    """Guards against watches that hang after an outage in which the store lost them.

    The failure of one watch shows the outage; the others get no answer and no error.
    """
    store, clock = UnresponsiveStore(), ManualClock()
    sync = StoreSync(
        store,
        Catalogue(clock, decode_configuration),
        NoPeers(),
        record("edge-1"),
        clock,
        lambda: 1.0,
        lambda *args, **fields: None,
        lambda: None,
        AlwaysFollowing(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sync.run)
        await trio.testing.wait_all_tasks_blocked()
        assert store.lists.count(worker_format.WORKER_KIND) == 1
        store.configuration_lost.set()
        with trio.fail_after(2.0):
            while store.lists.count(worker_format.WORKER_KIND) < 2:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
