"""Limits of workers while instances disagree about who dispatches a service."""

import json

import pytest
import trio

from acaciapier.gateway import peers

from .support import deployment
from .test_worker_limits import WINDOW_S, allowed, load, most_in_window

SETTLE_S = 1.5
LIMIT_PER_S = 10.0


def dispatch_alone(gateway) -> None:
    """Let an instance hold itself for the dispatcher of all services."""
    rank, own = gateway.peers.rank, gateway.peers.own

    def own_first(key: str, own_usable: bool) -> list:
        return sorted(rank(key, own_usable), key=lambda instance: instance != own)

    gateway.peers.rank = own_first


@pytest.mark.parametrize("large_fleet", [False, True])
@pytest.mark.parametrize(
    "name, method, path",
    [
        ("book-1", "GET", "/lookup/1"),
        ("book-1", "POST", "/confirm/1"),
        ("model-1", "POST", "/mail/1"),
        ("encode-1", "POST", "/staged/1"),
    ],
)
async def test_dispatchers_that_disagree_do_not_each_use_the_whole_limit_of_a_worker(
    name, method, path, large_fleet, monkeypatch
):
    if large_fleet:
        monkeypatch.setattr(peers, "MAX_HEARTBEAT_PEERS", 1)
    async with deployment(gateways=4) as world:
        for gateway in world.gateways:
            dispatch_alone(gateway)
        needy = world.platform.workers[name]
        needy.faults.limit = str(LIMIT_PER_S)
        start_s = trio.current_time()
        answers = await load(world, method, path, SETTLE_S + WINDOW_S + 2.0, 16)
        seen = most_in_window(needy.arrivals_s, start_s + SETTLE_S)
        assert seen <= allowed(LIMIT_PER_S)
        assert seen >= 0.7 * LIMIT_PER_S * WINDOW_S
        served = sum(reply.status == 200 for reply in answers)
        assert served >= 0.95 * len(answers)


async def test_operators_see_which_dispatcher_an_instance_asks_and_who_granted(capfd):
    async with deployment(gateways=2) as world:
        needy = world.platform.workers["book-1"]
        needy.faults.limit = str(LIMIT_PER_S)
        await load(world, "GET", "/lookup/1", 1.0, 2)
        gateway = world.gateways[0]
        dispatcher = gateway.dispatch_client.dispatcher_of("book")
        shown = gateway.metrics.exposition().decode()
        await trio.sleep(0.2)
    held = [line for line in shown.splitlines() if "acaciapier_dispatcher{" in line]
    assert any(
        f'dispatcher="{dispatcher}"' in line and 'service="book"' in line
        for line in held
    ), held
    lines = map(json.loads, capfd.readouterr().out.splitlines())
    sends = [line for line in lines if line["event"] == "sent_within_limit"]
    assert sends
    assert {line["dispatcher"] for line in sends} == {dispatcher}
