"""Following the store through outages."""

import trio
import trio.testing

from acaciapier.core.clock import ManualClock
from acaciapier.exceptions import StoreUnavailable
from acaciapier.gateway.catalogue import Catalogue
from acaciapier.gateway.sync import StoreSync
from acaciapier.platform import configuration as configuration_format
from acaciapier.platform import workers as worker_format
from acaciapier.platform.configuration import decode_configuration
from acaciapier.platform.store import Snapshot

from .test_beliefs import record


class SwallowingStore:
    """A store that swallowed all watches in an outage and is back."""

    def __init__(self):
        self.lists: list[str] = []
        self.configuration_lost = trio.Event()

    async def list(self, kind: str) -> Snapshot:
        self.lists.append(kind)
        return Snapshot([], 1)

    async def watch(self, kind: str, revision: int, wait_ms: int) -> Snapshot:
        if kind == configuration_format.KIND and not self.configuration_lost.is_set():
            await self.configuration_lost.wait()
            raise StoreUnavailable("reset")
        await trio.sleep_forever()

    async def create(self, kind: str, name: str, value) -> None:
        await trio.sleep_forever()


class AlwaysFollowing:
    """Decides that this instance follows the store itself."""

    large_fleet = False

    def follow_closely(self) -> bool:
        return True


class NoPeers:
    """A table of other instances that stays empty."""

    def set_records(self, records) -> None:
        pass


async def test_watches_are_started_again_when_the_store_is_back():
    """Answers outages that swallow several watches, of which one fails first."""
    store, clock = SwallowingStore(), ManualClock()
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
        assert store.lists.count(worker_format.KIND) == 1
        store.configuration_lost.set()
        with trio.fail_after(2.0):
            while store.lists.count(worker_format.KIND) < 2:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
