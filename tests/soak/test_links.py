"""Links between gateways and workers leave no way past them."""

import trio

from acaciapier_bench.soak.plan import SoakPlan
from acaciapier_bench.soak.proxy import HOST
from acaciapier_bench.soak.run import Soak
from acaciapier_standins.platform.platform import StandInPlatform


async def test_a_worker_is_never_registered_with_an_address_past_its_link(tmp_path):
    async with trio.open_nursery() as nursery:
        soak = Soak(SoakPlan(seed=1), tmp_path)
        soak._nursery = nursery
        soak._platform = StandInPlatform(nursery)
        await soak._add_worker("model-1", "model", "stream")
        entries = [entry for entry, _ in soak._platform.store._since("servers", 0)]
        address = f"{HOST}:{soak._links['model-1'].port}"
        assert [entry["spec"]["addr"] for entry in entries] == [address]
        assert soak._platform.workers["model-1"].address == address
        nursery.cancel_scope.cancel()
