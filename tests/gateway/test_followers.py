"""Followers of the store in large fleets, and instances that rely on them."""

import pytest
import trio

from acaciapier.core.ids import InstanceId
from acaciapier.gateway import followers as followers_module
from acaciapier.gateway.followers import FOLLOWER_COUNT, MIN_SOURCES, StoreFollowers
from acaciapier.gateway.peers import MAX_HEARTBEAT_PEERS
from acaciapier.wire.messages.gateway import Heartbeat

from .support import deployment
from .test_instance_state import make_peers, record, set_stable_records

FOLLOWING = Heartbeat(1, 1, 1, False, follows_store=True, uptime_ms=60_000.0)
NOT_FOLLOWING = Heartbeat(1, 1, 1, False, uptime_ms=60_000.0)


def make_fleet(size: int, own: int):
    records = [record(f"edge-{n}") for n in range(size)]
    peers = make_peers(records[own])
    set_stable_records(peers, records)
    return peers, StoreFollowers(peers)


def make_relying_instance():
    """Return the peers and followers of an instance that is not a chosen follower."""
    for own in range(MAX_HEARTBEAT_PEERS + 6):
        peers, followers = make_fleet(MAX_HEARTBEAT_PEERS + 6, own)
        if peers.own not in followers.chosen():
            return peers, followers
    raise AssertionError("every instance is chosen")


def test_in_a_small_fleet_every_instance_follows_the_store():
    _, followers = make_fleet(MAX_HEARTBEAT_PEERS, 0)
    assert followers.should_follow()


def test_in_a_large_fleet_a_few_instances_follow_the_store():
    size = MAX_HEARTBEAT_PEERS + 6
    fleet = [make_fleet(size, own) for own in range(size)]
    chosen = {tuple(followers.chosen()) for _, followers in fleet}
    assert len(chosen) == 1
    assert len(chosen.pop()) == FOLLOWER_COUNT


def test_an_instance_relies_on_followers_only_while_enough_of_them_report():
    peers, followers = make_relying_instance()
    assert followers.should_follow()
    chosen = followers.chosen()
    for instance in chosen[:MIN_SOURCES]:
        peers.record_heartbeat(instance, FOLLOWING)
    assert not followers.should_follow()
    peers.record_heartbeat(chosen[0], NOT_FOLLOWING)
    assert followers.should_follow()


def test_an_instance_without_live_followers_follows_the_store_itself():
    peers, followers = make_relying_instance()
    for instance in followers.chosen():
        peers.record_heartbeat(instance, FOLLOWING)
    assert not followers.should_follow()
    for instance in [InstanceId(f"edge-{n}") for n in range(MAX_HEARTBEAT_PEERS + 6)]:
        peers.record_stopping(instance)
    assert followers.should_follow()


@pytest.fixture
def large_fleet(monkeypatch):
    """Lower the limits so that four instances count as a large fleet."""
    monkeypatch.setattr(followers_module, "MAX_HEARTBEAT_PEERS", 2)
    monkeypatch.setattr(followers_module, "FOLLOWER_COUNT", 2)


def relying_gateways(world) -> list:
    """Return the gateways that are not chosen as followers."""
    return [
        gateway
        for gateway in world.gateways
        if gateway.peers.own not in gateway.followers.chosen()
    ]


async def test_instances_that_rely_on_followers_get_changes_in_time(large_fleet):
    async with deployment(gateways=4) as world:
        await world.until(lambda: len(relying_gateways(world)) == 2, 8.0)
        relying = relying_gateways(world)
        for gateway in relying:
            await world.until(
                lambda gateway=gateway: not gateway.followers.should_follow()
            )
        world.platform.register("book-1", state="draining")
        with trio.fail_after(1.5):
            for gateway in world.gateways:
                await world.until(
                    lambda gateway=gateway: (
                        len(gateway.catalogue.workers_of("book")) == 1
                    )
                )


async def test_instances_follow_the_store_when_their_followers_lose_it(
    large_fleet,
):
    async with deployment(gateways=4) as world:
        await world.until(lambda: len(relying_gateways(world)) == 2, 8.0)
        relying = relying_gateways(world)
        for gateway in relying:
            await world.until(
                lambda gateway=gateway: not gateway.followers.should_follow()
            )
        for gateway in world.gateways:
            if gateway not in relying:
                gateway.sync._record_unreachable("config", "turned away")
        for gateway in relying:
            await world.until(gateway.followers.should_follow)
