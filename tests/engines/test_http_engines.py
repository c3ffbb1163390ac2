"""Test of the controller over HTTP, against stand-ins of platform and engines."""

from contextlib import AsyncExitStack
from random import Random

import trio

from acaciapier.core.clock import SystemClock
from acaciapier.core.ids import DataCentreId, Incarnation, TargetId
from acaciapier.engines import (
    ControlLimits,
    EngineController,
    EngineRecord,
    HttpEngines,
)
from acaciapier.store import ObjectStore, StoreBudget
from acaciapier_standins import EngineSettings, ObjectApiSettings, WeightStoreSettings
from standins.client import serving

from .fakes import POOL, WantedConfiguration, holder

ENGINES = 4
LIMITS = ControlLimits(poll_ms=20, max_loads=2, pool_share_percent=50)


def record_of(client):
    name = TargetId(client.standin.settings.id)
    return EngineRecord(name, Incarnation(1), POOL, DataCentreId("dc"), client.url)


async def test_roll_out_over_http():
    async with AsyncExitStack() as stack:
        api = await stack.enter_async_context(serving(ObjectApiSettings(latency_ms=0)))
        weights = await stack.enter_async_context(
            serving(WeightStoreSettings(default_size_bytes=5e8))
        )
        clients = []
        for number in range(ENGINES):
            settings = EngineSettings(
                id=f"e{number}",
                model="m",
                model_version="1",
                weight_store_url=weights.url,
            )
            clients.append(await stack.enter_async_context(serving(settings)))
        records = [record_of(client) for client in clients]
        engines = HttpEngines(lambda: records, lambda: [])
        clock = SystemClock()
        store = ObjectStore(api.url, StoreBudget(), clock, Random(1))
        controller = EngineController(
            store, WantedConfiguration(), engines, clock, Random(1), holder("a"), LIMITS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controller.run)
            with trio.fail_after(30):
                while not all(
                    client.standin.orders.state().model_version == "2"
                    for client in clients
                ):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        _, book = await weights.get("/book")
        assert book["calls"] == {"m": {"2": ENGINES}}
        assert book["most_loading"] <= 2
        assert all(client.standin.orders.highest > 0 for client in clients)
        await engines.aclose()
        await store.aclose()
